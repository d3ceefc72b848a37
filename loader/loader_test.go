package loader_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/faker"
	"savoryloft.example/savoryloft/loader"
)

// load sends requests for a moment to a server that responds with the given head, to which it
// adds the length, and returns the report.
func load(t *testing.T, head string) *loader.Report {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go (&faker.Server{Respond: func(r faker.Request) (keep bool) {
		_, _ = io.Copy(io.Discard, r.Body)
		body := fmt.Sprintf("%q", r.Header.Get("X-Call-Id"))
		_, _ = fmt.Fprintf(r.Conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		return true
	}}).Serve(l)
	return (&loader.Loader{
		Plan: savoryloft.LoadPlan{Duration: savoryloft.Duration(50 * time.Millisecond), Flows: []savoryloft.Flow{
			{Name: "calls", Rate: 200, Method: "POST", Path: "/bookings", OutputTokens: 1},
		}},
		Targets: []string{l.Addr().String()},
	}).Run(t.Context())
}

// Guards against malformed responses that are counted as answers.
func TestMalformedFieldNames(t *testing.T) {
	require.NotZero(t, load(t, "HTTP/1.1 200 OK\r\n").Answered())
	for _, field := range []string{"X Broken: 1", "X-Broken : 1", "Transfer-Encoding : chunked", "X\x01Broken: 1"} {
		report := load(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n")
		require.Zero(t, report.Answered(), field)
		require.NotZero(t, report.IncorrectOrLost(), field)
	}
}

// Guards against responses that are counted as answers although their status is none.
func TestMalformedStatuses(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.0 000 OK", "HTTP/2.0 200 OK"} {
		report := load(t, line+"\r\n")
		require.Zero(t, report.Answered(), line)
		require.NotZero(t, report.IncorrectOrLost(), line)
	}
}

// Guards against a load test that does not end, since a response goes on after its end marker.
func TestStreamThatGoesOnAfterItsEndMarker(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go (&faker.Server{Respond: func(r faker.Request) (keep bool) {
		_, _ = io.Copy(io.Discard, r.Body)
		for _, err := r.Conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\ndata: [DONE]\n\n")); err == nil; _, err = r.Conn.Write([]byte("more\n")) {
			time.Sleep(time.Millisecond)
		}
		return false
	}}).Serve(l)
	done := make(chan *loader.Report, 1)
	go func() {
		done <- (&loader.Loader{
			Plan: savoryloft.LoadPlan{Duration: savoryloft.Duration(20 * time.Millisecond), Flows: []savoryloft.Flow{
				{Name: "chats", Rate: 100, Method: "POST", Path: "/v1/chat/completions", Model: "m", Stream: true, OutputTokens: 1, PromptWords: 1},
			}},
			Targets: []string{l.Addr().String()},
		}).Run(t.Context())
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		require.FailNow(t, "the load test has not ended")
	}
}
