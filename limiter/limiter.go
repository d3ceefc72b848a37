// Package limiter bounds how many sends beyond the first of each request reach
// the upstreams of a service. The bound holds for all instances together: each
// takes a ratio of its own requests and a share of the common slack.
//
// # Usage
//
//	l := &limiter.Limiter{Ratio: 0.2, Slack: 56, Window: 10 * time.Second, Instances: members.Count}
//	l.Request(now, "assistants")
//	if l.Allow(now, "assistants") {
//		// Send once more.
//	}
package limiter

import (
	"sync"
	"time"
)

const (
	slotsPerWindow = 20  // Resolution of the sliding window.
	usedPart       = 0.8 // Part of the bound that is used; members and clocks are known with a lag.
)

// Limiter counts requests and repeated sends of one instance. Set the exported
// fields before the first call.
type Limiter struct {
	Ratio  float64 // Repeated sends for each request.
	Slack  int     // Repeated sends in a window besides, over all instances.
	Window time.Duration
	// Instances returns the number of instances that share the slack.
	Instances func() int

	mu       sync.Mutex
	services map[string]*counts
}

type counts struct {
	slot     int64
	requests [slotsPerWindow]int
	repeats  [slotsPerWindow]int
}

// Request counts a request for a service.
func (l *Limiter) Request(now time.Time, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.at(now, service)
	c.requests[c.slot%slotsPerWindow]++
}

// Allow tells whether one more repeated send is within the bound, and counts
// it if so.
func (l *Limiter) Allow(now time.Time, service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.at(now, service)
	requests, repeats := 0, 0
	for i := range slotsPerWindow {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	bound := usedPart * (l.Ratio*float64(requests) + float64(l.Slack)/float64(max(l.Instances(), 1)))
	if float64(repeats+1) > bound {
		return false
	}
	c.repeats[c.slot%slotsPerWindow]++
	return true
}

// at returns the counts of a service with old slots cleared. The caller holds
// the lock.
func (l *Limiter) at(now time.Time, service string) *counts {
	if l.services == nil {
		l.services = map[string]*counts{}
	}
	slot := now.UnixNano() / int64(l.Window/slotsPerWindow)
	c := l.services[service]
	if c == nil {
		c = &counts{slot: slot}
		l.services[service] = c
	}
	if slot-c.slot >= slotsPerWindow || slot < c.slot-slotsPerWindow {
		*c = counts{slot: slot}
	}
	for c.slot < slot {
		c.slot++
		c.requests[c.slot%slotsPerWindow], c.repeats[c.slot%slotsPerWindow] = 0, 0
	}
	return c
}
