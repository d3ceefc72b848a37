package admitter

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	limitInterval        = 500 * time.Millisecond // Time between two adjustments of an upstream's limit.
	limitSettlingTime    = 500 * time.Millisecond // Time until a lower limit is reflected in observed latencies.
	limitIncrement       = 0.25                   // Increase of the limit per interval.
	minLimitFactor       = 0.7                    // Smallest factor applied to the limit per interval.
	highWatermark        = 0.80                   // Ratio of observed to target latency above which the limit is lowered.
	fleetLimitWeight     = 0.3                    // Part of the difference to the fleet's estimate by which blendLimit moves the limit.
	overloadThreshold    = 1.1                    // Ratio of observed to target latency above which lower tiers are preempted.
	lowWatermark         = 0.7                    // Ratio of observed to target latency below which the limit may be raised.
	minUtilization       = 0.8                    // Part of the allowance that must be in use before the limit is raised.
	smoothing            = 0.2                    // Weight of a new observation in moving averages.
	stragglerFactor      = 3                      // Multiple of the pool's median step time above which an upstream is a straggler.
	failuresToEject      = 3                      // Consecutive failures after which an upstream is ejected.
	probeInterval        = 2 * time.Second        // Time between two probes of an ejected upstream.
	upstreamsPerEjection = 3                      // One straggler may be ejected per this many upstreams of a pool.
	minLimit             = 1                      // Minimum limit in requests.
	minStepTimeSamples   = 3                      // Minimum number of observations before the step time is used.
	firstTokenBudget     = 0.8                    // Part of the first-token target allotted to an attempt; the rest is for queueing.
)

// Upstream is an upstream as seen by this instance. Its slots are acquired and
// released with atomic operations.
type Upstream struct {
	UpstreamConfig

	inFlight  atomic.Int32
	allowance atomic.Int32 // Maximum number of requests that this instance may run on the upstream.
	draining  atomic.Bool
	ejected   atomic.Bool // The upstream receives only probes, one at a time.

	stepTimeBits atomic.Uint64 // Copy of stepTimeMS as float64 bits, readable without mu.
	overloaded   atomic.Bool   // Latency exceeded overloadThreshold when last measured.

	mu                  sync.Mutex // Guards the fields below.
	running             []*Grant
	limit               float64 // Estimated number of requests that can run within the latency targets.
	limitUpdated        time.Time
	firstTokens         mean    // Times to the first token in this interval.
	tokenIntervals      mean    // Times between tokens in this interval.
	peakInFlight        int32   // Maximum of inFlight in this interval.
	stepTimeMS          float64 // Moving average of the step time, in milliseconds.
	stepTimeSamples     int
	consecutiveFailures int
	nextProbe           time.Time
}

func newUpstream(config UpstreamConfig) *Upstream {
	u := &Upstream{UpstreamConfig: config, limit: float64(config.Slots), limitUpdated: time.Now()}
	u.allowance.Store(int32(config.Slots))
	u.draining.Store(config.Draining)
	return u
}

// InFlight returns the number of requests that this instance runs on the
// upstream.
func (u *Upstream) InFlight() int { return int(u.inFlight.Load()) }

// Allowance returns the maximum number of requests that this instance may run
// on the upstream.
func (u *Upstream) Allowance() int { return int(u.allowance.Load()) }

// Limit returns this instance's estimate of the number of requests that the
// upstream can run within the latency targets.
func (u *Upstream) Limit() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(minLimit, int(math.Round(u.limit)))
}

// freeSlots returns the number of slots that this instance may still acquire.
func (u *Upstream) freeSlots() int32 {
	if u.draining.Load() {
		return 0
	}
	limit := u.allowance.Load()
	if u.ejected.Load() {
		limit = min(limit, u.probeSlots())
	}
	return limit - u.inFlight.Load()
}

// probeSlots returns the allowance of an ejected upstream: one slot if a probe
// is due, otherwise none.
func (u *Upstream) probeSlots() int32 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Now().Before(u.nextProbe) {
		return 0
	}
	return 1
}

