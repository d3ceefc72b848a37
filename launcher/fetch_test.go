package launcher

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/platform/standin"
)

// Prompt parts that an upstream has cached which leaves are fetched from it. If that fails,
// because the source has ended or is cut off, the request is answered all the same.
func TestPromptPartsAreFetchedFromAnUpstreamThatLeaves(t *testing.T) {
	on := func(b standin.Behaviour) func(*http.Request) standin.Behaviour {
		return func(r *http.Request) standin.Behaviour {
			if standin.IsFetch(r) {
				return b
			}
			return standin.Normal
		}
	}
	for _, tt := range []struct {
		name   string
		decide func(*http.Request) standin.Behaviour
		sends  []bool // Whether each of them fetches.
		metric string
	}{
		{"fetched", nil, []bool{true}, "prompt_fetches_total.done"},
		{"connection breaks", on(standin.DropResponse), []bool{true, false}, "prompt_fetches_total.failed"},
		{"no event", on(standin.Hang), []bool{true, false}, "prompt_fetches_total.failed"},
		{"refused", on(standin.Reject), []bool{true, true}, "prompt_fetches_total.refused"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			c.traits = map[string]any{"kv_bytes": 163840, "link_mbps": 1100000}
			c.version++
			c.writeConfiguration()
			holder := c.addEngine(nil)
			i := c.start(longRevocation)
			c.waitForUpstreams(i, 1)
			send := func() response {
				r := c.requestWithParts(i, "resume", "key-1", "aa:13300,bb:3720")
				r.Header.Set("X-Token-Count", "17020,20")
				return c.do(r)
			}
			require.Equal(t, fullStream(6), send().body)
			others := []*standin.Engine{c.addEngine(tt.decide), c.addEngine(tt.decide)}
			c.waitForUpstreams(i, 3)
			source := i.launcher.watcher.Upstreams("s")[0]
			require.Equal(t, holder.ID, source.ID)
			i.launcher.watcher.MarkLeaving(source)
			resp := send()
			if tt.name == "refused" {
				require.Equal(t, http.StatusServiceUnavailable, resp.status)
			} else {
				require.Equal(t, fullStream(6), resp.body)
			}
			require.Len(t, holder.Requests(), 1)
			fetches := map[bool]int{}
			for _, e := range others {
				for _, r := range e.Requests() {
					fetches[r.Fetch == source.Address]++
					require.Contains(t, []string{"", source.Address}, r.Fetch)
				}
			}
			want := map[bool]int{}
			for _, f := range tt.sends {
				want[f]++
			}
			require.Equal(t, want, fetches)
			require.NotNil(t, i.launcher.relayer.Metrics.Get(tt.metric))
		})
	}
}
