// Package placer is a load balancer that chooses the upstream for a request. For
// each upstream it estimates the number of running requests, the prompt tokens
// that await prefill, the prompt parts in the prefix cache, the prefill rate and
// the recent failures. It chooses the upstream with the lowest cost, which
// covers the expected wait of the request, the prefill of shared parts that the
// upstream has not cached, and the delay of other requests on the upstream.
//
// The estimates come from this instance's requests and from the loads that peers
// report. Shared prompt parts that no known upstream has cached are assigned to
// an upstream by rendezvous hashing, so that instances choose the same one
// without coordination.
//
// # Usage
//
//	p := &placer.Placer{Instance: "entry-1", FailureDomain: "a"}
//	p.SetPeerLoads(now, links.PeerLoads(), links.LoadDelay())
//	choice, ok := p.Choose(now, request, upstreams)
//	run := p.Start(now, choice, request)
//	run.RecordFirstToken(now)
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
	initialPrefillRate        = 60.0                   // Prompt tokens per ms, until the first sample.
	minPrefillRate            = 5.0                    // Prompt tokens per ms; limits the effect of an outlier.
	partResendInterval        = 10 * time.Second       // Time without use after which a part is reported to peers again.
	cachedPartTTL             = 60 * time.Second       // Time after which an unused part is assumed to be evicted.
	preferredCacheProbability = 0.6                    // Probability that the preferred upstream has cached a part that is not recorded for it.
	unreportedProbability     = 0.9                    // The same where parts at preferred upstreams are not reported to peers.
	maxReportingInstances     = 100                    // Up to which all cached parts are reported to peers.
	runningCostMs             = 3.0                    // For each request that runs on the upstream.
	interferenceShare         = 0.04                   // Cost per ms of prefill and per request that runs on the upstream, which the prefill delays.
	recomputeShare            = 0.5                    // Cost per ms of prefill of shared parts, in addition to the wait for it.
	fullCostMs                = 4000.0                 // For an upstream without a free slot or enough free KV cache, or beyond the request's maximum backlog.
	remoteDomainCostMs        = 1.5                    // For an upstream in another failure domain.
	sampledUpstreams          = 6                      // Expected size of the random sample from a partition if peer loads are delayed.
	maxJitterShare            = 0.04                   // Largest jitterCost, as a share of the delay of peer loads.
	failureCostMs             = 400.0                  // For a failure score of 1.
	failureHalfLife           = 3 * time.Second        // Of the failure score.
	suspendThreshold          = 2.5                    // Failure score from which an upstream is suspended.
	probeInterval             = time.Second            // Between requests to a suspended upstream.
	firstTokenGrace           = 700 * time.Millisecond // Time by which a first token may exceed its prediction without a cost.
	warmUpCostMs              = 30.0                   // For an upstream that reports that it is warming up.
	maxPause                  = 10 * time.Minute       // Of the pause that an upstream asks for; a longer one is taken for a mistake.
	pauseSpread               = 0.1                    // Maximum random extension of a pause as a share of it, so that instances return one by one.
	maxPauseSpread            = time.Second            // Upper bound of that extension.
)

// Outcome is the result of a request to an upstream.
type Outcome int

// Outcomes.
const (
	Succeeded Outcome = iota
	Refused           // The upstream refused the request without running it.
	Failed            // The upstream failed or timed out.
	Cancelled         // The client disconnected, or the request's deadline passed.
)

// Request holds the properties of a request that the choice of an upstream
// depends on.
type Request struct {
	Service      string
	Parts        []savoryloft.PromptPart
	PromptTokens int
	OutputTokens int                      // Expected number.
	Engine       *savoryloft.EngineTraits // nil for a service without inference engines.
	Objective    time.Duration            // For the first token; 0 if there is none.
	// MaxBacklog is the time that the prefill queued on an upstream may take for the
	// request to be sent there while another upstream has less; 0 for no limit.
	MaxBacklog time.Duration
	// MaxConnections limits this instance's concurrent requests to one upstream;
	// 0 for no limit.
	MaxConnections int
	WarmUpLimited  bool               // The service limits the requests to its cold upstreams.
	Exclude        map[string]bool    // IDs of upstreams that must not be chosen.
	Streaming      bool               // The first token arrives when it is generated, not with the complete response.
	NoFetch        bool               // No prompt parts may be fetched from another upstream.
	VersionCosts   map[string]float64 // Additional costs in ms, by version of the upstreams' software.
}

