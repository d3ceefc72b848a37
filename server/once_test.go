package server_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/emulator"
)

// The service runs a call with an Idempotency-Key, but its response is lost. The
// call must not run again when the caller retries at any instance, and each retry
// must report its outcome as unknown.
func TestKeyedCallWithLostAnswerRunsOnce(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		f.service.SetFaults(emulator.ServiceFaults{LoseAnswers: 1})
		status, body := f.post(0, "/bookings", apiKeyA, "call", "key")
		require.Equal(t, 504, status, body)
		require.Contains(t, body, `"Run":"Unknown"`)
		time.Sleep(time.Second) // Until then, a retry is answered with StillRunning.
		for i := range 3 {
			status, body := f.post(i, "/bookings", apiKeyA, "call", "key")
			require.Equal(t, 504, status, body)
			require.Contains(t, body, `"Run":"Unknown"`)
		}
		require.Equal(t, 1, f.service.Executions()["call"])
	})
}

func TestKeyedCallIsReplayedAnywhere(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		_, first := f.post(0, "/bookings", apiKeyA, "call", "key")
		time.Sleep(time.Second)
		for i := range 3 {
			status, body := f.post(i, "/bookings", apiKeyA, "call", "key")
			require.Equal(t, 200, status)
			require.Equal(t, first, body)
		}
		status, body := f.post(1, "/bookings?other", apiKeyA, "call", "key")
		require.Equal(t, 422, status, body)
		status, _ = f.post(1, "/bookings", apiKeyB, "call-b", "key")
		require.Equal(t, 200, status, "idempotency keys are scoped to the account")
		require.Equal(t, map[string]int{"call": 1, "call-b": 1}, f.service.Executions())
	})
}

// Of concurrent calls with the same Idempotency-Key at all instances, exactly
// one may run.
func TestRacingRepeatsRunOnce(t *testing.T) {
	withFleet(t, 8, func(f *fleet) {
		f.service.SetFaults(emulator.ServiceFaults{Delay: 300 * time.Millisecond})
		var wait sync.WaitGroup
		var mu sync.Mutex
		statusCounts := map[int]int{}
		for n := range 40 {
			wait.Go(func() {
				status, body := f.post(n%8, "/bookings", apiKeyA, "call", "key")
				if status != 200 {
					if !strings.Contains(body, `"Run":"Unknown"`) {
						f.t.Errorf("status %d: %s", status, body)
					}
				}
				mu.Lock()
				defer mu.Unlock()
				statusCounts[status]++
			})
		}
		wait.Wait()
		require.Equal(t, 1, f.service.Executions()["call"])
		require.Equal(t, 1, statusCounts[200], statusCounts)
	})
}

// A call without an Idempotency-Key is sent once and not retried, unless its
// route is idempotent.
func TestUnkeyedCallIsSentOnce(t *testing.T) {
	withFleet(t, 1, func(f *fleet) {
		f.service.SetFaults(emulator.ServiceFaults{LoseAnswers: 100})
		status, body := f.post(0, "/bookings", apiKeyA, "call", "")
		require.Equal(t, 504, status)
		require.Contains(t, body, `"Run":"Unknown"`)
		require.Equal(t, 1, f.service.Executions()["call"])
		_, respBody, err := f.do(callerAddr(0), "GET", "/stock", map[string]string{"Authorization": "Bearer " + apiKeyA, "X-Call-Id": "read"}, nil, nil)
		require.NoError(t, err)
		require.Contains(t, string(respBody), `"Run":"Unknown"`)
		require.Greater(t, f.service.Executions()["read"], 1, "idempotent calls are retried")
	})
}

// A call to an unreachable upstream is reported as not run, and runs once when
// the caller retries it after the upstream is back.
func TestUnreachableUpstreamIsNotRun(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		f.network.Kill("booking-1")
		status, body := f.post(0, "/bookings", apiKeyA, "call", "key")
		require.Equal(t, 503, status)
		require.Contains(t, body, `"Run":"NotRun"`)
		require.Contains(t, body, "Retry-After")
		f.serve("booking-1", "127.0.0.1:9101", f.service.Server())
		time.Sleep(10 * time.Second)
		status, body = f.post(1, "/bookings", apiKeyA, "call", "key")
		require.Equal(t, 200, status, body)
		require.Equal(t, 1, f.service.Executions()["call"])
	})
}

