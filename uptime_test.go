package savoryloft

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// clocks is a steady clock and one that counts suspensions, read by a process
// that is preempted as told.
type clocks struct {
	now, suspended time.Duration
	preempted      []time.Duration // Before the reading of the second clock, at each call in turn.
}

func (c *clocks) read() (before, counting, after int64, err error) {
	before = int64(c.now)
	if len(c.preempted) > 0 {
		c.now += c.preempted[0]
		c.preempted = c.preempted[1:]
	}
	return before, int64(c.now + c.suspended), int64(c.now), nil
}

func TestSuspensionIsNotMistakenForPreemption(t *testing.T) {
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
			c := &clocks{now: time.Hour, suspended: tt.suspended, preempted: tt.preempted}
			m := &suspensionMeter{read: c.read}
			require.Equal(t, tt.want, m.total())
			require.Equal(t, tt.want, m.total(), "a second look")
		})
	}
}

func TestSuspensionNeverShrinks(t *testing.T) {
	late := time.Duration(0) // Between the readings of the second clock and of the steady one.
	m := &suspensionMeter{read: func() (before, counting, after int64, err error) {
		return 0, int64(time.Second), int64(late), nil
	}}
	require.Equal(t, time.Second, m.total())
	late = 64 * time.Millisecond
	require.Equal(t, time.Second, m.total())
}
