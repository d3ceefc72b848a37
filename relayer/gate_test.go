package relayer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/placer"
	"savoryloft.example/savoryloft/router"
)

// Pattern: bursts of long prompts. The least urgent are refused first, what
// engines put first is never refused, and short waits refuse nobody.
func TestOverloadSheddingByRank(t *testing.T) {
	for _, tt := range []struct {
		name  string
		rank  int
		parts bool
		first time.Duration
		want  bool
	}{
		{"least urgent, in time", 2, true, time.Second, false},
		{"least urgent, late", 2, true, 1300 * time.Millisecond, true},
		{"more urgent, as late", 1, true, 1300 * time.Millisecond, false},
		{"more urgent, far too late", 1, true, 2600 * time.Millisecond, true},
		{"most urgent", 0, true, time.Minute, false},
		{"plain service", 2, false, time.Minute, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			x := &exchange{route: &savoryloft.PathRoute{Objective: time.Second}, identity: router.Identity{Rank: tt.rank}}
			if tt.parts {
				x.call.Parts = []savoryloft.PromptPart{{ID: "p", Tokens: 1}}
			}
			require.Equal(t, tt.want, x.overloaded(placer.Choice{TimeToFirstToken: tt.first}))
		})
	}
}
