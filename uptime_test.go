package savoryloft

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeClocks simulates CLOCK_MONOTONIC and CLOCK_BOOTTIME for a process that is
// preempted between their readings.
type fakeClocks struct {
	now, suspended time.Duration
	preempted      []time.Duration // Preemption before the reading of CLOCK_BOOTTIME, by call.
}

func (c *fakeClocks) read() (before, boottime, after int64, err error) {
	before = int64(c.now)
	if len(c.preempted) > 0 {
		c.now += c.preempted[0]
		c.preempted = c.preempted[1:]
	}
	return before, int64(c.now + c.suspended), int64(c.now), nil
}

// Guards against counting the time for which the process is preempted between
// two clock readings as suspension of the machine.
func TestPreemptionIsNotCountedAsSuspension(t *testing.T) {
	const gap = 64 * time.Millisecond
	for _, tt := range []struct {
		name      string
		suspended time.Duration
		preempted []time.Duration
		want      time.Duration
	}{
		{"idle machine", 0, nil, 0},
		{"preempted once", 0, []time.Duration{gap}, 0},
		{"preempted at each reading", 0, []time.Duration{gap, gap, gap, gap, gap, gap}, 0},
		{"suspended", 3 * time.Second, nil, 3 * time.Second},
		{"suspended and preempted", 3 * time.Second, []time.Duration{gap, gap}, 3 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := &fakeClocks{now: time.Hour, suspended: tt.suspended, preempted: tt.preempted}
			m := &suspensionMeter{read: c.read}
			require.Equal(t, tt.want, m.total())
			require.Equal(t, tt.want, m.total(), "second call")
		})
	}
}

func TestSuspensionNeverDecreases(t *testing.T) {
	delay := time.Duration(0) // Between the reading of CLOCK_BOOTTIME and the second one of CLOCK_MONOTONIC.
	m := &suspensionMeter{read: func() (before, boottime, after int64, err error) {
		return 0, int64(time.Second), int64(delay), nil
	}}
	require.Equal(t, time.Second, m.total())
	delay = 64 * time.Millisecond
	require.Equal(t, time.Second, m.total())
}
