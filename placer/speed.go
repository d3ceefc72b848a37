package placer

import (
	"math"
	"time"

	"savoryloft.example/savoryloft"
)

const (
	initialPrefillRate   = 60.0                   // Prompt tokens per ms, until a sample of any upstream of the service.
	minPrefillRate       = 5.0                    // Prompt tokens per ms; limits the effect of an outlier.
	maxPrefillRate       = 400.0                  // Prompt tokens per ms; limits the effect of an outlier.
	minSampleTokens      = 1500                   // The prefill time of shorter prompts depends on the engine's step time rather than on its prefill rate.
	recentHalfLife       = 250 * time.Millisecond // Of samples in the recent average, which tells whether an upstream is slowed at the moment.
	lastingHalfLife      = 10 * time.Second       // Of samples in the lasting average.
	recentPriorMs        = 150.0                  // Sampled ms at which the recent average weighs as much as the lasting one.
	streamPriorMs        = 200.0                  // Sampled ms of streams at which the lasting average weighs as much as the rate of the service.
	prefillPriorMs       = 1000.0                 // The same for prefill, whose samples include requests of peers that are not yet known.
	minServiceSampleMs   = 50.0                   // Sampled ms from which an upstream counts for the rate of its service.
	speedChangeShare     = 0.3                    // By which a rate must differ from the one that peers know to be sent to them.
	minToldStreamMs      = 200                    // Sampled ms of streams that are sent to peers.
	minToldPrefillMs     = 400                    // The same for prefill.
	maxToldMs            = 10000                  // The same; limits the effect of one peer.
	streamSampleInterval = 100 * time.Millisecond // Time between events of a stream that makes a sample.
	maxStreamGap         = 2 * time.Second        // Longest such time; a longer one is taken for a stream that stood still.
	minWaitShare         = 0.7                    // Share of such a time for which the instance must have waited for the upstream.
	maxSlowness          = 5.0                    // Bound of an upstream's step time compared with the mean of its service.
	speedRefreshInterval = 50 * time.Millisecond  // Between evaluations of an upstream's speed.
	serviceSpeedInterval = 500 * time.Millisecond // Between evaluations of the speed of a service.
)

// sampledAverage is an average rate of samples whose weight, the sampled time, halves
// at each half-life.
type sampledAverage struct {
	work, ms float64
	at       time.Time
}

func (a sampledAverage) decayed(now time.Time, halfLife time.Duration) sampledAverage {
	if elapsed := now.Sub(a.at); elapsed > 0 && a.ms > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(halfLife))
		return sampledAverage{a.work * factor, a.ms * factor, now}
	}
	return a
}

func (a sampledAverage) plus(now time.Time, work, ms float64) sampledAverage {
	if a.at.Before(now) {
		a.at = now
	}
	a.work += work
	a.ms += ms
	return a
}

// estimate is a rate in tokens per ms. Its recent average fades towards the lasting one
// without samples, and that towards the rate of the service.
type estimate struct{ recent, lasting sampledAverage }

func (e *estimate) add(now time.Time, work, ms float64) {
	e.recent = e.recent.decayed(now, recentHalfLife).plus(now, work, ms)
	e.lasting = e.lasting.decayed(now, lastingHalfLife).plus(now, work, ms)
}

// rates returns the rate at the moment and the lasting one. prior is the rate of the
// service, 0 if it is unknown, and priorMs its weight.
func (e *estimate) rates(now time.Time, prior, priorMs float64) (recent, lasting float64) {
	if e.lasting.ms == 0 {
		return prior, prior
	}
	if prior == 0 {
		priorMs = 0
	}
	l := e.lasting.decayed(now, lastingHalfLife)
	lasting = (l.work + prior*priorMs) / (l.ms + priorMs)
	r := e.recent.decayed(now, recentHalfLife)
	return (r.work + lasting*recentPriorMs) / (r.ms + recentPriorMs), lasting
}

// lastingRate returns the rate of the samples alone. ok is false if there are too few.
func (e *estimate) lastingRate(now time.Time) (rate float64, ok bool) {
	lasting := e.lasting.decayed(now, lastingHalfLife)
	if lasting.ms < minServiceSampleMs {
		return 0, false
	}
	return lasting.work / lasting.ms, true
}

