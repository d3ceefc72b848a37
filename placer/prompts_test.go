package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPromptTokensCountSharedPartsOnce(t *testing.T) {
	p := &Placer{}
	list := testUpstreams(3)
	for _, shared := range []string{"a", "b", "a", "a"} {
		r := prompt(shared, 1000, 300)
		p.Start(start, choose(t, p, start, r, list), r).End(start, Succeeded)
	}
	require.Equal(t, 2000, p.PromptTokens(start, "s"))
	require.Zero(t, p.PromptTokens(start, "other"))
	later := start.Add(cachedPartTTL + time.Second)
	require.Zero(t, p.PromptTokens(later, "s"))
	p.Prune(later)
	require.Empty(t, p.askedParts)
}
