// Package counter counts the requests of each account that started in each usage
// window, separately for each incarnation of an instance. The counts form a
// grow-only replicated counter: instances merge the counts of their peers by
// keeping the larger value, and the counts of a killed instance survive at its
// peers.
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

// retainedWindows is the number of windows kept before the newest one, so that a
// new lease holder can still report them.
const retainedWindows = 12

// Counter stores the counts of all instances. Set the exported fields before
// the first call.
type Counter struct {
	Source string // Identifies this incarnation of this instance.
	Window time.Duration

	mu           sync.Mutex
	counts       map[savoryloft.UsageCount]int // Requests by source, window and account; Requests of the key is 0.
	newestWindow int
}

// WindowAt returns the number of the window that t lies in: windows since the
// Unix epoch.
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

// advance raises newestWindow to window unless it is higher, and drops the
// counts of windows that are no longer retained. The caller must hold c.mu.
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

// Merge adds the counts of a peer. It ignores windows that lie more than
// retainedWindows before or after the newest one, as from a peer whose clock is
// wrong.
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

// Unsent returns the counts that are larger than in sent, which holds what a peer
// has been sent before, and updates sent. Unless allSources is set, it returns
// only the counts of this incarnation.
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
// sources. Requests without an account are left out.
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

// Sources returns the incarnations with counts in a window, sorted.
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
// log. If the two share a source, the counts in the log have also been
// replicated between the instances, and the larger count of each account is
// taken. If they share none, all instances whose counts are in the log were
// lost, and the counts are added.
func (c *Counter) TotalsWithPartial(p savoryloft.PartialCounts) map[string]int {
	totals := c.Totals(p.Window)
	sources := c.Sources(p.Window)
	overlap := slices.ContainsFunc(p.Sources, func(s string) bool { return slices.Contains(sources, s) })
	for account, n := range p.Counts {
		if overlap {
			totals[account] = max(totals[account], n)
			continue
		}
		totals[account] += n
	}
	return totals
}
