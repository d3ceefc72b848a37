package launcher

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/platform/standin"
)

// Requests beyond the slots of all upstreams wait at the instance and are then served;
// urgent ones do not wait, and one whose caller leaves is not sent.
func TestRequestsWaitForRoom(t *testing.T) {
	const slots, streamTime = 8, 600 * time.Millisecond
	c := newCluster(t)
	c.queue = true
	e := c.addEngine(nil)
	e.EventInterval = streamTime / 6
	i := c.start(time.Minute)
	c.waitForUpstreams(i, 1)
	responses := make(chan response, 3*slots)
	send := func(route string, n int) {
		for range n {
			r := c.requestWithParts(i, route, "key-1", "aa:60,bb:40")
			go func() { responses <- c.do(r) }()
		}
	}
	received := func() int { return len(e.Requests()) }
	send("stream", 2*slots)
	require.Eventually(t, func() bool { return received() == slots }, eventuallyTimeout, time.Millisecond)
	ctx, leave := context.WithCancel(context.Background())
	left := c.requestWithParts(i, "stream", "key-1", "aa:60,bb:40").WithContext(ctx)
	go func() { _, _ = http.DefaultClient.Do(left) }()
	pool := func() int {
		if p := i.launcher.admitter.Pool("s"); p != nil {
			return p.Waiting()
		}
		return 0
	}
	require.Eventually(t, func() bool { return pool() == slots+1 }, eventuallyTimeout, time.Millisecond)
	leave()
	send("urgent", 1)
	require.Eventually(t, func() bool { return pool() == slots && received() == slots+1 }, eventuallyTimeout, time.Millisecond)
	for range 2*slots + 1 {
		resp := <-responses
		require.Equal(t, http.StatusOK, resp.status)
		require.Equal(t, fullStream(6), resp.body)
	}
	require.Equal(t, 2*slots+1, received())
	require.Zero(t, pool())
	require.Eventually(t, func() bool { return len(i.launcher.placer.TotalLoads(time.Now())) == 0 }, eventuallyTimeout, time.Millisecond, "room is still taken")
}

// A request without a prompt that all upstreams refuse since they are full is sent again
// after a pause, at most four times in all.
func TestRequestsThatAllUpstreamsRefuse(t *testing.T) {
	for _, tt := range []struct {
		name     string
		refusals int // Of each of two upstreams.
		status   int
		sends    int
	}{
		{"full for a moment", 1, http.StatusOK, 3},
		{"full for longer", 100, http.StatusServiceUnavailable, 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t)
			refuse := func() func(*http.Request) standin.Behaviour {
				var n atomic.Int32
				return func(*http.Request) standin.Behaviour {
					if int(n.Add(1)) <= tt.refusals {
						return standin.Reject
					}
					return standin.Normal
				}
			}
			a, b := c.addEngine(refuse()), c.addEngine(refuse())
			i := c.start(time.Minute)
			c.waitForUpstreams(i, 2)
			resp := c.call(i, "once", "key-1")
			require.Equal(t, tt.status, resp.status)
			require.Equal(t, tt.sends, len(a.Requests())+len(b.Requests()))
		})
	}
}
