package budgeter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a budget that is exceeded, or that stalled clients use up for good.
func TestStalledHoldingsAreTakenBack(t *testing.T) {
	const large = 3 * smallBytes
	for _, tt := range []struct {
		name      string
		prepare   func(h *Holding)
		after     time.Duration
		reserved  bool
		reclaimed bool
	}{
		{"in progress", func(*Holding) {}, stallTime / 2, false, false},
		{"stalled", func(*Holding) {}, stallTime, true, true},
		{"stalled earlier", func(h *Holding) { time.Sleep(stallTime); h.Progress() }, stallTime / 2, false, false},
		{"complete", func(h *Holding) { require.True(t, h.Keep()) }, time.Hour, false, false},
		{"closed", func(h *Holding) { h.Close() }, 0, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &Budget{}
				b.SetLimit(4 * smallBytes)
				reclaimed := false
				first := b.Open(func() { reclaimed = true })
				require.True(t, first.Reserve(large))
				tt.prepare(first)
				time.Sleep(tt.after)
				second := b.Open(func() { t.Error("the one that reserves was taken back") })
				require.Equal(t, tt.reserved, second.Reserve(large))
				require.Equal(t, tt.reclaimed, reclaimed)
				require.Equal(t, !tt.reclaimed, first.Keep() || tt.name == "closed")
				small := b.Open(func() {})
				require.True(t, small.Reserve(smallBytes), "a part is left for small holdings")
				require.False(t, small.Reserve(1))
				for _, h := range []*Holding{first, second, small} {
					h.Close()
					h.Close()
				}
				used, _, _ := b.Totals()
				require.Zero(t, used)
			})
		})
	}
}

// Guards against stalled holdings that are taken back for a reservation that fails all the
// same.
func TestNothingIsTakenBackInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{}
		b.SetLimit(16 * smallBytes)
		kept := b.Open(func() {})
		require.True(t, kept.Reserve(9*smallBytes))
		require.True(t, kept.Keep())
		for range 4 {
			require.True(t, b.Open(func() { t.Error("taken back") }).Reserve(smallBytes/2))
		}
		time.Sleep(stallTime)
		require.False(t, b.Open(func() {}).Reserve(8*smallBytes))
	})
}

// Guards against responses of requests that have run, lost beside large bodies.
func TestResponsesMayUseTheWholeBudget(t *testing.T) {
	b := &Budget{}
	b.SetLimit(8 * smallBytes)
	body := b.Open(func() {})
	require.True(t, body.Reserve(6*smallBytes))
	require.True(t, body.Keep())
	response := b.Open(func() {})
	require.False(t, response.Reserve(2*smallBytes), "a part is left for small holdings")
	response.ForResponse()
	require.True(t, response.Reserve(2*smallBytes))
	require.False(t, response.Reserve(1), "the limit holds")
}
