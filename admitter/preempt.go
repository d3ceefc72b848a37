package admitter

import (
	"math"
	"time"

	"savoryloft.example/savoryloft"
)

// preemption is a reason for preempting an attempt.
type preemption int

const (
	forWaiter preemption = iota // A higher tier waits at this instance.
	forRelief                   // The upstream runs more than its limit.
	preemptions
)

// Preempted returns the attempts preempted so far: for waiters at this
// instance, and to relieve upstreams.
func (p *Pool) Preempted() (waiter, relief int64) {
	return p.preempted[forWaiter].Load(), p.preempted[forRelief].Load()
}

// preempt asks lower-tier attempts to yield for waiters that would otherwise
// miss their target.
func (p *Pool) preempt(now time.Time) {
	if p.admitter.Policy.NoPreemption || p.admitter.Policy.FirstInFirstOut {
		return
	}
	p.mu.Lock()
	urgent := p.queue.urgent(now, p.need())
	p.mu.Unlock()
	for _, w := range urgent {
		if !p.yieldTo(w.request.Class.Tier) {
			return
		}
		w.asked.Store(true)
	}
}

// relieve takes lower tiers off upstreams that run more than their limit now
// allows, one for each upstream at a time, so that the tiers above keep their
// targets when an upstream's capacity shrinks.
func (p *Pool) relieve(now time.Time) {
	if p.admitter.Policy.NoPreemption || p.admitter.Policy.FixedLimits || p.admitter.Policy.FirstInFirstOut {
		return
	}
	top := p.demand.top(now)
	// Whole slots of many upstreams never match what runs exactly: one request
	// too many on one upstream counts only when the whole share is used up.
	tolerated := 1
	if p.totalRunning() > int(p.slots.Load()) {
		tolerated = 0
	}
	for _, u := range p.Upstreams() {
		if u.leaving.Load() || u.InFlight() <= u.Allowance()+tolerated || !u.overloaded.Load() {
			continue
		}
		if g := u.victim(top, p.floorSpares); g != nil {
			p.preemptGrant(g, forRelief)
		}
	}
}

func (p *Pool) preemptGrant(g *Grant, reason preemption) {
	p.preempted[reason].Add(1)
	g.yielded.Store(true)
	g.cancel(savoryloft.ErrPreempted)
}

// yieldTo preempts one attempt of a tier below the given one; it returns false
// when there is none.
func (p *Pool) yieldTo(tier int) bool {
	var best *Grant
	for _, u := range p.Upstreams() {
		if u.leaving.Load() {
			continue
		}
		g := u.victim(tier, p.floorSpares)
		if g != nil && (best == nil || g.yieldsBefore(best)) {
			best = g
		}
	}
	if best == nil {
		return false
	}
	p.preemptGrant(best, forWaiter)
	return true
}

// floorSpares reports whether a tier runs no more than its floor here.
func (p *Pool) floorSpares(tier int) bool {
	floor := p.share.Load().Floors[tier]
	return float64(p.running[tier].Load()) <= math.Ceil(floor)
}

// canYield reports whether a tier below the given one waits, or runs beyond
// its floor, here or at another instance. The caller holds p.mu.
func (p *Pool) canYield(tier int) bool {
	if p.admitter.Policy.FirstInFirstOut {
		return false
	}
	s := p.share.Load()
	for t := tier + 1; t < Tiers; t++ {
		if p.queue.count[t] > 0 || s.YieldableElsewhere[t] {
			return true
		}
		if !p.admitter.Policy.NoPreemption && p.running[t].Load() > 0 && !p.floorSpares(t) {
			return true
		}
	}
	return false
}
