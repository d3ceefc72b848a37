package admitter_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/admitter"
)

// fakeRoom is room for some tokens, shared by all requests of a test.
type fakeRoom struct {
	mu       sync.Mutex
	free     int
	hopeless bool
}

func (f *fakeRoom) release(tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.free += tokens
}

// roomOf is the room for one request.
type roomOf struct {
	*fakeRoom
	tokens int
}

func (r roomOf) Take(bool) savoryloft.RoomReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens > r.free {
		return savoryloft.RoomReply{Hopeless: r.hopeless, Wait: 100 * time.Millisecond}
	}
	r.free -= r.tokens
	return savoryloft.RoomReply{Taken: true}
}

// roomTest runs requests against a fakeRoom and records in which order they start.
type roomTest struct {
	admitter admitter.Admitter
	room     fakeRoom
	ctx      context.Context
	wg       sync.WaitGroup
	mu       sync.Mutex
	started  []string
	refused  map[string]time.Duration // Retry-After by name.
}

// send admits a request of 10 tokens per size in the background.
func (r *roomTest) send(name string, tier int, account string, size int, hold time.Duration) {
	r.sendContext(r.ctx, name, tier, account, size, hold)
}

func (r *roomTest) sendContext(ctx context.Context, name string, tier int, account string, size int, hold time.Duration) {
	class := &savoryloft.Class{Name: fmt.Sprint("tier ", tier), Tier: tier, FirstToken: ms(1000), Patience: ms(1000)}
	r.wg.Go(func() {
		g, err := r.admitter.Admit(ctx, &admitter.Request{
			Pool: "chat", Account: account, Weight: 1, Tokens: size, Class: class, Room: roomOf{&r.room, size},
		})
		var refusal *savoryloft.Error
		r.mu.Lock()
		if errors.As(err, &refusal) {
			r.refused[name] = refusal.RetryAfter
		} else if err == nil {
			r.started = append(r.started, name)
		}
		r.mu.Unlock()
		if g != nil {
			time.Sleep(hold)
			r.room.release(size)
			g.Done(admitter.Observation{})
		}
	})
	synctest.Wait()
}

// results returns the requests that have started, in order, and the Retry-After of those
// that were refused.
func (r *roomTest) results() (started []string, refused map[string]time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.started), maps.Clone(r.refused)
}

func runRoomTest(t *testing.T, free int, f func(t *testing.T, r *roomTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := &roomTest{ctx: ctx, refused: map[string]time.Duration{}, room: fakeRoom{free: free}}
		defer r.wg.Wait()
		defer cancel()
		r.wg.Go(func() { _ = r.admitter.Run(ctx) })
		f(t, r)
	})
}

// Requests for which there is no room start by rank and then by account. One for which
// there is none does not hold up another one for which there is.
func TestOrderOfWaitingForRoom(t *testing.T) {
	for _, tt := range []struct {
		name string
		send func(r *roomTest)
		want []string
	}{
		{"ranks", func(r *roomTest) {
			r.send("low", 2, "a", 10, 100*time.Millisecond)
			r.send("middle", 1, "a", 10, 100*time.Millisecond)
			r.send("urgent", 0, "a", 10, 100*time.Millisecond)
		}, []string{"first", "urgent", "middle", "low"}},
		{"an account that sends many", func(r *roomTest) {
			for n := range 4 {
				r.send(fmt.Sprint("hot ", n), 1, "hot", 10, 100*time.Millisecond)
			}
			r.send("cold 0", 1, "cold", 10, 100*time.Millisecond)
			r.send("cold 1", 1, "cold", 10, 100*time.Millisecond)
		}, []string{"first", "cold 0", "hot 0", "cold 1", "hot 1", "hot 2", "hot 3"}},
		{"small beside large", func(r *roomTest) { // One token is free.
			r.send("larger", 3, "a", 9, 100*time.Millisecond)
			r.send("urgent", 1, "a", 9, 100*time.Millisecond)
			r.send("small", 2, "a", 1, 100*time.Millisecond)
		}, []string{"first", "small", "urgent", "larger"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runRoomTest(t, 10, func(t *testing.T, r *roomTest) {
				// Room does not become free in the moment in which the queue looks for some.
				r.send("first", 1, "other", 9, 310*time.Millisecond)
				tt.send(r)
				time.Sleep(3 * time.Second)
				started, _ := r.results()
				require.Equal(t, tt.want, started)
			})
		})
	}
}

