package placer

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
)

// speedTrial runs the requests of several instances on upstreams whose speeds differ.
type speedTrial struct {
	speed      func(upstream int, at time.Duration) float64 // Of the usual speed.
	noise      float64                                      // Standard deviation of the logarithm of the time of a piece of work.
	toldAfter  time.Duration                                // Delay of the speeds that instances tell each other.
	lost       float64                                      // Share of the speeds told that are lost.
	untold     bool                                         // Instances tell no speeds, as in builds without them.
	startedAt  []map[time.Duration]int                      // By upstream: requests by the second tenth of a second.
	toldSpeeds int
}

type trialRun struct {
	run     *Run
	prefill float64 // Prompt tokens left.
	events  float64
}

const (
	trialUpstreams = 6
	trialInstances = 12
	trialTick      = 10 * time.Millisecond
	trialRequests  = 2 // At each tick; a little over half of what the upstreams can read.
	trialPrompt    = 2000
	trialEvents    = 40
	trialStep      = 20 * time.Millisecond
)

func (tr *speedTrial) play(t *testing.T, duration time.Duration) {
	type told struct {
		due    time.Duration
		from   int
		speeds []savoryloft.UpstreamSpeed
	}
	rng := rand.New(rand.NewPCG(7, 8))
	list := testUpstreams(trialUpstreams)
	index := map[string]int{}
	tr.startedAt = make([]map[time.Duration]int, trialUpstreams)
	for i, u := range list {
		index[u.ID] = i
		tr.startedAt[i] = map[time.Duration]int{}
	}
	placers := make([]*Placer, trialInstances)
	for i := range placers {
		placers[i] = &Placer{Instance: fmt.Sprint("entry-", i), FailureDomain: "a"}
	}
	var queue []told
	running := make([][]*trialRun, trialUpstreams)
	for at := time.Duration(0); at < duration; at += trialTick {
		now := start.Add(at)
		for range trialRequests {
			p := placers[rng.IntN(trialInstances)]
			r := prompt("", 0, trialPrompt)
			c := choose(t, p, now, r, list)
			u := index[c.Upstream.ID]
			tr.startedAt[u][at.Truncate(100*time.Millisecond)]++
			running[u] = append(running[u], &trialRun{run: p.Start(now, c, r), prefill: trialPrompt})
		}
		for u := range running {
			speed := tr.speed(u, at) * math.Exp(rng.NormFloat64()*tr.noise)
			budget := initialPrefillRate * float64(trialTick) / float64(time.Millisecond) * speed
			var left []*trialRun
			for _, r := range running[u] {
				read := min(budget, r.prefill)
				budget -= read
				switch waiting := r.prefill > 0; {
				case waiting && r.prefill == read:
					r.run.RecordFirstToken(now.Add(trialTick))
				case !waiting:
					r.events += float64(trialTick) / float64(trialStep) * speed
					r.run.RecordEvents(now.Add(trialTick), int(r.events), trialTick)
				}
				if r.prefill -= read; r.events >= trialEvents {
					r.run.End(now.Add(trialTick), Succeeded)
					continue
				}
				left = append(left, r)
			}
			running[u] = left
		}
		if at%(200*time.Millisecond) == 0 {
			for i, p := range placers {
				news := told{due: at + tr.toldAfter, from: i}
				if speeds := p.TakeSpeeds(now); !tr.untold && rng.Float64() >= tr.lost {
					news.speeds = speeds
				}
				tr.toldSpeeds += len(news.speeds)
				queue = append(queue, news)
			}
		}
		for len(queue) > 0 && queue[0].due <= at {
			for i, p := range placers {
				if i != queue[0].from {
					p.MergeSpeeds(now, queue[0].speeds)
				}
			}
			queue = queue[1:]
		}
		totals := map[string]savoryloft.LinkLoad{}
		for _, p := range placers {
			for _, load := range p.Loads(now) {
				totals[load.Upstream] = plus(totals[load.Upstream], load, 1)
			}
		}
		for _, p := range placers {
			peers := maps.Clone(totals)
			for _, load := range p.Loads(now) {
				peers[load.Upstream] = plus(peers[load.Upstream], load, -1)
			}
			p.SetPeerLoads(now, peers, 0)
		}
	}
}

func plus(sum, load savoryloft.LinkLoad, sign int) savoryloft.LinkLoad {
	return savoryloft.LinkLoad{
		Upstream: load.Upstream, Running: sum.Running + sign*load.Running,
		Prefill: sum.Prefill + sign*load.Prefill, Tokens: sum.Tokens + sign*load.Tokens,
	}
}

// share returns the share of an upstream in the requests of a period, multiplied by the
// number of upstreams.
func (tr *speedTrial) share(upstream int, from, to time.Duration) float64 {
	own, all := 0, 0
	for u, times := range tr.startedAt {
		for at, n := range times {
			if at >= from && at < to {
				all += n
				if u == upstream {
					own += n
				}
			}
		}
	}
	return trialUpstreams * float64(own) / float64(all)
}

// slowed is the speed of upstreams of which the first is slowed between 10 and 10.6 s.
func slowed(u int, at time.Duration) float64 {
	if u == 0 && at >= 10*time.Second && at < 10600*time.Millisecond {
		return 0.4
	}
	return 1
}

func even(int, time.Duration) float64 { return 1 }

func uneven(u int, _ time.Duration) float64 { return []float64{0.7, 0.7, 1.7}[u%3] }

