// Package quarantiner keeps requests with a prompt part that crashes upstreams away
// from them.
//
// When the connection of a request breaks, the upstream is probed. If it has ended, the
// prompt parts of the requests that it ran are suspected, as far as other requests may
// share them, and those of requests to which it had just begun to respond most. A
// successful request clears its parts, so a part that sound requests share with harmful
// ones is cleared again and again. A part under which three upstreams have ended in that
// way, or five in any, without a success in between is quarantined: requests with it are
// refused. Of several such parts the most suspected one is quarantined, and of equals the
// one deepest in the prompt, which the fewest requests share; the crashes that it explains
// no longer count against the others.
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
//	q.ObserveBroken(upstream, quarantiner.Broken{Parts: parts, OnProbed: func(ended bool) { results <- ended }})
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
	convictionWeight = 15               // Of the crashes under a part before it is quarantined.
	earlyWeight      = 5                // Of a crash while an upstream began to respond to a request with the part.
	lateWeight       = 3                // Of another one.
	firstPeriod      = 20 * time.Second // Of the first quarantine of a part.
	periodGrowth     = 3                // Factor between a part's quarantines.
	maxPeriod        = time.Hour
	periodSpread     = 10 * time.Second // Maximum random extension of a quarantine, so that instances try the part one by one.
	trialTimeout     = 5 * time.Second  // After which a trial without a result counts as not made.
	successLifetime  = 2 * time.Second  // In which a success speaks against a crash that becomes known after it.
	crashLifetime    = 10 * time.Minute // After which a crash no longer counts against parts.
	verdictLifetime  = 2 * time.Hour    // After which a verdict that has not changed is forgotten; crashLifetime if it clears its part.
	resendLifetime   = 30 * time.Second // In which a crash is sent to peers whose link comes up.
	restartTime      = 2 * time.Second  // After which an upstream whose start is unknown may have started again.
	maxCrashes       = 256
	pruneInterval    = time.Second
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
	late    bool
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
		q.advance(&s, id, v, Trial)
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

// observeEnd records that an upstream has ended under requests.
func (q *Quarantiner) observeEnd(key incarnation, broken []Broken) {
	c := savoryloft.UpstreamCrash{Upstream: key.upstream, StartedAt: key.startedAt}
	for _, b := range broken {
		for depth, p := range sharedParts(b.Parts) {
			i := slices.IndexFunc(c.Parts, func(known savoryloft.SuspectPart) bool { return known.Part == p.ID })
			if i < 0 {
				c.Parts = append(c.Parts, savoryloft.SuspectPart{Part: p.ID, Depth: depth, Late: b.Late})
				continue
			}
			c.Parts[i].Late = c.Parts[i].Late && b.Late
		}
	}
	if len(c.Parts) > 0 {
		q.Merge(savoryloft.Suspicions{Crashes: []savoryloft.UpstreamCrash{c}}, "")
	}
}

// Merge records what a peer, or this instance itself if from is empty, has found out,
// and passes on what is new.
func (q *Quarantiner) Merge(received savoryloft.Suspicions, from string) {
	var relayed, own savoryloft.Suspicions
	q.mu.Lock()
	q.init()
	now := time.Now()
	q.prune(now)
	for _, v := range received.Verdicts {
		if q.mergeVerdict(v, now) {
			relayed.Verdicts = append(relayed.Verdicts, v)
			q.contradict(&own, v.Part, now)
		}
	}
	for _, c := range received.Crashes {
		if added := q.mergeCrash(c, now); len(added.Parts) > 0 {
			relayed.Crashes = append(relayed.Crashes, added)
			q.judge(&own, added, now)
		}
	}
	q.evaluate(&own, now)
	q.mu.Unlock()
	q.notify(relayed, from)
	q.notify(own, "")
}

// Suspicions returns the latest crashes and the parts that are not cleared, for a peer
// that may not know them.
func (q *Quarantiner) Suspicions() savoryloft.Suspicions {
	q.mu.Lock()
	defer q.mu.Unlock()
	var s savoryloft.Suspicions
	now := time.Now()
	for key, c := range q.crashes {
		if now.Sub(c.at) > resendLifetime {
			continue
		}
		report := savoryloft.UpstreamCrash{Upstream: key.upstream, StartedAt: key.startedAt}
		for id, e := range c.parts {
			if e.counted {
				report.Parts = append(report.Parts, savoryloft.SuspectPart{Part: id, Depth: e.depth, Late: e.late})
			}
		}
		if len(report.Parts) > 0 {
			s.Crashes = append(s.Crashes, report)
		}
	}
	for id, v := range q.verdicts {
		if v.state != Cleared {
			s.Verdicts = append(s.Verdicts, v.encode(id, now))
		}
	}
	return s
}

