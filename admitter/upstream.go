package admitter

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	limitPeriod     = 500 * time.Millisecond // Time between two changes of an upstream's limit.
	settleTime      = 500 * time.Millisecond // Time that a lower limit takes to show in observations.
	increase        = 0.25                   // Growth of the limit in one period.
	mostDecrease    = 0.7                    // Least factor on the limit in one period.
	highMark        = 0.80                   // Part of a target from which the limit goes down.
	adoption        = 0.3                    // Part of the difference to the fleet's limit that each digest removes.
	overloadMark    = 1.1                    // Part of a target above which running lower tiers yield.
	lowMark         = 0.7                    // Part of a target up to which the limit may grow.
	fullShare       = 0.8                    // Part of the limit in use from which the limit may grow.
	smoothing       = 0.2                    // Weight of a new observation in moving averages.
	stragglerFactor = 3                      // Multiple of the pool's median pace that makes a straggler.
	failuresToExpel = 3                      // Failures in a row after which an upstream is set aside.
	probeInterval   = 2 * time.Second
	asideShare      = 3 // At most one in this many upstreams of a pool is set aside as a straggler.
	minLimit        = 1
	minPaceSamples  = 3
	targetHeadroom  = 0.8 // Part of the first-token target that an attempt itself may take.
)

// Upstream is one upstream as seen by this instance. Its slots are taken and
// given back with atomic operations.
type Upstream struct {
	Target

	inFlight  atomic.Int32
	allowance atomic.Int32 // Most requests that this instance may run here.
	leaving   atomic.Bool
	aside     atomic.Bool // Set aside: one probe at a time.

	paceNow    atomic.Uint64 // Bits of pace, for choosing without the lock.
	overloaded atomic.Bool   // Above the overload mark in the last period.

	mu       sync.Mutex
	running  []*Grant
	limit    float64 // Estimate of the requests that the upstream carries within the targets.
	adjusted time.Time
	firsts   mean // Times to the first token in this period.
	betweens mean // Times between tokens in this period.
	peak     int32
	pace     float64 // Moving average of the time of one step, in milliseconds.
	samples  int
	failures int
	probeAt  time.Time
}

func newUpstream(t Target) *Upstream {
	u := &Upstream{Target: t, limit: float64(t.Slots), adjusted: time.Now()}
	u.allowance.Store(int32(t.Slots))
	u.leaving.Store(t.Leaving)
	return u
}

// InFlight returns this instance's running requests.
func (u *Upstream) InFlight() int { return int(u.inFlight.Load()) }

// Allowance returns the most requests that this instance may run here.
func (u *Upstream) Allowance() int { return int(u.allowance.Load()) }

// Limit returns this instance's estimate of what the upstream carries.
func (u *Upstream) Limit() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(minLimit, int(math.Round(u.limit)))
}

// room returns the number of free slots.
func (u *Upstream) room() int32 {
	if u.leaving.Load() {
		return 0
	}
	limit := u.allowance.Load()
	if u.aside.Load() {
		limit = min(limit, u.probeRoom())
	}
	return limit - u.inFlight.Load()
}

// probeRoom lets one probe at a time through to an upstream set aside.
func (u *Upstream) probeRoom() int32 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Now().Before(u.probeAt) {
		return 0
	}
	return 1
}

func (u *Upstream) acquire() bool {
	for {
		n := u.inFlight.Load()
		if u.room() <= 0 {
			return false
		}
		if u.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (u *Upstream) addGrant(g *Grant) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running = append(u.running, g)
	u.peak = max(u.peak, u.inFlight.Load())
	if u.aside.Load() {
		u.probeAt = time.Now().Add(probeInterval)
	}
}

func (u *Upstream) removeGrant(g *Grant) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if i := slices.Index(u.running, g); i >= 0 {
		u.running[i] = u.running[len(u.running)-1]
		u.running[len(u.running)-1] = nil
		u.running = u.running[:len(u.running)-1]
	}
}