// Choice is the chosen upstream and the estimates that the choice is based on.
// Running and QueuedTokens include the requests of all instances.
type Choice struct {
	Upstream         savoryloft.RegisteredUpstream
	Cost             float64       // ms.
	Preferred        bool          // The upstream is the one that all instances prefer for the prompt.
	UncachedTokens   int           // Prompt tokens of the request to prefill.
	FetchFrom        string        // Address of the upstream from which cached prompt tokens are fetched; empty for none.
	FetchSource      string        // ID of that upstream.
	FetchedTokens    int           // Prompt tokens that are fetched.
	FetchTime        time.Duration // Predicted; TimeToFirstToken includes it.
	Copies           bool          // The fetch puts parts that one failure domain holds only into another one.
	Running          int           // Requests that run on the upstream.
	QueuedTokens     int           // Prompt tokens that await prefill on the upstream.
	Full             bool          // The upstream has no free slot, or not enough free KV cache.
	TimeToFirstToken time.Duration // Predicted.
}

// Placer chooses upstreams. Set the exported fields before the first call.
type Placer struct {
	Instance      string
	FailureDomain string

	mu            sync.Mutex
	states        map[string]*upstreamState
	peerLoads     map[string]savoryloft.LinkLoad
	peerLoadsAt   time.Time
	peerLoadDelay time.Duration // Propagation delay of peer loads.
	instances     int           // Number of instances; 0 if unknown.
	classTimes    classTimes
	candidates    []*upstreamState      // Buffer that Choose reuses.
	leaving       []*upstreamState      // The same, for draining upstreams.
	uses          map[string]partUse    // By ID of the last shared part of the prompts.
	copiedAt      time.Time             // Last copy of a part into another failure domain.
	unsentParts   []savoryloft.HeldPart // Newly cached parts that were not reported to peers.
}

// SetPeerLoads sets the total loads of the other instances by upstream, and the
// propagation delay of these loads.
func (p *Placer) SetPeerLoads(now time.Time, loads map[string]savoryloft.LinkLoad, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerLoads, p.peerLoadsAt, p.peerLoadDelay = loads, now, delay
}

// SetInstances sets the number of instances of the deployment.
func (p *Placer) SetInstances(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = n
}

// Loads returns the load of this instance's requests on each upstream that runs
// any of them. Token counts are rounded.
func (p *Placer) Loads(now time.Time) []savoryloft.LinkLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var loads []savoryloft.LinkLoad
	for id, s := range p.states {
		if s.running > 0 {
			loads = append(loads, savoryloft.LinkLoad{
				Upstream: id, Running: s.running, Prefill: roundTokens(s.remainingPrefill(now), prefillStepTokens), Tokens: roundTokens(s.kvTokens, kvStepTokens),
			})
		}
	}
	return loads
}

// roundTokens rounds to a multiple of step, so that a small change of the load
// is not sent to peers.
func roundTokens(tokens, step int) int { return (tokens + step/2) / step * step }

const (
	prefillStepTokens = 500   // Several ms of prefill.
	kvStepTokens      = 10000 // A few percent of an engine's KV cache.
)

// TotalLoads returns the total load of all instances by upstream.
func (p *Placer) TotalLoads(now time.Time) map[string]savoryloft.LinkLoad {
	totals := map[string]savoryloft.LinkLoad{}
	for _, load := range p.Loads(now) {
		totals[load.Upstream] = load
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, peer := range p.peerLoads {
		sum := totals[id]
		sum.Upstream = id
		sum.Running += peer.Running
		sum.Prefill += peer.Prefill
		sum.Tokens += peer.Tokens
		totals[id] = sum
	}
	return totals
}

// MergeParts records the cached parts that a peer has reported. It returns those
// that had not been recorded in the last 10 s, for the caller to forward. Parts
// of upstreams that have not been candidates are ignored.
func (p *Placer) MergeParts(now time.Time, parts []savoryloft.HeldPart) []savoryloft.HeldPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	var forward []savoryloft.HeldPart
	for _, part := range parts {
		s := p.states[part.Upstream]
		if s == nil {
			continue
		}
		if cached, ok := s.cachedParts[part.Part]; !ok || now.Sub(cached.lastUsed) > partResendInterval {
			forward = append(forward, part)
		}
		s.cachePart(now, savoryloft.PromptPart{ID: part.Part, Tokens: part.Tokens})
	}
	return forward
}

// TakeUnsentParts returns the shared parts that upstreams have cached for this
// instance's requests since the last call, for the caller to send to peers.
func (p *Placer) TakeUnsentParts() []savoryloft.HeldPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	parts := p.unsentParts
	p.unsentParts = nil
	return parts
}

