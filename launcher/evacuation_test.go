package launcher

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/platform"
)

func (c *cluster) evacuate(domain string, inForce bool) {
	var value []byte
	if inForce {
		value = []byte(`{}`)
	}
	c.log.Set(savoryloft.TopicConfiguration, "evacuate/"+domain, value)
	for _, i := range c.instances {
		require.Eventually(c.t, func() bool { return i.launcher.watcher.IsEvacuated(domain) == inForce }, eventuallyTimeout, 5*time.Millisecond)
	}
}

// Guards against requests of any kind that reach an evacuated failure domain, from any
// instance, also one that has just started.
func TestEvacuatedFailureDomainGetsNoRequests(t *testing.T) {
	c := newCluster(t)
	first, second := c.addEngine(nil), c.addEngine(nil)
	second.FailureDomain = "b"
	c.register(second.ID, registeredAddress(t, c, second.ID), "ready")
	c.waitForUpstreams(c.start(longRevocation), 2)
	c.waitForUpstreams(c.start(longRevocation), 2)
	callAll := func(status int) {
		for _, i := range c.instances {
			for _, route := range []string{"once", "twice", "stream", "resume"} {
				for range 5 {
					require.Equal(t, status, c.call(i, route, "key-1").status)
				}
			}
		}
	}
	callAll(200)
	c.evacuate("a", true)
	c.waitForUpstreams(c.start(longRevocation), 2)
	before := len(first.Requests())
	callAll(200)
	require.Len(t, first.Requests(), before)
	c.evacuate("b", true)
	before = len(second.Requests())
	callAll(503)
	r := c.call(c.instances[0], "once", "key-1")
	require.Contains(t, r.body, `"Evacuated"`)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Len(t, second.Requests(), before)
	c.evacuate("a", false)
	c.evacuate("b", false)
	callAll(200)
}

// Guards against a request that waits for a token of an upstream's limit, and is sent there
// once it gets it although the failure domain has been evacuated meanwhile.
func TestWaitForTokenDoesNotEndInAnEvacuatedFailureDomain(t *testing.T) {
	const waiting = 6
	c := newCluster(t)
	e := c.addEngine(nil)
	e.SetLimit("8") // A token each 125 ms; requests wait for up to 500 ms.
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 1)
	require.Equal(t, 200, c.call(i, "once", "key-1").status)
	u := i.launcher.watcher.Upstreams("s")[0]
	require.Eventually(t, func() bool { _, ok := i.launcher.throttler.Limit(u); return ok }, eventuallyTimeout, time.Millisecond)
	var calls sync.WaitGroup
	for range waiting {
		r := c.request(i, "once", "key-1")
		calls.Go(func() { _ = c.do(r) })
	}
	c.evacuate("a", true)
	before := len(e.Requests())
	calls.Wait()
	require.LessOrEqual(t, len(e.Requests()), before+1, "one may have been on its way")
}

// registeredAddress returns the address at which an engine of the cluster is registered.
func registeredAddress(t *testing.T, c *cluster, id string) string {
	page, err := c.log.Newest(t.Context(), savoryloft.TopicRegistry)
	require.NoError(t, err)
	for _, r := range page.Records {
		if r.Key == id {
			u, err := (platform.Decoder{}).Upstream(id, r.Value)
			require.NoError(t, err)
			return u.Address
		}
	}
	require.FailNow(t, "engine is not registered", id)
	return ""
}
