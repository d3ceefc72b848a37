package server_test

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/faker"
)

// Guards against an upstream that sends bytes without end and so exhausts the memory of the
// instance, or holds back a response that is complete.
func TestEndlessResponses(t *testing.T) {
	const (
		sound         = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: ID\r\n"
		maxHeapGrowth = 64 << 20
		maxWait       = 2 * time.Minute
	)
	line := strings.Repeat("x", 16<<10)
	for _, tt := range []struct {
		name, start, rest string
		complete          bool // The response is complete before the bytes that do not end.
	}{
		{"no line end", "", line, false},
		{"head", sound, "X-Header: " + line + "\r\n", false},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nX-Header: " + line + "\r\n\r\n", false},
		{"body without length", sound + "\r\ndata: ", line, false},
		{"chunks", sound + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + line + "\r\n", false},
		{"chunk extension", sound + "Transfer-Encoding: chunked\r\n\r\n1;", line, false},
		{"after the end marker", sound + "\r\nEVENTS", line, true},
		{"after the end marker, slowly", sound + "\r\nEVENTS", "\n", true},
		{"trailer", sound + "Transfer-Encoding: chunked\r\n\r\nCHUNK0\r\n", "X-Trailer: " + line + "\r\n", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withFleet(t, 1, func(f *fleet) {
				respond := func(r faker.Request) (keep bool) {
					_, _ = io.Copy(io.Discard, r.Body)
					id := r.Header.Get("X-Request-Id")
					events := chatEvents(id)
					start := strings.NewReplacer("ID", id, "EVENTS", events, "CHUNK", fmt.Sprintf("%x\r\n%s\r\n", len(events), events)).Replace(tt.start)
					for _, err := r.Conn.Write([]byte(start)); err == nil; _, err = r.Conn.Write([]byte(tt.rest)) {
						time.Sleep(10 * time.Millisecond)
					}
					return false
				}
				f.replaceUpstream("engine-1", "127.0.0.1:9001", respond)
				f.replaceUpstream("engine-2", "127.0.0.1:9002", respond)
				f.replaceUpstream("booking-1", "127.0.0.1:9101", respond)
				runtime.GC()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				for n := range 4 {
					began := time.Now()
					chat := f.chat(0, apiKeyA, "quotes", "p", 1)
					require.Equal(t, tt.complete, chat.done, "%+v", chat)
					require.Less(t, time.Since(began), maxWait)
					if len(tt.rest) == 1 {
						continue // A call has no time limit: it lasts until its caller leaves or the body is too long.
					}
					began = time.Now()
					status, body := f.post(0, "/bookings", apiKeyA, fmt.Sprint("call-", n), "")
					require.GreaterOrEqual(t, status, 500, body)
					require.Less(t, time.Since(began), maxWait)
				}
				runtime.ReadMemStats(&after)
				require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(maxHeapGrowth))
			})
		})
	}
}
