package launcher

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/faker"
)

// Guards against broken responses that reach the caller as complete ones by way of another
// instance.
func TestBrokenResponsesThroughAnotherInstanceAreNotComplete(t *testing.T) {
	for _, tt := range []struct {
		name    string
		upload  bool
		respond func(r faker.Request)
	}{
		{"reset during the upload", true, func(r faker.Request) {
			time.Sleep(5 * time.Millisecond)
			_, _ = r.Conn.Write([]byte(responseHead(r, "HTTP/1.1", "200 OK") + "\r\n" + fullStream(1)))
			time.Sleep(5 * time.Millisecond)
			_ = r.Conn.(*net.TCPConn).SetLinger(0)
		}},
		{"status 000", false, func(r faker.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = r.Conn.Write([]byte(responseHead(r, "HTTP/1.1", "000 None") + "Content-Length: 4\r\n\r\nfull"))
		}},
		{"chunks that end early", false, func(r faker.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = r.Conn.Write([]byte(responseHead(r, "HTTP/1.1", "200 OK") + "Transfer-Encoding: chunked\r\n\r\n15\r\nid: 1\ndata: event 1\n\n\r\n"))
		}},
	} {
		for _, route := range []string{"once", "twice", "stream", "resume"} {
			t.Run(tt.name+", "+route, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t)
				c.limits["max_body_bytes"] = uploadBytes
				c.writeConfiguration()
				var arrivals atomic.Int64
				c.addServer("i-0", func(r faker.Request) bool {
					arrivals.Add(1)
					tt.respond(r)
					return false
				})
				for range 2 {
					c.waitForUpstreams(c.start(longRevocation), 1)
				}
				c.waitForLinks()
				i := c.instances[0]
				i.partition.set(refusing)
				r := c.request(i, route, "key-1")
				if tt.upload {
					r = c.upload(i, route)
				}
				resp := doOnNewConnection(t, r)
				require.Positive(t, arrivals.Load(), "it has come through the other instance")
				if resp.err == nil {
					require.Equal(t, http.StatusBadGateway, resp.status, "%+v", resp)
					require.Empty(t, resp.header.Get("X-Server-Signature"), "%+v", resp)
				}
			})
		}
	}
}
