package exchanger_test

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft/exchanger"
)

// endlessServer accepts one request on each connection, sends start, and then
// repeats rest until the client closes the connection.
type endlessServer struct {
	start, rest string
	pause       time.Duration // Before each repetition.
	sent        atomic.Int64
}

func (s *endlessServer) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		_, _ = server.Read(make([]byte, 1024))
		n, err := server.Write([]byte(s.start))
		for err == nil {
			s.sent.Add(int64(n))
			time.Sleep(s.pause)
			n, err = server.Write([]byte(s.rest))
		}
	}()
	return client, nil
}

// readByExchange is read with Exchange.
func readByExchange(ctx context.Context, p *exchanger.Pool, limit int64) error {
	conn, err := p.Get(ctx, "u", exchanger.Reuse)
	if err != nil {
		return err
	}
	defer conn.Release()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://u/")
	if err := conn.Exchange(ctx, req, resp, time.Second); err != nil {
		return err
	}
	_, err = conn.ReadBody(ctx, resp, int(limit))
	return err
}

// read sends a request and reads the whole response.
func read(ctx context.Context, p *exchanger.Pool, limit int64) error {
	conn, err := p.Get(ctx, "u", exchanger.Reuse)
	if err != nil {
		return err
	}
	defer conn.Release()
	if err := conn.Send(ctx, []byte("GET / HTTP/1.1\r\nHost: u\r\n\r\n"), nil, time.Second); err != nil {
		return err
	}
	resp, err := conn.ReadResponse(ctx, "GET")
	if err != nil {
		return err
	}
	_, err = conn.ReadResponseBody(ctx, resp, limit)
	return err
}

// A server may send bytes that are no response without end. The client must stop
// after a bounded number of them and close the connection.
func TestEndlessResponsesAreCutOff(t *testing.T) {
	const (
		headLimit = 8 << 10
		bodyLimit = 32 << 10
		slack     = 40 << 10 // Read buffers, and bytes between a chunk's data.
	)
	line := strings.Repeat("x", 1000)
	for _, tt := range []struct{ name, start, rest string }{
		{"no line end", "", line},
		{"no HTTP", "", line + "\n"},
		{"status line without end", "HTTP/1.1 200 " + line, line},
		{"header without end", "HTTP/1.1 200 OK\r\n", "X-Header: " + line + "\r\n"},
		{"header line without end", "HTTP/1.1 200 OK\r\nX-Header: ", line},
		{"folded header without end", "HTTP/1.1 200 OK\r\nX-Header: a\r\n", " " + line + "\r\n"},
		{"informational responses without end", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"body without length", "HTTP/1.1 200 OK\r\n\r\n", line},
		{"chunks without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n"},
		{"small chunks without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + line + "\r\nx\r\n"},
		{"chunk extension without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", line},
		{"chunk length without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1000)},
		{"trailer without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: " + line + "\r\n"},
		{"announced length too large", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", line},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, read := range []func(context.Context, *exchanger.Pool, int64) error{read, readByExchange} {
				synctest.Test(t, func(t *testing.T) {
					s := &endlessServer{start: tt.start, rest: tt.rest}
					p := &exchanger.Pool{Dial: s.dial, MaxHeadBytes: headLimit}
					require.Error(t, read(t.Context(), p, bodyLimit))
					synctest.Wait()
					require.LessOrEqual(t, s.sent.Load(), int64(headLimit+bodyLimit+slack))
				})
			}
		})
	}
}

// Many servers that send without end at the same time must not take more memory
// than the pool allows, and must not keep others from getting their responses.
func TestEndlessResponsesShareAMemoryLimit(t *testing.T) {
	const (
		maxBuffered = 1 << 20
		servers     = 50
	)
	synctest.Test(t, func(t *testing.T) {
		s := &endlessServer{start: "HTTP/1.1 200 OK\r\n\r\n", rest: strings.Repeat("x", 4000), pause: time.Millisecond}
		p := &exchanger.Pool{Dial: s.dial, MaxBufferedBytes: maxBuffered}
		errs := make(chan error, servers)
		for range servers {
			go func() { errs <- read(t.Context(), p, 8<<20) }()
		}
		for range servers {
			require.ErrorContains(t, <-errs, "exceed")
			require.LessOrEqual(t, p.Buffered(), int64(maxBuffered))
		}
		time.Sleep(time.Second)
		require.Zero(t, p.Buffered())
		sound := &upstream{handle: respondOK}
		p.Dial = sound.dial
		require.NoError(t, read(t.Context(), p, 100))
		p.CloseIdle()
	})
}

// A server that sends a byte now and then must not hold a request longer than its
// deadline.
func TestDribblingResponseEndsAtTheDeadline(t *testing.T) {
	for _, tt := range []struct{ name, start, rest string }{
		{"head", "HTTP/1.1 200 OK\r\n", "X"},
		{"body", "HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n", "x"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &endlessServer{start: tt.start, rest: tt.rest, pause: 300 * time.Millisecond}
				p := &exchanger.Pool{Dial: s.dial}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				started := time.Now()
				require.ErrorIs(t, read(ctx, p, 1<<20), context.DeadlineExceeded)
				require.Equal(t, 5*time.Second, time.Since(started))
				time.Sleep(time.Second) // The server notices the end of the connection.
			})
		})
	}
}
