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
		name       string
		traits     savoryloft.ScalingTraits
		total      int
		domains    []DomainState
		noRequests bool
		want       []UpstreamCounts
	}{
		{
			"on-demand upstreams stay until reclaimable ones have registered", traits, 8,
			[]DomainState{{Current: UpstreamCounts{OnDemand: 3}}, {Current: UpstreamCounts{OnDemand: 2, Reclaimable: 3}}},
			false,
			[]UpstreamCounts{{OnDemand: 2, Reclaimable: 4}, {OnDemand: 1, Reclaimable: 4}},
		},
		{
			"one on-demand upstream stays before the first request", traits, 8,
			[]DomainState{{Current: UpstreamCounts{OnDemand: 3}}, {Current: UpstreamCounts{OnDemand: 3}}},
			true,
			[]UpstreamCounts{{OnDemand: 1, Reclaimable: 4}, {OnDemand: 1, Reclaimable: 4}},
		},
		{
			"spare upstreams cover one domain without capacity", traits, 12,
			[]DomainState{{NoCapacity: true}, {Current: UpstreamCounts{Reclaimable: 4}}, {Current: UpstreamCounts{Reclaimable: 4}}},
			false,
			[]UpstreamCounts{{Reclaimable: 4}, {Reclaimable: 4}, {Reclaimable: 4}},
		},
		{
			"most domains lack capacity", traits, 12,
			[]DomainState{{NoCapacity: true}, {NoCapacity: true}, {Current: UpstreamCounts{Reclaimable: 4}}},
			false,
			[]UpstreamCounts{{OnDemand: 2, Reclaimable: 4}, {OnDemand: 2, Reclaimable: 4}, {Reclaimable: 4}},
		},
		{
			"maximum per domain", traits, 40,
			[]DomainState{{}, {}},
			false,
			[]UpstreamCounts{{Reclaimable: 6}, {Reclaimable: 6}},
		},
		{
			"service without reclaimable upstreams",
			savoryloft.ScalingTraits{Min: 1, Max: 6},
			5,
			[]DomainState{{}, {}},
			false,
			[]UpstreamCounts{{OnDemand: 3}, {OnDemand: 3}},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, Plan(tt.traits, tt.total, tt.domains, tt.noRequests))
		})
	}
}

func TestSizer(t *testing.T) {
	const second = time.Second
	t.Run("waits until all upstreams have registered", func(t *testing.T) {
		z := &sizer{registrationTime: 2 * second}
		for i, registered := range []int{0, 5, 14, 18, 18, 18, 18} {
			z.observe(time.Duration(i+1)*second, 0)
			desired := z.desired(registered, 4, 0)
			if i < 4 {
				require.Zero(t, desired, "step %d", i)
				continue
			}
			require.Equal(t, 24, desired)
		}
	})
	t.Run("a new holder keeps the stored size after the loss of a domain", func(t *testing.T) {
		z := &sizer{}
		z.observe(second, 40)
		require.Equal(t, 16, z.desired(8, 4, 16))
	})
	t.Run("high load scales up within seconds", func(t *testing.T) {
		z := &sizer{}
		for i := range 80 {
			z.observe(time.Duration(i+1)*second/4, 300)
		}
		require.Equal(t, 32, z.desired(16, 4, 16))
	})
	t.Run("a short dip keeps the size, sustained low load scales down in steps", func(t *testing.T) {
		z := &sizer{}
		z.observe(second, 60)
		for i := range 20 {
			z.observe(time.Duration(i+2)*second/2, 40)
			require.Equal(t, 16, z.desired(16, 4, 16))
		}
		size, steps := 16, 0
		for i := range 400 {
			z.observe(time.Duration(i+20)*second, 5)
			if next := z.desired(size, 4, size); next != size {
				require.Equal(t, size-4, next)
				size, steps = next, steps+1
			}
		}
		require.Equal(t, 8, size)
		require.Equal(t, 2, steps)
	})
}

// fakeStore holds a lease that the test grants, and sizes in memory.
type fakeStore struct {
	mu    sync.Mutex
	held  atomic.Bool
	fence int
	sizes map[string]int
}

func (l *fakeStore) Held() (int, time.Duration, bool) { return l.fence, 3 * time.Second, l.held.Load() }

func (l *fakeStore) Size(s string) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.sizes[s]
	return n, ok
}

func (l *fakeStore) SetSize(_ context.Context, s string, n int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sizes[s] = n
	return nil
}

// fakeTarget executes orders at once.
type fakeTarget struct {
	mu          sync.Mutex
	orders      []savoryloft.ScaleOrder
	fences      []int
	noCapacity  map[string]error // Error for reclaimable upstreams, by failure domain.
	hasCapacity atomic.Bool      // Makes the target ignore noCapacity.
}

func (g *fakeTarget) PlaceScaleOrder(_ context.Context, fence int, o savoryloft.ScaleOrder) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fences = append(g.fences, fence)
	if err := g.noCapacity[o.FailureDomain]; err != nil && o.Reclaimable && !g.hasCapacity.Load() {
		return err
	}
	g.orders = append(g.orders, o)
	return nil
}

func (g *fakeTarget) ReportUsage(context.Context, int, int, map[string]int) error { return nil }

func (g *fakeTarget) receivedFences() []int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]int(nil), g.fences...)
}

// upstreams returns the registered upstreams that result from the orders.
func (g *fakeTarget) upstreams(string) []savoryloft.RegisteredUpstream {
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

func TestOrdersRequireLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeStore{fence: 5, sizes: map[string]int{}}
		g := &fakeTarget{noCapacity: map[string]error{"b": savoryloft.ErrNoCapacity}}
		g.orders = []savoryloft.ScaleOrder{{Service: "s", FailureDomain: "a", Count: 2}, {Service: "s", FailureDomain: "b", Count: 2}}
		p := &Provisioner{
			Store: l, Target: g, Heartbeat: time.Second, Logger: logr.Discard(),
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
		require.Empty(t, g.receivedFences(), "no order without the lease")
		l.held.Store(true)
		time.Sleep(8 * time.Second)
		synctest.Wait()
		size, _ := l.Size("s")
		require.Equal(t, 8, size)
		n := countUpstreams(g.upstreams("s"), "a")
		require.Equal(t, UpstreamCounts{Reclaimable: 4}, n)
		require.Equal(t, UpstreamCounts{OnDemand: 2}, countUpstreams(g.upstreams("s"), "b"), "on-demand upstreams stay while reclaimable ones are refused")
		calls := len(g.receivedFences())
		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.LessOrEqual(t, len(g.receivedFences())-calls, 6, "a refused order must not be resent at once")
		g.hasCapacity.Store(true)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Equal(t, UpstreamCounts{Reclaimable: 4}, countUpstreams(g.upstreams("s"), "b"))
		for _, fence := range g.receivedFences() {
			require.Equal(t, 5, fence)
		}
		cancel()
		synctest.Wait()
	})
}
