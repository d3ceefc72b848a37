// Package biller reports usage by window. The holder of the lease fixes the
// figures of a window in the duties topic before it sends them, so whoever
// sends them again sends the same.
//
// # Usage
//
//	b := &biller.Biller{Duties: claimer, Target: duties, Counts: counter.Totals,
//		Now: clock.True, Window: 5 * time.Second, Delay: 10 * time.Second, Logger: log}
//	go b.Run(ctx)
package biller

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
)

const (
	stepInterval = 200 * time.Millisecond
	// settleTime is the time after a window's end for its counts to reach the
	// holder: statuses of several instances, and the error of the clocks.
	settleTime  = 1500 * time.Millisecond
	callTimeout = 800 * time.Millisecond // A call must end while the lease is held.
	maxBehind   = 8                      // Windows that a new holder still reports.
	rejectPause = time.Second            // After a report that failed.
)

// Ledger is the holder's access to the duties topic.
type Ledger interface {
	savoryloft.Holder
	FixFigures(ctx context.Context, window int, counts map[string]int) error
	Figures(window int) (map[string]int, bool)
	LastWindow() int
}

// Biller reports usage while this instance holds the lease. Set the exported
// fields before Run.
type Biller struct {
	Duties Ledger
	Target savoryloft.DutyTarget
	Counts func(window int) map[string]int
	// Now returns the true time, as far as the instances know it together.
	Now    func() time.Time
	Window time.Duration
	Logger logr.Logger

	first   int          // First window that this instance saw whole or in part.
	done    map[int]bool // Windows that the target has accepted from here.
	retryAt time.Duration
}

// Run reports windows until ctx ends.
func (b *Biller) Run(ctx context.Context) error {
	b.done = map[int]bool{}
	for ctx.Err() == nil {
		b.step(ctx)
		savoryloft.Sleep(ctx, stepInterval)
	}
	return nil
}

// step fixes and reports the windows that are due.
func (b *Biller) step(ctx context.Context) {
	last := int(b.Now().Add(-settleTime).UnixNano()/int64(b.Window)) - 1
	if b.first == 0 {
		b.first = last + 1
	}
	if _, _, held := b.Duties.Held(); !held || savoryloft.Uptime() < b.retryAt {
		return
	}
	for w := b.firstDue(last); w <= last; w++ {
		if b.done[w] {
			continue
		}
		if err := b.report(ctx, w); err != nil {
			b.Logger.Info("usage window not reported", "step", savoryloft.StepReport, "window", w, "error", err.Error())
			b.retryAt = savoryloft.Uptime() + rejectPause
			return
		}
	}
	for w := range b.done {
		if w < last-2*maxBehind {
			delete(b.done, w)
		}
	}
}

// firstDue returns the first window that may still have to be reported.
func (b *Biller) firstDue(last int) int {
	from := last - maxBehind + 1
	if b.Duties.LastWindow() == 0 {
		from = max(from, b.first)
	}
	return from
}

// report fixes a window's figures unless that is done, and sends them.
func (b *Biller) report(ctx context.Context, window int) error {
	counts, fixed := b.Duties.Figures(window)
	if !fixed {
		if window < b.Duties.LastWindow() {
			// A later window was fixed before this one, so its counts are incomplete here.
			b.done[window] = true
			return nil
		}
		counts = b.Counts(window)
		if err := b.Duties.FixFigures(ctx, window, counts); err != nil {
			return errors.Annotate(err, "fix figures")
		}
	}
	fence, left, ok := b.Duties.Held()
	if !ok || left < callTimeout {
		return savoryloft.ErrLeaseLost
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := b.Target.ReportUsage(callCtx, fence, window, counts); err != nil {
		return errors.Annotate(err, "send report")
	}
	b.done[window] = true
	b.Logger.Info("usage window reported", "step", savoryloft.StepReport, "window", window, "accounts", len(counts), "fence", fence, "counts", counts)
	return nil
}
