package admitter

import (
	"math"
	"time"

	"savoryloft.example/savoryloft"
)

// preemptionReason is the reason for which an attempt is preempted.
type preemptionReason int

const (
	reasonWaiter   preemptionReason = iota // A request of a higher tier is queued at this instance.
	reasonOverload                         // The upstream runs more requests than its limit.
	preemptionReasons
)

// Preempted returns the number of attempts preempted so far to free slots for
// queued requests and to relieve overloaded upstreams.
func (p *Pool) Preempted() (waiter, overload int64) {
	return p.preempted[reasonWaiter].Load(), p.preempted[reasonOverload].Load()
}

// preempt preempts attempts of lower tiers for queued requests that would
// otherwise miss their first-token target or time out.
func (p *Pool) preempt(now time.Time) {
	if p.admitter.Policy.NoPreemption || p.admitter.Policy.FirstInFirstOut {
		return
	}
	p.mu.Lock()
	urgent := p.queue.urgentWaiters(now, p.slotLeadTime())
	p.mu.Unlock()
	for _, w := range urgent {
		if !p.preemptBelow(w.request.Class.Tier) {
			return
		}
		w.preemptionRequested.Store(true)
	}
}

// relieveOverload preempts attempts of lower tiers on overloaded upstreams that
// run more requests than their allowance, at most one per upstream and call.
// This lets the higher tiers meet their targets when the capacity of an upstream
// shrinks.
func (p *Pool) relieveOverload(now time.Time) {
	if p.admitter.Policy.NoPreemption || p.admitter.Policy.FixedLimits || p.admitter.Policy.FirstInFirstOut {
		return
	}
	highest := p.demand.highestActiveTier(now)
	// Allowances are rounded to whole slots, so one request in excess of an
	// allowance is tolerated unless the instance exceeds its share of the pool.
	toleratedExcess := 1
	if p.totalRunning() > int(p.usableSlots.Load()) {
		toleratedExcess = 0
	}
	for _, u := range p.Upstreams() {
		if u.draining.Load() || u.InFlight() <= u.Allowance()+toleratedExcess || !u.overloaded.Load() {
			continue
		}
		if g := u.victim(highest, p.withinFloor); g != nil {
			p.preemptGrant(g, reasonOverload)
		}
	}
}

func (p *Pool) preemptGrant(g *Grant, reason preemptionReason) {
	p.preempted[reason].Add(1)
	g.preempted.Store(true)
	g.cancel(savoryloft.ErrPreempted)
}

// preemptBelow preempts one attempt of a tier below the given one. It returns
// false if no such attempt may be preempted.
func (p *Pool) preemptBelow(tier int) bool {
	var best *Grant
	for _, u := range p.Upstreams() {
		if u.draining.Load() {
			continue
		}
		g := u.victim(tier, p.withinFloor)
		if g != nil && (best == nil || g.preemptedBefore(best)) {
			best = g
		}
	}
	if best == nil {
		return false
	}
	p.preemptGrant(best, reasonWaiter)
	return true
}

// withinFloor reports whether a tier runs no more than its floor at this
// instance.
func (p *Pool) withinFloor(tier int) bool {
	floor := p.share.Load().Floors[tier]
	return float64(p.running[tier].Load()) <= math.Ceil(floor)
}

// lowerTierCanYield reports whether a tier below the given one has queued
// requests or exceeds its floor, at this or another instance. The caller holds
// p.mu.
func (p *Pool) lowerTierCanYield(tier int) bool {
	if p.admitter.Policy.FirstInFirstOut {
		return false
	}
	s := p.share.Load()
	for t := tier + 1; t < Tiers; t++ {
		if p.queue.waiting[t] > 0 || s.YieldableElsewhere[t] {
			return true
		}
		if !p.admitter.Policy.NoPreemption && p.running[t].Load() > 0 && !p.withinFloor(t) {
			return true
		}
	}
	return false
}