// Prune deletes the states of idle upstreams that have not been candidates for
// 60 s and are not paused, and cached parts that have not been used for 60 s.
func (p *Placer) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pruneUses(now)
	for id, s := range p.states {
		if s.running == 0 && now.Sub(s.lastCandidateAt) > cachedPartTTL && !now.Before(s.pausedUntil) {
			delete(p.states, id)
		}
		for part, cached := range s.cachedParts {
			if now.Sub(cached.lastUsed) > cachedPartTTL {
				delete(s.cachedParts, part)
				s.cachedTokens -= cached.tokens
			}
		}
	}
}

// Pause excludes an upstream from all choices of this instance for a while, as the
// upstream has asked.
func (p *Placer) Pause(now time.Time, u savoryloft.RegisteredUpstream, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d = min(d, maxPause)
	d += time.Duration(rand.Float64() * min(pauseSpread*float64(d), float64(maxPauseSpread)))
	s := p.state(now, u)
	if until := now.Add(d); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// SetBrittle records whether an upstream fails if it has to turn many requests away. It is
// then not chosen while it has no room.
func (p *Placer) SetBrittle(now time.Time, u savoryloft.RegisteredUpstream, brittle bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(now, u).brittle = brittle
}

// PauseLeft returns the time until the first of the paused upstreams may be chosen
// again, or 0 if none is paused.
func (p *Placer) PauseLeft(now time.Time, upstreams []savoryloft.RegisteredUpstream) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var left time.Duration
	for _, u := range upstreams {
		s := p.states[u.ID]
		if s == nil || u.Draining || u.Evacuated || !now.Before(s.pausedUntil) {
			continue
		}
		if d := s.pausedUntil.Sub(now); left == 0 || d < left {
			left = d
		}
	}
	return left
}

// Choose returns the upstream with the lowest cost for a request, or false when
// no upstream is eligible: draining, evacuated, paused and excluded upstreams and those
// at the connection limit are not. Suspended upstreams are chosen only for probe requests
// or if no other upstream is eligible.
func (p *Placer) Choose(now time.Time, r Request, upstreams []savoryloft.RegisteredUpstream) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pt := p.classTimes.partition(now, r, len(upstreams))
	p.candidates, p.leaving = p.candidates[:0], p.leaving[:0]
	for _, u := range upstreams {
		if u.Draining {
			if s := p.states[u.ID]; s != nil && s.upstream.StartedAtMs == u.StartedAtMs {
				s.upstream = u
				p.leaving = append(p.leaving, s)
			}
			continue
		}
		if u.Evacuated || r.Exclude[u.ID] {
			continue
		}
		s := p.state(now, u)
		s.lastCandidateAt = now
		if now.Before(s.pausedUntil) {
			continue
		}
		p.candidates = append(p.candidates, s)
	}
	preferred := preferredUpstream(now, r, p.candidates, pt)
	prompt := p.findPrefix(now, &r, preferred, pt)
	sample := p.sampler(pt)
	best := Choice{Cost: math.Inf(1)}
	suspended := Choice{Cost: math.Inf(1)}
	unsampled := Choice{Cost: math.Inf(1)}
	for _, s := range p.candidates {
		if r.MaxConnections > 0 && s.running >= r.MaxConnections {
			continue
		}
		c := p.cost(&prompt, s, s == preferred)
		if s.brittle && c.Full {
			continue
		}
		if !pt.includes(s) {
			c.Cost += r.classMismatchMs()
		}
		if s.suspended(now) && now.Sub(s.probedAt) < probeInterval {
			if c.Cost < suspended.Cost {
				suspended = c
			}
			continue
		}
		switch {
		case c.Cost >= best.Cost:
		case s == preferred || s.cachesSharedParts(r) || sample():
			best = c
		case c.Cost < unsampled.Cost:
			unsampled = c
		}
	}
	if math.IsInf(best.Cost, 1) {
		best = unsampled
	}
	if math.IsInf(best.Cost, 1) {
		best = suspended
	}
	return best, !math.IsInf(best.Cost, 1)
}

// sampler returns a function that decides whether Choose considers an upstream
// other than the preferred one and those that have cached the prompt's shared
// parts. If peer loads are delayed, it selects a random sample, since instances
// that considered all upstreams would all send to the one that was last reported
// as idle (herding).
func (p *Placer) sampler(pt partition) func() bool {
	if p.peerLoadDelay == 0 {
		return func() bool { return true }
	}
	n := 0
	for _, s := range p.candidates {
		if pt.includes(s) {
			n++
		}
	}
	return func() bool { return rand.IntN(max(n, 1)) < sampledUpstreams }
}

