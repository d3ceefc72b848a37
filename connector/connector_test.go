package connector_test

import (
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/connector"
	"savoryloft.example/savoryloft/faker"
)

// requireMalformedHead requires that calls of the platform's API do not succeed with a
// response whose head is malformed, and that their outcome is unknown.
func requireMalformedHead(t *testing.T, head string) {
	t.Helper()
	const body = `{"Offset":7,"Upstream":"u"}`
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go (&faker.Server{Respond: func(r faker.Request) (keep bool) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintf(r.Conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		return false
	}}).Serve(l)
	c := &connector.Client{Address: l.Addr().String()}
	defer c.Close()
	offset, err := c.Append(t.Context(), savoryloft.StreamControl, []byte("record"))
	require.ErrorIs(t, err, savoryloft.ErrUnknownOutcome, "%q: offset %d", head, offset)
	_, err = c.Read(t.Context(), savoryloft.StreamControl, 0, 1, 0)
	require.ErrorIs(t, err, savoryloft.ErrUnknownOutcome, "%q", head)
	_, err = c.Instances(t.Context())
	require.ErrorIs(t, err, savoryloft.ErrUnknownOutcome, "%q", head)
	_, err = c.PlaceOrder(t.Context(), savoryloft.Order{ID: "o"}, func() error { return nil })
	require.ErrorIs(t, err, savoryloft.ErrUnknownOutcome, "%q", head)
	err = c.SendReport(t.Context(), 1, []byte("{}"), 1, func() error { return nil })
	require.ErrorIs(t, err, savoryloft.ErrUnknownOutcome, "%q", head)
}

// Guards against calls that succeed although the name of a field of the response is none.
func TestMalformedFieldNames(t *testing.T) {
	for _, field := range []string{"X Broken: 1", "X-Broken : 1", "Transfer-Encoding : chunked", "X\x01Broken: 1", "X\tBroken: 1"} {
		for _, status := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 503 Service Unavailable"} {
			requireMalformedHead(t, status+"\r\n"+field+"\r\n")
		}
	}
}

// Guards against calls that succeed although the status of the response is none: 000 was read
// as 200.
func TestMalformedStatuses(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.0 000 OK", "HTTP/1.1 000", "HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK"} {
		requireMalformedHead(t, line+"\r\n")
	}
}
