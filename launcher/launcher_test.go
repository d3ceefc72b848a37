package launcher

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/platform/standin"
)

const longRevocation = 30 * time.Second // Revocation bound that these tests do not reach.

// firstRequestsOnly returns a Decide function that applies b to the first n
// requests.
func firstRequestsOnly(n int32, b standin.Behaviour) func(*http.Request) standin.Behaviour {
	var left atomic.Int32
	left.Store(n)
	return func(*http.Request) standin.Behaviour {
		if left.Add(-1) >= 0 {
			return b
		}
		return standin.Normal
	}
}

func TestRequestsReachEngines(t *testing.T) {
	c := newCluster(t)
	e := c.addEngine(nil)
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 1)
	for _, tt := range []struct {
		name, route, key string
		status           int
		body             string
	}{
		{"stream", "stream", "key-1", 200, fullStream(6)},
		{"resumable stream", "resume", "key-2", 200, fullStream(6)},
		{"plain", "once", "key-1", 200, "answer of i-0"},
		{"wrong key", "once", "nobody's", 401, ""},
		{"no key", "once", "", 401, ""},
		{"no route", "nowhere", "key-1", 404, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			resp := c.call(i, tt.route, tt.key)
			require.NoError(t, resp.err)
			require.Equal(t, tt.status, resp.status)
			if tt.status == http.StatusOK {
				require.Equal(t, tt.body, resp.body)
				require.Equal(t, "signed-by-i-0", standin.Signature(resp.header))
			}
		})
	}
	for _, r := range e.Requests() {
		require.Equal(t, "account", r.Account)
		require.Empty(t, r.Authorization)
		require.Equal(t, "body of "+r.ID, r.Body)
	}
}

func TestRetriesByRouteKind(t *testing.T) {
	for _, tt := range []struct {
		name, route string
		behaviour   standin.Behaviour
		status      int
		runs        int
	}{
		{"rejected, then run", "once", standin.Reject, 200, 1},
		{"misdirected, then run", "once", standin.Misdirect, 200, 1},
		{"non-idempotent, response lost", "once", standin.DropResponse, 502, 1},
		{"non-idempotent, failed", "once", standin.Fail, 500, 1},
		{"non-idempotent, response unsigned", "once", standin.Unsigned, 502, 1},
		{"non-idempotent, response cut", "once", standin.TruncateBody, 502, 1},
		{"idempotent, response lost", "twice", standin.DropResponse, 200, 2},
		{"idempotent, response cut", "twice", standin.TruncateBody, 200, 2},
		{"idempotent, failed", "twice", standin.Fail, 200, 2},
		{"idempotent, upstream hangs", "twice", standin.Hang, 200, 2},
		{"stream, response lost", "stream", standin.DropResponse, 502, 1},
		{"resumable stream, response lost", "resume", standin.DropResponse, 200, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t)
			decide := firstRequestsOnly(1, tt.behaviour)
			c.addEngine(decide)
			c.addEngine(decide)
			i := c.start(longRevocation)
			c.waitForUpstreams(i, 2)
			r := c.request(i, tt.route, "key-1")
			resp := c.do(r)
			require.Equal(t, tt.status, resp.status)
			require.Equal(t, tt.runs, c.startedRuns(standin.AttemptID(r)))
		})
	}
}

func TestAllUpstreamsRejectSetsRetryAfter(t *testing.T) {
	c := newCluster(t)
	reject := func(*http.Request) standin.Behaviour { return standin.Reject }
	c.addEngine(reject)
	c.addEngine(reject)
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 2)
	r := c.request(i, "once", "key-1")
	resp := c.do(r)
	require.Equal(t, http.StatusServiceUnavailable, resp.status)
	require.NotEmpty(t, resp.header.Get("Retry-After"))
	require.Zero(t, c.startedRuns(standin.AttemptID(r)))
}

func TestBrokenStreams(t *testing.T) {
	for _, tt := range []struct {
		name      string
		behaviour standin.Behaviour
		passed    int // Events that arrive before the end.
	}{
		{"chunked", standin.TruncateStream, 2},
		{"without a length", standin.TruncateUnframed, 1},
	} {
		t.Run(tt.name, func(t *testing.T) { testBrokenStreams(t, tt.behaviour, tt.passed) })
	}
}