// cost returns the cost of sending a request to an upstream, with the estimates
// that the cost is based on.
func (p *Placer) cost(prompt *prefix, s *upstreamState, isPreferred bool) Choice {
	now, r := prompt.now, prompt.request
	peer := p.peerLoads[s.upstream.ID]
	c := Choice{Upstream: s.upstream, Running: s.running + peer.Running, QueuedTokens: s.remainingPrefill(now), Preferred: isPreferred}
	c.QueuedTokens += remainingTokens(peer.Prefill, now.Sub(p.peerLoadsAt), s.prefillRate)
	probability := 0.0
	if isPreferred {
		probability = prompt.probability
	}
	queueMs := float64(c.QueuedTokens) / s.prefillRate
	plan := prompt.plan(s, probability, queueMs, c.Running)
	c.UncachedTokens = plan.read
	c.TimeToFirstToken = time.Duration((queueMs + plan.readMs + plan.fetchMs) * float64(time.Millisecond))
	c.Cost = queueMs + plan.readMs + float64(c.Running)*(runningCostMs+plan.readMs*interferenceShare)
	if prompt.tokensPerMs > 0 {
		c.Cost += s.evictionCostMs(r, peer, plan.read+plan.fetched-r.unsharedTokens())
	}
	if plan.source != nil {
		c.FetchFrom, c.FetchSource, c.FetchedTokens = plan.source.upstream.Address, plan.source.upstream.ID, plan.fetched
		c.FetchTime = time.Duration(plan.fetchMs * float64(time.Millisecond))
		c.Cost += plan.fetchMs * (1 + transferCostShare)
		if c.Copies = prompt.soleDomain != "" && s.upstream.FailureDomain != prompt.soleDomain; c.Copies {
			c.Cost -= copyBonusMs
		}
	}
	if r.Engine != nil {
		// No upstream has cached the last part, which is not shared.
		shared := max(c.UncachedTokens-r.unsharedTokens(), 0)
		c.Cost += float64(shared) / s.prefillRate * recomputeShare
		memory := s.memoryCostMs(r, peer)
		c.Full = memory >= fullCostMs
		c.Cost += memory
	}
	if slots := s.slots(*r); slots > 0 && c.Running >= slots {
		c.Full = true
		c.Cost += fullCostMs * float64(c.Running-slots+1) / float64(slots)
	}
	if r.MaxBacklog > 0 && float64(c.QueuedTokens)/s.prefillRate > float64(r.MaxBacklog)/float64(time.Millisecond) {
		c.Cost += fullCostMs
	}
	if s.upstream.FailureDomain != p.FailureDomain {
		c.Cost += remoteDomainCostMs
	}
	c.Cost += p.jitterCost(s) + r.VersionCosts[s.upstream.Version]
	if s.upstream.WarmUp > 0 {
		c.Cost += warmUpCostMs
	}
	c.Cost += s.decayedFailureScore(now)*failureCostMs + s.overdueMs(now)
	return c
}

// findPrefix returns what the upstreams have cached of a prompt.
func (p *Placer) findPrefix(now time.Time, r *Request, preferred *upstreamState, pt partition) prefix {
	f := newPrefix(now, r)
	f.probability = p.preferredProbability()
	for _, s := range p.candidates {
		s.prefixTokens = f.cachedTokens(s)
	}
	if f.tokensPerMs == 0 || f.sharedTokens == 0 {
		return f
	}
	for _, s := range p.leaving {
		s.prefixTokens = f.cachedTokens(s)
	}
	f.jitterSources = p.peerLoadDelay > 0
	expected := preferred // The upstream that has cached the shared parts although that is not reported.
	if p.reportsPreferred() {
		expected = nil
	} else if len(p.leaving) > 0 {
		expected = preferredUpstream(now, *r, append(p.candidates, p.leaving...), pt)
	}
	for _, list := range [][]*upstreamState{p.candidates, p.leaving} {
		for _, s := range list {
			if s == expected {
				f.addSource(s, f.probability)
			} else {
				f.addSource(s, 0)
			}
		}
	}
	if f.wholeSource && p.reportsPreferred() {
		f.probability = 0 // It would have been reported for the preferred upstream, too.
	}
	if f.wholeSource {
		f.soleDomain = p.soleDomain(&f)
	}
	return f
}

// preferredProbability returns the probability that a preferred upstream has cached
// a part that is not recorded for it.
func (p *Placer) preferredProbability() float64 {
	if p.reportsPreferred() {
		return preferredCacheProbability
	}
	return unreportedProbability
}

