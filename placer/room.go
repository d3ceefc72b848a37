package placer

import (
	"time"

	"savoryloft.example/savoryloft"
)

// Running requests and cached parts share the KV cache of an upstream. The prompts and the
// output of running requests can't yield: when they need more than there is, the upstream
// preempts a request and reads it again later. A shared part of several running requests
// takes its memory once.
const (
	cachedPartMemoryShare = 0.6  // Share of the KV cache, without what running requests hold beyond cached parts, that recorded parts are assumed to occupy.
	minCachedPartShare    = 0.05 // Lower limit for recorded parts, as a share of the KV cache.
	crowdedShare          = 0.85 // Of the KV cache that running requests need from which on there is a cost: their output may be longer than expected.
	crowdedCostMs         = 80.0 // For an upstream whose KV cache would be full.
	evictionShare         = 0.1  // Cost per ms that the upstream would need to read the cached parts that yield: few of them are asked for again there.
)

// heldPart is a shared part of the prompts of running requests.
type heldPart struct {
	tokens int
	runs   int
}

// newTokens returns the tokens by which a request adds to what running requests of this
// instance hold at an upstream.
func (s *upstreamState) newTokens(r *Request) int {
	tokens := r.PromptTokens + r.OutputTokens
	if len(s.heldParts) == 0 {
		return tokens
	}
	for _, part := range r.sharedParts() {
		if s.heldParts[part.ID].runs > 0 {
			tokens -= part.Tokens
		}
	}
	return max(tokens, 0)
}

// holdMemory records that a run needs memory for its prompt and its output.
func (r *Run) holdMemory(req Request) {
	s := r.upstream
	r.privateTokens, r.outputTokens = req.unsharedTokens()+req.OutputTokens, req.OutputTokens
	s.kvTokens += r.privateTokens
	s.outputTokens += r.outputTokens
	r.sharedParts = req.sharedParts()
	for _, part := range r.sharedParts {
		held := s.heldParts[part.ID]
		if held.runs == 0 {
			held.tokens = part.Tokens
			s.kvTokens += held.tokens
		}
		held.runs++
		s.heldParts[part.ID] = held
	}
}

// releaseMemory records that a run has ended.
func (r *Run) releaseMemory() {
	s := r.upstream
	s.kvTokens -= r.privateTokens
	s.outputTokens -= r.outputTokens
	for _, part := range r.sharedParts {
		held := s.heldParts[part.ID]
		if held.runs--; held.runs > 0 {
			s.heldParts[part.ID] = held
			continue
		}
		s.kvTokens -= held.tokens
		delete(s.heldParts, part.ID)
	}
}

// memoryCostMs returns the cost in ms of the memory that a request needs at an upstream
// beside the running ones.
func (s *upstreamState) memoryCostMs(r *Request, peer savoryloft.LinkLoad) float64 {
	if r.Engine == nil || r.Engine.MemoryTokens <= 0 {
		return 0
	}
	share := float64(s.kvTokens+peer.Tokens+s.newTokens(r)) / float64(r.Engine.MemoryTokens)
	switch {
	case share > 1:
		return fullCostMs * share
	case share > crowdedShare:
		return crowdedCostMs * (share - crowdedShare) / (1 - crowdedShare)
	}
	return 0
}

// evictionCostMs returns the cost in ms of the cached parts that yield at an upstream if
// shared parts are added.
func (s *upstreamState) evictionCostMs(r *Request, peer savoryloft.LinkLoad, added int) float64 {
	if added <= 0 || r.Engine.MemoryTokens <= 0 {
		return 0
	}
	evicted := min(s.cachedTokens+added-s.cachedPartLimit(r, peer), added)
	return float64(max(evicted, 0)) / s.prefillRate * evictionShare
}

// cachedPartLimit returns the tokens that recorded parts are assumed to occupy at most
// at an upstream. Parts of running requests are among them; their output is not, nor is what
// requests of other instances do not share.
func (s *upstreamState) cachedPartLimit(r *Request, peer savoryloft.LinkLoad) int {
	memory := float64(r.Engine.MemoryTokens)
	unrecorded := float64(s.outputTokens)
	if all := r.PromptTokens + r.OutputTokens; all > 0 {
		unrecorded += float64(peer.Tokens) * float64(r.unsharedTokens()+r.OutputTokens) / float64(all)
	}
	return int(max((memory-unrecorded)*cachedPartMemoryShare, memory*minCachedPartShare))
}

// evictParts deletes the least recently used parts until the rest has at most limit tokens.
// Parts of this instance's running requests stay.
func (s *upstreamState) evictParts(limit int) {
	for s.cachedTokens > limit {
		oldest, lastUsed := "", time.Time{}
		for id, cached := range s.cachedParts {
			if s.heldParts[id].runs == 0 && (oldest == "" || cached.lastUsed.Before(lastUsed)) {
				oldest, lastUsed = id, cached.lastUsed
			}
		}
		if oldest == "" {
			return
		}
		s.cachedTokens -= s.cachedParts[oldest].tokens
		delete(s.cachedParts, oldest)
	}
}
