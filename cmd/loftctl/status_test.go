package main

import (
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/faker"
)

// Guards against pages of instances that are taken although the response is malformed, and
// that have no end.
func TestMalformedPages(t *testing.T) {
	const fields = "Content-Length: 2\r\n\r\n{}"
	for _, tt := range []struct {
		name, response string
		malformed      bool
	}{
		{"sound", "HTTP/1.1 200 OK\r\n" + fields, false},
		{"ends with its connection", "HTTP/1.1 200 OK\r\n\r\n{}", false},
		{"status 000", "HTTP/1.1 000 OK\r\n" + fields, true},
		{"name of a field", "HTTP/1.1 200 OK\r\nX Broken: 1\r\n" + fields, true},
		{"endless head", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: 1\r\n", 1<<20), true},
		{"endless body", "HTTP/1.1 200 OK\r\n\r\n{}" + strings.Repeat(" ", maxPageBytes), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go (&faker.Server{Respond: func(r faker.Request) (keep bool) {
				_, _ = r.Conn.Write([]byte(tt.response))
				return false
			}}).Serve(l)
			body, err := httpGet(l.Addr().String(), "/status")
			if tt.malformed {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "{}", string(body))
		})
	}
}
