package launcher

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/platform/standin"
	"savoryloft.example/savoryloft/relayer"
)

// keptConn is a client's connection that carries several requests.
type keptConn struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dialKept(t *testing.T, i *instance) *keptConn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(i.url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &keptConn{t, conn, bufio.NewReader(conn)}
}

func (k *keptConn) send(r *http.Request) { require.NoError(k.t, r.Write(k.conn)) }

// read reads the response to a request. Its error is that of the head or the body.
func (k *keptConn) read(r *http.Request) response {
	resp, err := http.ReadResponse(k.reader, r)
	if err != nil {
		return response{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(body), err}
}

// endAtExit ends reads soon after the instance has ended, as the end of its process would:
// the client still gets what was written before.
func (k *keptConn) endAtExit(i *instance) {
	go func() {
		err := <-i.done
		_ = k.conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		i.done <- err
	}()
}

// Guards against requests that are accepted late in a planned stop, when the time that
// is left may not suffice for them, and then cut.
func TestRequestLateInAShutdownIsNotCut(t *testing.T) {
	c := newCluster(t)
	e := c.addEngine(nil)
	e.EventCount, e.EventInterval = 60, 50*time.Millisecond // Of a grace period of 5 s.
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 1)
	kept := dialKept(t, i)
	r := c.request(i, "stream", "key-1")
	kept.send(r)
	require.Eventually(t, func() bool { return len(e.Requests()) == 1 }, eventuallyTimeout, time.Millisecond)
	i.cancel()
	kept.endAtExit(i)
	resp := kept.read(r)
	require.NoError(t, resp.err)
	require.Equal(t, fullStream(60), resp.body)
	late := c.request(i, "stream", "key-1")
	if err := late.Write(kept.conn); err == nil {
		resp = kept.read(late)
	}
	if c.startedRuns(standin.AttemptID(late)) > 0 || resp.status != 0 {
		require.NoError(t, resp.err, "a request that reaches an upstream gets its whole answer: %+v", resp)
	}
	require.NoError(t, <-i.done)
}

// Guards against requests that end with a closed connection, instead of a response, at the
// end of the grace period.
func TestUnansweredRequestsGetResponsesAtTheEndOfTheGracePeriod(t *testing.T) {
	for _, route := range []string{"once", "twice", "stream", "resume"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			c.addEngine(func(*http.Request) standin.Behaviour { return standin.Hang })
			i := c.start(longRevocation)
			c.waitForUpstreams(i, 1)
			kept := dialKept(t, i)
			i.cancel()
			time.Sleep(time.Second)
			r := c.request(i, route, "key-1")
			kept.send(r)
			kept.endAtExit(i)
			resp := kept.read(r)
			require.NoError(t, resp.err)
			require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, resp.status, "the request has run")
			require.NoError(t, <-i.done)
		})
	}
}

// Guards against a process that ends while it still writes a response, since the request
// counted as finished before.
func TestShutdownAwaitsResponsesThatAreBeingWritten(t *testing.T) {
	const events = 220_000 // 7 MB, more than the sockets buffer.
	c := newCluster(t)
	e := c.addEngine(func(*http.Request) standin.Behaviour { return standin.CutResponse })
	e.EventCount = events
	e.Cut = func(*http.Request) standin.Cut { return standin.Cut{Framing: standin.WithLength, At: 1 << 30} }
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 1)
	kept := dialKept(t, i)
	require.NoError(t, kept.conn.(*net.TCPConn).SetReadBuffer(64<<10))
	r := c.request(i, "once", "key-1")
	r.Header.Set("X-Token-Count", "100,20")
	kept.send(r)
	require.Eventually(t, func() bool { return len(e.Requests()) == 1 }, eventuallyTimeout, time.Millisecond)
	i.cancel()
	kept.endAtExit(i)
	time.Sleep(3500 * time.Millisecond) // The client reads slowly.
	resp := kept.read(r)
	require.NoError(t, resp.err)
	require.Equal(t, len(fullStream(events)), len(resp.body))
	require.NoError(t, <-i.done)
}

// Guards against requests that are sent to an upstream, and then cut, as the process ends:
// none was in progress at the end of the grace period, but one was still being received.
func TestRequestReceivedAfterTheGracePeriodIsNotSent(t *testing.T) {
	c := newCluster(t)
	c.addEngine(nil)
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 1)
	r := c.request(i, "once", "key-1")
	var text bytes.Buffer
	require.NoError(t, r.Write(&text))
	kept := dialKept(t, i)
	first := text.Next(text.Len() - 4)
	_, err := kept.conn.Write(first)
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	i.cancel()
	require.NoError(t, <-i.done)
	_, err = kept.conn.Write(text.Bytes())
	require.NoError(t, err)
	require.NoError(t, kept.conn.SetReadDeadline(time.Now().Add(time.Second)))
	if resp := kept.read(r); resp.err == nil {
		require.Equal(t, http.StatusServiceUnavailable, resp.status)
	}
	require.Zero(t, c.startedRuns(standin.AttemptID(r)))
}

// Guards against requests that are sent to an upstream although they have been aborted
// already, and then fail as if they had run.
func TestAbortedRequestIsNotSent(t *testing.T) {
	for _, route := range []string{"once", "twice", "stream", "resume"} {
		t.Run(route, func(t *testing.T) {
			c := newCluster(t)
			e := c.addEngine(nil)
			i := c.start(longRevocation)
			c.waitForUpstreams(i, 1)
			require.Equal(t, http.StatusOK, c.call(i, route, "key-1").status, "leaves an idle connection to the upstream")
			i.launcher.abortRequests(relayer.ErrStopping)
			sent := len(e.Requests())
			require.Equal(t, http.StatusServiceUnavailable, c.call(i, route, "key-1").status, "the request has not run")
			require.Len(t, e.Requests(), sent)
		})
	}
}

// Guards against requests that are accepted later than 3 s after a planned stop began, since
// the lease holder waited for a log that was slow before it closed its listener.
func TestSlowLogDoesNotDelayAShutdown(t *testing.T) {
	c := newCluster(t)
	i := c.start(longRevocation)
	require.Eventually(t, func() bool {
		_, _, held := i.launcher.claimer.Held()
		return held
	}, eventuallyTimeout, time.Millisecond)
	c.dutiesDelay.Store(int64(1500 * time.Millisecond)) // As long as a call to the log may take.
	require.Eventually(t, func() bool { return c.dutiesCalls.Load() > 0 }, eventuallyTimeout, time.Millisecond)
	i.cancel()
	time.Sleep(3 * time.Second)
	_, err := net.Dial("tcp", strings.TrimPrefix(i.url, "http://"))
	require.Error(t, err, "no new connections are accepted")
	require.NoError(t, <-i.done)
}
