package elector

import (
	"fmt"
	"time"

	"savoryloft.example/savoryloft"
)

const (
	renewalsPerTTL = 3
	maxPending     = 64 // Own records not read back yet; with more of them, all send times are discarded.
)

// stateMachine is one instance's side of the lease protocol. Its methods do no
// I/O and take the current time as an argument, so that a test can explore every
// order of events.
type stateMachine struct {
	instance    string
	incarnation int
	ttl         time.Duration
	drift       time.Duration

	synced         bool // lease has been read at least once.
	lease          savoryloft.LeaseState
	leaseChangedAt time.Time            // When the last change of lease was read.
	pending        map[string]time.Time // Send times of own records not read back yet, by record ID.
	deadline       time.Time            // When this instance must stop acting as the holder.
	sentAt         time.Time            // When the last own record was created.
	recordCount    int                  // Own records created, for unique IDs.
	released       bool                 // Release was called: the lease is neither held nor claimed.
}

// isHolder reports whether this incarnation holds the lease according to the
// log, whether or not its lease time has ended.
func (s *stateMachine) isHolder() bool {
	return s.lease.Claim >= 0 && s.lease.Instance == s.instance && s.lease.Incarnation == s.incarnation
}

// held returns the lease time left; ok is false when this instance must not act
// as the holder.
func (s *stateMachine) held(now time.Time) (left time.Duration, ok bool) {
	left = s.deadline.Sub(now)
	return left, s.isHolder() && !s.released && left > 0
}

// observe stores the lease and, when r is an own claim or renewal that took
// effect, extends the deadline to a TTL after r was sent. lease is the lease
// after r; r is nil when the lease comes from a snapshot.
func (s *stateMachine) observe(now time.Time, r *savoryloft.Record, lease savoryloft.LeaseState) {
	if !s.synced || lease != s.lease {
		s.synced, s.lease, s.leaseChangedAt = true, lease, now
	}
	if r == nil {
		return
	}
	sent, ok := s.pending[r.ID]
	if !ok {
		return
	}
	delete(s.pending, r.ID)
	valid := r.Claim != nil || r.Renewal != nil && r.Renewal.Claim == s.lease.Claim
	if end := sent.Add(s.ttl); s.isHolder() && valid && end.After(s.deadline) {
		s.deadline = end
	}
}

// next returns the claim or renewal to send now, or false when none is due.
// The jitter is added to the interval between two claims, so that instances do
// not claim at the same time again and again.
func (s *stateMachine) next(now time.Time, jitter time.Duration) (savoryloft.Record, bool) {
	if s.released || !s.synced {
		return savoryloft.Record{}, false
	}
	interval := s.ttl / renewalsPerTTL
	if s.isHolder() {
		if now.Sub(s.sentAt) < interval {
			return savoryloft.Record{}, false
		}
		r := s.newRecord(now)
		r.Renewal = &savoryloft.LeaseRenewal{Claim: s.lease.Claim}
		return r, true
	}
	if now.Sub(s.sentAt) < interval+jitter || !s.expired(now) {
		return savoryloft.Record{}, false
	}
	r := s.newRecord(now)
	r.Claim = &savoryloft.LeaseClaim{
		Instance: s.instance, Incarnation: s.incarnation,
		Saw: s.lease.Last, TTL: savoryloft.Duration(s.ttl),
	}
	return r, true
}

// expired reports whether the lease is free or its holder's lease time has ended
// on any clock within the drift allowance.
func (s *stateMachine) expired(now time.Time) bool {
	if s.lease.Claim < 0 {
		return true
	}
	return now.Sub(s.leaseChangedAt) > max(s.lease.TTL.Std(), s.ttl)+s.drift
}

// newRecord returns a record with a new ID and stores now as its send time.
func (s *stateMachine) newRecord(now time.Time) savoryloft.Record {
	s.recordCount++
	s.sentAt = now
	id := fmt.Sprintf("lease-%s-%d-%d", s.instance, s.incarnation, s.recordCount)
	if s.pending == nil || len(s.pending) > maxPending {
		s.pending = map[string]time.Time{}
	}
	s.pending[id] = now
	return savoryloft.Record{ID: id}
}
