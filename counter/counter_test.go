package counter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
)

// Guards against losing the counts of a killed instance, and against counting
// requests twice when a message is received twice.
func TestCountsSurviveLossOfInstance(t *testing.T) {
	at := time.Unix(1000, 0)
	a := &Counter{Source: "a/1", Window: 5 * time.Second}
	b := &Counter{Source: "b/1", Window: 5 * time.Second}
	c := &Counter{Source: "c/1", Window: 5 * time.Second}
	for range 3 {
		a.Add(at, "x")
	}
	b.Add(at, "x")
	counts, cursor := a.ChangedSince(0, savoryloft.OwnUsage)
	b.Merge(at, counts, false)
	b.Merge(at, counts, false)
	a.Add(at, "x")
	counts, cursor = a.ChangedSince(cursor, savoryloft.OwnUsage)
	b.Merge(at, counts, false)
	counts, _ = a.ChangedSince(cursor, savoryloft.OwnUsage)
	require.Empty(t, counts)
	// a is killed; c joins and receives the counts of all sources from b.
	counts, _ = b.ChangedSince(0, savoryloft.AllUsage)
	c.Merge(at, counts, false)
	w := a.WindowAt(at)
	require.Equal(t, map[string]int{"x": 5}, b.Totals(w))
	require.Equal(t, map[string]int{"x": 5}, c.Totals(w))
	counts, _ = b.ChangedSince(0, savoryloft.OwnUsage)
	require.Equal(t, []savoryloft.UsageBatch{{Source: "b/1", Window: w, Accounts: []string{"x"}, Requests: []int{1}}}, counts)
}

// A hub tells other hubs its own counts and those of the instances that rely on
// it, but not what it has heard from other hubs.
func TestOnlyRelayedCountsPassAHub(t *testing.T) {
	at := time.Unix(1000, 0)
	batch := func(source string, n int) []savoryloft.UsageBatch {
		return []savoryloft.UsageBatch{{Source: source, Window: 200, Accounts: []string{"x"}, Requests: []int{n}}}
	}
	hub := &Counter{Source: "hub/1", Window: 5 * time.Second}
	hub.Merge(at, batch("hub2/1", 7), false)
	hub.Merge(at, batch("child/1", 2), true)
	counts, cursor := hub.ChangedSince(0, savoryloft.RelayedUsage)
	require.Equal(t, batch("child/1", 2), counts)
	// The other hub of the failure domain was first to relay the next count.
	hub.Merge(at, batch("child/1", 3), false)
	hub.Merge(at, batch("child/1", 3), true)
	counts, cursor = hub.ChangedSince(cursor, savoryloft.RelayedUsage)
	require.Equal(t, batch("child/1", 3), counts)
	counts, _ = hub.ChangedSince(cursor, savoryloft.AllUsage)
	require.Empty(t, counts)
}

// The work of telling a peer depends on what has changed, not on the number of
// entries, which is that of instances times accounts times windows.
func TestChangesStayBounded(t *testing.T) {
	const instances, accounts = 195, 40
	at := time.Unix(1000, 0)
	c := &Counter{Source: "hub/1", Window: 5 * time.Second}
	cursor := 0
	for round := 1; round <= 100; round++ {
		for i := range instances {
			b := savoryloft.UsageBatch{Source: fmt.Sprint("edge-", i), Window: 200}
			for a := range accounts {
				b.Accounts, b.Requests = append(b.Accounts, fmt.Sprint(a)), append(b.Requests, round)
			}
			c.Merge(at, []savoryloft.UsageBatch{b}, true)
		}
		var batches []savoryloft.UsageBatch
		batches, cursor = c.ChangedSince(cursor, savoryloft.AllUsage)
		require.Len(t, batches, instances)
	}
	require.LessOrEqual(t, len(c.changes), 2*instances*accounts+minCompaction)
	batches, _ := c.ChangedSince(0, savoryloft.AllUsage)
	total := 0
	for _, b := range batches {
		for _, n := range b.Requests {
			total += n
		}
	}
	require.Equal(t, instances*accounts*100, total, "a new peer is told every count once")
}

func TestOldWindowsAreDropped(t *testing.T) {
	c := &Counter{Source: "a/1", Window: time.Second}
	c.Add(time.Unix(1000, 0), "x")
	c.Add(time.Unix(1000+retainedWindows+1, 0), "x")
	require.Empty(t, c.Totals(1000))
	wrong := []savoryloft.UsageBatch{{Source: "b/1", Window: 5000, Accounts: []string{"x"}, Requests: []int{7}}}
	c.Merge(time.Unix(1000+retainedWindows+1, 0), wrong, false)
	require.Empty(t, c.Totals(5000), "counts of a peer whose clock is wrong are ignored")
}

// A window far ahead, told to an instance that has not counted anything yet, must
// not make it ignore the counts of the true windows.
func TestWindowFarAheadDoesNotHideTrueOnes(t *testing.T) {
	c := &Counter{Source: "a/1", Window: time.Second}
	at := time.Unix(1000, 0)
	c.Merge(at, []savoryloft.UsageBatch{{Source: "b/1", Window: 9000, Accounts: []string{"x"}, Requests: []int{7}}}, false)
	c.Merge(at, []savoryloft.UsageBatch{{Source: "c/1", Window: 1000, Accounts: []string{"x"}, Requests: []int{2}}}, false)
	c.Add(at, "x")
	require.Equal(t, map[string]int{"x": 3}, c.Totals(1000))
}

func TestTotalsWithPartial(t *testing.T) {
	at := time.Unix(1000, 0)
	for _, tt := range []struct {
		name    string
		sources []string
		want    map[string]int
	}{
		{"no common source: counts are added", []string{"a/1", "b/1"}, map[string]int{"x": 12, "y": 4}},
		{"common source: the larger count is used", []string{"a/1", "b/2"}, map[string]int{"x": 10, "y": 4}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := &Counter{Source: "b/2", Window: 5 * time.Second}
			c.Add(at, "x")
			c.Add(at, "x")
			p := savoryloft.PartialCounts{Window: c.WindowAt(at), Sources: tt.sources, Counts: map[string]int{"x": 10, "y": 4}}
			require.Equal(t, tt.want, c.TotalsWithPartial(p))
		})
	}
}
