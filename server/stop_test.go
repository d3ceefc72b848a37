package server_test

import (
	"bufio"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft/emulator"
)

// Guards against requests that end with a closed connection, instead of an error, at the
// end of the grace period.
func TestRequestsAreAbortedAtTheEndOfTheGracePeriod(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		stream := make(chan chatResult, 1)
		go func() { stream <- f.chat(0, apiKeyA, "quotes", "long", 20_000) }() // Takes over 200 s.
		time.Sleep(time.Second)
		begin := time.Now()
		require.Error(t, f.stopEntry(0))
		require.Less(t, time.Since(begin), 130*time.Second, "notice and grace take 123 s")
		s := <-stream
		require.NoError(t, s.err)
		require.Equal(t, "Stopping", s.errorCode)
	})
}

// Guards against requests that are received late in a planned stop, passed on to an upstream
// that does not respond in time, and cut without an answer.
func TestRequestsReceivedLateInAPlannedStopAreAnswered(t *testing.T) {
	withFleet(t, 1, func(f *fleet) {
		const notice, grace = 3 * time.Second, 5 * time.Second
		require.NoError(t, f.stopEntry(0))
		f.stopGrace = grace.String()
		f.startEntry(0)
		f.waitReady()
		f.service.SetFaults(emulator.ServiceFaults{Delay: time.Minute})
		begin := make(chan struct{})
		var wait sync.WaitGroup
		for at := time.Second; at < notice+grace; at += 500 * time.Millisecond {
			for name, text := range lateRequests(at) {
				conn, err := f.network.Dialer("caller")(t.Context(), callerAddr(0))
				require.NoError(t, err)
				received, rest := text[:len(text)-4], text[len(text)-4:]
				_, err = conn.Write([]byte(received))
				require.NoError(t, err)
				wait.Go(func() {
					defer conn.Close()
					<-begin
					time.Sleep(at)
					_, err := conn.Write([]byte(rest))
					require.NoError(t, err, name)
					var resp fasthttp.Response
					require.NoError(t, resp.Read(bufio.NewReader(conn)), name)
					require.GreaterOrEqual(t, resp.StatusCode(), 500, name)
					if f.service.Executions()[name] > 0 {
						require.Contains(t, string(resp.Body()), `"Run":"Unknown"`, name)
					}
				})
			}
		}
		time.Sleep(100 * time.Millisecond) // The beginnings are received.
		close(begin)
		require.Error(t, f.stopEntry(0), "running requests are aborted")
		wait.Wait()
		require.NotEmpty(t, f.service.Executions())
	})
}

// lateRequests returns the texts of requests that are received whole after a time, by their
// call IDs.
func lateRequests(at time.Duration) map[string]string {
	texts := map[string]string{}
	for kind, line := range map[string]string{"booking": "POST /bookings", "keyed": "POST /bookings", "stock": "GET /stock"} {
		id := fmt.Sprintf("%s-%s", kind, at)
		texts[id] = fmt.Sprintf("%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nX-Call-Id: %s\r\n", line, apiKeyA, id)
		if kind == "keyed" {
			texts[id] += "Idempotency-Key: " + id + "\r\n"
		}
		if kind != "stock" {
			texts[id] += "Content-Length: 4\r\n\r\n{ }\n"
			continue
		}
		texts[id] += "\r\n"
	}
	return texts
}
