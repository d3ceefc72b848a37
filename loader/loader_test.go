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
