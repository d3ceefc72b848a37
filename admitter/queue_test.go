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

// small returns an admitter with upstreams of one slot each.
func small(names ...string) *admitter.Admitter {
	a := &admitter.Admitter{Instance: "entry-0"}
	var targets []admitter.Target
	for _, n := range names {
		targets = append(targets, admitter.Target{Name: n, Pool: "chat", Slots: 1})
	}
	a.Update(map[string]savoryloft.Pool{"chat": {Name: "chat"}}, nil, targets)
	return a
}

func request(tier int, exclude ...string) *admitter.Request {
	return &admitter.Request{
		Pool: "chat", Account: "a", Weight: 1, Exclude: exclude,
		Class: &savoryloft.Class{Name: "c", Tier: tier, FirstToken: ms(1000)},
	}
}

// admit waits for a grant in the background.
func admit(a *admitter.Admitter, r *admitter.Request) <-chan *admitter.Grant {
	granted := make(chan *admitter.Grant, 1)
	go func() {
		g, _ := a.Admit(context.Background(), r)
		granted <- g
	}()
	synctest.Wait()
	return granted
}

// A request that has failed on the only upstream with room takes it again
// rather than hold up all that wait behind it.
func TestExcludedUpstreamBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := small("x", "y")
		x, y := <-admit(a, request(0, "y")), <-admit(a, request(0, "x"))
		first, second := admit(a, request(0, "x")), admit(a, request(0))
		x.Done(admitter.Observation{})
		g := <-first
		require.Equal(t, "x", g.Upstream.Name)
		g.Done(admitter.Observation{})
		(<-second).Done(admitter.Observation{})
		y.Done(admitter.Observation{})
	})
}

// A class that changes its tier while requests wait leaves no count behind.
func TestTierChangesWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := small("x")
		running := <-admit(a, request(3))
		before, after := admit(a, request(3)), admit(a, request(1))
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

// Patience ends a wait at once, with a time to come back.
func TestPatienceEndsInRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := small("x")
		running := <-admit(a, request(0))
		defer running.Done(admitter.Observation{})
		r := request(0)
		r.Class.Patience = ms(700)
		began := time.Now()
		_, err := a.Admit(context.Background(), r)
		var refused *savoryloft.Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, savoryloft.RunNotRun, refused.Run)
		require.Positive(t, refused.RetryAfter)
		require.Equal(t, 700*time.Millisecond, time.Since(began))
	})
}

// A preempted request goes back to the upstream that has its prompt cached,
// also before a waiter of its class that came first, but only a few times.
func TestResumedRequestPrefersItsUpstream(t *testing.T) {
	const waiters = 6
	synctest.Test(t, func(t *testing.T) {
		a := small("x", "y")
		resumed := make([]*admitter.Request, waiters)
		for i := range resumed {
			resumed[i] = request(1)
			g := <-admit(a, resumed[i])
			for g.Upstream.Name != "x" {
				g.Done(admitter.Observation{})
				g = <-admit(a, resumed[i])
			}
			g.Done(admitter.Observation{})
			resumed[i].Resumed = true
		}
		x, y := <-admit(a, request(0, "y")), <-admit(a, request(0, "x"))
		first := admit(a, request(1))
		var later []<-chan *admitter.Grant
		for _, r := range resumed {
			r.Arrived = time.Time{}
			later = append(later, admit(a, r))
		}
		passed := 0
		for g := x; passed < waiters; passed++ {
			g.Done(admitter.Observation{})
			synctest.Wait()
			if len(first) > 0 {
				break
			}
			g = <-later[passed]
			require.Equal(t, "x", g.Upstream.Name)
		}
		require.Equal(t, 4, passed, "a waiter is passed over a few times")
		(<-first).Done(admitter.Observation{})
		y.Done(admitter.Observation{})
		for _, c := range later[passed:] {
			(<-c).Done(admitter.Observation{})
		}
	})
}

