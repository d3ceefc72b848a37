package launcher

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/faker"
	"savoryloft.example/savoryloft/platform/standin"
)

const uploadBytes = 8 << 20 // Of a body that the sockets cannot buffer.

// addServer starts a server and adds it to the registry as an upstream with the given ID.
func (c *cluster) addServer(id string, respond func(r faker.Request) (keep bool)) {
	l := c.listen()
	c.t.Cleanup(func() { _ = l.Close() })
	go (&faker.Server{Respond: respond}).Serve(l)
	c.register(id, l.Addr().String(), "ready")
}

// responseHead returns the status line and the fields that a sound upstream sends, without
// the empty line.
func responseHead(r faker.Request, version, status string) string {
	head := fmt.Sprintf("%s %s\r\nX-Attempt-Id: %s\r\nX-Server-Signature: signed\r\n", version, status, standin.AttemptID(r.Request))
	if r.Header.Get("X-Token-Count") != "" {
		head += "Content-Type: text/event-stream\r\n"
	}
	return head
}

// upload returns a request with a body that the sockets cannot buffer.
func (c *cluster) upload(i *instance, route string) *http.Request {
	r := c.request(i, route, "key-1")
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, uploadBytes))), uploadBytes
	return r
}

// Guards against a response without a length that is reset while the request is still being
// sent and that reaches the caller as a complete one.
func TestResponseResetDuringAnUploadIsNotComplete(t *testing.T) {
	const rounds = 4 // Either the write or the read receives the reset.
	events := fullStream(3)
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, tt := range []struct{ name, status, body string }{
			{"no body", "200 OK", ""},
			{"part of an event", "200 OK", events[:5]},
			{"an event", "200 OK", fullStream(1)},
			{"all events", "200 OK", events},
			{"failure", "500 Internal Server Error", "part"},
		} {
			for _, route := range []string{"once", "twice", "stream", "resume"} {
				t.Run(version+", "+tt.name+", "+route, func(t *testing.T) {
					t.Parallel()
					c := newCluster(t)
					c.limits["max_body_bytes"] = uploadBytes
					c.writeConfiguration()
					c.addServer("i-0", func(r faker.Request) bool {
						if r.ContentLength < uploadBytes {
							_, _ = io.Copy(io.Discard, r.Body)
							_, _ = r.Conn.Write([]byte(soundResponse(r, "HTTP/1.1")))
							return true
						}
						time.Sleep(5 * time.Millisecond) // The upload fills the buffers of the sockets.
						_, _ = r.Conn.Write([]byte(responseHead(r, version, tt.status) + "\r\n" + tt.body))
						time.Sleep(5 * time.Millisecond) // The response is read up to here.
						_ = r.Conn.(*net.TCPConn).SetLinger(0)
						return false
					})
					i := c.start(longRevocation)
					c.waitForUpstreams(i, 1)
					for n := range rounds {
						if n%2 > 0 { // Leaves a connection to the upstream, which may be avoided for a while.
							require.Eventually(t, func() bool { return c.call(i, route, "key-1").status == http.StatusOK }, eventuallyTimeout, 5*time.Millisecond)
						}
						resp := doOnNewConnection(t, c.upload(i, route))
						if resp.err != nil {
							continue
						}
						require.NotEqual(t, http.StatusOK, resp.status, "%+v", resp)
						require.Empty(t, resp.header.Get("X-Server-Signature"), "the response of an upstream: %+v", resp)
					}
				})
			}
		}
	}
}

// Guards against early responses to long requests that are lost although they are complete.
func TestEarlyResponseToAnUploadIsPassedOn(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, tt := range []struct {
			name, status, fields string
			end                  func(conn *net.TCPConn)
		}{
			{"length, reset", "413 Content Too Large", soundLength, func(conn *net.TCPConn) { _ = conn.SetLinger(0) }},
			{"length, kept", "401 Unauthorized", "Connection: keep-alive\r\n" + soundLength, func(*net.TCPConn) { time.Sleep(300 * time.Millisecond) }},
			{"ends with its connection", "413 Content Too Large", "", func(conn *net.TCPConn) {
				_ = conn.CloseWrite()
				time.Sleep(20 * time.Millisecond)
			}},
			{"ends with its connection, then reset", "200 OK", "Connection: close\r\n", func(conn *net.TCPConn) {
				_ = conn.CloseWrite()
				_ = conn.SetLinger(0)
			}},
		} {
			for _, route := range []string{"once", "twice", "stream", "resume"} {
				t.Run(version+", "+tt.name+", "+route, func(t *testing.T) {
					t.Parallel()
					c := newCluster(t)
					c.limits["max_body_bytes"] = uploadBytes
					c.writeConfiguration()
					c.addServer("i-0", func(r faker.Request) bool {
						_, _ = r.Conn.Write([]byte(responseHead(r, version, tt.status) + tt.fields + "\r\n" + fullStream(3)))
						time.Sleep(20 * time.Millisecond) // The response is read.
						tt.end(r.Conn.(*net.TCPConn))
						return false
					})
					i := c.start(longRevocation)
					c.waitForUpstreams(i, 1)
					for range 3 {
						resp := doOnNewConnection(t, c.upload(i, route))
						require.NoError(t, resp.err)
						require.Contains(t, tt.status, fmt.Sprint(resp.status))
						require.Equal(t, fullStream(3), resp.body)
						require.Equal(t, "signed", resp.header.Get("X-Server-Signature"))
					}
				})
			}
		}
	}
}
