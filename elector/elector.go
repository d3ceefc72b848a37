// Package elector takes, renews and gives up the lease on duties that need one
// doer: orders, reports and snapshots. The control stream's fold decides alone
// who holds the lease; package folder has its rules.
//
// The holder counts its time from before it sent the last renewal that it has
// read back. A claimant counts a full TTL and the allowance for drift from
// after it read the holder's last record, and its claim is void when a renewal
// got into the log in between. So the two times can not meet, however slow the
// log is, as long as clocks drift apart by less than the allowance in a TTL.
// Go's monotonic clock goes on while a process is stopped by a signal, but not
// while a virtual machine is suspended; targets that check fencing numbers
// cover that case, others do not.
//
// # Usage
//
//	e := &elector.Elector{Follower: f, Instance: "entry-1", Incarnation: 7,
//		TTL: 5 * time.Second, Drift: 500 * time.Millisecond}
//	f.Observers = append(f.Observers, e.Observe)
//	go e.Run(ctx)
//	if fence, left, ok := e.Held(); ok && left > timeout {
//		// Act under the fencing number.
//	}
package elector

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/follower"
)

const (
	renewalsPerTTL = 3
	pollInterval   = 50 * time.Millisecond
	maxPending     = 64
)

// Elector runs the lease protocol for one instance. Set the exported fields
// before Run.
type Elector struct {
	Follower    *follower.Follower
	Instance    string
	Incarnation int
	TTL         time.Duration
	Drift       time.Duration
	Logger      logr.Logger

	mu       sync.Mutex
	lease    savoryloft.LeaseState
	leaseAt  time.Time            // When the lease's present state was read.
	pending  map[string]time.Time // Send times of claims and renewals not read back yet.
	deadline time.Time            // End of the time that this instance may act.
	renewed  time.Time            // When the last renewal was sent.
	counter  int
	stopped  bool
}

var _ savoryloft.Holder = (*Elector)(nil)

// Held implements savoryloft.Holder.
func (e *Elector) Held() (fence int, left time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	left = time.Until(e.deadline)
	if !e.mine() || e.stopped || left <= 0 {
		return 0, 0, false
	}
	return e.lease.Claim, left, true
}

// Lease returns the lease according to the log.
func (e *Elector) Lease() savoryloft.LeaseState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease
}

func (e *Elector) mine() bool {
	return e.lease.Claim >= 0 && e.lease.Instance == e.Instance && e.lease.Incarnation == e.Incarnation
}

// Observe takes in a control record. It is a follower.Observer.
func (e *Elector) Observe(_ int, r *savoryloft.Record, v *follower.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaseAt.IsZero() || v.Lease != e.lease {
		e.lease, e.leaseAt = v.Lease, time.Now()
	}
	if r == nil {
		return
	}
	sent, ok := e.pending[r.ID]
	if !ok {
		return
	}
	delete(e.pending, r.ID)
	valid := r.Renewal != nil && r.Renewal.Claim == e.lease.Claim || r.Claim != nil
	if e.mine() && valid {
		if d := sent.Add(e.TTL); d.After(e.deadline) {
			e.deadline = d
		}
	}
}

// Run claims and renews until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			e.step(ctx)
		}
	}
}

// step sends a claim or a renewal when one is due.
func (e *Elector) step(ctx context.Context) {
	r, due := e.nextRecord(time.Now())
	if !due {
		return
	}
	appendCtx, cancel := context.WithTimeout(ctx, e.TTL/renewalsPerTTL)
	defer cancel()
	_, err := e.Follower.Publish(appendCtx, r)
	if err != nil {
		e.Logger.V(1).Info("lease record not acknowledged", "step", savoryloft.StepLease, "error", err.Error())
	}
	if errors.Is(err, savoryloft.ErrUnavailable) {
		e.mu.Lock()
		delete(e.pending, r.ID)
		e.mu.Unlock()
	}
}

func (e *Elector) nextRecord(now time.Time) (savoryloft.Record, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped || e.leaseAt.IsZero() {
		return savoryloft.Record{}, false
	}
	if e.mine() {
		if now.Sub(e.renewed) < e.TTL/renewalsPerTTL {
			return savoryloft.Record{}, false
		}
		e.renewed = now
		r := e.record(now)
		r.Renewal = &savoryloft.LeaseRenewal{Claim: e.lease.Claim}
		return r, true
	}
	if !e.mayClaim(now) {
		return savoryloft.Record{}, false
	}
	e.renewed = now
	r := e.record(now)
	r.Claim = &savoryloft.LeaseClaim{
		Instance: e.Instance, Incarnation: e.Incarnation,
		Saw: e.lease.Last, TTL: savoryloft.Duration(e.TTL),
	}
	return r, true
}

// mayClaim tells whether the holder's time has surely ended. The wait after an
// own attempt spreads claimants out.
func (e *Elector) mayClaim(now time.Time) bool {
	if now.Sub(e.renewed) < e.TTL/renewalsPerTTL+rand.N(e.TTL/renewalsPerTTL) {
		return false
	}
	if e.lease.Claim < 0 {
		return true
	}
	ttl := max(e.lease.TTL.Std(), e.TTL)
	return now.Sub(e.leaseAt) > ttl+e.Drift
}

// record returns a record with a fresh ID and notes when it is sent.
func (e *Elector) record(now time.Time) savoryloft.Record {
	e.counter++
	id := fmt.Sprintf("lease-%s-%d-%d", e.Instance, e.Incarnation, e.counter)
	if e.pending == nil || len(e.pending) > maxPending {
		e.pending = map[string]time.Time{}
	}
	e.pending[id] = now
	return savoryloft.Record{ID: id}
}

// Release stops acting under the lease and gives it up, in a planned stop.
func (e *Elector) Release(ctx context.Context) error {
	e.mu.Lock()
	held := e.mine()
	claim := e.lease.Claim
	e.stopped = true
	r := e.record(time.Now())
	e.mu.Unlock()
	if !held {
		return nil
	}
	r.Release = &savoryloft.LeaseRelease{Claim: claim}
	_, err := e.Follower.Publish(ctx, r)
	return errors.Annotate(err, "release the lease")
}
