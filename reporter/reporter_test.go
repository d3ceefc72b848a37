package reporter_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/reporter"
)

func delta(instance string, sequence, window, tokens int) []byte {
	data, err := json.Marshal(savoryloft.UsageDelta{
		Instance: instance, Incarnation: 1, Sequence: sequence, Window: window,
		Figures: []savoryloft.UsageFigure{{ClientAccount: "a", Class: "c", Requests: 1, OutputTokens: tokens}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

func TestTally(t *testing.T) {
	tests := []struct {
		name         string
		deltas       [][]byte
		tokens, late int
		carried      int
	}{
		{"one delta", [][]byte{delta("i", 1, 60, 5)}, 5, 0, 0},
		{"repeated deltas count once", [][]byte{delta("i", 1, 60, 5), delta("i", 2, 60, 7), delta("i", 1, 60, 5), delta("i", 2, 60, 7)}, 12, 0, 0},
		{"earlier window counts as late", [][]byte{delta("i", 1, 0, 5)}, 5, 1, 0},
		{"later window is carried forward", [][]byte{delta("i", 1, 120, 5)}, 0, 0, 5},
		{"two instances", [][]byte{delta("i", 1, 60, 5), delta("j", 1, 60, 6)}, 11, 0, 0},
		{"malformed record is ignored", [][]byte{[]byte("{"), delta("i", 1, 60, 5)}, 5, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tally := reporter.NewTally(nil)
			for _, d := range tt.deltas {
				tally.Add(d)
			}
			c := tally.Close(60, len(tt.deltas))
			tokens, late := 0, 0
			for _, f := range c.Figures {
				tokens += f.OutputTokens
				late += f.LateRequests
			}
			require.Equal(t, tt.tokens, tokens)
			require.Equal(t, tt.late, late)
			next := reporter.NewTally(&c).Close(120, len(tt.deltas))
			carried := 0
			for _, f := range next.Figures {
				carried += f.OutputTokens
			}
			require.Equal(t, tt.carried, carried)
		})
	}
}

// Guards against tokens that are lost or counted twice when windows are closed at
// random offsets and deltas are appended more than once.
func TestWindowsCountEachTokenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := 0
		sequence := map[string]int{}
		var stream [][]byte
		for range rapid.IntRange(1, 40).Draw(t, "deltas") {
			instance := rapid.SampledFrom([]string{"i", "j", "k"}).Draw(t, "instance")
			tokens := rapid.IntRange(0, 100).Draw(t, "tokens")
			sequence[instance]++
			d := delta(instance, sequence[instance], 60*rapid.IntRange(1, 4).Draw(t, "window"), tokens)
			want += tokens
			for range rapid.IntRange(1, 3).Draw(t, "appends") {
				stream = append(stream, d)
			}
		}
		got := 0
		var last *savoryloft.WindowClose
		from := 0
		for window := 60; window <= 300; window += 60 {
			upTo := len(stream)
			if window < 300 {
				upTo = rapid.IntRange(from, len(stream)).Draw(t, "cut")
			}
			tally := reporter.NewTally(last)
			for _, d := range stream[from:upTo] {
				tally.Add(d)
			}
			c := tally.Close(window, upTo)
			for _, f := range c.Figures {
				got += f.OutputTokens
			}
			last, from = &c, upTo
		}
		require.Equal(t, want, got)
	})
}

// BenchmarkTally aggregates a window of one minute with one delta per second from
// each instance, or from one relay per failure domain.
func BenchmarkTally(b *testing.B) {
	for _, instances := range []int{8, 80, 780} {
		b.Run(fmt.Sprint("instances=", instances), func(b *testing.B) {
			var stream [][]byte
			for i := range instances {
				for s := range 60 {
					stream = append(stream, delta(fmt.Sprint("entry-", i), s+1, 60, 10))
				}
			}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				t := reporter.NewTally(nil)
				for _, d := range stream {
					t.Add(d)
				}
				c := t.Close(60, len(stream))
				data, err := json.Marshal(c)
				require.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
