package server_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/emulator"
)

func TestRequestPath(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		for i := range 3 {
			s := f.chat(i, apiKeyA, "quotes", "price of forty racks", 20)
			require.Equal(t, chatResult{status: 200, text: chatText("price of forty racks", 20), done: true}, s)
			status, body := f.post(i, "/bookings", apiKeyA, "call-"+entryName(i), "key-"+entryName(i))
			require.Equal(t, 200, status, body)
		}
		require.Equal(t, map[string]int{"call-entry-1": 1, "call-entry-2": 1, "call-entry-3": 1}, f.service.Executions())
	})
}

func TestRefusalsOfBadRequests(t *testing.T) {
	withFleet(t, 1, func(f *fleet) {
		auth := map[string]string{"Authorization": "Bearer " + apiKeyA}
		tests := []struct {
			name, method, path string
			header             map[string]string
			body               string
			status             int
			code               string
		}{
			{"no key", "POST", "/bookings", nil, "{}", 401, "MissingKey"},
			{"unknown key", "POST", "/bookings", map[string]string{"Authorization": "Bearer x"}, "{}", 401, "UnknownKey"},
			{"unknown path", "POST", "/nothing", auth, "{}", 404, "UnknownPath"},
			{"unknown model", "POST", "/v1/chat/completions", auth, `{"model": "m"}`, 404, "UnknownModel"},
			{"malformed JSON", "POST", "/v1/chat/completions", auth, `{"model": `, 400, "BadJSON"},
			{"key in body", "POST", "/bookings", auth, `{"k": "` + apiKeyA + `"}`, 400, "KeyInRequest"},
			{"key in query", "POST", "/bookings?k=" + strings.ReplaceAll(apiKeyA, "-", "%2D"), auth, "{}", 400, "KeyInRequest"},
			{"head too large", "POST", "/bookings", map[string]string{"X-Long": strings.Repeat("x", 20<<10)}, "", 431, "HeadTooLarge"},
		}
		for _, tt := range tests {
			status, body, err := f.do(callerAddr(0), tt.method, tt.path, tt.header, []byte(tt.body), nil)
			require.NoError(t, err, tt.name)
			require.Equal(t, tt.status, status, tt.name)
			require.Equal(t, tt.code, errorCodeOf(body), tt.name)
			var e struct{ Run string }
			require.NoError(t, json.Unmarshal(body, &e), tt.name)
			require.Equal(t, "NotRun", e.Run, tt.name)
		}
		require.Empty(t, f.service.Executions())
		status, _ := f.get(callerAddr(0), "/hours")
		require.Equal(t, 200, status, "open routes need no key")
	})
}

// Requests that can not be parsed are answered with a specific error code, and
// the instance continues to serve.
func TestProtocolErrors(t *testing.T) {
	withFleet(t, 1, func(f *fleet) {
		head := "POST /bookings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + apiKeyA + "\r\n"
		tests := []struct {
			name, request, code string
			status              int
		}{
			{"declared body too large", head + "Content-Length: 5000000\r\n\r\n", "BodyTooLarge", 413},
			{"chunked body too large", head + "Transfer-Encoding: chunked\r\n\r\n500000\r\n" + strings.Repeat("x", 0x500000) + "\r\n", "BodyTooLarge", 413},
			{"slow sender", head + "Content-Length: 10\r\n\r\nabc", "RequestTimeout", 408},
			{"not HTTP", "hello\r\n\r\n", "BadRequest", 400},
		}
		for _, tt := range tests {
			conn, err := f.network.Dialer("caller")(t.Context(), callerAddr(0))
			require.NoError(t, err)
			go func() { _, _ = conn.Write([]byte(tt.request)) }()
			var resp fasthttp.Response
			require.NoError(t, resp.Read(bufio.NewReader(conn)), tt.name)
			require.Equal(t, tt.status, resp.StatusCode(), tt.name)
			require.Equal(t, tt.code, errorCodeOf(resp.Body()), tt.name)
			require.NoError(t, conn.Close())
		}
		status, _ := f.post(0, "/bookings", apiKeyA, "after", "")
		require.Equal(t, 200, status)
		require.Equal(t, map[string]int{"after": 1}, f.service.Executions())
	})
}

