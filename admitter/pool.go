package admitter

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"savoryloft.example/savoryloft"
)

// Pool schedules requests on a group of interchangeable upstreams.
type Pool struct {
	Name string

	admitter       *Admitter
	upstreams      atomic.Pointer[[]*Upstream] // Copy on write; sorted by name.
	floors         atomic.Pointer[[Tiers]int]  // Percent of the pool's capacity, by tier.
	waiting        atomic.Int32                // Queued requests.
	running        [Tiers]atomic.Int32         // Running requests, by tier.
	roundRobin     atomic.Uint32               // Index of the next upstream under Policy.RoundRobin.
	share          atomic.Pointer[Share]
	demand         demand
	medianStepTime atomic.Uint64                   // Median step time of the upstreams in milliseconds, as float64 bits.
	usableSlots    atomic.Int64                    // Sum of the allowances on usable upstreams.
	meanFirstToken atomic.Int64                    // Moving average of the time to the first token, in nanoseconds.
	preempted      [preemptionReasons]atomic.Int64 // Preempted attempts, by reason.

	external *externalRoom // Set if the capacity comes from the Rooms of the requests.

	mu              sync.Mutex // Guards the fields below. Requests that get a slot of the pool without queueing do not lock it.
	queue           queue
	belowFloorSince [Tiers]time.Time // Time since which a tier has run fewer requests than its floor across the fleet; zero otherwise.
}

func newPool(a *Admitter, name string) *Pool {
	p := &Pool{Name: name, admitter: a}
	p.upstreams.Store(&[]*Upstream{})
	p.share.Store(&Share{})
	p.queue.init(a.Policy)
	return p
}

// Upstreams returns the upstreams of the pool, sorted by name. The slice must
// not be modified.
func (p *Pool) Upstreams() []*Upstream { return *p.upstreams.Load() }

// Waiting returns the number of queued requests.
func (p *Pool) Waiting() int { return int(p.waiting.Load()) }

func (p *Pool) totalRunning() int {
	n := 0
	for t := range p.running {
		n += int(p.running[t].Load())
	}
	return n
}

// WaitingByTier returns the number of queued requests by tier.
func (p *Pool) WaitingByTier() [Tiers]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.waiting
}

// Running returns the number of running requests by tier.
func (p *Pool) Running() [Tiers]int {
	var n [Tiers]int
	for t := range n {
		n[t] = int(p.running[t].Load())
	}
	return n
}

