package observer

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

func TestObserveMilliseconds(t *testing.T) {
	r := metrics.NewRegistry()
	ObserveMilliseconds(r, "d", 1500*time.Microsecond)
	ObserveMilliseconds(r, "d", 3*time.Millisecond)
	h := r.Get("d").(metrics.Histogram)
	require.Equal(t, int64(2), h.Count())
	require.Equal(t, int64(3), h.Max())
}

// Durations are observed for each request, so this must not allocate the memory of
// a new sample.
func TestObserveDoesNotAllocateSamples(t *testing.T) {
	const calls = 100
	r := metrics.NewRegistry()
	ObserveMilliseconds(r, "d", time.Millisecond)
	perCall := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			ObserveMilliseconds(r, "d", time.Millisecond)
		}
	}).AllocedBytesPerOp()
	require.Less(t, perCall, int64(sampleSize))
	require.Less(t, testing.AllocsPerRun(calls, func() { ObserveMilliseconds(r, "d", time.Millisecond) }), 10.0)
}