// speedEstimate is what is known of one of an upstream's rates.
type speedEstimate struct {
	all    estimate // From the samples of this instance and what peers have told.
	told   estimate // From the samples that were sent to peers or received from them.
	unsent sampledAverage
}

// addOwn adds a sample of this instance.
func (e *speedEstimate) addOwn(now time.Time, work, ms float64) {
	e.all.add(now, work, ms)
	e.unsent = e.unsent.plus(now, work, ms)
}

// addTold adds samples that a peer has sent.
func (e *speedEstimate) addTold(now time.Time, work, ms float64) {
	if work <= 0 || ms <= 0 {
		return
	}
	if ms > maxToldMs {
		work, ms = work*maxToldMs/ms, maxToldMs
	}
	e.all.add(now, work, ms)
	e.told.add(now, work, ms)
}

// take returns this instance's samples since the last call if they differ from known,
// the rate that peers know, and zeros otherwise. Samples of less than minMs are kept for
// the next call.
func (e *speedEstimate) take(now time.Time, known, minMs float64) (work, ms float64) {
	if e.unsent.ms < minMs {
		return 0, 0
	}
	ms = min(e.unsent.ms, maxToldMs)
	work = e.unsent.work * ms / e.unsent.ms
	e.unsent = sampledAverage{}
	if !differ(work/ms, known) {
		return 0, 0
	}
	e.told.add(now, work, ms)
	return work, ms
}

// differ reports whether a rate differs from a known one so much that peers are told.
// Any rate differs from 0, an unknown one.
func differ(rate, known float64) bool {
	return rate > known*(1+speedChangeShare) || rate*(1+speedChangeShare) < known
}

// serviceSpeed holds the mean rates of the upstreams of a service.
type serviceSpeed struct {
	prefill, streams float64 // Tokens per ms; streams is 0 while unknown.
	at               time.Time
}

// serviceSpeed returns the mean rates of the upstreams of a service, each of which
// counts once. The caller holds the lock.
func (p *Placer) serviceSpeed(now time.Time, service string) serviceSpeed {
	known, ok := p.serviceSpeeds[service]
	if ok && now.Sub(known.at) < serviceSpeedInterval {
		return known
	}
	var prefill, streams sampledAverage // One ms for each upstream.
	for _, s := range p.states {
		if s.upstream.Service != service {
			continue
		}
		if rate, ok := s.prefill.all.lastingRate(now); ok {
			prefill = prefill.plus(now, rate, 1)
		}
		if rate, ok := s.streams.all.lastingRate(now); ok {
			streams = streams.plus(now, rate, 1)
		}
	}
	if !ok {
		known = serviceSpeed{prefill: initialPrefillRate}
	}
	known.at = now
	if prefill.ms > 0 {
		known.prefill = prefill.work / prefill.ms
	}
	if streams.ms > 0 {
		known.streams = streams.work / streams.ms
	}
	if p.serviceSpeeds == nil {
		p.serviceSpeeds = map[string]serviceSpeed{}
	}
	p.serviceSpeeds[service] = known
	return known
}

// refreshSpeed evaluates the speed of an upstream for the cost of a choice. The caller
// holds the lock.
func (p *Placer) refreshSpeed(now time.Time, s *upstreamState) {
	if !s.speedAt.IsZero() && now.Sub(s.speedAt) < speedRefreshInterval {
		return
	}
	service := p.serviceSpeed(now, s.upstream.Service)
	s.speedAt = now
	_, prefill := s.prefill.all.rates(now, service.prefill, prefillPriorMs)
	recent, lasting := s.streams.all.rates(now, service.streams, streamPriorMs)
	s.slowness = 1
	if recent > 0 && service.streams > 0 {
		// Requests run for longer on a slow upstream, so their number tells half of it.
		s.slowness = math.Sqrt(min(max(service.streams/recent, 1/maxSlowness), maxSlowness))
		// What slows the streams slows prefill too, and streams show it first.
		prefill *= min(max(recent/lasting, 1/maxSlowness), 1)
	}
	s.prefillRate = max(prefill, minPrefillRate)
}

