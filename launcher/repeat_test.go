package launcher

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/platform/standin"
)

// runCounts counts the runs of requests by ID.
type runCounts struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounts) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = map[string]int{}
	}
	c.runs[id]++
}

func (c *runCounts) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// addRepeater starts an engine that repeats its refusals and adds it to the registry under
// each of the IDs.
func (c *cluster) addRepeater(p *standin.Repeater, ids ...string) {
	l := c.listen()
	c.t.Cleanup(func() { _ = l.Close() })
	go p.Serve(l)
	for _, id := range ids {
		c.register(id, l.Addr().String(), "ready")
	}
}

// notRunStatuses are those that promise that a request has not run.
var notRunStatuses = []int{
	http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
}

// Guards against a repeated refusal of an earlier request that is taken for the refusal of the
// next one on the connection: a client is told that its request has not run although it has,
// or it runs at a second upstream.
func TestRepeatedRefusalsAreDiscarded(t *testing.T) {
	const requests = 6
	for _, status := range []int{503, 429, 421, 400} {
		for _, unnamed := range []bool{false, true} {
			for when := range standin.RepeatTimes {
				for _, count := range []int{1, 2, 3} {
					p := standin.Repeater{Status: status, Unnamed: unnamed, Time: standin.RepeatTime(when), Count: count}
					t.Run(fmt.Sprintf("%d, unnamed %t, %s, %d times", status, unnamed, p.Time, count), func(t *testing.T) {
						t.Parallel()
						testRepeatedRefusals(t, p, requests)
					})
				}
			}
		}
	}
}

func testRepeatedRefusals(t *testing.T, p standin.Repeater, requests int) {
	c := newCluster(t)
	var ran runCounts
	p.Ran = ran.add
	second := p
	c.addRepeater(&p, "i-first")
	c.addRepeater(&second, "i-second")
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 2)
	for _, route := range []string{"once", "twice", "stream", "resume"} {
		for range requests {
			r := c.request(i, route, "key-1")
			resp := c.do(r)
			runs := ran.of(standin.AttemptID(r))
			if slices.Contains(notRunStatuses, resp.status) {
				require.Zero(t, runs, "%s: the client is told with status %d that it has not run", route, resp.status)
			}
			if !c.mayRepeat(route) {
				require.LessOrEqual(t, runs, 1, route)
			}
			if resp.status == http.StatusOK {
				require.NotZero(t, runs, route)
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// Guards against a refusal without an ID that is taken for that of the request although the
// connection has carried something before: the query for the upstream's report, or a
// response to another request.
func TestUnnamedRefusalOfSomethingElse(t *testing.T) {
	for _, route := range []string{"once", "stream", "resume"} {
		for _, tt := range []struct {
			name  string
			serve func(l net.Listener, ran func(id string))
		}{
			{"after a refused query", standin.ServeRefusedQueries},
			{"after a response to another request", standin.ServeUnnamedRefusalAfterAnother},
		} {
			t.Run(route+", "+tt.name, func(t *testing.T) {
				c := newCluster(t)
				var ran runCounts
				for _, id := range []string{"i-first", "i-second"} {
					l := c.listen()
					defer l.Close()
					go tt.serve(l, ran.add)
					c.log.Set(savoryloft.TopicRegistry, id, registryEntry(l.Addr().String(), 1))
				}
				i := c.start(longRevocation)
				c.waitForUpstreams(i, 2)
				for range 4 {
					r := c.request(i, route, "key-1")
					resp := c.do(r)
					runs := ran.of(standin.AttemptID(r))
					if slices.Contains(notRunStatuses, resp.status) {
						require.Zero(t, runs, "status %d", resp.status)
					}
					if !c.mayRepeat(route) {
						require.LessOrEqual(t, runs, 1)
					}
				}
			})
		}
	}
}

// Guards against a copy of the refusal of a request that is taken for that of its next send on
// the same connection: to an upstream that has a second entry in the registry, or because the
// client sends it again under its ID.
func TestRefusalRepeatedToTheSameRequest(t *testing.T) {
	for _, route := range []string{"once", "stream", "resume"} {
		for _, when := range []standin.RepeatTime{standin.WhileIdle, standin.OnRequest, standin.WithResponse, standin.Split} {
			for _, tt := range []struct {
				name string
				ids  []string
			}{
				{"two entries", []string{"i-first", "i-second"}},
				{"sent again", []string{"i-first"}},
			} {
				t.Run(fmt.Sprintf("%s, %s, %s", route, when, tt.name), func(t *testing.T) {
					c := newCluster(t)
					var ran runCounts
					c.addRepeater(&standin.Repeater{Status: 503, Time: when, Ran: ran.add}, tt.ids...)
					i := c.start(longRevocation)
					c.waitForUpstreams(i, len(tt.ids))
					for range 5 {
						r := c.request(i, route, "key-1")
						id := standin.AttemptID(r)
						for range 2 {
							before := ran.of(id)
							resp := c.do(r)
							runs := ran.of(id) - before
							require.LessOrEqual(t, runs, 1)
							if slices.Contains(notRunStatuses, resp.status) {
								require.Zero(t, runs, "status %d", resp.status)
							}
							r = c.repeat(r)
						}
					}
				})
			}
		}
	}
}

// Guards against a pause, a leave or an end of the upstream that is read from a copy of a
// refusal, which belongs to no request.
func TestRepeatedRefusalSaysNothingOfTheUpstream(t *testing.T) {
	for _, tt := range []struct {
		name, header string
	}{
		{"pause", "Retry-After: 60\r\n"},
		{"leave", "Server-Leaving: 1\r\n"},
		{"limit", "Server-Limit: 0\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t)
			l := c.listen()
			defer l.Close()
			go standin.ServeStrayRefusals(l, tt.header)
			c.register("i-stray", l.Addr().String(), "ready")
			i := c.start(longRevocation)
			c.waitForUpstreams(i, 1)
			for range 4 {
				for _, route := range []string{"once", "stream", "resume"} {
					require.Equal(t, http.StatusOK, c.call(i, route, "key-1").status, route)
				}
			}
			require.False(t, i.launcher.watcher.Upstreams("s")[0].Draining)
		})
	}
}
