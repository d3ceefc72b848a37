package launcher

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/platform/standin"
)

const long = 30 * time.Second // A bound on withdrawn keys that these tests do not reach.

// firstRequests returns a decision that holds for the first n requests only.
func firstRequests(n int32, b standin.Behaviour) func(*http.Request) standin.Behaviour {
	var left atomic.Int32
	left.Store(n)
	return func(*http.Request) standin.Behaviour {
		if left.Add(-1) >= 0 {
			return b
		}
		return standin.Well
	}
}

func TestCallsReachEnginesAndBack(t *testing.T) {
	s := newSite(t)
	e := s.addEngine(nil)
	i := s.start(long)
	s.waitUpstreams(i, 1)
	for _, tt := range []struct {
		name, route, key string
		status           int
		body             string
	}{
		{"stream", "stream", "key-1", 200, wholeStream(6)},
		{"resumable stream", "resume", "key-2", 200, wholeStream(6)},
		{"plain", "once", "key-1", 200, "answer of i-0"},
		{"wrong key", "once", "nobody's", 401, ""},
		{"no key", "once", "", 401, ""},
		{"no route", "nowhere", "key-1", 404, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := s.call(i, tt.route, tt.key)
			require.NoError(t, a.err)
			require.Equal(t, tt.status, a.status)
			if tt.status == http.StatusOK {
				require.Equal(t, tt.body, a.body)
				require.Equal(t, "signed-by-i-0", standin.Signature(a.header))
			}
		})
	}
	for _, seen := range e.Requests() {
		require.Equal(t, "account", seen.Account)
		require.Empty(t, seen.Credential)
		require.Equal(t, "the body", seen.Body)
	}
}

func TestWhatMayRunAgainDoes(t *testing.T) {
	for _, tt := range []struct {
		name, route string
		behaviour   standin.Behaviour
		status      int
		runs        int
	}{
		{"refused, then run", "once", standin.Refuse, 200, 1},
		{"address of another, then run", "once", standin.Misdirect, 200, 1},
		{"lost answer of what may not run again", "once", standin.LoseAnswer, 502, 1},
		{"failure of what may not run again", "once", standin.FailRun, 500, 1},
		{"success without a signature", "once", standin.Unsigned, 502, 1},
		{"lost answer of what may run again", "twice", standin.LoseAnswer, 200, 2},
		{"failure of what may run again", "twice", standin.FailRun, 200, 2},
		{"hanging upstream of what may run again", "twice", standin.Hang, 200, 2},
		{"lost answer of a stream", "stream", standin.LoseAnswer, 502, 1},
		{"lost answer of a resumable stream", "resume", standin.LoseAnswer, 200, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t)
			decide := firstRequests(1, tt.behaviour)
			s.addEngine(decide)
			s.addEngine(decide)
			i := s.start(long)
			s.waitUpstreams(i, 2)
			r := s.request(i, tt.route, "key-1")
			a := s.do(r)
			require.Equal(t, tt.status, a.status)
			require.Equal(t, tt.runs, s.runs(standin.RequestID(r)))
		})
	}
}

func TestRefusalOfAllIsNotRunAndSaysWhenToComeBack(t *testing.T) {
	s := newSite(t)
	refuse := func(*http.Request) standin.Behaviour { return standin.Refuse }
	s.addEngine(refuse)
	s.addEngine(refuse)
	i := s.start(long)
	s.waitUpstreams(i, 2)
	r := s.request(i, "once", "key-1")
	a := s.do(r)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Zero(t, s.runs(standin.RequestID(r)))
}

func TestBrokenStreams(t *testing.T) {
	s := newSite(t)
	decide := func(r *http.Request) standin.Behaviour {
		if !standin.Resumes(r) {
			return standin.CutStream
		}
		return standin.Well
	}
	s.addEngine(decide)
	s.addEngine(decide)
	i := s.start(long)
	s.waitUpstreams(i, 2)
	a := s.call(i, "resume", "key-1")
	require.NoError(t, a.err)
	require.Equal(t, wholeStream(6), a.body, "no event twice, none missing, no half one")
	a = s.call(i, "stream", "key-1")
	require.Error(t, a.err, "an answer that ends early does not look complete")
	require.Equal(t, wholeStream(2), a.body)
}

