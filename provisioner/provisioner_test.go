package provisioner

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
)

func TestPlan(t *testing.T) {
	traits := savoryloft.ScalingTraits{Min: 1, Max: 6, ReclaimablePriceRatio: 0.2}
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
			"one on-demand upstream per domain before the first request", traits, 8,
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
			"a reclaimed domain of a large service exceeds the spare upstreams",
			savoryloft.ScalingTraits{Min: 1, Max: 94, ReclaimablePriceRatio: 0.2},
			147,
			[]DomainState{{NoCapacity: true}, {Current: UpstreamCounts{Reclaimable: 49}}, {Current: UpstreamCounts{Reclaimable: 49}}},
			false,
			[]UpstreamCounts{{OnDemand: 44, Reclaimable: 49}, {Reclaimable: 49}, {Reclaimable: 49}},
		},
		{
			"a reclaimed domain of a small service is replaced before the next loss",
			savoryloft.ScalingTraits{Min: 1, Max: 16, ReclaimablePriceRatio: 0.2},
			24,
			[]DomainState{{NoCapacity: true}, {Current: UpstreamCounts{Reclaimable: 8}}, {Current: UpstreamCounts{Reclaimable: 8}}},
			false,
			[]UpstreamCounts{{OnDemand: 3, Reclaimable: 8}, {Reclaimable: 8}, {Reclaimable: 8}},
		},
		{
			"two reclaimed domains, of which one has got some upstreams back",
			savoryloft.ScalingTraits{Min: 1, Max: 94, ReclaimablePriceRatio: 0.2},
			147,
			[]DomainState{{NoCapacity: true}, {NoCapacity: true, Current: UpstreamCounts{Reclaimable: 29, OnDemand: 30}}, {Current: UpstreamCounts{Reclaimable: 49}}},
			false,
			[]UpstreamCounts{{OnDemand: 45, Reclaimable: 49}, {OnDemand: 25, Reclaimable: 49}, {Reclaimable: 49}},
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
		s := &sizer{registrationTime: 2 * second}
		for i, registered := range []int{0, 5, 14, 18, 18, 18, 18} {
			s.observe(time.Duration(i+1)*second, ServiceLoad{Running: 0})
			desired := s.desired(Fleet{Registered: registered, Domains: 4, Target: 0})
			if i < 4 {
				require.Zero(t, desired, "step %d", i)
				continue
			}
			require.Equal(t, 24, desired)
		}
	})
	t.Run("a new holder keeps the stored size after the loss of a domain", func(t *testing.T) {
		s := &sizer{}
		s.observe(second, ServiceLoad{Running: 40})
		require.Equal(t, 16, s.desired(Fleet{Registered: 8, Domains: 4, Target: 16}))
	})
	t.Run("high load scales up within seconds", func(t *testing.T) {
		s := &sizer{}
		for i := range 80 {
			s.observe(time.Duration(i+1)*second/4, ServiceLoad{Running: 300})
		}
		require.Equal(t, 32, s.desired(Fleet{Registered: 16, Domains: 4, Target: 16}))
	})
	t.Run("upstreams with few slots scale up earlier", func(t *testing.T) {
		s := &sizer{slots: 12}
		for i := range 80 {
			s.observe(time.Duration(i+1)*second/4, ServiceLoad{Running: 1000})
		}
		require.Equal(t, 240, s.desired(Fleet{Registered: 147, Domains: 3, Target: 147}))
	})
	t.Run("upstreams with few slots get more spares", func(t *testing.T) {
		for _, tt := range []struct {
			slots, registered, want int
		}{
			{0, 72, 81},
			{64, 72, 81},
			{12, 72, 90},
			{12, 120, 150},
		} {
			s := &sizer{slots: tt.slots}
			s.observe(second, ServiceLoad{Running: 0})
			s.desired(Fleet{Registered: tt.registered, Domains: 6, Target: 0})
			s.observe(2*second, ServiceLoad{Running: 0})
			require.Equal(t, roundUp(tt.want, 6), s.desired(Fleet{Registered: tt.registered, Domains: 6, Target: 0}), "%+v", tt)
		}
	})
	t.Run("a burst is met with few orders", func(t *testing.T) {
		s := &sizer{slots: 12}
		size, orders := 147, 0
		for i := range 40 {
			s.observe(time.Duration(i+1)*second/4, ServiceLoad{Running: 400 + 20*i})
			if next := s.desired(Fleet{Registered: size, Domains: 3, Target: size}); next != size {
				size, orders = next, orders+1
			}
		}
		require.GreaterOrEqual(t, float64(size)*scaleUpShare*12, 1000.0)
		require.LessOrEqual(t, orders, 3)
	})
	t.Run("a short dip keeps the size, sustained low load scales down in steps", func(t *testing.T) {
		s := &sizer{}
		s.observe(second, ServiceLoad{Running: 60})
		for i := range 20 {
			s.observe(time.Duration(i+2)*second/2, ServiceLoad{Running: 40})
			require.Equal(t, 16, s.desired(Fleet{Registered: 16, Domains: 4, Target: 16}))
		}
		size, steps := 16, 0
		for i := range 400 {
			s.observe(time.Duration(i+20)*second, ServiceLoad{Running: 5})
			if next := s.desired(Fleet{Registered: size, Domains: 4, Target: size}); next != size {
				require.Equal(t, size-4, next)
				size, steps = next, steps+1
			}
		}
		require.Equal(t, 8, size)
		require.Equal(t, 2, steps)
	})
}

