package launcher

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Requests beyond the slots of all upstreams wait at the instance and are then served;
// urgent ones do not wait, and one whose caller leaves is not sent.
func TestRequestsWaitForRoom(t *testing.T) {
	const slots, streamTime = 8, 600 * time.Millisecond
	c := newCluster(t)
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