// An entry instance is killed at different moments of a call with an
// Idempotency-Key, and the caller retries at other instances. The call must run
// at most once, and not at all while it is reported as not run.
func TestKeyedCallAcrossDeathOfEntry(t *testing.T) {
	for _, after := range []time.Duration{0, 2, 4, 6, 20, 200, 400} {
		t.Run(fmt.Sprint(after*time.Millisecond), func(t *testing.T) {
			withFleet(t, 3, func(f *fleet) {
				f.service.SetFaults(emulator.ServiceFaults{Delay: 100 * time.Millisecond})
				go func() {
					time.Sleep(after * time.Millisecond)
					f.kill(0)
				}()
				first, _ := f.post(0, "/bookings", apiKeyA, "call", "key")
				time.Sleep(time.Second)
				notRun := 0
				for n := range 20 {
					status, body := f.post(1+n%2, "/bookings", apiKeyA, "call", "key")
					if strings.Contains(body, `"Run":"NotRun"`) {
						notRun++
						require.Zero(t, f.service.Executions()["call"], "the call was reported as not run, but has run: %s", body)
					}
					if first == 200 {
						require.NotEqual(t, 503, status)
					}
					time.Sleep(time.Second)
				}
				require.LessOrEqual(t, f.service.Executions()["call"], 1)
			})
		})
	}
}

// Lost responses of the log or a slow log may delay or reject a call with an
// Idempotency-Key, but must not run it twice.
func TestKeyedCallWithFaultyLog(t *testing.T) {
	tests := []struct {
		name   string
		faults emulator.PlatformFaults
		ran    int
	}{
		{"append response lost", emulator.PlatformFaults{LoseAnswers: 1}, 1},
		{"all responses lost", emulator.PlatformFaults{LoseAnswers: 1000}, 1},
		{"slow log", emulator.PlatformFaults{Delay: 300e6}, 1},
		{"log slower than the timeout", emulator.PlatformFaults{Delay: 10e9}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withFleet(t, 2, func(f *fleet) {
				f.platform.SetFaults(tt.faults)
				status, body := f.post(0, "/bookings", apiKeyA, "call", "key")
				ran := f.service.Executions()["call"]
				require.Equal(t, tt.ran, ran, body)
				if status != 200 {
					require.Equal(t, 503, status)
					require.Zero(t, ran)
				}
				f.platform.SetFaults(emulator.PlatformFaults{})
				time.Sleep(time.Minute)
				status, body = f.post(1, "/bookings", apiKeyA, "call", "key")
				require.Equal(t, 200, status, body)
				require.Equal(t, 1, f.service.Executions()["call"])
			})
		})
	}
}

// Guards against an unkeyed call that is sent again since a release note, published while
// it ran, has made its route idempotent, and against one that is not sent again since its
// route is no longer idempotent.
func TestCallKeepsTheRouteUnderWhichItWasSent(t *testing.T) {
	for _, before := range []bool{false, true} {
		t.Run(fmt.Sprintf("idempotent %t", before), func(t *testing.T) {
			withFleet(t, 1, func(f *fleet) {
				setIdempotent := func(idempotent bool) {
					f.publish(savoryloft.Note{
						ID: fmt.Sprintf("idempotent-%t", idempotent), Base: f.lastControlOffset(),
						Changed: &savoryloft.Entities{Routes: []savoryloft.Route{{
							Name: "bookings", Method: "POST", Path: "/bookings", Class: "confirmations", Pool: "booking", Idempotent: idempotent,
						}}},
					})
					time.Sleep(4 * time.Second)
				}
				setIdempotent(before)
				f.service.SetFaults(emulator.ServiceFaults{Delay: 4500 * time.Millisecond, LoseAnswers: 1})
				go func() {
					time.Sleep(100 * time.Millisecond)
					setIdempotent(!before)
				}()
				status, body := f.post(0, "/bookings", apiKeyA, "call", "")
				want, runs := 504, 1
				if before {
					want, runs = 200, 2
				}
				require.Equal(t, want, status, body)
				require.Equal(t, runs, f.service.Executions()["call"])
			})
		})
	}
}
