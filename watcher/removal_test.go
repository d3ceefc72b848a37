package watcher

import (
	"context"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/faker"
)

// Guards against requests to an upstream that is gone, at an instance whose peers have
// deferred its removal.
func TestDeferredRemovalReachesPeers(t *testing.T) {
	for _, tt := range []struct {
		name   string
		remove func(w *fixture)
	}{
		{"missing from the list", func(w *fixture) {
			w.log.Set(savoryloft.TopicRegistry, "a", nil)
			w.log.ExpireRecords(savoryloft.TopicRegistry)
		}},
		{"read as a record", func(w *fixture) { w.log.Set(savoryloft.TopicRegistry, "a", nil) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runFixture(t, func(w *fixture) {
				peer := &Watcher{Decoder: decoder{}, Logger: logr.Discard()}
				w.watcher.OnChange = func(records []savoryloft.ControlRecord, _ string) { peer.ApplyRelayed("reader", records) }
				w.setUpstream("a")
				w.setUpstream("b")
				time.Sleep(time.Second)
				require.Len(t, peer.Upstreams("s"), 2)
				w.log.SetDown(true)
				time.Sleep(5 * time.Second)
				tt.remove(w)
				w.log.SetDown(false)
				time.Sleep(1200 * time.Millisecond)
				require.Equal(t, 2, w.upstreams(), "it may only have lapsed in the outage")
				peer.ApplyRelayed("reader", w.watcher.RecordsSince(0, -1)) // As when a link comes up.
				require.Len(t, peer.Upstreams("s"), 2)
				time.Sleep(recoveryGrace)
				require.Equal(t, 1, w.upstreams())
				require.Len(t, peer.Upstreams("s"), 1)
			})
		})
	}
}

// Guards against requests to an upstream that is gone, at an instance that has read the log
// since and is sent the entry by a peer that has missed the removal.
func TestOwnReadOutweighsEarlierRelayedRecords(t *testing.T) {
	runFixture(t, func(w *fixture) {
		w.setUpstream("removed")
		w.log.Set(savoryloft.TopicRegistry, "removed", nil)
		w.setUpstream("a")
		w.log.ExpireRecords(savoryloft.TopicRegistry)
		time.Sleep(time.Second)
		require.Equal(t, 1, w.upstreams())
		value := string(encode(t, savoryloft.RegisteredUpstream{Service: "s", Address: "10.0.0.1:1"}))
		relay := func(offset int) {
			w.watcher.ApplyRelayed("peer", []savoryloft.ControlRecord{
				{Topic: int(savoryloft.TopicRegistry), Key: "removed", Value: value, Position: savoryloft.Position(w.log.Era(), offset)},
			})
		}
		relay(0)
		require.Equal(t, 1, w.upstreams())
		relay(3)
		require.Equal(t, 2, w.upstreams(), "it has registered again")
	})
}

// Guards against requests to an upstream that is gone, at an instance that takes its own
// troubles for an outage of the log.
func TestRemovalIsDeferredOnlyAfterAnOutage(t *testing.T) {
	for _, tt := range []struct {
		name  string
		limit time.Duration // Within which a change must take effect.
		// run calls relay until the time at which the upstream is removed.
		run func(w *fixture, rank *atomic.Int64, relay func())
	}{
		{"the reader has failed", 2 * time.Second, func(_ *fixture, rank *atomic.Int64, _ func()) {
			rank.Store(0)
		}},
		{"a read has failed long ago", 2 * time.Second, func(w *fixture, rank *atomic.Int64, relay func()) {
			w.log.SetDown(true)
			time.Sleep(2 * time.Second)
			w.log.SetDown(false)
			for range 40 {
				relay()
				time.Sleep(100 * time.Millisecond)
			}
			rank.Store(0)
		}},
		{"no peer is there", 3 * time.Second, func(*fixture, *atomic.Int64, func()) {}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				var rank atomic.Int64
				rank.Store(math.MaxInt32)
				log := &faker.Log{}
				w := &fixture{t, log, &Watcher{
					Log: log, Decoder: decoder{}, Logger: logr.Discard(), ReaderRank: func() int { return int(rank.Load()) },
					PropagationLimits: [2]time.Duration{tt.limit, tt.limit},
				}}
				w.setUpstream("a")
				w.setUpstream("b")
				go func() { _ = w.watcher.Run(ctx) }()
				time.Sleep(time.Second)
				relay := func() {
					for _, topic := range []savoryloft.Topic{savoryloft.TopicConfiguration, savoryloft.TopicRegistry} {
						w.watcher.MarkUpToDate(topic, savoryloft.Uptime())
					}
				}
				relay()
				tt.run(w, &rank, relay)
				require.Equal(t, 2, w.upstreams())
				w.log.Set(savoryloft.TopicRegistry, "a", nil)
				time.Sleep(tt.limit * 8 / 10)
				require.Equal(t, 1, w.upstreams())
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against changes that take effect late at an instance that the log serves although
// it refuses all instances that read it for the others.
func TestChangesTakeEffectInTimeAlthoughTheReadersAreRefused(t *testing.T) {
	const limit, rounds = 3 * time.Second, 20
	for range rounds { // The time of the first read is random.
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			log := &faker.Log{}
			w := &fixture{t, log, &Watcher{
				Log: log, Decoder: decoder{}, Logger: logr.Discard(), ReaderRank: func() int { return math.MaxInt },
				ReadersFail: func() bool { return true }, PropagationLimits: [2]time.Duration{limit, limit},
			}}
			w.setUpstream("a")
			w.setUpstream("b")
			w.setVersion(1)
			go func() { _ = w.watcher.Run(ctx) }()
			for range 15 { // Longer than a success of its own counts.
				time.Sleep(time.Second)
				for _, topic := range []savoryloft.Topic{savoryloft.TopicConfiguration, savoryloft.TopicRegistry} {
					w.watcher.MarkUpToDate(topic, savoryloft.Uptime())
				}
			}
			w.setVersion(2)
			w.log.Set(savoryloft.TopicRegistry, "a", nil)
			time.Sleep(limit * 8 / 10)
			version, upstreams := w.watcher.Version(), w.upstreams()
			cancel()
			synctest.Wait()
			require.Equal(t, 2, version)
			require.Equal(t, 1, upstreams)
		})
	}
}
