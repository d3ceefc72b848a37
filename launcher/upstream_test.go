package launcher

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/platform/standin"
)

// requestsSince returns the number of requests that an engine has received after a
// time.
func requestsSince(e *standin.Engine, t time.Time) (n int) {
	for _, r := range e.Requests() {
		if r.At.After(t) {
			n++
		}
	}
	return n
}

// An upstream that says in an answer that it leaves gets no new requests, from this
// instance at once and from its peers soon, although the registry shows it as ready.
// Requests under way go on. It is back when the registry shows a later start.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	for _, tt := range []struct {
		name    string
		logDown bool
	}{
		{"log up", false},
		{"log down", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t)
			leaving := c.addEngine(nil)
			leaving.EventCount, leaving.EventInterval = 40, 50*time.Millisecond
			first, second := c.start(longRevocation), c.start(longRevocation)
			for _, i := range []*instance{first, second} {
				c.waitForUpstreams(i, 1)
			}
			stream := make(chan response, 1)
			r := c.request(first, "stream", "key-1")
			go func() { stream <- c.do(r) }()
			require.Eventually(t, func() bool { return len(leaving.Requests()) == 1 }, eventuallyTimeout, time.Millisecond)
			c.addEngine(nil)
			for _, i := range []*instance{first, second} {
				c.waitForUpstreams(i, 2)
			}
			if tt.logDown {
				c.log.SetDown(true)
			}
			leaving.SetLeaving(true)
			require.Eventually(t, func() bool {
				require.Equal(t, http.StatusOK, c.call(first, "once", "key-1").status)
				return first.launcher.watcher.Upstreams("s")[0].Draining
			}, eventuallyTimeout, time.Millisecond)
			told := time.Now()
			require.Eventually(t, func() bool { return second.launcher.watcher.Upstreams("s")[0].Draining }, eventuallyTimeout, time.Millisecond,
				"peers are told")
			require.Less(t, time.Since(told), time.Second)
			for n := range 30 {
				require.Equal(t, http.StatusOK, c.call([]*instance{first, second}[n%2], "once", "key-1").status)
			}
			require.Zero(t, requestsSince(leaving, told.Add(time.Second/2)))
			resp := <-stream
			require.NoError(t, resp.err)
			require.Equal(t, fullStream(40), resp.body)
			if tt.logDown {
				return
			}
			address := first.launcher.watcher.Upstreams("s")[0].Address
			c.register(leaving.ID, address, "ready")
			time.Sleep(time.Second)
			require.True(t, first.launcher.watcher.Upstreams("s")[0].Draining, "the registry still shows the same start")
			leaving.Start()
			c.register(leaving.ID, address, "ready")
			for _, i := range []*instance{first, second} {
				require.Eventually(t, func() bool { return !i.launcher.watcher.Upstreams("s")[0].Draining }, eventuallyTimeout, 10*time.Millisecond)
			}
		})
	}
}

