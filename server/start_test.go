package server_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/emulator"
)

// An instance starts from a snapshot and the tail once older records have
// expired, and holds the same state as the others.
func TestStartFromSnapshot(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.withdrawKey("b")
		time.Sleep(25 * time.Minute) // Two snapshots.
		f.platform.Expire(savoryloft.StreamControl, 550)
		require.NoError(t, f.stopEntry(2))
		time.Sleep(time.Minute)
		f.startEntry(2)
		f.awaitReady()
		require.Eventually(t, func() bool { return len(f.hashes()) == 1 }, 5*time.Second, 50*time.Millisecond)
		require.True(t, f.chat(2, secretA, "quotes", "hello", 5).done)
		require.Equal(t, 401, f.chat(2, secretB, "quotes", "hello", 5).status)
	})
}

// While the log is out, an instance starts from a peer's state.
func TestStartFromPeer(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.withdrawKey("b")
		time.Sleep(time.Second)
		f.kill(2)
		f.platform.SetFaults(emulator.PlatformFaults{LogDown: true})
		time.Sleep(30 * time.Second)
		f.startEntry(2)
		f.awaitReady()
		require.True(t, f.chat(2, secretA, "quotes", "hello", 5).done)
		require.Equal(t, 401, f.chat(2, secretB, "quotes", "hello", 5).status)
	})
}

// An instance that was cut off until its place in the log had expired catches
// up from a snapshot, and its offset never goes back.
func TestAbsenceBeyondRetention(t *testing.T) {
	run(t, 3, func(f *fleet) {
		for _, h := range []string{platformHost, entryName(0), entryName(1)} {
			f.network.Partition(entryName(2), h)
		}
		f.withdrawKey("b")
		time.Sleep(25 * time.Minute)
		f.platform.Expire(savoryloft.StreamControl, 550)
		for _, h := range []string{platformHost, entryName(0), entryName(1)} {
			f.network.HealPartition(entryName(2), h)
		}
		time.Sleep(10 * time.Second)
		f.awaitReady()
		require.Equal(t, 401, f.chat(2, secretB, "quotes", "hello", 5).status)
		require.True(t, f.chat(2, secretA, "quotes", "hello", 5).done)
	})
}
