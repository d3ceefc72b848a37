package admitter_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/admitter"
)

// newSingleSlotAdmitter returns an admitter with one upstream of one slot per
// name.
func newSingleSlotAdmitter(names ...string) *admitter.Admitter {
	a := &admitter.Admitter{Instance: "entry-0"}
	var configs []admitter.UpstreamConfig
	for _, n := range names {
		configs = append(configs, admitter.UpstreamConfig{Name: n, Pool: "chat", Slots: 1})
	}
	a.Update(map[string]savoryloft.Pool{"chat": {Name: "chat"}}, nil, configs)
	return a
}

func newRequest(tier int, exclude ...string) *admitter.Request {
	return &admitter.Request{
		Pool: "chat", Account: "a", Weight: 1, Exclude: exclude,
		Class: &savoryloft.Class{Name: "c", Tier: tier, FirstToken: ms(1000)},
	}
}

// admitAsync calls Admit in the background and returns the channel that receives
// its grant.
func admitAsync(a *admitter.Admitter, r *admitter.Request) <-chan *admitter.Grant {
	granted := make(chan *admitter.Grant, 1)
	go func() {
		g, _ := a.Admit(context.Background(), r)
		granted <- g
	}()
	synctest.Wait()
	return granted
}

// A queued request that excludes the only upstream with a free slot must not
// block the requests behind it: it runs on that upstream again.
func TestExcludedUpstreamIsUsedAsLastResort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newSingleSlotAdmitter("x", "y")
		x, y := <-admitAsync(a, newRequest(0, "y")), <-admitAsync(a, newRequest(0, "x"))
		first, second := admitAsync(a, newRequest(0, "x")), admitAsync(a, newRequest(0))
		x.Done(admitter.Observation{})
		g := <-first
		require.Equal(t, "x", g.Upstream.Name)
		g.Done(admitter.Observation{})
		(<-second).Done(admitter.Observation{})
		y.Done(admitter.Observation{})
	})
}

// When a configuration change moves a class to another tier while its requests
// are queued, the counts of the old tier must return to zero.
func TestTierChangeKeepsCountsConsistent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newSingleSlotAdmitter("x")
		running := <-admitAsync(a, newRequest(3))
		before, after := admitAsync(a, newRequest(3)), admitAsync(a, newRequest(1))
		running.Done(admitter.Observation{})
		for range 2 {
			select {
			case g := <-before:
				g.Done(admitter.Observation{})
			case g := <-after:
				g.Done(admitter.Observation{})
			}
		}
		for _, d := range a.Demands() {
			require.Equal(t, []int{0, 0, 0, 0}, d.Waiting)
			require.Equal(t, []int{0, 0, 0, 0}, d.Running)
		}
	})
}

// A request that is queued for longer than the class's Patience is refused
// exactly then, with a RetryAfter.
func TestQueueTimeoutRefusesRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newSingleSlotAdmitter("x")
		running := <-admitAsync(a, newRequest(0))
		defer running.Done(admitter.Observation{})
		r := newRequest(0)
		r.Class.Patience = ms(700)
		started := time.Now()
		_, err := a.Admit(context.Background(), r)
		var refused *savoryloft.Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, savoryloft.RunNotRun, refused.Run)
		require.Positive(t, refused.RetryAfter)
		require.Equal(t, 700*time.Millisecond, time.Since(started))
	})
}

// A resumed request gets a slot on the upstream that has its prompt cached ahead
// of an older request of its class, but the older one must not starve: it is
// skipped at most four times.
func TestResumedRequestPrefersItsUpstream(t *testing.T) {
	const waiters = 6
	synctest.Test(t, func(t *testing.T) {
		a := newSingleSlotAdmitter("x", "y")
		resumed := make([]*admitter.Request, waiters)
		for i := range resumed {
			resumed[i] = newRequest(1)
			g := <-admitAsync(a, resumed[i])
			for g.Upstream.Name != "x" {
				g.Done(admitter.Observation{})
				g = <-admitAsync(a, resumed[i])
			}
			g.Done(admitter.Observation{})
			resumed[i].Resumed = true
		}
		x, y := <-admitAsync(a, newRequest(0, "y")), <-admitAsync(a, newRequest(0, "x"))
		olderGrant := admitAsync(a, newRequest(1))
		var resumedGrants []<-chan *admitter.Grant
		for _, r := range resumed {
			r.Arrived = time.Time{}
			resumedGrants = append(resumedGrants, admitAsync(a, r))
		}
		skips := 0
		for g := x; skips < waiters; skips++ {
			g.Done(admitter.Observation{})
			synctest.Wait()
			if len(olderGrant) > 0 {
				break
			}
			g = <-resumedGrants[skips]
			require.Equal(t, "x", g.Upstream.Name)
		}
		require.Equal(t, 4, skips, "times that the older request was skipped")
		(<-olderGrant).Done(admitter.Observation{})
		y.Done(admitter.Observation{})
		for _, c := range resumedGrants[skips:] {
			(<-c).Done(admitter.Observation{})
		}
	})
}

