package server_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/emulator"
)

// After the oldest control records have expired, an instance starts from a
// snapshot and the records after it, and reaches the same state as the others.
func TestStartFromSnapshot(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		f.withdrawKey("b")
		time.Sleep(25 * time.Minute) // Enough for two snapshots.
		f.platform.Expire(savoryloft.StreamControl, 550)
		require.NoError(t, f.stopEntry(2))
		time.Sleep(time.Minute)
		f.startEntry(2)
		f.waitReady()
		require.Eventually(t, func() bool { return len(f.stateHashes()) == 1 }, 5*time.Second, 50*time.Millisecond)
		require.True(t, f.chat(2, apiKeyA, "quotes", "hello", 5).done)
		require.Equal(t, 401, f.chat(2, apiKeyB, "quotes", "hello", 5).status)
	})
}

// While the log is unavailable, an instance starts from the state of a peer.
func TestStartFromPeer(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		f.withdrawKey("b")
		time.Sleep(time.Second)
		f.kill(2)
		f.platform.SetFaults(emulator.PlatformFaults{LogDown: true})
		time.Sleep(30 * time.Second)
		f.startEntry(2)
		f.waitReady()
		require.True(t, f.chat(2, apiKeyA, "quotes", "hello", 5).done)
		require.Equal(t, 401, f.chat(2, apiKeyB, "quotes", "hello", 5).status)
	})
}

// An instance was disconnected for so long that the records after its offset
// have expired. It must catch up from a snapshot.
func TestAbsenceBeyondRetention(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
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
		f.waitReady()
		require.Equal(t, 401, f.chat(2, apiKeyB, "quotes", "hello", 5).status)
		require.True(t, f.chat(2, apiKeyA, "quotes", "hello", 5).done)
	})
}
