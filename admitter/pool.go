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

// Pool holds the upstreams of one pool and the requests waiting for them.
type Pool struct {
	Name string

	admitter   *Admitter
	table      atomic.Pointer[[]*Upstream] // Replaced as a whole, never changed.
	floors     atomic.Pointer[[Tiers]int]
	waiting    atomic.Int32
	running    [Tiers]atomic.Int32
	turn       atomic.Uint32 // Next upstream for round robin.
	share      atomic.Pointer[Share]
	demand     demand
	medianPace atomic.Uint64             // Bits of the median pace of the upstreams, in milliseconds.
	slots      atomic.Int64              // Sum of the allowances on usable upstreams.
	firstToken atomic.Int64              // Moving average of attempts' times to the first token, in nanoseconds.
	preempted  [preemptions]atomic.Int64 // Attempts preempted, by reason.

	mu         sync.Mutex // Guards the queue, which only waiting requests touch.
	queue      queue
	floorsOpen [Tiers]time.Time // Since when a tier runs less than its floor in the whole fleet; zero when it does not.
}

func newPool(a *Admitter, name string) *Pool {
	p := &Pool{Name: name, admitter: a}
	p.table.Store(&[]*Upstream{})
	p.share.Store(&Share{})
	p.queue.init(a.Policy)
	return p
}

// Upstreams returns the pool's upstreams. The slice must not be changed.
func (p *Pool) Upstreams() []*Upstream { return *p.table.Load() }

// Waiting returns the number of requests queued.
func (p *Pool) Waiting() int { return int(p.waiting.Load()) }

func (p *Pool) totalRunning() int {
	n := 0
	for t := range p.running {
		n += int(p.running[t].Load())
	}
	return n
}

func (p *Pool) waitingByTier() [Tiers]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.count
}

// Running returns the number of running requests by tier.
func (p *Pool) Running() [Tiers]int {
	var n [Tiers]int
	for t := range n {
		n[t] = int(p.running[t].Load())
	}
	return n
}

