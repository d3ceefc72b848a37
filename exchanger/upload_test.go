package exchanger_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft/exchanger"
)

// uploadBytes is the length of a request body that the sockets cannot buffer.
const uploadBytes = 32 << 20

// closing is the way in which a server closes a connection while it receives an upload.
type closing int

const (
	reset          closing = iota
	endThenReset           // Ends its direction, and resets the connection later.
	endThenReadAll         // Ends its direction, reads the upload and closes the connection.
)

// listenEarly starts a server that responds to a request before it has read its body, and
// closes the connection as c says. The channel is closed once it has done so.
func listenEarly(t *testing.T, response string, c closing) (address string, closed chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	closed = make(chan struct{})
	go func() {
		defer close(closed)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond) // The upload fills the buffers of the sockets.
		_, _ = conn.Write([]byte(response))
		time.Sleep(20 * time.Millisecond) // The head is read.
		tcp := conn.(*net.TCPConn)
		switch c {
		case reset:
			_ = tcp.SetLinger(0)
		case endThenReset:
			_ = tcp.CloseWrite()
			_ = tcp.SetLinger(0)
		case endThenReadAll:
			_ = tcp.CloseWrite()
			_, _ = r.WriteTo(discard{})
		}
	}()
	return l.Addr().String(), closed
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

// Guards against a response without a length that is reset while the request is still being
// sent and that is read as a complete one: the write may receive the reset, and reads then
// return the end of the connection.
func TestResponseResetDuringAnUpload(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, tt := range []struct {
			name, response string
			closing        closing
			body           string // Of the complete response; empty if it is not complete.
		}{
			{"part of a body", " 200 OK\r\n\r\npart", reset, ""},
			{"no body", " 200 OK\r\n\r\n", reset, ""},
			{"failure", " 500 Internal Server Error\r\n\r\npart", reset, ""},
			{"connection kept", " 200 OK\r\nConnection: keep-alive\r\n\r\npart", reset, ""},
			{"length, part of a body", " 200 OK\r\nContent-Length: 9\r\n\r\npart", reset, ""},
			{"chunks, part of a body", " 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\npart", reset, ""},
			{"chunks, no end", " 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", reset, ""},
			{"chunks, whole body", " 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", reset, "whole"},
			{"length, whole body", " 200 OK\r\nContent-Length: 5\r\n\r\nwhole", reset, "whole"},
			{"ended, then reset", " 413 Content Too Large\r\nConnection: close\r\n\r\nwhole", endThenReset, "whole"},
			{"length, ended, then reset", " 401 Unauthorized\r\nContent-Length: 5\r\n\r\nwhole", endThenReset, "whole"},
			{"ended, upload read", " 200 OK\r\n\r\nwhole", endThenReadAll, "whole"},
		} {
			if version == "HTTP/1.0" && strings.HasPrefix(tt.name, "chunks") {
				continue // See TestChunksOfHTTP10.
			}
			t.Run(version+", "+tt.name, func(t *testing.T) {
				for _, whenClosed := range []bool{true, false} {
					address, closed := listenEarly(t, version+tt.response, tt.closing)
					p := &exchanger.Pool{Dial: exchanger.DialTCP}
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					defer cancel()
					conn, err := p.Get(ctx, address, exchanger.Fresh)
					require.NoError(t, err)
					defer conn.Release()
					head := []byte("POST / HTTP/1.1\r\nHost: u\r\nContent-Length: 33554432\r\n\r\n")
					require.NoError(t, conn.Send(ctx, head, make([]byte, uploadBytes), 4*time.Second))
					resp, err := conn.ReadResponse(ctx, http.MethodPost)
					require.NoError(t, err)
					if whenClosed && tt.closing != endThenReadAll {
						<-closed
						time.Sleep(20 * time.Millisecond) // The write receives the reset.
					}
					body, err := conn.ReadResponseBody(ctx, resp, 100)
					if tt.body == "" {
						require.Error(t, err, "read after the reset %t: %q", whenClosed, body)
						continue
					}
					require.NoError(t, err)
					require.Equal(t, tt.body, string(body))
				}
			})
		}
	}
}

// Exchange sends the whole request before it reads, so that the reset always fails the write.
func TestExchangeResetDuringAnUpload(t *testing.T) {
	for _, response := range []string{"HTTP/1.0 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"} {
		address, _ := listenEarly(t, response, reset)
		p := &exchanger.Pool{Dial: exchanger.DialTCP}
		conn, err := p.Get(t.Context(), address, exchanger.Fresh)
		require.NoError(t, err)
		defer conn.Release()
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		req.SetRequestURI("http://" + address + "/")
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBody(make([]byte, uploadBytes))
		require.Error(t, conn.Exchange(t.Context(), req, resp, 4*time.Second), response)
		require.True(t, conn.Sent())
	}
}
