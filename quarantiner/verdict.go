package quarantiner

import (
	"cmp"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"savoryloft.example/savoryloft"
)

// State is the state of a suspect. Of two verdicts with the same version the one
// with the higher state is valid, and of quarantines the longer one.
type State int

// States of a suspect. One without a verdict is not known to be harmful.
const (
	Trial       State = iota // One request was admitted; its result is awaited.
	Quarantined              // Requests are refused.
	Cleared                  // A request has succeeded.
)

// verdict is the state of a suspect.
type verdict struct {
	version int
	state   State
	strikes int       // Quarantines since the suspect was last cleared.
	lifted  bool      // It was cleared after a quarantine.
	short   bool      // The suspect is quarantined, but may be sound.
	until   time.Time // End of the quarantine or of the trial.
	used    time.Time // When it changed or when a request was last refused.
}

// mergeVerdict takes a verdict over and returns true if it is newer.
func (q *Quarantiner) mergeVerdict(received savoryloft.PartVerdict, now time.Time) bool {
	v := q.verdicts[received.Part]
	remaining := min(time.Duration(received.Remaining)*time.Millisecond, maxPeriod)
	short := received.State == int(Quarantined) && remaining <= uncertainPeriod+uncertainSpread
	if v != nil && cmp.Or(cmp.Compare(received.Version, v.version), cmp.Compare(received.State, int(v.state)), boolToInt(v.short)-boolToInt(short)) <= 0 {
		return false
	}
	v = q.verdictOn(received.Part)
	v.short = short
	v.strikes, v.until = received.Strikes, now.Add(remaining+spread(short))
	q.change(received.Part, v, State(received.State), received.Version)
	if v.state == Cleared {
		q.discount(received.Part)
	}
	return true
}

// contradict clears a suspect if a recent success of this instance speaks for it.
func (q *Quarantiner) contradict(s *savoryloft.Suspicions, id string, now time.Time) {
	if at, ok := q.successes[id]; ok && now.Sub(at) <= successLifetime {
		q.clear(s, id)
	}
}

// quarantine starts the next quarantine of a suspect, a short one if the suspect may be
// sound.
func (q *Quarantiner) quarantine(s *savoryloft.Suspicions, id string, v *verdict, uncertain bool, now time.Time) {
	v.strikes++
	v.short = uncertain
	if uncertain {
		v.until = now.Add(uncertainPeriod + spread(true))
	} else {
		v.until = now.Add(v.period(id) + spread(false))
	}
	q.advance(s, id, v, Quarantined)
}

// period returns the usual period of the current quarantine.
func (v *verdict) period(id string) time.Duration {
	period := firstPeriod
	if isRequest(id) {
		period = firstRequestPeriod
	}
	for n := 1; n < v.strikes && period < maxPeriod; n++ {
		period *= periodGrowth
	}
	return min(period, maxPeriod)
}

// review ends the quarantines of suspects whose crashes are explained by others that are
// known to be harmful, so that a trial tells whether they are as well.
func (q *Quarantiner) review(s *savoryloft.Suspicions, now time.Time) {
	if q.restricted.Load() < 2 {
		return
	}
	explained := map[string]bool{} // By suspect that is restricted: all its crashes are.
	for _, c := range q.crashes {
		forRequests, forParts := q.harmfulIn(c, false), q.harmfulIn(c, true)
		for id, e := range c.suspects {
			if e.counted && q.isRestricted(id) {
				harmful := forParts
				if isRequest(id) {
					harmful = forRequests
				}
				known, ok := explained[id]
				explained[id] = (known || !ok) && explainedBy(harmful, id)
			}
		}
	}
	for id, all := range explained {
		if v := q.verdicts[id]; all && v.state == Quarantined && v.until.Sub(now) > uncertainPeriod+uncertainSpread {
			v.strikes = min(v.strikes, maxRequestTrials)
			v.short, v.until = true, now
			q.advance(s, id, v, Quarantined)
		}
	}
}