// A caller's API key must not leak to upstreams, peers, the platform, logs,
// metrics, status pages or traces.
func TestKeyGoesNowhere(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	entryTracer = sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans)).Tracer("test")
	defer func() { entryTracer = nil }()
	withFleet(t, 2, func(f *fleet) {
		f.network.Capture()
		f.logLines()
		f.chat(0, apiKeyA, "quotes", "hello", 5)
		f.post(1, "/bookings", apiKeyA, "c1", "k1")
		header := map[string]string{
			"Authorization": "Bearer " + apiKeyA, "Cookie": "session=" + apiKeyA,
			"X-Api-Key": apiKeyA, "Proxy-Authorization": "Bearer " + apiKeyA,
		}
		status, _, err := f.do(callerAddr(0), "POST", "/bookings", header, []byte("{}"), nil)
		require.NoError(t, err)
		require.Equal(t, 200, status)
		time.Sleep(15 * time.Second)
		require.Contains(t, string(f.network.Captured()), "/bookings", "the capture must include upstream traffic")
		require.NotContains(t, string(f.network.Captured()), apiKeyA)
		require.NotContains(t, f.logLines(), apiKeyA)
		written, err := json.Marshal(spans.GetSpans().Snapshots())
		require.NoError(t, err)
		require.NotEmpty(t, spans.GetSpans(), "spans must have been recorded")
		require.NotContains(t, fmt.Sprintf("%s %+v", written, spans.GetSpans()), apiKeyA)
		for i := range 2 {
			for _, path := range []string{"/metrics", "/status"} {
				_, body := f.get(operatorAddr(i), path)
				require.NotContains(t, string(body), apiKeyA)
			}
		}
	})
}

func TestWithdrawnKeyEndsRunningAndNewWork(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		type ended struct {
			s  chatResult
			at time.Time
		}
		results := make(chan ended, 3)
		for i := range 3 {
			go func() { results <- ended{f.chat(i, apiKeyB, "quotes", "long", 5000), time.Now()} }()
		}
		other := make(chan chatResult, 1)
		go func() { other <- f.chat(0, apiKeyA, "quotes", "other", 1000) }()
		time.Sleep(2 * time.Second)
		withdrawn := time.Now()
		f.withdrawKey("b")
		for range 3 {
			r := <-results
			require.Equal(t, "KeyWithdrawn", r.s.errorCode)
			require.False(t, r.s.done)
			require.Less(t, r.at.Sub(withdrawn), 4*time.Second)
		}
		for i := range 3 {
			require.Equal(t, 401, f.chat(i, apiKeyB, "quotes", "again", 5).status)
		}
		require.True(t, (<-other).done, "requests with other keys must continue")
	})
}

// When a key is withdrawn, its queued calls are rejected as not run and must
// never run; its running calls end with an unknown outcome.
func TestWithdrawnKeyEndsWaitingCalls(t *testing.T) {
	withFleet(t, 1, func(f *fleet) {
		const calls = 80 // More than the service's 32 slots.
		f.service.SetFaults(emulator.ServiceFaults{Delay: 4 * time.Second})
		bodies := make(chan string, calls)
		for n := range calls {
			go func() {
				_, body := f.post(0, "/bookings", apiKeyB, fmt.Sprint("call-", n), "")
				bodies <- body
			}()
		}
		time.Sleep(time.Second)
		f.withdrawKey("b")
		notRun := 0
		for range calls {
			body := <-bodies
			require.Equal(t, "KeyWithdrawn", errorCodeOf([]byte(body)))
			if strings.Contains(body, `"Run":"NotRun"`) {
				notRun++
			}
		}
		require.Positive(t, notRun)
		require.LessOrEqual(t, len(f.service.Executions()), calls-notRun)
	})
}

// An instance that can not reach the log receives the withdrawal of a key from
// its peers.
func TestWithdrawalReachesInstanceWithoutLog(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		f.network.Partition(entryName(2), platformHost)
		time.Sleep(5 * time.Second)
		require.True(t, f.chat(2, apiKeyB, "quotes", "before", 5).done, "peers must keep the configuration up to date")
		f.withdrawKey("b")
		time.Sleep(2 * time.Second)
		require.Equal(t, 401, f.chat(2, apiKeyB, "quotes", "after", 5).status)
	})
}

// An instance that can reach neither the log nor its peers must reject requests,
// since a key may have been withdrawn in the meantime.
func TestIsolatedInstanceStopsAdmitting(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		f.network.Partition(entryName(2), platformHost)
		f.network.Partition(entryName(2), entryName(0))
		f.network.Partition(entryName(2), entryName(1))
		f.withdrawKey("b")
		time.Sleep(4 * time.Second)
		s := f.chat(2, apiKeyB, "quotes", "after", 5)
		require.Equal(t, 503, s.status)
		require.Equal(t, "StaleConfiguration", s.errorCode)
		status, body := f.post(2, "/bookings", apiKeyA, "c", "")
		require.Equal(t, 503, status)
		require.Contains(t, body, `"Run":"NotRun"`)
		require.Contains(t, body, "Retry-After")
		require.Empty(t, f.service.Executions())
		ready, _ := f.get(operatorAddr(2), "/readyz")
		require.Equal(t, 503, ready)
		require.True(t, f.chat(0, apiKeyA, "quotes", "others go on", 5).done)
		f.network.HealPartition(entryName(2), platformHost)
		time.Sleep(5 * time.Second)
		require.True(t, f.chat(2, apiKeyA, "quotes", "back", 5).done)
		require.Equal(t, 401, f.chat(2, apiKeyB, "quotes", "back", 5).status)
	})
}