func TestLeavingCallersEndTheirWork(t *testing.T) {
	s := newSite(t)
	ended := make(chan struct{})
	s.addEngine(func(r *http.Request) standin.Behaviour {
		go func() {
			<-r.Context().Done()
			close(ended)
		}()
		return standin.Hang
	})
	i := s.start(long)
	s.waitUpstreams(i, 1)
	ctx, cancel := context.WithCancel(context.Background())
	r := s.request(i, "stream", "key-1").WithContext(ctx)
	go func() {
		time.Sleep(200 * time.Millisecond)
		cancel()
	}()
	_, err := http.DefaultClient.Do(r)
	require.Error(t, err)
	select {
	case <-ended:
	case <-time.After(patient):
		t.Fatal("the upstream still works for a caller that has left")
	}
	require.Eventually(t, func() bool { return i.launcher.relayer.ActiveRequests() == 0 }, patient, 10*time.Millisecond)
}

func TestWithdrawnKeysStopEverywhere(t *testing.T) {
	s := newSite(t)
	s.addEngine(nil)
	first, second := s.start(long), s.start(long)
	s.waitUpstreams(second, 1)
	require.Equal(t, 200, s.call(second, "once", "key-2").status)
	s.version, s.keys = 2, []string{"key-1"}
	s.configure()
	for _, i := range []*instance{first, second} {
		require.Eventually(t, func() bool { return s.call(i, "once", "key-2").status == 401 }, patient, 20*time.Millisecond)
		require.Equal(t, 200, s.call(i, "once", "key-1").status)
	}
}

func TestInstancesThatAreCutOffTrustNoKey(t *testing.T) {
	s := newSite(t)
	s.addEngine(nil)
	i := s.start(2 * time.Second)
	s.waitUpstreams(i, 1)
	require.Equal(t, 200, s.call(i, "once", "key-1").status)
	s.log.SetDown(true)
	require.Eventually(t, func() bool { return s.call(i, "once", "key-1").status == 503 }, patient, 50*time.Millisecond)
	require.Equal(t, 503, i.readiness())
	s.log.SetDown(false)
	require.Eventually(t, func() bool { return s.call(i, "once", "key-1").status == 200 }, patient, 50*time.Millisecond)
}

func TestLeavingUpstreamsGetNoNewWork(t *testing.T) {
	s := newSite(t)
	e := s.addEngine(nil)
	s.addEngine(nil)
	i := s.start(long)
	s.waitUpstreams(i, 2)
	address := i.launcher.watcher.Upstreams("s")[0].Address
	s.register(e.ID, address, "draining")
	require.Eventually(t, func() bool { return i.launcher.watcher.Upstreams("s")[0].Draining }, patient, 10*time.Millisecond)
	before := len(e.Requests())
	for range 20 {
		require.Equal(t, 200, s.call(i, "once", "key-1").status)
	}
	require.Len(t, e.Requests(), before)
}

func TestPlannedStopCutsNothing(t *testing.T) {
	s := newSite(t)
	e := s.addEngine(nil)
	e.Events, e.Pause = 40, 50*time.Millisecond
	i := s.start(long)
	s.waitUpstreams(i, 1)
	got := make(chan answer, 1)
	r := s.request(i, "stream", "key-1")
	go func() { got <- s.do(r) }()
	require.Eventually(t, func() bool { return i.launcher.relayer.ActiveRequests() > 0 }, patient, 5*time.Millisecond)
	i.cancel()
	require.Eventually(t, func() bool { return i.readiness() != 200 }, patient, 10*time.Millisecond)
	late := s.call(i, "once", "key-1")
	require.Equal(t, 200, late.status, "requests go on until the balancer has noticed")
	a := <-got
	require.NoError(t, a.err)
	require.Equal(t, wholeStream(40), a.body)
	require.NoError(t, <-i.done)
}

