package relayer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/placer"
	"savoryloft.example/savoryloft/router"
)

// In a burst of long prompts, load shedding must refuse the least urgent requests
// first and the most urgent ones never. A short predicted wait sheds nothing.
func TestOverloadSheddingByRank(t *testing.T) {
	for _, tt := range []struct {
		name             string
		rank             int
		hasPrompt        bool
		timeToFirstToken time.Duration
		want             bool
	}{
		{"least urgent, within limit", 2, true, time.Second, false},
		{"least urgent, late", 2, true, 1300 * time.Millisecond, true},
		{"more urgent, equally late", 1, true, 1300 * time.Millisecond, false},
		{"more urgent, beyond its limit", 1, true, 2600 * time.Millisecond, true},
		{"most urgent", 0, true, time.Minute, false},
		{"request without prompt", 2, false, time.Minute, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			x := &exchange{route: &savoryloft.PathRoute{Objective: time.Second}, identity: router.Identity{Rank: tt.rank}}
			if tt.hasPrompt {
				x.call.Parts = []savoryloft.PromptPart{{ID: "p", Tokens: 1}}
			}
			require.Equal(t, tt.want, x.overloaded(placer.Choice{TimeToFirstToken: tt.timeToFirstToken}))
		})
	}
}
