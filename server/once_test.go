package server_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/emulator"
)

// A keyed call whose answer is lost runs once, whichever instance its repeats
// reach, and none of them is told "not run".
func TestKeyedCallWithLostAnswerRunsOnce(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.service.SetFaults(emulator.ServiceFaults{LoseAnswers: 1})
		status, body := f.post(0, "/bookings", secretA, "call", "key")
		require.Equal(t, 504, status, body)
		require.Contains(t, body, `"Run":"Unknown"`)
		time.Sleep(time.Second) // Until then a repeat is told that the call still runs.
		for i := range 3 {
			status, body := f.post(i, "/bookings", secretA, "call", "key")
			require.Equal(t, 504, status, body)
			require.Contains(t, body, `"Run":"Unknown"`)
		}
		require.Equal(t, 1, f.service.Executions()["call"])
	})
}

func TestKeyedCallIsReplayedAnywhere(t *testing.T) {
	run(t, 3, func(f *fleet) {
		_, first := f.post(0, "/bookings", secretA, "call", "key")
		time.Sleep(time.Second)
		for i := range 3 {
			status, body := f.post(i, "/bookings", secretA, "call", "key")
			require.Equal(t, 200, status)
			require.Equal(t, first, body)
		}
		status, body := f.post(1, "/bookings?other", secretA, "call", "key")
		require.Equal(t, 422, status, body)
		status, _ = f.post(1, "/bookings", secretB, "call-b", "key")
		require.Equal(t, 200, status, "another account's key is another key")
		require.Equal(t, map[string]int{"call": 1, "call-b": 1}, f.service.Executions())
	})
}

// Repeats that race at all instances: one runs, the others never do.
func TestRacingRepeatsRunOnce(t *testing.T) {
	run(t, 8, func(f *fleet) {
		f.service.SetFaults(emulator.ServiceFaults{Delay: 300 * time.Millisecond})
		var wait sync.WaitGroup
		var mu sync.Mutex
		answers := map[int]int{}
		for n := range 40 {
			wait.Go(func() {
				status, body := f.post(n%8, "/bookings", secretA, "call", "key")
				if status != 200 {
					if !strings.Contains(body, `"Run":"Unknown"`) {
						f.t.Errorf("status %d: %s", status, body)
					}
				}
				mu.Lock()
				defer mu.Unlock()
				answers[status]++
			})
		}
		wait.Wait()
		require.Equal(t, 1, f.service.Executions()["call"])
		require.Equal(t, 1, answers[200], answers)
	})
}

// A call without a key is sent once and never repeated.
func TestUnkeyedCallIsSentOnce(t *testing.T) {
	run(t, 1, func(f *fleet) {
		f.service.SetFaults(emulator.ServiceFaults{LoseAnswers: 100})
		status, body := f.post(0, "/bookings", secretA, "call", "")
		require.Equal(t, 504, status)
		require.Contains(t, body, `"Run":"Unknown"`)
		require.Equal(t, 1, f.service.Executions()["call"])
		_, answer, err := f.do(callerAddr(0), "GET", "/stock", map[string]string{"Authorization": "Bearer " + secretA, "X-Call-Id": "read"}, nil, nil)
		require.NoError(t, err)
		require.Contains(t, string(answer), `"Run":"Unknown"`)
		require.Greater(t, f.service.Executions()["read"], 1, "idempotent calls are repeated")
	})
}

// An upstream that reads, runs and closes an idle connection must not lead to
// a second run of a call on a fresh one.
func TestUnreachableUpstreamIsNotRun(t *testing.T) {
	run(t, 2, func(f *fleet) {
		f.network.Kill("booking-1")
		status, body := f.post(0, "/bookings", secretA, "call", "key")
		require.Equal(t, 503, status)
		require.Contains(t, body, `"Run":"NotRun"`)
		require.Contains(t, body, "Retry-After")
		f.serve("booking-1", "127.0.0.1:9101", f.service.Server())
		time.Sleep(10 * time.Second)
		status, body = f.post(1, "/bookings", secretA, "call", "key")
		require.Equal(t, 200, status, body)
		require.Equal(t, 1, f.service.Executions()["call"])
	})
}

// The entry instance dies, freezes out or loses its links at every moment of a
// keyed call; the caller repeats elsewhere.
func TestKeyedCallAcrossDeathOfEntry(t *testing.T) {
	for _, after := range []time.Duration{0, 2, 4, 6, 20, 200, 400} {
		t.Run(fmt.Sprint(after*time.Millisecond), func(t *testing.T) {
			run(t, 3, func(f *fleet) {
				f.service.SetFaults(emulator.ServiceFaults{Delay: 100 * time.Millisecond})
				go func() {
					time.Sleep(after * time.Millisecond)
					f.kill(0)
				}()
				first, _ := f.post(0, "/bookings", secretA, "call", "key")
				time.Sleep(time.Second)
				notRun := 0
				for n := range 20 {
					status, body := f.post(1+n%2, "/bookings", secretA, "call", "key")
					if strings.Contains(body, `"Run":"NotRun"`) {
						notRun++
						require.Zero(t, f.service.Executions()["call"], "told not run, but ran: %s", body)
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

// A lost answer of the journal, or a slow log, costs time but not a second run.
func TestKeyedCallWithFaultyLog(t *testing.T) {
	tests := []struct {
		name   string
		faults emulator.PlatformFaults
		ran    int
	}{
		{"append's answer lost", emulator.PlatformFaults{LoseAnswers: 1}, 1},
		{"all answers lost", emulator.PlatformFaults{LoseAnswers: 1000}, 1},
		{"slow log", emulator.PlatformFaults{Delay: 300e6}, 1},
		{"log slower than the timeout", emulator.PlatformFaults{Delay: 10e9}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, 2, func(f *fleet) {
				f.platform.SetFaults(tt.faults)
				status, body := f.post(0, "/bookings", secretA, "call", "key")
				ran := f.service.Executions()["call"]
				require.Equal(t, tt.ran, ran, body)
				if status != 200 {
					require.Equal(t, 503, status)
					require.Zero(t, ran)
				}
				f.platform.SetFaults(emulator.PlatformFaults{})
				time.Sleep(time.Minute)
				status, body = f.post(1, "/bookings", secretA, "call", "key")
				require.Equal(t, 200, status, body)
				require.Equal(t, 1, f.service.Executions()["call"])
			})
		})
	}
}
