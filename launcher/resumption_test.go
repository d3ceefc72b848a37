package launcher

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/platform/standin"
)

// resumptions are the responses that engines give to the first request and to later ones
// for the same stream.
type resumptions struct {
	mu     sync.Mutex
	sends  map[string]int // By attempt ID.
	faulty int            // Number of the sends from the second on that get the response raw.
	first  standin.Behaviour
	raw    func(r *http.Request) string
}

func (s *resumptions) decide(r *http.Request) standin.Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := standin.AttemptID(r)
	s.sends[id]++
	switch n := s.sends[id]; {
	case n == 1:
		return s.first
	case n-1 <= s.faulty:
		return standin.RawResponse
	}
	return standin.Normal
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", n, n) }

// Guards against text of an upstream that fails, or a part of another stream, in the middle
// of a stream that was broken off, and against such a stream that ends as if it were whole.
func TestOnlyAResumptionContinuesAStream(t *testing.T) {
	const (
		status = "200 OK"
		kind   = "text/event-stream"
		failed = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nfailed"
	)
	for _, tt := range []struct {
		name, status, kind string
		unsigned           bool
		body               []string
		passed             int // Events that reach the client before the stream is cut.
	}{
		{"server error", "500 Internal Server Error", "text/plain", false, []string{"failed\n\n"}, 2},
		{"unavailable", "503 Service Unavailable", "text/plain", false, []string{"failed\n\n"}, 2},
		{"not found", "404 Not Found", "text/plain", false, []string{"failed\n\n"}, 2},
		{"no content", "204 No Content", kind, false, nil, 2},
		{"partial content", "206 Partial Content", kind, false, []string{event(3), event(4), event(5), event(6)}, 2},
		{"text", status, "text/plain", false, []string{"failed\n\n"}, 2},
		{"events of no type", status, "", false, []string{event(3), event(4), event(5), event(6)}, 2},
		{"events of another type", status, "application/json", false, []string{event(3), event(4), event(5), event(6)}, 2},
		{"events without a signature", status, kind, true, []string{event(3), event(4), event(5), event(6)}, 2},
		{"text for events", status, kind, false, []string{"failed\n\ntry again\n\n"}, 2},
		{"text without an end", status, kind, false, []string{"failed"}, 2},
		{"a whole head for events", status, kind, false, []string{failed + "\n\n"}, 2},
		{"event without an ID", status, kind, false, []string{"data: failed\n\n"}, 2},
		{"event with more text", status, kind, false, []string{"failed\n" + event(3), event(4)}, 2},
		{"from the beginning", status, kind, false, []string{event(1), event(2), event(3)}, 2},
		{"the last event again", status, kind, false, []string{event(2), event(3)}, 2},
		{"a later event", status, kind, false, []string{event(4), event(5), event(6)}, 2},
		{"an event, then text", status, kind, false, []string{event(3), "failed\n\n"}, 3},
		{"an event and text at once", status, kind, false, []string{event(3) + "failed\n\n" + event(4)}, 3},
		{"an event, then a whole head", status, kind, false, []string{event(3), failed + "\n\n"}, 3},
		{"an event, then a gap", status, kind, false, []string{event(3), event(5), event(6)}, 3},
		{"an event twice", status, kind, false, []string{event(3), event(3), event(4)}, 3},
	} {
		for f := range standin.FramingCount {
			for _, faulty := range []int{1, 2} {
				t.Run(fmt.Sprintf("%s, framing %d, %d faulty", tt.name, f, faulty), func(t *testing.T) {
					t.Parallel()
					c := newCluster(t)
					s := &resumptions{sends: map[string]int{}, faulty: faulty, first: standin.TruncateStream}
					s.raw = func(r *http.Request) string {
						head := "HTTP/1.1 " + tt.status + "\r\nX-Attempt-Id: " + standin.AttemptID(r) + "\r\n"
						if tt.kind != "" {
							head += "Content-Type: " + tt.kind + "\r\n"
						}
						if !tt.unsigned {
							head += "X-Server-Signature: signed\r\n"
						}
						head, body := standin.Frame(head, tt.body, f)
						return head + body
					}
					for range 3 {
						c.addEngine(s.decide).Raw = s.raw
					}
					i := c.start(longRevocation)
					c.waitForUpstreams(i, 3)
					resp := doOnNewConnection(t, c.request(i, "resume", "key-1"))
					require.Equal(t, http.StatusOK, resp.status)
					if faulty == 1 {
						require.NoError(t, resp.err, resp.body)
						require.Equal(t, fullStream(6), resp.body)
						return
					}
					require.Error(t, resp.err, "the stream is not whole: %q", resp.body)
					require.Equal(t, fullStream(tt.passed), resp.body)
				})
			}
		}
	}
}

