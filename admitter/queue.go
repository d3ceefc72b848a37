package admitter

import (
	"cmp"
	"container/list"
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"savoryloft.example/savoryloft"
)

const (
	leadTimeFactor     = 1.0                    // Multiple of the mean time to the first token in slotLeadTime.
	preemptionDelay    = 100 * time.Millisecond // Time until a preempted attempt frees its slot.
	grantRateWindow    = time.Second            // Minimum time between two updates of the grant rate.
	grantRateSmoothing = 0.3                    // Weight of a new grant rate in its moving average.
	maxFloorCredit     = 1.0                    // Maximum floor credit of a class, in slot-seconds.
	maxSkips           = 4                      // Maximum number of resumed waiters that preferCached serves ahead of a waiter.
	floorStagger       = 250 * time.Millisecond // Delay from one instance's use of an open floor to the next one's; long enough for a digest to arrive in between.
	defaultHoldTime    = time.Second            // Assumed meanHoldTime of a class before the first observation.
)

// waiter is a queued request.
type waiter struct {
	ctx                 context.Context
	request             *Request
	granted             chan *Grant
	refused             chan *savoryloft.Error
	preemptionRequested atomic.Bool // An attempt of a lower tier was preempted for this request.
	account             *accountQueue
	class               *classQueue
	element             *list.Element

	round   int // Last call of Pool.dispatchToRoom that has looked for room for it.
	skipped int // Number of times that a waiter with a cached prompt was served first.
}

// accountQueue holds the queued requests of one client account in one class.
type accountQueue struct {
	name    string
	waiters list.List // Elements are *waiter, in queueing order.
	counter float64   // Virtual token counter: tokens granted, divided by the account's weight.
}

// classQueue holds the queued requests of one class.
type classQueue struct {
	class        *savoryloft.Class
	accounts     map[string]*accountQueue
	waiting      int
	credit       float64 // Floor credit in slot-seconds; the floor may be used while it exceeds queue.minFloorCredit.
	blocked      bool    // Set during dispatchToRoom once the class has no waiter left to look for room for.
	meanHoldTime float64 // Moving average of the time for which a request holds a slot, in seconds.
}

// queue orders the queued requests of a pool. It is guarded by Pool.mu.
type queue struct {
	policy           Policy
	classes          map[string]*classQueue
	waiting          [Tiers]int
	creditUpdated    time.Time
	grants           int     // Grants since grantRateUpdated.
	grantRate        float64 // Moving average of grants per second.
	grantRateUpdated time.Time
	minFloorCredit   float64     // Credit above which a class may use its floor.
	floorOpen        [Tiers]bool // Tiers whose floor may be used; see Pool.updateOpenFloors.
}

func (q *queue) init(policy Policy) {
	q.policy = policy
	q.classes = map[string]*classQueue{}
}

func (q *queue) push(w *waiter) {
	name := w.request.Class.Name
	c, ok := q.classes[name]
	if !ok {
		c = &classQueue{accounts: map[string]*accountQueue{}, meanHoldTime: defaultHoldTime.Seconds()}
		q.classes[name] = c
	}
	c.class = w.request.Class
	a, ok := c.accounts[w.request.Account]
	if !ok {
		a = &accountQueue{name: w.request.Account}
		c.accounts[w.request.Account] = a
	}
	if a.waiters.Len() == 0 {
		a.counter = max(a.counter, c.minCounter())
	}
	w.class, w.account = c, a
	w.element = a.waiters.PushBack(w)
	c.waiting++
	q.waiting[w.request.Class.Tier]++
}

// minCounter returns the lowest counter of the accounts with queued requests.
// The counter of an account that was idle is raised to it, so that the account
// gains no priority from its idle time.
func (c *classQueue) minCounter() float64 {
	lowest, found := 0.0, false
	for _, a := range c.accounts {
		if a.waiters.Len() > 0 && (!found || a.counter < lowest) {
			lowest, found = a.counter, true
		}
	}
	return lowest
}

func (q *queue) remove(w *waiter) bool {
	if w.element == nil {
		return false
	}
	w.account.waiters.Remove(w.element)
	w.element = nil
	w.class.waiting--
	q.waiting[w.request.Class.Tier]--
	return true
}

// next returns the waiter to serve next and whether it uses the floor of its
// tier. It returns nil if the queue is empty.
func (q *queue) next(now time.Time) (w *waiter, floor bool) {
	if q.policy.FirstInFirstOut {
		return q.oldest(), false
	}
	best := q.bestClass(now)
	if best == nil {
		return nil, false
	}
	if !q.policy.NoFloors {
		if c := q.floorClass(best.class.Tier); c != nil {
			return q.nextOfClass(c), true
		}
	}
	return q.nextOfClass(best), false
}

