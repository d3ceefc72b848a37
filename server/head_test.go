package server_test

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/faker"
)

// replaceUpstream serves the address of an upstream, which ends, in another way.
func (f *fleet) replaceUpstream(name, address string, respond func(r faker.Request) (keep bool)) {
	f.network.Kill(name)
	l, err := f.network.Listen(name, address)
	require.NoError(f.t, err)
	go (&faker.Server{Respond: respond}).Serve(l)
}

// chatEvents is the body of an engine's response with one token.
func chatEvents(id string) string {
	return fmt.Sprintf(`data: {"id":%q,"model":"large-1","token_index":0,"choices":[{"index":0,"delta":{"content":"token"}}]}`, id) + "\n\n" +
		fmt.Sprintf(`data: {"id":%q,"model":"large-1","choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}}`, id) + "\n\n" +
		"data: [DONE]\n\n"
}

// requireMalformedHeads requires that responses with malformed heads do not reach callers. In
// each head LENGTH stands for the length of the body.
func requireMalformedHeads(t *testing.T, heads []string) {
	withFleet(t, 1, func(f *fleet) {
		const sound = "HTTP/1.1 200 OK\r\nContent-Length: LENGTH\r\n"
		var head atomic.Value
		var received atomic.Int64
		respond := func(r faker.Request) (keep bool) {
			_, _ = io.Copy(io.Discard, r.Body)
			received.Add(1)
			head := head.Load().(string)
			id := r.Header.Get("X-Request-Id")
			body := "whole"
			if strings.HasPrefix(r.URL.Path, "/v1/") {
				body = chatEvents(id)
			}
			_, _ = fmt.Fprintf(r.Conn, "%sX-Request-Id: %s\r\n\r\n%s", strings.ReplaceAll(head, "LENGTH", fmt.Sprint(len(body))), id, body)
			return head == sound
		}
		f.network.Kill("engine-2")
		f.replaceUpstream("engine-1", "127.0.0.1:9001", respond)
		f.replaceUpstream("booking-1", "127.0.0.1:9101", respond)
		calls := 0
		for name, call := range map[string]func() (status int, body string){
			"chat": func() (int, string) {
				r := f.chat(0, apiKeyA, "quotes", "p", 1)
				if r.done || r.text != "" {
					return r.status, "whole"
				}
				return 500, r.errorCode
			},
			"call":       func() (int, string) { return f.post(0, "/bookings", apiKeyA, "call", "") },
			"keyed call": func() (int, string) { return f.post(0, "/bookings", apiKeyA, "call", fmt.Sprint("key-", calls)) },
			"idempotent call": func() (int, string) {
				status, body := f.get(callerAddr(0), "/hours")
				return status, string(body)
			},
		} {
			for _, odd := range heads {
				where := fmt.Sprintf("%s, %q", name, odd)
				head.Store(sound)
				require.Eventually(t, func() bool { // Upstreams are avoided for a while after failures.
					calls++
					status, body := call()
					return status == 200 && body == "whole"
				}, 2*time.Hour, time.Minute, "before %s", where)
				head.Store(odd)
				for received.Store(0); received.Load() == 0; time.Sleep(time.Second) {
					calls++
					status, body := call()
					require.GreaterOrEqual(t, status, 500, "%s: %s", where, body)
					require.NotContains(t, body, "whole", where)
					require.False(t, received.Load() > 0 && strings.Contains(body, `"Run":"NotRun"`), "%s: %s", where, body)
				}
			}
		}
	})
}

// Guards against responses that reach callers although the name of a field is none.
func TestMalformedFieldNamesDoNotReachCallers(t *testing.T) {
	requireMalformedHeads(t, []string{
		"HTTP/1.1 200 OK\r\nContent-Length: LENGTH\r\nX Broken: 1\r\n", "HTTP/1.0 200 OK\r\nContent-Length: LENGTH\r\nX-Broken : 1\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : LENGTH\r\n", "HTTP/1.0 200 OK\r\nContent-Length : LENGTH\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: LENGTH\r\nX\x01Broken: 1\r\n", "HTTP/1.1 200 OK\r\nContent-Length\x00: LENGTH\r\n", "HTTP/1.1 200 OK\r\nX\tBroken: 1\r\nContent-Length: LENGTH\r\n",
		"HTTP/1.1 103 Early Hints\r\nX Broken: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: LENGTH\r\n",
	})
}

// Guards against responses that reach callers although their status is none: 000 was read as
// 200.
func TestMalformedStatusesDoNotReachCallers(t *testing.T) {
	var heads []string
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.0 000 OK", "HTTP/1.1 000", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK"} {
		heads = append(heads, line+"\r\nContent-Length: LENGTH\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"+line+"\r\nContent-Length: LENGTH\r\n")
	}
	requireMalformedHeads(t, heads)
}
