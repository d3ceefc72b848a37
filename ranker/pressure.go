package ranker

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	pressureMemory = time.Second // Time in which the weight of a request falls to 1/e.
	// priorRequests is the number of served requests that are assumed beside the recent ones
	// of an urgency, so that a single refusal of a rare kind does not refuse all others.
	priorRequests = 10.0
	// maxRefusedShare is the share of the recent requests of an urgency that are refused from
	// which on all less urgent ones are refused. With a lower share a part of them is.
	maxRefusedShare = 0.08
	recentRequests  = 5 * time.Second // Time after a request in which others compete with those of its urgency.
)

// Pressure counts the requests of one instance, and those that were refused for lack of room. The less
// urgent ones give way to them: bounds on the load alone do not keep urgencies apart, since
// each instance knows the loads late and compares a few upstreams only. The zero value is
// ready for use. The methods are safe for concurrent use.
type Pressure struct {
	mu     sync.Mutex
	counts map[string]map[int]*refusals // By service and urgency.
}

// refusals counts requests with exponential decay.
type refusals struct {
	requests, refused float64
	tokens            float64 // Of the prompts of those that were refused.
	at                time.Time
	lastRequest       time.Time
}

func (r *refusals) decay(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		f := math.Exp(-float64(d) / float64(pressureMemory))
		r.requests, r.refused, r.tokens, r.at = r.requests*f, r.refused*f, r.tokens*f, now
	}
}

// RecordRequest records a request.
func (p *Pressure) RecordRequest(now time.Time, service string, urgency int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.count(now, service, urgency)
	r.requests++
	r.lastRequest = now
}

// Competes reports whether requests of an urgency compete with more urgent ones: some have
// come lately.
func (p *Pressure) Competes(now time.Time, service string, urgency int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, r := range p.counts[service] {
		if other < urgency && now.Sub(r.lastRequest) < recentRequests {
			return true
		}
	}
	return false
}

// RecordRefusal records that a request with a prompt of so many tokens was refused for lack
// of room.
func (p *Pressure) RecordRefusal(now time.Time, service string, urgency, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.count(now, service, urgency)
	r.refused++
	r.tokens += float64(tokens)
}

// count returns the count of an urgency as of now. The caller holds the lock.
func (p *Pressure) count(now time.Time, service string, urgency int) *refusals {
	if p.counts == nil {
		p.counts = map[string]map[int]*refusals{}
	}
	if p.counts[service] == nil {
		p.counts[service] = map[int]*refusals{}
	}
	r := p.counts[service][urgency]
	if r == nil {
		r = &refusals{at: now}
		p.counts[service][urgency] = r
	}
	r.decay(now)
	return r
}

// Share returns the part of the requests of an urgency, with a prompt of so many tokens, that
// give way to more urgent ones, from 0 to 1. A short prompt does not give way to longer ones:
// they would find no room in its place.
func (p *Pressure) Share(now time.Time, service string, urgency, tokens int) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := 0.0
	for other, r := range p.counts[service] {
		r.decay(now)
		if other < urgency && float64(tokens)*r.refused >= r.tokens {
			share = max(share, r.refused/(r.requests+priorRequests))
		}
	}
	return min(share/maxRefusedShare, 1)
}

// GivesWay reports whether a request is refused in favour of more urgent ones.
func (p *Pressure) GivesWay(now time.Time, service string, urgency, tokens int) bool {
	share := p.Share(now, service, urgency, tokens)
	return share > 0 && rand.Float64() < share
}

// Prune removes the counts that are no longer of any weight.
func (p *Pressure) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, counts := range p.counts {
		for urgency, r := range counts {
			if now.Sub(r.at) > time.Minute {
				delete(counts, urgency)
			}
		}
		if len(counts) == 0 {
			delete(p.counts, service)
		}
	}
}