func (p *Pool) setUpstreams(configs []UpstreamConfig) {
	old := map[string]*Upstream{}
	for _, u := range p.Upstreams() {
		old[u.Name+" "+u.Address] = u
	}
	upstreams := make([]*Upstream, 0, len(configs))
	for _, config := range configs {
		u, ok := old[config.Name+" "+config.Address]
		if !ok || u.Slots != config.Slots {
			u = newUpstream(config)
		}
		u.draining.Store(config.Draining)
		delete(old, config.Name+" "+config.Address)
		upstreams = append(upstreams, u)
	}
	slices.SortFunc(upstreams, func(a, b *Upstream) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for _, u := range old {
		u.draining.Store(true)
	}
	p.upstreams.Store(&upstreams)
	p.updateUsableSlots()
	p.dispatch()
}

func (p *Pool) grant(ctx context.Context, u *Upstream, r *Request, floor bool) *Grant {
	ctx, cancel := context.WithCancelCause(ctx)
	g := &Grant{
		Upstream: u, Context: ctx, pool: p, request: r, cancel: cancel,
		started: time.Now(), usesFloor: floor,
	}
	r.lastUpstream = u.Name
	p.running[r.Class.Tier].Add(1)
	u.addGrant(g)
	return g
}

// release frees the slot of a grant and dispatches queued requests.
func (p *Pool) release(g *Grant, o Observation) {
	p.running[g.request.Class.Tier].Add(-1)
	if g.Upstream != nil {
		g.Upstream.removeGrant(g)
		g.Upstream.record(o)
		p.updateMeanFirstToken(o)
		g.Upstream.inFlight.Add(-1)
	}
	if p.waiting.Load() > 0 {
		p.reconcile(g, o)
		p.dispatch()
	}
}

// updateMeanFirstToken updates the moving average of the time to the first
// token. A concurrent update may be lost, which is harmless for an average.
func (p *Pool) updateMeanFirstToken(o Observation) {
	if o.Failed || o.FirstToken == 0 {
		return
	}
	old := p.meanFirstToken.Load()
	if old == 0 {
		old = int64(o.FirstToken)
	}
	p.meanFirstToken.Store(old + int64(smoothing*float64(int64(o.FirstToken)-old)))
}

// slotLeadTime returns how long before its deadline a queued request needs a
// slot: the mean time to the first token plus the time until a preempted
// attempt frees its slot.
func (p *Pool) slotLeadTime() time.Duration {
	return time.Duration(leadTimeFactor*float64(p.meanFirstToken.Load())) + preemptionDelay
}

// reconcile corrects the charges for a grant from estimated to observed values.
func (p *Pool) reconcile(g *Grant, o Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.reconcile(g, o, time.Since(g.started))
}

// wait queues a request until it gets a slot, is refused or times out, or ctx
// is done.
func (p *Pool) wait(ctx context.Context, r *Request) (*Grant, error) {
	w := &waiter{ctx: ctx, request: r, granted: make(chan *Grant, 1), refused: make(chan *savoryloft.Error, 1)}
	if err := p.enqueue(w); err != nil {
		return nil, err
	}
	p.dispatch()
	timeout := time.NewTimer(time.Until(r.Arrived.Add(queueTimeout(r.Class))))
	defer timeout.Stop()
	select {
	case g := <-w.granted:
		return g, nil
	case err := <-w.refused:
		return nil, err
	case <-timeout.C:
		return p.cancelWait(w, nil)
	case <-ctx.Done():
		return p.cancelWait(w, context.Cause(ctx))
	}
}

// cancelWait dequeues a waiter after its timeout, or after its context was done
// with the given cause. A grant or refusal that was sent concurrently is
// returned after a timeout; after cancellation, such a grant is released.
func (p *Pool) cancelWait(w *waiter, cause error) (*Grant, error) {
	p.mu.Lock()
	if cause == nil && p.external != nil {
		p.giveUp(w, "Waited", "no room within the class's patience", 0)
	} else if cause == nil {
		p.refuse(w, "no slot within the class's patience")
	} else {
		p.remove(w)
	}
	p.mu.Unlock()
	select {
	case g := <-w.granted:
		if cause == nil {
			return g, nil
		}
		g.Done(Observation{})
	case err := <-w.refused:
		if cause == nil {
			return nil, err
		}
	default:
	}
	return nil, cause
}

// enqueue adds a waiter to the queue. It refuses the request if its expected
// wait exceeds its timeout and no lower tier can yield a slot, or if the queue
// is full and holds no waiter of a lower tier to shed.
func (p *Pool) enqueue(w *waiter) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.external != nil {
		return p.enqueueForRoom(w)
	}
	tier := w.request.Class.Tier
	wait := p.queue.expectedWait(tier)
	canYield := p.lowerTierCanYield(tier)
	if !canYield && wait > queueTimeout(w.request.Class)-time.Since(w.request.Arrived) {
		return refusal("Overloaded", "no slot within the class's patience", retryAfter(wait))
	}
	if int(p.waiting.Load()) >= p.maxQueued() {
		shed := p.queue.shedCandidate(tier)
		if shed == nil {
			return refusal("QueueFull", "the queue is full", retryAfter(wait))
		}
		p.refuse(shed, "shed for a higher tier")
	}
	p.queue.push(w)
	p.waiting.Add(1)
	return nil
}

func (p *Pool) maxQueued() int {
	if p.admitter.MaxQueued > 0 {
		return p.admitter.MaxQueued
	}
	return defaultMaxQueued
}

// remove dequeues a waiter. It returns false if the waiter is not queued. The
// caller holds p.mu.
func (p *Pool) remove(w *waiter) bool {
	if !p.queue.remove(w) {
		return false
	}
	p.waiting.Add(-1)
	return true
}

// refuse dequeues a waiter and sends it a refusal. The caller holds p.mu.
func (p *Pool) refuse(w *waiter, reason string) {
	if !p.remove(w) {
		return
	}
	w.refused <- refusal("Overloaded", reason, retryAfter(p.queue.expectedWait(w.request.Class.Tier)))
}

// dispatch assigns free slots to queued requests in the order of the policy.
func (p *Pool) dispatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.external != nil {
		p.dispatchToRoom(now)
		return
	}
	p.queue.accrueCredit(now, p.share.Load().Floors)
	p.updateOpenFloors(now)
	for p.waiting.Load() > 0 {
		w, floor := p.queue.next(now)
		if w == nil {
			return
		}
		if !floor && !w.preemptionRequested.Load() && !p.mayTakeSlot(w.request.Class.Tier) && !w.timesOutWithin(now, p.slotLeadTime()) {
			return
		}
		if !floor || w.request.Resumed {
			w = p.preferCached(w)
		}
		u := p.acquireUpstream(w.request)
		if u == nil && len(w.request.Exclude) > 0 {
			w.request.Exclude = nil // Use an excluded upstream rather than block the queue.
			u = p.acquireUpstream(w.request)
		}
		if u == nil {
			return
		}
		p.remove(w)
		p.queue.charge(w, floor, now)
		w.granted <- p.grant(w.ctx, u, w.request, floor)
	}
}

