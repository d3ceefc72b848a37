package admitter

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"savoryloft.example/savoryloft"
)

// limitHeadroom is the part of an upstream's limit that is not allotted to any
// instance. Digests are up to one interval old, so the allowances of instances
// may add up to more than the limit for short periods. Without headroom, the
// upstream's batch would then overflow and delay the first tokens of all its
// requests.
const limitHeadroom = 0.06

// Member is the last reported demand and load of an entry instance.
type Member struct {
	Name    string
	Demands map[string]savoryloft.PoolDemand   // By pool.
	Loads   map[string]savoryloft.UpstreamLoad // By upstream.
}

// Share is the part of a pool that this instance may use, with totals of the
// floors and of the load of other instances.
type Share struct {
	Slots              float64        // Slots that this instance may use.
	Floors             [Tiers]float64 // Slots that the floors guarantee to this instance, by tier.
	YieldableElsewhere [Tiers]bool    // Whether another instance has queued requests of a tier or exceeds its floor.
	FleetFloors        [Tiers]float64 // Slots that the floors guarantee to the whole fleet, by tier.
	RunningElsewhere   [Tiers]int     // Requests running at other instances, by tier.
	FloorPosition      int            // Position of this instance in the order in which instances use open floors.
}

// Demands returns the demand of this instance on each pool, sorted by pool.
func (a *Admitter) Demands() []savoryloft.PoolDemand {
	var list []savoryloft.PoolDemand
	for _, name := range a.Pools() {
		p := a.Pool(name)
		if p == nil {
			continue
		}
		d := savoryloft.PoolDemand{Pool: name, Waiting: make([]int, Tiers), Running: make([]int, Tiers)}
		p.mu.Lock()
		copy(d.Waiting, p.queue.waiting[:])
		p.mu.Unlock()
		running := p.Running()
		copy(d.Running, running[:])
		d.Expected = make([]int, Tiers)
		for t := range Tiers {
			d.Expected[t] = p.expectedDemand(t, d.Waiting[t]+d.Running[t])
		}
		list = append(list, d)
	}
	return list
}

// Loads returns the load of this instance on each upstream that it uses or whose
// limit it has lowered, sorted by pool and upstream.
func (a *Admitter) Loads() []savoryloft.UpstreamLoad {
	var list []savoryloft.UpstreamLoad
	for _, name := range a.Pools() {
		for _, u := range a.Pool(name).Upstreams() {
			limit := u.Limit()
			if u.InFlight() > 0 || limit < u.Slots {
				list = append(list, savoryloft.UpstreamLoad{Upstream: u.Name, InFlight: u.InFlight(), Limit: limit})
			}
		}
	}
	return list
}

