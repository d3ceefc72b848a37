package launcher

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/platform/standin"
)

// cuts stores which responses engines cut, by attempt ID. Only the first response to
// an attempt is cut.
type cuts struct {
	mu      sync.Mutex
	pending map[string]standin.Cut
	active  map[string]standin.Cut
}

func (c *cuts) decide(r *http.Request) standin.Behaviour {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := standin.AttemptID(r)
	cut, ok := c.pending[id]
	if !ok {
		return standin.Normal
	}
	delete(c.pending, id)
	c.active[id] = cut
	return standin.CutResponse
}

func (c *cuts) cut(r *http.Request) standin.Cut {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active[standin.AttemptID(r)]
}

func (c *cuts) add(r *http.Request, cut standin.Cut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[standin.AttemptID(r)] = cut
}

// Guards against responses that an upstream has broken off and that reach the caller as complete ones.
func TestCutResponsesNeverLookComplete(t *testing.T) {
	framings := []string{"length", "chunks", "unframed"}
	endings := []string{"closed", "reset", "silent", "longer"}
	for _, route := range []string{"once", "twice", "stream", "resume"} {
		for f := range standin.FramingCount {
			for e := range standin.EndingCount {
				t.Run(route+", "+framings[f]+", "+endings[e], func(t *testing.T) {
					t.Parallel()
					testCuts(t, route, f, e)
				})
			}
		}
	}
}

func testCuts(t *testing.T, route string, f standin.Framing, e standin.Ending) {
	c := newCluster(t)
	cuts := &cuts{pending: map[string]standin.Cut{}, active: map[string]standin.Cut{}}
	for range 2 {
		engine := c.addEngine(cuts.decide)
		engine.Cut, engine.EventCount, engine.EventInterval = cuts.cut, 3, 0
	}
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 2)
	step := 1
	if e == standin.StaySilent {
		step = 41 // Each of these responses ends by a timeout.
	}
	start := 0
	if e == standin.SendMore {
		head, body := c.engines[0].Encode(c.request(i, route, "key-1"), f)
		start = len(head) + len(body)
	}
	for at, whole := start, false; !whole; at += step {
		r := c.request(i, route, "key-1")
		r.Header.Set("X-Deadline-Ms", "700")
		head, body := c.engines[0].Encode(r, f)
		cut := standin.Cut{Framing: f, Ending: e, At: at}
		whole = at >= len(head)+len(body)
		cuts.add(r, cut)
		resp := doOnNewConnection(t, r)
		where := fmt.Sprintf("cut at %d, head of %d, body of %d: %+v", at, len(head), len(body), resp)
		if resp.err != nil || resp.status != http.StatusOK {
			// The first upstream's silence can take up the time of a second attempt.
			require.True(t, e == standin.StaySilent || !c.mayRepeat(route), "the request may be repeated: %s", where)
			require.False(t, whole && f != standin.Unframed, "the response was complete: %s", where)
			continue
		}
		if f == standin.Unframed && at >= len(head) && c.looksComplete(body[:min(at-len(head), len(body))], route, e) {
			continue // Nothing tells it from a complete response.
		}
		require.Contains(t, []string{c.engines[0].Body(r), c.engines[1].Body(r)}, resp.body, where)
	}
}

// doOnNewConnection sends a request and reads the whole response.
func doOnNewConnection(t *testing.T, r *http.Request) response {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	resp, err := client.Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(body), err}
}

func (c *cluster) mayRepeat(route string) bool { return route == "twice" || route == "resume" }

// looksComplete reports whether a body without length or chunks that ends in the given
// way is a complete one by its protocol: a plain body ends when its connection is
// closed, and a stream of events also ends after an event.
func (c *cluster) looksComplete(body, route string, e standin.Ending) bool {
	switch e {
	case standin.CloseConnection:
		return route == "once" || route == "twice" || body != "" && strings.HasSuffix(body, "\n\n")
	case standin.SendMore:
		return route == "once" || route == "twice"
	}
	return false
}

// Guards against a head that an upstream has broken off at any byte, on a connection that
// has carried whole responses before, and that reaches the caller as a whole response.
func TestCutHeadsOnKeptConnections(t *testing.T) {
	for _, route := range []string{"once", "twice", "stream", "resume"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			cuts := &cuts{pending: map[string]standin.Cut{}, active: map[string]standin.Cut{}}
			engine := c.addEngine(cuts.decide) // A single one, so that nothing is sent again.
			engine.Cut, engine.EventCount, engine.EventInterval = cuts.cut, 3, 0
			i := c.start(longRevocation)
			c.waitForUpstreams(i, 1)
			for f := range standin.FramingCount {
				for at, end := 0, 1; at < end; at++ {
					require.Equal(t, http.StatusOK, c.call(i, route, "key-1").status)
					r := c.request(i, route, "key-1")
					head, _ := engine.Encode(r, f)
					end = len(head)
					cuts.add(r, standin.Cut{Framing: f, At: at})
					resp := doOnNewConnection(t, r)
					require.GreaterOrEqual(t, resp.status, http.StatusInternalServerError, "framing %d, cut after %q: %+v", f, head[:at], resp)
					require.Eventually(t, func() bool { // The upstream may be avoided for a while.
						return c.call(i, route, "key-1").status == http.StatusOK
					}, eventuallyTimeout, 5*time.Millisecond)
				}
			}
		})
	}
}
