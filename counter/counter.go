// Package counter counts the requests of each account that began to run in
// each usage window, by incarnation of an instance. Counts only grow, so
// instances merge each other's by taking the larger, and the counts of a
// killed instance live on at its peers.
//
// # Usage
//
//	c := &counter.Counter{Source: "entry-1/1764822000000", Window: 5 * time.Second}
//	c.Add(trueTime, "tsagaan")
//	c.Merge(fromPeer)
//	counts := c.Totals(window)
package counter

import (
	"maps"
	"slices"
	"sync"
	"time"

	"savoryloft.example/savoryloft"
)

const keptWindows = 12 // Windows that are kept: a late holder of the duties reports them still.

// Counter holds the counts of all instances. Set the exported fields before
// the first call.
type Counter struct {
	Source string // This incarnation of this instance.
	Window time.Duration

	mu     sync.Mutex
	counts map[savoryloft.UsageCount]int // By count with Requests zero.
	newest int
}

// WindowAt returns the number of the window that a time lies in.
func (c *Counter) WindowAt(t time.Time) int {
	return int(t.UnixNano() / int64(c.Window))
}

// Add counts one request of an account at a true time.
func (c *Counter) Add(t time.Time, account string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.WindowAt(t)
	c.init(w)
	c.counts[savoryloft.UsageCount{Source: c.Source, Window: w, Account: account}]++
}

// init drops windows that are too old. The caller holds the lock.
func (c *Counter) init(window int) {
	if c.counts == nil {
		c.counts = map[savoryloft.UsageCount]int{}
	}
	if window <= c.newest {
		return
	}
	c.newest = window
	for k := range c.counts {
		if k.Window < c.newest-keptWindows {
			delete(c.counts, k)
		}
	}
}

// Merge takes in the counts of a peer.
func (c *Counter) Merge(counts []savoryloft.UsageCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range counts {
		if c.newest > 0 && (u.Window < c.newest-keptWindows || u.Window > c.newest+keptWindows) {
			continue
		}
		c.init(u.Window)
		n := u.Requests
		u.Requests = 0
		c.counts[u] = max(c.counts[u], n)
	}
}

// Since returns the counts that exceed those in sent, and adds them to it.
// Unless all is set, it returns this incarnation's own counts only.
func (c *Counter) Since(sent map[savoryloft.UsageCount]int, all bool) []savoryloft.UsageCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []savoryloft.UsageCount
	for k, n := range c.counts {
		if n > sent[k] && (all || k.Source == c.Source) {
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

// Totals returns the requests of each account in a window.
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

// Sources returns the incarnations that have counted in a window, in order.
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

// Restore returns a window's totals together with counts that the log has kept.
// If an incarnation of those is still known here, its peers have its counts and
// the larger figures stand; if none is, all of them were lost, and both add up.
func (c *Counter) Restore(p savoryloft.PartialCounts) map[string]int {
	totals := c.Totals(p.Window)
	known := c.Sources(p.Window)
	overlap := slices.ContainsFunc(p.Sources, func(s string) bool { return slices.Contains(known, s) })
	for account, n := range p.Counts {
		if overlap {
			totals[account] = max(totals[account], n)
			continue
		}
		totals[account] += n
	}
	return totals
}
