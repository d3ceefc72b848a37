package provisioner

import (
	"fmt"
	"math"
	"time"
)

const (
	waveWindow      = 25 * time.Second       // For which the peak of the load is kept; longer than the waves in daily traffic.
	peakBuckets     = 25                     // Parts of waveWindow of which each has its own peak.
	slopeWindow     = 2 * time.Second        // Over which the rise of the load is taken.
	maxForecastRise = 0.25                   // Bound of the rise until upstreams have booted, as a share of the load.
	backlogLimit    = 500 * time.Millisecond // Prefill time that may wait at each upstream before more are added.
	cacheShare      = 0.6                    // Share of an upstream's memory that holds cached prompts.
	burstReserve    = 2.0                    // Multiple of the peak that is kept when upstreams are removed; bursts are shorter than a boot.
	reductionMargin = 1.4                    // Multiple of what the load needs above which upstreams are removed.
	stepMargin      = 2.0                    // Addition to it for each share of the size that is removed; removed upstreams lose their cached prompts.
	reductionShare  = 0.1                    // Of the size that is removed at a time, or one upstream in each failure domain if that is more.
	wholeShare      = 0.95                   // Of the ordered upstreams that are registered when none is missing.
)

// ServiceLoad is the load of a service, summed over all instances.
type ServiceLoad struct {
	Running      int           // Requests.
	PrefillTime  time.Duration // That an upstream would take to process all waiting prompt tokens.
	PromptTokens int           // Tokens of the shared prompt parts in use, each counted once.
}

// Forecast is what is known of the load of a service when its size is decided.
type Forecast struct {
	Running   float64 // Requests, smoothed.
	Expected  float64 // Requests when upstreams that are ordered now have booted.
	Peak      float64 // Highest smoothed number of requests within waveWindow.
	Backlog   float64 // Prefill time, smoothed over the boot time, in units of backlogLimit, which is as much as an upstream may have.
	Memory    float64 // Upstreams whose caches hold the prompts in use.
	Complete  bool    // The load has been observed for waveWindow.
	FleetLoad float64 // Running requests for an upstream from which upstreams are added.
}

// String returns the forecast in one line, for the log.
func (f Forecast) String() string {
	return fmt.Sprintf("running=%.0f expected=%.0f peak=%.0f backlog=%.1f memory=%.1f per_upstream=%.1f complete=%t",
		f.Running, f.Expected, f.Peak, f.Backlog, f.Memory, f.FleetLoad, f.Complete)
}

// Fleet is the state of the upstreams of a service when its size is decided.
type Fleet struct {
	Target     int // Stored size.
	Registered int
	Domains    int // Failure domains.
	Max        int // Of a failure domain; 0 for no limit.
	NoCapacity bool
}

// whole reports whether the ordered upstreams are there.
func (f Fleet) whole() bool {
	reachable := f.Target
	if f.Max > 0 {
		reachable = min(reachable, f.Max*f.Domains)
	}
	return !f.NoCapacity && float64(f.Registered) >= wholeShare*float64(reachable)
}

// expectedUpstreams returns how many upstreams the load needs when those that are
// ordered now have booted. A rise and waiting prompts are taken into account only while
// the fleet is whole: after the loss of a failure domain, and until ordered upstreams have
// booted, requests take longer and pile up without a rise of the load. What waits grows
// with the time for which there are too few upstreams, so it leads to one step at a time.
func (f Forecast) expectedUpstreams(fleet Fleet) float64 {
	if !fleet.whole() {
		return f.Running / f.FleetLoad
	}
	return max(max(f.Running, f.Expected)/f.FleetLoad, min(f.Backlog, (1+minScaleUpStep)*float64(fleet.Target)))
}

// Kept returns how many upstreams a service keeps at least: those that carry burstReserve
// times the peak and hold the prompts in use after the loss of one failure domain.
func (f Forecast) Kept(domains int) float64 {
	kept := max(burstReserve*max(f.Peak, f.Expected)/f.FleetLoad, burstReserve*f.Backlog, f.Memory)
	if domains > 1 {
		kept *= float64(domains) / float64(domains-1)
	}
	return kept
}

// Resize returns the size of a service for a forecast. It adds at least minScaleUpStep of
// the size, removes a little at a time if reducible allows it, and keeps the size if in
// doubt: while upstreams are missing or the load has not been observed for waveWindow.
// The result is a multiple of the number of failure domains if the stored size is.
func Resize(f Forecast, fleet Fleet, reducible bool) int {
	target := float64(fleet.Target)
	if needed := f.expectedUpstreams(fleet); needed > target {
		size := roundUp(int(math.Ceil(max(needed, (1+minScaleUpStep)*target))), fleet.Domains)
		if fleet.Max > 0 {
			size = max(min(size, fleet.Max*fleet.Domains), fleet.Target)
		}
		return size
	}
	if !reducible || !f.Complete || !fleet.whole() {
		return fleet.Target
	}
	step := max(int(reductionShare*target)/fleet.Domains, 1) * fleet.Domains
	kept, left := f.Kept(fleet.Domains), fleet.Target-step
	if left < minPerDomain*fleet.Domains || float64(left) < kept || target < kept*(reductionMargin+stepMargin*float64(step)/target) {
		return fleet.Target
	}
	return left
}

// loadHistory keeps the peaks of the load within waveWindow and its recent course. Times
// are uptimes, see savoryloft.Uptime.
type loadHistory struct {
	peaks [peakBuckets]struct {
		bucket time.Duration // Number of the part of waveWindow since the uptime 0.
		peak   float64
	}
	recent []loadSample // Of the last slopeWindow.
}

type loadSample struct {
	at   time.Duration
	load float64
}

func (h *loadHistory) add(now time.Duration, load float64) {
	bucket := now / (waveWindow / peakBuckets)
	p := &h.peaks[bucket%peakBuckets]
	if p.bucket != bucket {
		p.bucket, p.peak = bucket, 0
	}
	p.peak = max(p.peak, load)
	for len(h.recent) > 0 && now-h.recent[0].at > slopeWindow {
		h.recent = h.recent[1:]
	}
	h.recent = append(h.recent, loadSample{now, load})
}

// peak returns the highest load within waveWindow.
func (h *loadHistory) peak(now time.Duration) float64 {
	highest := 0.0
	for _, p := range h.peaks {
		if p.bucket > now/(waveWindow/peakBuckets)-peakBuckets {
			highest = max(highest, p.peak)
		}
	}
	return highest
}

// expected returns the load after some time if it goes on to rise as it does, at most by
// maxForecastRise. It returns the last load if that does not rise.
func (h *loadHistory) expected(after time.Duration) float64 {
	if len(h.recent) == 0 {
		return 0
	}
	first, last := h.recent[0], h.recent[len(h.recent)-1]
	elapsed := last.at - first.at
	if elapsed < slopeWindow/2 || last.load <= first.load {
		return last.load
	}
	rise := (last.load - first.load) * float64(after) / float64(elapsed)
	return last.load + min(rise, maxForecastRise*last.load)
}
