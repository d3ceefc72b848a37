package placer

import (
	"math"
	"time"

	"savoryloft.example/savoryloft"
)

// upstreamState is the state that an instance keeps for one upstream: the load
// from its own requests, the prompt parts assumed to be in the upstream's prefix
// cache, the prefill rate and recent failures.
type upstreamState struct {
	upstream           savoryloft.RegisteredUpstream
	addedAt            time.Time             // When this instance learned of it.
	running            int                   // Requests of this instance that run on the upstream.
	prefillTokens      int                   // Uncached prompt tokens of the runs in awaitingFirstToken.
	kvTokens           int                   // KV cache that this instance's requests occupy, in tokens.
	cachedParts        map[string]cachedPart // By part ID.
	cachedTokens       int                   // Sum of the tokens in cachedParts.
	speedAt            time.Time             // Time at which prefillRate and slowness were evaluated.
	prefillRate        float64               // Prompt tokens per ms.
	slowness           float64               // Factor of the cost of a running request.
	failureScore       float64               // Value at failureScoreAt; it decays from then on.
	failureScoreAt     time.Time
	probedAt           time.Time // Last request while suspended.
	pausedUntil        time.Time // End of the pause that the upstream has asked for.
	lastCandidateAt    time.Time // Last time that the upstream was a candidate.
	awaitingFirstToken map[*Run]struct{}

	hashPosition float64 // Hash of the ID, from 0 to 1, which partition.boundary divides.
	jitter       float64 // Hash of this instance and the ID, from 0 to 1; scales jitterCost.

	prefill speedEstimate // Of the prefill rate.
	streams speedEstimate // Of the output tokens per ms of a stream.
}

// cachedPart is a prompt part that is assumed to be in an upstream's prefix
// cache.
type cachedPart struct {
	tokens   int
	lastUsed time.Time
}

// Run is one request that was sent to an upstream.
type Run struct {
	placer               *Placer
	upstream             *upstreamState
	uncachedTokens       int
	kvTokens             int
	startedAt            time.Time
	queuedTokens         int     // Prompt tokens queued at the upstream when the run started.
	expectedFirstTokenMs float64 // Predicted time to the first token.
	prefilling           bool    // No first token yet.
	hasPrompt            bool    // The service runs inference engines, so the run counts in classTimes.
	longPrompt           bool    // The prompt has at least longPromptTokens.
	ended                bool

	// Used only by the caller of RecordEvents.
	eventTokens int
	events      int           // At the last sample.
	eventsAt    time.Time     // Time of the last sample.
	eventsWait  time.Duration // Time for which the caller has waited for events since then.
}

// state returns the state of an upstream. It creates a new state if the upstream
// is new or has restarted.
func (p *Placer) state(now time.Time, u savoryloft.RegisteredUpstream) *upstreamState {
	if p.states == nil {
		p.states = map[string]*upstreamState{}
	}
	s := p.states[u.ID]
	if s == nil || s.upstream.StartedAtMs != u.StartedAtMs {
		s = &upstreamState{
			addedAt: now, cachedParts: map[string]cachedPart{}, prefillRate: initialPrefillRate, slowness: 1, awaitingFirstToken: map[*Run]struct{}{},
			hashPosition: toUnitInterval(rendezvous("short", u.ID)), jitter: toUnitInterval(rendezvous(p.Instance, u.ID)),
		}
		p.states[u.ID] = s
	}
	s.upstream = u
	return s
}

// ageWeight returns the weight of the upstream as a preferred one, which rises to 1
// until this instance has known the upstream for fullWeightAge.
func (s *upstreamState) ageWeight(now time.Time) float64 {
	return min(max(float64(now.Sub(s.addedAt))/float64(fullWeightAge), minAgeWeight), 1)
}

const (
	fullWeightAge = 30 * time.Second
	minAgeWeight  = 0.01 // Of an upstream that has just been added.
)

// remainingPrefill estimates how many prompt tokens of this instance's requests
// still await prefill. It assumes that the upstream has processed prompt tokens
// at prefillRate since the oldest run without a first token started.
func (s *upstreamState) remainingPrefill(now time.Time) int {
	if s.prefillTokens == 0 {
		return 0
	}
	var oldest time.Time
	for r := range s.awaitingFirstToken {
		if oldest.IsZero() || r.startedAt.Before(oldest) {
			oldest = r.startedAt
		}
	}
	return remainingTokens(s.prefillTokens, now.Sub(oldest), s.prefillRate)
}

// remainingTokens returns how many of some prompt tokens are left after prefill
// for the elapsed time at a rate in tokens per ms. It never returns less than
// minRemainingShare of them, since prefill that takes longer than predicted has
// not finished.
func remainingTokens(tokens int, elapsed time.Duration, rate float64) int {
	remaining := float64(tokens) - rate*float64(elapsed)/float64(time.Millisecond)
	return int(max(remaining, float64(tokens)*minRemainingShare))
}

const minRemainingShare = 0.15 // Share of the prompt tokens that counts as remaining until the first token arrives.

