package launcher

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rankedRoute returns a route of resumable streams whose objective is as short as it is urgent.
func rankedRoute(name string, rank, objectiveMs int) map[string]any {
	r := route(name, "streaming", 2, true)
	r["priority"], r["goal_ms"] = rank, objectiveMs
	return r
}

// Guards against urgent requests that get nothing, since less urgent ones fill the queues of
// all upstreams and use up the retries, or since they are shed first for their short objective.
func TestUrgentRequestsAreServedBesideLessUrgentOnes(t *testing.T) {
	const urgentCallers, callsEach, others = 2, 15, 40
	account := 1
	for _, tt := range []struct {
		name string
		rank *int // Of the accounts.
	}{
		{"ranks of routes", nil},
		{"accounts of one rank", &account},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t)
			c.rank, c.traits = tt.rank, map[string]any{"slots": 2}
			c.routes = []any{rankedRoute("reply", 0, 100), rankedRoute("draft", 1, 300), rankedRoute("review", 2, 1000)}
			c.writeConfiguration()
			for range 3 {
				c.addSlottedEngine(2, 4, 20*time.Millisecond)
			}
			for range 2 {
				c.waitForUpstreams(c.start(longRevocation), 3)
			}
			c.waitForLinks()
			var stop atomic.Bool
			var mu sync.Mutex
			var group sync.WaitGroup
			call := func(n int, route string) response {
				mu.Lock()
				r := c.requestWithParts(c.instances[n%2], route, "key-1", fmt.Sprintf("a%d:60,b%d:40", n%7, n))
				mu.Unlock()
				return c.do(r)
			}
			for n := range others {
				group.Go(func() {
					for !stop.Load() {
						if call(n, "review").status != http.StatusOK {
							time.Sleep(20 * time.Millisecond)
						}
					}
				})
			}
			time.Sleep(2 * time.Second)
			statuses := map[int]int{}
			var urgent sync.WaitGroup
			for n := range urgentCallers {
				urgent.Go(func() {
					for range callsEach {
						r := call(n, "reply")
						mu.Lock()
						statuses[r.status]++
						mu.Unlock()
					}
				})
			}
			urgent.Wait()
			stop.Store(true)
			group.Wait()
			require.Equal(t, map[int]int{http.StatusOK: urgentCallers * callsEach}, statuses)
		})
	}
}

// Guards against attempts that are cut in the queue of an upstream after a multiple of their
// objective although all other upstreams are as full: they lose their place.
func TestQueuedRequestKeepsItsPlaceWhereAllUpstreamsAreFull(t *testing.T) {
	const objective = 50 * time.Millisecond
	c := newCluster(t)
	c.traits = map[string]any{"slots": 1}
	c.routes = []any{rankedRoute("reply", 0, int(objective.Milliseconds())), rankedRoute("review", 2, 2000)}
	c.writeConfiguration()
	first, second := c.addSlottedEngine(1, 4, 150*time.Millisecond), c.addSlottedEngine(1, 4, 150*time.Millisecond)
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 2)
	var group sync.WaitGroup
	for range 2 {
		r := c.requestWithParts(i, "review", "key-1", "a1:60,b1:40")
		group.Go(func() { require.Equal(t, http.StatusOK, c.do(r).status) })
		time.Sleep(objective)
	}
	for range 2 {
		r := c.requestWithParts(i, "reply", "key-1", "a1:60,b2:40")
		group.Go(func() { require.Equal(t, http.StatusOK, c.do(r).status) })
		time.Sleep(objective)
	}
	group.Wait()
	require.Equal(t, 4, first.Arrived()+second.Arrived(), "each request reaches one upstream, once")
}
