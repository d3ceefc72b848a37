package watcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/faker"
)

func (w *fixture) setVersion(version int) {
	w.log.Set(savoryloft.TopicConfiguration, "config", encode(w.t, savoryloft.Configuration{Version: version}))
}

// age returns the age of the configuration, or an hour if it was never known to be
// up to date.
func (w *fixture) age() time.Duration {
	age, ok := w.watcher.Age(savoryloft.TopicConfiguration)
	if !ok {
		return time.Hour
	}
	return age
}

// pollTime is more than the age that a configuration can reach between two polls,
// which count from when they are sent, and than the time to read a new record.
const pollTime = 2*configurationPollTimeout + 2*readCheckInterval

// A restored log may lack the configuration in force, and gives out offsets again.
// The configuration must not go back, must not count as confirmed by the copy, and a
// newer one must be in force soon, whatever its offset.
func TestRestoredLogLacksTheConfigurationInForce(t *testing.T) {
	runFixture(t, func(w *fixture) {
		w.setVersion(1)
		time.Sleep(pollTime)
		copied := w.log.Copy()
		for v := 2; v <= 5; v++ {
			w.setVersion(v)
		}
		time.Sleep(pollTime)
		require.Equal(t, 5, w.watcher.Version())
		require.Less(t, w.age(), pollTime)
		w.log.Restore(copied)
		time.Sleep(4 * time.Second)
		require.Equal(t, 5, w.watcher.Version())
		require.Greater(t, w.age(), 3*time.Second, "the copy does not confirm what it lacks")
		w.setVersion(5) // Written again.
		time.Sleep(pollTime)
		require.Less(t, w.age(), pollTime)
		w.setVersion(6)
		time.Sleep(pollTime)
		require.Equal(t, 6, w.watcher.Version())
	})
}

// An instance that had not read the newest configuration before a restore finds an
// older one in the copy. It must not take that for the newest before the operator
// has had time to write again, or as long as a peer has a newer one.
func TestRestoredLogDoesNotConfirmAnOlderConfiguration(t *testing.T) {
	for _, tt := range []struct {
		name       string
		peer       int // Version at a peer.
		afterGrace bool
	}{
		{"no peer knows more", 0, true},
		{"a peer knows more", 3, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runFixture(t, func(w *fixture) {
				w.setVersion(2)
				time.Sleep(pollTime)
				if tt.peer > 0 {
					w.watcher.ObserveVersion(tt.peer)
				}
				w.log.Restore(w.log.Copy())
				time.Sleep(rewriteTime - 100*time.Millisecond)
				require.Greater(t, w.age(), rewriteTime-pollTime)
				time.Sleep(2 * pollTime)
				require.Equal(t, tt.afterGrace, w.age() < pollTime, "age %s", w.age())
				w.setVersion(3)
				time.Sleep(pollTime)
				require.Equal(t, 3, w.watcher.Version())
				require.Less(t, w.age(), pollTime)
			})
		})
	}
}

// Entries of the registry that a restored log lacks, or has as they were before, do
// not replace what was known: a present upstream stays for the time in which it
// writes again, and one that drains or is gone gets no work until it says so anew.
func TestRestoredLogHasAnOlderRegistry(t *testing.T) {
	runFixture(t, func(w *fixture) {
		set := func(id string, draining bool) {
			w.log.Set(savoryloft.TopicRegistry, id, encode(t, savoryloft.RegisteredUpstream{Service: "s", Draining: draining}))
		}
		ready := func() (ids []string) {
			for _, u := range w.watcher.Upstreams("s") {
				if !u.Draining {
					ids = append(ids, u.ID)
				}
			}
			return ids
		}
		for _, id := range []string{"drains", "gone", "stays"} {
			set(id, false)
		}
		time.Sleep(time.Second)
		copied := w.log.Copy()
		set("drains", true)
		w.log.Set(savoryloft.TopicRegistry, "gone", nil)
		set("new", false)
		set("lost", false)
		time.Sleep(time.Second)
		require.Equal(t, []string{"lost", "new", "stays"}, ready())
		w.log.Restore(copied)
		time.Sleep(recoveryGrace - 100*time.Millisecond)
		require.Equal(t, []string{"lost", "new", "stays"}, ready(), "what the copy says of the others is older")
		set("new", false)
		set("stays", false)
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"new", "stays"}, ready(), "what was not written again is gone")
		set("drains", false)
		set("gone", false)
		time.Sleep(time.Second)
		require.Equal(t, []string{"drains", "gone", "new", "stays"}, ready(), "they say so anew")
	})
}

// A record from the copy that this instance had not read yet is news to it.
func TestRestoredLogShowsRecordsThatWereNotRead(t *testing.T) {
	runFixture(t, func(w *fixture) {
		value := encode(t, savoryloft.RegisteredUpstream{Service: "s"})
		w.log.Set(savoryloft.TopicRegistry, "u", value)
		time.Sleep(time.Second)
		w.log.SetDown(true)
		time.Sleep(time.Second)
		w.log.Set(savoryloft.TopicRegistry, "u", encode(t, savoryloft.RegisteredUpstream{Service: "s", Draining: true}))
		w.log.Restore(w.log.Copy())
		w.log.SetDown(false)
		time.Sleep(2 * time.Second)
		require.True(t, w.watcher.Upstreams("s")[0].Draining)
	})
}

// A response that was made before a restore and arrives after it must be dropped: it
// neither confirms the configuration nor brings records that the log has lost.
func TestLateResponseOfAnEarlierEraIsDropped(t *testing.T) {
	runFixture(t, func(w *fixture) {
		w.setVersion(1)
		time.Sleep(pollTime)
		copied := w.log.Copy()
		w.watcher.ObserveEra(2) // Told by a peer; the responses of the log are older.
		w.log.Set(savoryloft.TopicRegistry, "lost", encode(t, savoryloft.RegisteredUpstream{Service: "s"}))
		before := w.age()
		time.Sleep(3 * time.Second)
		require.Greater(t, w.age(), before+2*time.Second)
		require.Empty(t, w.watcher.Upstreams("s"))
		w.log.Restore(copied)
		time.Sleep(pollTime)
		require.Less(t, w.age(), pollTime)
		require.Empty(t, w.watcher.Upstreams("s"))
	})
}

// An instance that starts after a restore does not know what the log has lost.
func TestNewInstanceAfterARestore(t *testing.T) {
	log := &faker.Log{}
	log.Set(savoryloft.TopicConfiguration, "config", encode(t, savoryloft.Configuration{Version: 1}))
	log.Restore(log.Copy())
	runFixtureOn(t, log, func(w *fixture) {
		time.Sleep(time.Second)
		require.Equal(t, 1, w.watcher.Version())
		require.Equal(t, time.Hour, w.age())
		time.Sleep(rewriteTime)
		require.Less(t, w.age(), pollTime)
	})
}