func (p *Pool) update(targets []Target) {
	old := map[string]*Upstream{}
	for _, u := range p.Upstreams() {
		old[u.Name+" "+u.Address] = u
	}
	table := make([]*Upstream, 0, len(targets))
	for _, t := range targets {
		u, ok := old[t.Name+" "+t.Address]
		if !ok || u.Slots != t.Slots {
			u = newUpstream(t)
		}
		u.leaving.Store(t.Leaving)
		delete(old, t.Name+" "+t.Address)
		table = append(table, u)
	}
	slices.SortFunc(table, func(a, b *Upstream) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for _, u := range old {
		u.leaving.Store(true)
	}
	p.table.Store(&table)
	p.countSlots()
	p.dispatch()
}

func (p *Pool) grant(ctx context.Context, u *Upstream, r *Request, floor bool) *Grant {
	ctx, cancel := context.WithCancelCause(ctx)
	g := &Grant{
		Upstream: u, Context: ctx, pool: p, request: r, cancel: cancel,
		started: time.Now(), floor: floor,
	}
	r.last = u.Name
	p.running[r.Class.Tier].Add(1)
	u.addGrant(g)
	return g
}

// finish returns a grant's slot and gives it to the next request waiting.
func (p *Pool) finish(g *Grant, o Observation) {
	g.Upstream.removeGrant(g)
	g.Upstream.observe(o)
	p.learnFirstToken(o)
	p.running[g.request.Class.Tier].Add(-1)
	g.Upstream.inFlight.Add(-1)
	if p.waiting.Load() > 0 {
		p.settle(g, o)
		p.dispatch()
	}
}

// learnFirstToken follows the usual time to the first token. Of two
// observations at once one may be lost, which a moving average can bear.
func (p *Pool) learnFirstToken(o Observation) {
	if o.Failed || o.FirstToken == 0 {
		return
	}
	old := p.firstToken.Load()
	if old == 0 {
		old = int64(o.FirstToken)
	}
	p.firstToken.Store(old + int64(smoothing*float64(int64(o.FirstToken)-old)))
}

// need returns the time before its end that a waiter needs a slot: the usual
// time to the first token and that for which a preempted attempt yields.
func (p *Pool) need() time.Duration {
	return time.Duration(urgentFactor*float64(p.firstToken.Load())) + urgentMargin
}

// settle corrects the estimates that the grant was charged with.
func (p *Pool) settle(g *Grant, o Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.settle(g, o, time.Since(g.started))
}

// wait queues a request until it gets a slot, its patience ends or ctx ends.
func (p *Pool) wait(ctx context.Context, r *Request) (*Grant, error) {
	w := &waiter{ctx: ctx, request: r, ready: make(chan *Grant, 1), refused: make(chan *savoryloft.Error, 1)}
	if err := p.enqueue(w); err != nil {
		return nil, err
	}
	p.dispatch()
	end := time.NewTimer(time.Until(r.Arrived.Add(patience(r.Class))))
	defer end.Stop()
	select {
	case g := <-w.ready:
		return g, nil
	case err := <-w.refused:
		return nil, err
	case <-end.C:
		return p.leave(w, nil)
	case <-ctx.Done():
		return p.leave(w, context.Cause(ctx))
	}
}

// leave ends a wait. A grant or refusal that was already under way decides,
// unless the request itself has ended.
func (p *Pool) leave(w *waiter, cause error) (*Grant, error) {
	p.mu.Lock()
	if cause == nil {
		p.refuse(w, "no slot within the class's patience")
	} else {
		p.remove(w)
	}
	p.mu.Unlock()
	select {
	case g := <-w.ready:
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

// enqueue adds a waiter, or refuses it at once when it could not get a slot in
// time and no lower tier can yield one.
func (p *Pool) enqueue(w *waiter) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	tier := w.request.Class.Tier
	wait := p.queue.expectedWait(tier)
	yieldable := p.canYield(tier)
	if !yieldable && wait > patience(w.request.Class)-time.Since(w.request.Arrived) {
		return refusal("Overloaded", "no slot within the class's patience", spread(wait))
	}
	if int(p.waiting.Load()) >= p.maxQueued() {
		shed := p.queue.lowest(tier)
		if shed == nil {
			return refusal("QueueFull", "the queue is full", spread(wait))
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

// remove takes a waiter out of the queue. The caller holds p.mu.
func (p *Pool) remove(w *waiter) bool {
	if !p.queue.remove(w) {
		return false
	}
	p.waiting.Add(-1)
	return true
}

// refuse answers a waiter at once. The caller holds p.mu.
func (p *Pool) refuse(w *waiter, reason string) {
	if !p.remove(w) {
		return
	}
	w.refused <- refusal("Overloaded", reason, spread(p.queue.expectedWait(w.request.Class.Tier)))
}

// dispatch gives free slots to waiters, the policy's first choice first.
func (p *Pool) dispatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.queue.accrue(now, p.share.Load().Floors)
	p.openFloors(now)
	for p.waiting.Load() > 0 {
		w, floor := p.queue.next(now)
		if w == nil {
			return
		}
		if !floor && !w.asked.Load() && !p.roomFor(w.request.Class.Tier) && !w.patienceEnds(now, p.need()) {
			return
		}
		if !floor || w.request.Resumed {
			w = p.preferCached(w)
		}
		u := p.choose(w.request)
		if u == nil && len(w.request.Exclude) > 0 {
			w.request.Exclude = nil // Better the same upstream again than a queue that stands still.
			u = p.choose(w.request)
		}
		if u == nil {
			return
		}
		p.remove(w)
		p.queue.charge(w, floor, now)
		w.ready <- p.grant(w.ctx, u, w.request, floor)
	}
}

// openFloors tells the queue which floors may be used. The instances use an open
// floor one after the other, a digest apart; if all did at once, a class would
// get what it is due in bursts and stand still between them. The caller holds
// p.mu.
func (p *Pool) openFloors(now time.Time) {
	s := p.share.Load()
	for t := range p.floorsOpen {
		running := int(p.running[t].Load()) + s.RunningElsewhere[t]
		if float64(running) >= math.Ceil(s.FleetFloors[t]) {
			p.floorsOpen[t] = time.Time{}
		} else if p.floorsOpen[t].IsZero() {
			p.floorsOpen[t] = now
		}
		turn := time.Duration(s.Position) * floorTurn
		p.queue.open[t] = !p.floorsOpen[t].IsZero() && now.Sub(p.floorsOpen[t]) >= turn
	}
}

// preferCached returns a resumed waiter of the same class whose last upstream
// has a free slot, or else w: there its prompt need not be processed again. A
// waiter is passed over only a few times. The caller holds p.mu.
func (p *Pool) preferCached(w *waiter) *waiter {
	if w.asked.Load() || w.passedOver >= mostPassedOver || p.admitter.Policy.FirstInFirstOut {
		return w
	}
	var usableNames map[string]bool // Made when the first resumed waiter asks; mostly none waits.
	free := func(name string) bool {
		if usableNames == nil {
			usableNames = map[string]bool{}
			for _, u := range p.Upstreams() {
				if usable(u, w.request) {
					usableNames[u.Name] = true
				}
			}
		}
		return usableNames[name]
	}
	if w.request.Resumed && free(w.request.last) {
		return w
	}
	cached := p.queue.resumedAt(w.class, free)
	if cached == nil {
		return w
	}
	w.passedOver++
	return cached
}

// tick moves limits and preempts.
func (p *Pool) tick() {
	now := time.Now()
	p.adjustUpstreams(now)
	if p.waiting.Load() > 0 {
		p.dispatch()
		p.preempt(now)
	}
	p.relieve(now)
}

func (p *Pool) adjustUpstreams(now time.Time) {
	table := p.Upstreams()
	if !p.admitter.Policy.FixedLimits {
		strictest := p.demand.strictest(now)
		for _, u := range table {
			u.adjust(now, strictest)
		}
	}
	p.demand.measure(now)
	p.follow(now)
	p.countSlots()
	median, ok := medianPace(table)
	if !ok {
		return
	}
	p.medianPace.Store(math.Float64bits(median))
	if !p.admitter.Policy.NoStragglerGuard {
		setStragglersAside(table, median)
	}
}

// medianPace returns the median pace of the upstreams; ok is false when too few
// have been observed.
func medianPace(table []*Upstream) (ms float64, ok bool) {
	var paces []float64
	for _, u := range table {
		if ms, ok := u.paceOf(); ok {
			paces = append(paces, ms)
		}
	}
	if len(paces) < asideShare {
		return 0, false
	}
	slices.Sort(paces)
	return paces[len(paces)/2], true
}

// setStragglersAside marks upstreams whose pace is far above the median. Only
// a part of the pool is ever set aside for its pace.
func setStragglersAside(table []*Upstream, median float64) {
	left := len(table) / asideShare
	for _, u := range table {
		ms, ok := u.paceOf()
		slow := ok && ms > stragglerFactor*median
		if slow && left > 0 {
			left--
			u.aside.Store(true)
			continue
		}
		if !u.failing() {
			u.aside.Store(false)
		}
	}
}

// spread adds jitter to the time after which callers come back, so that they
// do not all return at once.
func spread(d time.Duration) time.Duration {
	const least = time.Second
	const most = 30 * time.Second
	d = min(max(d, least), most)
	return d + rand.N(d/2+1)
}
