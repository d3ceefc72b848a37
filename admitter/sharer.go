package admitter

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"savoryloft.example/savoryloft"
)

// headroom is the part of an upstream's limit that is shared out to nobody.
// Digests are up to an interval old, so shares overlap for moments; without it
// an upstream's batch is then over-full and the first tokens of all wait.
const headroom = 0.06

// Member is what an instance knows of one entry instance's demand, itself
// included.
type Member struct {
	Name    string
	Demands map[string]savoryloft.PoolDemand   // By pool.
	Loads   map[string]savoryloft.UpstreamLoad // By upstream.
}

// Share is an instance's part of a pool.
type Share struct {
	Slots              float64        // Slots of the pool that this instance may use.
	Floors             [Tiers]float64 // Slots that the floors guarantee this instance, by tier.
	YieldableElsewhere [Tiers]bool    // Tiers that wait or run beyond their floor at another instance.
	FleetFloors        [Tiers]float64 // Slots that the floors guarantee all instances together, by tier.
	RunningElsewhere   [Tiers]int     // Requests that the other instances run, by tier.
	Position           int            // Of this instance among all, in the order in which they use open floors.
}

// Demands returns this instance's demand on each pool.
func (a *Admitter) Demands() []savoryloft.PoolDemand {
	var list []savoryloft.PoolDemand
	for _, name := range a.Pools() {
		p := a.Pool(name)
		if p == nil {
			continue
		}
		d := savoryloft.PoolDemand{Pool: name, Waiting: make([]int, Tiers), Running: make([]int, Tiers)}
		p.mu.Lock()
		copy(d.Waiting, p.queue.count[:])
		p.mu.Unlock()
		running := p.Running()
		copy(d.Running, running[:])
		d.Expected = make([]int, Tiers)
		for t := range Tiers {
			d.Expected[t] = p.expected(t, d.Waiting[t]+d.Running[t])
		}
		list = append(list, d)
	}
	return list
}

// Loads returns this instance's load on each upstream that it uses.
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

// Share sets this instance's allowance on each upstream from what is known of
// all members, of which one is this instance. Members that know the same set
// the same partition: their allowances on an upstream add up to its limit.
func (a *Admitter) Share(members []Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	members = slices.Clone(members)
	slices.SortFunc(members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	self := slices.IndexFunc(members, func(m Member) bool { return m.Name == a.Instance })
	if self < 0 {
		return
	}
	for name, p := range a.load() {
		p.setShare(name, members, self)
	}
}

func (p *Pool) setShare(name string, members []Member, self int) {
	table := p.Upstreams()
	limits := make([]float64, len(table))
	free := make([]int, len(table)) // What the other members leave of each limit.
	capacity := 0.0
	for i, u := range table {
		var others int
		limits[i], others = fleetLimit(u, members, self)
		u.adopt(limits[i])
		free[i] = max(0, int(math.Round(limits[i]))-others)
		limits[i] -= headroom * limits[i]
		if !u.leaving.Load() {
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
	slots, floors := divide(capacity, demands, *p.floors.Load())
	share := elsewhere(demands, floors, self)
	share.Slots = slots[self]
	for t := range Tiers {
		share.Floors[t] = floors[t][self]
		for _, f := range floors[t] {
			share.FleetFloors[t] += f
		}
	}
	mine := rank(name, members[self].Name)
	for _, m := range members {
		if rank(name, m.Name) < mine {
			share.Position++
		}
	}
	p.share.Store(&share)
	for i, u := range table {
		part := portion(u.Name, limits[i], capacity, members, slots, self)
		// Others may run more than their present portions until their requests end.
		u.allowance.Store(int32(min(part, free[i])))
	}
	p.countSlots()
	p.dispatch()
}

// fleetLimit combines the estimates of the members that use an upstream, and
// adds up the requests that the other members run there.
func fleetLimit(u *Upstream, members []Member, self int) (limit float64, others int) {
	sum, weight := 0.0, 0.0
	for i, m := range members {
		l, ok := m.Loads[u.Name]
		if i == self {
			l, ok = savoryloft.UpstreamLoad{InFlight: u.InFlight(), Limit: u.Limit()}, true
		} else {
			others += l.InFlight
		}
		if ok {
			w := float64(l.InFlight) + 0.1
			sum += w * float64(min(l.Limit, u.Slots))
			weight += w
		}
	}
	return sum / weight, others
}

// divide splits a pool's slots among members. Each tier first gets its floor,
// as far as it has demand; then the tiers are served in order, and inside a
// tier by demand; what is left is split evenly, so that new requests find room
// at once.
func divide(capacity float64, demands []savoryloft.PoolDemand, floorPercent [Tiers]int) (slots []float64, floors [Tiers][]float64) {
	slots = make([]float64, len(demands))
	left := capacity
	var open [Tiers]float64 // Demand of each tier that its floor does not cover.
	for t := range Tiers {
		total := 0.0
		for _, d := range demands {
			total += demandOf(d, t)
		}
		floor := min(total, capacity*float64(floorPercent[t])/100)
		floors[t] = make([]float64, len(demands))
		for i, d := range demands {
			if total > 0 {
				floors[t][i] = floor * demandOf(d, t) / total
				slots[i] += floors[t][i]
			}
		}
		open[t] = total - floor
		left -= floor
	}
	for t := range Tiers {
		given := min(max(left, 0), open[t])
		if given <= 0 {
			continue
		}
		total := 0.0
		for _, d := range demands {
			total += demandOf(d, t)
		}
		for i, d := range demands {
			slots[i] += given * demandOf(d, t) / total
		}
		left -= given
	}
	for i := range slots {
		slots[i] += max(left, 0) / float64(len(slots))
	}
	return slots, floors
}

func demandOf(d savoryloft.PoolDemand, tier int) float64 {
	if tier < len(d.Expected) {
		return float64(d.Expected[tier])
	}
	return 0
}

// elsewhere tells what other members wait for, run and could yield.
func elsewhere(demands []savoryloft.PoolDemand, floors [Tiers][]float64, self int) Share {
	var s Share
	var waiting [Tiers]int
	for i, d := range demands {
		if i == self {
			continue
		}
		for t := range d.Waiting {
			waiting[t] += d.Waiting[t]
		}
		for t := range d.Running {
			s.RunningElsewhere[t] += d.Running[t]
			if float64(d.Running[t]) > math.Ceil(floors[t][i]) {
				s.YieldableElsewhere[t] = true
			}
		}
	}
	for t := range Tiers {
		if waiting[t] > 0 {
			s.YieldableElsewhere[t] = true
		}
	}
	return s
}

// portion returns a member's whole slots of one upstream. Members take
// consecutive pieces of the upstream's limit in an order that depends on the
// upstream, so that the pieces are whole, disjoint and add up to the limit.
func portion(upstream string, limit, capacity float64, members []Member, slots []float64, self int) int {
	if capacity <= 0 {
		return 0
	}
	mine := rank(upstream, members[self].Name)
	before := 0.0
	for i, m := range members {
		r := rank(upstream, m.Name)
		if r < mine || r == mine && i < self {
			before += slots[i]
		}
	}
	scale := math.Floor(limit) / capacity
	const rounding = 1e-9
	return int(math.Floor((before+slots[self])*scale+rounding) - math.Floor(before*scale+rounding))
}

func rank(upstream, member string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(upstream))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(member))
	return mix(h.Sum64())
}

// mix spreads differences in the low bits over the whole word (the finalizer
// of MurmurHash3); FNV alone orders similar names alike.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
