package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
)

// A part that is asked for often does not stay in one failure domain; the rate of copies is
// bounded, and a part that is rarely asked for stays where it is.
func TestHotPromptPartsAreCopiedToAnotherDomain(t *testing.T) {
	for _, tt := range []struct {
		name      string
		domains   int
		instances int
		interval  time.Duration // Between requests for one document.
		requests  int           // For each of two documents.
		copies    int
	}{
		{"hot", 3, 1, time.Second, 10, 2},
		{"asked for twice", 3, 1, time.Second, 2, 0},
		{"rarely asked for", 3, 1, 15 * time.Second, 10, 0},
		{"one domain", 1, 1, time.Second, 10, 0},
		{"a copy by each of many instances", 3, 60, time.Second, 10, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := &Placer{FailureDomain: "a"}
			p.SetInstances(tt.instances)
			list := linkedUpstreams(6, tt.domains)
			hold(p, list[0], "document-0")
			hold(p, list[0], "document-1")
			copies, read := 0, 0
			for n := range 2 * tt.requests {
				now := start.Add(time.Duration(n/2+1) * tt.interval).Add(time.Duration(n%2) * tt.interval / 2)
				r := linkedPrompt(fmt.Sprint("document-", n%2))
				c := choose(t, p, now, r, list)
				run := p.Start(now, c, r)
				run.RecordFirstToken(now.Add(100 * time.Millisecond))
				run.End(now.Add(200*time.Millisecond), Succeeded)
				read += max(c.UncachedTokens-ownTokens, 0)
				if c.Copies {
					require.NotEqual(t, list[0].FailureDomain, c.Upstream.FailureDomain)
					copies++
				}
			}
			require.Equal(t, tt.copies, copies)
			require.Zero(t, read)
			if copies < 2 {
				return
			}
			var others []savoryloft.RegisteredUpstream // After the loss of the domain.
			for _, u := range list {
				if u.FailureDomain != list[0].FailureDomain {
					others = append(others, u)
				}
			}
			for n := range 2 {
				lost := start.Add(time.Duration(tt.requests+1) * tt.interval)
				require.Equal(t, ownTokens, choose(t, p, lost, linkedPrompt(fmt.Sprint("document-", n)), others).UncachedTokens)
			}
		})
	}
}