// fakeStore is a DutyStore in memory. The test grants its lease by setting held.
type fakeStore struct {
	mu    sync.Mutex
	held  atomic.Bool
	fence int
	sizes map[string]int
}

func (f *fakeStore) Held() (int, time.Duration, bool) { return f.fence, 3 * time.Second, f.held.Load() }

func (f *fakeStore) Size(service string) (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	upstreams, ok := f.sizes[service]
	return upstreams, ok
}

func (f *fakeStore) SetSize(_ context.Context, service string, upstreams int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sizes[service] = upstreams
	return nil
}

// fakeTarget is a savoryloft.DutyTarget that fulfills orders immediately.
type fakeTarget struct {
	mu          sync.Mutex
	orders      []savoryloft.ScaleOrder
	fences      []int
	noCapacity  map[string]error // Error for reclaimable upstreams, by failure domain.
	hasCapacity atomic.Bool      // Makes the target ignore noCapacity.
}

func (f *fakeTarget) PlaceScaleOrder(_ context.Context, fence int, o savoryloft.ScaleOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fences = append(f.fences, fence)
	if err := f.noCapacity[o.FailureDomain]; err != nil && o.Reclaimable && !f.hasCapacity.Load() {
		return err
	}
	f.orders = append(f.orders, o)
	return nil
}

func (f *fakeTarget) ReportUsage(context.Context, int, int, map[string]int) error { return nil }

func (f *fakeTarget) receivedFences() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]int(nil), f.fences...)
}

// upstreams returns the upstreams that the latest order of each kind and failure
// domain has started.
func (f *fakeTarget) upstreams(string) []savoryloft.RegisteredUpstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[savoryloft.ScaleOrder]int{}
	for _, o := range f.orders {
		n := o.Count
		o.Count = 0
		counts[o] = n
	}
	var list []savoryloft.RegisteredUpstream
	for o, n := range counts {
		for range n {
			list = append(list, savoryloft.RegisteredUpstream{FailureDomain: o.FailureDomain, Reclaimable: o.Reclaimable})
		}
	}
	return list
}

func TestOrdersRequireLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{fence: 5, sizes: map[string]int{}}
		target := &fakeTarget{noCapacity: map[string]error{"b": savoryloft.ErrNoCapacity}}
		target.orders = []savoryloft.ScaleOrder{{Service: "s", FailureDomain: "a", Count: 2}, {Service: "s", FailureDomain: "b", Count: 2}}
		p := &Provisioner{
			Store: store, Target: target, Heartbeat: time.Second, Metrics: metrics.NewRegistry(), Logger: logr.Discard(),
			Services: func() []savoryloft.UpstreamService {
				return []savoryloft.UpstreamService{{Name: "s", Scaling: &savoryloft.ScalingTraits{
					Min: 1, Max: 6, ReclaimablePriceRatio: 0.2, BootTime: time.Second, Prices: map[string]float64{"a": 1, "b": 1},
				}}}
			},
			Upstreams: target.upstreams,
			Load:      func(string) ServiceLoad { return ServiceLoad{Running: 10} },
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = p.Run(ctx) }()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Empty(t, target.receivedFences(), "no order may be sent without the lease")
		store.held.Store(true)
		time.Sleep(8 * time.Second)
		synctest.Wait()
		size, _ := store.Size("s")
		require.Equal(t, 8, size)
		upstreams := countUpstreams(target.upstreams("s"), "a")
		require.Equal(t, UpstreamCounts{Reclaimable: 4}, upstreams)
		require.Equal(t, UpstreamCounts{OnDemand: 2}, countUpstreams(target.upstreams("s"), "b"), "on-demand upstreams stay while reclaimable ones are refused")
		fencesBefore := len(target.receivedFences())
		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.LessOrEqual(t, len(target.receivedFences())-fencesBefore, 6, "a refused order must not be resent immediately")
		target.hasCapacity.Store(true)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Equal(t, UpstreamCounts{Reclaimable: 4}, countUpstreams(target.upstreams("s"), "b"))
		for _, fence := range target.receivedFences() {
			require.Equal(t, 5, fence)
		}
		cancel()
		synctest.Wait()
	})
}
