package server_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/emulator"
)

// reported returns the tokens and requests of all windows reported, after
// checking that no window came with two different figures.
func (f *fleet) reported() (requests, tokens int) {
	bodies := map[int]string{}
	last := 0
	for _, r := range f.platform.Reports() {
		if old, ok := bodies[r.Window]; ok {
			require.Equal(f.t, old, r.Body, "window %d was reported with two different figures", r.Window)
			continue
		}
		require.Greater(f.t, r.Window, last, "windows must be reported in order")
		last = r.Window
		bodies[r.Window] = r.Body
		var report savoryloft.UsageReport
		require.NoError(f.t, json.Unmarshal([]byte(r.Body), &report))
		for _, figure := range report.Figures {
			requests += figure.Requests
			tokens += figure.OutputTokens
		}
	}
	return requests, tokens
}

func (f *fleet) generated() int {
	n := 0
	for _, e := range f.engines {
		_, tokens := e.Served()
		n += tokens
	}
	return n
}

// converse sends chats through all running instances for a while and returns
// their number.
func (f *fleet) converse(seconds int) int {
	results := make(chan stream, 1000)
	sent := 0
	for n := range seconds * 4 {
		i := n % len(f.entries)
		if f.entries[i].ended.Load() {
			continue
		}
		sent++
		go func() { results <- f.chat(i, secretA, "quotes", fmt.Sprint("turn ", n), 20) }()
		time.Sleep(250 * time.Millisecond)
	}
	for range sent {
		s := <-results
		require.True(f.t, s.done, s.failed)
	}
	return sent
}

// Reports add up to what the engines generated, to the token, whatever the
// platform does in between.
func TestReportsEqualWhatEnginesGenerated(t *testing.T) {
	tests := []struct {
		name   string
		faults emulator.PlatformFaults
	}{
		{"no fault", emulator.PlatformFaults{}},
		{"lost answers", emulator.PlatformFaults{LoseAnswers: 40}},
		{"lost calls", emulator.PlatformFaults{LoseCalls: 40}},
		{"slow", emulator.PlatformFaults{Delay: 700e6}},
		{"log out", emulator.PlatformFaults{LogDown: true}},
		{"platform out", emulator.PlatformFaults{Down: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, 3, func(f *fleet) {
				sent := f.converse(12)
				f.platform.SetFaults(tt.faults)
				sent += f.converse(45)
				f.platform.SetFaults(emulator.PlatformFaults{})
				sent += f.converse(12)
				time.Sleep(2 * time.Minute)
				requests, tokens := f.reported()
				require.Equal(t, sent, requests)
				require.Equal(t, f.generated(), tokens)
			})
		})
	}
}

// The holder dies at any step of closing and reporting a window; another
// takes over, and every window is reported once in order with the same bytes.
func TestHolderDiesAroundWindows(t *testing.T) {
	for _, after := range []time.Duration{2900, 3010, 3100, 3250, 3260, 3300, 3500} {
		t.Run(fmt.Sprint(after*time.Millisecond), func(t *testing.T) {
			run(t, 3, func(f *fleet) {
				sent := f.converse(8)
				time.Sleep(time.Until(time.Now().Truncate(10 * time.Second).Add(10*time.Second + after*time.Millisecond)))
				f.kill(f.holder())
				time.Sleep(15 * time.Second)
				sent += f.converse(8)
				time.Sleep(3 * time.Second) // The next holder dies with all usage appended.
				f.kill(f.holder())
				time.Sleep(time.Minute)
				requests, tokens := f.reported()
				require.Equal(t, sent, requests)
				require.Equal(t, f.generated(), tokens)
			})
		})
	}
}

// leaseHolder returns the running instance that now holds the lease.
func (f *fleet) leaseHolder() (int, bool) {
	for i, e := range f.entries {
		if e.ended.Load() {
			continue
		}
		_, body := f.get(opsAddr(i), "/status")
		if strings.Contains(string(body), `"HoldsLease": true`) {
			return i, true
		}
	}
	return 0, false
}

// holder waits for an instance to hold the lease and returns it.
func (f *fleet) holder() int {
	for range 100 {
		if i, ok := f.leaseHolder(); ok {
			return i
		}
		time.Sleep(200 * time.Millisecond)
	}
	require.Fail(f.t, "no instance holds the lease")
	return 0
}

// A killed instance loses at most the usage since its last append.
func TestKilledInstanceLosesAtMostOneInterval(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.converse(6)
		before := f.generated()
		time.Sleep(2 * time.Second)
		go func() { f.chat(1, secretA, "quotes", "cut off", 1000) }()
		time.Sleep(time.Second)
		f.kill(1)
		time.Sleep(time.Minute)
		_, tokens := f.reported()
		require.GreaterOrEqual(t, tokens, before)
		require.LessOrEqual(t, tokens, f.generated())
	})
}
