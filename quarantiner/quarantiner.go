// Package quarantiner keeps requests with a prompt part that crashes upstreams away
// from them.
//
// When the connection of a request breaks before its upstream has responded for a
// moment, the upstream is probed. If it has ended, each prompt part of the request that
// other requests may share is suspected, and so are those of the other requests that it
// began to respond to. A successful request clears its parts of every suspicion, so a
// part that sound requests share with harmful ones is cleared again and again. A part
// under which convictionCrashes upstreams have ended without a success in between is
// quarantined: requests with it are refused. Of several such parts the one with the most
// crashes is quarantined, and of equals the one deepest in the prompt, which the fewest
// requests share; the crashes that it explains no longer count against the others.
//
// When a quarantine ends, one request with the part is admitted as a trial. If its
// upstream ends, the part is quarantined again for a longer time; if it succeeds, the
// part is cleared.
//
// Instances exchange crashes and verdicts. A verdict has a version, which rises with
// each change; of verdicts with the same version the highest state is valid, so
// instances that receive the same ones in any order agree. Times are durations, so
// clocks do not have to agree.
//
// # Usage
//
//	q := &quarantiner.Quarantiner{Dial: pool.Dial, Notify: broadcast, Logger: log, Metrics: registry}
//	if wait, ok := q.Admit(parts); !ok {
//		return refuse(wait)
//	}
//	q.ObserveBroken(upstream, parts, func() { ended.Add(1) })
//	q.ObserveSuccess(parts)
//	q.Merge(suspicions, peer)
package quarantiner

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"savoryloft.example/savoryloft"
)

const (
	convictionCrashes = 3                // Upstreams that end under a part before it is quarantined.
	firstPeriod       = 20 * time.Second // Of the first quarantine of a part.
	periodGrowth      = 3                // Factor between a part's quarantines.
	maxPeriod         = time.Hour
	periodSpread      = 10 * time.Second // Maximum random extension of a quarantine, so that instances try the part one by one.
	trialTimeout      = 5 * time.Second  // After which a trial without a result counts as not made.
	successLifetime   = 2 * time.Second  // In which a success speaks against a crash that becomes known after it.
	crashLifetime     = 10 * time.Minute // After which a crash no longer counts against parts.
	verdictLifetime   = 2 * time.Hour    // After which a verdict that has not changed is forgotten.
	maxCrashes        = 256
	pruneInterval     = time.Second
)

// State is the state of a prompt part. Of two verdicts with the same version the one
// with the higher state is valid.
type State int

// States of a part. A part without a verdict is not known to be harmful.
const (
	Trial       State = iota // One request with the part was admitted; its result is awaited.
	Quarantined              // Requests with the part are refused.
	Cleared                  // A request with the part has succeeded.
)

// Quarantiner decides which requests may be sent to upstreams. Set the exported fields
// before the first call.
type Quarantiner struct {
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Notify sends changes to the peers, except to the one that they come from; from is
	// empty if they are this instance's own.
	Notify  func(s savoryloft.Suspicions, from string)
	Logger  logr.Logger
	Metrics metrics.Registry

	restricted atomic.Int64 // Parts that are quarantined or on trial.

	mu        sync.Mutex
	probes    map[incarnation]*probe
	alive     map[incarnation]time.Time // Upstreams that accepted a probe lately.
	crashes   map[incarnation]*crash
	suspected map[string]bool // Parts against which a crash counts.
	verdicts  map[string]*verdict
	successes map[string]time.Time // Last success by part.
	prunedAt  time.Time
}

// crash is the end of an upstream.
type crash struct {
	at    time.Time // When this instance received it.
	parts map[string]*evidence
}

// evidence is a crash as far as it concerns one part.
type evidence struct {
	depth   int
	counted bool // The part has not been cleared since.
}

// verdict is the state of a part.
type verdict struct {
	version int
	state   State
	strikes int
	until   time.Time // End of the quarantine or of the trial.
	changed time.Time
}

