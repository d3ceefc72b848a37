package exchanger_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft/exchanger"
)

// resetConn reports the end of a connection as a reset.
type resetConn struct{ net.Conn }

func (c resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = syscall.ECONNRESET
	}
	return n, err
}

// exchangeRaw is exchange with the client for encoded requests.
func exchangeRaw(ctx context.Context, p *exchanger.Pool, mode exchanger.Mode, method string) ([]byte, error) {
	conn, err := p.Get(ctx, "u", mode)
	if err != nil {
		return nil, err
	}
	defer conn.Release()
	if err := conn.Send(ctx, []byte(method+" / HTTP/1.1\r\nHost: u\r\n\r\n"), nil, time.Second); err != nil {
		return nil, err
	}
	resp, err := conn.ReadResponse(ctx, method)
	if err != nil {
		return nil, err
	}
	return conn.ReadResponseBody(ctx, resp, 100)
}

// Guards against a response that is cut at any byte and read as a complete one.
func TestCutResponses(t *testing.T) {
	for _, tt := range []struct {
		name, response string
		unframed       bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nthe body", false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nthe \r\n4\r\nbody\r\n0\r\n\r\n", false},
		{"chunks and a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n4\r\nthe \r\n4\r\nbody\r\n0\r\nX-T: 1\r\n\r\n", false},
		{"unframed", "HTTP/1.1 200 OK\r\n\r\nthe body", true},
	} {
		for _, reset := range []bool{false, true} {
			for at := range len(tt.response) + 1 {
				where := fmt.Sprintf("%s, reset %t, cut after %q", tt.name, reset, tt.response[:at])
				u := &upstream{handle: func(c net.Conn, _ *bufio.Reader) {
					_, _ = c.Write([]byte(tt.response[:at]))
					_ = c.Close()
				}}
				dial := func(ctx context.Context, address string) (net.Conn, error) {
					c, err := u.dial(ctx, address)
					if reset {
						c = resetConn{c}
					}
					return c, err
				}
				p := &exchanger.Pool{Dial: dial}
				_, first, firstErr := exchange(t.Context(), p, exchanger.Fresh, fasthttp.MethodGet)
				second, secondErr := exchangeRaw(t.Context(), p, exchanger.Fresh, http.MethodGet)
				for _, got := range []struct {
					body []byte
					err  error
				}{{first, firstErr}, {second, secondErr}} {
					head := strings.Index(tt.response, "\r\n\r\n") + 4
					switch {
					case tt.unframed && !reset && at >= head:
						require.NoError(t, got.err, where)
						require.Equal(t, tt.response[head:at], string(got.body), where)
					case !tt.unframed && at == len(tt.response):
						require.NoError(t, got.err, where)
						require.Equal(t, "the body", string(got.body), where)
					default:
						require.Error(t, got.err, where)
					}
				}
				p.CloseIdle()
			}
		}
	}
}

// Bodies of any length are read whole, over the boundaries of the blocks that hold them.
func TestBodiesOfManyLengths(t *testing.T) {
	for _, length := range []int{0, 1, 4095, 4096, 4097, 36863, 36864, 36865, 69632, 69633, 200000} {
		body := strings.Repeat("0123456789abcde\n", length/16+1)[:length]
		u := &upstream{handle: func(c net.Conn, _ *bufio.Reader) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, body)
		}}
		p := &exchanger.Pool{Dial: u.dial}
		for range 2 {
			conn, err := p.Get(t.Context(), "u", exchanger.Reuse)
			require.NoError(t, err)
			require.NoError(t, conn.Send(t.Context(), []byte("GET / HTTP/1.1\r\nHost: u\r\n\r\n"), nil, time.Second))
			resp, err := conn.ReadResponse(t.Context(), http.MethodGet)
			require.NoError(t, err)
			got, err := conn.ReadResponseBody(t.Context(), resp, 1<<20)
			require.NoError(t, err)
			require.Equal(t, body, string(got))
			conn.Release()
		}
		p.CloseIdle()
	}
}

// Guards against the same on a connection that has carried a whole response before.
func TestCutResponsesOnKeptConnections(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nX-Header: 1\r\nContent-Length: 8\r\n\r\nthe body"
	for _, encoded := range []bool{false, true} {
		for at := range len(response) + 1 {
			first, dials := true, atomic.Int32{}
			u := &upstream{handle: func(c net.Conn, r *bufio.Reader) {
				if first {
					first = false
					respondOK(c, r)
					return
				}
				_, _ = c.Write([]byte(response[:at]))
				_ = c.Close()
			}}
			p := &exchanger.Pool{Dial: func(ctx context.Context, address string) (net.Conn, error) {
				dials.Add(1)
				return u.dial(ctx, address)
			}}
			_, _, err := exchange(t.Context(), p, exchanger.Reuse, fasthttp.MethodGet)
			require.NoError(t, err)
			var body []byte
			if encoded {
				body, err = exchangeRaw(t.Context(), p, exchanger.Reuse, http.MethodGet)
			} else {
				_, body, err = exchange(t.Context(), p, exchanger.Reuse, fasthttp.MethodGet)
			}
			require.Equal(t, int32(2), u.requests.Load())
			require.Equal(t, int32(1), dials.Load(), "the connection was kept")
			if at == len(response) {
				require.NoError(t, err)
				require.Equal(t, "the body", string(body))
				continue
			}
			require.Error(t, err, "encoded %t, cut after %q", encoded, response[:at])
			p.CloseIdle()
		}
	}
}
