// Package placer chooses the upstream for a request. It keeps a model of each
// engine: what runs there, what prompts are still to be read, which prompt
// parts it holds, how fast it reads and how often it fails. A request goes
// where it costs least: its own wait, the prompt tokens that have to be read
// again and the delay of what runs beside it.
//
// The model is fed by this instance's own requests and by the loads that peers
// tell. Prompt parts that no instance is known to have sent anywhere go to the
// first upstream by rendezvous hash, so that instances agree without talk.
//
// # Usage
//
//	p := &placer.Placer{Instance: "entry-1", FailureDomain: "a"}
//	p.SetPeers(now, links.PeerLoads(), links.LoadDelay())
//	choice, ok := p.Choose(now, request, upstreams)
//	run := p.Start(now, choice, request)
//	run.FirstToken(now)
//	run.End(now, placer.Succeeded)
package placer

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"savoryloft.example/savoryloft"
)

const (
	initialReadRate   = 60.0                   // Prompt tokens per ms of an engine before any was observed.
	leastReadRate     = 5.0                    // Bounds what one odd sample can do.
	partTellEvery     = 10 * time.Second       // Before peers are told again that an engine uses a part.
	partKept          = 60 * time.Second       // Age at which a part counts as evicted.
	partMemoryShare   = 0.6                    // Part of an engine's memory that shared parts are taken to have.
	hashedHolderTrust = 0.6                    // Probability that the first upstream by hash holds a part not seen there.
	runningCost       = 3.0                    // ms of wait for each request that runs there.
	delayShare        = 0.04                   // Cost of a ms of reading to each request that runs beside it.
	rereadShare       = 0.5                    // Cost of reading a shared part again, beyond the own wait.
	fullCost          = 4000.0                 // ms for a place that is not free.
	remoteCost        = 1.5                    // ms for an upstream in another failure domain.
	compared          = 6                      // Upstreams of a request's kind that are compared where peers' loads are told late.
	preferencePart    = 0.04                   // Largest preference, as a part of the time that peers' loads take.
	failureCost       = 400.0                  // ms for each recent failure.
	failureDecay      = 3 * time.Second        // Time in which the memory of failures halves.
	suspendAfter      = 2.5                    // Recent failures from which an upstream is set aside.
	probeEvery        = time.Second            // Between requests to an upstream that is set aside.
	slowAge           = 700 * time.Millisecond // Wait for a first token beyond the prediction that counts against an upstream.
	warmCost          = 30.0                   // ms while an upstream says that it is still slow.
)

// Outcome tells how a request at an upstream ended.
type Outcome int

// Outcomes.
const (
	Succeeded Outcome = iota
	Refused           // The upstream refused it without running it.
	Failed            // The upstream failed or fell silent.
	Cancelled         // The caller left, or its time was up.
)

// Request is what the choice of an upstream depends on.
type Request struct {
	Service      string
	Parts        []savoryloft.PromptPart
	PromptTokens int
	OutputTokens int                      // Expected.
	Engine       *savoryloft.EngineTraits // nil for a plain service.
	// Connections is the most requests of this instance at one upstream.
	Connections int
	Exclude     map[string]bool // Upstreams that were tried.
}

// Choice is a chosen upstream with what decided it.
type Choice struct {
	Upstream savoryloft.RegisteredUpstream
	Cost     float64       // ms.
	Uncached int           // Prompt tokens that it is expected to read.
	Running  int           // Requests that run there, of all instances.
	Waiting  int           // Prompt tokens that wait to be read there, of all instances.
	First    time.Duration // Predicted time to the first token.
}

// Placer chooses upstreams. Set the exported fields before the first call.
type Placer struct {
	Instance      string
	FailureDomain string

	mu      sync.Mutex
	engines map[string]*engine
	peers   map[string]savoryloft.LinkLoad
	peersAt time.Time
	delay   time.Duration // Time that peers' loads take to get here.
	times   kindTimes
	// candidates are the upstreams of the last choice; kept to be filled again.
	candidates []*engine
	fresh      []savoryloft.HeldPart // Parts that engines got and peers were not told of.
}

// SetPeers takes in the loads of the other instances, and the time that these
// take to get here.
func (p *Placer) SetPeers(now time.Time, loads map[string]savoryloft.LinkLoad, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers, p.peersAt, p.delay = loads, now, delay
}