// addPrefillSample records that a run got its first token. The caller holds the lock.
func (r *Run) addPrefillSample(now time.Time) {
	ms := float64(now.Sub(r.startedAt)) / float64(time.Millisecond)
	if tokens := float64(r.uncachedTokens + r.queuedTokens); tokens > minSampleTokens && ms > 0 {
		r.upstream.prefill.addOwn(now, min(max(tokens/ms, minPrefillRate), maxPrefillRate)*ms, ms)
	}
}

// RecordEvents records that the stream of a run has got so many events, and for how long
// the caller has waited for the latest ones. Events that wait for a slow client tell nothing
// about the upstream. Calls for one run must not overlap.
func (r *Run) RecordEvents(now time.Time, events int, waited time.Duration) {
	r.eventsWait += waited
	elapsed := now.Sub(r.eventsAt)
	first := r.eventsAt.IsZero()
	if !first && elapsed < streamSampleInterval {
		return
	}
	added, waitShare := events-r.events, float64(r.eventsWait)/float64(elapsed)
	r.events, r.eventsAt, r.eventsWait = events, now, 0
	if first || added <= 0 || elapsed > maxStreamGap || waitShare < minWaitShare {
		return
	}
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	r.upstream.streams.addOwn(now, float64(added*r.eventTokens), float64(elapsed)/float64(time.Millisecond))
}

// TakeSpeeds returns the speeds of upstreams that differ from what peers know, for the
// caller to send to them.
func (p *Placer) TakeSpeeds(now time.Time) []savoryloft.UpstreamSpeed {
	p.mu.Lock()
	defer p.mu.Unlock()
	var speeds []savoryloft.UpstreamSpeed
	for id, s := range p.states {
		if s.prefill.unsent.ms < minToldPrefillMs && s.streams.unsent.ms < minToldStreamMs {
			continue
		}
		service := p.serviceSpeed(now, s.upstream.Service)
		knownPrefill, knownStreams := s.toldRates(now, service)
		promptTokens, prefillMs := s.prefill.take(now, knownPrefill, minToldPrefillMs)
		streamTokens, streamMs := s.streams.take(now, knownStreams, minToldStreamMs)
		if prefillMs+streamMs > 0 {
			speeds = append(speeds, savoryloft.UpstreamSpeed{
				Upstream: id, PromptTokens: int(promptTokens), PrefillMs: int(prefillMs), StreamTokens: int(streamTokens), StreamMs: int(streamMs),
			})
		}
	}
	return speeds
}

// MergeSpeeds merges the speeds that a peer has sent. It returns those that differ from
// what was known, for the caller to relay. Those of upstreams that have not been
// candidates are only relayed.
func (p *Placer) MergeSpeeds(now time.Time, speeds []savoryloft.UpstreamSpeed) []savoryloft.UpstreamSpeed {
	p.mu.Lock()
	defer p.mu.Unlock()
	var relay []savoryloft.UpstreamSpeed
	for _, speed := range speeds {
		s := p.states[speed.Upstream]
		if s == nil {
			relay = append(relay, speed)
			continue
		}
		service := p.serviceSpeed(now, s.upstream.Service)
		knownPrefill, knownStreams := s.toldRates(now, service)
		promptTokens, prefillMs := float64(speed.PromptTokens), float64(speed.PrefillMs)
		streamTokens, streamMs := float64(speed.StreamTokens), float64(speed.StreamMs)
		s.prefill.addTold(now, promptTokens, prefillMs)
		s.streams.addTold(now, streamTokens, streamMs)
		if prefillMs > 0 && differ(promptTokens/prefillMs, knownPrefill) || streamMs > 0 && differ(streamTokens/streamMs, knownStreams) {
			relay = append(relay, speed)
		}
	}
	return relay
}

// toldRates returns the rates that peers know: the lasting one of prefill and that of
// streams at the moment.
func (s *upstreamState) toldRates(now time.Time, service serviceSpeed) (prefill, streams float64) {
	_, prefill = s.prefill.told.rates(now, service.prefill, prefillPriorMs)
	streams, _ = s.streams.told.rates(now, service.streams, streamPriorMs)
	return prefill, streams
}

// PrefillTime returns the time that an upstream of a service takes to process prompt
// tokens, at the mean rate of the service's upstreams.
func (p *Placer) PrefillTime(now time.Time, service string, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(float64(tokens) / p.serviceSpeed(now, service).prefill * float64(time.Millisecond))
}