// bestClass returns the class to serve first in the highest tier with queued
// requests: among the classes that can still meet their first-token target, the
// one with the least slack; if there is none, the one furthest past its target.
func (q *queue) bestClass(now time.Time) *classQueue {
	var best *classQueue
	var bestSlack time.Duration
	for _, name := range slices.Sorted(maps.Keys(q.classes)) {
		c := q.classes[name]
		if c.waiting == 0 || c.blocked {
			continue
		}
		slack := c.slack(now)
		if best == nil || classPrecedes(c, slack, best, bestSlack) {
			best, bestSlack = c, slack
		}
	}
	return best
}

// classPrecedes reports whether a class is served before another.
func classPrecedes(c *classQueue, slack time.Duration, other *classQueue, otherSlack time.Duration) bool {
	if c.class.Tier != other.class.Tier {
		return c.class.Tier < other.class.Tier
	}
	if (slack < 0) != (otherSlack < 0) {
		return slack >= 0
	}
	return slack < otherSlack
}

// slack returns the time until the oldest waiter of the class misses its
// first-token target; it is negative after that.
func (c *classQueue) slack(now time.Time) time.Duration {
	var oldest time.Time
	for _, a := range c.accounts {
		if e := a.waiters.Front(); e != nil {
			if t := e.Value.(*waiter).request.Arrived; oldest.IsZero() || t.Before(oldest) {
				oldest = t
			}
		}
	}
	return c.class.FirstToken.Std() - now.Sub(oldest)
}

// floorClass returns the class with the most floor credit among the classes in
// lower tiers whose floor is open, or nil if no such class has credit.
func (q *queue) floorClass(tier int) *classQueue {
	var best *classQueue
	for _, c := range q.classes {
		if c.waiting == 0 || c.blocked || c.class.Tier <= tier || c.credit <= q.minFloorCredit || !q.floorOpen[c.class.Tier] {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(c.credit, best.credit), cmp.Compare(best.class.Name, c.class.Name)) > 0 {
			best = c
		}
	}
	return best
}

// nextOfClass returns the first waiter of the account with the lowest counter.
func (q *queue) nextOfClass(c *classQueue) *waiter {
	var best *accountQueue
	for _, a := range c.accounts {
		if a.waiters.Len() == 0 {
			continue
		}
		if best == nil || q.accountPrecedes(a, best) {
			best = a
		}
	}
	return best.waiters.Front().Value.(*waiter)
}

// oldestResumed returns the oldest resumed waiter of a class whose last
// upstream has a free slot according to hasFreeSlot, or nil.
func (q *queue) oldestResumed(c *classQueue, hasFreeSlot func(upstream string) bool) *waiter {
	var best *waiter
	for _, a := range c.accounts {
		for e := a.waiters.Front(); e != nil; e = e.Next() {
			w := e.Value.(*waiter)
			if !w.request.Resumed || !hasFreeSlot(w.request.lastUpstream) {
				continue
			}
			if best == nil || w.request.Arrived.Before(best.request.Arrived) {
				best = w
			}
		}
	}
	return best
}

func (q *queue) accountPrecedes(a, b *accountQueue) bool {
	if !q.policy.NoFairness && a.counter != b.counter {
		return a.counter < b.counter
	}
	x := a.waiters.Front().Value.(*waiter).request.Arrived
	y := b.waiters.Front().Value.(*waiter).request.Arrived
	if x.Equal(y) {
		return a.name < b.name
	}
	return x.Before(y)
}

func (q *queue) oldest() *waiter {
	var best *waiter
	q.forEach(func(w *waiter) {
		if best == nil || w.request.Arrived.Before(best.request.Arrived) {
			best = w
		}
	})
	return best
}

func (q *queue) forEach(f func(w *waiter)) {
	for _, c := range q.classes {
		for _, a := range c.accounts {
			for e := a.waiters.Front(); e != nil; e = e.Next() {
				f(e.Value.(*waiter))
			}
		}
	}
}

// shedCandidate returns the waiter to shed in favor of a tier: in the lowest
// tier below it, the newest waiter of the account with the most waiters. It
// returns nil if no lower tier has waiters.
func (q *queue) shedCandidate(tier int) *waiter {
	var worst *accountQueue
	worstTier := tier
	for _, c := range q.classes {
		for _, a := range c.accounts {
			if a.waiters.Len() == 0 || c.class.Tier < worstTier || c.class.Tier == tier {
				continue
			}
			if c.class.Tier > worstTier || worst == nil || a.waiters.Len() > worst.waiters.Len() {
				worst, worstTier = a, c.class.Tier
			}
		}
	}
	if worst == nil {
		return nil
	}
	return worst.waiters.Back().Value.(*waiter)
}

