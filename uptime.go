package savoryloft

import (
	"time"

	"golang.org/x/sys/unix"
)

var (
	processStart   = time.Now()
	suspendedStart = suspended()
)

// Uptime returns the time since the process started, including time for which
// the machine was suspended. Go's monotonic clock leaves that out, so an age
// that guards a promise has to be measured with Uptime.
func Uptime() time.Duration {
	d := time.Since(processStart)
	if d < 0 {
		d += testShift
	}
	return d + suspended() - suspendedStart
}

// testShift keeps uptimes positive in tests whose paused clock starts in the
// year 2000; a running process has no negative uptime.
const testShift = 100 * 365 * 24 * time.Hour

// suspended returns the time for which the machine has been suspended. A
// process that is preempted between the readings must not take that for a
// suspension, so they are repeated until they lie close together.
func suspended() time.Duration {
	var before, boot, after unix.Timespec
	for range clockReadings {
		if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil ||
			unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil ||
			unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
			return 0
		}
		if time.Duration(after.Nano()-before.Nano()) < suspendedResolution {
			break
		}
	}
	d := time.Duration(boot.Nano() - after.Nano())
	if d < suspendedResolution {
		return 0
	}
	return d
}

const clockReadings = 5 // Preempted each time only on a machine that is far too busy.

// suspendedResolution hides the time between the two clock readings.
const suspendedResolution = 5 * time.Millisecond
