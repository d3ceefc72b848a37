package elector

import (
	"fmt"
	"time"

	"savoryloft.example/savoryloft"
)

const (
	renewalsPerTTL = 3
	maxPending     = 64
)

// term holds one instance's part in the lease protocol. Its methods take the
// time as an argument and do nothing else than decide, so that a test can
// explore every order of events.
type term struct {
	instance    string
	incarnation int
	ttl         time.Duration
	drift       time.Duration

	known    bool // The lease's state has been read.
	lease    savoryloft.LeaseState
	leaseAt  time.Time            // When the lease's present state was read.
	pending  map[string]time.Time // Send times of claims and renewals not read back yet.
	deadline time.Time            // End of the time that this instance may act.
	sentAt   time.Time            // When the last claim or renewal was sent.
	counter  int
	stopped  bool
}

// mine tells whether the log names this instance as the holder.
func (t *term) mine() bool {
	return t.lease.Claim >= 0 && t.lease.Instance == t.instance && t.lease.Incarnation == t.incarnation
}

// held returns the time for which this instance may still act.
func (t *term) held(now time.Time) (left time.Duration, ok bool) {
	left = t.deadline.Sub(now)
	return left, t.mine() && !t.stopped && left > 0
}

// observe takes in a control record, which may be nil, and the lease after it.
func (t *term) observe(now time.Time, r *savoryloft.Record, lease savoryloft.LeaseState) {
	if !t.known || lease != t.lease {
		t.known, t.lease, t.leaseAt = true, lease, now
	}
	if r == nil {
		return
	}
	sent, ok := t.pending[r.ID]
	if !ok {
		return
	}
	delete(t.pending, r.ID)
	valid := r.Claim != nil || r.Renewal != nil && r.Renewal.Claim == t.lease.Claim
	if end := sent.Add(t.ttl); t.mine() && valid && end.After(t.deadline) {
		t.deadline = end
	}
}

// next returns the claim or renewal that is due. The jitter delays a repeated
// claim, so that claimants spread out.
func (t *term) next(now time.Time, jitter time.Duration) (savoryloft.Record, bool) {
	if t.stopped || !t.known {
		return savoryloft.Record{}, false
	}
	interval := t.ttl / renewalsPerTTL
	if t.mine() {
		if now.Sub(t.sentAt) < interval {
			return savoryloft.Record{}, false
		}
		r := t.record(now)
		r.Renewal = &savoryloft.LeaseRenewal{Claim: t.lease.Claim}
		return r, true
	}
	if now.Sub(t.sentAt) < interval+jitter || !t.lapsed(now) {
		return savoryloft.Record{}, false
	}
	r := t.record(now)
	r.Claim = &savoryloft.LeaseClaim{
		Instance: t.instance, Incarnation: t.incarnation,
		Saw: t.lease.Last, TTL: savoryloft.Duration(t.ttl),
	}
	return r, true
}

// lapsed tells whether the holder's time has surely ended.
func (t *term) lapsed(now time.Time) bool {
	if t.lease.Claim < 0 {
		return true
	}
	return now.Sub(t.leaseAt) > max(t.lease.TTL.Std(), t.ttl)+t.drift
}

// record returns a record with a fresh ID and notes when it is sent.
func (t *term) record(now time.Time) savoryloft.Record {
	t.counter++
	t.sentAt = now
	id := fmt.Sprintf("lease-%s-%d-%d", t.instance, t.incarnation, t.counter)
	if t.pending == nil || len(t.pending) > maxPending {
		t.pending = map[string]time.Time{}
	}
	t.pending[id] = now
	return savoryloft.Record{ID: id}
}
