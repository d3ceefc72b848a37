package scaler_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/emulator"
	"savoryloft.example/savoryloft/follower"
	"savoryloft.example/savoryloft/scaler"
)

// fakeHolder is a savoryloft.Holder whose lease is set by the test.
type fakeHolder struct {
	fence int
	until time.Time
}

func (h *fakeHolder) Held() (int, time.Duration, bool) {
	left := time.Until(h.until)
	return h.fence, left, left > 0
}

// fixture is an emulated platform with one scaler. It must be used inside a
// synctest bubble.
type fixture struct {
	t        *testing.T
	platform *emulator.Platform
	follower *follower.Follower
	holder   *fakeHolder
	scaler   *scaler.Scaler
	demand   int
	cancel   context.CancelFunc
	done     chan struct{}
}

const poolsNoteFormat = `{"ID": "note-pools", "Note": {"ID": "pools", "Base": -1, "Added": {"Pools": [
	{"Name": "chat", "Kind": "Engine", "Slots": 10, "Minimum": 1, "Maximum": 6, "ReclaimablePercent": %d, "ChecksFencing": %t}]}}}`

// newFixture starts a fixture whose scaler holds the lease. Its only pool has the
// given ReclaimablePercent and ChecksFencing.
func newFixture(t *testing.T, reclaimable int, fencing bool) *fixture {
	f := &fixture{t: t, platform: &emulator.Platform{}, holder: &fakeHolder{}, done: make(chan struct{})}
	started := 0
	f.platform.Start = func(o savoryloft.Order) (savoryloft.ListedInstance, error) {
		started++
		return savoryloft.ListedInstance{
			Name: fmt.Sprint("u", started), Kind: savoryloft.ListedInstanceKindUpstream, Pool: o.Pool,
			FailureDomain: o.FailureDomain, State: savoryloft.ListedInstanceStateLive, Reclaimable: o.Reclaimable,
		}, nil
	}
	var list []savoryloft.ListedInstance
	for i := range 4 {
		list = append(list, savoryloft.ListedInstance{
			Name: fmt.Sprint("entry-", i), Kind: savoryloft.ListedInstanceKindEntry,
			FailureDomain: fmt.Sprint("d", i), State: savoryloft.ListedInstanceStateLive,
		})
	}
	f.platform.SetInstances(list)
	direct := &emulator.Direct{Platform: f.platform}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	_, err := direct.Append(ctx, savoryloft.StreamControl, []byte(fmt.Sprintf(poolsNoteFormat, reclaimable, fencing)))
	require.NoError(t, err)
	f.follower = &follower.Follower{Log: direct, Logger: logr.Discard()}
	go func() {
		defer close(f.done)
		_ = f.follower.Run(ctx)
	}()
	time.Sleep(time.Second)
	f.scaler = f.newScaler("entry-0", f.holder)
	f.claim(f.holder, "entry-0", time.Hour)
	return f
}

func (f *fixture) newScaler(name string, h *fakeHolder) *scaler.Scaler {
	direct := &emulator.Direct{Platform: f.platform}
	return &scaler.Scaler{
		Follower: f.follower, Platform: direct, Holder: h, Instance: name,
		OrderTimeout: time.Second, LeaseTTL: 5 * time.Second, Logger: logr.Discard(),
		Demand: func(string) int { return f.demand },
		ListedInstances: func() []savoryloft.ListedInstance {
			list, _ := direct.Instances(context.Background())
			return list
		},
	}
}

// claim appends a lease claim to the log and makes h hold the lease under it.
func (f *fixture) claim(h *fakeHolder, name string, ttl time.Duration) {
	offset, err := f.follower.Publish(context.Background(), savoryloft.Record{
		ID:    fmt.Sprint("claim-", name, time.Now().UnixNano()),
		Claim: &savoryloft.LeaseClaim{Instance: name, Saw: 1 << 30, TTL: savoryloft.Duration(ttl)},
	})
	require.NoError(f.t, err)
	h.fence, h.until = offset, time.Now().Add(ttl)
}

// run runs s for the given duration.
func (f *fixture) run(s *scaler.Scaler, duration time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	_ = s.Run(ctx)
}

func (f *fixture) stop() {
	f.platform.SetFaults(emulator.PlatformFaults{})
	f.cancel()
	<-f.done
}

// countOrders returns the number of orders with an action that took effect.
func (f *fixture) countOrders(action savoryloft.OrderAction) int {
	n := 0
	for _, o := range f.platform.Orders() {
		if o.Order.Action == action {
			n++
		}
	}
	return n
}

