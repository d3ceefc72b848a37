package placer

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func engines(n int) []savoryloft.RegisteredUpstream {
	var list []savoryloft.RegisteredUpstream
	for i := range n {
		list = append(list, savoryloft.RegisteredUpstream{ID: fmt.Sprintf("engine-%d", i), Service: "s", FailureDomain: "a", Slots: 64})
	}
	return list
}

var prompts atomic.Int64

// prompt is a request whose first part others share.
func prompt(shared string, sharedTokens, ownTokens int) Request {
	own := fmt.Sprintf("own-%d", prompts.Add(1))
	return Request{
		Service: "s", PromptTokens: sharedTokens + ownTokens, OutputTokens: 100,
		Parts:  []savoryloft.PromptPart{{ID: shared, Tokens: sharedTokens}, {ID: own, Tokens: ownTokens}},
		Engine: &savoryloft.EngineTraits{Slots: 64, MemoryTokens: 500000},
	}
}

func choose(t *testing.T, p *Placer, now time.Time, r Request, list []savoryloft.RegisteredUpstream) Choice {
	c, ok := p.Choose(now, r, list)
	require.True(t, ok)
	return c
}

func TestSharedPartsAreKeptTogether(t *testing.T) {
	p := &Placer{FailureDomain: "a"}
	list := engines(8)
	r := prompt("contract", 13000, 2000)
	first := choose(t, p, start, r, list)
	run := p.Start(start, first, r)
	run.FirstToken(start.Add(300 * time.Millisecond))
	run.End(start.Add(time.Second), Succeeded)
	again := choose(t, p, start.Add(2*time.Second), prompt("contract", 13000, 2000), list)
	require.Equal(t, first.Upstream.ID, again.Upstream.ID)
	require.Equal(t, 2000, again.Uncached)
}

// Pattern: urgent short streams meet long prompts of other instances.
func TestShortPromptsAvoidEnginesThatReadLongOnes(t *testing.T) {
	p := &Placer{FailureDomain: "a"}
	list := engines(3)
	p.SetPeers(start, map[string]savoryloft.LinkLoad{
		"engine-0": {Upstream: "engine-0", Running: 1, Prefill: 40000},
		"engine-1": {Upstream: "engine-1", Running: 1, Prefill: 30000},
	}, 0)
	for i := range 5 {
		r := prompt(fmt.Sprintf("short-%d", i), 300, 1000)
		c := choose(t, p, start, r, list)
		require.Equal(t, "engine-2", c.Upstream.ID)
		p.Start(start, c, r).FirstToken(start)
	}
	later := start.Add(2 * time.Second)
	r := prompt("short-late", 300, 1000)
	seen := map[string]bool{}
	for range 100 {
		c := choose(t, p, later, r, list)
		seen[c.Upstream.ID] = true
		p.Start(later, c, r)
	}
	require.Len(t, seen, 3, "what peers told is read by now")
}

// oldLoads plays requests of many instances that hear of each other's half a
// second late.
type oldLoads struct {
	upstreams int
	request   func(n int) Request
	met       float64 // Others that a request meets at its upstream, on average.
	worst     int     // Most requests at one upstream.
	beside    float64 // Part of the short prompts that run where a long one is read.
}

