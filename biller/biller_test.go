package biller

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
)

// fakeLedger is a Ledger in memory.
type fakeLedger struct {
	mu         sync.Mutex
	held       bool
	counts     map[int]map[string]int // Committed counts by window and account.
	lastWindow int

	uncertainBefore time.Duration
}

func (l *fakeLedger) Held() (int, time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 4, 3 * time.Second, l.held
}

func (l *fakeLedger) loseLease() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
}

func (l *fakeLedger) CommitCounts(_ context.Context, w int, counts map[string]int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return savoryloft.ErrLeaseLost
	}
	if _, ok := l.counts[w]; !ok {
		l.counts[w] = counts
		l.lastWindow = max(l.lastWindow, w)
	}
	return nil
}

func (l *fakeLedger) CommittedCounts(w int) (map[string]int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts, ok := l.counts[w]
	return counts, ok
}

func (l *fakeLedger) UncertainBefore() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.uncertainBefore
}

func (l *fakeLedger) LastWindow() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastWindow
}

// fakeTarget is a savoryloft.DutyTarget that records reports and returns err for
// each.
type fakeTarget struct {
	mu      sync.Mutex
	reports map[int][]map[string]int // By window, in the order received.
	err     error
}

func (t *fakeTarget) PlaceScaleOrder(context.Context, int, savoryloft.ScaleOrder) error { return nil }

func (t *fakeTarget) ReportUsage(_ context.Context, _, w int, counts map[string]int) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[w] = append(t.reports[w], counts)
	return t.err
}

func (t *fakeTarget) setError(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.err = err
}

// Guards against reports of one window with different counts. The counts increase
// with each call, the target returns errors at first, and a second Biller with
// other counts continues.
func TestCountsAreCommittedBeforeTheyAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger, target := &fakeLedger{held: true, counts: map[int]map[string]int{}}, &fakeTarget{reports: map[int][]map[string]int{}}
		calls := 0
		b := &Biller{
			Ledger: ledger, Target: target, Window: 5 * time.Second, Logger: logr.Discard(),
			Counts: func(int) map[string]int { calls++; return map[string]int{"x": calls} },
			Now:    time.Now,
		}
		ctx, cancel := context.WithCancel(context.Background())
		target.setError(savoryloft.ErrUnavailable)
		go func() { _ = b.Run(ctx) }()
		time.Sleep(12 * time.Second)
		target.setError(nil)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		require.NotEmpty(t, target.reports)
		for w, reports := range target.reports {
			for _, r := range reports {
				require.Equal(t, ledger.counts[w], r, "window %d", w)
			}
		}
		// A new lease holder resends the committed counts, although its own differ.
		successor := &Biller{
			Ledger: ledger, Target: target, Window: 5 * time.Second, Logger: logr.Discard(),
			Counts: func(int) map[string]int { return map[string]int{"x": 1000} }, Now: b.Now,
		}
		cancel()
		synctest.Wait()
		ctx, cancel = context.WithCancel(context.Background())
		go func() { _ = successor.Run(ctx) }()
		committed := ledger.LastWindow()
		time.Sleep(time.Second)
		synctest.Wait()
		require.Len(t, target.reports[committed], 2)
		require.Equal(t, target.reports[committed][0], target.reports[committed][1])
		ledger.loseLease()
		windowsBefore := len(target.reports)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		require.Len(t, target.reports, windowsBefore, "no report may be sent without the lease")
		cancel()
		synctest.Wait()
	})
}

// A holder that can not know whether an earlier one has reported a window, since the
// log has lost records, must leave the window. Later windows and those whose counts
// it knows are reported.
func TestUncertainWindowsAreLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const window = 5 * time.Second
		ledger, target := &fakeLedger{held: true, counts: map[int]map[string]int{}}, &fakeTarget{reports: map[int][]map[string]int{}}
		b := &Biller{
			Ledger: ledger, Target: target, Window: window, Logger: logr.Discard(), Now: time.Now,
			Counts: func(int) map[string]int { return map[string]int{"x": 2} },
		}
		first := int(time.Now().UnixNano()/int64(window)) + 1
		ledger.counts[first] = map[string]int{"x": 1}
		ledger.lastWindow = first
		ledger.uncertainBefore = savoryloft.Uptime() + time.Duration(int64(first+2)*int64(window)-time.Now().UnixNano()) + 2*settleDelay
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = b.Run(ctx) }()
		time.Sleep(5 * window)
		cancel()
		synctest.Wait()
		require.Equal(t, []map[string]int{{"x": 1}}, target.reports[first], "known counts, as they were")
		require.Empty(t, target.reports[first+1], "settled before the time up to which another holder may have acted")
		require.Equal(t, []map[string]int{{"x": 2}}, target.reports[first+2])
	})
}
