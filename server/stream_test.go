package server_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/emulator"
)

// When an engine fails before or during a stream, the request moves to another
// engine, and the caller receives each token of its own response exactly once.
func TestStreamSurvivesEngineFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults emulator.EngineFaults
	}{
		{"cut", emulator.EngineFaults{CutAfter: 7}},
		{"cut before the first token", emulator.EngineFaults{Down: true}},
		{"silent", emulator.EngineFaults{SilentAfter: 7}},
		{"crossed", emulator.EngineFaults{CrossAnswers: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withFleet(t, 1, func(f *fleet) {
				f.engines[0].SetFaults(tt.faults)
				for n := range 8 {
					prompt := fmt.Sprint("prompt ", n)
					s := f.chat(0, apiKeyA, "quotes", prompt, 30)
					require.Equal(t, chatResult{status: 200, text: chatText(prompt, 30), done: true}, s)
				}
			})
		})
	}
}

// Guards against an engine's rejection of an earlier request, written once more on a kept
// connection, that is taken for the response to the next one.
func TestRepeatedRejectionIsDiscarded(t *testing.T) {
	for _, id := range []string{"earlier", ""} {
		t.Run(fmt.Sprintf("ID %q", id), func(t *testing.T) {
			withFleet(t, 1, func(f *fleet) {
				for _, e := range f.engines {
					e.SetFaults(emulator.EngineFaults{RepeatedRejection: &id})
				}
				for n := range 8 {
					prompt := fmt.Sprint("prompt ", n)
					require.Equal(t, chatResult{status: 200, text: chatText(prompt, 5), done: true}, f.chat(0, apiKeyA, "quotes", prompt, 5))
				}
			})
		})
	}
}

// Guards against a finished stream that is held back or run again after its end marker.
func TestStreamIsCompleteAtItsEndMarker(t *testing.T) {
	withFleet(t, 1, func(f *fleet) {
		for _, e := range f.engines {
			e.SetFaults(emulator.EngineFaults{SilentAtEnd: true})
		}
		started := time.Now()
		require.Equal(t, chatResult{status: 200, text: chatText("p", 5), done: true}, f.chat(0, apiKeyA, "quotes", "p", 5))
		require.Less(t, time.Since(started), 2*time.Second)
		requests := 0
		for _, e := range f.engines {
			requests += len(e.ReceivedRequests())
		}
		require.Equal(t, 1, requests)
	})
}

func TestStreamEndsInErrorWhenAllEnginesFail(t *testing.T) {
	withFleet(t, 1, func(f *fleet) {
		for _, e := range f.engines {
			e.SetFaults(emulator.EngineFaults{CutAfter: 5})
		}
		s := f.chat(0, apiKeyA, "quotes", "p", 200)
		require.False(t, s.done)
		require.NotEmpty(t, s.errorCode)
		require.Contains(t, chatText("p", 200), s.text)
	})
}

func TestStreamSurvivesEngineCrash(t *testing.T) {
	withFleet(t, 1, func(f *fleet) {
		results := make(chan chatResult, 10)
		for n := range 10 {
			go func() { results <- f.chat(0, apiKeyA, "quotes", fmt.Sprint("p", n%2), 100) }()
		}
		time.Sleep(500 * time.Millisecond)
		f.network.Kill("engine-1")
		for range 10 {
			s := <-results
			require.True(t, s.done, s.errorCode)
			require.Contains(t, []string{chatText("p0", 100), chatText("p1", 100)}, s.text)
		}
	})
}

// Established connections stop carrying data without being closed, while new
// connections work. Requests and control records must move to new connections.
func TestSilentConnections(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		require.True(t, f.chat(0, apiKeyA, "quotes", "warm", 5).done)
		for _, h := range []string{"engine-1", "engine-2", "booking-1", platformHost, entryName(1)} {
			f.network.DropTraffic(entryName(0), h)
		}
		s := f.chat(0, apiKeyA, "quotes", "after", 30)
		require.Equal(t, chatResult{status: 200, text: chatText("after", 30), done: true}, s)
		time.Sleep(5 * time.Second)
		status, body := f.post(0, "/bookings", apiKeyA, "call", "key")
		require.Equal(t, 200, status, body)
		f.withdrawKey("a")
		time.Sleep(4 * time.Second)
		require.Equal(t, 401, f.chat(0, apiKeyA, "quotes", "gone", 5).status)
	})
}

