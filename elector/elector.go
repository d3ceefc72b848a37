// Package elector acquires, renews and releases the lease on the duties that
// only one instance may perform at a time: orders, usage reports and snapshots.
// Claims, renewals and releases are records of the control stream. The lease
// rules in package folder decide from these records alone which instance holds
// the lease. The control stream is in a savoryloft.Log; package claimer keeps the
// lease in a savoryloft.RecordLog, which has conditional appends.
//
// The holder's lease time starts before it sends a claim or a renewal and is
// extended only when the holder reads that record back. A claimant waits for a
// full TTL plus the drift allowance after it has read the holder's last record,
// and its claim is rejected if the holder has renewed in between. The lease
// times of two holders therefore cannot overlap, however slow the log is, as
// long as clocks drift apart by less than the allowance within a TTL.
//
// Go's monotonic clock keeps running while a process is stopped by a signal, but
// not while a virtual machine is suspended. A holder that resumes after such a
// suspension may act on an expired lease; only targets that check fencing tokens
// reject its calls.
//
// # Usage
//
//	e := &elector.Elector{Follower: f, Instance: "entry-1", Incarnation: 7,
//		TTL: 5 * time.Second, Drift: 500 * time.Millisecond}
//	f.Observers = append(f.Observers, e.Observe)
//	go e.Run(ctx)
//	if fence, left, ok := e.Held(); ok && left > timeout {
//		// Call the target with the fencing token.
//	}
package elector

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/follower"
)

const pollInterval = 50 * time.Millisecond // Between checks for a due claim or renewal.

// Elector runs the lease protocol for one instance. Set the exported fields
// before Run.
type Elector struct {
	Follower    *follower.Follower
	Instance    string
	Incarnation int
	TTL         time.Duration
	Drift       time.Duration // Largest difference between two instances' clocks within a TTL.
	Logger      logr.Logger

	mu    sync.Mutex
	state stateMachine
	once  sync.Once
}

var _ savoryloft.Holder = (*Elector)(nil)

// lock locks mu and returns the state machine, which it configures on the first
// call. The caller must unlock mu.
func (e *Elector) lock() *stateMachine {
	e.mu.Lock()
	e.once.Do(func() {
		e.state.instance, e.state.incarnation = e.Instance, e.Incarnation
		e.state.ttl, e.state.drift = e.TTL, e.Drift
	})
	return &e.state
}

// Held implements savoryloft.Holder.
func (e *Elector) Held() (fence int, left time.Duration, ok bool) {
	s := e.lock()
	defer e.mu.Unlock()
	left, ok = s.held(time.Now())
	return s.lease.Claim, left, ok
}

// Lease returns the lease as of the last control record read.
func (e *Elector) Lease() savoryloft.LeaseState {
	s := e.lock()
	defer e.mu.Unlock()
	return s.lease
}

// Observe updates the lease from a control record. It is a follower.Observer.
func (e *Elector) Observe(_ int, r *savoryloft.Record, v *follower.View) {
	s := e.lock()
	defer e.mu.Unlock()
	s.observe(time.Now(), r, v.Lease)
}

// Run claims and renews the lease until ctx ends. It always returns nil.
func (e *Elector) Run(ctx context.Context) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			e.sendDue(ctx)
		}
	}
}

// sendDue publishes a claim or a renewal when one is due.
func (e *Elector) sendDue(ctx context.Context) {
	interval := e.TTL / renewalsPerTTL
	s := e.lock()
	r, due := s.next(time.Now(), rand.N(interval))
	e.mu.Unlock()
	if !due {
		return
	}
	appendCtx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	if _, err := e.Follower.Publish(appendCtx, r); err != nil {
		e.Logger.V(1).Info("lease record not acknowledged", "step", savoryloft.StepLease, "error", err.Error())
	}
}

// Release releases the lease for a graceful shutdown. From the call on, this
// instance neither holds nor claims the lease, also when Release returns an
// error because the record could not be published.
func (e *Elector) Release(ctx context.Context) error {
	s := e.lock()
	s.released = true
	held, claim := s.isHolder(), s.lease.Claim
	r := s.newRecord(time.Now())
	e.mu.Unlock()
	if !held {
		return nil
	}
	r.Release = &savoryloft.LeaseRelease{Claim: claim}
	_, err := e.Follower.Publish(ctx, r)
	return errors.Annotate(err, "release the lease")
}
