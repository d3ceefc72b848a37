package throttler

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
)

const (
	coldRate    = 5.9 // Requests a second that a cold upstream takes.
	coldOverage = 1.5
	coldSlack   = 5
)

// cool makes all nodes know, each after up to delay, that an upstream is cold for a time.
func (n *network) cool(upstream string, d, delay time.Duration) {
	for _, node := range n.nodes {
		heardAt := savoryloft.Uptime()
		if delay > 0 {
			heardAt += time.Duration(n.intN(int(delay)))
		}
		t := node.current.Load()
		t.mu.Lock()
		t.WarmUpRate = func(string) float64 { return coldRate }
		t.Upstream = func(id string) (savoryloft.RegisteredUpstream, bool) {
			u := savoryloft.RegisteredUpstream{ID: id, Service: "s"}
			if id == upstream && savoryloft.Uptime() >= heardAt {
				u.WarmUpEnd = heardAt + d
			}
			return u, true
		}
		t.mu.Unlock()
	}
}

// mostPerSecond returns the largest number of requests to an upstream in any second from a
// time on.
func (n *network) mostPerSecond(upstream string, from, to time.Time) (most int) {
	var times []time.Time
	for _, s := range n.sends {
		if s.upstream == upstream && !s.at.Before(from) && s.at.Before(to) {
			times = append(times, s.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i := range times {
		for times[i].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against instances that together send a cold upstream more than it takes: each of
// 91 sends it few requests. They learn of it within the time that the registry takes.
func TestSumOverInstancesSparesAColdUpstream(t *testing.T) {
	const (
		warmUp    = 10 * time.Second
		known     = time.Second // Until all instances know.
		perSecond = 120.0
	)
	for _, tt := range []struct {
		size  int
		named float64 // Limit that the upstream names; none if 0.
		split bool    // The instances lose each other.
	}{
		{1, 0, false},
		{91, 0, false},
		{91, 1, false},
		{91, 20, false},
		{91, 0, true},
	} {
		t.Run(fmt.Sprintf("%d instances, limit %v, split %v", tt.size, tt.named, tt.split), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(tt.size, 1)
				if tt.named > 0 {
					n.name("u", tt.named)
				}
				start := time.Now()
				n.cool("u", warmUp, known)
				time.AfterFunc(3*time.Second, func() {
					for i := 0; tt.split && i < tt.size/3; i++ {
						n.nodes[i].move(1)
					}
				})
				n.serve(warmUp+3*time.Second, demand{perSecond: perSecond, upstreams: []string{"u"}, wait: 200 * time.Millisecond})
				cold := n.mostPerSecond("u", start.Add(known), start.Add(warmUp))
				require.LessOrEqual(t, float64(cold), coldRate*coldOverage+coldSlack)
				if tt.named != 1 {
					require.GreaterOrEqual(t, float64(cold), coldRate-1, "the rest is used")
				} else {
					require.LessOrEqual(t, float64(cold), tt.named+1, "the lower limit applies")
				}
				warm := n.mostPerSecond("u", start.Add(warmUp+known), start.Add(warmUp+3*time.Second))
				if tt.named == 0 {
					require.Greater(t, float64(warm), perSecond/2, "no limit is left after the warm-up")
				} else {
					require.LessOrEqual(t, float64(warm), tt.named*(1+burstTime.Seconds())+1, "the named limit is left")
				}
			})
		})
	}
}

// Guards against a warm-up that ends early or late when the entry is replaced.
func TestLimitFollowsTheWarmUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1, 1)
		n.cool("u", 4*time.Second, 0)
		throttler := n.nodes[0].current.Load()
		limit := func(id string) (float64, bool) {
			u, _ := throttler.Upstream(id)
			return throttler.Limit(u)
		}
		perSecond, ok := limit("u")
		require.True(t, ok)
		require.InDelta(t, coldRate, perSecond, 0)
		_, ok = limit("other")
		require.False(t, ok)
		time.Sleep(4 * time.Second)
		_, ok = limit("u")
		require.False(t, ok)
		n.cool("u", time.Second, 0)
		_, ok = limit("u")
		require.True(t, ok)
		throttler.WarmUpRate = func(string) float64 { return 0 }
		_, ok = limit("u")
		require.False(t, ok, "its service has no limit for cold upstreams")
	})
}
