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
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/follower"
)

const pollInterval = 50 * time.Millisecond

// Elector runs the lease protocol for one instance. Set the exported fields
// before Run.
type Elector struct {
	Follower    *follower.Follower
	Instance    string
	Incarnation int
	TTL         time.Duration
	Drift       time.Duration
	Logger      logr.Logger

	mu   sync.Mutex
	term term
	once sync.Once
}

var _ savoryloft.Holder = (*Elector)(nil)

// lock takes the mutex and returns the term.
func (e *Elector) lock() *term {
	e.mu.Lock()
	e.once.Do(func() {
		e.term.instance, e.term.incarnation = e.Instance, e.Incarnation
		e.term.ttl, e.term.drift = e.TTL, e.Drift
	})
	return &e.term
}

// Held implements savoryloft.Holder.
func (e *Elector) Held() (fence int, left time.Duration, ok bool) {
	t := e.lock()
	defer e.mu.Unlock()
	left, ok = t.held(time.Now())
	return t.lease.Claim, left, ok
}

// Lease returns the lease according to the log.
func (e *Elector) Lease() savoryloft.LeaseState {
	t := e.lock()
	defer e.mu.Unlock()
	return t.lease
}

// Observe takes in a control record. It is a follower.Observer.
func (e *Elector) Observe(_ int, r *savoryloft.Record, v *follower.View) {
	t := e.lock()
	defer e.mu.Unlock()
	t.observe(time.Now(), r, v.Lease)
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
	interval := e.TTL / renewalsPerTTL
	t := e.lock()
	r, due := t.next(time.Now(), rand.N(interval))
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

// Release stops acting under the lease and gives it up, in a planned stop.
func (e *Elector) Release(ctx context.Context) error {
	t := e.lock()
	t.stopped = true
	held, claim := t.mine(), t.lease.Claim
	r := t.record(time.Now())
	e.mu.Unlock()
	if !held {
		return nil
	}
	r.Release = &savoryloft.LeaseRelease{Claim: claim}
	_, err := e.Follower.Publish(ctx, r)
	return errors.Annotate(err, "release the lease")
}
