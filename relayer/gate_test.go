package relayer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/placer"
)

// In a burst of long prompts, load shedding must refuse the least urgent requests
// first and the most urgent ones never. A short predicted wait sheds nothing.
func TestOverloadSheddingByUrgency(t *testing.T) {
	for _, tt := range []struct {
		name             string
		route            int    // Its rank; the objectives are 0.25, 0.3 and 1 s.
		key              string // Of the only account; see rankedTable.
		hasPrompt        bool
		timeToFirstToken time.Duration
		want             bool
	}{
		{"least urgent, within limit", 2, "plain", true, time.Second, false},
		{"least urgent, late", 2, "plain", true, 1300 * time.Millisecond, true},
		{"more urgent, equally late", 1, "plain", true, 1300 * time.Millisecond, false},
		{"more urgent, beyond its limit", 1, "plain", true, 2600 * time.Millisecond, true},
		{"most urgent", 0, "plain", true, time.Minute, false},
		{"request without prompt", 2, "plain", false, time.Minute, false},
		{"account with a rank, least urgent route", 2, "rank-1", true, 1300 * time.Millisecond, true},
		{"account with a rank, more urgent route", 1, "rank-1", true, 1300 * time.Millisecond, false},
		{"account with a rank, most urgent route", 0, "rank-1", true, time.Minute, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			x := exchangeOf(t, rankedTable(tt.key), tt.route, tt.key)
			if !tt.hasPrompt {
				x.call.Parts = nil
			}
			require.Equal(t, tt.want, x.overloaded(placer.Choice{TimeToFirstToken: tt.timeToFirstToken}))
		})
	}
}