func (o *oldLoads) play(t *testing.T) {
	const (
		instances = 88
		interval  = 2 * time.Millisecond // Between two requests of all instances.
		delay     = 500 * time.Millisecond
		requests  = 3000
		duration  = 1500 * time.Millisecond
	)
	type sent struct {
		at       time.Time
		upstream string
		run      *Run
	}
	list := engines(o.upstreams)
	placers := make([]*Placer, instances)
	for i := range placers {
		placers[i] = &Placer{Instance: fmt.Sprint("entry-", i), FailureDomain: "a"}
	}
	perInstance := make([][]sent, instances)
	running, longUntil := map[string]int{}, map[string]time.Time{}
	var all []sent
	sum, ended, short, beside := 0, 0, 0, 0
	for n := range requests {
		now := start.Add(time.Duration(n) * interval)
		for ; ended < len(all) && now.Sub(all[ended].at) >= duration; ended++ {
			all[ended].run.End(now, Succeeded)
			running[all[ended].upstream]--
		}
		i := n * 37 % instances // An order in which neighbours do not follow each other.
		loads := map[string]savoryloft.LinkLoad{}
		for j, list := range perInstance {
			for _, s := range list {
				if j != i && now.Sub(s.at) >= delay && now.Sub(s.at) < duration+delay {
					l := loads[s.upstream]
					loads[s.upstream] = savoryloft.LinkLoad{Upstream: s.upstream, Running: l.Running + 1}
				}
			}
		}
		placers[i].SetPeers(now, loads, delay)
		r := o.request(n)
		c := choose(t, placers[i], now, r, list)
		run := placers[i].Start(now, c, r)
		run.FirstToken(now)
		s := sent{now, c.Upstream.ID, run}
		perInstance[i] = append(perInstance[i], s)
		all = append(all, s)
		sum += running[s.upstream]
		running[s.upstream]++
		o.worst = max(o.worst, running[s.upstream])
		if r.PromptTokens >= longPrompt {
			longUntil[s.upstream] = now.Add(time.Duration(float64(c.Uncached)/initialReadRate) * time.Millisecond)
		} else {
			short++
			if longUntil[s.upstream].After(now) {
				beside++
			}
		}
	}
	o.met = float64(sum) / requests
	o.beside = float64(beside) / float64(max(short, 1))
	t.Logf("a request meets %.1f others, at most %d; %.3f of the short prompts run beside a long one", o.met, o.worst, o.beside)
}

// Pattern: many instances that hear of each other's requests late.
func TestInstancesWithOldLoadsDoNotMeet(t *testing.T) {
	o := &oldLoads{upstreams: 120, request: func(n int) Request { return prompt(fmt.Sprint("own-", n), 0, 1000) }}
	o.play(t)
	// 6 run at an upstream on average, so a request that goes anywhere meets as many.
	const places = 48
	require.Less(t, o.met, 7.0)
	require.Less(t, o.worst, places)
}

// Pattern: urgent short streams beside many long prompts. In a large fleet they
// hardly ever run where a long prompt is read; in a small one all engines serve
// both, since parts of it would be too small for a burst.
func TestLongAndShortPromptsRunApart(t *testing.T) {
	mixed := func(n int) Request {
		if n%5 < 2 {
			return prompt(fmt.Sprint("thing-", n%24), 300, 1000)
		}
		return prompt(fmt.Sprint("document-", n%24), 6000, 3000)
	}
	large := &oldLoads{upstreams: 120, request: mixed}
	large.play(t)
	require.Less(t, large.beside, 0.05)
	small := &oldLoads{upstreams: splitFrom - 1, request: mixed}
	small.play(t)
	require.Greater(t, small.beside, 0.05)
}

// Requests of plain services have no prompt and do not move the border.
func TestPlainRequestsAreOfNoKind(t *testing.T) {
	p := &Placer{FailureDomain: "a"}
	list := engines(2)
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		r := Request{Service: "s"}
		c := choose(t, p, now, r, list)
		p.Start(now, c, r).End(now.Add(time.Minute), Succeeded)
	}
	require.InDelta(t, usualShortPart, p.times.shortPart(now), 0.001)
}

// The part of the upstreams for short prompts follows the time that they take.
func TestPartForShortPromptsFollowsTheirTime(t *testing.T) {
	for _, tt := range []struct {
		name        string
		short, long time.Duration // Of one request in each 100 ms.
		want        float64
	}{
		{"nothing seen", 0, 0, usualShortPart},
		{"only short ones", time.Second, 0, 1},
		{"only long ones", 0, time.Second, 0},
		{"a quarter of the time", time.Second, 3 * time.Second, 0.25},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var k kindTimes
			now := start
			for range 1000 {
				now = now.Add(100 * time.Millisecond)
				k.add(now, false, tt.short)
				k.add(now, true, tt.long)
			}
			require.InDelta(t, tt.want, k.shortPart(now), 0.02)
		})
	}
}

// Pattern: many requests about one thing at the same moment.
func TestHotPartsSpread(t *testing.T) {
	p := &Placer{FailureDomain: "a"}
	list := engines(6)
	used := map[string]int{}
	for i := range 60 {
		r := prompt("hot", 13000, 4000)
		now := start.Add(time.Duration(i) * 5 * time.Millisecond)
		c := choose(t, p, now, r, list)
		p.Start(now, c, r)
		used[c.Upstream.ID]++
	}
	require.Greater(t, len(used), 3)
	for id, n := range used {
		require.Less(t, n, 40, id)
	}
}