func TestOrdersMatchDemand(t *testing.T) {
	tests := []struct {
		name   string
		demand int
		faults emulator.PlatformFaults
		want   int
	}{
		{"minimum", 0, emulator.PlatformFaults{}, 1},
		{"demand", 20, emulator.PlatformFaults{}, 3},
		{"maximum", 1000, emulator.PlatformFaults{}, 6},
		{"lost responses", 20, emulator.PlatformFaults{LoseAnswers: 20}, 3},
		{"lost calls", 20, emulator.PlatformFaults{LoseCalls: 5}, 3},
		{"stale list", 20, emulator.PlatformFaults{ListLag: 30e9}, 3},
		{"effect after the timeout", 20, emulator.PlatformFaults{Delay: 2e9}, 3},
		{"ignored fencing tokens", 20, emulator.PlatformFaults{IgnoreFences: true, LoseAnswers: 5}, 3},
		{"no capacity", 20, emulator.PlatformFaults{NoCapacity: true}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 0, false)
				defer f.stop()
				f.demand = tt.demand
				f.platform.SetFaults(tt.faults)
				f.run(f.scaler, 5*time.Minute)
				require.Equal(t, tt.want, f.countOrders(savoryloft.OrderActionStart))
				require.Zero(t, f.countOrders(savoryloft.OrderActionStop))
			})
		})
	}
}

func TestSurplusStopsAfterDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 0, true)
		defer f.stop()
		f.demand = 40
		f.run(f.scaler, time.Minute)
		require.Equal(t, 6, f.countOrders(savoryloft.OrderActionStart))
		f.demand = 0
		f.run(f.scaler, 30*time.Second)
		require.Zero(t, f.countOrders(savoryloft.OrderActionStop), "a short dip in demand must not stop upstreams")
		f.run(f.scaler, 10*time.Minute)
		require.Equal(t, 5, f.countOrders(savoryloft.OrderActionStop))
	})
}

func TestReclaimedUpstreamsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 50, true)
		defer f.stop()
		f.demand = 28
		f.run(f.scaler, time.Minute)
		reclaimable := 0
		for _, o := range f.platform.Orders() {
			if o.Order.Reclaimable {
				reclaimable++
			}
		}
		require.Equal(t, 4, f.countOrders(savoryloft.OrderActionStart))
		require.Equal(t, 2, reclaimable, "ReclaimablePercent is 50")
		var remaining []savoryloft.ListedInstance
		list, err := (&emulator.Direct{Platform: f.platform}).Instances(context.Background())
		require.NoError(t, err)
		reclaimed := 0
		for _, i := range list {
			if i.Kind == savoryloft.ListedInstanceKindUpstream && i.FailureDomain == "d0" {
				reclaimed++
				continue
			}
			remaining = append(remaining, i)
		}
		require.Positive(t, reclaimed)
		f.platform.SetInstances(remaining)
		f.run(f.scaler, time.Minute)
		require.Equal(t, 4+reclaimed, f.countOrders(savoryloft.OrderActionStart))
	})
}

// Guards against a lost or duplicated order when the holder fails between the
// intent and the outcome: the next holder must resolve the order before it
// places its own.
func TestNewHolderResolvesOpenOrders(t *testing.T) {
	for _, sent := range []bool{true, false} {
		t.Run(fmt.Sprint("sent ", sent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 0, true)
				defer f.stop()
				f.demand = 10
				openOrder := savoryloft.Order{
					ID: "order-of-the-dead", FailureDomain: "d1", Pool: "chat",
					Action: savoryloft.OrderActionStart, Fence: f.holder.fence,
				}
				_, err := f.follower.Publish(context.Background(), savoryloft.Record{
					ID: "intent-dead", Intent: &savoryloft.OrderIntent{Claim: f.holder.fence, Order: openOrder},
				})
				require.NoError(t, err)
				if sent {
					_, err = (&emulator.Direct{Platform: f.platform}).PlaceOrder(context.Background(), openOrder, func() error { return nil })
					require.NoError(t, err)
				}
				nextHolder := &fakeHolder{}
				f.claim(nextHolder, "entry-1", time.Hour)
				f.run(f.newScaler("entry-1", nextHolder), time.Minute)
				require.Equal(t, 2, f.countOrders(savoryloft.OrderActionStart))
				require.Empty(t, f.follower.View().Intents)
			})
		})
	}
}

// Guards against an order that takes effect after the lease has expired because
// the holder was paused between the intent and the write. The holder must not
// send an order when too little lease time is left.
func TestNoOrderNearLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 0, false)
		defer f.stop()
		f.run(f.scaler, 10*time.Second)
		before := len(f.platform.Orders())
		f.demand = 1000
		f.holder.until = time.Now().Add(1100 * time.Millisecond) // Less than the order timeout plus the margin.
		f.run(f.scaler, 10*time.Second)
		require.Len(t, f.platform.Orders(), before)
	})
}

// Guards against orders of an earlier holder: a target that checks fencing
// tokens must refuse them.
func TestOldFencingTokenIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 0, true)
		defer f.stop()
		direct := &emulator.Direct{Platform: f.platform}
		order := savoryloft.Order{ID: "new", FailureDomain: "d0", Pool: "chat", Action: savoryloft.OrderActionStart, Fence: 9}
		_, err := direct.PlaceOrder(context.Background(), order, func() error { return nil })
		require.NoError(t, err)
		order.ID, order.Fence = "old", 8
		_, err = direct.PlaceOrder(context.Background(), order, func() error { return nil })
		require.ErrorIs(t, err, savoryloft.ErrFenced)
	})
}
