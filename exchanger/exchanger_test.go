package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft/exchanger"
)

// upstream is a fake server that counts requests and calls handle for each.
type upstream struct {
	requests atomic.Int32
	handle   func(c net.Conn, r *bufio.Reader)
}

func (u *upstream) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		r := bufio.NewReader(server)
		for {
			var req fasthttp.Request
			if req.Read(r) != nil {
				return
			}
			u.requests.Add(1)
			u.handle(server, r)
		}
	}()
	return client, nil
}

func exchange(ctx context.Context, p *exchanger.Pool, mode exchanger.Mode, method string) (sent bool, body []byte, err error) {
	conn, err := p.Get(ctx, "u", mode)
	if err != nil {
		return false, nil, err
	}
	defer conn.Release()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://u/")
	req.Header.SetMethod(method)
	if err := conn.Exchange(ctx, req, resp, time.Second); err != nil {
		return conn.Sent(), nil, err
	}
	body, err = conn.ReadBody(ctx, resp, 100)
	return true, body, err
}

func respondOK(c net.Conn, _ *bufio.Reader) {
	_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
}

// The upstream reads the request and closes the connection without a response.
// It must receive each request exactly once, including requests with idempotent
// methods, which net/http and fasthttp retry by themselves.
func TestExchangeIsNotRetried(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "PUT", "POST", "DELETE"} {
		for _, mode := range []exchanger.Mode{exchanger.Reuse, exchanger.Fresh} {
			synctest.Test(t, func(t *testing.T) {
				u := &upstream{handle: func(c net.Conn, _ *bufio.Reader) { _ = c.Close() }}
				p := &exchanger.Pool{Dial: u.dial}
				sent, _, err := exchange(t.Context(), p, mode, method)
				require.Error(t, err)
				require.True(t, sent)
				require.Equal(t, int32(1), u.requests.Load())
			})
		}
	}
}

func TestConnectionIsReusedOnlyAfterCompleteResponse(t *testing.T) {
	tests := []struct {
		name   string
		handle func(c net.Conn, r *bufio.Reader)
		dials  int32
	}{
		{"complete response", respondOK, 1},
		{"informational responses before", func(c net.Conn, r *bufio.Reader) {
			_, _ = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"))
			respondOK(c, r)
		}, 1},
		{"connection that the server closes", func(c net.Conn, _ *bufio.Reader) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"))
		}, 3},
		{"data after the response", func(c net.Conn, _ *bufio.Reader) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"))
		}, 3},
		{"response body too long", func(c net.Conn, _ *bufio.Reader) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + string(make([]byte, 200))))
		}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstream{handle: tt.handle}
				var dials atomic.Int32
				p := &exchanger.Pool{Dial: func(ctx context.Context, a string) (net.Conn, error) {
					dials.Add(1)
					return u.dial(ctx, a)
				}}
				for range 3 {
					_, body, err := exchange(t.Context(), p, exchanger.Reuse, "GET")
					if err == nil {
						require.Equal(t, "ok", string(body))
					}
				}
				require.Equal(t, tt.dials, dials.Load())
				p.CloseIdle()
			})
		})
	}
}

func TestSilentUpstreamTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{handle: func(net.Conn, *bufio.Reader) { time.Sleep(time.Minute) }}
		start := time.Now()
		sent, _, err := exchange(t.Context(), &exchanger.Pool{Dial: u.dial}, exchanger.Fresh, "GET")
		require.Error(t, err)
		require.True(t, sent)
		require.Equal(t, time.Second, time.Since(start))
		time.Sleep(time.Minute) // Lets the upstream's goroutine end before the test returns, as synctest requires.
	})
}

func TestCancelledExchangeReturnsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{handle: func(net.Conn, *bufio.Reader) { time.Sleep(time.Minute) }}
		reason := errors.New("reason")
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(100*time.Millisecond, func() { cancel(reason) })
		_, _, err := exchange(ctx, &exchanger.Pool{Dial: u.dial}, exchanger.Fresh, "GET")
		require.ErrorIs(t, err, reason)
		time.Sleep(time.Minute)
	})
}

func TestFailedDialSendsNothing(t *testing.T) {
	p := &exchanger.Pool{Dial: func(context.Context, string) (net.Conn, error) { return nil, os.ErrPermission }}
	sent, _, err := exchange(t.Context(), p, exchanger.Fresh, "GET")
	require.ErrorIs(t, err, os.ErrPermission)
	require.False(t, sent)
}

// Guards against reads that never time out, and against idle connections that keep the
// request before in memory, since an extension of reads outlasts its exchange.
func TestExtendedReadsEndWithTheExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{}
		u.handle = func(c net.Conn, r *bufio.Reader) {
			if u.requests.Load() == 1 {
				respondOK(c, r)
			}
		}
		p := &exchanger.Pool{Dial: u.dial}
		defer p.CloseIdle()
		conn, err := p.Get(t.Context(), "u", exchanger.Reuse)
		require.NoError(t, err)
		require.NoError(t, conn.Send(t.Context(), []byte("GET / HTTP/1.1\r\nHost: u\r\n\r\n"), nil, time.Second))
		resp, err := conn.ReadResponse(t.Context(), "GET")
		require.NoError(t, err)
		extensions := 0
		conn.ExtendReads(func() time.Duration {
			extensions++
			return time.Second * time.Duration(3-extensions)
		})
		_, err = conn.ReadResponseBody(t.Context(), resp, 100)
		require.NoError(t, err)
		conn.Release()
		_, _, err = exchange(t.Context(), p, exchanger.Reuse, "GET")
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Zero(t, extensions)
	})
}
