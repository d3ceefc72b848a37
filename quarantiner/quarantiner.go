// Package quarantiner keeps requests that crash upstreams away from them.
//
// When the connection of a request breaks, the upstream is probed. If it has ended, the
// requests that it ran are suspected: each by itself, as a client may send it again, and
// its prompt parts, as far as other requests may share them; those of requests to which
// the upstream had just begun to respond most. A suspect, a request or a part, under which
// three upstreams have ended in that way, or five in any, is quarantined: the request, or
// all requests with the part, are refused. Of several such suspects the one with the most
// crashes is quarantined, and of equals the narrowest: the request itself, then the part
// deepest in the prompt. The crashes that it explains no longer count against other parts,
// and against other requests only together with one that is not explained.
// A suspect that may be sound, since another request ran on each of the upstreams, is
// quarantined for seconds and then tried; so is one whose crashes all turn out to be those
// of suspects that are known to be harmful.
// A part is refused for one account if only requests of that account have ended upstreams,
// since a client can name any part, and for all accounts once another one's have.
//
// A successful request clears itself and its parts, so a suspect that sound requests share
// with harmful ones is cleared again and again.
//
// When a quarantine ends, one request is admitted as a trial. If its upstream ends, the
// suspect is quarantined again for a longer time; if it succeeds, the suspect is cleared.
// The first trial is repeated after seconds if others ran on each of the upstreams.
// A request is tried less often than a part, since only its own client needs it, and no
// more after a few trials.
//
// Instances exchange crashes and verdicts. A verdict has a version, which rises with
// each change; of verdicts with the same version the highest state is valid, and of
// quarantines a long one, so instances that receive the same ones in any order agree.
// Times are durations, so clocks do not have to agree.
//
// # Usage
//
//	q := &quarantiner.Quarantiner{Dial: pool.Dial, Notify: broadcast, Logger: log, Metrics: registry}
//	r := quarantiner.Request{Parts: parts, Fingerprint: fingerprint}
//	if a := q.Admit(r); !a.OK {
//		return refuse(a.Wait)
//	}
//	q.ObserveBroken(upstream, quarantiner.Broken{Request: r, OnProbed: func(ended bool) { results <- ended }})
//	q.ObserveSuccess(r)
//	q.Merge(suspicions, peer)
package quarantiner

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"savoryloft.example/savoryloft"
)

const (
	convictionWeight   = 15               // Of the crashes under a suspect before it is quarantined.
	earlyWeight        = 5                // Of a crash while an upstream began to respond to a request with the part, and of any under the same request.
	lateWeight         = 3                // Of another one.
	firstPeriod        = 20 * time.Second // Of the first quarantine of a part.
	firstRequestPeriod = 10 * time.Minute // Of the first quarantine of a request.
	uncertainPeriod    = time.Second      // Of the first quarantine of suspects that may be sound; a trial tells.
	uncertainSpread    = 2 * time.Second  // Instead of periodSpread for these.
	maxRequestTrials   = 2                // Of a request. After them it stays quarantined while it comes again.
	periodGrowth       = 3                // Factor between a suspect's quarantines.
	maxPeriod          = time.Hour
	periodSpread       = 10 * time.Second       // Maximum random extension of a quarantine, so that instances try the part one by one.
	trialTimeout       = 5 * time.Second        // After which a trial without a result counts as not made.
	trialRetryAfter    = time.Second            // Told to requests that are refused because of a trial under way: most end sooner.
	abandonPause       = 500 * time.Millisecond // After a trial that was not sent, until the next one.
	successLifetime    = 2 * time.Second        // In which a success speaks against a crash that becomes known after it.
	crashLifetime      = 10 * time.Minute       // After which a crash no longer counts against parts.
	verdictLifetime    = 2 * time.Hour          // After which a verdict on a part that has not been used is forgotten; crashLifetime if it clears it.
	requestLifetime    = 24 * time.Hour         // The same for a request, which may come to an instance rarely.
	resendLifetime     = 30 * time.Second       // In which a crash is sent to peers whose link comes up.
	restartTime        = 2 * time.Second        // After which an upstream whose start is unknown may have started again.
	maxCrashes         = 256
	maxSuspects        = 512  // Of one crash.
	maxVerdicts        = 4096 // The oldest are forgotten first, those that clear a suspect before others.
	pruneInterval      = time.Second
)

