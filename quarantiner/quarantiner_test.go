package quarantiner

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
)

var lastRequest atomic.Int64

// prompt returns a request, different from all others, with the parts with the given IDs,
// separated by spaces, and a last part.
func prompt(ids string) Request {
	return request(fmt.Sprint("r-", lastRequest.Add(1)), ids)
}

// request returns a request with a fingerprint and prompt parts.
func request(fingerprint, ids string) Request {
	r := Request{Fingerprint: func() string { return fingerprint }}
	for _, id := range strings.Fields(ids + " own") {
		r.Parts = append(r.Parts, savoryloft.PromptPart{ID: id, Tokens: 10})
	}
	return r
}

// newQuarantiner returns one whose upstreams have all ended, and the number of changes
// that it sends to its peers.
func newQuarantiner() (*Quarantiner, *atomic.Int64) {
	sent := &atomic.Int64{}
	return &Quarantiner{
		Dial:   func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED },
		Notify: func(savoryloft.Suspicions, string) { sent.Add(1) },
		Logger: logr.Discard(), Metrics: metrics.NewRegistry(),
	}, sent
}

func (q *Quarantiner) admits(ids string) bool {
	return q.Admit(prompt(ids)).OK
}

// crashUnder records that a new upstream has ended under requests with the given
// prompts.
func (q *Quarantiner) crashUnder(n int, prompts ...string) {
	u := savoryloft.RegisteredUpstream{ID: fmt.Sprint("u-", n)}
	for _, p := range prompts {
		q.ObserveBroken(u, Broken{Request: prompt(strings.TrimPrefix(p, "late ")), Late: strings.HasPrefix(p, "late "), OnProbed: func(bool) {}})
	}
	time.Sleep(time.Second)
}

// Guards against a quarantine of another part than the one that crashes upstreams.
func TestHarmfulPartIsQuarantined(t *testing.T) {
	for _, tt := range []struct {
		name    string
		crashes [][]string // Prompts of the requests under which each upstream ended.
		between string     // Prompt of a request that succeeds after each crash; none if empty.
		refused string     // The only ones of the prompts "a", "b" and "c" that are refused.
	}{
		{"two crashes", [][]string{{"a b"}, {"a b"}}, "", ""},
		{"sound requests share a part", [][]string{{"a b"}, {"a b"}, {"a b"}}, "a", "b"},
		{"harmful part first", [][]string{{"b a"}, {"b a"}, {"b a"}}, "a", "b"},
		{"others ended with it", [][]string{{"a b", "a c"}, {"a b", "a"}, {"a b", "a c"}}, "a", "b"},
		{"no sound requests", [][]string{{"a b"}, {"a b"}, {"a b"}}, "", "b"},
		{"no sound requests, harmful part first", [][]string{{"b x1"}, {"b x2"}, {"b x3"}}, "", "b"},
		{"no sound requests, deeper part innocent", [][]string{{"b c"}, {"b c"}, {"b c"}, {"b"}, {"b"}, {"b"}}, "", "b"}, // It may be tried.
		{"two harmful parts", [][]string{{"b"}, {"c"}, {"b"}, {"c"}, {"b"}, {"c"}}, "a", "bc"},
		{"others ended early", [][]string{{"late a b", "c"}, {"late a b", "a"}, {"late a b", "d"}, {"late a b"}, {"late a b", "a c"}}, "a", "b"},
		{"four late crashes", [][]string{{"late b"}, {"late b"}, {"late b"}, {"late b"}}, "", ""},
		{"others ended late", [][]string{{"a b", "late c"}, {"a b", "late c"}, {"a b", "late c"}}, "a", "b"},
		{"last part only", [][]string{{""}, {""}, {""}, {""}}, "", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q, _ := newQuarantiner()
				for n, prompts := range tt.crashes {
					q.crashUnder(n, prompts...)
					if tt.between != "" {
						q.ObserveSuccess(prompt(tt.between))
					}
				}
				refused := ""
				for _, id := range []string{"a", "b", "c"} {
					if !q.admits(id) {
						refused += id
					}
				}
				require.Equal(t, tt.refused, refused)
			})
		})
	}
}