// acquire takes a slot, or returns false if none is free.
func (u *Upstream) acquire() bool {
	for {
		n := u.inFlight.Load()
		if u.freeSlots() <= 0 {
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
	u.peakInFlight = max(u.peakInFlight, u.inFlight.Load())
	if u.ejected.Load() {
		u.nextProbe = time.Now().Add(probeInterval)
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

// victim returns the grant to preempt for a tier, or nil: among the preemptible
// grants in the lowest tier below it, the one that has run longest, since it has
// generated the most output for the cost of processing its prompt. Tiers for
// which protected returns true are skipped.
func (u *Upstream) victim(tier int, protected func(tier int) bool) *Grant {
	u.mu.Lock()
	defer u.mu.Unlock()
	var best *Grant
	for _, g := range u.running {
		t := g.request.Class.Tier
		if t <= tier || !g.request.Preemptible || g.preempted.Load() || protected(t) {
			continue
		}
		if best == nil || g.preemptedBefore(best) {
			best = g
		}
	}
	return best
}

// preemptedBefore reports whether g is preempted in preference to other.
func (g *Grant) preemptedBefore(other *Grant) bool {
	if g.request.Class.Tier != other.request.Class.Tier {
		return g.request.Class.Tier > other.request.Class.Tier
	}
	return g.started.Before(other.started)
}

// record updates the statistics with the outcome of an attempt and ejects the
// upstream after consecutive failures.
func (u *Upstream) record(o Observation) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if o.Failed {
		u.consecutiveFailures++
		if u.consecutiveFailures >= failuresToEject {
			u.ejected.Store(true)
			u.nextProbe = time.Now().Add(probeInterval)
		}
		return
	}
	if o.FirstToken == 0 {
		return
	}
	u.consecutiveFailures = 0
	u.firstTokens.add(o.FirstToken)
	if o.BetweenTokens > 0 {
		u.tokenIntervals.add(o.BetweenTokens)
	}
	if o.BetweenTokens > 0 {
		u.recordStepTime(o.BetweenTokens)
	} else {
		u.recordStepTime(o.FirstToken)
	}
}

// recordProgress updates the statistics with the mean time between the latest
// tokens of a running attempt.
func (u *Upstream) recordProgress(between time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tokenIntervals.add(between)
	u.recordStepTime(between)
}

// mean accumulates the mean of durations.
type mean struct {
	sum   time.Duration
	count int
}

func (m *mean) add(d time.Duration) {
	m.sum += d
	m.count++
}

// ratioTo returns the ratio of the mean to a target, or zero if there is no
// observation or no target.
func (m *mean) ratioTo(target time.Duration) float64 {
	if m.count == 0 || target == 0 {
		return 0
	}
	return float64(m.sum) / float64(m.count) / float64(target)
}

// recordStepTime updates the moving average of the step time with the time
// between two tokens, or with the time to the first token of an attempt that has
// no time between tokens.
func (u *Upstream) recordStepTime(step time.Duration) {
	ms := float64(step) / float64(time.Millisecond)
	u.stepTimeSamples++
	if u.stepTimeSamples == 1 {
		u.stepTimeMS = ms
	}
	u.stepTimeMS += smoothing * (ms - u.stepTimeMS)
	u.stepTimeBits.Store(math.Float64bits(u.stepTimeMS))
}

// adjustLimit adjusts the limit once per interval: additive increase while
// latencies are below the low watermark and the allowance is in use,
// proportional decrease while they are above the high watermark. Latencies of
// all classes are compared with the strictest targets among the active classes,
// because all requests share the upstream's batch.
func (u *Upstream) adjustLimit(now time.Time, strictest latencyTargets) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Sub(u.limitUpdated) < limitInterval {
		return
	}
	firstTokenTarget := time.Duration(firstTokenBudget * float64(strictest.firstToken))
	latencyRatio := max(u.firstTokens.ratioTo(firstTokenTarget), u.tokenIntervals.ratioTo(strictest.betweenTokens))
	if latencyRatio > 0 {
		u.overloaded.Store(latencyRatio > overloadThreshold)
	}
	used := float64(max(u.peakInFlight, u.inFlight.Load()))
	switch {
	case latencyRatio > highWatermark:
		u.limit = max(minLimit, u.limit*max(minLimitFactor, highWatermark/latencyRatio))
		now = now.Add(limitSettlingTime)
	case latencyRatio < lowWatermark && used >= minUtilization*float64(u.allowance.Load()):
		u.limit = min(float64(u.Slots), u.limit+limitIncrement)
	}
	u.limitUpdated = now
	u.firstTokens, u.tokenIntervals, u.peakInFlight = mean{}, mean{}, 0
}

// blendLimit moves the limit towards the fleet's estimate, since each instance
// observes only a part of the upstream's requests.
func (u *Upstream) blendLimit(fleetLimit float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit += fleetLimitWeight * (fleetLimit - u.limit)
}

// stepTime returns the mean step time in milliseconds; ok is false if there are
// too few observations.
func (u *Upstream) stepTime() (ms float64, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stepTimeMS, u.stepTimeSamples >= minStepTimeSamples
}

// failing reports whether the upstream is ejected for consecutive failures.
func (u *Upstream) failing() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.consecutiveFailures >= failuresToEject
}
