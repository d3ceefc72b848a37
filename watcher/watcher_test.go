package watcher

import (
	"context"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/faker"
)

// decoder decodes the types of package savoryloft from JSON.
type decoder struct{}

func (decoder) EvacuatedDomain(key string) (string, bool) {
	return strings.CutPrefix(key, "evacuated-")
}

func (decoder) ConfigurationKey() string { return "config" }

func (decoder) Configuration(value []byte) (savoryloft.Configuration, error) {
	var c savoryloft.Configuration
	err := json.Unmarshal(value, &c)
	if err == nil && c.Version == 0 {
		err = errors.New("no version")
	}
	return c, err
}

func (decoder) Upstream(id string, value []byte) (savoryloft.RegisteredUpstream, error) {
	var u savoryloft.RegisteredUpstream
	err := json.Unmarshal(value, &u)
	u.ID = id
	return u, err
}

func encode(t *testing.T, v any) []byte {
	data, err := json.Marshal(v)
	require.NoError(t, err)
	return data
}

type fixture struct {
	t       *testing.T
	log     *faker.Log
	watcher *Watcher
}

// runFixture runs f in a synctest bubble with a watcher that reads the log itself.
func runFixture(t *testing.T, f func(w *fixture)) { runFixtureOn(t, &faker.Log{}, f) }

// runFixtureOn is runFixture with a log that has records already.
func runFixtureOn(t *testing.T, log *faker.Log, f func(w *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := &Watcher{Log: log, Decoder: decoder{}, Logger: logr.Discard()}
		go func() { _ = w.Run(ctx) }()
		f(&fixture{t, log, w})
		cancel()
		synctest.Wait()
	})
}

func (w *fixture) setUpstream(id string) {
	w.log.Set(savoryloft.TopicRegistry, id, encode(w.t, savoryloft.RegisteredUpstream{Service: "s", Address: "10.0.0.1:1"}))
}

func (w *fixture) upstreams() int { return len(w.watcher.Upstreams("s")) }

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	runFixture(t, func(w *fixture) {
		for _, tt := range []struct {
			value   []byte
			version int
		}{
			{encode(t, savoryloft.Configuration{Version: 7}), 7},
			{encode(t, savoryloft.Configuration{Version: 9}), 9},
			{encode(t, savoryloft.Configuration{Version: 8}), 9},
			{[]byte("{malformed"), 9},
			{encode(t, savoryloft.Configuration{Version: 12}), 12},
		} {
			w.log.Set(savoryloft.TopicConfiguration, "config", tt.value)
			time.Sleep(time.Second)
			require.Equal(t, tt.version, w.watcher.Version())
		}
	})
}

func TestAgeGrowsOnlyWhileTheLogIsDown(t *testing.T) {
	runFixture(t, func(w *fixture) {
		time.Sleep(2 * time.Second)
		age, ok := w.watcher.Age(savoryloft.TopicConfiguration)
		require.True(t, ok)
		require.Less(t, age, time.Second)
		w.log.SetDown(true)
		time.Sleep(4 * time.Second)
		age, _ = w.watcher.Age(savoryloft.TopicConfiguration)
		require.Greater(t, age, 3*time.Second)
		require.True(t, w.watcher.LogUnreachable())
		w.log.SetDown(false)
		time.Sleep(2 * time.Second)
		age, _ = w.watcher.Age(savoryloft.TopicConfiguration)
		require.Less(t, age, time.Second)
		require.False(t, w.watcher.LogUnreachable())
	})
}

func TestEntriesThatExpireInAnOutageAreKeptForAGracePeriod(t *testing.T) {
	runFixture(t, func(w *fixture) {
		w.setUpstream("renewed")
		w.setUpstream("expired")
		time.Sleep(time.Second)
		require.Equal(t, 2, w.upstreams())
		w.log.SetDown(true)
		time.Sleep(3 * time.Second)
		w.log.Set(savoryloft.TopicRegistry, "renewed", nil)
		w.log.Set(savoryloft.TopicRegistry, "expired", nil)
		w.log.SetDown(false)
		time.Sleep(time.Second)
		require.Equal(t, 2, w.upstreams())
		w.setUpstream("renewed")
		time.Sleep(2500 * time.Millisecond)
		require.Equal(t, 1, w.upstreams())
		require.Equal(t, "renewed", w.watcher.Upstreams("s")[0].ID)
	})
}

