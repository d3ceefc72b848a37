package admitter

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"savoryloft.example/savoryloft"
)

const (
	classActivePeriod    = 10 * time.Second       // Time for which a class is active after its last arrival.
	reserveWindow        = 300 * time.Millisecond // Period whose expected arrivals a tier's reserve covers, per tier above it.
	maxReservedFraction  = 0.3                    // Maximum fraction of the slots that is reserved for higher tiers.
	arrivalRateInterval  = time.Second            // Time between two updates of the arrival rates.
	demandTimeConstant   = 10 * time.Second       // Time constant of the moving average of demand.
	arrivalRateSmoothing = 0.3                    // Weight of a new arrival rate in its moving average.
	fixedPointScale      = 1000                   // Scale of the integers that hold fractional slots and requests.
)

// demand tracks the arrivals and the load of a pool by tier.
type demand struct {
	arrivals [Tiers]atomic.Int64 // Arrivals since the last update of arrivalRates.
	reserve  [Tiers]atomic.Int64 // Slots that a tier leaves free for higher tiers, times fixedPointScale.
	activity sync.Map            // Class name to *classActivity.

	averages        [Tiers]atomic.Int64 // Moving average of queued and running requests, times fixedPointScale.
	averagesUpdated time.Time           // Accessed only by updateAverages.
	arrivalRates    [Tiers]float64      // Arrivals per second; accessed only by updateArrivalRates.
	ratesUpdated    time.Time           // Accessed only by updateArrivalRates.
}

// classActivity is a class and the time of its last arrival.
type classActivity struct {
	class         atomic.Pointer[savoryloft.Class]
	lastArrivalMS atomic.Int64 // Unix time in milliseconds.
}

// latencyTargets are the latency targets of a class; zero for none.
type latencyTargets struct {
	firstToken    time.Duration
	betweenTokens time.Duration
}

// recordArrival counts an arrival and marks its class as active.
func (p *Pool) recordArrival(c *savoryloft.Class) {
	p.demand.arrivals[c.Tier].Add(1)
	v, ok := p.demand.activity.Load(c.Name)
	if !ok {
		v, _ = p.demand.activity.LoadOrStore(c.Name, &classActivity{})
	}
	a := v.(*classActivity)
	a.class.Store(c)
	a.lastArrivalMS.Store(time.Now().UnixMilli())
}

// strictestTargets returns the lowest latency targets among the active classes.
func (d *demand) strictestTargets(now time.Time) latencyTargets {
	var t latencyTargets
	d.activity.Range(func(_, v any) bool {
		a := v.(*classActivity)
		c := a.class.Load()
		if c == nil || now.UnixMilli()-a.lastArrivalMS.Load() > classActivePeriod.Milliseconds() {
			return true
		}
		t.firstToken = minNonZero(t.firstToken, c.FirstToken.Std())
		t.betweenTokens = minNonZero(t.betweenTokens, c.BetweenTokens.Std())
		return true
	})
	return t
}

// highestActiveTier returns the most urgent tier with an active class, or Tiers
// if no class is active.
func (d *demand) highestActiveTier(now time.Time) int {
	highest := Tiers
	d.activity.Range(func(_, v any) bool {
		a := v.(*classActivity)
		if c := a.class.Load(); c != nil && now.UnixMilli()-a.lastArrivalMS.Load() <= classActivePeriod.Milliseconds() {
			highest = min(highest, c.Tier)
		}
		return true
	})
	return highest
}

// minNonZero returns the smaller of two durations, of which zero means none.
func minNonZero(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// updateArrivalRates updates the arrival rates and derives from them the number
// of slots that each tier leaves free for higher tiers: the arrivals expected
// within reserveWindow per higher tier, plus one standard deviation of a Poisson
// process. It is called only by tick.
func (d *demand) updateArrivalRates(now time.Time) {
	if d.ratesUpdated.IsZero() {
		d.ratesUpdated = now
	}
	dt := now.Sub(d.ratesUpdated)
	if dt < arrivalRateInterval {
		return
	}
	d.ratesUpdated = now
	higherTiersRate := 0.0
	for t := range d.arrivalRates {
		expected := higherTiersRate * float64(t) * reserveWindow.Seconds()
		d.reserve[t].Store(int64((expected + math.Sqrt(expected)) * fixedPointScale))
		rate := float64(d.arrivals[t].Swap(0)) / dt.Seconds()
		d.arrivalRates[t] += arrivalRateSmoothing * (rate - d.arrivalRates[t])
		higherTiersRate += d.arrivalRates[t]
	}
}

// updateAverages updates the moving average of queued and running requests. It
// is called only by tick.
func (p *Pool) updateAverages(now time.Time) {
	d := &p.demand
	dt := now.Sub(d.averagesUpdated)
	if d.averagesUpdated.IsZero() {
		dt = 0
	}
	d.averagesUpdated = now
	weight := 1 - math.Exp(-dt.Seconds()/demandTimeConstant.Seconds())
	waiting := p.WaitingByTier()
	for t := range d.averages {
		current := float64(waiting[t]+int(p.running[t].Load())) * fixedPointScale
		old := float64(d.averages[t].Load())
		d.averages[t].Store(int64(old + weight*(current-old)))
	}
}

// expectedDemand returns the number of requests in proportion to which slots are
// divided among instances: the moving average plus one standard deviation of a
// Poisson process, or the current demand if that is higher. The average keeps an
// instance's share stable: requests that arrive after a short lull do not find
// its slots in use by lower tiers at other instances. For the lowest tier, no
// deviation is added.
func (p *Pool) expectedDemand(tier, current int) int {
	average := float64(p.demand.averages[tier].Load()) / fixedPointScale
	if tier < Tiers-1 {
		average += math.Sqrt(average)
	}
	return max(current, int(math.Ceil(average)))
}

// mayTakeSlot reports whether a request of a tier may take a free slot. Some
// slots are reserved for expected arrivals from higher tiers, so that those
// requests need not preempt others; see updateArrivalRates.
func (p *Pool) mayTakeSlot(tier int) bool {
	if tier == 0 || p.admitter.Policy.NoReserve || p.admitter.Policy.FirstInFirstOut {
		return true
	}
	slots := float64(p.usableSlots.Load())
	reserve := float64(p.demand.reserve[tier].Load()) / fixedPointScale
	reserve = min(reserve, maxReservedFraction*slots)
	used := p.totalRunning()
	return used == 0 || slots-float64(used) > reserve
}

// updateUsableSlots sums the allowances on upstreams that are neither draining
// nor ejected.
func (p *Pool) updateUsableSlots() {
	n := 0
	for _, u := range p.Upstreams() {
		if !u.draining.Load() && !u.ejected.Load() {
			n += u.Allowance()
		}
	}
	p.usableSlots.Store(int64(n))
}
