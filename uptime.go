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

// suspended returns the time for which the machine has been suspended.
func suspended() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	d := time.Duration(boot.Nano() - steady.Nano())
	if d < suspendedResolution {
		return 0
	}
	return d
}

// suspendedResolution hides the time between the two clock readings.
const suspendedResolution = 5 * time.Millisecond