// victim returns a preemptible grant of a tier below the given one, the lowest
// tier first and in it the longest running, which has made the most of its
// prompt's processing.
func (u *Upstream) victim(tier int, spare func(tier int) bool) *Grant {
	u.mu.Lock()
	defer u.mu.Unlock()
	var best *Grant
	for _, g := range u.running {
		t := g.request.Class.Tier
		if t <= tier || !g.request.Preemptible || g.yielded.Load() || spare(t) {
			continue
		}
		if best == nil || g.yieldsBefore(best) {
			best = g
		}
	}
	return best
}

func (g *Grant) yieldsBefore(other *Grant) bool {
	if g.request.Class.Tier != other.request.Class.Tier {
		return g.request.Class.Tier > other.request.Class.Tier
	}
	return g.started.Before(other.started)
}

// observe learns from an attempt that has ended.
func (u *Upstream) observe(o Observation) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if o.Failed {
		u.failures++
		if u.failures >= failuresToExpel {
			u.aside.Store(true)
			u.probeAt = time.Now().Add(probeInterval)
		}
		return
	}
	if o.FirstToken == 0 {
		return
	}
	u.failures = 0
	u.firsts.add(o.FirstToken)
	if o.BetweenTokens > 0 {
		u.betweens.add(o.BetweenTokens)
	}
	if o.BetweenTokens > 0 {
		u.learnPace(o.BetweenTokens)
	} else {
		u.learnPace(o.FirstToken)
	}
}

// progress learns from an attempt that still runs.
func (u *Upstream) progress(between time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.betweens.add(between)
	u.learnPace(between)
}

// mean is the mean of durations.
type mean struct {
	sum   time.Duration
	count int
}

func (m *mean) add(d time.Duration) {
	m.sum += d
	m.count++
}

// over returns the mean as a part of a target; zero when either is missing.
func (m *mean) over(target time.Duration) float64 {
	if m.count == 0 || target == 0 {
		return 0
	}
	return float64(m.sum) / float64(m.count) / float64(target)
}

// learnPace keeps a moving average, in milliseconds, of the time that one
// step of the upstream takes.
func (u *Upstream) learnPace(step time.Duration) {
	ms := float64(step) / float64(time.Millisecond)
	u.samples++
	if u.samples == 1 {
		u.pace = ms
	}
	u.pace += smoothing * (ms - u.pace)
	u.paceNow.Store(math.Float64bits(u.pace))
}

// adjust moves the limit once in each period. Observed times are held against
// the strictest targets among the classes that use the pool, whichever class
// they were observed on, because all requests share the upstream's batch. Above
// the high mark the limit shrinks in proportion; below the low mark it grows by
// one while it is in use.
func (u *Upstream) adjust(now time.Time, strictest targets) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Sub(u.adjusted) < limitPeriod {
		return
	}
	first := time.Duration(targetHeadroom * float64(strictest.first))
	load := max(u.firsts.over(first), u.betweens.over(strictest.between))
	if load > 0 {
		u.overloaded.Store(load > overloadMark)
	}
	used := float64(max(u.peak, u.inFlight.Load()))
	switch {
	case load > highMark:
		u.limit = max(minLimit, u.limit*max(mostDecrease, highMark/load))
		now = now.Add(settleTime)
	case load < lowMark && used >= fullShare*float64(u.allowance.Load()):
		u.limit = min(float64(u.Slots), u.limit+increase)
	}
	u.adjusted = now
	u.firsts, u.betweens, u.peak = mean{}, mean{}, 0
}

// adopt moves the limit towards the fleet's, since each instance sees only a
// few of the upstream's requests.
func (u *Upstream) adopt(fleet float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit += adoption * (fleet - u.limit)
}

// paceOf returns the upstream's pace; ok is false when too little was seen.
func (u *Upstream) paceOf() (ms float64, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pace, u.samples >= minPaceSamples
}

func (u *Upstream) failing() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.failures >= failuresToExpel
}