// Loads returns this instance's own loads.
func (p *Placer) Loads(now time.Time) []savoryloft.LinkLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var loads []savoryloft.LinkLoad
	for id, e := range p.engines {
		if e.running > 0 {
			loads = append(loads, savoryloft.LinkLoad{
				Upstream: id, Running: e.running, Prefill: roundTokens(e.unread(now), prefillStep), Tokens: roundTokens(e.tokens, memoryStep),
			})
		}
	}
	return loads
}

// roundTokens rounds to whole steps, so that a load that hardly changes is not
// told again.
func roundTokens(tokens, step int) int { return (tokens + step/2) / step * step }

const (
	prefillStep = 500   // Tokens; some ms of reading.
	memoryStep  = 10000 // Tokens; a few hundredths of an engine's memory.
)

// TotalLoads returns the loads of all instances by upstream.
func (p *Placer) TotalLoads(now time.Time) map[string]savoryloft.LinkLoad {
	total := map[string]savoryloft.LinkLoad{}
	for _, own := range p.Loads(now) {
		total[own.Upstream] = own
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, peer := range p.peers {
		sum := total[id]
		sum.Upstream = id
		sum.Running += peer.Running
		sum.Prefill += peer.Prefill
		sum.Tokens += peer.Tokens
		total[id] = sum
	}
	return total
}

// TakeParts notes parts that engines hold according to peers, and returns
// those that were not known.
func (p *Placer) TakeParts(now time.Time, parts []savoryloft.HeldPart) []savoryloft.HeldPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	var fresh []savoryloft.HeldPart
	for _, part := range parts {
		e := p.engines[part.Upstream]
		if e == nil {
			continue
		}
		if use, ok := e.parts[part.Part]; !ok || now.Sub(use.at) > partTellEvery {
			fresh = append(fresh, part)
		}
		e.hold(now, savoryloft.PromptPart{ID: part.Part, Tokens: part.Tokens}, nil)
	}
	return fresh
}

// FreshParts returns the parts that engines got since the last call.
func (p *Placer) FreshParts() []savoryloft.HeldPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := p.fresh
	p.fresh = nil
	return fresh
}

// Forget drops the models of upstreams that are gone and idle.
func (p *Placer) Forget(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.engines {
		if e.running == 0 && now.Sub(e.seenAt) > partKept {
			delete(p.engines, id)
		}
		for part, use := range e.parts {
			if now.Sub(use.at) > partKept {
				delete(e.parts, part)
				e.partSum -= use.tokens
			}
		}
	}
}

// Choose returns the upstream where a request costs least. ok is false when
// there is none.
func (p *Placer) Choose(now time.Time, r Request, upstreams []savoryloft.RegisteredUpstream) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kinds := p.times.border(now, r, len(upstreams))
	p.candidates = p.candidates[:0]
	for _, u := range upstreams {
		if u.Draining || r.Exclude[u.ID] {
			continue
		}
		e := p.engine(u)
		e.seenAt = now
		p.candidates = append(p.candidates, e)
	}
	first := hashedFirst(r, p.candidates, kinds)
	compare := p.sample(kinds)
	best := Choice{Cost: math.Inf(1)}
	suspended := Choice{Cost: math.Inf(1)}
	passedOver := Choice{Cost: math.Inf(1)}
	for _, e := range p.candidates {
		if r.Connections > 0 && e.running >= r.Connections {
			continue
		}
		c := p.cost(now, e, r, e == first)
		if !kinds.suits(e) {
			c.Cost += otherKindCost
		}
		if e.suspended(now) && now.Sub(e.probedAt) < probeEvery {
			if c.Cost < suspended.Cost {
				suspended = c
			}
			continue
		}
		switch {
		case c.Cost >= best.Cost:
		case e == first || e.holds(r) || compare():
			best = c
		case c.Cost < passedOver.Cost:
			passedOver = c
		}
	}
	if math.IsInf(best.Cost, 1) {
		best = passedOver
	}
	if math.IsInf(best.Cost, 1) {
		best = suspended
	}
	return best, !math.IsInf(best.Cost, 1)
}

// sample returns whether to compare an upstream that holds nothing of a prompt.
// Where peers' loads are told late, instances that all compared all upstreams
// would meet at the one that was idle last; each compares a few at random.
func (p *Placer) sample(b border) func() bool {
	if p.delay == 0 {
		return func() bool { return true }
	}
	n := 0
	for _, e := range p.candidates {
		if b.suits(e) {
			n++
		}
	}
	return func() bool { return rand.IntN(max(n, 1)) < compared }
}

