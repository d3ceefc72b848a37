package provisioner

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
)

func TestPlan(t *testing.T) {
	traits := savoryloft.ScalingTraits{Min: 1, Max: 6, ReclaimablePart: 0.2}
	for _, tt := range []struct {
		name    string
		traits  savoryloft.ScalingTraits
		total   int
		domains []Domain
		idle    bool
		want    []Numbers
	}{
		{
			"at first the dear ones stay until the cheap ones serve", traits, 8,
			[]Domain{{Have: Numbers{Firm: 3}}, {Have: Numbers{Firm: 2, Reclaimable: 3}}},
			false,
			[]Numbers{{Firm: 2, Reclaimable: 4}, {Firm: 1, Reclaimable: 4}},
		},
		{
			"before the first request one stays", traits, 8,
			[]Domain{{Have: Numbers{Firm: 3}}, {Have: Numbers{Firm: 3}}},
			true,
			[]Numbers{{Firm: 1, Reclaimable: 4}, {Firm: 1, Reclaimable: 4}},
		},
		{
			"one refusing domain is what the spare ones are for", traits, 12,
			[]Domain{{Refused: true}, {Have: Numbers{Reclaimable: 4}}, {Have: Numbers{Reclaimable: 4}}},
			false,
			[]Numbers{{Reclaimable: 4}, {Reclaimable: 4}, {Reclaimable: 4}},
		},
		{
			"most domains refuse", traits, 12,
			[]Domain{{Refused: true}, {Refused: true}, {Have: Numbers{Reclaimable: 4}}},
			false,
			[]Numbers{{Firm: 2, Reclaimable: 4}, {Firm: 2, Reclaimable: 4}, {Reclaimable: 4}},
		},
		{
			"limits of a domain", traits, 40,
			[]Domain{{}, {}},
			false,
			[]Numbers{{Reclaimable: 6}, {Reclaimable: 6}},
		},
		{
			"no reclaimable kind",
			savoryloft.ScalingTraits{Min: 1, Max: 6},
			5,
			[]Domain{{}, {}},
			false,
			[]Numbers{{Firm: 3}, {Firm: 3}},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, Plan(tt.traits, tt.total, tt.domains, tt.idle))
		})
	}
}

func TestSizer(t *testing.T) {
	const second = time.Second
	t.Run("waits until all have registered", func(t *testing.T) {
		z := &sizer{settle: 2 * second}
		for i, have := range []int{0, 5, 14, 18, 18, 18, 18} {
			z.observe(time.Duration(i+1)*second, 0)
			got := z.want(have, 4, 0)
			if i < 4 {
				require.Zero(t, got, "step %d", i)
				continue
			}
			require.Equal(t, 24, got)
		}
	})
	t.Run("a new holder keeps the size although a domain is gone", func(t *testing.T) {
		z := &sizer{}
		z.observe(second, 40)
		require.Equal(t, 16, z.want(8, 4, 16))
	})
	t.Run("a crowd orders more within some seconds", func(t *testing.T) {
		z := &sizer{}
		for i := range 80 {
			z.observe(time.Duration(i+1)*second/4, 300)
		}
		require.Equal(t, 32, z.want(16, 4, 16))
	})
	t.Run("a wave orders nothing, a long lull a step at a time", func(t *testing.T) {
		z := &sizer{}
		z.observe(second, 60)
		for i := range 20 {
			z.observe(time.Duration(i+2)*second/2, 40)
			require.Equal(t, 16, z.want(16, 4, 16))
		}
		size, steps := 16, 0
		for i := range 400 {
			z.observe(time.Duration(i+20)*second, 5)
			if next := z.want(size, 4, size); next != size {
				require.Equal(t, size-4, next)
				size, steps = next, steps+1
			}
		}
		require.Equal(t, 8, size)
		require.Equal(t, 2, steps)
	})
}

// ledger is a lease that can be taken away.
type ledger struct {
	mu    sync.Mutex
	held  atomic.Bool
	fence int
	sizes map[string]int
}

func (l *ledger) Held() (int, time.Duration, bool) { return l.fence, 3 * time.Second, l.held.Load() }

func (l *ledger) Size(s string) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.sizes[s]
	return n, ok
}

func (l *ledger) SetSize(_ context.Context, s string, n int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sizes[s] = n
	return nil
}

// target takes orders and carries them out at once.
type target struct {
	mu     sync.Mutex
	orders []savoryloft.ScaleOrder
	fences []int
	refuse map[string]error // By failure domain, for reclaimable upstreams.
	accept atomic.Bool      // All is to be had.
}

func (g *target) PlaceScaleOrder(_ context.Context, fence int, o savoryloft.ScaleOrder) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fences = append(g.fences, fence)
	if err := g.refuse[o.FailureDomain]; err != nil && o.Reclaimable && !g.accept.Load() {
		return err
	}
	g.orders = append(g.orders, o)
	return nil
}

func (g *target) ReportUsage(context.Context, int, int, map[string]int) error { return nil }

func (g *target) seenFences() []int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]int(nil), g.fences...)
}

func (g *target) upstreams(string) []savoryloft.RegisteredUpstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := map[savoryloft.ScaleOrder]int{}
	for _, o := range g.orders {
		n := o.Count
		o.Count = 0
		count[o] = n
	}
	var list []savoryloft.RegisteredUpstream
	for o, n := range count {
		for range n {
			list = append(list, savoryloft.RegisteredUpstream{FailureDomain: o.FailureDomain, Reclaimable: o.Reclaimable})
		}
	}
	return list
}

func TestOrdersUnderTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &ledger{fence: 5, sizes: map[string]int{}}
		g := &target{refuse: map[string]error{"b": savoryloft.ErrNoCapacity}}
		g.orders = []savoryloft.ScaleOrder{{Service: "s", FailureDomain: "a", Count: 2}, {Service: "s", FailureDomain: "b", Count: 2}}
		p := &Provisioner{
			Ledger: l, Target: g, Heartbeat: time.Second, Logger: logr.Discard(),
			Services: func() []savoryloft.UpstreamService {
				return []savoryloft.UpstreamService{{Name: "s", Scaling: &savoryloft.ScalingTraits{
					Min: 1, Max: 6, ReclaimablePart: 0.2, Boot: time.Second, Prices: map[string]float64{"a": 1, "b": 1},
				}}}
			},
			Upstreams: g.upstreams,
			Running:   func(string) int { return 10 },
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = p.Run(ctx) }()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Empty(t, g.seenFences(), "no order without the lease")
		l.held.Store(true)
		time.Sleep(8 * time.Second)
		synctest.Wait()
		size, _ := l.Size("s")
		require.Equal(t, 8, size)
		n := countUpstreams(g.upstreams("s"), "a")
		require.Equal(t, Numbers{Reclaimable: 4}, n)
		require.Equal(t, Numbers{Firm: 2}, countUpstreams(g.upstreams("s"), "b"), "kept while cheap ones are refused")
		calls := len(g.seenFences())
		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.LessOrEqual(t, len(g.seenFences())-calls, 6, "a refusal is not repeated at once")
		g.accept.Store(true)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Equal(t, Numbers{Reclaimable: 4}, countUpstreams(g.upstreams("s"), "b"))
		for _, fence := range g.seenFences() {
			require.Equal(t, 5, fence)
		}
		cancel()
		synctest.Wait()
	})
}
