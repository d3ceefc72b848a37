package savoryloft

import (
	"context"
	"time"
)

// wakeupGrid is the granularity to which AlignDelay extends delays. The periodic
// tasks of a process then share their wake-ups, which on a small machine take more
// processor time than the tasks.
const wakeupGrid = 50 * time.Millisecond

// AlignDelay extends a delay of at least two steps of wakeupGrid so that it ends
// on the grid, which starts with the process. It returns shorter delays unchanged,
// and all delays under the fake clock of a test: the race detector fails when many
// timers of a synctest bubble expire at the same instant.
func AlignDelay(d time.Duration) time.Duration {
	if elapsed := time.Since(processStart); elapsed >= 0 {
		return alignDelay(elapsed, d)
	}
	return d
}

// alignDelay returns the result of AlignDelay at a time after the process's start.
func alignDelay(elapsed, d time.Duration) time.Duration {
	past := (elapsed + d) % wakeupGrid
	if d < 2*wakeupGrid || past == 0 {
		return d
	}
	return d + wakeupGrid - past
}

// Sleep blocks until d, extended by AlignDelay, has passed or ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(AlignDelay(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
