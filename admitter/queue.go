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
	urgentFactor    = 1.0                    // Multiple of the usual time to the first token that a waiter must have left.
	urgentMargin    = 100 * time.Millisecond // Time for a preempted attempt to yield.
	rateWindow      = time.Second            // Window of the grant rate that waits are estimated from.
	rateSmoothing   = 0.3
	maxFloorCredit  = 1.0                    // Slot-seconds that a class can save up.
	mostPassedOver  = 4                      // Times that a waiter lets one with a cached prompt go before.
	floorTurn       = 250 * time.Millisecond // Between two instances that use an open floor; a digest tells of the first by then.
	defaultHoldTime = time.Second
)

// waiter is a request in the queue.
type waiter struct {
	ctx     context.Context
	request *Request
	ready   chan *Grant
	refused chan *savoryloft.Error
	asked   atomic.Bool // A lower tier was asked to yield for it.
	account *accountQueue
	class   *classQueue
	element *list.Element

	passedOver int // Times that a waiter with a cached prompt went before.
}

// accountQueue holds the waiters of one client account in one class.
type accountQueue struct {
	name    string
	waiters list.List // Of *waiter, in order of arrival.
	served  float64   // Tokens granted, divided by the account's weight.
}

// classQueue holds the waiters of one class.
type classQueue struct {
	class    *savoryloft.Class
	accounts map[string]*accountQueue
	count    int
	credit   float64 // Slot-seconds that the floor still gives the class.
	hold     float64 // Moving average of the time that a request holds a slot, in seconds.
}

// queue orders the waiters of a pool. It has no lock of its own.
type queue struct {
	policy  Policy
	classes map[string]*classQueue
	count   [Tiers]int
	accrued time.Time
	grants  int
	rate    float64 // Grants in a second.
	rateAt  time.Time
	open    [Tiers]bool // Tiers that run less than their floor in the whole fleet.
}

func (q *queue) init(policy Policy) {
	q.policy = policy
	q.classes = map[string]*classQueue{}
}

func (q *queue) push(w *waiter) {
	name := w.request.Class.Name
	c, ok := q.classes[name]
	if !ok {
		c = &classQueue{accounts: map[string]*accountQueue{}, hold: defaultHoldTime.Seconds()}
		q.classes[name] = c
	}
	c.class = w.request.Class
	a, ok := c.accounts[w.request.Account]
	if !ok {
		a = &accountQueue{name: w.request.Account}
		c.accounts[w.request.Account] = a
	}
	if a.waiters.Len() == 0 {
		a.served = max(a.served, c.leastServed())
	}
	w.class, w.account = c, a
	w.element = a.waiters.PushBack(w)
	c.count++
	q.count[w.request.Class.Tier]++
}

// leastServed returns the lowest counter of the accounts that wait, to which
// an account that returns from idleness is lifted.
func (c *classQueue) leastServed() float64 {
	least, found := 0.0, false
	for _, a := range c.accounts {
		if a.waiters.Len() > 0 && (!found || a.served < least) {
			least, found = a.served, true
		}
	}
	return least
}

func (q *queue) remove(w *waiter) bool {
	if w.element == nil {
		return false
	}
	w.account.waiters.Remove(w.element)
	w.element = nil
	w.class.count--
	q.count[w.request.Class.Tier]--
	return true
}

// next returns the waiter that the policy serves first and whether it uses its
// class's floor.
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
			return q.head(c), true
		}
	}
	return q.head(best), false
}

// bestClass returns the class in the highest waiting tier that still can meet
// its target and has the least slack, or else the one that has waited longest.
func (q *queue) bestClass(now time.Time) *classQueue {
	var best *classQueue
	var bestSlack time.Duration
	for _, name := range slices.Sorted(maps.Keys(q.classes)) {
		c := q.classes[name]
		if c.count == 0 {
			continue
		}
		slack := c.slack(now)
		if best == nil || before(c, slack, best, bestSlack) {
			best, bestSlack = c, slack
		}
	}
	return best
}

func before(c *classQueue, slack time.Duration, best *classQueue, bestSlack time.Duration) bool {
	if c.class.Tier != best.class.Tier {
		return c.class.Tier < best.class.Tier
	}
	if (slack < 0) != (bestSlack < 0) {
		return slack >= 0
	}
	return slack < bestSlack
}

// slack returns the time left to the first-token target of the class's oldest
// waiter.
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

// floorClass returns a class below a tier whose floor is open and has credit left.
func (q *queue) floorClass(tier int) *classQueue {
	var best *classQueue
	for _, c := range q.classes {
		if c.count == 0 || c.class.Tier <= tier || c.credit <= 0 || !q.open[c.class.Tier] {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(c.credit, best.credit), cmp.Compare(best.class.Name, c.class.Name)) > 0 {
			best = c
		}
	}
	return best
}

// head returns the oldest waiter of the account that was served least.
func (q *queue) head(c *classQueue) *waiter {
	var best *accountQueue
	for _, a := range c.accounts {
		if a.waiters.Len() == 0 {
			continue
		}
		if best == nil || q.accountBefore(a, best) {
			best = a
		}
	}
	return best.waiters.Front().Value.(*waiter)
}

