package server_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/emulator"
)

// Whatever an engine does in the middle of a stream, the caller gets each
// token of its own answer once, or an error.
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
			run(t, 1, func(f *fleet) {
				f.engines[0].SetFaults(tt.faults)
				for n := range 8 {
					prompt := fmt.Sprint("prompt ", n)
					s := f.chat(0, secretA, "quotes", prompt, 30)
					require.Equal(t, stream{status: 200, text: wantText(prompt, 30), done: true}, s)
				}
			})
		})
	}
}

func TestStreamEndsInErrorWhenAllEnginesFail(t *testing.T) {
	run(t, 1, func(f *fleet) {
		for _, e := range f.engines {
			e.SetFaults(emulator.EngineFaults{CutAfter: 5})
		}
		s := f.chat(0, secretA, "quotes", "p", 200)
		require.False(t, s.done)
		require.NotEmpty(t, s.failed)
		require.Contains(t, wantText("p", 200), s.text)
	})
}

func TestStreamSurvivesDeathOfEngine(t *testing.T) {
	run(t, 1, func(f *fleet) {
		results := make(chan stream, 10)
		for n := range 10 {
			go func() { results <- f.chat(0, secretA, "quotes", fmt.Sprint("p", n%2), 100) }()
		}
		time.Sleep(500 * time.Millisecond)
		f.network.Kill("engine-1")
		for range 10 {
			s := <-results
			require.True(t, s.done, s.failed)
			require.Contains(t, []string{wantText("p0", 100), wantText("p1", 100)}, s.text)
		}
	})
}

// Connections that go silent while new ones work.
func TestSilentConnections(t *testing.T) {
	run(t, 2, func(f *fleet) {
		require.True(t, f.chat(0, secretA, "quotes", "warm", 5).done)
		for _, h := range []string{"engine-1", "engine-2", "booking-1", platformHost, entryName(1)} {
			f.network.DropTraffic(entryName(0), h)
		}
		s := f.chat(0, secretA, "quotes", "after", 30)
		require.Equal(t, stream{status: 200, text: wantText("after", 30), done: true}, s)
		time.Sleep(5 * time.Second)
		status, body := f.post(0, "/bookings", secretA, "call", "key")
		require.Equal(t, 200, status, body)
		f.withdrawKey("a")
		time.Sleep(4 * time.Second)
		require.Equal(t, 401, f.chat(0, secretA, "quotes", "gone", 5).status)
	})
}

// A rolling restart of all instances under load cuts no request.
func TestRollingRestartCutsNothing(t *testing.T) {
	run(t, 3, func(f *fleet) {
		stopped := make(chan struct{})
		results := make(chan stream, 1000)
		sent := 0
		go func() {
			defer close(stopped)
			for n := 0; n < 300; n++ {
				i, ok := f.readyEntry(n)
				if ok {
					sent++
					go func() { results <- f.chat(i, secretA, "quotes", "rolling", 80) }()
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		for i := range 3 {
			require.NoError(t, f.stopEntry(i))
			f.startEntry(i)
			f.awaitReady()
		}
		<-stopped
		for range sent {
			s := <-results
			require.Equal(t, stream{status: 200, text: wantText("rolling", 80), done: true}, s)
		}
		require.Greater(t, sent, 200)
	})
}

// readyEntry picks an instance as a balancer does that looks at readiness
// before each request.
func (f *fleet) readyEntry(n int) (int, bool) {
	for k := range f.entries {
		i := (n + k) % len(f.entries)
		if status, _ := f.get(opsAddr(i), "/readyz"); status == 200 {
			return i, true
		}
	}
	return 0, false
}

// An upstream that leaves, or is withdrawn, gets no new work after a few
// seconds; what runs there finishes.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	run(t, 2, func(f *fleet) {
		long := make(chan stream, 4)
		for n := range 4 {
			go func() { long <- f.chat(n%2, secretA, "quotes", fmt.Sprint("long", n), 1500) }()
		}
		time.Sleep(time.Second)
		f.publish(withdrawUpstream("engine-1", f.base()))
		time.Sleep(3 * time.Second)
		before, _ := f.engines[0].Served()
		f.chats(20)
		after, _ := f.engines[0].Served()
		require.Equal(t, before, after)
		for range 4 {
			s := <-long
			require.True(t, s.done, s.failed)
		}
	})
}

// The same for an upstream that the platform's lagging list shows as leaving.
func TestListedUpstreamLeaves(t *testing.T) {
	run(t, 2, func(f *fleet) {
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
		f.chats(40)
		used, _ := third.Served()
		require.Positive(t, used)
		list(savoryloft.ListedInstanceStateLeaving)
		time.Sleep(4 * time.Second) // The list's lag and one reading of it.
		before, _ := third.Served()
		f.chats(40)
		after, _ := third.Served()
		require.Equal(t, before, after)
	})
}

// chats sends short chats at the first two instances in turn.
func (f *fleet) chats(count int) {
	for n := range count {
		require.True(f.t, f.chat(n%2, secretA, "quotes", fmt.Sprint("short ", n), 5).done)
	}
}