// init makes the maps. The caller holds the lock.
func (q *Quarantiner) init() {
	if q.probes == nil {
		q.probes, q.alive = map[incarnation]*probe{}, map[incarnation]time.Time{}
		q.crashes, q.verdicts = map[incarnation]*crash{}, map[string]*verdict{}
		q.suspected, q.successes = map[string]bool{}, map[string]time.Time{}
	}
}

// sharedParts returns the parts of a prompt that other requests may have too. The last
// part belongs to the request or its session alone.
func sharedParts(parts []savoryloft.PromptPart) []savoryloft.PromptPart {
	return parts[:max(len(parts)-1, 0)]
}

// Admit reports whether a request with the given prompt parts may be sent to an
// upstream. If not, wait is the time until that may change.
func (q *Quarantiner) Admit(parts []savoryloft.PromptPart) (wait time.Duration, ok bool) {
	if q.restricted.Load() == 0 {
		return 0, true
	}
	q.mu.Lock()
	now := time.Now()
	var trials []string
	for _, p := range sharedParts(parts) {
		v := q.verdicts[p.ID]
		if v == nil || v.state == Cleared {
			continue
		}
		wait = max(wait, v.until.Sub(now))
		trials = append(trials, p.ID)
	}
	if wait > 0 || len(trials) == 0 {
		q.mu.Unlock()
		return wait, wait == 0
	}
	var s savoryloft.Suspicions
	for _, id := range trials {
		v := q.verdicts[id]
		v.until = now.Add(trialTimeout + spread())
		q.change(&s, id, v, Trial, v.version+1)
	}
	q.mu.Unlock()
	q.notify(s, "")
	return 0, true
}

// ObserveSuccess records that an upstream has responded to a request with the given
// prompt parts for long enough that they cannot crash it.
func (q *Quarantiner) ObserveSuccess(parts []savoryloft.PromptPart) {
	shared := sharedParts(parts)
	if len(shared) == 0 {
		return
	}
	var s savoryloft.Suspicions
	q.mu.Lock()
	q.init()
	now := time.Now()
	q.prune(now)
	for _, p := range shared {
		q.successes[p.ID] = now
		q.clear(&s, p.ID)
	}
	if len(s.Verdicts) > 0 {
		q.evaluate(&s, now) // The crashes may have another cause.
	}
	q.mu.Unlock()
	q.notify(s, "")
}

// observeEnd records that an upstream has ended under requests with the given prompts.
func (q *Quarantiner) observeEnd(key incarnation, prompts [][]savoryloft.PromptPart) {
	c := savoryloft.UpstreamCrash{Upstream: key.upstream, StartedAt: key.startedAt}
	for _, parts := range prompts {
		for i, p := range sharedParts(parts) {
			if !slices.Contains(c.Parts, p.ID) {
				c.Parts, c.Depths = append(c.Parts, p.ID), append(c.Depths, i)
			}
		}
	}
	if len(c.Parts) > 0 {
		q.Merge(savoryloft.Suspicions{Crashes: []savoryloft.UpstreamCrash{c}}, "")
	}
}

// Merge records what a peer, or this instance itself if from is empty, has found out,
// and passes on what is new.
func (q *Quarantiner) Merge(received savoryloft.Suspicions, from string) {
	var s savoryloft.Suspicions
	q.mu.Lock()
	q.init()
	now := time.Now()
	q.prune(now)
	for _, v := range received.Verdicts {
		q.mergeVerdict(&s, v, now)
	}
	for _, c := range received.Crashes {
		q.mergeCrash(&s, c, now)
	}
	q.evaluate(&s, now)
	q.mu.Unlock()
	q.notify(s, from)
}

// Suspicions returns all that this instance knows, for a peer that may lack it.
func (q *Quarantiner) Suspicions() savoryloft.Suspicions {
	q.mu.Lock()
	defer q.mu.Unlock()
	var s savoryloft.Suspicions
	now := time.Now()
	for key, c := range q.crashes {
		if now.Sub(c.at) > crashLifetime {
			continue
		}
		report := savoryloft.UpstreamCrash{Upstream: key.upstream, StartedAt: key.startedAt}
		for id, e := range c.parts {
			if e.counted {
				report.Parts, report.Depths = append(report.Parts, id), append(report.Depths, e.depth)
			}
		}
		if len(report.Parts) > 0 {
			s.Crashes = append(s.Crashes, report)
		}
	}
	for id, v := range q.verdicts {
		s.Verdicts = append(s.Verdicts, v.encode(id, now))
	}
	return s
}

