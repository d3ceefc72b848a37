package exchanger_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft/exchanger"
)

// soundResponse may follow a malformed head, such as one of an earlier request.
const soundResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"

// clients are the ways in which responses are read.
var clients = map[string]func(t *testing.T, p *exchanger.Pool) (body []byte, err error){
	"Exchange": func(t *testing.T, p *exchanger.Pool) ([]byte, error) {
		_, body, err := exchange(t.Context(), p, exchanger.Reuse, fasthttp.MethodGet)
		return body, err
	},
	"ReadResponse": func(t *testing.T, p *exchanger.Pool) ([]byte, error) {
		return exchangeRaw(t.Context(), p, exchanger.Reuse, http.MethodGet)
	},
	"Query": func(t *testing.T, p *exchanger.Pool) ([]byte, error) {
		conn, err := p.Get(t.Context(), "u", exchanger.Reuse)
		require.NoError(t, err)
		defer conn.Release()
		body, _, err := conn.Query(t.Context(), []byte("GET / HTTP/1.1\r\nHost: u\r\n\r\n"), 100, time.Second)
		return body, err
	},
}

// readAfter returns what a client reads of a response on a connection that has carried a
// number of whole responses before. Afterwards the server closes the connection.
func readAfter(t *testing.T, client string, before int32, response string) ([]byte, error) {
	u := &upstream{}
	u.handle = func(c net.Conn, r *bufio.Reader) {
		if u.requests.Load() <= before {
			respondOK(c, r)
			return
		}
		_, _ = c.Write([]byte(response))
		_ = c.Close()
	}
	p := &exchanger.Pool{Dial: u.dial}
	defer p.CloseIdle()
	for range before {
		body, err := clients[client](t, p)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
	}
	return clients[client](t, p)
}

// requireMalformed requires that each client refuses a head, which lacks its empty line,
// whatever follows it, on new and kept connections.
func requireMalformed(t *testing.T, head string) {
	t.Helper()
	for client := range clients {
		for _, before := range []int32{0, 1} {
			for _, rest := range []string{"", "part", "whole", soundResponse} {
				body, err := readAfter(t, client, before, head+"\r\n"+rest)
				require.Error(t, err, "%s, %d responses before, %q then %q: %q", client, before, head, rest, body)
			}
		}
	}
}

// Guards against responses that are taken although the name of a field is none.
func TestMalformedFieldNames(t *testing.T) {
	for _, field := range []string{
		"X Broken: 1", "X-Broken : 1", "X-Broken\t: 1", "Content-Length : 5", "Content-Length\t: 5",
		"content-length : 5", "Transfer-Encoding : chunked", "Content-Type : text/plain", "Set Cookie: a=b", "Set-Cookie : a=b",
		"X\x00Broken: 1", "X-Broken\x00: 1", "X\x01Broken: 1", "X\x0bBroken: 1", "X\x7fBroken: 1", "X\rBroken: 1", "Content-\x00Length: 5",
		"X-A: 1\r\n X-Broken: 2", "X-A: 1\r\n\tfolded", ": 1", " : 1", "X(Broken): 1", "X\xc3\xa9: 1", "X-Broken", "\x00",
	} {
		t.Run(fmt.Sprintf("%q", field), func(t *testing.T) {
			for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
				for _, status := range []string{"200 OK", "500 Internal Server Error", "103 Early Hints"} {
					for _, format := range []string{"%s\r\n", "Content-Length: 5\r\n%s\r\n", "%s\r\nContent-Length: 5\r\n", "Transfer-Encoding: chunked\r\n%s\r\n"} {
						requireMalformed(t, version+" "+status+"\r\n"+fmt.Sprintf(format, field))
					}
				}
			}
		})
	}
}

// Guards against sound responses that are refused.
func TestUnusualHeads(t *testing.T) {
	const body = "sound"
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n", "HTTP/1.1 200\r\nContent-Length: 5\r\n", "HTTP/1.1 200 \r\nContent-Length: 5\r\n",
		"HTTP/1.1 299 \xc3\xa9\r\nContent-Length:5\r\n", "HTTP/1.1 599 Odd\r\ncontent-length:  5  \r\n", "HTTP/1.1 500 Internal Server Error\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 5\n", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 5\r\n",
		"HTTP/1.1 200 OK\r\nX-A:\r\nX-B: \r\nX-C: a: b\r\nX-D: \xc3\xa9\r\nX-E:\ta b\t\r\nContent-Length: 5\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
		"HTTP/1.0 100 Continue\r\n\r\nHTTP/1.1 413 Content Too Large\r\nConnection: close\r\n",
	} {
		for client := range clients {
			for before := range int32(2) {
				got, err := readAfter(t, client, before, head+"\r\n"+body)
				if client == "Query" && err != nil {
					require.ErrorContains(t, err, "ends with the response to a query")
					continue
				}
				require.NoError(t, err, "%s, %d responses before, %q", client, before, head)
				require.Equal(t, body, string(got), "%s, %d responses before, %q", client, before, head)
			}
		}
	}
}

// Guards against chunks that are read as the body: HTTP/1.0 has none, so that parsers ignore
// the field.
func TestChunksOfHTTP10(t *testing.T) {
	for _, field := range []string{"Transfer-Encoding: chunked", "transfer-encoding:chunked", "Transfer-Encoding: gzip, chunked"} {
		for _, format := range []string{"%s\r\n", "Content-Length: 5\r\n%s\r\n", "%s\r\nContent-Length: 5\r\n", "Connection: keep-alive\r\n%s\r\n"} {
			fields := fmt.Sprintf(format, field)
			requireMalformed(t, "HTTP/1.0 200 OK\r\n"+fields)
			requireMalformed(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\n"+fields)
		}
	}
	for client := range clients {
		body, err := readAfter(t, client, 0, "HTTP/1.0 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\n\r\n")
		require.NoError(t, err, client)
		require.Equal(t, "sound", string(body), client)
	}
}
