package admitter

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	limitPeriod     = time.Second // Time between two changes of an upstream's limit.
	limitDecrease   = 0.85        // Factor on the limit when too many observations miss the target.
	lateShare       = 0.1         // Part of observations that may miss the target.
	fullShare       = 0.8         // Part of the limit in use from which the limit may grow.
	smoothing       = 0.2         // Weight of a new observation in moving averages.
	stragglerFactor = 3           // Multiple of the pool's median pace that makes a straggler.
	failuresToExpel = 3           // Failures in a row after which an upstream is set aside.
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

	mu       sync.Mutex
	running  []*Grant
	limit    float64 // Estimate of the requests that the upstream carries within the targets.
	adjusted time.Time
	seen     int
	late     int
	peak     int32
	pace     float64 // Moving average of observed time over target time.
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
	return max(minLimit, int(u.limit))
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
// tier first and in it the latest to start.
func (u *Upstream) victim(tier int, spare func(tier int) bool) *Grant {
	u.mu.Lock()
	defer u.mu.Unlock()
	var best *Grant
	for _, g := range u.running {
		t := g.request.Class.Tier
		if t <= tier || !g.request.Preemptible || g.yielded.Load() || spare(t) {
			continue
		}
		if best == nil || t > best.request.Class.Tier ||
			t == best.request.Class.Tier && g.started.After(best.started) {
			best = g
		}
	}
	return best
}

// observe learns from an attempt that has ended.
func (u *Upstream) observe(r *Request, o Observation) {
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
	first := float64(o.FirstToken) / (targetHeadroom * float64(r.Class.FirstToken))
	between := 0.0
	if r.Class.BetweenTokens > 0 {
		between = float64(o.BetweenTokens) / float64(r.Class.BetweenTokens)
	}
	u.seen++
	if first > 1 || between > 1 {
		u.late++
	}
	u.learnPace(o)
}

// learnPace keeps a moving average, in milliseconds, of the time that one
// step of the upstream takes.
func (u *Upstream) learnPace(o Observation) {
	step := o.BetweenTokens
	if step == 0 {
		step = o.FirstToken
	}
	ms := float64(step) / float64(time.Millisecond)
	u.samples++
	if u.samples == 1 {
		u.pace = ms
		return
	}
	u.pace += smoothing * (ms - u.pace)
}

// adjust moves the limit once in each period: down by a factor when too many
// observations miss their target, up by one when the limit is in use.
func (u *Upstream) adjust(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Sub(u.adjusted) < limitPeriod {
		return
	}
	used := float64(max(u.peak, u.inFlight.Load()))
	mine := max(1, float64(u.allowance.Load()))
	switch {
	case u.seen > 0 && float64(u.late) > lateShare*float64(u.seen):
		u.limit = max(minLimit, u.limit*limitDecrease)
	case u.seen > 0 && used >= fullShare*mine:
		u.limit = min(float64(u.Slots), u.limit+1)
	}
	u.adjusted = now
	u.seen, u.late, u.peak = 0, 0, 0
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
