package launcher

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/platform/standin"
	"savoryloft.example/savoryloft/quarantiner"
)

const crashingBody = "a body that crashes upstreams"

// crashes reports whether an engine crashes under a request: one of the account "account"
// whose body begins with crashingBody.
func crashes(r *http.Request) bool {
	body, _ := io.ReadAll(r.Body)
	return strings.HasPrefix(string(body), crashingBody) && standin.Account(r) == "account"
}

// processes are upstreams that crash under one request and come back as new upstreams at
// their addresses.
type processes struct {
	c         *cluster
	list      []*standin.Process
	failEvery int // Of so many runs of the request one gets status 500 instead; none if zero.

	mu      sync.Mutex
	engines []*standin.Engine // Of all starts.
	runs    int               // Of the request.
}

func (p *processes) newEngine() *standin.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := &standin.Engine{ID: fmt.Sprintf("i-%d", len(p.engines)), EventCount: 6, EventInterval: 5 * time.Millisecond}
	e.Decide = func(r *http.Request) standin.Behaviour {
		if !crashes(r) {
			return standin.Normal
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.runs++; p.failEvery > 0 && p.runs%p.failEvery == 0 {
			return standin.Fail
		}
		return standin.CrashProcess
	}
	p.engines = append(p.engines, e)
	return e
}

// add starts an upstream that begins to respond for delay before it crashes.
func (p *processes) add(downTime, delay time.Duration, silent bool) {
	next := func() *standin.Engine {
		e := p.newEngine()
		e.CrashDelay = delay
		return e
	}
	process := &standin.Process{Engine: next(), IP: p.c.ip, DownTime: downTime, Silent: silent, NextEngine: next}
	id := ""
	process.OnStart = func(address string) {
		if id != "" {
			p.c.log.Set(savoryloft.TopicRegistry, id, nil)
		}
		id = process.CurrentEngine().ID
		p.c.log.Set(savoryloft.TopicRegistry, id, process.CurrentEngine().RegistryEntry(address, "ready", 8))
	}
	require.NoError(p.c.t, process.Start())
	p.c.t.Cleanup(process.Stop)
	p.list = append(p.list, process)
}

// crashTimes returns the times of all crashes, in order.
func (p *processes) crashTimes() (times []time.Time) {
	for _, process := range p.list {
		times = append(times, process.Crashes()...)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// received returns the requests that reached any engine.
func (p *processes) received() (list []standin.ReceivedRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		list = append(list, e.Requests()...)
	}
	return list
}

// started reports whether an engine has begun to run an attempt.
func (p *processes) started(id string) bool {
	return slices.ContainsFunc(p.received(), func(r standin.ReceivedRequest) bool { return r.ID == id && r.Started })
}

// send sends a request with a body on a route.
func (c *cluster) send(i *instance, id, route, key, parts, body string) response {
	call := standin.Call{
		Address: strings.TrimPrefix(i.url, "http://"), Host: host, Route: route, ID: id, APIKey: key, Timeout: 4 * time.Second,
		Body: body, PromptParts: parts,
	}
	r, err := call.Request()
	require.NoError(c.t, err)
	return doOnNewConnection(c.t, r)
}

// Guards against one request that comes again at any instance and ends upstream after
// upstream.
func TestRequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	shared := "shared:50,own-%d:20"
	for _, tt := range []crashingRequest{
		{name: "non-idempotent", route: "once"},
		{name: "idempotent", route: "twice"},
		{name: "stream", route: "stream", parts: shared},
		{name: "stream, after the first event", route: "stream", parts: shared, delay: 50 * time.Millisecond},
		{name: "stream, late", route: "stream", parts: shared, delay: 500 * time.Millisecond},
		{name: "resumable stream", route: "resume", parts: shared, delay: 50 * time.Millisecond},
		{name: "resumable stream without shared parts", route: "resume", parts: "own-%d:70"},
		{name: "upstreams that also fail it", route: "once", failEvery: 2},
		{name: "stream, upstreams that also fail it", route: "stream", parts: shared, failEvery: 2},
		{name: "back at once", route: "once", downTime: time.Millisecond, bound: contactTime},
		{name: "stream, back at once", route: "stream", parts: shared, downTime: time.Millisecond, bound: contactTime},
		{name: "silent, then back", route: "twice", downTime: time.Second, silent: true, bound: contactTime},
		{name: "silent stream, then back", route: "resume", parts: shared, delay: 50 * time.Millisecond, downTime: time.Second, silent: true, bound: contactTime},
		{name: "silent for some seconds", route: "once", downTime: 3 * time.Second, silent: true, bound: contactTime},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			testCrashingRequest(t, tt)
		})
	}
}

// contactTime is the time that the users allow until all instances must keep a request
// away from upstreams.
const contactTime = 3 * time.Second