// urgentWaiters returns the waiters that miss their first-token target or time
// out unless an attempt of a lower tier is preempted now; lead is the time
// before that deadline at which they need a slot. They are sorted by tier and
// arrival.
func (q *queue) urgentWaiters(now time.Time, lead time.Duration) []*waiter {
	var urgent []*waiter
	q.forEach(func(w *waiter) {
		if !w.preemptionRequested.Load() && w.request.Class.Tier < Tiers-1 && w.needsSlotWithin(now, lead) {
			urgent = append(urgent, w)
		}
	})
	slices.SortFunc(urgent, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.request.Class.Tier, b.request.Class.Tier), a.request.Arrived.Compare(b.request.Arrived))
	})
	return urgent
}

// needsSlotWithin reports whether a waiter reaches its first-token target or its
// timeout within lead. A target that is already missed is ignored, because an
// earlier slot can no longer meet it. A resumed request has no target.
func (w *waiter) needsSlotWithin(now time.Time, lead time.Duration) bool {
	waited := now.Sub(w.request.Arrived)
	slack := w.request.Class.FirstToken.Std() - waited
	if !w.request.Resumed && slack <= lead && slack > 0 {
		return true
	}
	return w.timesOutWithin(now, lead)
}

// timesOutWithin reports whether a waiter times out within lead.
func (w *waiter) timesOutWithin(now time.Time, lead time.Duration) bool {
	return queueTimeout(w.request.Class)-now.Sub(w.request.Arrived) <= lead
}

// accrueCredit adds the slot-seconds of the floors since the last call to the
// credit of the classes with queued requests. Classes of one tier split its
// floor evenly. Other classes accrue nothing.
func (q *queue) accrueCredit(now time.Time, floors [Tiers]float64) {
	dt := now.Sub(q.creditUpdated).Seconds()
	if q.creditUpdated.IsZero() {
		dt = 0
	}
	q.creditUpdated = now
	for _, c := range q.classes {
		if c.waiting == 0 {
			continue
		}
		classesInTier := max(1, q.classesWaiting(c.class.Tier))
		c.credit = min(maxFloorCredit, c.credit+dt*floors[c.class.Tier]/float64(classesInTier))
	}
}

func (q *queue) classesWaiting(tier int) int {
	n := 0
	for _, c := range q.classes {
		if c.waiting > 0 && c.class.Tier == tier {
			n++
		}
	}
	return n
}

// charge adds the estimated tokens of a grant to the counter of its account. If
// the grant uses a floor, its expected duration is deducted from the credit of
// its class.
func (q *queue) charge(w *waiter, floor bool, now time.Time) {
	w.account.counter += float64(max(1, w.request.Tokens)) / float64(max(1, w.request.Weight))
	if floor {
		w.class.credit -= w.class.meanHoldTime
	}
	q.grants++
	if q.grantRateUpdated.IsZero() {
		q.grantRateUpdated = now
	}
	if dt := now.Sub(q.grantRateUpdated); dt >= grantRateWindow {
		q.grantRate += grantRateSmoothing * (float64(q.grants)/dt.Seconds() - q.grantRate)
		q.grants, q.grantRateUpdated = 0, now
	}
}

// reconcile corrects the amounts added by charge from estimated to observed
// values.
func (q *queue) reconcile(g *Grant, o Observation, holdTime time.Duration) {
	c, ok := q.classes[g.request.Class.Name]
	if !ok {
		return
	}
	if g.usesFloor {
		c.credit += c.meanHoldTime - holdTime.Seconds()
	}
	c.meanHoldTime += smoothing * (holdTime.Seconds() - c.meanHoldTime)
	if a, ok := c.accounts[g.request.Account]; ok && o.Tokens > 0 {
		a.counter += float64(o.Tokens-max(1, g.request.Tokens)) / float64(max(1, g.request.Weight))
	}
}

// expectedWait estimates the wait of a new request of a tier from the number of
// waiters in its own and higher tiers and the recent grant rate. It returns zero
// while the grant rate is unknown.
func (q *queue) expectedWait(tier int) time.Duration {
	ahead := 0
	for t := range tier + 1 {
		ahead += q.waiting[t]
	}
	if q.grantRate <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / q.grantRate * float64(time.Second))
}