func TestFailingUpstreamsAreSetAsideAndProbed(t *testing.T) {
	p := &Placer{FailureDomain: "a"}
	list := engines(2)
	r := Request{Service: "s"}
	now := start
	for range 12 {
		now = now.Add(20 * time.Millisecond)
		c := choose(t, p, now, r, list)
		run := p.Start(now, c, r)
		if c.Upstream.ID == "engine-0" {
			run.End(now, Failed)
			continue
		}
		run.End(now, Succeeded)
	}
	for range 10 {
		now = now.Add(10 * time.Millisecond)
		require.Equal(t, "engine-1", choose(t, p, now, r, list).Upstream.ID)
	}
	all := list[:1]
	require.Equal(t, "engine-0", choose(t, p, now, r, all).Upstream.ID, "the last one is used all the same")
}

func TestChoiceLeavesOut(t *testing.T) {
	list := engines(4)
	list[0].Draining = true
	p := &Placer{FailureDomain: "a"}
	r := Request{Service: "s", Exclude: map[string]bool{"engine-1": true}, Connections: 1}
	c := choose(t, p, start, r, list)
	p.Start(start, c, r)
	d := choose(t, p, start, r, list)
	require.ElementsMatch(t, []string{"engine-2", "engine-3"}, []string{c.Upstream.ID, d.Upstream.ID})
	p.Start(start, d, r)
	_, ok := p.Choose(start, r, list)
	require.False(t, ok, "each has as many connections as it may")
}

// Pattern: an engine that takes requests and never produces a token.
func TestHangingEnginesLoseTheirPlace(t *testing.T) {
	p := &Placer{FailureDomain: "a"}
	list := engines(2)
	r := prompt("x", 200, 800)
	c := choose(t, p, start, r, list)
	p.Start(start, c, r)
	later := start.Add(3 * time.Second)
	for range 5 {
		d := choose(t, p, later, r, list)
		require.NotEqual(t, c.Upstream.ID, d.Upstream.ID)
		p.Start(later, d, r).End(later, Succeeded)
	}
}

func TestPeersAreToldOfPartsOnce(t *testing.T) {
	a, b := &Placer{}, &Placer{}
	list := engines(3)
	r := prompt("contract", 13000, 2000)
	c := choose(t, a, start, r, list)
	a.Start(start, c, r)
	parts := a.FreshParts()
	require.Equal(t, []savoryloft.HeldPart{{Upstream: c.Upstream.ID, Part: "contract", Tokens: 13000}}, parts)
	a.Start(start, c, prompt("contract", 13000, 2000))
	require.Empty(t, a.FreshParts())
	choose(t, b, start, r, list)
	require.Len(t, b.TakeParts(start, parts), 1)
	require.Empty(t, b.TakeParts(start, parts))
	require.Equal(t, c.Upstream.ID, choose(t, b, start, r, list).Upstream.ID)
}

func TestReadingRateIsLearnt(t *testing.T) {
	p := &Placer{}
	list := engines(1)
	now := start
	for range 60 {
		r := prompt("p", 0, 12000)
		c := choose(t, p, now, r, list)
		run := p.Start(now, c, r)
		now = now.Add(600 * time.Millisecond)
		run.FirstToken(now)
		run.End(now, Succeeded)
		for id := range p.engines["engine-0"].parts {
			delete(p.engines["engine-0"].parts, id)
		}
	}
	require.InDelta(t, 20, p.engines["engine-0"].readRate, 2)
}

// BenchmarkChoose measures the choice of an upstream, which each request pays,
// where peers' loads are told late.
func BenchmarkChoose(b *testing.B) {
	for _, upstreams := range []int{24, 120, 3700} {
		b.Run(fmt.Sprint("upstreams=", upstreams), func(b *testing.B) {
			p := &Placer{Instance: "entry-1", FailureDomain: "a"}
			p.SetPeers(start, nil, 500*time.Millisecond)
			list := engines(upstreams)
			r := prompt("thing", 300, 1000)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := p.Choose(start, r, list); !ok {
					b.Fatal("no choice")
				}
			}
		})
	}
}