// cost returns what a request would cost at an engine.
func (p *Placer) cost(now time.Time, e *engine, r Request, hashed bool) Choice {
	peer := p.peers[e.upstream.ID]
	c := Choice{Upstream: e.upstream, Running: e.running + peer.Running, Waiting: e.unread(now)}
	c.Waiting += drained(peer.Prefill, now.Sub(p.peersAt), e.readRate)
	c.Uncached = e.uncached(now, r, hashed)
	read := float64(c.Uncached) / e.readRate
	c.First = time.Duration(float64(c.Waiting+c.Uncached) / e.readRate * float64(time.Millisecond))
	c.Cost = float64(c.Waiting)/e.readRate + read + float64(c.Running)*(runningCost+read*delayShare)
	if r.Engine != nil {
		// The last part is the request's own and is read anywhere.
		shared := max(c.Uncached-r.ownTokens(), 0)
		c.Cost += float64(shared) / e.readRate * rereadShare
		if r.Engine.MemoryTokens > 0 && e.tokens+peer.Tokens+r.PromptTokens+r.OutputTokens > r.Engine.MemoryTokens {
			c.Cost += fullCost
		}
	}
	if slots := e.slots(r); slots > 0 && c.Running >= slots {
		c.Cost += fullCost * float64(c.Running-slots+1) / float64(slots)
	}
	if e.upstream.FailureDomain != p.FailureDomain {
		c.Cost += remoteCost
	}
	c.Cost += p.preference(e)
	if e.upstream.WarmIn > 0 {
		c.Cost += warmCost
	}
	c.Cost += e.recentFailures(now)*failureCost + e.overdue(now)
	return c
}

// preference returns a cost, in ms, that differs between instances. Instances
// that hear late of each other's requests would else all take the upstream that
// was idle last.
func (p *Placer) preference(e *engine) float64 {
	if p.delay == 0 {
		return 0
	}
	most := preferencePart * float64(p.delay) / float64(time.Millisecond)
	return most * e.preference
}

// ownTokens returns the tokens that no other request shares.
func (r Request) ownTokens() int {
	shared := 0
	for _, part := range r.shared() {
		shared += part.Tokens
	}
	return max(r.PromptTokens-shared, 0)
}

// shared returns the parts that other requests may share: all but the last.
func (r Request) shared() []savoryloft.PromptPart {
	if len(r.Parts) == 0 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// hashedFirst returns the upstream that rendezvous hashing puts first for the
// last shared part of a request among those that suit it; nil when there is none.
func hashedFirst(r Request, engines []*engine, b border) *engine {
	shared := r.shared()
	if len(shared) == 0 {
		return nil
	}
	key := shared[len(shared)-1].ID
	var most uint64
	var first *engine
	for _, e := range engines {
		if !b.suits(e) {
			continue
		}
		if h := rendezvous(key, e.upstream.ID); first == nil || h > most {
			most, first = h, e
		}
	}
	return first
}

// unit maps a hash to a number from 0 up to 1.
func unit(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

func rendezvous(key, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	// FNV alone mixes the last bytes badly.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// Start notes that a request is sent to the chosen upstream.
func (p *Placer) Start(now time.Time, c Choice, r Request) *Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engine(c.Upstream)
	run := &Run{
		prompted: r.Engine != nil, long: r.PromptTokens >= longPrompt, placer: p, engine: e, uncached: c.Uncached, tokens: r.PromptTokens + r.OutputTokens, started: now,
		waited: c.Waiting, expected: float64(c.Waiting+c.Uncached) / e.readRate, prefill: true,
	}
	e.running++
	e.prefill += run.uncached
	e.tokens += run.tokens
	e.unstarted[run] = struct{}{}
	if e.suspended(now) {
		e.probedAt = now
	}
	for _, part := range r.Parts {
		if use, ok := e.parts[part.ID]; len(r.Parts) > 1 && (!ok || now.Sub(use.at) > partTellEvery) {
			p.fresh = append(p.fresh, savoryloft.HeldPart{Upstream: c.Upstream.ID, Part: part.ID, Tokens: part.Tokens})
		}
		e.hold(now, part, r.Engine)
	}
	if n := len(r.Parts); n > 1 && len(p.fresh) > 0 && p.fresh[len(p.fresh)-1].Part == r.Parts[n-1].ID {
		p.fresh = p.fresh[:len(p.fresh)-1] // The last part is the request's own.
	}
	return run
}
