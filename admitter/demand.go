package admitter

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"savoryloft.example/savoryloft"
)

const (
	activeFor     = 10 * time.Second       // Time for which a class counts after its last request.
	reserveWindow = 300 * time.Millisecond // Arrivals of higher tiers that a tier leaves room for, for each tier above it.
	mostReserved  = 0.3                    // Most of the slots that are kept free for higher tiers.
	measureEvery  = time.Second
	levelTime     = 10 * time.Second // Time constant of the demand's moving average.
	rateWeight    = 0.3
	thousandths   = 1000
)

// demand follows the arrivals in a pool.
type demand struct {
	arrivals [Tiers]atomic.Int64 // Since the last measurement.
	reserve  [Tiers]atomic.Int64 // Slots that a tier leaves free for those above it.
	classes  sync.Map            // Of *activeClass, by class name.

	levels   [Tiers]atomic.Int64 // Moving average of waiting and running requests, in thousandths.
	levelAt  time.Time           // Only follow uses it.
	rates    [Tiers]float64      // Arrivals in a second; only measure uses them.
	measured time.Time
}

// activeClass is a class with the time of its last request.
type activeClass struct {
	class atomic.Pointer[savoryloft.Class]
	last  atomic.Int64 // In Unix milliseconds.
}

// targets are a class's targets; zero for none.
type targets struct {
	first   time.Duration
	between time.Duration
}

// arrived counts a request.
func (p *Pool) arrived(c *savoryloft.Class) {
	p.demand.arrivals[c.Tier].Add(1)
	v, ok := p.demand.classes.Load(c.Name)
	if !ok {
		v, _ = p.demand.classes.LoadOrStore(c.Name, &activeClass{})
	}
	a := v.(*activeClass)
	a.class.Store(c)
	a.last.Store(time.Now().UnixMilli())
}

// strictest returns the lowest targets of the classes that are active.
func (d *demand) strictest(now time.Time) targets {
	var t targets
	d.classes.Range(func(_, v any) bool {
		a := v.(*activeClass)
		c := a.class.Load()
		if c == nil || now.UnixMilli()-a.last.Load() > activeFor.Milliseconds() {
			return true
		}
		t.first = lower(t.first, c.FirstToken.Std())
		t.between = lower(t.between, c.BetweenTokens.Std())
		return true
	})
	return t
}

// top returns the highest tier that is active.
func (d *demand) top(now time.Time) int {
	top := Tiers
	d.classes.Range(func(_, v any) bool {
		a := v.(*activeClass)
		if c := a.class.Load(); c != nil && now.UnixMilli()-a.last.Load() <= activeFor.Milliseconds() {
			top = min(top, c.Tier)
		}
		return true
	})
	return top
}

func lower(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// measure updates the arrival rates and the reserves that follow from them.
// Only tick calls it.
func (d *demand) measure(now time.Time) {
	if d.measured.IsZero() {
		d.measured = now
	}
	dt := now.Sub(d.measured)
	if dt < measureEvery {
		return
	}
	d.measured = now
	above := 0.0
	for t := range d.rates {
		arrivals := above * float64(t) * reserveWindow.Seconds()
		d.reserve[t].Store(int64((arrivals + math.Sqrt(arrivals)) * thousandths))
		rate := float64(d.arrivals[t].Swap(0)) / dt.Seconds()
		d.rates[t] += rateWeight * (rate - d.rates[t])
		above += d.rates[t]
	}
}

// follow updates the moving average of the demand. Only tick calls it.
func (p *Pool) follow(now time.Time) {
	d := &p.demand
	dt := now.Sub(d.levelAt)
	if d.levelAt.IsZero() {
		dt = 0
	}
	d.levelAt = now
	weight := 1 - math.Exp(-dt.Seconds()/levelTime.Seconds())
	waiting := p.waitingByTier()
	for t := range d.levels {
		present := float64(waiting[t]+int(p.running[t].Load())) * thousandths
		old := float64(d.levels[t].Load())
		d.levels[t].Store(int64(old + weight*(present-old)))
	}
}

// expected returns the demand to share slots by: the usual one with one
// standard deviation of its Poisson noise, or the present one when higher. It
// keeps an instance's share steady, so that requests that arrive after a lull
// do not find their slots lent to lower tiers elsewhere.
func (p *Pool) expected(tier, present int) int {
	level := float64(p.demand.levels[tier].Load()) / thousandths
	if tier < Tiers-1 {
		level += math.Sqrt(level)
	}
	return max(present, int(math.Ceil(level)))
}

// roomFor tells whether a request of a tier may take a free slot: a few are
// left to the requests of higher tiers that will arrive in the next moments,
// with one standard deviation of their Poisson noise, so that these need not
// preempt.
func (p *Pool) roomFor(tier int) bool {
	if tier == 0 || p.admitter.Policy.NoReserve || p.admitter.Policy.FirstInFirstOut {
		return true
	}
	slots := float64(p.slots.Load())
	reserve := float64(p.demand.reserve[tier].Load()) / thousandths
	reserve = min(reserve, mostReserved*slots)
	used := p.totalRunning()
	return used == 0 || slots-float64(used) > reserve
}

// countSlots adds up the allowances on upstreams that can be used.
func (p *Pool) countSlots() {
	n := 0
	for _, u := range p.Upstreams() {
		if !u.leaving.Load() && !u.aside.Load() {
			n += u.Allowance()
		}
	}
	p.slots.Store(int64(n))
}