func testBrokenStreams(t *testing.T, behaviour standin.Behaviour, passed int) {
	c := newCluster(t)
	decide := func(r *http.Request) standin.Behaviour {
		if !standin.IsResumption(r) {
			return behaviour
		}
		return standin.Normal
	}
	c.addEngine(decide)
	c.addEngine(decide)
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 2)
	resp := c.call(i, "resume", "key-1")
	require.NoError(t, resp.err)
	require.Equal(t, fullStream(6), resp.body, "no duplicate, missing or partial event")
	resp = c.call(i, "stream", "key-1")
	require.Error(t, resp.err, "a truncated response must not look complete")
	require.Equal(t, fullStream(passed), resp.body)
}

// Guards against events that reach the caller twice because an upstream starts the stream anew.
func TestUpstreamThatIgnoresLastEvent(t *testing.T) {
	const calls = 12
	c := newCluster(t)
	for n := range 3 {
		c.addEngine(func(r *http.Request) standin.Behaviour {
			switch {
			case !standin.IsResumption(r):
				return standin.TruncateStream
			case n == 0:
				return standin.Normal
			}
			return standin.IgnoreLastEvent
		})
	}
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 3)
	complete := 0
	for range calls {
		resp := c.call(i, "resume", "key-1")
		require.Equal(t, http.StatusOK, resp.status)
		if resp.err == nil {
			require.Equal(t, fullStream(6), resp.body)
			complete++
		}
		require.True(t, strings.HasPrefix(fullStream(6), resp.body), resp.body)
	}
	require.NotZero(t, complete, "one upstream resumes streams")
}

func TestClientDisconnectCancelsUpstreamRequest(t *testing.T) {
	c := newCluster(t)
	ended := make(chan struct{})
	c.addEngine(func(r *http.Request) standin.Behaviour {
		go func() {
			<-r.Context().Done()
			close(ended)
		}()
		return standin.Hang
	})
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 1)
	ctx, cancel := context.WithCancel(context.Background())
	r := c.request(i, "stream", "key-1").WithContext(ctx)
	go func() {
		time.Sleep(200 * time.Millisecond)
		cancel()
	}()
	_, err := http.DefaultClient.Do(r)
	require.Error(t, err)
	select {
	case <-ended:
	case <-time.After(eventuallyTimeout):
		t.Fatal("the upstream request was not cancelled after the client disconnected")
	}
	require.Eventually(t, func() bool { return i.launcher.relayer.ActiveRequests() == 0 }, eventuallyTimeout, 10*time.Millisecond)
}

func TestRevokedKeyIsRejectedByAllInstances(t *testing.T) {
	c := newCluster(t)
	c.addEngine(nil)
	first, second := c.start(longRevocation), c.start(longRevocation)
	c.waitForUpstreams(second, 1)
	require.Equal(t, 200, c.call(second, "once", "key-2").status)
	c.version, c.keys = 2, []string{"key-1"}
	c.writeConfiguration()
	for _, i := range []*instance{first, second} {
		require.Eventually(t, func() bool { return c.call(i, "once", "key-2").status == 401 }, eventuallyTimeout, 20*time.Millisecond)
		require.Equal(t, 200, c.call(i, "once", "key-1").status)
	}
}

// Guards against instances that accept API keys without knowing whether these
// were revoked. The log is down for longer than the revocation bound.
func TestStaleConfigurationRejectsAllKeys(t *testing.T) {
	c := newCluster(t)
	c.addEngine(nil)
	i := c.start(2 * time.Second)
	c.waitForUpstreams(i, 1)
	require.Equal(t, 200, c.call(i, "once", "key-1").status)
	c.log.SetDown(true)
	require.Eventually(t, func() bool { return c.call(i, "once", "key-1").status == 503 }, eventuallyTimeout, 50*time.Millisecond)
	require.Equal(t, 503, i.readiness())
	c.log.SetDown(false)
	require.Eventually(t, func() bool { return c.call(i, "once", "key-1").status == 200 }, eventuallyTimeout, 50*time.Millisecond)
}