// reportsPreferred reports whether parts are also reported to peers when they are
// cached at the preferred upstream. Each report goes to all instances, so in a large
// deployment only the exceptions are reported.
func (p *Placer) reportsPreferred() bool {
	return p.peerLoadDelay == 0 || p.instances > 0 && p.instances <= maxReportingInstances
}

// jitterCost returns a cost in ms that differs between instances if peer loads
// are delayed. Without it, all instances would choose the same upstream among
// those of equal cost, the one that was last reported as idle.
func (p *Placer) jitterCost(s *upstreamState) float64 {
	if p.peerLoadDelay == 0 {
		return 0
	}
	maxMs := maxJitterShare * float64(p.peerLoadDelay) / float64(time.Millisecond)
	return maxMs * s.jitter
}

// unsharedTokens returns the number of prompt tokens outside the shared parts.
func (r Request) unsharedTokens() int {
	shared := 0
	for _, part := range r.sharedParts() {
		shared += part.Tokens
	}
	return max(r.PromptTokens-shared, 0)
}

// sharedParts returns all parts but the last, which other requests may share.
func (r Request) sharedParts() []savoryloft.PromptPart {
	if len(r.Parts) == 0 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// preferredUpstream returns the upstream of the partition that weighted rendezvous
// hashing selects for the last shared part of a request, so that all instances prefer
// the same one. The weight of an upstream that has just been added rises with its age,
// so that it takes cached prompts over from others a few at a time. preferredUpstream
// returns nil if the request has no shared part or the partition is empty.
func preferredUpstream(now time.Time, r Request, candidates []*upstreamState, pt partition) *upstreamState {
	shared := r.sharedParts()
	if len(shared) == 0 {
		return nil
	}
	key := shared[len(shared)-1].ID
	highest := 0.0
	var selected *upstreamState
	for _, s := range candidates {
		if !pt.includes(s) {
			continue
		}
		score := s.ageWeight(now) / -math.Log(toUnitInterval(rendezvous(key, s.upstream.ID)))
		if selected == nil || score > highest {
			highest, selected = score, s
		}
	}
	return selected
}

// toUnitInterval maps a hash to the open interval from 0 to 1.
func toUnitInterval(hash uint64) float64 { return (float64(hash>>12) + 0.5) / (1 << 52) }

// rendezvous returns the rendezvous (highest random weight) hash of a key and an
// upstream's ID.
func rendezvous(key, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	// FNV-1a mixes the last bytes poorly; this is the first half of MurmurHash3's
	// 64-bit finalizer.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// Start records that a request is sent to the chosen upstream, which will cache
// the parts of its prompt. The caller must call End on the returned Run.
func (p *Placer) Start(now time.Time, c Choice, r Request) *Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(now, c.Upstream)
	run := &Run{
		placer: p, upstream: s, startedAt: now, cold: r.WarmUpLimited && savoryloft.Uptime() < c.Upstream.WarmUpEnd,
		hasPrompt: r.Engine != nil, longPrompt: r.PromptTokens >= longPromptTokens,
		uncachedTokens: c.UncachedTokens,
		queuedTokens:   c.QueuedTokens, expectedFirstTokenMs: float64(c.QueuedTokens+c.UncachedTokens)/s.prefillRate + milliseconds(c.FetchTime), prefilling: true,
	}
	p.startFetch(now, run, c, r)
	p.countUse(now, r, c)
	s.running++
	s.prefillTokens += run.uncachedTokens
	run.holdMemory(r)
	s.awaitingFirstToken[run] = struct{}{}
	if s.suspended(now) {
		s.probedAt = now
	}
	report := len(r.Parts) > 1 && (!c.Preferred || p.reportsPreferred())
	for _, part := range r.Parts {
		if cached, ok := s.cachedParts[part.ID]; report && (!ok || now.Sub(cached.lastUsed) > partResendInterval) {
			p.unsentParts = append(p.unsentParts, savoryloft.HeldPart{Upstream: c.Upstream.ID, Part: part.ID, Tokens: part.Tokens})
		}
		s.cachePart(now, part)
	}
	if r.Engine != nil && r.Engine.MemoryTokens > 0 {
		s.evictParts(s.cachedPartLimit(&r, p.peerLoads[c.Upstream.ID]))
	}
	if n := len(r.Parts); n > 1 && len(p.unsentParts) > 0 && p.unsentParts[len(p.unsentParts)-1].Part == r.Parts[n-1].ID {
		p.unsentParts = p.unsentParts[:len(p.unsentParts)-1] // The last part is not shared.
	}
	return run
}