// crashingRequest describes a request and how its upstreams end.
type crashingRequest struct {
	name, route string
	parts       string        // Format of the prompt.
	delay       time.Duration // From the first event to the crash.
	downTime    time.Duration // 700 ms if zero.
	silent      bool          // The upstream does not close its connections before it starts again.
	failEvery   int           // See processes.
	bound       time.Duration // After the last of them, until all instances know; 1 s if zero.
}

func testCrashingRequest(t *testing.T, tt crashingRequest) {
	const (
		instances    = 3
		upstreams    = 4
		last         = 2   // Index of the crash after which the request must not reach upstreams any more.
		maxArrivals  = 3   // Of the request, after the bound.
		minSoundRate = 0.9 // Share of sound requests that succeed some time after the bound.
		recovery     = 2 * time.Second
	)
	bound, route, parts := cmp.Or(tt.bound, time.Second), tt.route, tt.parts
	length := 6*time.Second + bound + 2*tt.downTime
	c := newCluster(t)
	p := &processes{c: c, failEvery: tt.failEvery}
	for range upstreams {
		p.add(cmp.Or(tt.downTime, 700*time.Millisecond), tt.delay, tt.silent)
	}
	for range instances {
		c.start(longRevocation)
	}
	for _, i := range c.instances {
		c.waitForUpstreams(i, upstreams)
	}
	var mu sync.Mutex
	served, asked := map[string]int{}, map[string]int{}
	end := time.Now().Add(length)
	var soundFrom time.Time // From here on sound requests must be served; zero before.
	load := func(kind, key, body string, interval time.Duration) {
		for n := 0; time.Now().Before(end); n++ {
			id, prompt := fmt.Sprint(kind, n), parts
			if strings.Contains(parts, "%d") {
				prompt = fmt.Sprintf(parts, n)
			}
			sent := time.Now()
			resp := c.send(c.instances[n%instances], id, route, key, prompt, strings.ReplaceAll(body, "%d", id))
			mu.Lock()
			if crashes := p.crashTimes(); soundFrom.IsZero() && len(crashes) > last {
				soundFrom = crashes[last].Add(bound + recovery)
			}
			if !soundFrom.IsZero() && sent.After(soundFrom) {
				asked[kind]++
				if resp.status == http.StatusOK && resp.err == nil {
					served[kind]++
				}
			}
			mu.Unlock()
			if resp.status == http.StatusServiceUnavailable {
				require.False(t, p.started(id), "not run")
			}
			time.Sleep(interval)
		}
	}
	var group sync.WaitGroup
	for n := range 2 {
		group.Go(func() { load(fmt.Sprint("bad", n, "-"), "key-1", crashingBody, 70*time.Millisecond) })
	}
	group.Go(func() { load("same account-", "key-2", "sound %d", 10*time.Millisecond) })
	group.Go(func() { load("repeated-", "key-1", "sound and repeated", 30*time.Millisecond) })
	group.Go(func() { load("same body-", "other-key", crashingBody, 10*time.Millisecond) })
	group.Wait()
	times := p.crashTimes()
	require.Greater(t, len(times), last, "the test needs crashes")
	late := 0
	for _, r := range p.received() {
		if strings.HasPrefix(r.ID, "bad") && r.At.After(times[last].Add(bound)) {
			late++
		}
	}
	t.Logf("%d crashes, %d late arrivals, served %v of %v", len(times), late, served, asked)
	require.LessOrEqual(t, late, maxArrivals, "%d upstreams ended", len(times))
	for _, kind := range []string{"same account-", "repeated-", "same body-"} {
		require.NotZero(t, asked[kind])
		require.GreaterOrEqual(t, float64(served[kind]), minSoundRate*float64(asked[kind]), kind)
	}
}

// Guards against an account whose requests end upstreams, and that gets the requests of
// another account refused by the prompt parts that it names.
func TestAccountCannotGetAnothersRequestsRefused(t *testing.T) {
	c := newCluster(t)
	p := &processes{c: c}
	for range 4 {
		p.add(500*time.Millisecond, 0, false)
	}
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 4)
	const parts = "part of another account:50,own:20"
	for n := 0; len(p.crashTimes()) < 4 && n < 50; n++ {
		c.send(i, fmt.Sprint("bad", n), "stream", "key-1", parts, fmt.Sprint(crashingBody, n))
		time.Sleep(100 * time.Millisecond)
	}
	require.Len(t, p.crashTimes(), 3)
	require.Equal(t, http.StatusServiceUnavailable, c.send(i, "refused", "stream", "key-1", parts, crashingBody).status)
	require.False(t, p.started("refused"))
	time.Sleep(time.Second)
	for n := range 20 {
		require.Equal(t, http.StatusOK, c.send(i, fmt.Sprint("sound", n), "stream", "other-key", parts, fmt.Sprint("sound ", n)).status)
	}
}