// While no instance can reach the log, no newer release note can exist, so all
// instances continue to serve with the current configuration.
func TestTotalOutageOfTheLog(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		f.platform.SetFaults(emulator.PlatformFaults{Down: true})
		for n := range 600 { // Spans the time at which the instances reach StaleLimit one by one.
			status, body := f.get(callerAddr(n%3), "/hours")
			require.Equal(t, 200, status, string(body))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(10 * time.Minute)
		for i := range 3 {
			require.True(t, f.chat(i, apiKeyA, "quotes", "in the outage", 5).done)
			status, body := f.post(i, "/bookings", apiKeyA, "unkeyed-"+entryName(i), "")
			require.Equal(t, 200, status, body)
			status, body = f.post(i, "/bookings", apiKeyA, "keyed", "k")
			require.Equal(t, 503, status, "a call with an Idempotency-Key needs the log")
			require.Contains(t, body, `"Run":"Unknown"`, "without the log, an earlier run can not be ruled out")
			require.Contains(t, body, "Retry-After")
			status, body = f.post(i, "/remembered", apiKeyA, "remembered-"+entryName(i), "r-"+entryName(i))
			require.Equal(t, 200, status, body)
		}
		f.kill(2)
		time.Sleep(10 * time.Second)
		require.True(t, f.chat(0, apiKeyA, "quotes", "a dead peer is certain", 5).done)
		f.platform.SetFaults(emulator.PlatformFaults{})
		time.Sleep(10 * time.Second)
		status, body := f.post(0, "/bookings", apiKeyA, "keyed", "k")
		require.Equal(t, 200, status, body)
		require.Equal(t, 1, f.service.Executions()["keyed"])
	})
}

func TestReleaseNoteInForceEverywhere(t *testing.T) {
	withFleet(t, 8, func(f *fleet) {
		f.publish(savoryloft.Note{
			ID: "open", Base: f.lastControlOffset(),
			Changed: &savoryloft.Entities{Routes: []savoryloft.Route{{
				Name: "stock", Method: "GET", Path: "/stock", Class: "confirmations", Pool: "booking", Idempotent: true, Open: true,
			}}},
		})
		published := time.Now()
		for i := range 8 {
			require.Eventually(t, func() bool {
				status, _ := f.get(callerAddr(i), "/stock")
				return status == 200
			}, 4*time.Second, 10*time.Millisecond)
		}
		require.Less(t, time.Since(published), 4*time.Second)
	})
}

// Guards against a response of a service that was cut at any byte, of its head or its body,
// on a new or a kept connection, and reaches the caller as a whole one.
func TestCutServiceResponsesAreNotPassedOn(t *testing.T) {
	withFleet(t, 1, func(f *fleet) {
		f.publish(savoryloft.Note{
			ID: "open", Base: f.lastControlOffset(),
			Changed: &savoryloft.Entities{Routes: []savoryloft.Route{{
				Name: "stock", Method: "GET", Path: "/stock", Class: "confirmations", Pool: "booking", Idempotent: true, Open: true,
			}}},
		})
		time.Sleep(4 * time.Second)
		complete := 0
		for cut := 1; cut <= 240; cut++ {
			f.service.SetFaults(emulator.ServiceFaults{})
			awaitService(f) // Leaves a kept connection.
			f.service.SetFaults(emulator.ServiceFaults{CutAnswers: cut})
			status, body := f.get(callerAddr(0), "/stock")
			if status == 200 {
				require.True(t, json.Valid(body), "cut after %d bytes: %s", cut, body)
				complete++
				continue
			}
			require.Eventually(t, func() bool { // Without a slot it is refused with 503.
				status, text := f.post(0, "/bookings", apiKeyA, fmt.Sprint("call-", cut), "")
				require.True(t, status >= 500 || json.Valid([]byte(text)), "cut after %d bytes: %s", cut, text)
				return status != 503
			}, time.Minute, time.Second)
		}
		require.Positive(t, complete, "the longest ones are whole")
	})
}

// awaitService waits until the service gets requests again: it is avoided after a failure.
func awaitService(f *fleet) {
	require.Eventually(f.t, func() bool {
		status, _ := f.get(callerAddr(0), "/stock")
		return status == 200
	}, time.Minute, 500*time.Millisecond)
}
