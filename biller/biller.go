// Package biller reports the number of requests of each account per usage window.
// The lease holder commits the counts of a window to the duties topic before it
// sends them, so that each retry sends the same counts, including a retry by a
// later holder. It reports to a savoryloft.DutyTarget under the lease of package
// claimer; package reporter reports to a savoryloft.UsageSink under the lease of
// package elector.
//
// # Usage
//
//	b := &biller.Biller{Ledger: claimer, Target: target, Counts: counter.Totals,
//		Now: time.Now, Window: 5 * time.Second, Logger: log}
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
	pollInterval = 200 * time.Millisecond // Time between checks for windows to report.
	// settleDelay is the time between the end of a window and the commit of its
	// counts. It covers clock skew and the delay of the status messages that relay
	// counts to the lease holder, which may pass through several instances.
	settleDelay = 1500 * time.Millisecond
	// reportTimeout is the timeout of a report. It is also the lease time that must
	// remain when the report is sent, so that the call ends while the lease is held.
	reportTimeout     = 800 * time.Millisecond
	maxBacklogWindows = 8           // Most recent windows that a new lease holder reports; older ones are skipped.
	retryDelay        = time.Second // Delay after a failed report.
)

// Ledger stores the committed counts of each window. Only the lease holder can
// add to it.
type Ledger interface {
	savoryloft.Holder
	// CommitCounts appends the counts of a window. Only the first counts appended
	// for a window are valid. It returns savoryloft.ErrLeaseLost when this instance
	// does not hold the lease.
	CommitCounts(ctx context.Context, window int, counts map[string]int) error
	// CommittedCounts returns the committed counts of a window. ok is false when the
	// window has none.
	CommittedCounts(window int) (counts map[string]int, ok bool)
	// LastWindow returns the highest window with committed counts, or 0 when no
	// counts are committed.
	LastWindow() int
	// UncertainBefore returns the uptime before which another holder may have
	// reported windows whose committed counts are lost, or 0 if that is excluded.
	UncertainBefore() time.Duration
}

// Biller reports usage while this instance holds the lease. Set the exported
// fields before calling Run.
type Biller struct {
	Ledger Ledger
	Target savoryloft.DutyTarget
	// Counts returns the number of requests in a window, by account.
	Counts func(window int) map[string]int
	// Now returns the time of day that all instances use to delimit windows.
	Now    func() time.Time
	Window time.Duration
	Logger logr.Logger

	firstWindow int           // First window that had not settled at the first call of reportDue.
	done        map[int]bool  // Windows that this instance has reported or skipped.
	retryAt     time.Duration // Uptime until which no report is sent after a failure.
}

// Run reports windows until ctx is done. It always returns nil.
func (b *Biller) Run(ctx context.Context) error {
	b.done = map[int]bool{}
	for ctx.Err() == nil {
		b.reportDue(ctx)
		savoryloft.Sleep(ctx, pollInterval)
	}
	return nil
}

// reportDue reports the windows that have settled and are not done. It stops at
// the first failure.
func (b *Biller) reportDue(ctx context.Context) {
	lastSettled := int(b.Now().Add(-settleDelay).UnixNano()/int64(b.Window)) - 1
	if b.firstWindow == 0 {
		b.firstWindow = lastSettled + 1
	}
	if _, _, held := b.Ledger.Held(); !held || savoryloft.Uptime() < b.retryAt {
		return
	}
	for w := b.firstDue(lastSettled); w <= lastSettled; w++ {
		if b.done[w] {
			continue
		}
		if err := b.report(ctx, w); err != nil {
			b.Logger.Info("usage report failed; will retry", "step", savoryloft.StepReport, "window", w, "error", err.Error())
			b.retryAt = savoryloft.Uptime() + retryDelay
			return
		}
	}
	for w := range b.done {
		if w < lastSettled-2*maxBacklogWindows {
			delete(b.done, w)
		}
	}
}

// settledAt returns the uptime at which a window has settled.
func (b *Biller) settledAt(window int) time.Duration {
	settled := time.Unix(0, int64(b.Window)*int64(window+1)).Add(settleDelay)
	return savoryloft.Uptime() - b.Now().Sub(settled)
}

// firstDue returns the first window to check for an outstanding report. As long as
// no counts are committed, windows that had settled before the first call of
// reportDue are excluded.
func (b *Biller) firstDue(lastSettled int) int {
	from := lastSettled - maxBacklogWindows + 1
	if b.Ledger.LastWindow() == 0 {
		from = max(from, b.firstWindow)
	}
	return from
}

// report sends the counts of a window. It commits them first unless they are
// already committed.
func (b *Biller) report(ctx context.Context, window int) error {
	counts, committed := b.Ledger.CommittedCounts(window)
	if !committed {
		if window < b.Ledger.LastWindow() {
			// A later window is already committed, so the local counts of this window
			// are incomplete. It is not reported.
			b.done[window] = true
			b.Logger.Info("usage window left unreported; a later one is committed already", "step", savoryloft.StepReport, "window", window)
			return nil
		}
		if b.settledAt(window) < b.Ledger.UncertainBefore() {
			b.done[window] = true
			b.Logger.Info("usage window left unreported; an earlier lease holder may have reported it", "step", savoryloft.StepReport, "window", window)
			return nil
		}
		counts = b.Counts(window)
		if err := b.Ledger.CommitCounts(ctx, window, counts); err != nil {
			return errors.Annotate(err, "commit usage counts")
		}
	}
	fence, remaining, ok := b.Ledger.Held()
	if !ok || remaining < reportTimeout {
		return savoryloft.ErrLeaseLost
	}
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := b.Target.ReportUsage(callCtx, fence, window, counts); err != nil {
		return errors.Annotate(err, "send usage report")
	}
	b.done[window] = true
	b.Logger.Info("usage window reported", "step", savoryloft.StepReport, "window", window, "accounts", len(counts), "fence", fence, "counts", counts)
	return nil
}