// Guards against a request that ends upstreams again after all instances were lost: because
// it comes before the new ones have read the quarantines, or because they replace their own
// records first.
func TestQuarantineOutlivesAllInstances(t *testing.T) {
	for _, tt := range []struct {
		name         string
		instances    int
		sameNames    bool
		membersDelay time.Duration // After the loss.
	}{
		{"new instances", 2, false, 0},
		{"request before the member list", 2, false, 50 * time.Millisecond},
		{"same instance", 1, true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			p := &processes{c: c}
			for range 4 {
				p.add(300*time.Millisecond, 0, false)
			}
			for range tt.instances {
				c.waitForUpstreams(c.start(longRevocation), 4)
			}
			send := func(i *instance, id string) int { return c.send(i, id, "once", "key-1", "", crashingBody).status }
			for n := 0; n < 20 && len(p.crashTimes()) < 3; n++ {
				send(c.instances[n%tt.instances], fmt.Sprint("bad", n))
				time.Sleep(100 * time.Millisecond)
			}
			require.Len(t, p.crashTimes(), 3)
			time.Sleep(2 * time.Second) // Until the readers have written their records.
			for _, i := range c.instances {
				i.abort()
				require.NoError(t, <-i.done)
			}
			if tt.sameNames {
				c.instances = nil
			}
			c.membersDelay = tt.membersDelay
			for n := range tt.instances {
				i := c.start(longRevocation)
				c.waitForUpstreams(i, 4)
				require.Equal(t, http.StatusServiceUnavailable, send(i, fmt.Sprint("again", n)))
				require.Equal(t, http.StatusOK, c.send(i, fmt.Sprint("sound", n), "once", "key-1", "", "sound").status)
			}
			require.Len(t, p.crashTimes(), 3)
		})
	}
}

// Guards against a sound request that is refused for as long as a trial may take, because the
// one that was its trial found no upstream: all of them had just ended.
func TestTrialWithoutAnUpstreamIsRepeated(t *testing.T) {
	c := newCluster(t)
	i := c.start(longRevocation)
	send := func(id string) int { return c.send(i, id, "once", "key-1", "", "sound").status }
	call := savoryloft.Call{Method: "POST", Host: host, URI: "/once/x", Body: []byte("sound")}
	i.launcher.quarantine.Merge(savoryloft.Suspicions{Verdicts: []savoryloft.PartVerdict{{
		Part: "request:" + call.Fingerprint("account"), Version: 1, State: int(quarantiner.Quarantined), Strikes: 1, Remaining: 1,
	}}}, "peer")
	require.Equal(t, http.StatusServiceUnavailable, send("quarantined"))
	time.Sleep(3 * time.Second) // The quarantine is over.
	require.Equal(t, http.StatusServiceUnavailable, send("trial"))
	require.Positive(t, metrics.GetOrRegisterCounter("crashing_requests_total.Trial", i.launcher.registry).Snapshot().Count())
	c.addEngine(func(*http.Request) standin.Behaviour { return standin.Normal })
	c.waitForUpstreams(i, 1)
	time.Sleep(time.Second)
	require.Equal(t, http.StatusOK, send("again"))
}

// Guards against a request that ends more upstreams than are allowed because all instances
// are lost before it is quarantined: crashes that do not suffice for a verdict are forgotten.
func TestCrashesBeforeTheLossOfAllInstances(t *testing.T) {
	const maxArrivals = 3 // Later than contactTime after the third crash.
	c := newCluster(t)
	p := &processes{c: c}
	for range 4 {
		p.add(300*time.Millisecond, 0, false)
	}
	attempts := 0
	send := func(i *instance) int {
		attempts++
		return c.send(i, fmt.Sprint("bad", attempts), "once", "key-1", "", crashingBody).status
	}
	c.waitForUpstreams(c.start(longRevocation), 4)
	for len(p.crashTimes()) < 2 {
		send(c.instances[0])
		time.Sleep(100 * time.Millisecond)
	}
	c.instances[0].abort()
	require.NoError(t, <-c.instances[0].done)
	for range 2 {
		c.waitForUpstreams(c.start(longRevocation), 4)
	}
	for n := range 100 {
		send(c.instances[1+n%2])
		time.Sleep(50 * time.Millisecond)
	}
	third, late := p.crashTimes()[2], 0
	for _, r := range p.received() {
		if r.At.After(third.Add(contactTime)) {
			late++
		}
	}
	t.Logf("%d crashes, %d late arrivals", len(p.crashTimes()), late)
	require.LessOrEqual(t, late, maxArrivals)
	require.Equal(t, http.StatusServiceUnavailable, send(c.instances[1]))
}