func TestRemovedEntriesDisappearImmediately(t *testing.T) {
	runFixture(t, func(w *fixture) {
		w.setUpstream("a")
		time.Sleep(time.Second)
		w.log.Set(savoryloft.TopicRegistry, "a", nil)
		time.Sleep(time.Second)
		require.Zero(t, w.upstreams())
	})
}

func TestExpiredHistoryRemovesMissingEntries(t *testing.T) {
	runFixture(t, func(w *fixture) {
		w.setUpstream("a")
		w.setUpstream("b")
		time.Sleep(time.Second)
		w.log.Set(savoryloft.TopicRegistry, "a", nil)
		w.log.ExpireRecords(savoryloft.TopicRegistry)
		time.Sleep(time.Second)
		require.Equal(t, 1, w.upstreams())
		require.Equal(t, "b", w.watcher.Upstreams("s")[0].ID)
	})
}

// A relayed removal must take effect immediately, and the removal of an unknown
// key must count as read. An instance that joined late did not have the upstreams
// removed earlier, mistook a relayed removal for an entry that expired in an
// outage, and kept sending requests to the upstream.
func TestRelayedRemovalTakesEffectImmediatelyAtALateJoiner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		value := string(encode(t, savoryloft.RegisteredUpstream{Service: "s", Address: "10.0.0.1:1"}))
		w := &Watcher{Log: &faker.Log{}, Decoder: decoder{}, Logger: logr.Discard(), ReaderRank: func() int { return math.MaxInt }}
		registry := int(savoryloft.TopicRegistry)
		w.ApplyRelayed("peer", []savoryloft.ControlRecord{
			{Topic: registry, Key: "removed earlier", Position: 40},
			{Topic: registry, Key: "a", Value: value, Position: 23},
		})
		require.Len(t, w.Upstreams("s"), 1)
		_, read := w.RegistryPositions()
		require.Equal(t, 40, read, "the removal of an unknown key advances the read offset")
		time.Sleep(5 * time.Second)
		w.ApplyRelayed("peer", []savoryloft.ControlRecord{{Topic: registry, Key: "a", Position: 44}})
		require.Empty(t, w.Upstreams("s"))
		w.ApplyRelayed("peer", []savoryloft.ControlRecord{{Topic: registry, Key: "a", Value: value, Position: 23}})
		require.Empty(t, w.Upstreams("s"), "an older record changes nothing")
	})
}

// Guards against requests to a removed upstream whose relayed removal was dropped.
func TestRelayedRemovalEndsTheGracePeriod(t *testing.T) {
	runFixture(t, func(w *fixture) {
		w.setUpstream("a")
		time.Sleep(time.Second)
		require.Equal(t, 1, w.upstreams())
		w.log.SetDown(true)
		time.Sleep(5 * time.Second)
		w.log.SetDown(false)
		time.Sleep(time.Second)
		w.log.Set(savoryloft.TopicRegistry, "a", nil)
		time.Sleep(400 * time.Millisecond)
		require.Equal(t, 1, w.upstreams(), "it may only have lapsed in the outage")
		_, read := w.watcher.RegistryPositions()
		w.watcher.ApplyRelayed("peer", []savoryloft.ControlRecord{{Topic: int(savoryloft.TopicRegistry), Key: "a", Position: read}})
		require.Zero(t, w.upstreams())
	})
}

