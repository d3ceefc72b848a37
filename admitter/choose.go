package admitter

import (
	"math"
	"math/rand/v2"
	"slices"
)

// affinityLoadMargin is the maximum difference in load score at which the
// upstream preferred for a prompt prefix is chosen over the least loaded one.
const affinityLoadMargin = 0.25

// resumeLoadMargin is the maximum difference in load score at which a resumed
// request returns to the upstream that ran it last. It is larger than
// affinityLoadMargin because any other upstream has to process the prompt and
// the tokens generated so far again.
const resumeLoadMargin = 1.0

// sampleSize is the number of upstreams that are sampled at random to choose
// the least loaded one of them (power of d choices).
const sampleSize = 4

// stepTimeWeight is the weight of the relative step time in the load score.
const stepTimeWeight = 2.0

// acquireUpstream acquires a slot for r and returns its upstream, or nil if no
// eligible upstream has a free slot. Its cost does not depend on the number of
// upstreams unless the sampled ones are full.
func (p *Pool) acquireUpstream(r *Request) *Upstream {
	upstreams := p.Upstreams()
	if len(upstreams) == 0 {
		return nil
	}
	if p.admitter.Policy.RoundRobin {
		return acquireFirstAvailable(upstreams, r, int(p.roundRobin.Add(1)))
	}
	best, bestLoad := (*Upstream)(nil), math.Inf(1)
	for range min(sampleSize, len(upstreams)) {
		u := upstreams[rand.IntN(len(upstreams))]
		if load := p.loadScore(u); load < bestLoad && eligible(u, r) {
			best, bestLoad = u, load
		}
	}
	if u, margin := preferredUpstream(upstreams, r); u != nil && eligible(u, r) {
		if p.loadScore(u) <= bestLoad+margin && u.acquire() {
			return u
		}
	}
	if best != nil && best.acquire() {
		return best
	}
	return acquireFirstAvailable(upstreams, r, rand.IntN(len(upstreams)))
}

// acquireFirstAvailable acquires a slot on the first eligible upstream, in
// cyclic order from index start. It returns nil if there is none.
func acquireFirstAvailable(upstreams []*Upstream, r *Request, start int) *Upstream {
	for i := range upstreams {
		u := upstreams[(start+i)%len(upstreams)]
		if eligible(u, r) && u.acquire() {
			return u
		}
	}
	return nil
}

// eligible reports whether u has a free slot and is not excluded by r.
func eligible(u *Upstream, r *Request) bool {
	return u.freeSlots() > 0 && !slices.Contains(r.Exclude, u.Name)
}

// preferredUpstream returns the upstream most likely to have the prompt cached
// and the margin by which its load score may exceed the lowest one. For a
// resumed request this is the upstream that ran it last, otherwise the one
// selected by the prefix hash. It returns nil if there is no preference.
func preferredUpstream(upstreams []*Upstream, r *Request) (u *Upstream, margin float64) {
	if r.Resumed {
		if i := slices.IndexFunc(upstreams, func(u *Upstream) bool { return u.Name == r.lastUpstream }); i >= 0 {
			return upstreams[i], resumeLoadMargin
		}
	}
	if r.Prefix == 0 {
		return nil, 0
	}
	return upstreams[r.Prefix%uint64(len(upstreams))], affinityLoadMargin
}

// loadScore returns a relative measure of an upstream's load: the utilization of
// this instance's allowance plus the weighted deviation of the step time from
// the pool's median, which includes the effect of requests from other
// instances. A small penalty is added for an upstream in another failure domain.
func (p *Pool) loadScore(u *Upstream) float64 {
	const crossDomainPenalty = 0.05
	score := float64(u.inFlight.Load()) / float64(max(1, u.allowance.Load()))
	if u.FailureDomain != p.admitter.FailureDomain {
		score += crossDomainPenalty
	}
	median := math.Float64frombits(p.medianStepTime.Load())
	if stepTime := math.Float64frombits(u.stepTimeBits.Load()); stepTime > 0 && median > 0 {
		score += stepTimeWeight * (stepTime/median - 1)
	}
	return score
}
