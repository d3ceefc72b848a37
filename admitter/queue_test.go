package admitter_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/admitter"
)

// small returns an admitter with upstreams of one slot each.
func small(names ...string) *admitter.Admitter {
	a := &admitter.Admitter{Instance: "entry-0"}
	var targets []admitter.Target
	for _, n := range names {
		targets = append(targets, admitter.Target{Name: n, Pool: "chat", Slots: 1})
	}
	a.Update(map[string]savoryloft.Pool{"chat": {Name: "chat"}}, nil, targets)
	return a
}

func request(tier int, exclude ...string) *admitter.Request {
	return &admitter.Request{
		Pool: "chat", Account: "a", Weight: 1, Exclude: exclude,
		Class: &savoryloft.Class{Name: "c", Tier: tier, FirstToken: ms(1000)},
	}
}

// admit waits for a grant in the background.
func admit(a *admitter.Admitter, r *admitter.Request) <-chan *admitter.Grant {
	granted := make(chan *admitter.Grant, 1)
	go func() {
		g, _ := a.Admit(context.Background(), r)
		granted <- g
	}()
	synctest.Wait()
	return granted
}

// A request that has failed on the only upstream with room takes it again
// rather than hold up all that wait behind it.
func TestExcludedUpstreamBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := small("x", "y")
		x, y := <-admit(a, request(0, "y")), <-admit(a, request(0, "x"))
		first, second := admit(a, request(0, "x")), admit(a, request(0))
		x.Done(admitter.Observation{})
		g := <-first
		require.Equal(t, "x", g.Upstream.Name)
		g.Done(admitter.Observation{})
		(<-second).Done(admitter.Observation{})
		y.Done(admitter.Observation{})
	})
}

// A class that changes its tier while requests wait leaves no count behind.
func TestTierChangesWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := small("x")
		running := <-admit(a, request(3))
		before, after := admit(a, request(3)), admit(a, request(1))
		running.Done(admitter.Observation{})
		for range 2 {
			select {
			case g := <-before:
				g.Done(admitter.Observation{})
			case g := <-after:
				g.Done(admitter.Observation{})
			}
		}
		for _, d := range a.Demands() {
			require.Equal(t, []int{0, 0, 0, 0}, d.Waiting)
			require.Equal(t, []int{0, 0, 0, 0}, d.Running)
		}
	})
}

// Patience ends a wait at once, with a time to come back.
func TestPatienceEndsInRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := small("x")
		running := <-admit(a, request(0))
		defer running.Done(admitter.Observation{})
		r := request(0)
		r.Class.Patience = ms(700)
		began := time.Now()
		_, err := a.Admit(context.Background(), r)
		var refused *savoryloft.Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, savoryloft.RunNotRun, refused.Run)
		require.Positive(t, refused.RetryAfter)
		require.Equal(t, 700*time.Millisecond, time.Since(began))
	})
}
