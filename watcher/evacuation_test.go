package watcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/faker"
)

const evacuateA = "evacuated-a" // Key of the evacuation of failure domain a.

func (w *fixture) evacuate(inForce bool) {
	var value []byte
	if inForce {
		value = []byte("{}")
	}
	w.log.Set(savoryloft.TopicConfiguration, evacuateA, value)
}

func TestEvacuationHoldsUntilItIsTakenBack(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  func(w *fixture)
		want bool
	}{
		{"taken back", func(w *fixture) { w.evacuate(false) }, false},
		{"other records", func(w *fixture) { w.setVersion(2) }, true},
		{"expired from the log", func(w *fixture) { w.log.ExpireRecords(savoryloft.TopicConfiguration) }, true},
		{"taken back unseen", func(w *fixture) {
			w.log.SetDown(true)
			time.Sleep(time.Second)
			w.evacuate(false)
			w.setVersion(2)
			w.log.ExpireRecords(savoryloft.TopicConfiguration)
			w.log.SetDown(false)
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runFixture(t, func(w *fixture) {
				for id, domain := range map[string]string{"u-a": "a", "u-b": "b"} {
					w.log.Set(savoryloft.TopicRegistry, id, encode(t, savoryloft.RegisteredUpstream{Service: "s", FailureDomain: domain}))
				}
				w.setVersion(1)
				w.evacuate(true)
				time.Sleep(time.Second)
				require.True(t, w.watcher.IsEvacuated("a"))
				upstreams := w.watcher.Upstreams("s")
				require.Len(t, upstreams, 2)
				require.True(t, upstreams[0].Evacuated)
				require.False(t, upstreams[0].Draining)
				require.False(t, upstreams[1].Evacuated)
				tt.end(w)
				time.Sleep(2 * time.Second)
				require.Equal(t, tt.want, w.watcher.IsEvacuated("a"))
				require.Equal(t, tt.want, w.watcher.Upstreams("s")[0].Evacuated)
			})
		})
	}
}

// A restored log may lack an evacuation, or its end, that the operator writes again.
func TestEvacuationHoldsInARestoredLogUntilItIsWrittenAgain(t *testing.T) {
	for _, tt := range []struct {
		name    string
		copied  bool // Whether the copy has the evacuation.
		rewrite func(w *fixture)
		want    bool
	}{
		{"written again", false, func(w *fixture) { w.evacuate(true) }, true},
		{"not written again", false, func(*fixture) {}, false},
		{"the copy has it", true, func(*fixture) {}, true},
		{"its end is written again", true, func(w *fixture) { w.evacuate(false) }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runFixture(t, func(w *fixture) {
				w.setVersion(1)
				copied := w.log.Copy()
				w.evacuate(true)
				if tt.copied {
					copied = w.log.Copy()
				}
				time.Sleep(time.Second)
				w.log.Restore(copied)
				time.Sleep(rewriteTime - 100*time.Millisecond)
				require.True(t, w.watcher.IsEvacuated("a"), "the operator has not had time to write again")
				tt.rewrite(w)
				time.Sleep(rewriteTime)
				require.Equal(t, tt.want, w.watcher.IsEvacuated("a"))
			})
		})
	}
}

// An instance that cannot read the log follows the evacuations of its peers, in whatever
// order their records arrive, and passes on what is new.
func TestEvacuationsAreRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &faker.Log{}
		log.SetDown(true)
		relayed := 0
		w := &Watcher{
			Log: log, Decoder: decoder{}, Logger: logr.Discard(),
			OnEvacuation: func(records []savoryloft.ControlRecord, from string) {
				require.Equal(t, "peer", from)
				require.Len(t, records, 1)
				relayed++
			},
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = w.Run(ctx) }()
		record := func(position int, value string) savoryloft.ControlRecord {
			return savoryloft.ControlRecord{Topic: int(savoryloft.TopicConfiguration), Key: evacuateA, Value: value, Position: position}
		}
		for _, tt := range []struct {
			record  savoryloft.ControlRecord
			want    bool
			relayed int
		}{
			{record(savoryloft.Position(1, 5), "{}"), true, 1},
			{record(savoryloft.Position(1, 5), "{}"), true, 1},
			{record(savoryloft.Position(1, 7), ""), false, 2},
			{record(savoryloft.Position(1, 6), "{}"), false, 2},
			{record(savoryloft.Position(2, 1), "{}"), true, 3},
			{record(savoryloft.Position(1, 8), ""), true, 3},
			{record(savoryloft.Position(2, 1), ""), true, 3},
		} {
			w.ApplyRelayed("peer", []savoryloft.ControlRecord{tt.record})
			require.Equal(t, tt.want, w.IsEvacuated("a"))
			require.Equal(t, tt.relayed, relayed)
		}
		// A peer whose link comes up gets them, whether in force or ended.
		started := &Watcher{Log: log, Decoder: decoder{}, Logger: logr.Discard()}
		started.ApplyRelayed("peer", w.Evacuations())
		require.True(t, started.IsEvacuated("a"))
		w.ApplyRelayed("peer", []savoryloft.ControlRecord{record(savoryloft.Position(2, 3), "")})
		started.ApplyRelayed("peer", w.Evacuations())
		require.False(t, started.IsEvacuated("a"))
		cancel()
		synctest.Wait()
	})
}

// The warm-up counts from when the entry was received, and a later entry replaces it.
func TestWarmUpEndsAsTheLastEntrySays(t *testing.T) {
	runFixture(t, func(w *fixture) {
		register := func(warmUp time.Duration) {
			w.log.Set(savoryloft.TopicRegistry, "u", encode(t, savoryloft.RegisteredUpstream{Service: "s", WarmUp: warmUp}))
		}
		for _, warmUp := range []time.Duration{3 * time.Second, 3 * time.Second, time.Second, 0, 2 * time.Second} {
			before := savoryloft.Uptime()
			register(warmUp)
			time.Sleep(time.Second)
			u, ok := w.watcher.Upstream("u")
			require.True(t, ok)
			require.Equal(t, u, w.watcher.Upstreams("s")[0])
			if warmUp == 0 {
				require.Zero(t, u.WarmUpEnd)
				continue
			}
			require.GreaterOrEqual(t, u.WarmUpEnd, before+warmUp)
			require.LessOrEqual(t, u.WarmUpEnd, savoryloft.Uptime()+warmUp)
		}
		_, ok := w.watcher.Upstream("other")
		require.False(t, ok)
	})
}