// mergeVerdict takes a verdict over and returns true if it is newer.
func (q *Quarantiner) mergeVerdict(received savoryloft.PartVerdict, now time.Time) bool {
	v := q.verdicts[received.Part]
	if v != nil && cmp.Or(cmp.Compare(received.Version, v.version), cmp.Compare(received.State, int(v.state))) <= 0 {
		return false
	}
	if v == nil {
		v = &verdict{}
		q.verdicts[received.Part] = v
	}
	remaining := min(time.Duration(received.Remaining)*time.Millisecond, maxPeriod)
	v.strikes, v.until = received.Strikes, now.Add(remaining+spread())
	q.change(received.Part, v, State(received.State), received.Version)
	if v.state == Cleared {
		q.discount(received.Part)
	}
	return true
}

// contradict clears a part if a recent success of this instance speaks for it.
func (q *Quarantiner) contradict(s *savoryloft.Suspicions, part string, now time.Time) {
	if at, ok := q.successes[part]; ok && now.Sub(at) <= successLifetime {
		q.clear(s, part)
	}
}

// mergeCrash records a crash and returns it with the parts that are new with it, or that
// are known to have been in a request that was not late only now.
func (q *Quarantiner) mergeCrash(received savoryloft.UpstreamCrash, now time.Time) (added savoryloft.UpstreamCrash) {
	key := incarnation{received.Upstream, received.StartedAt}
	c := q.crashes[key]
	if c == nil || key.startedAt == 0 && now.Sub(c.at) > restartTime {
		if c == nil && len(q.crashes) >= maxCrashes {
			q.forgetOldestCrash()
		}
		c = &crash{at: now, parts: map[string]*evidence{}}
		q.crashes[key] = c
	}
	added = savoryloft.UpstreamCrash{Upstream: received.Upstream, StartedAt: received.StartedAt}
	for _, p := range received.Parts {
		switch known := c.parts[p.Part]; {
		case known == nil:
			c.parts[p.Part] = &evidence{depth: p.Depth, late: p.Late, counted: true}
			q.suspected[p.Part] = true
		case known.late && !p.Late:
			known.late = false
		default:
			continue
		}
		added.Parts = append(added.Parts, p)
	}
	return added
}

// judge quarantines again what a crash has shown to be harmful in a trial, and clears
// what a recent success speaks for.
func (q *Quarantiner) judge(s *savoryloft.Suspicions, c savoryloft.UpstreamCrash, now time.Time) {
	for _, p := range c.Parts {
		v := q.verdicts[p.Part]
		if v != nil && v.state != Cleared && (v.state == Trial || !now.Before(v.until)) {
			q.quarantine(s, p.Part, v, now)
		}
		q.contradict(s, p.Part, now)
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

// evaluate quarantines parts until too little speaks against each other one, without the
// crashes that the quarantined ones explain.
func (q *Quarantiner) evaluate(s *savoryloft.Suspicions, now time.Time) {
	for {
		part, weight := q.mostSuspect(now)
		if weight < convictionWeight {
			return
		}
		v := q.verdicts[part]
		if v == nil {
			v = &verdict{}
			q.verdicts[part] = v
		}
		q.quarantine(s, part, v, now)
	}
}

// mostSuspect returns the part against which the unexplained crashes speak most, and of
// equals the deepest one.
func (q *Quarantiner) mostSuspect(now time.Time) (part string, weight int) {
	type suspect struct{ weight, depth int }
	suspects := map[string]suspect{}
	for _, c := range q.crashes {
		if now.Sub(c.at) > crashLifetime || q.explained(c) {
			continue
		}
		for id, e := range c.parts {
			if e.counted {
				known := suspects[id]
				suspects[id] = suspect{known.weight + e.weight(), max(known.depth, e.depth)}
			}
		}
	}
	var most suspect
	for id, p := range suspects {
		if cmp.Or(cmp.Compare(p.weight, most.weight), cmp.Compare(p.depth, most.depth), cmp.Compare(id, part)) > 0 {
			part, most = id, p
		}
	}
	return part, most.weight
}

func (e *evidence) weight() int {
	if e.late {
		return lateWeight
	}
	return earlyWeight
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
	q.advance(s, part, v, Quarantined)
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
	q.advance(s, part, v, Cleared)
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

// advance moves a part's verdict to a state and the next version, and adds it to s.
func (q *Quarantiner) advance(s *savoryloft.Suspicions, part string, v *verdict, next State) {
	q.change(part, v, next, v.version+1)
	s.Verdicts = append(s.Verdicts, v.encode(part, v.changed))
}

// change sets the state and the version of a part's verdict.
func (q *Quarantiner) change(part string, v *verdict, next State, version int) {
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
		switch age := now.Sub(v.changed); {
		case v.state == Cleared && age > crashLifetime:
			delete(q.verdicts, id)
		case age > verdictLifetime:
			q.restricted.Add(-1)
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