// Guards against a sound part that is refused for long because it came with a harmful one,
// and beside a request that crashed its upstreams.
func TestPartBesideHarmfulOnesIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, _ := newQuarantiner()
		crashing := request("crashing", "")
		q.crashUnderRequests("u-0", prompt("harmful p0"), prompt("p3"))
		q.crashUnderRequests("u-1", prompt("harmful p1"), prompt("p4"))
		q.crashUnderRequests("u-2", crashing, prompt("p1"), prompt("p3"))
		q.crashUnderRequests("u-3", prompt("harmful p5"), prompt("p1"))
		require.LessOrEqual(t, q.Admit(prompt("p1")).Wait, uncertainPeriod+uncertainSpread)
		time.Sleep(uncertainPeriod + uncertainSpread)
		require.True(t, q.admits("p1"))
		q.ObserveSuccess(prompt("p1"))
		for n := range 2 {
			q.crashUnderRequests(fmt.Sprint("u-", 4+n), prompt("harmful p6"), prompt("p4"))
		}
		a := q.Admit(prompt("harmful"))
		require.True(t, !a.OK || a.Trial)
		require.True(t, q.admits("p1"))
	})
}

// Guards against a sound part that is refused for long because the requests that crashed its
// upstreams come no more before their trials.
func TestPartIsTriedWhenRequestsAreSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, _ := newQuarantiner()
		crash := func(u, fingerprint, ids string) {
			q.crashUnderRequests(u, request(fingerprint, ids), request("beside-"+u, ""))
		}
		for n := range 3 {
			q.crashUnderRequests(fmt.Sprint("u-", n), request(fmt.Sprint("harmful-", n), "p"))
		}
		require.False(t, q.admits("p"))
		for n := range 3 {
			for k := range 2 {
				crash(fmt.Sprint("v-", n, "-", k), fmt.Sprint("harmful-", n), "")
			}
		}
		require.True(t, q.Admit(prompt("p")).Trial)
	})
}

// Guards against quarantines because connections break while their upstreams are there.
func TestOnlyUpstreamsThatEndedCount(t *testing.T) {
	for _, dial := range []func(context.Context, string) (net.Conn, error){
		func(context.Context, string) (net.Conn, error) {
			c, _ := net.Pipe()
			return c, nil
		},
		func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			q, sent := newQuarantiner()
			q.Dial = dial
			for n := range 10 {
				q.crashUnder(n, "a b")
			}
			require.True(t, q.admits("a b"))
			require.Zero(t, sent.Load())
		})
	}
}

// Guards against quarantines that never end, and against several trials at once.
func TestQuarantineEndsWithATrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, _ := newQuarantiner()
		for n := range convictionWeight / earlyWeight {
			q.crashUnder(n, "b")
		}
		period := firstPeriod
		for n := range 3 {
			a := q.Admit(prompt("b"))
			require.False(t, a.OK)
			require.InDelta(t, (period + periodSpread/2).Seconds(), a.Wait.Seconds(), (time.Second + periodSpread/2).Seconds())
			time.Sleep(a.Wait)
			require.True(t, q.admits("b"))
			for range 5 {
				require.False(t, q.admits("b"), "one trial at a time")
			}
			q.crashUnder(100+n, "b")
			period *= periodGrowth
		}
		time.Sleep(q.Admit(prompt("b")).Wait)
		require.True(t, q.admits("b"))
		q.ObserveSuccess(prompt("b"))
		for range 5 {
			require.True(t, q.admits("b"))
		}
		require.Zero(t, q.restricted.Load())
	})
}

// Guards against a sound part that is refused because upstreams were switched off at once.
func TestPartOfUpstreamsThatEndTogetherIsAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(4, rand.New(rand.NewPCG(1, 1)))
		for _, q := range n.instances[1:] {
			q.ObserveSuccess(prompt("a b"))
		}
		for u := range 8 {
			n.instances[0].ObserveBroken(savoryloft.RegisteredUpstream{ID: fmt.Sprint("u-", u)}, Broken{Request: prompt("a b"), OnProbed: func(bool) {}})
		}
		time.Sleep(time.Second)
		for _, q := range n.instances {
			require.True(t, q.admits("a b"))
		}
	})
}

// Guards against a trial that goes unnoticed because the upstream has ended before.
func TestUpstreamWithoutAStartTimeCanEndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, _ := newQuarantiner()
		for n := range 3 {
			q.crashUnder(n, "b")
		}
		time.Sleep(q.Admit(prompt("b")).Wait)
		require.True(t, q.admits("b"))
		q.crashUnder(0, "b")
		a := q.Admit(prompt("b"))
		require.False(t, a.OK)
		require.Greater(t, a.Wait, 2*firstPeriod)
	})
}