// What other instances run on an upstream beyond their present portion takes
// room from this one until it ends.
func TestRequestsOfOthersTakeRoom(t *testing.T) {
	member := func(name string, inFlight int) admitter.Member {
		return admitter.Member{Name: name, Loads: map[string]savoryloft.UpstreamLoad{"x": {Upstream: "x", InFlight: inFlight, Limit: 16}}}
	}
	for _, tt := range []struct {
		name   string
		others int
		most   int
	}{
		{"others are idle", 0, 16},
		{"others use their half", 8, 8},
		{"others drain from above their half", 14, 2},
		{"others fill it", 16, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := &admitter.Admitter{Instance: "entry-0"}
			a.Update(map[string]savoryloft.Pool{"chat": {Name: "chat"}}, nil, []admitter.Target{{Name: "x", Pool: "chat", Slots: 16}})
			a.Share([]admitter.Member{member("entry-0", 0), member("entry-1", tt.others)})
			require.LessOrEqual(t, a.Pool("chat").Upstreams()[0].Allowance(), tt.most)
		})
	}
}

// A waiter whose patience is about to end takes a slot that is otherwise left
// to the arrivals of higher tiers.
func TestReserveDoesNotOutlastPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		a := small("a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
		done := make(chan struct{})
		go func() { _ = a.Run(ctx); close(done) }()
		// Arrivals of the top tier, so that slots are kept for it.
		var arrivals sync.WaitGroup
		arrivals.Go(func() {
			for ctx.Err() == nil {
				arrivals.Go(func() {
					if g, err := a.Admit(ctx, request(0)); err == nil {
						g.Done(admitter.Observation{})
					}
				})
				time.Sleep(20 * time.Millisecond)
			}
		})
		time.Sleep(3 * time.Second)
		var busy []*admitter.Grant
		for range 8 {
			busy = append(busy, <-admit(a, request(0)))
		}
		g, err := a.Admit(ctx, request(2))
		require.NoError(t, err, "refused although a slot was free")
		g.Done(admitter.Observation{})
		for _, b := range busy {
			b.Done(admitter.Observation{})
		}
		cancel()
		arrivals.Wait()
		<-done
	})
}

// A floor is for the whole fleet: an instance uses it only while all together
// run less than it.
func TestFloorIsSharedByTheFleet(t *testing.T) {
	for _, tt := range []struct {
		name    string
		running int // Requests of the lowest tier at the other instance.
		want    int // Tier that gets the next slot.
	}{
		{"nothing runs elsewhere", 0, 3},
		{"the floor is used elsewhere", 2, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				a := &admitter.Admitter{Instance: "entry-0"}
				a.Update(map[string]savoryloft.Pool{"chat": {Name: "chat"}}, map[string][admitter.Tiers]int{"chat": {3: 2}},
					[]admitter.Target{{Name: "x", Pool: "chat", Slots: 100}})
				a.Share([]admitter.Member{
					{Name: "entry-0", Demands: map[string]savoryloft.PoolDemand{"chat": {
						Waiting: []int{1, 0, 0, 1}, Running: []int{90, 0, 0, 0}, Expected: []int{100, 0, 0, 10},
					}}},
					{Name: "entry-1", Demands: map[string]savoryloft.PoolDemand{"chat": {
						Waiting: []int{0, 0, 0, 9}, Running: []int{0, 0, 0, tt.running}, Expected: []int{0, 0, 0, 10},
					}}},
				})
				var running []*admitter.Grant
				for range a.Pool("chat").Upstreams()[0].Allowance() {
					running = append(running, <-admit(a, request(0)))
				}
				lowest := request(3)
				lowest.Class.Name = "lowest"
				first, last := admit(a, request(0)), admit(a, lowest)
				go func() { _ = a.Run(ctx) }()
				time.Sleep(1900 * time.Millisecond) // The waiters' patience lasts longer.
				running[0].Done(admitter.Observation{})
				synctest.Wait()
				got := first
				if tt.want == 3 {
					got = last
				}
				granted := len(got)
				cancel()
				time.Sleep(time.Minute) // Whoever still waits is refused.
				require.Equal(t, 1, granted, "the slot went to the other tier")
			})
		})
	}
}
