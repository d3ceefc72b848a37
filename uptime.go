package savoryloft

import (
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

var (
	processStart = time.Now()
	machineClock = newBootClock(readBootTime)
)

// Uptime returns the time since the process started, including time for which
// the machine was suspended. Go's monotonic clock excludes that time, so ages
// on which a guarantee depends must be measured with Uptime.
func Uptime() time.Duration {
	if d := time.Since(processStart); d < 0 {
		return d + testShift
	}
	return machineClock.elapsed()
}

// testShift keeps the uptime positive in tests whose fake clock starts in the
// year 2000. Outside of such tests the time since the start is never negative.
const testShift = 100 * 365 * 24 * time.Hour

// bootClock measures the time since its creation by CLOCK_BOOTTIME.
type bootClock struct {
	read   func() (nanoseconds int64, err error)
	start  int64
	latest atomic.Int64 // Largest result so far, in nanoseconds.
}

func newBootClock(read func() (int64, error)) *bootClock {
	c := &bootClock{read: read}
	// Linux has had the clock since 2.6.39. If it can not be read, the uptime stays
	// at 0, and everything that needs a recent confirmation is refused.
	c.start, _ = read()
	return c
}

// elapsed returns the time since the clock's creation. The result never decreases.
// If the clock can not be read, it is the latest result.
func (c *bootClock) elapsed() time.Duration {
	now, err := c.read()
	latest := c.latest.Load()
	for d := now - c.start; err == nil && d > latest; latest = c.latest.Load() {
		if c.latest.CompareAndSwap(latest, d) {
			return time.Duration(d)
		}
	}
	return time.Duration(latest)
}

func readBootTime() (int64, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, errors.Annotate(err, "read clock")
	}
	return t.Nano(), nil
}