// Guards against a part that is kept away for good because a trial had no result.
func TestTrialWithoutResultIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, _ := newQuarantiner()
		for n := range convictionWeight / earlyWeight {
			q.crashUnder(n, "b")
		}
		time.Sleep(q.Admit(prompt("b")).Wait)
		require.True(t, q.admits("b"))
		time.Sleep(trialTimeout + periodSpread)
		require.True(t, q.admits("b"))
	})
}

// Guards against quarantines of the parts of other requests that ran on crashed upstreams.
func TestStormQuarantinesOnlyItsCause(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(4, rand.New(rand.NewPCG(seed, 1)))
			arrivals, late := 0, seed%2 == 1 // Upstreams of odd seeds respond for a while before they end.
			for end, crashes := time.Now().Add(15*time.Second), 0; time.Now().Before(end); {
				q := n.any()
				if q.admits("a harmful") {
					arrivals++
					crashes++
					u := savoryloft.RegisteredUpstream{ID: fmt.Sprint("u-", crashes)}
					q.ObserveBroken(u, Broken{Request: prompt("a harmful"), Late: late, OnProbed: func(bool) {}})
					for range n.intN(3) {
						n.any().ObserveBroken(u, Broken{Request: prompt(fmt.Sprint("a s", n.intN(8))), Late: n.intN(2) == 0, OnProbed: func(bool) {}})
					}
				}
				for range 10 {
					time.Sleep(time.Duration(n.intN(100)) * time.Millisecond)
					n.any().ObserveSuccess(prompt(fmt.Sprint("a s", n.intN(8))))
				}
			}
			maxArrivals := convictionWeight/earlyWeight + 2
			if late {
				maxArrivals = convictionWeight/lateWeight + 2
			}
			require.LessOrEqual(t, arrivals, maxArrivals, "seed %d", seed)
			for _, q := range n.instances {
				require.False(t, q.admits("harmful"))
				for s := range 8 {
					require.True(t, q.admits(fmt.Sprint("a s", s)), "seed %d", seed)
				}
			}
		})
	}
}

// Guards against instances that receive the same news and differ on a part.
func TestInstancesAgree(t *testing.T) {
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(5, rand.New(rand.NewPCG(seed, 2)))
			for step := range 200 {
				q, r := n.any(), request(fmt.Sprint("r-", n.intN(9)), fmt.Sprintf("a p%d", n.intN(3)))
				switch n.intN(6) {
				case 0:
					q.ObserveSuccess(r)
				case 1, 2, 3:
					q.ObserveBroken(savoryloft.RegisteredUpstream{ID: fmt.Sprint("u-", step)}, Broken{Request: r, Late: n.intN(2) == 0, OnProbed: func(bool) {}})
				case 4:
					q.Admit(r)
				case 5:
					n.any().Merge(q.Suspicions(math.MaxInt), "")
				}
				time.Sleep(time.Duration(n.intN(2000)) * time.Millisecond)
			}
			time.Sleep(time.Minute)
			for _, q := range n.instances[1:] {
				require.Equal(t, n.instances[0].states(), q.states(), "seed %d", seed)
				require.Equal(t, n.instances[0].restricted.Load(), q.restricted.Load())
			}
		})
	}
}

// states returns the version and state of each part.
func (q *Quarantiner) states() map[string]string {
	q.mu.Lock()
	defer q.mu.Unlock()
	states := map[string]string{}
	for id, v := range q.verdicts {
		states[id] = fmt.Sprint(v.version, v.state)
	}
	return states
}

// network connects instances that send each change to all others, each with a delay of
// its own.
type network struct {
	instances []*Quarantiner
	mu        sync.Mutex
	rng       *rand.Rand
}

func newNetwork(size int, rng *rand.Rand) *network {
	n := &network{rng: rng}
	for i := range size {
		q, _ := newQuarantiner()
		q.Notify = func(s savoryloft.Suspicions, from string) {
			for k, peer := range n.instances {
				if k != i && fmt.Sprint(k) != from {
					delay := time.Duration(n.intN(300)) * time.Millisecond
					time.AfterFunc(delay, func() { peer.Merge(s, fmt.Sprint(i)) })
				}
			}
		}
		n.instances = append(n.instances, q)
	}
	return n
}

func (n *network) intN(limit int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.IntN(limit)
}

func (n *network) any() *Quarantiner { return n.instances[n.intN(len(n.instances))] }