// clear lifts all suspicion from a suspect.
func (q *Quarantiner) clear(s *savoryloft.Suspicions, id string) {
	v := q.verdicts[id]
	if !q.closelySuspected(id) && (v == nil || v.state == Cleared) {
		return
	}
	v = q.verdictOn(id)
	q.discount(id)
	v.strikes, v.until = 0, time.Time{}
	q.advance(s, id, v, Cleared)
}

// advance moves a suspect's verdict to a state and the next version, and adds it to s.
func (q *Quarantiner) advance(s *savoryloft.Suspicions, id string, v *verdict, next State) {
	q.change(id, v, next, v.version+1)
	s.Verdicts = append(s.Verdicts, v.encode(id, v.used))
}

// change sets the state and the version of a suspect's verdict.
func (q *Quarantiner) change(id string, v *verdict, next State, version int) {
	now := time.Now()
	wasRestricted := v.version > 0 && v.state != Cleared
	if restricted := next != Cleared; restricted != wasRestricted {
		q.addRestricted(id, restricted)
	}
	v.lifted = next == Cleared && (v.lifted || wasRestricted)
	if next != Cleared || wasRestricted {
		q.log(id, v, next, version, now)
	}
	v.version, v.state, v.used = version, next, now
	v.short = v.short && next == Quarantined
}

// log logs and counts a change of a verdict.
func (q *Quarantiner) log(suspect string, v *verdict, next State, version int, now time.Time) {
	what, counter, values := "prompt part ", "prompt_parts_total.", []any{"part", suspect}
	if account, part, ok := cutAccountPart(suspect); ok {
		values = []any{"part", part, "account", account}
	} else if isRequest(suspect) {
		what, counter, values = "request ", "crashing_requests_total.", []any{"request", strings.TrimPrefix(suspect, requestPrefix)}
	}
	q.Logger.Info(what+next.String(), append(values, "version", version, "strikes", v.strikes,
		"wait", max(v.until.Sub(now), 0).Round(time.Millisecond).String())...)
	metrics.GetOrRegisterCounter(counter+next.String(), q.Metrics).Inc(1)
}

// addRestricted updates the numbers of restricted suspects.
func (q *Quarantiner) addRestricted(suspect string, restricted bool) {
	n := int64(1)
	if !restricted {
		n = -1
	}
	q.restricted.Add(n)
	if isRequest(suspect) {
		q.restrictedRequests.Add(n)
	}
}

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"Trial", "Quarantined", "Cleared"}[s]
}

func (v *verdict) encode(id string, now time.Time) savoryloft.PartVerdict {
	return savoryloft.PartVerdict{
		Part: id, Version: v.version, State: int(v.state), Strikes: v.strikes,
		Remaining: int(max(v.until.Sub(now), 0) / time.Millisecond),
	}
}

// lifetime returns the time after which a verdict that has not been used is forgotten.
func (v *verdict) lifetime(id string) time.Duration {
	switch {
	case v.state == Cleared:
		return crashLifetime
	case isRequest(id):
		return requestLifetime
	}
	return verdictLifetime
}

// forgetVerdict removes a verdict.
func (q *Quarantiner) forgetVerdict(id string) {
	if q.verdicts[id].state != Cleared {
		q.addRestricted(id, false)
	}
	delete(q.verdicts, id)
}

// verdictOn returns the verdict on a suspect, a new one if there is none. If there are too
// many, the one that has not been used for the longest time is removed.
func (q *Quarantiner) verdictOn(id string) *verdict {
	v := q.verdicts[id]
	if v != nil {
		return v
	}
	if len(q.verdicts) >= maxVerdicts {
		oldest := ""
		for other, v := range q.verdicts {
			o := q.verdicts[oldest]
			if o == nil || cmp.Or(cmp.Compare(boolToInt(v.state == Cleared), boolToInt(o.state == Cleared)), o.used.Compare(v.used)) > 0 {
				oldest = other
			}
		}
		q.forgetVerdict(oldest)
	}
	v = &verdict{state: Cleared}
	q.verdicts[id] = v
	return v
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