// mergeVerdict takes a verdict over if it is newer. A quarantine that a recent success
// of this instance contradicts is lifted at once.
func (q *Quarantiner) mergeVerdict(s *savoryloft.Suspicions, received savoryloft.PartVerdict, now time.Time) {
	v := q.verdicts[received.Part]
	if v != nil && cmp.Or(cmp.Compare(received.Version, v.version), cmp.Compare(received.State, int(v.state))) <= 0 {
		return
	}
	if v == nil {
		v = &verdict{}
		q.verdicts[received.Part] = v
	}
	remaining := min(time.Duration(received.Remaining)*time.Millisecond, maxPeriod)
	v.strikes, v.until = received.Strikes, now.Add(remaining+spread())
	q.change(s, received.Part, v, State(received.State), received.Version)
	if v.state == Cleared {
		q.discount(received.Part)
	} else if q.succeededLately(received.Part, now) {
		q.clear(s, received.Part)
	}
}

// mergeCrash records a crash. The parts that were known with it already are skipped.
func (q *Quarantiner) mergeCrash(s *savoryloft.Suspicions, received savoryloft.UpstreamCrash, now time.Time) {
	key := incarnation{received.Upstream, received.StartedAt}
	c := q.crashes[key]
	if c == nil {
		if len(q.crashes) >= maxCrashes {
			q.forgetOldestCrash()
		}
		c = &crash{at: now, parts: map[string]*evidence{}}
		q.crashes[key] = c
	}
	added := savoryloft.UpstreamCrash{Upstream: received.Upstream, StartedAt: received.StartedAt}
	for i, id := range received.Parts {
		if c.parts[id] != nil {
			continue
		}
		c.parts[id] = &evidence{depth: received.Depths[i], counted: true}
		q.suspected[id] = true
		added.Parts, added.Depths = append(added.Parts, id), append(added.Depths, received.Depths[i])
		if v := q.verdicts[id]; v != nil && v.state != Cleared && (v.state == Trial || !now.Before(v.until)) {
			q.quarantine(s, id, v, now)
		}
		if q.succeededLately(id, now) {
			q.clear(s, id)
		}
	}
	if len(added.Parts) > 0 {
		s.Crashes = append(s.Crashes, added)
	}
}

func (q *Quarantiner) forgetOldestCrash() {
	var oldest incarnation
	var at time.Time
	for key, c := range q.crashes {
		if at.IsZero() || c.at.Before(at) {
			oldest, at = key, c.at
		}
	}
	delete(q.crashes, oldest)
}

func (q *Quarantiner) succeededLately(part string, now time.Time) bool {
	at, ok := q.successes[part]
	return ok && now.Sub(at) <= successLifetime
}

// evaluate quarantines parts until no part without a verdict has too many crashes that
// no quarantined part explains.
func (q *Quarantiner) evaluate(s *savoryloft.Suspicions, now time.Time) {
	for {
		part, crashes := q.mostSuspect(now)
		if crashes < convictionCrashes {
			return
		}
		v := q.verdicts[part]
		if v == nil {
			v = &verdict{}
			q.verdicts[part] = v
		}
		q.quarantine(s, part, v, now)
		q.Logger.Info("prompt part crashes upstreams", "part", part, "upstreams", crashes)
	}
}

// mostSuspect returns the part with the most unexplained crashes, and of equals the
// deepest one.
func (q *Quarantiner) mostSuspect(now time.Time) (part string, crashes int) {
	type suspect struct{ crashes, depth int }
	suspects := map[string]suspect{}
	for _, c := range q.crashes {
		if now.Sub(c.at) > crashLifetime || q.explained(c) {
			continue
		}
		for id, e := range c.parts {
			if e.counted {
				known := suspects[id]
				suspects[id] = suspect{known.crashes + 1, max(known.depth, e.depth)}
			}
		}
	}
	var most suspect
	for id, p := range suspects {
		if cmp.Or(cmp.Compare(p.crashes, most.crashes), cmp.Compare(p.depth, most.depth), cmp.Compare(id, part)) > 0 {
			part, most = id, p
		}
	}
	return part, most.crashes
}