// A rolling restart of all entry instances under load must not interrupt any
// request.
func TestRollingRestartCutsNothing(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		stopped := make(chan struct{})
		results := make(chan chatResult, 1000)
		sent := 0
		go func() {
			defer close(stopped)
			for n := 0; n < 300; n++ {
				i, ok := f.readyEntry(n)
				if ok {
					sent++
					go func() { results <- f.chat(i, apiKeyA, "quotes", "rolling", 80) }()
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		for i := range 3 {
			require.NoError(t, f.stopEntry(i))
			f.startEntry(i)
			f.waitReady()
		}
		<-stopped
		for range sent {
			s := <-results
			require.Equal(t, chatResult{status: 200, text: chatText("rolling", 80), done: true}, s)
		}
		require.Greater(t, sent, 200)
	})
}

// readyEntry returns the first ready entry instance from the nth on, as a load
// balancer that probes readiness before each request.
func (f *fleet) readyEntry(n int) (int, bool) {
	for k := range f.entries {
		i := (n + k) % len(f.entries)
		if status, _ := f.get(operatorAddr(i), "/readyz"); status == 200 {
			return i, true
		}
	}
	return 0, false
}

// An upstream that is withdrawn from the configuration must receive no new
// requests after a few seconds, and its running requests must finish.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		long := make(chan chatResult, 4)
		for n := range 4 {
			go func() { long <- f.chat(n%2, apiKeyA, "quotes", fmt.Sprint("long", n), 1500) }()
		}
		time.Sleep(time.Second)
		f.publish(withdrawUpstream("engine-1", f.lastControlOffset()))
		time.Sleep(3 * time.Second)
		before, _ := f.engines[0].Served()
		f.sendShortChats(20)
		after, _ := f.engines[0].Served()
		require.Equal(t, before, after)
		for range 4 {
			s := <-long
			require.True(t, s.done, s.errorCode)
		}
	})
}

// An upstream that the platform lists as leaving must receive no new requests
// after the lag of the list and one interval of reading it.
func TestListedUpstreamLeaves(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		list := func(state savoryloft.ListedInstanceState) {
			f.platform.SetInstances([]savoryloft.ListedInstance{{
				Name: "engine-3", Kind: savoryloft.ListedInstanceKindUpstream, Pool: "chat",
				Address: "127.0.0.1:9003", FailureDomain: "d2", State: state,
			}})
		}
		third := &emulator.Engine{Name: "engine-3", FirstToken: 30 * time.Millisecond, BetweenToken: 10 * time.Millisecond}
		f.serve("engine-3", "127.0.0.1:9003", third.Server())
		defer f.network.Kill("engine-3")
		f.platform.SetFaults(emulator.PlatformFaults{ListLag: 2e9})
		list(savoryloft.ListedInstanceStateLive)
		time.Sleep(5 * time.Second)
		f.sendShortChats(40)
		used, _ := third.Served()
		require.Positive(t, used)
		list(savoryloft.ListedInstanceStateLeaving)
		time.Sleep(4 * time.Second) // Lag of the list and one ListInterval.
		before, _ := third.Served()
		f.sendShortChats(40)
		after, _ := third.Served()
		require.Equal(t, before, after)
	})
}

// sendShortChats sends chats to the first two entry instances in turn and
// requires each to complete.
func (f *fleet) sendShortChats(count int) {
	for n := range count {
		require.True(f.t, f.chat(n%2, apiKeyA, "quotes", fmt.Sprint("short ", n), 5).done)
	}
}
