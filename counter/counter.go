// Package counter counts the requests of each account per usage window. A request
// counts in the window in which it started.
//
// The counts are replicated between instances as a grow-only counter (G-Counter)
// with one entry per incarnation of an instance. Merging keeps the larger value
// of an entry, so merging a message twice has no effect. The counts of a killed
// instance survive at its peers.
//
// # Usage
//
//	c := &counter.Counter{Source: "entry-1/1764822000000", Window: 5 * time.Second}
//	c.Add(now, "tsagaan")
//	c.Merge(countsFromPeer)
//	totals := c.Totals(c.WindowAt(now))
package counter

import (
	"maps"
	"slices"
	"sync"
	"time"

	"savoryloft.example/savoryloft"
)

// retainedWindows is the number of windows retained before the newest one, so
// that a new lease holder can report them.
const retainedWindows = 12

// Counter stores the counts of all instances. Set the exported fields before
// calling a method.
type Counter struct {
	Source string // Identifies this incarnation of this instance.
	Window time.Duration

	mu sync.Mutex
	// counts holds the number of requests by source, window and account. The
	// Requests field of the keys is 0.
	counts       map[savoryloft.UsageCount]int
	newestWindow int
}

// WindowAt returns the number of the window that contains t. Windows are numbered
// from the Unix epoch.
func (c *Counter) WindowAt(t time.Time) int {
	return int(t.UnixNano() / int64(c.Window))
}

// Add counts one request of an account. t is the time of day that all instances
// use to delimit windows.
func (c *Counter) Add(t time.Time, account string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.WindowAt(t)
	c.advance(w)
	c.counts[savoryloft.UsageCount{Source: c.Source, Window: w, Account: account}]++
}

// advance sets newestWindow to window if that is later, and deletes the counts of
// windows that are no longer retained. The caller must hold c.mu.
func (c *Counter) advance(window int) {
	if c.counts == nil {
		c.counts = map[savoryloft.UsageCount]int{}
	}
	if window <= c.newestWindow {
		return
	}
	c.newestWindow = window
	for k := range c.counts {
		if k.Window < c.newestWindow-retainedWindows {
			delete(c.counts, k)
		}
	}
}

// Merge merges the counts received from a peer; the larger value of each count is
// kept. It ignores windows more than retainedWindows before or after the newest
// one, which a peer with a wrong clock may send.
func (c *Counter) Merge(counts []savoryloft.UsageCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range counts {
		if c.newestWindow > 0 && (u.Window < c.newestWindow-retainedWindows || u.Window > c.newestWindow+retainedWindows) {
			continue
		}
		c.advance(u.Window)
		n := u.Requests
		u.Requests = 0
		c.counts[u] = max(c.counts[u], n)
	}
}

// Unsent returns the counts that exceed those in sent, and updates sent. sent holds
// the counts already sent to one peer. Unless allSources is set, only the counts of
// this incarnation are returned.
func (c *Counter) Unsent(sent map[savoryloft.UsageCount]int, allSources bool) []savoryloft.UsageCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []savoryloft.UsageCount
	for k, n := range c.counts {
		if n > sent[k] && (allSources || k.Source == c.Source) {
			sent[k] = n
			k.Requests = n
			list = append(list, k)
		}
	}
	for k := range sent {
		if _, ok := c.counts[k]; !ok {
			delete(sent, k)
		}
	}
	return list
}

// Totals returns the requests of each account in a window, summed over all
// sources. Requests without an account are excluded.
func (c *Counter) Totals(window int) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	totals := map[string]int{}
	for k, n := range c.counts {
		if k.Window == window && k.Account != "" {
			totals[k.Account] += n
		}
	}
	return totals
}

// Sources returns the sorted sources that have counts in a window.
func (c *Counter) Sources(window int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := map[string]bool{}
	for k := range c.counts {
		if k.Window == window {
			seen[k.Source] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// TotalsWithPartial combines the totals of a window with partial counts from the
// log. If both have a source in common, the partial counts have also been
// replicated between the instances, and the larger count of each account is used.
// Otherwise all instances that contributed to the partial counts were lost, and
// the counts are added.
func (c *Counter) TotalsWithPartial(p savoryloft.PartialCounts) map[string]int {
	totals := c.Totals(p.Window)
	sources := c.Sources(p.Window)
	hasCommonSource := slices.ContainsFunc(p.Sources, func(s string) bool { return slices.Contains(sources, s) })
	for account, n := range p.Counts {
		if hasCommonSource {
			totals[account] = max(totals[account], n)
			continue
		}
		totals[account] += n
	}
	return totals
}
