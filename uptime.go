package savoryloft

import (
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

var (
	processStart    = time.Now()
	machineSuspense = &suspensionMeter{read: readClocks}
	suspendedStart  = machineSuspense.total()
)

// Uptime returns the time since the process started, including time for which
// the machine was suspended. Go's monotonic clock leaves that out, so an age
// that guards a promise has to be measured with Uptime.
func Uptime() time.Duration {
	d := time.Since(processStart)
	if d < 0 {
		d += testShift
	}
	return d + machineSuspense.total() - suspendedStart
}

// testShift keeps uptimes positive in tests whose paused clock starts in the
// year 2000; a running process has no negative uptime.
const testShift = 100 * 365 * 24 * time.Hour

// suspensionMeter measures for how long the machine has been suspended, from a
// clock that counts suspensions and one that does not.
type suspensionMeter struct {
	// read reads the steady clock, the clock that counts suspensions and the
	// steady clock again, in nanoseconds.
	read func() (before, counting, after int64, err error)
	most atomic.Int64 // The longest suspension measured so far, in nanoseconds.
}

// total returns the time for which the machine has been suspended. A process
// that is preempted between two readings must not take that for a suspension,
// so the later reading of the steady clock counts, which can only make the
// result too small. It never shrinks, so that Uptime does not step back.
func (m *suspensionMeter) total() time.Duration {
	for range clockReadings {
		before, counting, after, err := m.read()
		if err != nil {
			// Linux has had both clocks since 2.6.39; without one, what was measured stands.
			break
		}
		// Less than the resolution is the time between the readings.
		if d := counting - after; d >= int64(suspendedResolution) {
			m.raise(d)
		}
		if time.Duration(after-before) < suspendedResolution {
			break
		}
	}
	return time.Duration(m.most.Load())
}

// raise makes the longest suspension d unless it is longer.
func (m *suspensionMeter) raise(d int64) {
	for most := m.most.Load(); d > most; most = m.most.Load() {
		if m.most.CompareAndSwap(most, d) {
			return
		}
	}
}

func readClocks() (before, counting, after int64, err error) {
	var t [3]unix.Timespec
	for i, clock := range []int32{unix.CLOCK_MONOTONIC, unix.CLOCK_BOOTTIME, unix.CLOCK_MONOTONIC} {
		if err := unix.ClockGettime(clock, &t[i]); err != nil {
			return 0, 0, 0, errors.Annotate(err, "read clock")
		}
	}
	return t[0].Nano(), t[1].Nano(), t[2].Nano(), nil
}

const (
	clockReadings = 5 // Preempted each time only on a machine that is far too busy.
	// suspendedResolution hides the time between the two clock readings.
	suspendedResolution = 5 * time.Millisecond
)
