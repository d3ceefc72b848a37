// Package ranker bounds what the requests of a service may wait for and take up by their
// urgency, so that at any load the less urgent ones are turned away first. It answers a
// shortage of upstreams, in which requests with long objectives would otherwise outlast and
// crowd out urgent ones with short objectives.
//
// # Usage
//
//	s := ranker.New([]ranker.Kind{{Urgency: 0, Objective: 250 * time.Millisecond}, {Urgency: 1, Objective: time.Second}})
//	if predicted > s.MaxFirstToken(urgency) || running >= s.MaxRunning(urgency, slots) {
//		// Refuse the request.
//	}
//
// A service decides without state, from the configuration alone, so all instances agree.
package ranker

import (
	"math"
	"slices"
	"time"
)

const (
	// leastUrgentFactor and urgentFactor give the predicted time to the first token up to
	// which the least urgent and the other requests are sent, as multiples of their
	// objective. A later request would miss the objective, and its prompt would delay others.
	leastUrgentFactor = 1.2
	urgentFactor      = 2.5
	// stepFactor is the minimum ratio of that time to the one of the next less urgent
	// requests. Instances learn each other's loads with a delay, so an equal limit would
	// refuse both at the same load.
	stepFactor = 1.5
	// maxQueueShare is the part of its slots for which the second most urgent requests may
	// queue at an upstream, if there are many urgencies. Upstreams reject what exceeds their
	// queue, however urgent it is.
	maxQueueShare = 1.0
	// minRetryShare is the part of a service's retry budget that the least urgent requests may
	// use up.
	minRetryShare = 0.5
)

// Kind is one kind of requests of a service.
type Kind struct {
	Urgency   int           // As in router.Identity.
	Objective time.Duration // Time to the first event or the answer.
}

// Service holds the bounds of the requests of one service. The zero value has no bounds.
type Service struct {
	kinds []kind // The most urgent first; one for each urgency.
}

type kind struct {
	urgency       int
	objective     time.Duration // Longest one of the urgency.
	longest       time.Duration // Longest objective of it and all that are less urgent.
	maxFirstToken time.Duration
}

// New returns the bounds of a service whose requests are of the given kinds. Those without
// an objective have none.
func New(kinds []Kind) *Service {
	s := &Service{}
	for _, k := range kinds {
		if k.Objective <= 0 {
			continue
		}
		i, found := slices.BinarySearchFunc(s.kinds, k.Urgency, func(k kind, urgency int) int { return k.urgency - urgency })
		if !found {
			s.kinds = slices.Insert(s.kinds, i, kind{urgency: k.Urgency})
		}
		s.kinds[i].objective = max(s.kinds[i].objective, k.Objective)
	}
	for i := len(s.kinds) - 1; i >= 0; i-- {
		k := &s.kinds[i]
		k.longest, k.maxFirstToken = k.objective, multiple(leastUrgentFactor, k.objective)
		if i == len(s.kinds)-1 {
			continue
		}
		less := s.kinds[i+1]
		k.longest = max(k.objective, less.longest)
		k.maxFirstToken = max(multiple(urgentFactor, k.objective), multiple(stepFactor, less.maxFirstToken))
	}
	return s
}

func multiple(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}

// Position returns the number of urgencies of the service that are more urgent than the
// given one.
func (s *Service) Position(urgency int) int {
	i, _ := slices.BinarySearchFunc(s.kinds, urgency, func(k kind, urgency int) int { return k.urgency - urgency })
	return i
}

// MaxFirstToken returns the longest predicted time to the first token with which a request
// is sent. The most urgent ones are always sent: engines schedule them first.
func (s *Service) MaxFirstToken(urgency int) time.Duration {
	i := s.Position(urgency)
	if i == len(s.kinds) || i == 0 && len(s.kinds) > 1 {
		return math.MaxInt64
	}
	return s.kinds[i].maxFirstToken
}

// MaxRunning returns the number of requests that run or wait at an upstream from which on no
// request of an urgency is added. The most urgent ones may use all of its queue; the slots of
// the upstream may be unknown (0).
func (s *Service) MaxRunning(urgency, slots int) int {
	i, n := s.Position(urgency), len(s.kinds)
	if i == 0 || i >= n || slots <= 0 {
		return math.MaxInt
	}
	return slots + int(math.Ceil(maxQueueShare*float64(slots)*float64(n-i)/float64(n)))
}

// RetryShare returns the part of the service's retry budget that requests of an urgency may
// use up.
func (s *Service) RetryShare(urgency int) float64 {
	i, n := s.Position(urgency), len(s.kinds)
	if i >= n || n == 1 {
		return 1
	}
	return 1 - (1-minRetryShare)*float64(i)/float64(n-1)
}

// LongestObjective returns the longest objective of the requests of an urgency and of all less
// urgent ones; 0 if there are none. A wait that is a part of it does not end before theirs.
func (s *Service) LongestObjective(urgency int) time.Duration {
	if i := s.Position(urgency); i < len(s.kinds) {
		return s.kinds[i].longest
	}
	return 0
}