// explained reports whether a part that is quarantined or on trial has caused a crash.
func (q *Quarantiner) explained(c *crash) bool {
	for id, e := range c.parts {
		if v := q.verdicts[id]; e.counted && v != nil && v.state != Cleared {
			return true
		}
	}
	return false
}

// quarantine starts the next quarantine of a part.
func (q *Quarantiner) quarantine(s *savoryloft.Suspicions, part string, v *verdict, now time.Time) {
	v.strikes++
	period := firstPeriod
	for n := 1; n < v.strikes && period < maxPeriod; n++ {
		period *= periodGrowth
	}
	v.until = now.Add(min(period, maxPeriod) + spread())
	q.change(s, part, v, Quarantined, v.version+1)
}

// clear lifts all suspicion from a part.
func (q *Quarantiner) clear(s *savoryloft.Suspicions, part string) {
	suspected := q.suspected[part]
	v := q.verdicts[part]
	if !suspected && (v == nil || v.state == Cleared) {
		return
	}
	if v == nil {
		v = &verdict{}
		q.verdicts[part] = v
	}
	q.discount(part)
	v.strikes, v.until = 0, time.Time{}
	q.change(s, part, v, Cleared, v.version+1)
}

// discount makes the crashes so far not count against a part.
func (q *Quarantiner) discount(part string) {
	delete(q.suspected, part)
	for _, c := range q.crashes {
		if e := c.parts[part]; e != nil {
			e.counted = false
		}
	}
}

// change moves a part's verdict to another state and version and adds it to s.
func (q *Quarantiner) change(s *savoryloft.Suspicions, part string, v *verdict, next State, version int) {
	now := time.Now()
	wasRestricted := v.version > 0 && v.state != Cleared
	if restricted := next != Cleared; restricted != wasRestricted {
		if restricted {
			q.restricted.Add(1)
		} else {
			q.restricted.Add(-1)
		}
	}
	if next != Cleared || wasRestricted {
		q.Logger.Info("prompt part "+next.String(), "part", part, "version", version, "strikes", v.strikes,
			"wait", max(v.until.Sub(now), 0).Round(time.Millisecond).String())
		metrics.GetOrRegisterCounter("prompt_parts_total."+next.String(), q.Metrics).Inc(1)
	}
	v.version, v.state, v.changed = version, next, now
	s.Verdicts = append(s.Verdicts, v.encode(part, now))
}

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"Trial", "Quarantined", "Cleared"}[s]
}

func (v *verdict) encode(part string, now time.Time) savoryloft.PartVerdict {
	return savoryloft.PartVerdict{
		Part: part, Version: v.version, State: int(v.state), Strikes: v.strikes,
		Remaining: int(max(v.until.Sub(now), 0) / time.Millisecond),
	}
}

// prune removes what has expired. The caller holds the lock.
func (q *Quarantiner) prune(now time.Time) {
	if now.Sub(q.prunedAt) < pruneInterval {
		return
	}
	q.prunedAt = now
	for id, at := range q.successes {
		if now.Sub(at) > successLifetime {
			delete(q.successes, id)
		}
	}
	for key, c := range q.crashes {
		if now.Sub(c.at) > crashLifetime {
			delete(q.crashes, key)
		}
	}
	if len(q.crashes) == 0 {
		clear(q.suspected)
	}
	for id, v := range q.verdicts {
		if now.Sub(v.changed) > verdictLifetime {
			if v.state != Cleared {
				q.restricted.Add(-1)
			}
			delete(q.verdicts, id)
		}
	}
}

// notify sends changes to the peers. The caller does not hold the lock.
func (q *Quarantiner) notify(s savoryloft.Suspicions, from string) {
	if len(s.Crashes)+len(s.Verdicts) > 0 {
		q.Notify(s, from)
	}
}

func spread() time.Duration { return rand.N(periodSpread) }