// Admission is the reply to the question whether a request may be sent to an upstream.
type Admission struct {
	OK    bool
	Trial bool          // The request may be sent once, as the trial of a suspect.
	Wait  time.Duration // If not OK, the time until that may change.
}

// Quarantiner decides which requests may be sent to upstreams. Set the exported fields
// before the first call.
type Quarantiner struct {
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Notify sends changes to the peers, except to the one that they come from; from is
	// empty if they are this instance's own.
	Notify  func(s savoryloft.Suspicions, from string)
	Logger  logr.Logger
	Metrics metrics.Registry

	revision           atomic.Int64 // See Revision.
	verdictRevision    atomic.Int64 // See VerdictRevision.
	restricted         atomic.Int64 // Suspects that are quarantined or on trial.
	restrictedRequests atomic.Int64 // Those of them that are requests.
	suspectedRequests  atomic.Int64 // Requests that several crashes count against.

	mu         sync.Mutex
	probes     map[incarnation]*probe
	alive      map[incarnation]time.Time // Upstreams that accepted a probe lately.
	unresolved map[incarnation]*unresolved
	crashes    map[incarnation]*crash
	suspected  map[string]int  // Number of crashes that count, by suspect.
	candidates map[string]bool // Suspects that enough crashes count against for a quarantine.
	verdicts   map[string]*verdict
	successes  map[string]time.Time // Last success by part.
	prunedAt   time.Time
}

// crash is the end of an upstream.
type crash struct {
	at       time.Time // When this instance received it.
	suspects map[string]*evidence
}

// evidence is a crash as far as it concerns one suspect.
type evidence struct {
	depth   int
	late    bool // For a part: the upstream had responded for longer than StartingPeriod. For a request: there was no response.
	counted bool // The suspect has not been cleared since.
}

// init makes the maps. The caller holds the lock.
func (q *Quarantiner) init() {
	if q.probes == nil {
		q.probes, q.alive = map[incarnation]*probe{}, map[incarnation]time.Time{}
		q.unresolved = map[incarnation]*unresolved{}
		q.crashes, q.verdicts = map[incarnation]*crash{}, map[string]*verdict{}
		q.suspected, q.candidates, q.successes = map[string]int{}, map[string]bool{}, map[string]time.Time{}
	}
}

// Admit decides whether a request may be sent to an upstream.
func (q *Quarantiner) Admit(r Request) Admission {
	if q.restricted.Load() == 0 {
		return Admission{OK: true}
	}
	suspects := q.suspectsOf(r)
	q.mu.Lock()
	now := time.Now()
	wait := time.Duration(0)
	var trials []string
	for _, id := range suspects {
		v := q.verdicts[id]
		if v == nil || v.state == Cleared {
			continue
		}
		v.used = now
		left := v.until.Sub(now)
		if v.state == Trial {
			left = min(left, trialRetryAfter)
		}
		wait = max(wait, left)
		if isRequest(id) && v.strikes > maxRequestTrials {
			wait = max(wait, maxPeriod)
		}
		trials = append(trials, id)
	}
	if wait > 0 || len(trials) == 0 {
		q.mu.Unlock()
		return Admission{OK: wait == 0, Wait: wait}
	}
	var s savoryloft.Suspicions
	for _, id := range trials {
		v := q.verdicts[id]
		v.until = now.Add(trialTimeout + spread(false))
		q.advance(&s, id, v, Trial)
	}
	q.mu.Unlock()
	q.notify(s, "")
	return Admission{OK: true, Trial: true}
}

// AbandonTrial records that a request that was admitted as a trial has not been sent, so that
// another one can be.
func (q *Quarantiner) AbandonTrial(r Request) {
	suspects := q.suspectsOf(r)
	var s savoryloft.Suspicions
	q.mu.Lock()
	until := time.Now().Add(abandonPause)
	for _, id := range suspects {
		if v := q.verdicts[id]; v != nil && v.state == Trial && v.until.After(until) {
			v.until = until
			q.advance(&s, id, v, Trial)
		}
	}
	q.mu.Unlock()
	q.notify(s, "")
}

// ObserveHarmless records that an upstream has responded to a request for long enough
// that the parts of its prompt cannot crash it.
func (q *Quarantiner) ObserveHarmless(r Request) {
	q.observeSuccess(r, "")
}

