package savoryloft

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Periodic tasks with different intervals must share their wake-ups, and none may
// wake up early.
func TestPeriodicTasksShareWakeups(t *testing.T) {
	const length = 10 * time.Second
	wakeups := map[time.Duration]bool{}
	for _, interval := range []time.Duration{100, 110, 200, 250} {
		for at := time.Duration(0); at < length; {
			d := alignDelay(at, interval*time.Millisecond)
			require.GreaterOrEqual(t, d, interval*time.Millisecond)
			require.Less(t, d, interval*time.Millisecond+wakeupGrid)
			at += d
			wakeups[at] = true
		}
	}
	require.LessOrEqual(t, len(wakeups), int(length/wakeupGrid)+4)
}

func TestShortDelaysAreExact(t *testing.T) {
	for _, d := range []time.Duration{0, time.Millisecond, 99 * time.Millisecond} {
		require.Equal(t, d, AlignDelay(d))
	}
}

func TestAlignDelayUsesTheGridOfTheProcess(t *testing.T) {
	require.GreaterOrEqual(t, AlignDelay(time.Second), time.Second)
	require.Less(t, AlignDelay(time.Second), time.Second+wakeupGrid)
}
