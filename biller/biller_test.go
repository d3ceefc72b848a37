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

type ledger struct {
	mu      sync.Mutex
	held    bool
	figures map[int]map[string]int
	last    int
}

func (l *ledger) Held() (int, time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 4, 3 * time.Second, l.held
}

func (l *ledger) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
}

func (l *ledger) FixFigures(_ context.Context, w int, counts map[string]int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return savoryloft.ErrLeaseLost
	}
	if _, ok := l.figures[w]; !ok {
		l.figures[w] = counts
		l.last = max(l.last, w)
	}
	return nil
}

func (l *ledger) Figures(w int) (map[string]int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f, ok := l.figures[w]
	return f, ok
}

func (l *ledger) LastWindow() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

type sink struct {
	mu      sync.Mutex
	reports map[int][]map[string]int
	fail    error
}

func (s *sink) PlaceScaleOrder(context.Context, int, savoryloft.ScaleOrder) error { return nil }

func (s *sink) ReportUsage(_ context.Context, _, w int, counts map[string]int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[w] = append(s.reports[w], counts)
	return s.fail
}

func (s *sink) setFail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail = err
}

func TestFiguresAreFixedBeforeTheyAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, s := &ledger{held: true, figures: map[int]map[string]int{}}, &sink{reports: map[int][]map[string]int{}}
		n := 0
		b := &Biller{
			Duties: l, Target: s, Window: 5 * time.Second, Logger: logr.Discard(),
			Counts: func(int) map[string]int { n++; return map[string]int{"x": n} },
			Now:    time.Now,
		}
		ctx, cancel := context.WithCancel(context.Background())
		s.setFail(savoryloft.ErrUnavailable)
		go func() { _ = b.Run(ctx) }()
		time.Sleep(12 * time.Second)
		s.setFail(nil)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		require.NotEmpty(t, s.reports)
		for w, reports := range s.reports {
			for _, r := range reports {
				require.Equal(t, l.figures[w], r, "window %d", w)
			}
		}
		// A new holder sends the same figures again, whatever it counts itself.
		next := &Biller{
			Duties: l, Target: s, Window: 5 * time.Second, Logger: logr.Discard(),
			Counts: func(int) map[string]int { return map[string]int{"x": 1000} }, Now: b.Now,
		}
		cancel()
		synctest.Wait()
		ctx, cancel = context.WithCancel(context.Background())
		go func() { _ = next.Run(ctx) }()
		fixed := l.LastWindow()
		time.Sleep(time.Second)
		synctest.Wait()
		require.Len(t, s.reports[fixed], 2)
		require.Equal(t, s.reports[fixed][0], s.reports[fixed][1])
		l.lose()
		sent := len(s.reports)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		require.Len(t, s.reports, sent, "nothing is sent without the lease")
		cancel()
		synctest.Wait()
	})
}
