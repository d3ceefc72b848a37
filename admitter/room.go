package admitter

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"savoryloft.example/savoryloft"
)

const (
	startRateInterval = 250 * time.Millisecond // Time between two updates of the start rate; short, so that it follows a burst of seconds.
	startRateWeight   = 0.2                    // Weight of a new start rate in its moving average.
	clearExcess       = 2.0                    // Multiple of the time that a request may wait from which on its expected wait is clearly too long; starts come in bursts.
	minStartRate      = 2.0                    // Starts per second; bounds the expected wait after a standstill.
	roomFloorShare    = 0.05                   // Floor of each tier that waits, as a share of the running requests.
	minRoomCredit     = 0.9                    // Floor credit in slot-seconds above which a floor is used: urgent requests wait for no smaller one.
	hopelessWaitShare = 0.125                  // Share of its target for which a hopeless request waits, in case the load was overestimated.
	maxRoomTries      = 16                     // Queued requests for which one call looks for room.
	roomRetryInterval = 20 * time.Millisecond  // Time after which room is looked for again if nothing has shown that there is some.
	maxReturnDelay    = 30 * time.Second       // Upper bound of the delay after which a refused request may come back.
	returnJitter      = 0.1                    // Maximum random extension of that delay as a share of it.
)

// externalRoom is the state of a pool whose capacity comes from the Rooms of the
// requests. mu of the pool guards the fields without an atomic type.
type externalRoom struct {
	starts    atomic.Int64 // Since ratedAt.
	ratedAt   time.Time
	startRate float64          // Moving average of the starts per second; 0 while unknown.
	saturated bool             // Requests were queued all the time since the last update of the rate, so that it is that of the room.
	returns   [Tiers]time.Time // Time at which the last refused request of a tier was told to come back.
	round     int              // Calls of dispatchToRoom.
	retrying  bool             // A call of retryLater is pending.
}

// RoomChanged looks for room for the queued requests of a pool. It is called when the
// load of an upstream may have dropped, and does nothing while no request is queued.
func (a *Admitter) RoomChanged(pool string) {
	if p := a.Pool(pool); p != nil && p.waiting.Load() > 0 {
		p.dispatch()
	}
}

// roomPool returns the pool with the given name. It creates it if there is none.
func (a *Admitter) roomPool(name string) *Pool {
	if p := a.Pool(name); p != nil {
		return p
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	pools := maps.Clone(a.poolsByName())
	if p := pools[name]; p != nil {
		return p
	}
	if pools == nil {
		pools = map[string]*Pool{}
	}
	p := newPool(a, name)
	p.external = &externalRoom{}
	p.queue.minFloorCredit = minRoomCredit
	pools[name] = p
	a.pools.Store(&pools)
	return p
}

// admitToRoom is Admit for a request with a Room.
func (a *Admitter) admitToRoom(ctx context.Context, r *Request) (*Grant, error) {
	p := a.roomPool(r.Pool)
	if p.external == nil {
		return nil, refusal("NoPool", "pool "+r.Pool+" assigns the slots of its upstreams itself", time.Second)
	}
	if r.Arrived.IsZero() {
		r.Arrived = time.Now()
	}
	if p.takeAtOnce(r) {
		return p.start(ctx, r, false), nil
	}
	return p.wait(ctx, r)
}

// takeAtOnce takes room for a request if no other one waits. It locks p.mu, so that no two
// requests take the same room.
func (p *Pool) takeAtOnce(r *Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting.Load() == 0 && r.Room.Take(false).Taken
}

// start returns the grant of a request that has taken room.
func (p *Pool) start(ctx context.Context, r *Request, floor bool) *Grant {
	ctx, cancel := context.WithCancelCause(ctx)
	p.running[r.Class.Tier].Add(1)
	p.external.starts.Add(1)
	return &Grant{Context: ctx, pool: p, request: r, cancel: cancel, started: time.Now(), usesFloor: floor}
}

// startWaiter dequeues a waiter that has taken room. The caller holds p.mu.
func (p *Pool) startWaiter(w *waiter, floor bool, now time.Time) {
	p.remove(w)
	p.queue.charge(w, floor, now)
	w.granted <- p.start(w.ctx, w.request, floor)
}

// enqueueForRoom is enqueue for a request with a Room. It refuses the request if those
// ahead of it take longer to start than it may wait. The caller holds p.mu.
func (p *Pool) enqueueForRoom(w *waiter) error {
	tier, wait := w.request.Class.Tier, p.expectedRoomWait(w.request)
	if wait > time.Duration(clearExcess*float64(w.timeLeft())) {
		if !w.request.Room.Take(false).Taken {
			return p.roomRefusal(tier, "QueueTooLong", "no room within the class's patience", wait)
		}
		w.granted <- p.start(w.ctx, w.request, false)
		return nil
	}
	if int(p.waiting.Load()) >= p.maxQueued() {
		shed := p.queue.shedCandidate(tier)
		if shed == nil {
			return p.roomRefusal(tier, "QueueFull", "the queue is full", wait)
		}
		p.refuseForRoom(shed, "Shed", "shed for a higher tier", 0)
	}
	p.queue.push(w)
	p.waiting.Add(1)
	p.retryLater()
	return nil
}

// timeLeft returns for how much longer the waiter may be queued.
func (w *waiter) timeLeft() time.Duration {
	return queueTimeout(w.request.Class) - time.Since(w.request.Arrived)
}

// expectedRoomWait returns the time that the requests ahead of a new one take to start.
// Of each other account in its tier, one more than the request's own account has queued
// are ahead at most, so that an account that queues many requests waits for its own. The
// caller holds p.mu.
func (p *Pool) expectedRoomWait(r *Request) time.Duration {
	ahead := 0
	for t := range r.Class.Tier {
		ahead += p.queue.waiting[t]
	}
	queued := map[string]int{}
	for _, c := range p.queue.classes {
		if c.class.Tier != r.Class.Tier {
			continue
		}
		for name, a := range c.accounts {
			queued[name] += a.waiters.Len()
		}
	}
	own := queued[r.Account]
	for name, n := range queued {
		if name != r.Account {
			n = min(n, own+1)
		}
		ahead += n
	}
	if !p.external.saturated || p.external.startRate == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / max(p.external.startRate, minStartRate) * float64(time.Second))
}