// An upstream that refuses with Retry-After gets nothing from the instance for so
// long, under load as well. The request goes to another upstream meanwhile.
func TestPausedUpstreamGetsNothing(t *testing.T) {
	const (
		pause       = 2 * time.Second
		callers     = 8
		maxArrivals = 2 // Between half a second after the refusal and the end of the pause.
	)
	c := newCluster(t)
	paused := c.addEngine(firstRequestsOnly(callers, standin.RejectWithPause))
	paused.Pause = pause
	c.addEngine(nil)
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 2)
	load := func(length time.Duration) {
		var group sync.WaitGroup
		for end, n := time.Now().Add(length), 0; n < callers; n++ {
			requests := make(chan *http.Request)
			group.Go(func() {
				for r := range requests {
					resp := c.do(r)
					require.Equal(t, http.StatusOK, resp.status)
				}
			})
			group.Go(func() {
				defer close(requests)
				for k := 0; time.Now().Before(end); k++ {
					call := standin.Call{
						Address: i.url[len("http://"):], Host: host, Route: "once", ID: fmt.Sprintf("%d-%d-%d", end.UnixNano(), n, k),
						APIKey: "key-1", Timeout: 4 * time.Second,
					}
					r, err := call.Request()
					require.NoError(t, err)
					requests <- r
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
		group.Wait()
	}
	load(300 * time.Millisecond)
	refused := paused.Requests()
	require.NotEmpty(t, refused)
	start := refused[0].At
	load(pause + 500*time.Millisecond)
	arrivals := requestsSince(paused, start.Add(500*time.Millisecond)) - requestsSince(paused, start.Add(pause))
	require.LessOrEqual(t, arrivals, maxArrivals)
	require.NotZero(t, requestsSince(paused, start.Add(pause)), "the upstream is used again")
}

// When all upstreams have asked for a pause, callers are refused at once and told
// when the first upstream returns.
func TestAllUpstreamsPaused(t *testing.T) {
	c := newCluster(t)
	for _, pause := range []time.Duration{4 * time.Second, 2 * time.Second} {
		e := c.addEngine(func(*http.Request) standin.Behaviour { return standin.RejectWithPause })
		e.Pause = pause
	}
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 2)
	require.Equal(t, http.StatusServiceUnavailable, c.call(i, "once", "key-1").status)
	before := len(c.engines[0].Requests()) + len(c.engines[1].Requests())
	started := time.Now()
	r := c.request(i, "once", "key-1")
	resp := c.do(r)
	require.Less(t, time.Since(started), 500*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, resp.status)
	after, err := time.ParseDuration(resp.header.Get("Retry-After") + "s")
	require.NoError(t, err)
	require.InDelta(t, 2.5, after.Seconds(), 1, "the shorter pause, with its spread and the jitter of refusals")
	require.Equal(t, before, len(c.engines[0].Requests())+len(c.engines[1].Requests()))
	require.Zero(t, c.startedRuns(standin.AttemptID(r)))
}

// An upstream that sends bytes without end must not exhaust the memory of the
// instance, and the caller must not take what it gets for a complete response.
func TestEndlessUpstreamResponses(t *testing.T) {
	const (
		callers       = 20
		maxHeapGrowth = 64 << 20
	)
	for _, tt := range []struct {
		name, route string
		behaviour   standin.Behaviour
		status      int
	}{
		{"head, non-idempotent", "once", standin.EndlessHead, http.StatusBadGateway},
		{"head, stream", "stream", standin.EndlessHead, http.StatusBadGateway},
		{"body, non-idempotent", "once", standin.EndlessEvent, http.StatusBadGateway},
		{"event, stream", "stream", standin.EndlessEvent, http.StatusBadGateway},
		{"head, idempotent", "twice", standin.EndlessHead, http.StatusBadGateway},
		{"head, resumable stream", "resume", standin.EndlessHead, http.StatusBadGateway},
		{"body, idempotent", "twice", standin.EndlessEvent, http.StatusBadGateway},
		{"event, resumable stream", "resume", standin.EndlessEvent, http.StatusBadGateway},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t)
			c.slots = 2 * callers // No caller is refused for lack of room.
			c.addEngine(func(*http.Request) standin.Behaviour { return tt.behaviour })
			i := c.start(longRevocation)
			c.waitForUpstreams(i, 1)
			runtime.GC()
			var before, now runtime.MemStats
			runtime.ReadMemStats(&before)
			var group sync.WaitGroup
			for range callers {
				r := c.request(i, tt.route, "key-1")
				group.Go(func() {
					started := time.Now()
					resp := c.do(r)
					require.Equal(t, tt.status, resp.status)
					require.Less(t, time.Since(started), 3*time.Second, "before the request's deadline")
				})
			}
			done := make(chan struct{})
			go func() {
				group.Wait()
				close(done)
			}()
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(5 * time.Millisecond):
				}
				runtime.ReadMemStats(&now)
				require.Less(t, int64(now.HeapAlloc)-int64(before.HeapAlloc), int64(maxHeapGrowth))
			}
		})
	}
}

// A stream that sends a byte now and then, but no event, has stalled. One whose
// events come slowly, but within the allowed pause, is sound.
func TestStalledAndSlowStreams(t *testing.T) {
	t.Run("stalled, resumable", func(t *testing.T) {
		c := newCluster(t)
		decide := firstRequestsOnly(1, standin.Dribble)
		c.addEngine(decide)
		c.addEngine(decide)
		i := c.start(longRevocation)
		c.waitForUpstreams(i, 2)
		resp := c.call(i, "resume", "key-1")
		require.NoError(t, resp.err)
		require.Equal(t, fullStream(6), resp.body)
	})
	t.Run("stalled, not resumable", func(t *testing.T) {
		c := newCluster(t)
		c.addEngine(func(*http.Request) standin.Behaviour { return standin.Dribble })
		i := c.start(longRevocation)
		c.waitForUpstreams(i, 1)
		started := time.Now()
		resp := c.call(i, "stream", "key-1")
		require.Error(t, resp.err, "the end must not look like a complete response")
		require.Equal(t, fullStream(1), resp.body)
		require.Less(t, time.Since(started), 5*time.Second, "it ends at the caller's deadline of 4 s")
	})
	t.Run("slow", func(t *testing.T) {
		for _, route := range []string{"stream", "resume"} {
			c := newCluster(t)
			e := c.addEngine(nil)
			c.addEngine(nil).EventInterval = 450 * time.Millisecond
			e.EventInterval = 450 * time.Millisecond // The routes allow 500 ms.
			i := c.start(longRevocation)
			c.waitForUpstreams(i, 2)
			r := c.request(i, route, "key-1")
			resp := c.do(r)
			require.NoError(t, resp.err)
			require.Equal(t, fullStream(6), resp.body)
			require.Equal(t, 1, c.startedRuns(standin.AttemptID(r)))
		}
	})
}

