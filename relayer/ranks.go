package relayer

import (
	"math"
	"slices"
	"sync"
	"time"

	"savoryloft.example/savoryloft/placer"
)

const (
	recentNeed         = 5 * time.Second // Time for which room is kept for a rank after its last request.
	latenessHalfLife   = time.Second     // A rank that is refused gives no new samples, so an old delay must be forgotten.
	latenessWeight     = 0.3             // Weight of a new sample in the moving average.
	maxLatenessFactor  = 2.0             // Upper bound of a sample, as a multiple of the objective; one upstream that hangs is not the load.
	startWindow        = 2               // Long prompts that an instance sends before the first token of one; after a start of all no instance knows what the others send.
	maxStartWindow     = 64              // First tokens of long prompts from which on their number is not limited any more. Each raises the limit by one.
	minPendingRequests = 3               // Requests without a first token from which on their delay counts.
)

// rankKey identifies the requests of one urgency (router.Identity) to one service.
type rankKey struct {
	service string
	rank    int
}

// rankState is what an instance has recently seen of one rank's requests to a service.
type rankState struct {
	objective   time.Duration // Of the last request.
	lastRequest time.Time
	lateness    float64 // Moving average of the excess of the first token's time over its prediction, in ns, at updatedAt.
	updatedAt   time.Time
	pending     map[*exchange]pendingPrompt
}

// pendingPrompt is a request that was sent, or is about to be, and has no first token yet.
type pendingPrompt struct {
	expectedAt time.Time // Time at which the first token is expected.
	long       bool      // It has at least longPrefillTokens to prefill.
}

// rankStates observes by how much first tokens come later than predicted, and which
// ranks send requests. The predictions do not include the delays within an engine.
type rankStates struct {
	mu     sync.Mutex
	states map[rankKey]*rankState
	opened map[string]int // Long prompts whose first token has arrived, by service, up to maxStartWindow.
}

func (s *rankStates) state(key rankKey) *rankState {
	if s.states == nil {
		s.states = map[rankKey]*rankState{}
	}
	if s.states[key] == nil {
		s.states[key] = &rankState{pending: map[*exchange]pendingPrompt{}}
	}
	return s.states[key]
}

// recordRequest records that a request has arrived.
func (s *rankStates) recordRequest(now time.Time, key rankKey, objective time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(key)
	state.objective, state.lastRequest = objective, now
}

// begin records that a request is sent to the chosen upstream, or about to be.
func (s *rankStates) begin(now time.Time, key rankKey, x *exchange, c placer.Choice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state(key).pending[x] = pendingPrompt{now.Add(c.TimeToFirstToken), c.UncachedTokens >= longPrefillTokens}
}

// end records that the first token has arrived or, if arrived is false, that the request
// has ended at its upstream. Later calls have no effect.
func (s *rankStates) end(now time.Time, key rankKey, x *exchange, arrived bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[key]
	if state == nil {
		return
	}
	pending, ok := state.pending[x]
	if !ok {
		return
	}
	delete(state.pending, x)
	if arrived && pending.long && s.opened[key.service] < maxStartWindow {
		if s.opened == nil {
			s.opened = map[string]int{}
		}
		s.opened[key.service]++
	}
	if arrived {
		sample := min(max(now.Sub(pending.expectedAt), 0), time.Duration(maxLatenessFactor*float64(state.objective)))
		old := state.decayed(now)
		state.lateness, state.updatedAt = old+latenessWeight*(float64(sample)-old), now
	}
}

// decayed returns the moving average after its decay.
func (s *rankState) decayed(now time.Time) float64 {
	return s.lateness * math.Exp2(-float64(now.Sub(s.updatedAt))/float64(latenessHalfLife))
}

// latenessOf returns by how much first tokens of a rank come later than predicted.
func (s *rankStates) latenessOf(now time.Time, key rankKey) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.states[key]; state != nil {
		return state.currentLateness(now)
	}
	return 0
}

// currentLateness returns the moving average or, if it is longer, the median of the time
// by which the requests are overdue that have no first token yet.
func (s *rankState) currentLateness(now time.Time) time.Duration {
	lateness := time.Duration(s.decayed(now))
	if len(s.pending) < minPendingRequests {
		return lateness
	}
	var overdue []time.Duration
	for _, p := range s.pending {
		overdue = append(overdue, now.Sub(p.expectedAt))
	}
	slices.Sort(overdue)
	return max(lateness, overdue[(len(overdue)-1)/2])
}

// starting reports whether a service is so new to this instance that another long prompt
// should wait for the first tokens of earlier ones.
func (s *rankStates) starting(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	opened := s.opened[service]
	if opened >= maxStartWindow {
		return false
	}
	long := 0
	for k, state := range s.states {
		if k.service != service {
			continue
		}
		for _, p := range state.pending {
			if p.long {
				long++
			}
		}
	}
	return long >= startWindow+opened
}

// urgent returns the shortest objective of the ranks above a given one that have sent
// requests recently, and the lateness of that rank. The objective is 0 if there is none.
func (s *rankStates) urgent(now time.Time, key rankKey) (objective, lateness time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, state := range s.states {
		if k.service != key.service || k.rank >= key.rank || now.Sub(state.lastRequest) > recentNeed {
			continue
		}
		if objective == 0 || state.objective < objective {
			objective, lateness = state.objective, state.currentLateness(now)
		}
	}
	return objective, lateness
}

// prune forgets ranks that have sent no request for a time, such as those of services
// that are gone.
func (s *rankStates) prune(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, state := range s.states {
		if len(state.pending) == 0 && now.Sub(state.lastRequest) > stateTTL {
			delete(s.states, k)
		}
	}
}

const stateTTL = time.Minute