// updateOpenFloors updates the tiers whose floors the queue may use. A floor is
// open while its tier runs fewer requests across the fleet than the floor
// guarantees. Instances start to use an open floor in turn, floorStagger apart:
// if all started at the same time, the tier would get its share in bursts and
// make no progress in between. The caller holds p.mu.
func (p *Pool) updateOpenFloors(now time.Time) {
	s := p.share.Load()
	for t := range p.belowFloorSince {
		running := int(p.running[t].Load()) + s.RunningElsewhere[t]
		if float64(running) >= math.Ceil(s.FleetFloors[t]) {
			p.belowFloorSince[t] = time.Time{}
		} else if p.belowFloorSince[t].IsZero() {
			p.belowFloorSince[t] = now
		}
		delay := time.Duration(s.FloorPosition) * floorStagger
		p.queue.floorOpen[t] = !p.belowFloorSince[t].IsZero() && now.Sub(p.belowFloorSince[t]) >= delay
	}
}

// preferCached returns the waiter to serve in place of w: a resumed waiter of
// the same class whose last upstream has a free slot, since its prompt is still
// cached there. It returns w if there is none, if preemption was requested for w
// or if w has been skipped maxSkips times. The caller holds p.mu.
func (p *Pool) preferCached(w *waiter) *waiter {
	if w.preemptionRequested.Load() || w.skipped >= maxSkips || p.admitter.Policy.FirstInFirstOut {
		return w
	}
	var eligibleNames map[string]bool // Built on first use; most queues hold no resumed waiter.
	hasFreeSlot := func(name string) bool {
		if eligibleNames == nil {
			eligibleNames = map[string]bool{}
			for _, u := range p.Upstreams() {
				if eligible(u, w.request) {
					eligibleNames[u.Name] = true
				}
			}
		}
		return eligibleNames[name]
	}
	if w.request.Resumed && hasFreeSlot(w.request.lastUpstream) {
		return w
	}
	cached := p.queue.oldestResumed(w.class, hasFreeSlot)
	if cached == nil {
		return w
	}
	w.skipped++
	return cached
}

// tick updates limits, dispatches queued requests and preempts running ones.
func (p *Pool) tick() {
	now := time.Now()
	if p.external != nil {
		p.tickRoom(now)
		return
	}
	p.adjustUpstreams(now)
	if p.waiting.Load() > 0 {
		p.dispatch()
		p.preempt(now)
	}
	p.relieveOverload(now)
}

// adjustUpstreams adjusts the limits of the upstreams, updates the demand of the
// pool, and ejects or readmits upstreams by their step time.
func (p *Pool) adjustUpstreams(now time.Time) {
	upstreams := p.Upstreams()
	if !p.admitter.Policy.FixedLimits {
		strictest := p.demand.strictestTargets(now)
		for _, u := range upstreams {
			u.adjustLimit(now, strictest)
		}
	}
	p.demand.updateArrivalRates(now)
	p.updateAverages(now)
	p.updateUsableSlots()
	median, ok := medianStepTime(upstreams)
	if !ok {
		return
	}
	p.medianStepTime.Store(math.Float64bits(median))
	if !p.admitter.Policy.NoStragglerEjection {
		ejectStragglers(upstreams, median)
	}
}

// medianStepTime returns the median step time of the upstreams in milliseconds;
// ok is false if fewer than upstreamsPerEjection have a step time.
func medianStepTime(upstreams []*Upstream) (ms float64, ok bool) {
	var stepTimes []float64
	for _, u := range upstreams {
		if ms, ok := u.stepTime(); ok {
			stepTimes = append(stepTimes, ms)
		}
	}
	if len(stepTimes) < upstreamsPerEjection {
		return 0, false
	}
	slices.Sort(stepTimes)
	return stepTimes[len(stepTimes)/2], true
}

// ejectStragglers ejects upstreams whose step time is far above the median, but
// at most one in upstreamsPerEjection, and readmits those that have recovered.
func ejectStragglers(upstreams []*Upstream, median float64) {
	quota := len(upstreams) / upstreamsPerEjection
	for _, u := range upstreams {
		ms, ok := u.stepTime()
		slow := ok && ms > stragglerFactor*median
		if slow && quota > 0 {
			quota--
			u.ejected.Store(true)
			continue
		}
		if !u.failing() {
			u.ejected.Store(false)
		}
	}
}

// retryAfter returns the delay after which a refused caller should retry. It is
// at least the expected wait, within bounds, and has jitter so that callers do
// not retry at the same time.
func retryAfter(wait time.Duration) time.Duration {
	const minDelay = time.Second
	const maxDelay = 30 * time.Second
	wait = min(max(wait, minDelay), maxDelay)
	return wait + rand.N(wait/2+1)
}
