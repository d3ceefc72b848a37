// Package counter counts the requests of each account per usage window. A request
// counts in the window in which it started.
//
// The counts are replicated between instances as a grow-only counter (G-Counter)
// with one entry per incarnation of an instance. Merging keeps the larger value
// of an entry, so merging a message twice has no effect. The counts of a killed
// instance survive at its peers.
//
// Changed entries are kept in the order of their last change, so that the cost of
// telling a peer depends on the changes and not on the number of entries.
//
// # Usage
//
//	c := &counter.Counter{Source: "entry-1/1764822000000", Window: 5 * time.Second}
//	c.Add(now, "tsagaan")
//	c.Merge(now, batchesFromPeer, true)
//	totals := c.Totals(c.WindowAt(now))
//	batches, cursor := c.ChangedSince(cursor, savoryloft.OwnUsage)
package counter

import (
	"maps"
	"slices"
	"sync"
	"time"

	"savoryloft.example/savoryloft"
)

const (
	// retainedWindows is the number of windows retained before the newest one, so
	// that a new lease holder can report them.
	retainedWindows = 12
	minCompaction   = 64 // Outdated changes that are kept before the list of changes is compacted.
)

// key identifies a count.
type key struct {
	source  string
	window  int
	account string
}

type count struct {
	requests int
	relayed  bool // Merged for relay, see Merge.
	change   int  // Number of the last change.
}

// change is one entry of the list of changes. It is outdated if the count has
// changed since, or is no longer retained.
type change struct {
	number int
	key    key
}

// Counter stores the counts of all instances. Set the exported fields before
// calling a method.
type Counter struct {
	Source string // Identifies this incarnation of this instance.
	Window time.Duration

	mu           sync.Mutex
	counts       map[key]*count
	changes      []change // In ascending order of number.
	lastChange   int
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
	k := key{c.Source, w, account}
	n := c.count(k)
	n.requests++
	c.recordChange(k, n)
}

// count returns the count of a key, which it creates if necessary. The caller must
// hold c.mu.
func (c *Counter) count(k key) *count {
	if c.counts == nil {
		c.counts = map[key]*count{}
	}
	n := c.counts[k]
	if n == nil {
		n = &count{}
		c.counts[k] = n
	}
	return n
}

// recordChange appends a change of a count. The caller must hold c.mu.
func (c *Counter) recordChange(k key, n *count) {
	c.lastChange++
	n.change = c.lastChange
	c.changes = append(c.changes, change{c.lastChange, k})
	if len(c.changes) > 2*len(c.counts)+minCompaction {
		c.changes = slices.DeleteFunc(c.changes, func(ch change) bool { return c.current(ch) == nil })
	}
}

// current returns the count of a change, or nil if the change is outdated. The
// caller must hold c.mu.
func (c *Counter) current(ch change) *count {
	if n := c.counts[ch.key]; n != nil && n.change == ch.number {
		return n
	}
	return nil
}

// advance sets newestWindow to window if that is later, and deletes the counts of
// windows that are no longer retained. The caller must hold c.mu.
func (c *Counter) advance(window int) {
	if window <= c.newestWindow {
		return
	}
	c.newestWindow = window
	for k := range c.counts {
		if k.window < c.newestWindow-retainedWindows {
			delete(c.counts, k)
		}
	}
}

// Merge merges the counts received from a peer at a time of day; the larger value
// of each count is kept. relay is whether this instance has to relay them. It
// ignores windows more than retainedWindows away from that time, which a peer with
// a wrong clock may send.
func (c *Counter) Merge(t time.Time, batches []savoryloft.UsageBatch, relay bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.WindowAt(t)
	c.advance(current)
	for _, b := range batches {
		if b.Window < c.newestWindow-retainedWindows || b.Window > current+retainedWindows {
			continue
		}
		for i, account := range b.Accounts {
			k := key{b.Source, b.Window, account}
			n := c.count(k)
			if b.Requests[i] <= n.requests && (n.relayed || !relay) {
				continue
			}
			n.requests = max(n.requests, b.Requests[i])
			n.relayed = n.relayed || relay
			c.recordChange(k, n)
		}
	}
}

// ChangedSince returns the counts of a scope that have changed after the cursor,
// and the cursor for the next call. The first cursor is 0.
func (c *Counter) ChangedSince(cursor int, scope savoryloft.UsageScope) (batches []savoryloft.UsageBatch, next int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	start, _ := slices.BinarySearchFunc(c.changes, cursor+1, func(ch change, number int) int { return ch.number - number })
	index := map[key]int{} // Of the batch of a source and window.
	for _, ch := range c.changes[start:] {
		n := c.current(ch)
		if n == nil || scope != savoryloft.AllUsage && ch.key.source != c.Source && (scope == savoryloft.OwnUsage || !n.relayed) {
			continue
		}
		batchKey := key{source: ch.key.source, window: ch.key.window}
		i, ok := index[batchKey]
		if !ok {
			i = len(batches)
			index[batchKey] = i
			batches = append(batches, savoryloft.UsageBatch{Source: ch.key.source, Window: ch.key.window})
		}
		batches[i].Accounts = append(batches[i].Accounts, ch.key.account)
		batches[i].Requests = append(batches[i].Requests, n.requests)
	}
	return batches, c.lastChange
}

// Totals returns the requests of each account in a window, summed over all
// sources. Requests without an account are excluded.
func (c *Counter) Totals(window int) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	totals := map[string]int{}
	for k, n := range c.counts {
		if k.window == window && k.account != "" {
			totals[k.account] += n.requests
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
		if k.window == window {
			seen[k.source] = true
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