// Guards against the same in a stream that its client takes up.
func TestOnlyAResumptionIsTakenUp(t *testing.T) {
	for _, body := range []string{
		"failed\n\n", "HTTP/1.1 500 Internal Server Error\r\n\r\n\n\n", "data: failed\n\n", event(1) + event(2), event(2) + event(3), "failed",
	} {
		for f := range standin.FramingCount {
			t.Run(fmt.Sprintf("%q, framing %d", body, f), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t)
				c.bootstrap = true
				s := &resumptions{sends: map[string]int{}, first: standin.RawResponse}
				s.raw = func(r *http.Request) string {
					head, body := standin.Frame("HTTP/1.1 200 OK\r\nX-Attempt-Id: "+standin.AttemptID(r)+
						"\r\nX-Server-Signature: signed\r\nContent-Type: text/event-stream\r\n", []string{body}, f)
					return head + body
				}
				for range 2 {
					c.addEngine(s.decide).Raw = s.raw
				}
				i := c.start(longRevocation)
				c.waitForUpstreams(i, 2)
				r := c.request(i, "resume", "key-1")
				r.Header.Set("Last-Event-Id", "2")
				r.Header.Set("Resumes", "attempt-0")
				resp := doOnNewConnection(t, r)
				require.NoError(t, resp.err)
				require.Equal(t, http.StatusOK, resp.status, resp.body)
				require.Equal(t, strings.TrimPrefix(fullStream(6), fullStream(2)), resp.body)
			})
		}
	}
}

// Guards against a stream that is resumed after an earlier event than the last one that its
// client holds: one whose ID is not known, or was read in two parts.
func TestStreamIsResumedAfterItsLastEvent(t *testing.T) {
	type stream struct {
		name   string
		events []string // Before the response is broken off.
		goesOn bool
	}
	list := []stream{
		{"event without an ID", []string{event(1), "data: event\n\n"}, false},
		{"only an event without an ID", []string{"data: event\n\n"}, false},
		{"an event without an ID, then one with an ID", []string{event(1), "data: event\n\n", event(2)}, true},
		{"a comment", []string{event(1), event(2), ": wait\n\n"}, true},
	}
	for length := 4060; length < 4110; length++ {
		list = append(list, stream{fmt.Sprintf("ID after %d bytes", length), []string{event(1) + "data: " + strings.Repeat("x", length) + "\nid: 2\n\n"}, true})
	}
	c := newCluster(t)
	s := &resumptions{sends: map[string]int{}, first: standin.RawResponse}
	var current stream
	s.raw = func(r *http.Request) string {
		head, body := standin.Frame("HTTP/1.1 200 OK\r\nX-Attempt-Id: "+standin.AttemptID(r)+
			"\r\nX-Server-Signature: signed\r\nContent-Type: text/event-stream\r\n", current.events, standin.Chunked)
		body, _, _ = strings.Cut(body, "0\r\nX-Checksum")
		return head + body
	}
	for range 2 {
		c.addEngine(s.decide).Raw = s.raw
	}
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 2)
	for _, current = range list {
		r := c.request(i, "resume", "key-1")
		resp := doOnNewConnection(t, r)
		want := strings.Join(current.events, "")
		if !current.goesOn {
			require.Error(t, resp.err, current.name)
			require.Equal(t, want, resp.body, current.name)
			require.Equal(t, 1, c.startedRuns(standin.AttemptID(r)), current.name)
			continue
		}
		require.NoError(t, resp.err, current.name)
		require.Equal(t, want+strings.TrimPrefix(fullStream(6), fullStream(2)), resp.body, current.name)
	}
}