func TestRequestsFollowSpeed(t *testing.T) {
	type bound struct {
		upstream  int
		from, to  time.Duration
		low, high float64
	}
	const s = time.Second
	fair := func(from, to time.Duration) []bound {
		var list []bound
		for u := range trialUpstreams {
			list = append(list, bound{u, from, to, 0.75, 1.25})
		}
		return list
	}
	leaves := []bound{{0, 10300 * time.Millisecond, 10700 * time.Millisecond, 0, 0.6}}
	returns := bound{0, 12 * s, 20 * s, 0.75, 1.25}
	for _, tt := range []struct {
		name   string
		trial  speedTrial
		bounds []bound
	}{
		{"even", speedTrial{speed: even, toldAfter: 300 * time.Millisecond}, fair(4*s, 20*s)},
		{"noise", speedTrial{speed: even, noise: 0.3, toldAfter: 300 * time.Millisecond}, fair(4*s, 20*s)},
		{"speeds differ", speedTrial{speed: uneven, toldAfter: 300 * time.Millisecond}, []bound{
			{0, 4 * s, 20 * s, 0.4, 0.9},
			{1, 4 * s, 20 * s, 0.4, 0.9},
			{2, 4 * s, 20 * s, 1.3, 2},
			{3, 4 * s, 20 * s, 0.4, 0.9},
			{4, 4 * s, 20 * s, 0.4, 0.9},
			{5, 4 * s, 20 * s, 1.3, 2},
		}},
		{"one is slowed", speedTrial{speed: slowed, toldAfter: 50 * time.Millisecond}, append(leaves, returns)},
		{"one is slowed, late news", speedTrial{speed: slowed, toldAfter: 2 * s}, []bound{returns}},
		{"one is slowed, lost news", speedTrial{speed: slowed, toldAfter: 300 * time.Millisecond, lost: 0.5}, []bound{returns}},
		{"builds that tell no speeds", speedTrial{speed: uneven, toldAfter: 300 * time.Millisecond, untold: true}, []bound{
			{0, 4 * s, 20 * s, 0.4, 0.95}, {2, 4 * s, 20 * s, 1.2, 2},
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tt.trial.play(t, 20*s)
			t.Logf("%d speeds told in 20 s", tt.trial.toldSpeeds)
			for _, b := range tt.bounds {
				share := tt.trial.share(b.upstream, b.from, b.to)
				t.Logf("upstream %d from %s to %s: %.2f", b.upstream, b.from, b.to, share)
				require.True(t, share >= b.low && share <= b.high, "share %.2f of upstream %d", share, b.upstream)
			}
		})
	}
}

// A client that reads slowly must not make its upstream look slow.
func TestSlowClientsAreNotSlowUpstreams(t *testing.T) {
	for _, tt := range []struct {
		name   string
		waited time.Duration // Of the 100 ms between events.
		slow   bool
	}{
		{"the upstream is slow", 99 * time.Millisecond, true},
		{"the client is slow", 5 * time.Millisecond, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := &Placer{FailureDomain: "a"}
			list := testUpstreams(2)
			r := prompt("", 0, 300)
			var runs []*Run
			for _, u := range list {
				runs = append(runs, p.Start(start, Choice{Upstream: u}, r))
			}
			for i := range 40 {
				now := start.Add(time.Duration(i) * 100 * time.Millisecond)
				runs[0].RecordEvents(now, i, tt.waited)
				runs[1].RecordEvents(now, 5*i, 99*time.Millisecond)
			}
			choose(t, p, start.Add(4*time.Second), r, list)
			require.Equal(t, tt.slow, p.states["engine-0"].slowness > 1.1)
		})
	}
}

func TestSpeedsAreToldAndRelayedWhenTheyChange(t *testing.T) {
	p := &Placer{FailureDomain: "a"}
	list := testUpstreams(2)
	r := prompt("", 0, 300)
	for _, u := range list {
		p.Start(start, Choice{Upstream: u}, r)
	}
	usual := savoryloft.UpstreamSpeed{Upstream: "engine-0", StreamTokens: 100, StreamMs: 2000}
	slow := savoryloft.UpstreamSpeed{Upstream: "engine-0", StreamTokens: 40, StreamMs: 2000}
	unknown := savoryloft.UpstreamSpeed{Upstream: "new", StreamTokens: 1, StreamMs: 2000}
	empty := savoryloft.UpstreamSpeed{Upstream: "engine-1"}
	merge := func(at time.Duration, speeds ...savoryloft.UpstreamSpeed) []savoryloft.UpstreamSpeed {
		return p.MergeSpeeds(start.Add(at), speeds)
	}
	require.Equal(t, []savoryloft.UpstreamSpeed{usual}, merge(0, usual), "nothing was known")
	require.Empty(t, merge(time.Second, usual, empty))
	require.Equal(t, []savoryloft.UpstreamSpeed{slow}, merge(2*time.Second, slow))
	require.Equal(t, []savoryloft.UpstreamSpeed{unknown}, merge(2*time.Second, unknown), "peers may know the upstream")
	require.Empty(t, p.TakeSpeeds(start.Add(2*time.Second)), "what peers have told is not told again")

	at := start.Add(5 * time.Second)
	p.states["engine-1"].streams.addOwn(at, 30, 100)
	require.Empty(t, p.TakeSpeeds(at), "too short a sample")
	p.states["engine-1"].streams.addOwn(at, 30, 100)
	require.Equal(t, []savoryloft.UpstreamSpeed{{Upstream: "engine-1", StreamTokens: 60, StreamMs: 200}}, p.TakeSpeeds(at))
	p.states["engine-1"].streams.addOwn(at, 60, 200)
	require.Empty(t, p.TakeSpeeds(at), "peers know")
}
