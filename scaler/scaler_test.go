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

// holder is a lease that the test grants and takes.
type holder struct {
	fence int
	until time.Time
}

func (h *holder) Held() (int, time.Duration, bool) {
	left := time.Until(h.until)
	return h.fence, left, left > 0
}

// bench is a platform with one scaler. It must run inside a synctest bubble.
type bench struct {
	t        *testing.T
	platform *emulator.Platform
	follower *follower.Follower
	holder   *holder
	scaler   *scaler.Scaler
	demand   int
	cancel   context.CancelFunc
	done     chan struct{}
}

const pools = `{"ID": "note-pools", "Note": {"ID": "pools", "Base": -1, "Added": {"Pools": [
	{"Name": "chat", "Kind": "Engine", "Slots": 10, "Minimum": 1, "Maximum": 6, "ReclaimablePercent": %d, "ChecksFencing": %t}]}}}`

func newBench(t *testing.T, reclaimable int, fencing bool) *bench {
	b := &bench{t: t, platform: &emulator.Platform{}, holder: &holder{}, done: make(chan struct{})}
	started := 0
	b.platform.Start = func(o savoryloft.Order) (savoryloft.ListedInstance, error) {
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
	b.platform.SetInstances(list)
	direct := &emulator.Direct{Platform: b.platform}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	_, err := direct.Append(ctx, savoryloft.StreamControl, []byte(fmt.Sprintf(pools, reclaimable, fencing)))
	require.NoError(t, err)
	b.follower = &follower.Follower{Log: direct, Logger: logr.Discard()}
	go func() {
		defer close(b.done)
		_ = b.follower.Run(ctx)
	}()
	time.Sleep(time.Second)
	b.scaler = b.newScaler("entry-0", b.holder)
	b.claim(b.holder, "entry-0", time.Hour)
	return b
}

func (b *bench) newScaler(name string, h *holder) *scaler.Scaler {
	direct := &emulator.Direct{Platform: b.platform}
	return &scaler.Scaler{
		Follower: b.follower, Platform: direct, Holder: h, Instance: name,
		Timeout: time.Second, TTL: 5 * time.Second, Logger: logr.Discard(),
		Demand: func(string) int { return b.demand },
		Listed: func() []savoryloft.ListedInstance {
			list, _ := direct.Instances(context.Background())
			return list
		},
	}
}

// claim makes a holder the lease's holder in the log, too.
func (b *bench) claim(h *holder, name string, length time.Duration) {
	offset, err := b.follower.Publish(context.Background(), savoryloft.Record{
		ID:    fmt.Sprint("claim-", name, time.Now().UnixNano()),
		Claim: &savoryloft.LeaseClaim{Instance: name, Saw: 1 << 30, TTL: savoryloft.Duration(length)},
	})
	require.NoError(b.t, err)
	h.fence, h.until = offset, time.Now().Add(length)
}

func (b *bench) run(s *scaler.Scaler, length time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	_ = s.Run(ctx)
}

func (b *bench) stop() {
	b.platform.SetFaults(emulator.PlatformFaults{})
	b.cancel()
	<-b.done
}

// count returns the orders that took effect.
func (b *bench) count(action savoryloft.OrderAction) int {
	n := 0
	for _, o := range b.platform.Orders() {
		if o.Order.Action == action {
			n++
		}
	}
	return n
}

func TestOrdersFollowDemand(t *testing.T) {
	tests := []struct {
		name   string
		demand int
		faults emulator.PlatformFaults
		want   int
	}{
		{"minimum", 0, emulator.PlatformFaults{}, 1},
		{"demand", 20, emulator.PlatformFaults{}, 3},
		{"maximum", 1000, emulator.PlatformFaults{}, 6},
		{"lost answers", 20, emulator.PlatformFaults{LoseAnswers: 20}, 3},
		{"lost calls", 20, emulator.PlatformFaults{LoseCalls: 5}, 3},
		{"list lags", 20, emulator.PlatformFaults{ListLag: 30e9}, 3},
		{"effect after the timeout", 20, emulator.PlatformFaults{Delay: 2e9}, 3},
		{"ignores fences", 20, emulator.PlatformFaults{IgnoreFences: true, LoseAnswers: 5}, 3},
		{"nothing to be had", 20, emulator.PlatformFaults{NoCapacity: true}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 0, false)
				defer b.stop()
				b.demand = tt.demand
				b.platform.SetFaults(tt.faults)
				b.run(b.scaler, 5*time.Minute)
				require.Equal(t, tt.want, b.count(savoryloft.OrderActionStart))
				require.Zero(t, b.count(savoryloft.OrderActionStop))
			})
		})
	}
}

func TestSurplusIsStoppedAfterAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 0, true)
		defer b.stop()
		b.demand = 40
		b.run(b.scaler, time.Minute)
		require.Equal(t, 6, b.count(savoryloft.OrderActionStart))
		b.demand = 0
		b.run(b.scaler, 30*time.Second)
		require.Zero(t, b.count(savoryloft.OrderActionStop), "a short dip stops nothing")
		b.run(b.scaler, 10*time.Minute)
		require.Equal(t, 5, b.count(savoryloft.OrderActionStop))
	})
}

func TestReclaimedDomainIsReplacedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 50, true)
		defer b.stop()
		b.demand = 28
		b.run(b.scaler, time.Minute)
		cheap := 0
		for _, o := range b.platform.Orders() {
			if o.Order.Reclaimable {
				cheap++
			}
		}
		require.Equal(t, 4, b.count(savoryloft.OrderActionStart))
		require.Equal(t, 2, cheap, "at most half may be reclaimable")
		var kept []savoryloft.ListedInstance
		list, err := (&emulator.Direct{Platform: b.platform}).Instances(context.Background())
		require.NoError(t, err)
		lost := 0
		for _, i := range list {
			if i.Kind == savoryloft.ListedInstanceKindUpstream && i.FailureDomain == "d0" {
				lost++
				continue
			}
			kept = append(kept, i)
		}
		require.Positive(t, lost)
		b.platform.SetInstances(kept)
		b.run(b.scaler, time.Minute)
		require.Equal(t, 4+lost, b.count(savoryloft.OrderActionStart))
	})
}

// The holder dies between announcing an order and its outcome; the next one
// settles it before its own first order.
func TestNewHolderSettlesOpenOrders(t *testing.T) {
	for _, sent := range []bool{true, false} {
		t.Run(fmt.Sprint("sent ", sent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 0, true)
				defer b.stop()
				b.demand = 10
				order := savoryloft.Order{
					ID: "order-of-the-dead", FailureDomain: "d1", Pool: "chat",
					Action: savoryloft.OrderActionStart, Fence: b.holder.fence,
				}
				_, err := b.follower.Publish(context.Background(), savoryloft.Record{
					ID: "intent-dead", Intent: &savoryloft.OrderIntent{Claim: b.holder.fence, Order: order},
				})
				require.NoError(t, err)
				if sent {
					_, err = (&emulator.Direct{Platform: b.platform}).PlaceOrder(context.Background(), order, func() error { return nil })
					require.NoError(t, err)
				}
				next := &holder{}
				b.claim(next, "entry-1", time.Hour)
				b.run(b.newScaler("entry-1", next), time.Minute)
				require.Equal(t, 2, b.count(savoryloft.OrderActionStart))
				require.Empty(t, b.follower.View().Intents)
			})
		})
	}
}

// A holder that is paused between its announcement and the write sends
// nothing once its time has ended.
func TestPausedHolderSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 0, false)
		defer b.stop()
		b.run(b.scaler, 10*time.Second)
		before := len(b.platform.Orders())
		b.demand = 1000
		b.holder.until = time.Now().Add(1100 * time.Millisecond) // Too little for an order.
		b.run(b.scaler, 10*time.Second)
		require.Len(t, b.platform.Orders(), before)
	})
}

// A target that checks fencing numbers refuses an order of an older holder.
func TestOldFenceIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 0, true)
		defer b.stop()
		direct := &emulator.Direct{Platform: b.platform}
		order := savoryloft.Order{ID: "new", FailureDomain: "d0", Pool: "chat", Action: savoryloft.OrderActionStart, Fence: 9}
		_, err := direct.PlaceOrder(context.Background(), order, func() error { return nil })
		require.NoError(t, err)
		order.ID, order.Fence = "old", 8
		_, err = direct.PlaceOrder(context.Background(), order, func() error { return nil })
		require.ErrorIs(t, err, savoryloft.ErrFenced)
	})
}