// Requests of other instances that exceed their current allowance on an upstream
// reduce the allowance of this instance until they end. Otherwise the upstream
// would run more requests than its limit.
func TestRequestsOfOtherInstancesReduceAllowance(t *testing.T) {
	member := func(name string, inFlight int) admitter.Member {
		return admitter.Member{Name: name, Loads: map[string]savoryloft.UpstreamLoad{"x": {Upstream: "x", InFlight: inFlight, Limit: 16}}}
	}
	for _, tt := range []struct {
		name           string
		othersInFlight int
		maxAllowance   int
	}{
		{"others are idle", 0, 16},
		{"others use their half", 8, 8},
		{"others drain from above their half", 14, 2},
		{"others fill it", 16, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := &admitter.Admitter{Instance: "entry-0"}
			a.Update(map[string]savoryloft.Pool{"chat": {Name: "chat"}}, nil, []admitter.UpstreamConfig{{Name: "x", Pool: "chat", Slots: 16}})
			a.UpdateShares([]admitter.Member{member("entry-0", 0), member("entry-1", tt.othersInFlight)})
			require.LessOrEqual(t, a.Pool("chat").Upstreams()[0].Allowance(), tt.maxAllowance)
		})
	}
}

// A slot reserved for higher tiers goes to a request that is about to time out.
// Otherwise the request would be refused although a slot is free.
func TestReservedSlotIsUsedBeforeTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		a := newSingleSlotAdmitter("a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
		done := make(chan struct{})
		go func() { _ = a.Run(ctx); close(done) }()
		// Arrivals of the top tier make the pool reserve slots for it.
		var arrivals sync.WaitGroup
		arrivals.Go(func() {
			for ctx.Err() == nil {
				arrivals.Go(func() {
					if g, err := a.Admit(ctx, newRequest(0)); err == nil {
						g.Done(admitter.Observation{})
					}
				})
				time.Sleep(20 * time.Millisecond)
			}
		})
		time.Sleep(3 * time.Second)
		var busy []*admitter.Grant
		for range 8 {
			busy = append(busy, <-admitAsync(a, newRequest(0)))
		}
		g, err := a.Admit(ctx, newRequest(2))
		require.NoError(t, err, "request was refused although a slot was free")
		g.Done(admitter.Observation{})
		for _, b := range busy {
			b.Done(admitter.Observation{})
		}
		cancel()
		arrivals.Wait()
		<-done
	})
}

// A floor applies to the fleet: an instance may use it only while all instances
// together run less than the floor.
func TestFloorAppliesToFleet(t *testing.T) {
	for _, tt := range []struct {
		name     string
		running  int // Requests of the lowest tier at the other instance.
		wantTier int // Tier of the request that gets the next slot.
	}{
		{"nothing runs elsewhere", 0, 3},
		{"the floor is used elsewhere", 2, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				a := &admitter.Admitter{Instance: "entry-0"}
				a.Update(map[string]savoryloft.Pool{"chat": {Name: "chat"}}, map[string][admitter.Tiers]int{"chat": {3: 2}},
					[]admitter.UpstreamConfig{{Name: "x", Pool: "chat", Slots: 100}})
				a.UpdateShares([]admitter.Member{
					{Name: "entry-0", Demands: map[string]savoryloft.PoolDemand{"chat": {
						Waiting: []int{1, 0, 0, 1}, Running: []int{90, 0, 0, 0}, Expected: []int{100, 0, 0, 10},
					}}},
					{Name: "entry-1", Demands: map[string]savoryloft.PoolDemand{"chat": {
						Waiting: []int{0, 0, 0, 9}, Running: []int{0, 0, 0, tt.running}, Expected: []int{0, 0, 0, 10},
					}}},
				})
				var running []*admitter.Grant
				for range a.Pool("chat").Upstreams()[0].Allowance() {
					running = append(running, <-admitAsync(a, newRequest(0)))
				}
				lowest := newRequest(3)
				lowest.Class.Name = "lowest"
				highestGrant, lowestGrant := admitAsync(a, newRequest(0)), admitAsync(a, lowest)
				go func() { _ = a.Run(ctx) }()
				time.Sleep(1900 * time.Millisecond) // Less than the timeout of the queued requests.
				running[0].Done(admitter.Observation{})
				synctest.Wait()
				expectedGrant := highestGrant
				if tt.wantTier == 3 {
					expectedGrant = lowestGrant
				}
				granted := len(expectedGrant)
				cancel()
				time.Sleep(time.Minute) // Requests that are still queued time out.
				require.Equal(t, 1, granted, "the next slot was granted to the wrong tier")
			})
		})
	}
}