// ObserveSuccess records that an upstream has responded to a request completely.
func (q *Quarantiner) ObserveSuccess(r Request) {
	request := ""
	if q.suspectedRequests.Load()+q.restrictedRequests.Load() > 0 {
		request = requestPrefix + r.Fingerprint()
	}
	q.observeSuccess(r, request)
}

// observeSuccess clears the parts of a request, and the request itself if it is named.
func (q *Quarantiner) observeSuccess(r Request, request string) {
	shared := sharedParts(r.Parts)
	if len(shared) == 0 && request == "" {
		return
	}
	var s savoryloft.Suspicions
	q.mu.Lock()
	q.init()
	now := time.Now()
	q.prune(now)
	for _, p := range shared {
		for _, id := range []string{p.ID, accountPart(r.Account, p.ID)} {
			q.successes[id] = now
			q.clear(&s, id)
		}
	}
	if request != "" {
		q.clear(&s, request)
	}
	if len(s.Verdicts) > 0 {
		q.evaluate(&s, now) // The crashes may have another cause.
		q.review(&s, now)
	}
	q.mu.Unlock()
	q.notify(s, "")
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
			q.reconsider(&own, added, now)
		}
	}
	if len(relayed.Crashes)+len(relayed.Verdicts) > 0 {
		q.evaluate(&own, now)
		q.review(&own, now)
	}
	q.mu.Unlock()
	q.notify(relayed, from)
	q.notify(own, "")
}

// Suspicions returns the latest crashes and the verdicts on suspects that are, or were,
// restricted, for a peer that may not know them, with at most limit suspects.
func (q *Quarantiner) Suspicions(limit int) savoryloft.Suspicions {
	q.mu.Lock()
	defer q.mu.Unlock()
	var s savoryloft.Suspicions
	now := time.Now()
	for _, state := range []State{Quarantined, Trial, Cleared} {
		for id, v := range q.verdicts {
			if v.state == state && (state != Cleared || v.lifted) && len(s.Verdicts) < limit {
				s.Verdicts = append(s.Verdicts, v.encode(id, now))
			}
		}
	}
	left := limit - len(s.Verdicts)
	for key, c := range q.crashes {
		if now.Sub(c.at) > resendLifetime {
			continue
		}
		report := savoryloft.UpstreamCrash{Upstream: key.upstream, StartedAt: key.startedAt}
		for id, e := range c.suspects {
			if e.counted && len(report.Parts) < left {
				report.Parts = append(report.Parts, savoryloft.SuspectPart{Part: id, Depth: e.depth, Late: e.late})
			}
		}
		if left -= len(report.Parts); len(report.Parts) > 0 {
			s.Crashes = append(s.Crashes, report)
		}
	}
	return s
}

// Revision returns a number that changes when there is something new in Suspicions.
func (q *Quarantiner) Revision() int64 { return q.revision.Load() }

// VerdictRevision returns a number that changes with each verdict.
func (q *Quarantiner) VerdictRevision() int64 { return q.verdictRevision.Load() }

// mergeCrash records a crash and returns it with the parts that are new with it, or that
// are known to have been in a request that was not late only now.
func (q *Quarantiner) mergeCrash(received savoryloft.UpstreamCrash, now time.Time) (added savoryloft.UpstreamCrash) {
	key := incarnation{received.Upstream, received.StartedAt}
	c := q.crashes[key]
	if c == nil || key.startedAt == 0 && now.Sub(c.at) > restartTime {
		if c == nil && len(q.crashes) >= maxCrashes {
			q.forgetOldestCrash()
		}
		if c != nil {
			q.forgetCrash(key)
		}
		c = &crash{at: now, suspects: map[string]*evidence{}}
		q.crashes[key] = c
	}
	added = savoryloft.UpstreamCrash{Upstream: received.Upstream, StartedAt: received.StartedAt}
	for _, p := range received.Parts {
		switch known := c.suspects[p.Part]; {
		case known == nil:
			if len(c.suspects) >= maxSuspects {
				continue
			}
			c.suspects[p.Part] = &evidence{depth: p.Depth, late: p.Late, counted: true}
			q.suspect(p.Part, 1)
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
			uncertain := q.suspected[p.Part] == manyCrashes && q.mayBeSound(p.Part)
			if uncertain {
				v.strikes-- // The first trial is repeated.
			}
			q.quarantine(s, p.Part, v, uncertain, now)
		}
		q.contradict(s, p.Part, now)
	}
}