// resumedAt returns the oldest resumed waiter of a class that ran last on an
// upstream that is free.
func (q *queue) resumedAt(c *classQueue, free func(upstream string) bool) *waiter {
	var best *waiter
	for _, a := range c.accounts {
		for e := a.waiters.Front(); e != nil; e = e.Next() {
			w := e.Value.(*waiter)
			if !w.request.Resumed || !free(w.request.last) {
				continue
			}
			if best == nil || w.request.Arrived.Before(best.request.Arrived) {
				best = w
			}
		}
	}
	return best
}

func (q *queue) accountBefore(a, b *accountQueue) bool {
	if !q.policy.NoFairness && a.served != b.served {
		return a.served < b.served
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
	q.each(func(w *waiter) {
		if best == nil || w.request.Arrived.Before(best.request.Arrived) {
			best = w
		}
	})
	return best
}

func (q *queue) each(f func(w *waiter)) {
	for _, c := range q.classes {
		for _, a := range c.accounts {
			for e := a.waiters.Front(); e != nil; e = e.Next() {
				f(e.Value.(*waiter))
			}
		}
	}
}

// lowest returns the waiter to shed for a tier: of the lowest tier below it,
// the newest of the account with the most waiters.
func (q *queue) lowest(tier int) *waiter {
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

// urgent returns the waiters that miss their target unless a lower tier yields
// now, the highest tier first.
func (q *queue) urgent(now time.Time, need time.Duration) []*waiter {
	var list []*waiter
	q.each(func(w *waiter) {
		if !w.asked.Load() && w.request.Class.Tier < Tiers-1 && w.inNeed(now, need) {
			list = append(list, w)
		}
	})
	slices.SortFunc(list, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.request.Class.Tier, b.request.Class.Tier), a.request.Arrived.Compare(b.request.Arrived))
	})
	return list
}

// inNeed tells whether a waiter would miss its target, or its patience would
// end, unless it gets a slot within need. One that has missed its target gains
// nothing until its patience ends, and a resumed one has no target to meet.
func (w *waiter) inNeed(now time.Time, need time.Duration) bool {
	waited := now.Sub(w.request.Arrived)
	slack := w.request.Class.FirstToken.Std() - waited
	if !w.request.Resumed && slack <= need && slack > 0 {
		return true
	}
	return w.patienceEnds(now, need)
}

// patienceEnds tells whether a waiter is refused unless it gets a slot within need.
func (w *waiter) patienceEnds(now time.Time, need time.Duration) bool {
	return patience(w.request.Class)-now.Sub(w.request.Arrived) <= need
}

// accrue adds the floors' slot-seconds since the last call to the classes that
// wait. A class that does not wait saves nothing.
func (q *queue) accrue(now time.Time, floors [Tiers]float64) {
	dt := now.Sub(q.accrued).Seconds()
	if q.accrued.IsZero() {
		dt = 0
	}
	q.accrued = now
	for _, c := range q.classes {
		if c.count == 0 {
			continue
		}
		waitingInTier := max(1, q.classesWaiting(c.class.Tier))
		c.credit = min(maxFloorCredit, c.credit+dt*floors[c.class.Tier]/float64(waitingInTier))
	}
}

func (q *queue) classesWaiting(tier int) int {
	n := 0
	for _, c := range q.classes {
		if c.count > 0 && c.class.Tier == tier {
			n++
		}
	}
	return n
}

// charge books a grant: its estimated tokens to the account and, under a
// floor, its expected time to the class.
func (q *queue) charge(w *waiter, floor bool, now time.Time) {
	w.account.served += float64(max(1, w.request.Tokens)) / float64(max(1, w.request.Weight))
	if floor {
		w.class.credit -= w.class.hold
	}
	q.grants++
	if q.rateAt.IsZero() {
		q.rateAt = now
	}
	if dt := now.Sub(q.rateAt); dt >= rateWindow {
		q.rate += rateSmoothing * (float64(q.grants)/dt.Seconds() - q.rate)
		q.grants, q.rateAt = 0, now
	}
}

// settle replaces a grant's estimates by what was seen.
func (q *queue) settle(g *Grant, o Observation, held time.Duration) {
	c, ok := q.classes[g.request.Class.Name]
	if !ok {
		return
	}
	if g.floor {
		c.credit += c.hold - held.Seconds()
	}
	c.hold += smoothing * (held.Seconds() - c.hold)
	if a, ok := c.accounts[g.request.Account]; ok && o.Tokens > 0 {
		a.served += float64(o.Tokens-max(1, g.request.Tokens)) / float64(max(1, g.request.Weight))
	}
}

// expectedWait estimates how long a new waiter of a tier waits, from the
// waiters of its own and higher tiers and the recent rate of grants.
func (q *queue) expectedWait(tier int) time.Duration {
	ahead := 0
	for t := range tier + 1 {
		ahead += q.count[t]
	}
	if q.rate <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / q.rate * float64(time.Second))
}
