package launcher

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/faker"
	"savoryloft.example/savoryloft/platform/standin"
)

// headCase is a response whose head is malformed.
type headCase struct {
	status string // Status line without the version.
	field  string // Line of the head that takes the place of the length.
	rest   string // What follows the head.
}

// oddUpstream is an upstream that sends malformed heads to some requests.
type oddUpstream struct {
	version string
	mu      sync.Mutex
	cases   map[string]headCase // By attempt ID.
	numbers map[string]int      // Of the requests on their connections, by attempt ID.
}

func (u *oddUpstream) respond(r faker.Request) (keep bool) {
	_, _ = io.Copy(io.Discard, r.Body)
	u.mu.Lock()
	tt, odd := u.cases[standin.AttemptID(r.Request)]
	u.numbers[standin.AttemptID(r.Request)] = r.Number
	u.mu.Unlock()
	if !odd {
		_, _ = r.Conn.Write([]byte(soundResponse(r, "HTTP/1.1")))
		return true
	}
	rest := tt.rest
	if rest == "" {
		rest = soundResponse(r, u.version)
	}
	_, _ = r.Conn.Write([]byte(responseHead(r, u.version, tt.status) + tt.field + "\r\n" + rest))
	return false
}

// soundResponse returns a whole response to a request.
func soundResponse(r faker.Request, version string) string {
	return responseHead(r, version, "200 OK") + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(fullStream(3)), fullStream(3))
}

// number returns the number on its connection of a request that the upstream has received.
func (u *oddUpstream) number(id string) (n int, received bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n, received = u.numbers[id]
	return n, received
}

// requireMalformedHeads requires that responses with malformed heads do not reach clients.
func requireMalformedHeads(t *testing.T, statuses, fields []string) {
	for _, route := range []string{"once", "twice", "stream", "resume"} {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(route+", "+version, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t)
				u := &oddUpstream{version: version, cases: map[string]headCase{}, numbers: map[string]int{}}
				c.addServer("i-0", u.respond)
				i := c.start(longRevocation)
				c.waitForUpstreams(i, 1)
				for _, status := range statuses {
					for _, field := range fields {
						for _, rest := range []string{fullStream(3), ""} {
							for _, kept := range []bool{false, true} {
								c.requireNotPassedOn(i, u, route, headCase{status, field, rest}, kept)
							}
						}
					}
				}
			})
		}
	}
}

// requireNotPassedOn sends requests until one reaches the upstream, whose response to it is
// malformed, on a connection that has carried others before if kept is set.
func (c *cluster) requireNotPassedOn(i *instance, u *oddUpstream, route string, tt headCase, kept bool) {
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if kept && c.call(i, route, "key-1").status != http.StatusOK {
			continue // The upstream is avoided for a while.
		}
		if !kept {
			i.launcher.Pool.CloseIdle()
		}
		r := c.request(i, route, "key-1")
		id := standin.AttemptID(r)
		u.mu.Lock()
		u.cases[id] = tt
		u.mu.Unlock()
		resp := doOnNewConnection(c.t, r)
		require.GreaterOrEqual(c.t, resp.status, http.StatusInternalServerError, "%+v: %+v", tt, resp)
		require.Empty(c.t, resp.header.Get("X-Server-Signature"), "%+v: %+v", tt, resp)
		require.NotContains(c.t, resp.body, "event", "%+v", tt)
		if n, received := u.number(id); received {
			require.Equal(c.t, kept, n > 0, "request %d on its connection", n)
			require.Equal(c.t, http.StatusBadGateway, resp.status, "the request may have run: %+v", tt)
			return
		}
	}
	require.FailNow(c.t, "no request has reached the upstream")
}

var soundLength = fmt.Sprintf("Content-Length: %d\r\n", len(fullStream(3)))

// Guards against responses that reach clients although the name of a field is none: the line
// was passed on, or the field that gives the length of the body was missed.
func TestMalformedFieldNamesDoNotReachClients(t *testing.T) {
	length := strings.TrimPrefix(soundLength, "Content-Length")
	requireMalformedHeads(t, []string{"200 OK", "500 Internal Server Error", "503 Service Unavailable", "103 Early Hints"}, []string{
		"X Broken: 1\r\n" + soundLength, "X-Broken : 1\r\n", "Content-Length " + length, "Transfer-Encoding : chunked\r\n",
		"X-A: 1\r\n X-Broken: 2\r\n" + soundLength, "X-Not-Executed: 1\r\nX Broken: 1\r\n" + soundLength, "X\x01Broken: 1\r\n" + soundLength, "Content-Length\x00" + length, "X\tBroken: 1\r\n" + soundLength,
	})
}

// Guards against responses that reach clients although their status is none, or against what
// follows them being taken for the response.
func TestMalformedStatusesDoNotReachClients(t *testing.T) {
	requireMalformedHeads(t, []string{"000 OK", "000", "001 OK", "099 OK", "+20 OK", "-00 OK", "600 OK", "999 OK", "101 Switching Protocols"}, []string{
		soundLength, "", "Content-Length: 0\r\n", "X-Not-Executed: 1\r\n" + soundLength,
	})
}

// Guards against chunks of an HTTP/1.0 response that reach clients as its body.
func TestChunksOfHTTP10DoNotReachClients(t *testing.T) {
	for _, route := range []string{"once", "twice", "stream", "resume"} {
		c := newCluster(t)
		u := &oddUpstream{version: "HTTP/1.0", cases: map[string]headCase{}, numbers: map[string]int{}}
		c.addServer("i-0", u.respond)
		i := c.start(longRevocation)
		c.waitForUpstreams(i, 1)
		chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(fullStream(3)), fullStream(3))
		for _, kept := range []bool{false, true} {
			c.requireNotPassedOn(i, u, route, headCase{"200 OK", "Transfer-Encoding: chunked\r\n", chunks}, kept)
		}
	}
}
