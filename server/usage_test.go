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

// reportedUsage returns the requests and output tokens of all usage reports. It
// checks that windows were reported in order, and that reports of the same
// window are identical.
func (f *fleet) reportedUsage() (requests, tokens int) {
	bodies := map[int]string{}
	last := 0
	for _, r := range f.platform.Reports() {
		if old, ok := bodies[r.Window]; ok {
			require.Equal(f.t, old, r.Body, "window %d was reported twice with different figures", r.Window)
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

func (f *fleet) generatedTokens() int {
	n := 0
	for _, e := range f.engines {
		_, tokens := e.Served()
		n += tokens
	}
	return n
}

// sendChats sends four chats a second to the running entry instances, requires
// each to complete and returns their number.
func (f *fleet) sendChats(seconds int) int {
	results := make(chan chatResult, 1000)
	sent := 0
	for n := range seconds * 4 {
		i := n % len(f.entries)
		if f.entries[i].ended.Load() {
			continue
		}
		sent++
		go func() { results <- f.chat(i, apiKeyA, "quotes", fmt.Sprint("turn ", n), 20) }()
		time.Sleep(250 * time.Millisecond)
	}
	for range sent {
		s := <-results
		require.True(f.t, s.done, s.errorCode)
	}
	return sent
}

// Usage reports must add up to exactly the tokens that the engines generated,
// also after faults of the platform.
func TestReportsEqualWhatEnginesGenerated(t *testing.T) {
	tests := []struct {
		name   string
		faults emulator.PlatformFaults
	}{
		{"no fault", emulator.PlatformFaults{}},
		{"lost answers", emulator.PlatformFaults{LoseAnswers: 40}},
		{"lost calls", emulator.PlatformFaults{LoseCalls: 40}},
		{"slow", emulator.PlatformFaults{Delay: 700e6}},
		{"log unavailable", emulator.PlatformFaults{LogDown: true}},
		{"platform unavailable", emulator.PlatformFaults{Down: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withFleet(t, 3, func(f *fleet) {
				sent := f.sendChats(12)
				f.platform.SetFaults(tt.faults)
				sent += f.sendChats(45)
				f.platform.SetFaults(emulator.PlatformFaults{})
				sent += f.sendChats(12)
				time.Sleep(2 * time.Minute)
				requests, tokens := f.reportedUsage()
				require.Equal(t, sent, requests)
				require.Equal(t, f.generatedTokens(), tokens)
			})
		})
	}
}

// The lease holder is killed at different steps of closing and reporting a usage
// window. The next holder must report every window, in order, and with the same
// bytes where a window is reported again.
func TestHolderDiesAroundWindows(t *testing.T) {
	for _, after := range []time.Duration{2900, 3010, 3100, 3250, 3260, 3300, 3500} {
		t.Run(fmt.Sprint(after*time.Millisecond), func(t *testing.T) {
			withFleet(t, 3, func(f *fleet) {
				sent := f.sendChats(8)
				time.Sleep(time.Until(time.Now().Truncate(10 * time.Second).Add(10*time.Second + after*time.Millisecond)))
				f.kill(f.waitLeaseHolder())
				time.Sleep(15 * time.Second)
				sent += f.sendChats(8)
				time.Sleep(3 * time.Second) // Until all usage is appended, since the next holder is killed too.
				f.kill(f.waitLeaseHolder())
				time.Sleep(time.Minute)
				requests, tokens := f.reportedUsage()
				require.Equal(t, sent, requests)
				require.Equal(t, f.generatedTokens(), tokens)
			})
		})
	}
}

// leaseHolder returns the running entry instance that holds the lease, or false
// if there is none.
func (f *fleet) leaseHolder() (int, bool) {
	for i, e := range f.entries {
		if e.ended.Load() {
			continue
		}
		_, body := f.get(operatorAddr(i), "/status")
		if strings.Contains(string(body), `"HoldsLease": true`) {
			return i, true
		}
	}
	return 0, false
}

// waitLeaseHolder waits about 20 s for an entry instance to hold the lease and
// returns it.
func (f *fleet) waitLeaseHolder() int {
	for range 100 {
		if i, ok := f.leaseHolder(); ok {
			return i
		}
		time.Sleep(200 * time.Millisecond)
	}
	require.Fail(f.t, "no instance holds the lease")
	return 0
}

// A killed instance loses only the usage recorded since its last append to the
// log, and usage is never reported in excess.
func TestKilledInstanceLosesAtMostOneInterval(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		f.sendChats(6)
		before := f.generatedTokens()
		time.Sleep(2 * time.Second)
		go func() { f.chat(1, apiKeyA, "quotes", "cut off", 1000) }()
		time.Sleep(time.Second)
		f.kill(1)
		time.Sleep(time.Minute)
		_, tokens := f.reportedUsage()
		require.GreaterOrEqual(t, tokens, before)
		require.LessOrEqual(t, tokens, f.generatedTokens())
	})
}

// Guards against usage that is lost in a stop while the log is out: that recorded after an
// append had failed was not handed over.
func TestStopHandsOverUsageRecordedInAnOutage(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		f.platform.SetFaults(emulator.PlatformFaults{LogDown: true})
		const chats = 8
		for n := range chats {
			require.True(t, f.chat(1, apiKeyA, "quotes", fmt.Sprint("turn ", n), 20).done)
		}
		t.Log(f.stopEntry(1)) // The lease holder can not release the lease.
		f.platform.SetFaults(emulator.PlatformFaults{})
		time.Sleep(2 * time.Minute)
		requests, tokens := f.reportedUsage()
		require.Equal(t, chats, requests)
		require.Equal(t, f.generatedTokens(), tokens)
	})
}

// Guards against usage that is lost when a request outlasts the grace period of a stop.
func TestStopWithALongRequestHandsOverUsage(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		require.NoError(t, f.stopEntry(1))
		f.stopGrace = "5s"
		f.startEntry(1)
		f.waitReady()
		f.platform.SetFaults(emulator.PlatformFaults{LogDown: true})
		const chats = 8
		for n := range chats {
			require.True(t, f.chat(1, apiKeyA, "quotes", fmt.Sprint("turn ", n), 20).done)
		}
		cut := make(chan chatResult, 1)
		go func() { cut <- f.chat(1, apiKeyA, "quotes", "long", 2000) }()
		time.Sleep(time.Second)
		require.Error(t, f.stopEntry(1), "a request outlasts the grace period")
		f.platform.SetFaults(emulator.PlatformFaults{})
		<-cut
		time.Sleep(2 * time.Minute)
		requests, tokens := f.reportedUsage()
		require.GreaterOrEqual(t, requests, chats)
		require.GreaterOrEqual(t, tokens, chats*20)
	})
}
