package relayer

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// crossingConn is a connection on which data arrives as its read deadline is set.
type crossingConn struct {
	net.Conn

	mu       sync.Mutex
	deadline time.Time
	arrived  chan struct{}
}

func (c *crossingConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.IsZero() && !t.After(time.Now()) {
		close(c.arrived)
	}
	c.deadline = t
	return nil
}

func (c *crossingConn) Read(b []byte) (int, error) {
	<-c.arrived
	return copy(b, "POST / HTTP/1.1\r\n"), nil
}

// Guards against requests that are cut off in the middle since they began to arrive as
// their connection was about to be closed as idle.
func TestRequestThatCrossesTheCloseOfAnIdleConnectionIsRead(t *testing.T) {
	raw := &crossingConn{arrived: make(chan struct{})}
	c := &clientConn{Conn: raw, listener: &Listener{}, received: true}
	idleUntil := time.Now().Add(time.Minute)
	require.NoError(t, c.SetReadDeadline(idleUntil))
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 64))
		read <- err
	}()
	require.True(t, c.closeIfIdle())
	require.NoError(t, <-read)
	raw.mu.Lock()
	defer raw.mu.Unlock()
	require.Equal(t, idleUntil, raw.deadline, "the rest of the request is awaited")
}

// Guards against a planned stop that ends while a request is being read that has crossed
// the close of the last connection.
func TestConnectionsAreOpenUntilTheServerHasClosedThem(t *testing.T) {
	raw := &crossingConn{arrived: make(chan struct{})}
	l := &Listener{}
	c := &clientConn{Conn: raw, listener: l, received: true}
	l.conns = map[*clientConn]struct{}{c: {}}
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 64))
		read <- err
	}()
	require.Equal(t, 1, l.CloseIdle(), "the read has not ended yet")
	require.NoError(t, <-read)
	require.Equal(t, 1, l.CloseIdle(), "the request is being received")
}

// Guards against a pipelined request that is cut off in the middle in a planned stop, since
// its first part was read together with the request before.
func TestPipelinedRequestIsNotIdle(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &Listener{Listener: tcp}
	server := &fasthttp.Server{ReadTimeout: time.Minute, ConnState: l.ObserveState, Handler: func(ctx *fasthttp.RequestCtx) {
		c := ctx.Conn().(*clientConn)
		c.startDisconnectWatch(func(error) {})
		c.stopDisconnectWatch()
	}}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	conn, err := net.Dial("tcp", tcp.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\n"))
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	time.Sleep(50 * time.Millisecond)
	require.Equal(t, 1, l.CloseIdle())
	time.Sleep(50 * time.Millisecond)
	_, err = conn.Write([]byte("Content-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	resp, err = http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Eventually(t, func() bool { return l.CloseIdle() == 0 }, time.Second, time.Millisecond)
	require.NoError(t, tcp.Close())
	require.NoError(t, <-served)
}

// Guards against requests that are not retried since they arrived too slowly: the client
// would take the status for a fault of the request.
func TestRequestThatArrivesTooSlowlyMayBeRetried(t *testing.T) {
	for _, tt := range []struct{ name, received string }{
		{"part of the header", "POST / HTTP/1.1\r\nHost: h\r\n"},
		{"part of the body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n123"},
		{"part of a chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			server := &fasthttp.Server{ReadTimeout: 50 * time.Millisecond, ErrorHandler: HandleProtocolError, Handler: func(*fasthttp.RequestCtx) {
				t.Error("the request is not complete")
			}}
			served := make(chan error, 1)
			go func() { served <- server.Serve(tcp) }()
			conn, err := net.Dial("tcp", tcp.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = conn.Write([]byte(tt.received))
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
			require.NoError(t, tcp.Close())
			require.NoError(t, <-served)
		})
	}
}