func TestUsageIsReportedOnceAndWhole(t *testing.T) {
	s := newSite(t)
	s.addEngine(nil)
	first, second := s.start(long), s.start(long)
	s.waitUpstreams(second, 1)
	const calls = 40
	for n := range calls {
		require.Equal(t, 200, s.call([]*instance{first, second}[n%2], "once", "key-1").status)
		time.Sleep(20 * time.Millisecond)
	}
	sum := func() int {
		reports, broken := s.duties.Snapshot()
		require.Empty(t, broken)
		total := 0
		for _, r := range reports {
			var n int
			if _, err := parseCount(r, &n); err == nil {
				total += n
			}
		}
		return total
	}
	require.Eventually(t, func() bool { return sum() == calls }, patient, 50*time.Millisecond)
	// The holder stops; the other goes on reporting.
	holder, other := first, second
	if _, _, ok := second.launcher.claimer.Held(); ok {
		holder, other = second, first
	}
	holder.cancel()
	for range 10 {
		require.Equal(t, 200, s.call(other, "once", "key-1").status)
	}
	require.Eventually(t, func() bool { return sum() == calls+10 }, 2*patient, 50*time.Millisecond)
}

func TestSmuggledRequestsAreNotRun(t *testing.T) {
	s := newSite(t)
	e := s.addEngine(nil)
	i := s.start(long)
	s.waitUpstreams(i, 1)
	hidden := standin.RawHead(host, "once", "hidden", "key-1") + "Content-Length: 0\r\n\r\n"
	start := standin.RawHead(host, "once", "outer", "key-1")
	for _, text := range []string{
		start + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		start + "Content-Length: 0\r\nContent-Length: 4\r\n\r\n" + hidden,
		start + "Transfer-Encoding: xchunked\r\n\r\n" + hidden,
		start + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + hidden,
		start + "X: y\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
	} {
		require.Equal(t, []int{400}, raw(t, i, text), "%q", text)
	}
	require.Empty(t, e.Requests())
	require.Equal(t, []int{200, 200}, raw(t, i, start+"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"+hidden), "pipelined, not smuggled")
}

// An upstream sends a second answer to an earlier request before the answer to
// the next one.
func TestStrayAnswersReachNobody(t *testing.T) {
	s := newSite(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go standin.ServeStray(l)
	s.register("i-stray", l.Addr().String(), "ready")
	i := s.start(long)
	s.waitUpstreams(i, 1)
	for range 4 {
		r := s.request(i, "once", "key-1")
		a := s.do(r)
		require.Equal(t, 200, a.status)
		require.Equal(t, "for "+standin.RequestID(r), a.body)
	}
}

func TestMetricsNameWhatOnCallNeeds(t *testing.T) {
	s := newSite(t)
	s.addEngine(nil)
	i := s.start(long)
	s.waitUpstreams(i, 1)
	require.Equal(t, 200, s.call(i, "once", "key-1").status)
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

// Ranks reach the engine, which reads the prompts of the more urgent first.
func TestUrgentPromptsAreReadFirst(t *testing.T) {
	const long = 4
	s := newSite(t)
	e := s.addEngine(nil)
	e.ReadRate = 10 // Each long prompt takes 200 ms.
	i := s.start(5 * time.Second)
	s.waitUpstreams(i, 1)
	var mu sync.Mutex
	var order []string
	var group sync.WaitGroup
	send := func(route string, r *http.Request) {
		group.Go(func() {
			a := s.do(r)
			mu.Lock()
			defer mu.Unlock()
			require.Equal(t, http.StatusOK, a.status)
			order = append(order, route)
		})
	}
	for n := range long {
		send("stream", s.prompt(i, "stream", "key-1", fmt.Sprintf("c%d:2000", n)))
	}
	require.Eventually(t, func() bool { return len(e.Requests()) == long }, patient, time.Millisecond)
	send("urgent", s.prompt(i, "urgent", "key-1", "d0:100"))
	group.Wait()
	require.LessOrEqual(t, slices.Index(order, "urgent"), 1, "after the prompt that was being read: %v", order)
}
