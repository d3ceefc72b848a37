package launcher

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/platform/standin"
)

const crashingPart = "bad"

// addProcess starts an engine that crashes when it begins to respond to a request with
// the part crashingPart, and adds it to the registry at each start.
func (c *cluster) addProcess(downTime time.Duration) *standin.Process {
	e := &standin.Engine{ID: fmt.Sprintf("i-%d", len(c.engines)), EventCount: 6, EventInterval: 5 * time.Millisecond}
	e.Decide = func(r *http.Request) standin.Behaviour {
		if standin.HasPart(r, crashingPart) {
			return standin.CrashProcess
		}
		return standin.Normal
	}
	c.engines = append(c.engines, e)
	p := &standin.Process{Engine: e, IP: c.ip, DownTime: downTime, OnStart: func(address string) {
		c.log.Set(savoryloft.TopicRegistry, e.ID, e.RegistryEntry(address, "ready", 8))
	}}
	require.NoError(c.t, p.Start())
	c.t.Cleanup(p.Stop)
	return p
}

// Guards against requests with one prompt part that end upstream after upstream.
func TestPromptPartThatCrashesUpstreams(t *testing.T) {
	for _, tt := range []struct {
		name  string
		parts string        // Format of the prompt of harmful requests.
		delay time.Duration // Between the first event and the crash.
	}{
		{"before the first event", "shared:50," + crashingPart + ":30,own-%d:20", 0},
		{"after the first event", "shared:50," + crashingPart + ":30,own-%d:20", 50 * time.Millisecond},
		{"late", "shared:50," + crashingPart + ":30,own-%d:20", 500 * time.Millisecond},
		{"first part", crashingPart + ":50,shared:30,own-%d:20", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			testCrashingPart(t, tt.parts, tt.delay)
		})
	}
}

func testCrashingPart(t *testing.T, harmful string, delay time.Duration) {
	const (
		instances    = 3
		upstreams    = 8
		length       = 6 * time.Second
		bound        = time.Second // After the fifth crash.
		maxArrivals  = 3           // Of requests with the part, after the bound.
		minSoundRate = 0.9         // Share of sound requests that succeed after the bound.
	)
	c := newCluster(t)
	var processes []*standin.Process
	for range upstreams {
		p := c.addProcess(800 * time.Millisecond)
		p.Engine.CrashDelay = delay
		processes = append(processes, p)
	}
	for range instances {
		c.start(longRevocation)
	}
	for _, i := range c.instances {
		c.waitForUpstreams(i, upstreams)
	}
	var mu sync.Mutex
	var bad, sound []timedResponse
	send := func(parts string, interval time.Duration, list *[]timedResponse) {
		for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
			mu.Lock()
			r := c.requestWithParts(c.instances[n%instances], []string{"resume", "stream"}[n/instances%2], "key-1", fmt.Sprintf(parts, n))
			mu.Unlock()
			sent := time.Now()
			resp := doOnNewConnection(t, r)
			mu.Lock()
			*list = append(*list, timedResponse{resp, sent, standin.AttemptID(r)})
			mu.Unlock()
			time.Sleep(interval)
		}
	}
	var group sync.WaitGroup
	for _, interval := range []time.Duration{130 * time.Millisecond, 170 * time.Millisecond} {
		group.Go(func() { send(harmful, interval, &bad) })
	}
	group.Go(func() { send("shared:50,other-%d:20", 10*time.Millisecond, &sound) })
	group.Wait()

	var crashes []time.Time
	for _, p := range processes {
		crashes = append(crashes, p.Crashes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	require.NotEmpty(t, crashes)
	from := crashes[min(4, len(crashes)-1)].Add(bound)
	late, served, asked := 0, 0, 0
	for _, e := range c.engines {
		for _, r := range e.Requests() {
			if r.At.After(from) && slices.ContainsFunc(bad, func(b timedResponse) bool { return b.id == r.ID }) {
				late++
			}
		}
	}
	t.Logf("%d crashes, %d late arrivals", len(crashes), late)
	require.LessOrEqual(t, late, maxArrivals, "%d upstreams ended", len(crashes))
	for _, s := range sound {
		if s.sent.After(from) {
			asked++
			if s.status == http.StatusOK && s.err == nil && strings.HasSuffix(s.body, "event 6\n\n") {
				served++
			}
		}
	}
	require.GreaterOrEqual(t, float64(served), minSoundRate*float64(asked))
	for _, b := range bad {
		if b.status == http.StatusServiceUnavailable {
			require.Zero(t, c.startedRuns(b.id))
			require.NotEmpty(t, b.header.Get("Retry-After"))
		}
	}
}

// timedResponse is the response to a request that was sent at a time.
type timedResponse struct {
	response
	sent time.Time
	id   string
}

// Guards against one request that is sent on after upstreams have ended under it.
func TestRequestUnderWhichUpstreamsEndIsNotSentOn(t *testing.T) {
	c := newCluster(t)
	for range 4 {
		c.addProcess(time.Minute)
	}
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 4)
	r := c.requestWithParts(i, "resume", "key-1", crashingPart+":100")
	require.Equal(t, http.StatusBadGateway, doOnNewConnection(t, r).status)
	require.Equal(t, maxEnded, c.startedRuns(standin.AttemptID(r)))
}

// maxEnded is the number of upstreams that one request may end.
const maxEnded = 2

// Guards against an instance that starts and sends quarantined requests to upstreams.
func TestNewInstanceLearnsQuarantines(t *testing.T) {
	c := newCluster(t)
	for range 6 {
		c.addProcess(300 * time.Millisecond)
	}
	first := c.start(longRevocation)
	c.waitForUpstreams(first, 6)
	send := func(i *instance) (response, string) {
		r := c.requestWithParts(i, "stream", "key-1", crashingPart+":50,own:50")
		return doOnNewConnection(t, r), standin.AttemptID(r)
	}
	require.Eventually(t, func() bool {
		resp, _ := send(first)
		return resp.status == http.StatusServiceUnavailable && resp.header.Get("Retry-After") != "" && strings.Contains(resp.body, "Quarantined")
	}, eventuallyTimeout, 50*time.Millisecond)
	second := c.start(longRevocation)
	c.waitForUpstreams(second, 6)
	require.Eventually(t, func() bool { return second.launcher.linker.InstanceCount() == 2 }, eventuallyTimeout, 10*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	resp, id := send(second)
	require.Equal(t, http.StatusServiceUnavailable, resp.status)
	require.Zero(t, c.startedRuns(id))
}
