package launcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/platform/standin"
)

// Guards against limits of the configuration that are not in force.
func TestClientLimits(t *testing.T) {
	const maxBody, maxHead, idle = 16 << 10, 4 << 10, time.Second
	c := newCluster(t)
	c.limits = map[string]any{"max_body_bytes": maxBody, "max_header_bytes": maxHead, "idle_timeout_ms": idle.Milliseconds()}
	c.writeConfiguration()
	c.addEngine(nil)
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 1)
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }
	chunk := fmt.Sprintf("%x\r\n%s\r\n", maxBody/2, strings.Repeat("x", maxBody/2))
	for _, tt := range []struct {
		name   string
		rest   string // Of the request, after its first header lines.
		status int
		kept   bool // The connection stays open after the response.
	}{
		{"largest body", length(maxBody) + strings.Repeat("x", maxBody), http.StatusOK, true},
		{"largest body in chunks", "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk + "0\r\n\r\n", http.StatusOK, true},
		{"large head", "X-Large: " + strings.Repeat("x", maxHead/2) + "\r\n" + length(0), http.StatusOK, true},
		{"body announced over the limit", length(1<<40) + "x", http.StatusRequestEntityTooLarge, false},
		{"body in chunks over the limit", "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk + "1\r\nx\r\n", http.StatusRequestEntityTooLarge, false},
		{"head over the limit", "X-Large: " + strings.Repeat("x", maxHead) + "\r\n" + length(0), http.StatusRequestHeaderFieldsTooLarge, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(i.url, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			_, err = io.WriteString(conn, standin.PartialRequest(host, "once", strings.ReplaceAll(tt.name, " ", "-"), "key-1")+tt.rest)
			require.NoError(t, err)
			reader := bufio.NewReader(conn)
			resp, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode)
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			answered := time.Now()
			_, err = reader.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			require.Equal(t, tt.kept, time.Since(answered) >= idle*4/5, "closed after %s", time.Since(answered))
		})
	}
}

// Guards against a default limit on connections that clients within the limits of the pages
// meet, and against one that leaves no descriptors for their upstreams.
func TestMaxClientConnections(t *testing.T) {
	for _, tt := range []struct {
		name        string
		memory      int64
		descriptors int
		want        int
	}{
		{"none known", 0, 0, 0},
		{"by descriptors", 4 << 30, 4100, 1706},
		{"by memory", 284 << 20, 4100, 1454},
		{"memory alone", 284 << 20, 0, 1454},
		{"few descriptors", 4 << 30, 100, 22},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := &Launcher{Deployment: savoryloft.Deployment{Limits: savoryloft.DeploymentLimits{MemoryBytes: tt.memory, Descriptors: tt.descriptors}}}
			require.Equal(t, tt.want, l.maxClientConnections())
		})
	}
}