func TestDrainingUpstreamGetsNoNewRequests(t *testing.T) {
	c := newCluster(t)
	e := c.addEngine(nil)
	c.addEngine(nil)
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 2)
	address := i.launcher.watcher.Upstreams("s")[0].Address
	c.register(e.ID, address, "draining")
	require.Eventually(t, func() bool { return i.launcher.watcher.Upstreams("s")[0].Draining }, eventuallyTimeout, 10*time.Millisecond)
	before := len(e.Requests())
	for range 20 {
		require.Equal(t, 200, c.call(i, "once", "key-1").status)
	}
	require.Len(t, e.Requests(), before)
}

func TestGracefulShutdownCompletesRequests(t *testing.T) {
	c := newCluster(t)
	e := c.addEngine(nil)
	e.EventCount, e.EventInterval = 40, 50*time.Millisecond
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 1)
	got := make(chan response, 1)
	r := c.request(i, "stream", "key-1")
	go func() { got <- c.do(r) }()
	require.Eventually(t, func() bool { return i.launcher.relayer.ActiveRequests() > 0 }, eventuallyTimeout, 5*time.Millisecond)
	i.cancel()
	require.Eventually(t, func() bool { return i.readiness() != 200 }, eventuallyTimeout, 10*time.Millisecond)
	late := c.call(i, "once", "key-1")
	require.Equal(t, 200, late.status, "requests are served until the load balancer has removed the instance")
	resp := <-got
	require.NoError(t, resp.err)
	require.Equal(t, fullStream(40), resp.body)
	require.NoError(t, <-i.done)
}

func TestUsageIsReportedExactlyOnce(t *testing.T) {
	c := newCluster(t)
	c.addEngine(nil)
	first, second := c.start(longRevocation), c.start(longRevocation)
	c.waitForUpstreams(second, 1)
	const calls = 40
	for n := range calls {
		require.Equal(t, 200, c.call([]*instance{first, second}[n%2], "once", "key-1").status)
		time.Sleep(20 * time.Millisecond)
	}
	sum := func() int {
		reports, conflicts := c.duties.Snapshot()
		require.Empty(t, conflicts)
		total := 0
		for _, r := range reports {
			var n int
			if _, err := parseAccountCount(r, &n); err == nil {
				total += n
			}
		}
		return total
	}
	require.Eventually(t, func() bool { return sum() == calls }, eventuallyTimeout, 50*time.Millisecond)
	// The lease holder shuts down, and the other instance takes over the reports.
	holder, other := first, second
	if _, _, ok := second.launcher.claimer.Held(); ok {
		holder, other = second, first
	}
	holder.cancel()
	for range 10 {
		require.Equal(t, 200, c.call(other, "once", "key-1").status)
	}
	require.Eventually(t, func() bool { return sum() == calls+10 }, 2*eventuallyTimeout, 50*time.Millisecond)
}

func TestRequestSmugglingIsRejected(t *testing.T) {
	c := newCluster(t)
	e := c.addEngine(nil)
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 1)
	smuggled := standin.PartialRequest(host, "once", "hidden", "key-1") + "Content-Length: 0\r\n\r\n"
	start := standin.PartialRequest(host, "once", "outer", "key-1")
	for _, text := range []string{
		start + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		start + "Content-Length: 0\r\nContent-Length: 4\r\n\r\n" + smuggled,
		start + "Transfer-Encoding: xchunked\r\n\r\n" + smuggled,
		start + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + smuggled,
		start + "X: y\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
	} {
		require.Equal(t, []int{400}, sendRaw(t, i, text), "%q", text)
	}
	require.Empty(t, e.Requests())
	require.Equal(t, []int{200, 200}, sendRaw(t, i, start+"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"+smuggled), "pipelined, not smuggled")
}

// An upstream repeats its previous response on a connection before the response
// to the next request. No client may receive the response to another request.
func TestDuplicateResponsesAreDiscarded(t *testing.T) {
	c := newCluster(t)
	l := c.listen()
	defer l.Close()
	go standin.ServeDuplicateResponses(l)
	c.register("i-stray", l.Addr().String(), "ready")
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 1)
	for range 4 {
		r := c.request(i, "once", "key-1")
		resp := c.do(r)
		require.Equal(t, 200, resp.status)
		require.Equal(t, "for "+standin.AttemptID(r), resp.body)
	}
}

