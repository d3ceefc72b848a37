package savoryloft

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The uptime must include the time for which the machine is suspended, exactly, and
// must depend on one reading only: a difference between two clocks counted the time
// for which the process was preempted between their readings as suspension.
func TestUptimeIncludesSuspension(t *testing.T) {
	var now time.Duration
	readings := 0
	c := newBootClock(func() (int64, error) {
		readings++
		return int64(time.Hour + now), nil
	})
	for _, tt := range []struct {
		name string
		pass time.Duration // Since the previous reading, by CLOCK_BOOTTIME.
		want time.Duration
	}{
		{"at the start", 0, 0},
		{"running", 5 * time.Millisecond, 5 * time.Millisecond},
		{"suspended for 3 s", 3 * time.Second, 3005 * time.Millisecond},
		{"preempted for 64 ms", 64 * time.Millisecond, 3069 * time.Millisecond},
	} {
		now += tt.pass
		readings = 0
		require.Equal(t, tt.want, c.elapsed(), tt.name)
		require.Equal(t, 1, readings, tt.name)
	}
}

func TestUptimeNeverDecreases(t *testing.T) {
	var now int64
	var readErr error
	c := newBootClock(func() (int64, error) { return now, readErr })
	for _, tt := range []struct {
		name string
		now  time.Duration
		err  error
		want time.Duration
	}{
		{"read", time.Second, nil, time.Second},
		{"read by another thread before", 900 * time.Millisecond, nil, time.Second},
		{"not readable", 0, errors.New("no such clock"), time.Second},
		{"readable again", 2 * time.Second, nil, 2 * time.Second},
	} {
		now, readErr = int64(tt.now), tt.err
		require.Equal(t, tt.want, c.elapsed(), tt.name)
	}
}

func TestUptimeFollowsTheClock(t *testing.T) {
	before := Uptime()
	time.Sleep(20 * time.Millisecond)
	require.GreaterOrEqual(t, Uptime()-before, 20*time.Millisecond)
}
