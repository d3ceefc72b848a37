package launcher

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/platform"
	"savoryloft.example/savoryloft/platform/standin"
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
// once it gets it although the upstream must not get requests any more.
func TestWaitForTokenDoesNotEndAtAnUpstreamThatMustNotBeUsed(t *testing.T) {
	const waiting = 6
	for _, tt := range []struct {
		name   string
		change func(c *cluster, e *standin.Engine)
	}{
		{"its failure domain is evacuated", func(c *cluster, _ *standin.Engine) { c.evacuate("a", true) }},
		{"it drains", func(c *cluster, e *standin.Engine) { c.register(e.ID, registeredAddress(c.t, c, e.ID), "draining") }},
		{"it is gone", func(c *cluster, e *standin.Engine) { c.log.Set(savoryloft.TopicRegistry, e.ID, nil) }},
		{"it has said that it leaves", func(c *cluster, _ *standin.Engine) {
			w := c.instances[0].launcher.watcher
			w.MarkLeaving(w.Upstreams("s")[0])
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t)
			e := c.addEngine(nil)
			e.SetLimit("8") // A token each 125 ms; requests wait for up to 500 ms.
			i := c.start(longRevocation)
			c.waitForUpstreams(i, 1)
			require.Equal(t, 200, c.call(i, "once", "key-1").status)
			u := i.launcher.watcher.Upstreams("s")[0]
			require.Eventually(t, func() bool { _, ok := i.launcher.throttler.Limit(u); return ok }, eventuallyTimeout, time.Millisecond)
			// The log is read each 300 ms; a request that is sent just after that waits longer.
			known := func() bool {
				list := i.launcher.watcher.Upstreams("s")
				return len(list) == 0 || list[0].Draining || list[0].Evacuated
			}
			var calls sync.WaitGroup
			call := func() {
				r := c.request(i, "once", "key-1")
				calls.Go(func() { _ = c.do(r) })
			}
			for range waiting {
				call()
			}
			for tt.change(c, e); !known(); time.Sleep(10 * time.Millisecond) {
				call()
			}
			before := len(e.Requests())
			calls.Wait()
			require.LessOrEqual(t, len(e.Requests()), before+1, "one may have been on its way")
		})
	}
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