// dispatchToRoom starts the queued requests for which there is room, in the order of the
// policy. One for which there is none does not hold up those behind it: their room may be
// on other upstreams. The caller holds p.mu.
func (p *Pool) dispatchToRoom(now time.Time) {
	floors := [Tiers]float64{}
	for t := range floors {
		floors[t] = roomFloorShare * float64(p.totalRunning())
		p.queue.floorOpen[t] = true
	}
	p.queue.accrueCredit(now, floors)
	p.external.round++
	for range maxRoomTries {
		w, floor := p.queue.nextUntried(now, p.external.round)
		if w == nil {
			break
		}
		reply := w.request.Room.Take(false)
		switch {
		case reply.Taken:
			p.startWaiter(w, floor, now)
		case w.isHopeless(reply):
			p.giveUp(w, "TooLate", "the target can not be met", reply.Wait)
		}
	}
	for _, c := range p.queue.classes {
		c.blocked = false
	}
}

// nextUntried returns the first waiter in the order of the policy that it has not
// returned in this round, and whether it uses the floor of its tier.
func (q *queue) nextUntried(now time.Time, round int) (w *waiter, floor bool) {
	for {
		next, floor := q.next(now)
		if next == nil {
			return nil, false
		}
		if w := q.nextUntriedOfClass(next.class, round); w != nil {
			w.round = round
			return w, floor
		}
		next.class.blocked = true
	}
}

// nextUntriedOfClass is nextUntried for the waiters of a class: the oldest one of the
// account that precedes the others.
func (q *queue) nextUntriedOfClass(c *classQueue, round int) *waiter {
	var best *waiter
	for _, a := range c.accounts {
		e := a.waiters.Front()
		for e != nil && e.Value.(*waiter).round == round {
			e = e.Next()
		}
		if e != nil && (best == nil || q.accountPrecedes(a, best.account)) {
			best = e.Value.(*waiter)
		}
	}
	return best
}

// retryLater looks for room again after a time while requests are queued. The caller
// holds p.mu.
func (p *Pool) retryLater() {
	if p.external.retrying {
		return
	}
	p.external.retrying = true
	time.AfterFunc(roomRetryInterval, func() {
		p.dispatch()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.external.retrying = false
		if p.waiting.Load() > 0 {
			p.retryLater()
		}
	})
}

// isHopeless reports whether there is no use in waiting any longer.
func (w *waiter) isHopeless(reply savoryloft.RoomReply) bool {
	if reply.Wait > w.timeLeft() {
		return true
	}
	waited := time.Since(w.request.Arrived)
	return reply.Hopeless && waited >= time.Duration(hopelessWaitShare*float64(w.request.Class.FirstToken))
}

// giveUp starts a waiter if that is better than to refuse it, and refuses it otherwise.
// The caller holds p.mu.
func (p *Pool) giveUp(w *waiter, code, reason string, wait time.Duration) {
	if w.element == nil {
		return
	}
	if w.request.Room.Take(true).Taken {
		p.startWaiter(w, false, time.Now())
		return
	}
	p.refuseForRoom(w, code, reason, wait)
}

// refuseForRoom dequeues a waiter and sends it a refusal. The caller holds p.mu.
func (p *Pool) refuseForRoom(w *waiter, code, reason string, wait time.Duration) {
	p.remove(w)
	w.refused <- p.roomRefusal(w.request.Class.Tier, code, reason, wait+p.expectedRoomWait(w.request))
}

// roomRefusal returns the refusal of a request. Requests that are refused one after the
// other are told to come back at the rate at which requests start, those of a tier after
// those of more urgent ones. The caller holds p.mu.
func (p *Pool) roomRefusal(tier int, code, message string, wait time.Duration) *savoryloft.Error {
	e := p.external
	now := time.Now()
	at := now.Add(wait)
	for t := range tier + 1 {
		if e.returns[t].After(at) {
			at = e.returns[t]
		}
	}
	at = at.Add(time.Duration(float64(time.Second) / max(e.startRate, minStartRate)))
	delay := min(at.Sub(now), maxReturnDelay)
	e.returns[tier] = now.Add(delay)
	return refusal(code, message, delay+time.Duration(returnJitter*rand.Float64()*float64(delay)))
}

// tickRoom updates the start rate.
func (p *Pool) tickRoom(now time.Time) {
	e := p.external
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.ratedAt.IsZero() {
		e.ratedAt = now
	}
	if dt := now.Sub(e.ratedAt); dt >= startRateInterval {
		rate := float64(e.starts.Swap(0)) / dt.Seconds()
		if e.startRate == 0 {
			e.startRate = rate
		}
		e.startRate += startRateWeight * (rate - e.startRate)
		e.ratedAt, e.saturated = now, p.waiting.Load() > 0
	}
	e.saturated = e.saturated && p.waiting.Load() > 0
}