// The registry may forget an upstream that is only silent or slow to report. Its
// running requests must go on and must not be started elsewhere.
func TestSilentUpstreamKeepsItsRunningRequests(t *testing.T) {
	for _, route := range []string{"stream", "resume"} {
		t.Run(route, func(t *testing.T) {
			c := newCluster(t)
			e := c.addEngine(nil)
			e.EventCount, e.EventInterval = 30, 100*time.Millisecond
			i := c.start(longRevocation)
			c.waitForUpstreams(i, 1)
			address := i.launcher.watcher.Upstreams("s")[0].Address
			got := make(chan response, 1)
			r := c.request(i, route, "key-1")
			go func() { got <- c.do(r) }()
			require.Eventually(t, func() bool { return len(e.Requests()) == 1 }, eventuallyTimeout, time.Millisecond)
			c.addEngine(nil)
			c.log.Set(savoryloft.TopicRegistry, e.ID, nil)
			c.waitForUpstreams(i, 1)
			c.register(e.ID, address, "ready")
			c.waitForUpstreams(i, 2)
			resp := <-got
			require.NoError(t, resp.err)
			require.Equal(t, fullStream(30), resp.body)
			require.Equal(t, 1, c.startedRuns(standin.AttemptID(r)))
		})
	}
}

// Guards against resumable streams that are cut after a silence of their upstream although
// they can not be resumed, so that the caller loses what the upstream would still send.
func TestSilentStreamThatCanNotBeResumedIsKept(t *testing.T) {
	c := newCluster(t)
	e := c.addEngine(nil)
	e.PrefillRate, e.EventInterval = 10, 50*time.Millisecond
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 1)
	r := c.request(i, "resume", "key-1")
	r.Header.Set("X-Deadline-Ms", "5000")
	long := c.requestWithParts(i, "stream", "key-1", "cc:33000") // Prefilled for 3.3 s; the limit is 3 s.
	got := make(chan response, 1)
	go func() { got <- c.do(r) }()
	require.Eventually(t, func() bool { return len(e.Requests()) == 1 }, eventuallyTimeout, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	other := make(chan response, 1)
	go func() { other <- c.do(long) }()
	resp := <-got
	require.NoError(t, resp.err)
	require.Equal(t, fullStream(6), resp.body)
	require.Equal(t, 1, c.startedRuns(standin.AttemptID(r)))
	<-other
}

// Guards against streams that are given up after a silence because the retry budget has
// room, and then cut because other streams have used it up.
func TestSilentStreamsAreGivenUpOnlyWithinTheRetryBudget(t *testing.T) {
	const streams = 4
	c := newCluster(t)
	// The instance is slow between the decision to give a stream up and its next send.
	c.logger = funcr.New(func(_, args string) {
		if strings.Contains(args, "attempt failed") {
			time.Sleep(50 * time.Millisecond)
		}
	}, funcr.Options{})
	e := c.addEngine(nil)
	e.PrefillRate, e.EventInterval = 10, 50*time.Millisecond
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 1)
	i.launcher.relayer.Limiter.Ratio, i.launcher.relayer.Limiter.Slack = 0, 2 // Permits one retry.
	got := make(chan response, streams)
	for range streams {
		r := c.request(i, "resume", "key-1")
		r.Header.Set("X-Deadline-Ms", "5000")
		go func() { got <- c.do(r) }()
	}
	require.Eventually(t, func() bool { return len(e.Requests()) == streams }, eventuallyTimeout, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	long := c.requestWithParts(i, "stream", "key-1", "cc:33000") // Prefilled for 3.3 s; the limit is 3 s.
	other := make(chan response, 1)
	go func() { other <- c.do(long) }()
	require.Eventually(t, func() bool { return len(e.Requests()) == streams+1 }, eventuallyTimeout, time.Millisecond)
	second := c.addEngine(nil)
	c.waitForUpstreams(i, 2)
	for range streams {
		resp := <-got
		require.NoError(t, resp.err)
		require.Equal(t, fullStream(6), resp.body)
	}
	<-other
	require.Len(t, second.Requests(), 1, "one stream is resumed")
}