// UpdateShares updates this instance's share of each pool and its allowance on
// each upstream from the demand and load of all members. It has no effect if
// this instance is not a member. Instances that call it with the same members
// compute the same partition, so that their allowances on an upstream add up to
// no more than its limit.
func (a *Admitter) UpdateShares(members []Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	members = slices.Clone(members)
	slices.SortFunc(members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	self := slices.IndexFunc(members, func(m Member) bool { return m.Name == a.Instance })
	if self < 0 {
		return
	}
	for name, p := range a.poolsByName() {
		p.updateShare(name, members, self)
	}
}

// updateShare updates the share of the pool and the allowances on its
// upstreams; self is the index of this instance in members.
func (p *Pool) updateShare(name string, members []Member, self int) {
	upstreams := p.Upstreams()
	limits := make([]float64, len(upstreams))
	available := make([]int, len(upstreams)) // Slots of each limit that the other members do not use.
	capacity := 0.0
	for i, u := range upstreams {
		var othersInFlight int
		limits[i], othersInFlight = fleetLimit(u, members, self)
		u.blendLimit(limits[i])
		available[i] = max(0, int(math.Round(limits[i]))-othersInFlight)
		limits[i] -= limitHeadroom * limits[i]
		if !u.draining.Load() {
			capacity += limits[i]
		}
	}
	demands := make([]savoryloft.PoolDemand, len(members))
	for i, m := range members {
		demands[i] = m.Demands[name]
	}
	if p.admitter.Policy.EqualShares {
		demands = make([]savoryloft.PoolDemand, len(members))
	}
	slots, floors := divideSlots(capacity, demands, *p.floors.Load())
	share := shareOfOthers(demands, floors, self)
	share.Slots = slots[self]
	for t := range Tiers {
		share.Floors[t] = floors[t][self]
		for _, f := range floors[t] {
			share.FleetFloors[t] += f
		}
	}
	ownHash := orderHash(name, members[self].Name)
	for _, m := range members {
		if orderHash(name, m.Name) < ownHash {
			share.FloorPosition++
		}
	}
	p.share.Store(&share)
	for i, u := range upstreams {
		allowance := wholeSlots(u.Name, limits[i], capacity, members, slots, self)
		// Other members may exceed their new allowance until requests end.
		u.allowance.Store(int32(min(allowance, available[i])))
	}
	p.updateUsableSlots()
	p.dispatch()
}

// fleetLimit returns the mean of the members' estimates of an upstream's limit,
// weighted by their requests in flight, and the number of requests that the
// other members run there.
func fleetLimit(u *Upstream, members []Member, self int) (limit float64, othersInFlight int) {
	sum, weight := 0.0, 0.0
	for i, m := range members {
		l, ok := m.Loads[u.Name]
		if i == self {
			l, ok = savoryloft.UpstreamLoad{InFlight: u.InFlight(), Limit: u.Limit()}, true
		} else {
			othersInFlight += l.InFlight
		}
		if ok {
			const idleWeight = 0.1 // Lets the estimate of a member without requests count, too.
			memberWeight := float64(l.InFlight) + idleWeight
			sum += memberWeight * float64(min(l.Limit, u.Slots))
			weight += memberWeight
		}
	}
	return sum / weight, othersInFlight
}

// divideSlots divides the slots of a pool among the members. Each tier first
// gets its floor, up to its demand. The remaining slots go to the tiers in
// priority order and, within a tier, to the members in proportion to their
// demand. Slots that are left after that are divided evenly, so that new
// requests find a free slot at any member.
func divideSlots(capacity float64, demands []savoryloft.PoolDemand, floorPercent [Tiers]int) (slots []float64, floors [Tiers][]float64) {
	slots = make([]float64, len(demands))
	remaining := capacity
	var uncovered [Tiers]float64 // Demand of each tier that its floor does not cover.
	for t := range Tiers {
		total := 0.0
		for _, d := range demands {
			total += expectedRequests(d, t)
		}
		floor := min(total, capacity*float64(floorPercent[t])/100)
		floors[t] = make([]float64, len(demands))
		for i, d := range demands {
			if total > 0 {
				floors[t][i] = floor * expectedRequests(d, t) / total
				slots[i] += floors[t][i]
			}
		}
		uncovered[t] = total - floor
		remaining -= floor
	}
	for t := range Tiers {
		granted := min(max(remaining, 0), uncovered[t])
		if granted <= 0 {
			continue
		}
		total := 0.0
		for _, d := range demands {
			total += expectedRequests(d, t)
		}
		for i, d := range demands {
			slots[i] += granted * expectedRequests(d, t) / total
		}
		remaining -= granted
	}
	for i := range slots {
		slots[i] += max(remaining, 0) / float64(len(slots))
	}
	return slots, floors
}

// expectedRequests returns the expected demand of a tier, or zero if d has none.
func expectedRequests(d savoryloft.PoolDemand, tier int) float64 {
	if tier < len(d.Expected) {
		return float64(d.Expected[tier])
	}
	return 0
}

// shareOfOthers returns a Share in which only RunningElsewhere and
// YieldableElsewhere are set, from the demand of the other members.
func shareOfOthers(demands []savoryloft.PoolDemand, floors [Tiers][]float64, self int) Share {
	var s Share
	var waitingElsewhere [Tiers]int
	for i, d := range demands {
		if i == self {
			continue
		}
		for t := range d.Waiting {
			waitingElsewhere[t] += d.Waiting[t]
		}
		for t := range d.Running {
			s.RunningElsewhere[t] += d.Running[t]
			if float64(d.Running[t]) > math.Ceil(floors[t][i]) {
				s.YieldableElsewhere[t] = true
			}
		}
	}
	for t := range Tiers {
		if waitingElsewhere[t] > 0 {
			s.YieldableElsewhere[t] = true
		}
	}
	return s
}

// wholeSlots returns the number of slots that a member may use on an upstream.
// Members get consecutive ranges of the upstream's limit, in an order that
// depends on the upstream. The boundaries are rounded, so that the ranges are
// disjoint, consist of whole slots and add up to the limit.
func wholeSlots(upstream string, limit, capacity float64, members []Member, slots []float64, self int) int {
	if capacity <= 0 {
		return 0
	}
	ownHash := orderHash(upstream, members[self].Name)
	slotsBefore := 0.0
	for i, m := range members {
		hash := orderHash(upstream, m.Name)
		if hash < ownHash || hash == ownHash && i < self {
			slotsBefore += slots[i]
		}
	}
	scale := math.Floor(limit) / capacity
	const epsilon = 1e-9 // Compensates for floating-point errors just below a whole number.
	return int(math.Floor((slotsBefore+slots[self])*scale+epsilon) - math.Floor(slotsBefore*scale+epsilon))
}

// orderHash returns a hash by which members are ordered for a pool or upstream,
// as in rendezvous hashing.
func orderHash(key, member string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(member))
	return fmix64(h.Sum64())
}

// fmix64 is the finalizer of MurmurHash3. It spreads differences in the low bits
// over the whole word. With FNV alone, similar member names would sort in the
// same order for every key.
func fmix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
