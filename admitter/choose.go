package admitter

import (
	"math"
	"math/rand/v2"
	"slices"
)

// affinityGap is the load, as a part of the allowance, up to which the
// upstream that has seen the same prefix is kept before a less loaded one.
const affinityGap = 0.25

// resumeGap is the load up to which a resumed request stays where it ran: its
// prompt and the tokens passed on so far would be processed again elsewhere.
const resumeGap = 1.0

// randomChoices is the number of upstreams compared on the fast path.
const randomChoices = 4

// paceWeight is the weight of the relative pace in an upstream's load.
const paceWeight = 2.0

// choose takes a slot for r, or returns nil. The cost does not grow with the
// number of upstreams unless the sampled ones are full.
func (p *Pool) choose(r *Request) *Upstream {
	table := p.Upstreams()
	if len(table) == 0 {
		return nil
	}
	if p.admitter.Policy.RoundRobin {
		return firstWithRoom(table, r, int(p.turn.Add(1)))
	}
	best, bestLoad := (*Upstream)(nil), math.Inf(1)
	for range min(randomChoices, len(table)) {
		u := table[rand.IntN(len(table))]
		if load := p.load(u); load < bestLoad && usable(u, r) {
			best, bestLoad = u, load
		}
	}
	if u, gap := affine(table, r); u != nil && usable(u, r) {
		if p.load(u) <= bestLoad+gap && u.acquire() {
			return u
		}
	}
	if best != nil && best.acquire() {
		return best
	}
	return firstWithRoom(table, r, rand.IntN(len(table)))
}

// firstWithRoom looks at all upstreams in turn, from the one at start on.
func firstWithRoom(table []*Upstream, r *Request, start int) *Upstream {
	for i := range table {
		u := table[(start+i)%len(table)]
		if usable(u, r) && u.acquire() {
			return u
		}
	}
	return nil
}

func usable(u *Upstream, r *Request) bool {
	return u.room() > 0 && !slices.Contains(r.Exclude, u.Name)
}

// affine returns the upstream that has the prompt cached, as far as is known,
// and the load that may be taken on for it: for a resumed request the one that
// ran it last, otherwise the one that requests with the same prefix prefer.
func affine(table []*Upstream, r *Request) (u *Upstream, gap float64) {
	if r.Resumed {
		if i := slices.IndexFunc(table, func(u *Upstream) bool { return u.Name == r.last }); i >= 0 {
			return table[i], resumeGap
		}
	}
	if r.Prefix == 0 {
		return nil, 0
	}
	return table[r.Prefix%uint64(len(table))], affinityGap
}

// load tells how busy an upstream is: the used part of the allowance, and the
// observed pace relative to the pool's, which also shows what other instances
// run there. Upstreams in another failure domain count as slightly busier.
func (p *Pool) load(u *Upstream) float64 {
	const otherDomain = 0.05
	n := float64(u.inFlight.Load()) / float64(max(1, u.allowance.Load()))
	if u.FailureDomain != p.admitter.FailureDomain {
		n += otherDomain
	}
	median := math.Float64frombits(p.medianPace.Load())
	if pace := math.Float64frombits(u.paceNow.Load()); pace > 0 && median > 0 {
		n += paceWeight * (pace/median - 1)
	}
	return n
}