// reconsider shortens the quarantines that began before it was known that others ran on an
// upstream: instances report a crash one by one.
func (q *Quarantiner) reconsider(s *savoryloft.Suspicions, added savoryloft.UpstreamCrash, now time.Time) {
	for id, e := range q.crashes[incarnation{added.Upstream, added.StartedAt}].suspects {
		v := q.verdicts[id]
		if !e.counted || v == nil || v.state != Quarantined || v.short {
			continue
		}
		afterTrial := v.strikes == 2 && q.suspected[id] == manyCrashes
		if (v.strikes == 1 && q.suspected[id] == minCrashes || afterTrial) && q.mayBeSound(id) {
			v.strikes = 0
			q.quarantine(s, id, v, true, now)
		}
	}
}

// mayBeSound reports whether others ran on each of the upstreams that have ended under a
// suspect.
func (q *Quarantiner) mayBeSound(suspect string) bool {
	for _, c := range q.crashes {
		if e := c.suspects[suspect]; e != nil && e.counted && !q.ranWithOthers(c, suspect) {
			return false
		}
	}
	return true
}

func (q *Quarantiner) forgetOldestCrash() {
	var oldest incarnation
	var at time.Time
	for key, c := range q.crashes {
		if at.IsZero() || c.at.Before(at) {
			oldest, at = key, c.at
		}
	}
	q.forgetCrash(oldest)
}

// forgetCrash removes a crash, which then counts against nothing any more.
func (q *Quarantiner) forgetCrash(key incarnation) {
	for id, e := range q.crashes[key].suspects {
		if e.counted {
			q.suspect(id, -1)
		}
	}
	delete(q.crashes, key)
}

// evaluate quarantines suspects until too little speaks against each other one, without
// the crashes that the quarantined ones explain.
func (q *Quarantiner) evaluate(s *savoryloft.Suspicions, now time.Time) {
	for len(q.candidates) > 0 {
		suspects, tallies := q.mostSuspect(now)
		if len(suspects) == 0 {
			return
		}
		for _, id := range suspects {
			v, t := q.verdictOn(id), tallies[id]
			uncertain := !t.certain || t.weight < convictionWeight || len(suspects) > 1
			if isRequest(id) && q.suspected[id] > minCrashes {
				v.strikes = 1 // The crashes beyond the third are as bad as a trial.
			}
			q.quarantine(s, id, v, uncertain, now)
		}
	}
}

// closelySuspected reports whether so many crashes count against a suspect that its
// successes matter. Many requests run on an upstream that ends; most of them never come
// again.
func (q *Quarantiner) closelySuspected(suspect string) bool {
	if isRequest(suspect) {
		return q.suspected[suspect] >= closeCrashes
	}
	return q.suspected[suspect] > 0
}

// closeCrashes is the number of crashes from which a request is closely suspected.
const closeCrashes = 2

// suspect adds to the number of crashes that count against a suspect.
func (q *Quarantiner) suspect(suspect string, crashes int) {
	before := q.closelySuspected(suspect)
	if q.suspected[suspect] += crashes; q.suspected[suspect] <= 0 {
		delete(q.suspected, suspect)
	}
	if q.suspected[suspect] >= minCrashes {
		q.candidates[suspect] = true
	} else {
		delete(q.candidates, suspect)
	}
	if after := q.closelySuspected(suspect); isRequest(suspect) && before != after {
		if after {
			q.suspectedRequests.Add(1)
		} else {
			q.suspectedRequests.Add(-1)
		}
	}
}

// discount makes the crashes so far not count against a suspect.
func (q *Quarantiner) discount(id string) {
	q.suspect(id, -q.suspected[id])
	for _, c := range q.crashes {
		if e := c.suspects[id]; e != nil {
			e.counted = false
		}
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
			q.forgetCrash(key)
		}
	}
	for id, v := range q.verdicts {
		if now.Sub(v.used) > v.lifetime(id) {
			q.forgetVerdict(id)
		}
	}
}

// notify sends changes to the peers. The caller does not hold the lock.
func (q *Quarantiner) notify(s savoryloft.Suspicions, from string) {
	if len(s.Crashes)+len(s.Verdicts) > 0 {
		q.revision.Add(1)
		q.verdictRevision.Add(int64(len(s.Verdicts)))
		q.Notify(s, from)
	}
}

// spread returns the random extension of a quarantine.
func spread(short bool) time.Duration {
	if short {
		return rand.N(uncertainSpread)
	}
	return rand.N(periodSpread)
}