func TestNonReadersReadTheLogWhenRelayedDataIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		log := &faker.Log{}
		w := &Watcher{
			Log: log, Decoder: decoder{}, Logger: logr.Discard(), ReaderRank: func() int { return math.MaxInt },
			PropagationLimits: [2]time.Duration{2 * time.Second, 2 * time.Second},
		}
		go func() { _ = w.Run(ctx) }()
		time.Sleep(time.Second)
		for range 20 {
			w.MarkUpToDate(savoryloft.TopicConfiguration, savoryloft.Uptime())
			w.MarkUpToDate(savoryloft.TopicRegistry, savoryloft.Uptime())
			time.Sleep(500 * time.Millisecond)
		}
		before := log.Calls()
		require.LessOrEqual(t, before, 6, "relayed data is recent enough")
		log.Set(savoryloft.TopicConfiguration, "config", encode(t, savoryloft.Configuration{Version: 3}))
		time.Sleep(2 * time.Second)
		require.Equal(t, 3, w.Version(), "in force within the limit although no peer relays it")
		cancel()
		synctest.Wait()
	})
}

// In an outage the calls to the log must not grow with the fleet: instances whose
// readers say that they cannot read it only probe it, and go on reading where it
// serves them.
func TestOutageCallsOfNonReaders(t *testing.T) {
	for _, tt := range []struct {
		name               string
		readersFail        bool
		down               bool
		minCalls, maxCalls int
	}{
		{"readers fail too", true, true, 4, 30},
		{"readers do not say so", false, true, 60, 1000},
		{"the log serves this instance", true, false, 20, 1000},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				log := &faker.Log{}
				log.SetDown(tt.down)
				w := &Watcher{
					Log: log, Decoder: decoder{}, Logger: logr.Discard(), ReaderRank: func() int { return math.MaxInt },
					ReadersFail:       func() bool { return tt.readersFail },
					PropagationLimits: [2]time.Duration{2 * time.Second, 2 * time.Second},
				}
				for _, topic := range []savoryloft.Topic{savoryloft.TopicConfiguration, savoryloft.TopicRegistry} {
					w.MarkUpToDate(topic, savoryloft.Uptime())
				}
				go func() { _ = w.Run(ctx) }()
				const length = 40 * time.Second
				time.Sleep(length)
				require.GreaterOrEqual(t, log.Calls(), tt.minCalls)
				require.LessOrEqual(t, log.Calls(), tt.maxCalls)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// An instance that has just started waits for the copy of a reader, and reads the
// log if none comes.
func TestNewInstanceWaitsForItsReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		log := &faker.Log{}
		log.Set(savoryloft.TopicConfiguration, "config", encode(t, savoryloft.Configuration{Version: 3}))
		const patience = time.Second
		w := &Watcher{
			Log: log, Decoder: decoder{}, Logger: logr.Discard(), ReaderRank: func() int { return math.MaxInt }, RelayPatience: patience,
		}
		go func() { _ = w.Run(ctx) }()
		require.Nil(t, w.AwaitTable(ctx, patience/2))
		require.Zero(t, log.Calls())
		started := time.Now()
		require.Equal(t, 3, w.AwaitTable(ctx, time.Minute).Version)
		require.Less(t, time.Since(started), patience)
		cancel()
		synctest.Wait()
	})
}

// What an upstream says of its leaving outweighs the registry until that shows a
// later start under its ID.
func TestLeavingUpstreamsDrain(t *testing.T) {
	record := func(startedAt, offset int) []savoryloft.ControlRecord {
		value := encode(t, savoryloft.RegisteredUpstream{Service: "s", StartedAtMs: startedAt})
		return []savoryloft.ControlRecord{{Topic: int(savoryloft.TopicRegistry), Key: "u", Value: string(value), Position: offset}}
	}
	w := &Watcher{Decoder: decoder{}, Logger: logr.Discard()}
	draining := func() bool { return w.Upstreams("s")[0].Draining }
	w.ApplyRelayed("peer", record(1000, 1))
	require.False(t, draining())
	w.MarkLeaving(w.Upstreams("s")[0])
	require.True(t, draining())
	w.ApplyRelayed("peer", record(1000, 2))
	require.True(t, draining())
	list, cursor := w.LeavingSince(0)
	require.Equal(t, []savoryloft.LeavingUpstream{{Upstream: "u", StartedAt: 1000}}, list)
	w.MergeLeaving(list) // Told again by a peer.
	list, cursor = w.LeavingSince(cursor)
	require.Empty(t, list)
	w.ApplyRelayed("peer", record(2000, 3))
	require.False(t, draining())
	w.MergeLeaving([]savoryloft.LeavingUpstream{{Upstream: "u", StartedAt: 1000}})
	require.False(t, draining(), "a peer's word about the earlier start")
	w.MarkLeaving(w.Upstreams("s")[0])
	list, _ = w.LeavingSince(cursor)
	require.Equal(t, []savoryloft.LeavingUpstream{{Upstream: "u", StartedAt: 2000}}, list)
}

