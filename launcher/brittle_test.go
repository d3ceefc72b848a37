package launcher

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/platform/standin"
)

// Guards against brittle upstreams that fall over since the instances together send them
// more requests than they may turn away.
func TestBrittleUpstreamsTurnFewRequestsAway(t *testing.T) {
	const (
		perSecond = 3
		learning  = time.Second // Until all instances know that the upstreams are brittle.
		period    = 3 * time.Second
	)
	for _, route := range []string{"once", "twice", "stream", "resume"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			for range 3 {
				c.addEngine(func(*http.Request) standin.Behaviour { return standin.Reject }).SetBrittle("3")
			}
			for range 3 {
				c.waitForUpstreams(c.start(longRevocation), 3)
			}
			var calls sync.WaitGroup
			started := time.Now()
			for n := 0; time.Since(started) < learning+period; n++ {
				r := c.request(c.instances[n%3], route, "key-1")
				calls.Go(func() {
					resp, err := http.DefaultClient.Do(r)
					if err == nil {
						_ = resp.Body.Close()
					}
				})
				time.Sleep(10 * time.Millisecond)
			}
			calls.Wait()
			for _, e := range c.engines {
				rejected := slices.DeleteFunc(slices.Clone(e.Requests()), func(r standin.ReceivedRequest) bool { return r.At.Sub(started) < learning })
				for i, first := range rejected {
					n := slices.IndexFunc(rejected[i:], func(r standin.ReceivedRequest) bool { return r.At.Sub(first.At) >= time.Second })
					if n < 0 {
						n = len(rejected) - i
					}
					require.LessOrEqual(t, n, perSecond, "requests that %s turned away within a second", e.ID)
				}
			}
		})
	}
}
