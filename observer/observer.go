// Package observer records durations in histograms of a metrics registry.
//
// # Usage
//
//	observer.ObserveMilliseconds(registry, "duration_ms.Streaming", time.Since(start))
package observer

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// Reservoir size and decay factor as recommended by go-metrics.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// ObserveMilliseconds adds a duration to a histogram, which it registers at the
// first call.
func ObserveMilliseconds(r metrics.Registry, name string, d time.Duration) {
	// The histogram is passed as a function, because its sample takes 24 KiB.
	h := r.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	h.(metrics.Histogram).Update(d.Milliseconds())
}
