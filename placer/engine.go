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
	outputTokens       int                   // Expected output of these requests, which kvTokens includes.
	heldParts          map[string]heldPart   // Shared parts of these requests, by ID.
	cachedParts        map[string]cachedPart // By part ID.
	cachedTokens       int                   // Sum of the tokens in cachedParts.
	prefixTokens       int                   // Tokens that it has cached of the prompt in Choose.
	prefillRate        float64               // Prompt tokens per ms.
	failureScore       float64               // Value at failureScoreAt; it decays from then on.
	failureScoreAt     time.Time
	probedAt           time.Time // Last request while suspended.
	pausedUntil        time.Time // End of the pause that the upstream has asked for.
	transfersUntil     time.Time // Expected end of the transfers of cached tokens to other upstreams, for this instance's requests.
	brittle            bool      // It fails if it has to turn many requests away.
	fetchPausedUntil   time.Time // Until which no tokens are fetched from it.
	lastCandidateAt    time.Time // Last time that the upstream was a candidate.
	awaitingFirstToken map[*Run]struct{}

	hashPosition float64 // Hash of the ID, from 0 to 1, which partition.boundary divides.
	jitter       float64 // Hash of this instance and the ID, from 0 to 1; scales jitterCost.
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
	privateTokens        int // KV cache that the run occupies, without the shared parts.
	outputTokens         int // Expected.
	sharedParts          []savoryloft.PromptPart
	startedAt            time.Time
	queuedTokens         int     // Prompt tokens queued at the upstream when the run started.
	expectedFirstTokenMs float64 // Predicted time to the first token.
	cold                 bool    // The upstream was cold when the run started, so its prefill rate is not the usual one.
	prefilling           bool    // No first token yet.
	hasPrompt            bool    // The service runs inference engines, so the run counts in classTimes.
	longPrompt           bool    // The prompt has at least longPromptTokens.
	ended                bool

	source        *upstreamState // From which prompt tokens are fetched; nil for none.
	fetchedTokens int
	fetchedParts  []string // IDs.
	fetchMs       float64  // Predicted.
	judgesFetch   bool     // The time to the first token shows whether the tokens were fetched.
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
			addedAt: now, cachedParts: map[string]cachedPart{}, heldParts: map[string]heldPart{}, prefillRate: initialPrefillRate, awaitingFirstToken: map[*Run]struct{}{},
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
// prefill.
func (s *upstreamState) cachePart(now time.Time, part savoryloft.PromptPart) {
	if previous, ok := s.cachedParts[part.ID]; ok {
		s.cachedTokens -= previous.tokens
	}
	s.cachedParts[part.ID] = cachedPart{tokens: part.Tokens, lastUsed: now}
	s.cachedTokens += part.Tokens
}

// RecordFirstToken records that the first token of a run has arrived, and updates the
// upstream's prefill rate, unless the upstream was cold. It reports whether the upstream has read the prompt tokens that
// it was to fetch: the source does not have them, or was not reached. Later calls have no
// effect.
func (r *Run) RecordFirstToken(now time.Time) (missedFetch bool) {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	if !r.prefilling {
		return false
	}
	r.endPrefill()
	ms := milliseconds(now.Sub(r.startedAt))
	tokens := float64(r.uncachedTokens + r.queuedTokens)
	if missedFetch = r.missedFetch(ms); missedFetch {
		r.forgetFetched()
		tokens += float64(r.fetchedTokens)
	} else {
		ms -= r.fetchMs
	}
	if tokens > minSampleTokens && ms > 0 && !r.cold {
		sample := max(tokens/ms, minPrefillRate)
		r.upstream.prefillRate += (min(sample, 2*initialPrefillRate) - r.upstream.prefillRate) * sampleWeight
	}
	return missedFetch
}

const (
	minSampleTokens = 1500 // The prefill time of shorter prompts depends on the engine's step time rather than on its prefill rate.
	sampleWeight    = 0.1  // Of the moving average of the prefill rate.
)

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
		r.pauseSource(now, o)
	}
	if r.hasPrompt {
		r.placer.classTimes.add(now, r.longPrompt, now.Sub(r.startedAt))
	}
	s := r.upstream
	s.running--
	r.releaseMemory()
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
