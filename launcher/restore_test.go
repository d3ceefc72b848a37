package launcher

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/platform/standin"
)

// The log is away for a moment and comes back from a copy that lacks the newest
// configuration, which takes a key away. The key must stay refused on all instances,
// although the copy allows it, and a later configuration must be in force soon.
func TestRestoredLogDoesNotBringBackAKey(t *testing.T) {
	c := newCluster(t)
	c.addEngine(nil)
	var instances []*instance
	for range 2 {
		instances = append(instances, c.start(longRevocation))
	}
	for _, i := range instances {
		c.waitForUpstreams(i, 1)
		require.Equal(t, http.StatusOK, c.call(i, "once", "key-2").status)
	}
	copied := c.log.Copy()
	c.version, c.keys = 2, []string{"key-1"}
	c.writeConfiguration()
	refused := func(i *instance) bool { return c.call(i, "once", "key-2").status == http.StatusUnauthorized }
	for _, i := range instances {
		require.Eventually(t, func() bool { return refused(i) }, eventuallyTimeout, 20*time.Millisecond)
	}
	c.log.SetDown(true)
	time.Sleep(300 * time.Millisecond)
	c.log.Restore(copied)
	c.log.SetDown(false)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); {
		for _, i := range instances {
			require.NotEqual(t, http.StatusOK, c.call(i, "once", "key-2").status)
			require.Equal(t, http.StatusOK, c.call(i, "once", "key-1").status)
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.writeConfiguration() // The operator writes version 2 again, and then another one.
	c.version, c.keys = 3, []string{"key-3"}
	c.writeConfiguration()
	const inForce = 2 * time.Second // Bounds.ConfigurationInForce of the cluster.
	deadline := time.Now().Add(inForce)
	for _, i := range instances {
		require.Eventually(t, func() bool { return c.call(i, "once", "key-3").status == http.StatusOK }, time.Until(deadline), 20*time.Millisecond)
		require.False(t, c.call(i, "once", "key-1").status == http.StatusOK)
	}
}

// Restores of the log, changes of the lease, rolling stops, withdrawn keys and
// upstreams that leave come in the same seconds, by seed, while requests run. No
// window may be reported with two counts, no fencing token may have two holders, no
// withdrawn key may come back, no request may be cut, and in the end everything is
// in force and served.
func TestRestoresAmongOtherChanges(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRestores(t, seed) })
	}
}

func runRestores(t *testing.T, seed uint64) {
	const (
		length  = 12 * time.Second
		callers = 4
	)
	rng := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(t)
	c.addEngine(nil)
	c.addEngine(nil)
	var mu sync.Mutex // Guards instances.
	instances := []*instance{c.start(longRevocation), c.start(longRevocation), c.start(longRevocation)}
	for _, i := range instances {
		c.waitForUpstreams(i, 2)
	}
	var served, cut atomic.Int64
	var stopped atomic.Bool
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() {
			for k := 0; !stopped.Load(); k++ {
				mu.Lock()
				i := instances[(n+k)%len(instances)]
				mu.Unlock()
				call := standin.Call{
					Address: i.url[len("http://"):], Host: host, Route: "once", ID: fmt.Sprintf("%d-%d", n, k), APIKey: "key-1", Timeout: 2 * time.Second,
				}
				r, err := call.Request()
				require.NoError(t, err)
				r.Close = true // As new connections reach instances only until they have stopped accepting.
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					cut.Add(1)
					t.Log(err)
					continue
				}
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					served.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	copied := c.log.Copy()
	var down []*instance
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		switch rng.IntN(8) {
		case 0:
			copied = c.log.Copy()
		case 1:
			c.log.SetDown(true)
			time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			c.log.Restore(copied)
			c.log.SetDown(false)
			c.writeConfiguration() // The operator and the upstreams write again.
			for _, u := range c.engines {
				c.register(u.ID, c.address(u.ID), "ready")
			}
			copied = c.log.Copy()
		case 2:
			c.version++
			c.writeConfiguration()
		case 3:
			if len(down) == 0 {
				mu.Lock()
				down, instances = instances[:1:1], instances[1:]
				mu.Unlock()
				time.Sleep(50 * time.Millisecond) // Callers that have just chosen it connect.
				down[0].cancel()
				mu.Lock()
				instances = append(instances, c.start(longRevocation))
				mu.Unlock()
			}
		}
	}
	stopped.Store(true)
	group.Wait()
	require.Zero(t, cut.Load())
	require.Greater(t, served.Load(), int64(100))
	_, conflicts := c.duties.Snapshot()
	require.Empty(t, conflicts)
	for _, i := range instances {
		require.Eventually(t, func() bool { return i.launcher.watcher.Version() == c.version }, eventuallyTimeout, 20*time.Millisecond)
		require.Eventually(t, func() bool { return c.call(i, "once", "key-1").status == http.StatusOK }, eventuallyTimeout, 20*time.Millisecond)
	}
	require.Eventually(t, func() bool {
		held := 0
		for _, i := range instances {
			if _, _, ok := i.launcher.claimer.Held(); ok {
				held++
			}
		}
		return held == 1
	}, eventuallyTimeout, 20*time.Millisecond, "one instance holds the lease again")
}

// address returns the address of an engine.
func (c *cluster) address(id string) string {
	for _, i := range c.instances {
		for _, u := range i.launcher.watcher.Upstreams("s") {
			if u.ID == id {
				return u.Address
			}
		}
	}
	c.t.Fatalf("no instance knows upstream %s", id)
	return ""
}
