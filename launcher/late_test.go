package launcher

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/platform/standin"
)

// lateRequest is a request whose last bytes are sent late in a planned stop.
type lateRequest struct {
	request *http.Request
	kept    *keptConn
	rest    []byte
	at      time.Duration // After the stop began.
}

// Guards against requests that are received late in the grace period, passed on to an
// upstream that does not respond in time, and cut without an answer.
func TestRequestsReceivedLateInTheGracePeriodAreAnswered(t *testing.T) {
	const grace = 5 * time.Second // Of the harness.
	for _, tt := range []struct {
		name      string
		behaviour standin.Behaviour
		routes    []string
	}{
		{"no response", standin.Hang, []string{"once", "twice", "stream", "resume"}},
		{"body without end", standin.Dribble, []string{"once", "twice"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			for range 4 { // Enough slots for all requests.
				c.addEngine(func(*http.Request) standin.Behaviour { return tt.behaviour })
			}
			i := c.start(longRevocation)
			c.waitForUpstreams(i, 4)
			var late []lateRequest
			step := 100 * time.Millisecond
			for at := 2400 * time.Millisecond; at < grace; at += step {
				step = 100 * time.Millisecond
				if exit := grace - exitReserve; at >= exit-100*time.Millisecond && at < exit+abortTimeout {
					step = 20 * time.Millisecond
				}
				for _, route := range tt.routes {
					late = append(late, c.beginRequest(i, route, at))
				}
			}
			time.Sleep(100 * time.Millisecond) // The beginnings are received.
			i.cancel()
			began := time.Now()
			ended := make(chan struct{})
			go func() {
				err := <-i.done
				close(ended)
				i.done <- err
			}()
			answers := make(chan string, len(late))
			for _, l := range late {
				go func() { answers <- c.finishLate(l, began, ended) }()
			}
			refused, failed := 0, 0
			for range late {
				switch answer := <-answers; answer {
				case "not run":
					refused++
				case "failed":
					failed++
				default:
					require.Equal(t, "not read", answer)
				}
			}
			require.NotZero(t, refused)
			require.NotZero(t, failed)
			require.NoError(t, <-i.done)
		})
	}
}

// beginRequest sends a request except for its last bytes.
func (c *cluster) beginRequest(i *instance, route string, at time.Duration) lateRequest {
	r := c.request(i, route, "key-1")
	r.Header.Set("X-Deadline-Ms", "4000")
	var text bytes.Buffer
	require.NoError(c.t, r.Clone(c.t.Context()).Write(&text))
	l := lateRequest{request: r, kept: dialKept(c.t, i), at: at}
	_, err := l.kept.conn.Write(text.Next(text.Len() - 4))
	require.NoError(c.t, err)
	l.rest = text.Bytes()
	return l
}

// finishLate sends the rest of a request and tells what became of it: "not read", "not run",
// "failed", which is an answer too, or what is wrong with the response. What the client gets
// after the instance has ended does not count.
func (c *cluster) finishLate(l lateRequest, began time.Time, ended chan struct{}) string {
	time.Sleep(time.Until(began.Add(l.at)))
	_, writeErr := l.kept.conn.Write(l.rest)
	go func() {
		<-ended
		_ = l.kept.conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	}()
	resp := l.kept.read(l.request)
	runs := c.startedRuns(standin.AttemptID(l.request))
	switch {
	case runs == 0 && (writeErr != nil || resp.err != nil):
		return "not read"
	case runs == 0 && (resp.status == http.StatusServiceUnavailable || resp.status == http.StatusRequestTimeout):
		return "not run"
	case runs > 0 && resp.err == nil && (resp.status == http.StatusBadGateway || resp.status == http.StatusGatewayTimeout):
		return "failed"
	}
	return fmt.Sprintf("%s received at %s: %d runs, %+v", l.request.URL, l.at, runs, resp)
}
