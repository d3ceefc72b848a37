package savoryloft

import (
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

var (
	processStart      = time.Now()
	machineSuspension = &suspensionMeter{read: readClocks}
	suspendedStart    = machineSuspension.total()
)

// Uptime returns the time since the process started, including time for which
// the machine was suspended. Go's monotonic clock excludes that time, so ages
// on which a guarantee depends must be measured with Uptime.
func Uptime() time.Duration {
	d := time.Since(processStart)
	if d < 0 {
		d += testShift
	}
	return d + machineSuspension.total() - suspendedStart
}

// testShift keeps the uptime positive in tests whose fake clock starts in the
// year 2000. Outside of such tests the uptime is never negative.
const testShift = 100 * 365 * 24 * time.Hour

// suspensionMeter measures the time for which the machine has been suspended as
// the difference between CLOCK_BOOTTIME, which includes suspension, and
// CLOCK_MONOTONIC, which does not.
type suspensionMeter struct {
	// read reads CLOCK_MONOTONIC, CLOCK_BOOTTIME and CLOCK_MONOTONIC again, in
	// nanoseconds.
	read    func() (before, boottime, after int64, err error)
	longest atomic.Int64 // Largest total measured so far, in nanoseconds.
}

// total returns the total time for which the machine has been suspended. It
// compares CLOCK_BOOTTIME with the second reading of CLOCK_MONOTONIC, so that
// preemption between two readings isn't counted as suspension; it can only make
// the result too small. The result never decreases, so that Uptime does not go
// backwards.
func (m *suspensionMeter) total() time.Duration {
	for range clockReadings {
		before, boottime, after, err := m.read()
		if err != nil {
			// Linux has had both clocks since 2.6.39. If one can not be read, the last
			// result is kept.
			break
		}
		// A smaller difference is the time between the readings.
		if d := boottime - after; d >= int64(suspendedResolution) {
			m.raise(d)
		}
		if time.Duration(after-before) < suspendedResolution {
			break
		}
	}
	return time.Duration(m.longest.Load())
}

// raise sets longest to d if d is larger.
func (m *suspensionMeter) raise(d int64) {
	for longest := m.longest.Load(); d > longest; longest = m.longest.Load() {
		if m.longest.CompareAndSwap(longest, d) {
			return
		}
	}
}

func readClocks() (before, boottime, after int64, err error) {
	var t [3]unix.Timespec
	for i, clock := range []int32{unix.CLOCK_MONOTONIC, unix.CLOCK_BOOTTIME, unix.CLOCK_MONOTONIC} {
		if err := unix.ClockGettime(clock, &t[i]); err != nil {
			return 0, 0, 0, errors.Annotate(err, "read clock")
		}
	}
	return t[0].Nano(), t[1].Nano(), t[2].Nano(), nil
}

const (
	clockReadings = 5 // Only an overloaded machine preempts the process during each of them.
	// suspendedResolution is the smallest difference that counts as suspension. It
	// is larger than the usual time between two clock readings.
	suspendedResolution = 5 * time.Millisecond
)