func TestRecordsSinceReturnsMissingRecords(t *testing.T) {
	runFixture(t, func(w *fixture) {
		w.setUpstream("a")
		w.setUpstream("b")
		w.log.Set(savoryloft.TopicConfiguration, "config", encode(t, savoryloft.Configuration{Version: 5}))
		time.Sleep(time.Second)
		require.Len(t, w.watcher.RecordsSince(0, -1), 3)
		require.Len(t, w.watcher.RecordsSince(5, savoryloft.Position(1, 0)), 1)
		require.Empty(t, w.watcher.RecordsSince(5, savoryloft.Position(1, 1)))
	})
}

// Guards against requests that are suspected because an upstream has left, or that are
// not because an upstream that ended has started again.
func TestEndOfAnUpstreamFromTheRegistry(t *testing.T) {
	u := savoryloft.RegisteredUpstream{Service: "s", Address: "10.0.0.1:1", StartedAtMs: 1000}
	with := func(change func(u *savoryloft.RegisteredUpstream)) savoryloft.RegisteredUpstream {
		changed := u
		change(&changed)
		return changed
	}
	later := with(func(u *savoryloft.RegisteredUpstream) { u.StartedAtMs = 2000 })
	draining := with(func(u *savoryloft.RegisteredUpstream) { u.Draining = true })
	for _, tt := range []struct {
		name   string
		change func(w *fixture)
		leaves bool // It has said so in a response.
		want   bool
	}{
		{"unchanged", func(*fixture) {}, false, false},
		{"started again", func(w *fixture) { w.register("u", later) }, false, true},
		{"another one at its address", func(w *fixture) { w.register("v", later) }, false, true},
		{"another one elsewhere", func(w *fixture) {
			w.register("v", with(func(u *savoryloft.RegisteredUpstream) { u.Address, u.StartedAtMs = "10.0.0.2:1", 2000 }))
		}, false, false},
		{"lapsed", func(w *fixture) { w.log.Set(savoryloft.TopicRegistry, "u", nil) }, false, true},
		{"drains", func(w *fixture) { w.register("u", draining) }, false, false},
		{"has drained", func(w *fixture) {
			w.register("u", draining)
			time.Sleep(time.Second)
			w.log.Set(savoryloft.TopicRegistry, "u", nil)
		}, false, false},
		{"has drained, with an odd entry at last", func(w *fixture) {
			w.register("u", draining)
			time.Sleep(time.Second)
			w.log.Set(savoryloft.TopicRegistry, "u", []byte("{odd"))
			time.Sleep(time.Second)
			w.log.Set(savoryloft.TopicRegistry, "u", nil)
		}, false, false},
		{"odd entry", func(w *fixture) { w.log.Set(savoryloft.TopicRegistry, "u", []byte("{odd")) }, false, false},
		{"odd entry that lapsed", func(w *fixture) {
			w.log.Set(savoryloft.TopicRegistry, "u", []byte("{odd"))
			time.Sleep(time.Second)
			w.log.Set(savoryloft.TopicRegistry, "u", nil)
		}, false, true},
		{"has left", func(w *fixture) { w.log.Set(savoryloft.TopicRegistry, "u", nil) }, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runFixture(t, func(w *fixture) {
				w.register("u", u)
				time.Sleep(time.Second)
				known := w.watcher.Upstreams("s")[0]
				if tt.leaves {
					w.watcher.MarkLeaving(known)
				}
				tt.change(w)
				time.Sleep(time.Second)
				require.Equal(t, tt.want, w.watcher.HasEnded(known))
			})
		})
	}
}

func (w *fixture) register(id string, u savoryloft.RegisteredUpstream) {
	w.log.Set(savoryloft.TopicRegistry, id, encode(w.t, u))
}