// A late second copy of a refusal must not be taken for the refusal of the next
// request on the connection, which runs.
func TestDuplicateRefusalsAreDiscarded(t *testing.T) {
	c := newCluster(t)
	l := c.listen()
	defer l.Close()
	var runs atomic.Int64
	go standin.ServeDuplicateRefusals(l, func(string) { runs.Add(1) })
	c.register("i-stray", l.Addr().String(), "ready")
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 1)
	require.Equal(t, 503, c.call(i, "once", "key-1").status)
	resp := c.call(i, "once", "key-1")
	require.Equal(t, 200, resp.status)
	require.Equal(t, "ok", resp.body)
	require.EqualValues(t, 1, runs.Load())
}

func TestMetricsPage(t *testing.T) {
	c := newCluster(t)
	c.addEngine(nil)
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 1)
	require.Equal(t, 200, c.call(i, "once", "key-1").status)
	resp, err := http.Get("http://" + i.launcher.Deployment.Listen.Metrics + "/metrics")
	require.NoError(t, err)
	defer resp.Body.Close()
	var text [1 << 16]byte
	n, _ := resp.Body.Read(text[:])
	for _, want := range []string{
		`savoryloft_requests_total{name="NonIdempotent.Answered"} 1`, `savoryloft_age_ms{name="Configuration"}`,
		"savoryloft_lease_held", "savoryloft_log_calls_total", `savoryloft_duration_ms{name="NonIdempotent",quantile="0.95"}`,
	} {
		require.Contains(t, string(text[:n]), want)
	}
}

// Guards against ranks that do not reach the engine, which would then prefill
// prompts in order of arrival.
func TestUrgentPromptsArePrefilledFirst(t *testing.T) {
	const longPrompts = 4
	c := newCluster(t)
	e := c.addEngine(nil)
	e.PrefillRate = 10 // Each long prompt takes 200 ms.
	i := c.start(5 * time.Second)
	c.waitForUpstreams(i, 1)
	var mu sync.Mutex
	var order []string
	var group sync.WaitGroup
	send := func(route string, r *http.Request) {
		group.Go(func() {
			resp := c.do(r)
			mu.Lock()
			defer mu.Unlock()
			require.Equal(t, http.StatusOK, resp.status)
			order = append(order, route)
		})
	}
	for n := range longPrompts {
		send("stream", c.requestWithParts(i, "stream", "key-1", fmt.Sprintf("c%d:2000", n)))
	}
	require.Eventually(t, func() bool { return len(e.Requests()) == longPrompts }, eventuallyTimeout, time.Millisecond)
	send("urgent", c.requestWithParts(i, "urgent", "key-1", "d0:100"))
	group.Wait()
	require.LessOrEqual(t, slices.Index(order, "urgent"), 1, "at most the prompt in prefill may finish first: %v", order)
}

// Callers may keep opening connections until the listener is closed, for example
// when the load balancer has no other instance. A request whose connection was
// accepted must get its answer, also when it arrives as the instance stops.
func TestShutdownUnderLoadAnswersAcceptedRequests(t *testing.T) {
	const callers = 16
	c := newCluster(t)
	c.addEngine(nil)
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 1)
	address := strings.TrimPrefix(i.url, "http://")
	var answered, cut atomic.Int64
	var group sync.WaitGroup
	call := func(id string, pause time.Duration) (connected bool) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		defer conn.Close()
		time.Sleep(pause) // The request follows the connection by a round trip or more.
		r, err := standin.Call{Address: address, Host: host, Route: "once", ID: id, APIKey: "key-1", Timeout: 4 * time.Second}.Request()
		require.NoError(t, err)
		err = r.Write(conn)
		if err == nil {
			var resp *http.Response
			resp, err = http.ReadResponse(bufio.NewReader(conn), r)
			if err == nil && resp.StatusCode == http.StatusOK {
				answered.Add(1)
				return true
			} else if err == nil {
				err = fmt.Errorf("status %d", resp.StatusCode)
			}
		}
		cut.Add(1)
		t.Logf("request %s: %v", id, err)
		return true
	}
	for n := range callers {
		group.Go(func() {
			for k := 0; call(fmt.Sprintf("%d-%d", n, k), time.Duration(n%4)*10*time.Millisecond); k++ {
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	i.cancel()
	group.Wait()
	require.NoError(t, <-i.done)
	require.NotZero(t, answered.Load())
	require.Zero(t, cut.Load(), "%d requests were answered", answered.Load())
}