// A request whose caller gives up leaves the queue at once, and takes no room.
func TestCallersWhoGiveUpLeaveTheQueue(t *testing.T) {
	runRoomTest(t, 10, func(t *testing.T, r *roomTest) {
		r.send("first", 1, "a", 10, 300*time.Millisecond)
		ctx, cancel := context.WithCancel(r.ctx)
		r.sendContext(ctx, "gone", 0, "a", 10, time.Hour)
		r.send("next", 1, "a", 10, time.Millisecond)
		require.Equal(t, 2, r.admitter.Pool("chat").Waiting())
		cancel()
		synctest.Wait()
		require.Equal(t, 1, r.admitter.Pool("chat").Waiting())
		time.Sleep(time.Second)
		started, _ := r.results()
		require.Equal(t, []string{"first", "next"}, started)
	})
}

// In a shortage the urgent are served and the others are refused in time to come back,
// one after the other. One whose target can not be met is refused early.
func TestShortageOfRoom(t *testing.T) {
	runRoomTest(t, 50, func(t *testing.T, r *roomTest) {
		for n := range 300 {
			for tier := range 3 {
				r.send(fmt.Sprintf("%d %03d", tier, n), tier, fmt.Sprint("account ", n%5), 10, 100*time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		started, refused := r.results()
		served := map[byte]int{}
		for _, name := range started {
			served[name[0]]++
		}
		require.Greater(t, served['0'], 250)
		require.Greater(t, served['0'], served['1'])
		require.NotZero(t, served['2'], "the least urgent rank starves")
		require.Equal(t, 900, len(started)+len(refused))
		for _, after := range refused {
			require.Positive(t, after)
		}
	})
	runRoomTest(t, 0, func(t *testing.T, r *roomTest) {
		r.room.hopeless = true
		r.send("hopeless", 1, "a", 10, 0)
		r.send("as well", 1, "a", 10, 0)
		time.Sleep(200 * time.Millisecond)
		_, refused := r.results()
		require.Len(t, refused, 2)
		delays := []time.Duration{refused["hopeless"], refused["as well"]}
		require.Greater(t, slices.Max(delays)-slices.Min(delays), 100*time.Millisecond, "both come back at the same time")
	})
}

// Callers that repeat at once after each refusal fill neither the queue nor the room of
// the others.
func TestRepeatersFillNoQueue(t *testing.T) {
	runRoomTest(t, 10, func(t *testing.T, r *roomTest) {
		r.admitter.MaxQueued = 20
		for n := range 100 {
			r.send(fmt.Sprint("repeated ", n), 1, "repeater", 10, 100*time.Millisecond)
			require.LessOrEqual(t, r.admitter.Pool("chat").Waiting(), 20)
		}
		r.send("other", 0, "other", 10, 0)
		time.Sleep(250 * time.Millisecond)
		started, _ := r.results()
		require.Contains(t, started, "other")
	})
}

// In a shortage the account that sends many times as much as the others is the one that
// is refused.
func TestHotAccountIsRefusedFirst(t *testing.T) {
	runRoomTest(t, 50, func(t *testing.T, r *roomTest) { // 50 starts a second.
		for n := range 250 {
			for i := range 6 {
				r.send(fmt.Sprint("hot ", n, " ", i), 1, "hot", 10, 100*time.Millisecond)
			}
			r.send(fmt.Sprint("usual ", n), 1, fmt.Sprint("usual ", n%8), 10, 100*time.Millisecond)
			time.Sleep(40 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		started, refused := r.results()
		served := map[string]int{}
		for _, name := range started {
			served[name[:3]]++
		}
		require.Equal(t, 1750, len(started)+len(refused))
		require.Greater(t, served["usu"], 225, "of 250")
		require.Greater(t, served["hot"], 200, "the rest of the room")
	})
}