// slots returns how many requests the upstream runs at once; 0 when unknown.
func (s *upstreamState) slots(r Request) int {
	if s.upstream.Slots > 0 {
		return s.upstream.Slots
	}
	if r.Engine != nil {
		return r.Engine.Slots
	}
	return 0
}

// uncachedTokens estimates how many prompt tokens of a request the upstream has
// to prefill. A prefix cache holds a part only together with all parts before
// it. probability is that of a shared part that is not recorded to be cached all
// the same, for requests of other instances.
func (s *upstreamState) uncachedTokens(now time.Time, r Request, probability float64) int {
	tokens := r.PromptTokens
	for _, part := range r.Parts {
		cached, ok := s.cachedParts[part.ID]
		if !ok || now.Sub(cached.lastUsed) > cachedPartTTL {
			break
		}
		tokens -= part.Tokens
	}
	cached := r.PromptTokens - tokens
	missing := max(r.PromptTokens-r.unsharedTokens()-cached, 0)
	tokens -= int(float64(missing) * probability)
	return max(tokens, 0)
}

// cachesSharedParts reports whether the upstream has cached the last shared part of
// a prompt. Earlier ones may be common to so many prompts that every upstream has
// them.
func (s *upstreamState) cachesSharedParts(r Request) bool {
	shared := r.sharedParts()
	if len(shared) == 0 {
		return false
	}
	_, ok := s.cachedParts[shared[len(shared)-1].ID]
	return ok
}

// decayedFailureScore returns the failure score after exponential decay with
// failureHalfLife. A failure counts as 1.
func (s *upstreamState) decayedFailureScore(now time.Time) float64 {
	if s.failureScore == 0 {
		return 0
	}
	return s.failureScore * math.Exp2(-float64(now.Sub(s.failureScoreAt))/float64(failureHalfLife))
}

// suspended reports whether the upstream has failed so often lately that it is
// sent only probe requests.
func (s *upstreamState) suspended(now time.Time) bool {
	return s.decayedFailureScore(now) >= suspendThreshold
}

// overdueMs returns the longest time in ms by which a run without a first token
// has exceeded its predicted time to the first token plus firstTokenGrace. It
// grows while an upstream hangs.
func (s *upstreamState) overdueMs(now time.Time) float64 {
	longest := 0.0
	for r := range s.awaitingFirstToken {
		overdue := float64(now.Sub(r.startedAt)-firstTokenGrace)/float64(time.Millisecond) - r.expectedFirstTokenMs
		longest = max(longest, overdue)
	}
	return longest
}

// cachePart records that the upstream has cached a part, or will after its
// prefill. If the size of the KV cache is known from traits, it evicts the least
// recently used parts until the rest fits into cachedPartMemoryShare of the cache.
func (s *upstreamState) cachePart(now time.Time, part savoryloft.PromptPart, traits *savoryloft.EngineTraits) {
	if previous, ok := s.cachedParts[part.ID]; ok {
		s.cachedTokens -= previous.tokens
	}
	s.cachedParts[part.ID] = cachedPart{tokens: part.Tokens, lastUsed: now}
	s.cachedTokens += part.Tokens
	if traits == nil || traits.MemoryTokens == 0 {
		return
	}
	for limit := int(float64(traits.MemoryTokens) * cachedPartMemoryShare); s.cachedTokens > limit && len(s.cachedParts) > 1; {
		oldest, lastUsed := "", now
		for id, cached := range s.cachedParts {
			if oldest == "" || cached.lastUsed.Before(lastUsed) {
				oldest, lastUsed = id, cached.lastUsed
			}
		}
		s.cachedTokens -= s.cachedParts[oldest].tokens
		delete(s.cachedParts, oldest)
	}
}

// RecordFirstToken records that the first token of a run has arrived, and
// updates the upstream's prefill rate. Later calls have no effect.
func (r *Run) RecordFirstToken(now time.Time) {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	if !r.prefilling {
		return
	}
	r.endPrefill()
	r.addPrefillSample(now)
}

func (r *Run) endPrefill() {
	r.prefilling = false
	r.upstream.prefillTokens -= r.uncachedTokens
	delete(r.upstream.awaitingFirstToken, r)
}

// End records the outcome of a run. Later calls have no effect.
func (r *Run) End(now time.Time, o Outcome) {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	if r.prefilling {
		r.endPrefill()
	}
	if r.hasPrompt {
		r.placer.classTimes.add(now, r.longPrompt, now.Sub(r.startedAt))
	}
	s := r.upstream
	s.running--
	s.kvTokens -= r.kvTokens
	switch o {
	case Failed:
		s.failureScore = s.decayedFailureScore(now) + 1
		s.failureScoreAt = now
	case Refused:
		s.failureScore = s.decayedFailureScore(now) + refusalWeight
		s.failureScoreAt = now
	case Succeeded:
		s.failureScore = s.decayedFailureScore(now) * successDecay
		s.failureScoreAt = now
	case Cancelled:
	}
}

const (
	refusalWeight = 0.3 // Failure score of a refusal; lower than 1, since the upstream works but is full.
	successDecay  = 0.9 // Factor for the failure score after a success.
)
