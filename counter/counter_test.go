package counter

import (
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
	sentToB, sentToC := map[savoryloft.UsageCount]int{}, map[savoryloft.UsageCount]int{}
	counts := a.Unsent(sentToB, false)
	b.Merge(counts)
	b.Merge(counts)
	a.Add(at, "x")
	b.Merge(a.Unsent(sentToB, false))
	require.Empty(t, a.Unsent(sentToB, false))
	// a is killed; c joins and receives the counts of all sources from b.
	c.Merge(b.Unsent(sentToC, true))
	w := a.WindowAt(at)
	require.Equal(t, map[string]int{"x": 5}, b.Totals(w))
	require.Equal(t, map[string]int{"x": 5}, c.Totals(w))
	require.Equal(t, []savoryloft.UsageCount{{Source: "b/1", Window: w, Account: "x", Requests: 1}},
		b.Unsent(map[savoryloft.UsageCount]int{}, false))
}

func TestOldWindowsAreDropped(t *testing.T) {
	c := &Counter{Source: "a/1", Window: time.Second}
	c.Add(time.Unix(1000, 0), "x")
	c.Add(time.Unix(1000+retainedWindows+1, 0), "x")
	require.Empty(t, c.Totals(1000))
	c.Merge([]savoryloft.UsageCount{{Source: "b/1", Window: 5000, Account: "x", Requests: 7}})
	require.Empty(t, c.Totals(5000), "counts of a peer whose clock is wrong are ignored")
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
