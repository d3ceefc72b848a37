// Package limiter enforces a retry budget for each service. A retry is every
// send of a request to an upstream after the first one. The budget covers all
// instances together: each instance may retry a fixed ratio of its own requests,
// plus an equal share of a fixed number of retries (slack) per window.
//
// # Usage
//
//	l := &limiter.Limiter{Ratio: 0.2, Slack: 56, Window: 10 * time.Second, Instances: members.Count}
//	l.RecordRequest(now, "assistants")
//	if l.Allow(now, "assistants") {
//		// Retry the request.
//	}
//
// Requests that are less urgent than others use AllowWithin.
package limiter

import (
	"sync"
	"time"
)

const (
	bucketsPerWindow = 20               // Resolution of the sliding window.
	defaultWindow    = 10 * time.Second // For settings without a window.
	budgetFraction   = 0.8              // Share of the budget that is used; the rest covers an outdated instance count and clock differences.
)

// Limiter counts the requests and retries of one instance. Set the exported
// fields before the first call. The methods are safe for concurrent use.
type Limiter struct {
	Ratio  float64       // Retries allowed per request.
	Slack  int           // Additional retries allowed per window, summed over all instances.
	Window time.Duration // Length of the sliding window; 10 s when zero.
	// Instances returns the number of instances that share Slack.
	Instances func() int

	mu      sync.Mutex
	windows map[string]*slidingWindow
}

// slidingWindow counts the requests and retries of a service per bucket.
type slidingWindow struct {
	bucket   int64 // Number of the newest bucket, counted from the Unix epoch.
	requests [bucketsPerWindow]int
	retries  [bucketsPerWindow]int
}

// RecordRequest records a request for a service.
func (l *Limiter) RecordRequest(now time.Time, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windowAt(now, service)
	w.requests[w.bucket%bucketsPerWindow]++
}

// Allow reports whether the budget of a service permits one more retry, and
// records the retry if so.
func (l *Limiter) Allow(now time.Time, service string) bool { return l.AllowWithin(now, service, 1) }

// AllowWithin is Allow for a request that may use up a share of the budget only. The rest is
// left to others.
func (l *Limiter) AllowWithin(now time.Time, service string, share float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windowAt(now, service)
	requests, retries := 0, 0
	for i := range bucketsPerWindow {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	budget := budgetFraction * (l.Ratio*float64(requests) + float64(l.Slack)/float64(max(l.Instances(), 1)))
	if float64(retries+1) > share*budget {
		return false
	}
	w.retries[w.bucket%bucketsPerWindow]++
	return true
}

func (l *Limiter) window() time.Duration {
	if l.Window >= bucketsPerWindow {
		return l.Window
	}
	return defaultWindow
}

// windowAt returns the window of a service, advanced to now. It clears expired
// buckets, or all buckets if the clock was set back by more than a window. The
// caller holds l.mu.
func (l *Limiter) windowAt(now time.Time, service string) *slidingWindow {
	if l.windows == nil {
		l.windows = map[string]*slidingWindow{}
	}
	bucket := now.UnixNano() / int64(l.window()/bucketsPerWindow)
	w := l.windows[service]
	if w == nil {
		w = &slidingWindow{bucket: bucket}
		l.windows[service] = w
	}
	if bucket-w.bucket >= bucketsPerWindow || bucket < w.bucket-bucketsPerWindow {
		*w = slidingWindow{bucket: bucket}
	}
	for w.bucket < bucket {
		w.bucket++
		w.requests[w.bucket%bucketsPerWindow], w.retries[w.bucket%bucketsPerWindow] = 0, 0
	}
	return w
}
