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

func testUpstreams(n int) []savoryloft.RegisteredUpstream {
	var list []savoryloft.RegisteredUpstream
	for i := range n {
		list = append(list, savoryloft.RegisteredUpstream{ID: fmt.Sprintf("engine-%d", i), Service: "s", FailureDomain: "a", Slots: 64})
	}
	return list
}

var promptCount atomic.Int64

// prompt returns a request whose prompt has a shared part and a unique part.
func prompt(shared string, sharedTokens, ownTokens int) Request {
	own := fmt.Sprintf("own-%d", promptCount.Add(1))
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

func TestSharedPromptPartsUseSameUpstream(t *testing.T) {
	p := &Placer{FailureDomain: "a"}
	list := testUpstreams(8)
	r := prompt("contract", 13000, 2000)
	first := choose(t, p, start, r, list)
	run := p.Start(start, first, r)
	run.RecordFirstToken(start.Add(300 * time.Millisecond))
	run.End(start.Add(time.Second), Succeeded)
	again := choose(t, p, start.Add(2*time.Second), prompt("contract", 13000, 2000), list)
	require.Equal(t, first.Upstream.ID, again.Upstream.ID)
	require.Equal(t, 2000, again.UncachedTokens)
}

// Short prompts must not wait for prefill of long prompts from other instances
// on the same upstream.
func TestShortPromptsAvoidUpstreamsWithLongPrefill(t *testing.T) {
	p := &Placer{FailureDomain: "a"}
	list := testUpstreams(3)
	p.SetPeerLoads(start, map[string]savoryloft.LinkLoad{
		"engine-0": {Upstream: "engine-0", Running: 1, Prefill: 40000},
		"engine-1": {Upstream: "engine-1", Running: 1, Prefill: 30000},
	}, 0)
	for i := range 5 {
		r := prompt(fmt.Sprintf("short-%d", i), 300, 1000)
		c := choose(t, p, start, r, list)
		require.Equal(t, "engine-2", c.Upstream.ID)
		p.Start(start, c, r).RecordFirstToken(start)
	}
	later := start.Add(2 * time.Second)
	r := prompt("short-late", 300, 1000)
	seen := map[string]bool{}
	for range 100 {
		c := choose(t, p, later, r, list)
		seen[c.Upstream.ID] = true
		p.Start(later, c, r)
	}
	require.Len(t, seen, 3, "the prefill that peers reported has ended")
}

// staleLoadSimulation simulates the requests of many instances that receive each
// other's loads half a second late.
type staleLoadSimulation struct {
	upstreams int
	request   func(n int) Request // Returns the request with index n.

	meanConcurrent      float64 // Mean number of requests that a new request finds on its upstream.
	maxConcurrent       int     // Maximum number of requests on one upstream.
	prefillOverlapShare float64 // Share of the short prompts that start during prefill of a long one on the same upstream.
}

func (sim *staleLoadSimulation) run(t *testing.T) {
	const (
		instances = 88
		interval  = 2 * time.Millisecond // Between consecutive requests of the whole deployment.
		delay     = 500 * time.Millisecond
		requests  = 3000
		duration  = 1500 * time.Millisecond
	)
	type sentRequest struct {
		at       time.Time
		upstream string
		run      *Run
	}
	list := testUpstreams(sim.upstreams)
	placers := make([]*Placer, instances)
	for i := range placers {
		placers[i] = &Placer{Instance: fmt.Sprint("entry-", i), FailureDomain: "a"}
	}
	perInstance := make([][]sentRequest, instances)
	running, prefillUntil := map[string]int{}, map[string]time.Time{}
	var all []sentRequest
	sum, ended, shortPrompts, overlapping := 0, 0, 0, 0
	for n := range requests {
		now := start.Add(time.Duration(n) * interval)
		for ; ended < len(all) && now.Sub(all[ended].at) >= duration; ended++ {
			all[ended].run.End(now, Succeeded)
			running[all[ended].upstream]--
		}
		i := n * 37 % instances // Consecutive requests come from instances far apart in the list.
		loads := map[string]savoryloft.LinkLoad{}
		for j, list := range perInstance {
			for _, s := range list {
				if j != i && now.Sub(s.at) >= delay && now.Sub(s.at) < duration+delay {
					l := loads[s.upstream]
					loads[s.upstream] = savoryloft.LinkLoad{Upstream: s.upstream, Running: l.Running + 1}
				}
			}
		}
		placers[i].SetPeerLoads(now, loads, delay)
		r := sim.request(n)
		c := choose(t, placers[i], now, r, list)
		run := placers[i].Start(now, c, r)
		run.RecordFirstToken(now)
		s := sentRequest{now, c.Upstream.ID, run}
		perInstance[i] = append(perInstance[i], s)
		all = append(all, s)
		sum += running[s.upstream]
		running[s.upstream]++
		sim.maxConcurrent = max(sim.maxConcurrent, running[s.upstream])
		if r.PromptTokens >= longPromptTokens {
			prefillUntil[s.upstream] = now.Add(time.Duration(float64(c.UncachedTokens)/initialPrefillRate) * time.Millisecond)
		} else {
			shortPrompts++
			if prefillUntil[s.upstream].After(now) {
				overlapping++
			}
		}
	}
	sim.meanConcurrent = float64(sum) / requests
	sim.prefillOverlapShare = float64(overlapping) / float64(max(shortPrompts, 1))
	t.Logf("concurrent requests per upstream: mean %.1f, maximum %d; share of short prompts during long prefill: %.3f", sim.meanConcurrent, sim.maxConcurrent, sim.prefillOverlapShare)
}

// Instances that receive each other's loads late must not all send their
// requests to the upstream that was last reported as idle.
func TestStaleLoadsDoNotCauseHerding(t *testing.T) {
	sim := &staleLoadSimulation{upstreams: 120, request: func(n int) Request { return prompt(fmt.Sprint("own-", n), 0, 1000) }}
	sim.run(t)
	// An upstream runs about 6 requests on average: 3000 requests at 2 ms intervals
	// and 1.5 s each make 750 concurrent ones on 120 upstreams. A random choice
	// would give that mean.
	const maxPerUpstream = 48
	require.Less(t, sim.meanConcurrent, 7.0)
	require.Less(t, sim.maxConcurrent, maxPerUpstream)
}

// The same for a system prompt that all upstreams have cached: an upstream that has
// it is no better than the others, so an instance compares a sample of them.
func TestCommonPromptPartsDoNotCauseHerding(t *testing.T) {
	const instances = 100
	list := testUpstreams(120)
	loads := map[string]savoryloft.LinkLoad{}
	var system []savoryloft.HeldPart
	for _, u := range list[1:] {
		loads[u.ID] = savoryloft.LinkLoad{Upstream: u.ID, Running: 5, Prefill: 20000}
	}
	for _, u := range list {
		system = append(system, savoryloft.HeldPart{Upstream: u.ID, Part: "system", Tokens: 500})
	}
	idle := 0
	for i := range instances {
		p := &Placer{Instance: fmt.Sprint("entry-", i), FailureDomain: "a"}
		p.SetPeerLoads(start, loads, 400*time.Millisecond)
		r := prompt(fmt.Sprint("thread-", i), 500, 500)
		r.Parts = append([]savoryloft.PromptPart{{ID: "system", Tokens: 500}}, r.Parts...)
		choose(t, p, start, r, list)
		p.MergeParts(start, system)
		if choose(t, p, start, r, list).Upstream.ID == list[0].ID {
			idle++
		}
	}
	require.Less(t, idle, instances/2, "instances that chose the upstream that was last reported as idle")
}

// Prefill of long prompts pauses the streams of short ones on the same upstream.
// In a large fleet short prompts must rarely start there. In a small fleet all
// upstreams serve both classes, since parts of it could not absorb a burst.
func TestLongAndShortPromptsAreSeparated(t *testing.T) {
	mixed := func(n int) Request {
		if n%5 < 2 {
			return prompt(fmt.Sprint("thing-", n%24), 300, 1000)
		}
		return prompt(fmt.Sprint("document-", n%24), 6000, 3000)
	}
	large := &staleLoadSimulation{upstreams: 120, request: mixed}
	large.run(t)
	require.Less(t, large.prefillOverlapShare, 0.05)
	small := &staleLoadSimulation{upstreams: minPartitionedUpstreams - 1, request: mixed}
	small.run(t)
	require.Greater(t, small.prefillOverlapShare, 0.05)
}

// Requests to services without inference engines have no prompt and must not
// move the boundary between the classes.
func TestRequestsWithoutPromptDoNotAffectPartition(t *testing.T) {
	p := &Placer{FailureDomain: "a"}
	list := testUpstreams(2)
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		r := Request{Service: "s"}
		c := choose(t, p, now, r, list)
		p.Start(now, c, r).End(now.Add(time.Minute), Succeeded)
	}
	require.InDelta(t, priorShortShare, p.classTimes.shortShare(now), 0.001)
}

// The share of the upstreams for short prompts must follow the share of the time
// that short prompts take.
func TestShortShareFollowsObservedTimes(t *testing.T) {
	for _, tt := range []struct {
		name        string
		short, long time.Duration // Duration of one request of each class every 100 ms.
		want        float64
	}{
		{"no requests", 0, 0, priorShortShare},
		{"only short prompts", time.Second, 0, 1},
		{"only long prompts", 0, time.Second, 0},
		{"a quarter of the time", time.Second, 3 * time.Second, 0.25},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var c classTimes
			now := start
			for range 1000 {
				now = now.Add(100 * time.Millisecond)
				c.add(now, false, tt.short)
				c.add(now, true, tt.long)
			}
			require.InDelta(t, tt.want, c.shortShare(now), 0.02)
		})
	}
}

// Many simultaneous requests that share a prompt part must not all queue on the
// upstream that has cached it.
func TestPopularPromptPartsSpreadAcrossUpstreams(t *testing.T) {
	p := &Placer{FailureDomain: "a"}
	list := testUpstreams(6)
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

func TestFailingUpstreamsAreSuspended(t *testing.T) {
	p := &Placer{FailureDomain: "a"}
	list := testUpstreams(2)
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
	suspended := list[:1]
	require.Equal(t, "engine-0", choose(t, p, now, r, suspended).Upstream.ID, "a suspended upstream is chosen if there is no other")
}

func TestChooseSkipsIneligibleUpstreams(t *testing.T) {
	list := testUpstreams(4)
	list[0].Draining = true
	p := &Placer{FailureDomain: "a"}
	r := Request{Service: "s", Exclude: map[string]bool{"engine-1": true}, MaxConnections: 1}
	c := choose(t, p, start, r, list)
	p.Start(start, c, r)
	d := choose(t, p, start, r, list)
	require.ElementsMatch(t, []string{"engine-2", "engine-3"}, []string{c.Upstream.ID, d.Upstream.ID})
	p.Start(start, d, r)
	_, ok := p.Choose(start, r, list)
	require.False(t, ok, "every upstream has reached its connection limit")
}

// An upstream that accepts requests but never returns a token must be avoided,
// although no request to it has failed.
// A pause holds even if no other upstream is eligible, is bounded, and ends at
// different times for different instances.
func TestPausedUpstreamsAreNotChosen(t *testing.T) {
	list := testUpstreams(2)
	p := &Placer{}
	r := prompt("p", 100, 100)
	p.Pause(start, list[0], 4*time.Second)
	require.Zero(t, p.PauseLeft(start.Add(5*time.Second), list))
	require.Equal(t, list[1].ID, choose(t, p, start, r, list).Upstream.ID)
	p.Pause(start, list[1], 2*time.Second)
	p.Pause(start, list[1], time.Second) // A shorter one does not end it.
	_, ok := p.Choose(start.Add(2*time.Second-1), r, list)
	require.False(t, ok)
	require.InDelta(t, 2, p.PauseLeft(start, list).Seconds(), 0.2)
	require.Equal(t, list[1].ID, choose(t, p, start.Add(3*time.Second), r, list).Upstream.ID)
	ends := map[time.Duration]bool{}
	for range 20 {
		other := &Placer{}
		other.Pause(start, list[0], 1000*time.Hour)
		left := other.PauseLeft(start, list)
		require.LessOrEqual(t, left, maxPause+maxPauseSpread)
		ends[left] = true
	}
	require.Greater(t, len(ends), 10)
}

func TestHangingUpstreamsAreAvoided(t *testing.T) {
	p := &Placer{FailureDomain: "a"}
	list := testUpstreams(2)
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

func TestPartsAreSentToPeersOnce(t *testing.T) {
	a, b := &Placer{}, &Placer{}
	list := testUpstreams(3)
	r := prompt("contract", 13000, 2000)
	c := choose(t, a, start, r, list)
	a.Start(start, c, r)
	parts := a.TakeUnsentParts()
	require.Equal(t, []savoryloft.HeldPart{{Upstream: c.Upstream.ID, Part: "contract", Tokens: 13000}}, parts)
	a.Start(start, c, prompt("contract", 13000, 2000))
	require.Empty(t, a.TakeUnsentParts())
	choose(t, b, start, r, list)
	require.Len(t, b.MergeParts(start, parts), 1)
	require.Empty(t, b.MergeParts(start, parts))
	require.Equal(t, c.Upstream.ID, choose(t, b, start, r, list).Upstream.ID)
}

// Up to a size of the deployment all parts are reported, since a backlog of prompts
// that are not cached yet is underestimated otherwise.
func TestAllPartsAreReportedInMediumDeployments(t *testing.T) {
	for _, tt := range []struct {
		instances, want int
	}{
		{0, 0},
		{88, 1},
		{195, 0},
	} {
		p := &Placer{Instance: "a"}
		p.SetPeerLoads(start, nil, 400*time.Millisecond)
		p.SetInstances(tt.instances)
		r := prompt("contract", 13000, 2000)
		c := choose(t, p, start, r, testUpstreams(30))
		require.True(t, c.Preferred)
		p.Start(start, c, r)
		require.Len(t, p.TakeUnsentParts(), tt.want, "%d instances", tt.instances)
	}
}

// In a large deployment each report goes to all instances, so only parts that were
// sent elsewhere than all instances expect are reported, and what is not reported is
// assumed to be where it is expected.
func TestOnlyExceptionalPartsAreReportedInLargeDeployments(t *testing.T) {
	a, b := &Placer{Instance: "a"}, &Placer{Instance: "b"}
	list := testUpstreams(30)
	for _, p := range []*Placer{a, b} {
		p.SetPeerLoads(start, nil, 400*time.Millisecond)
	}
	r := prompt("contract", 13000, 2000)
	c := choose(t, a, start, r, list)
	require.True(t, c.Preferred)
	a.Start(start, c, r)
	require.Empty(t, a.TakeUnsentParts())
	require.Equal(t, c.Upstream.ID, choose(t, b, start, r, list).Upstream.ID)
	require.Less(t, choose(t, b, start, r, list).UncachedTokens, 2000+13000/5)
	r.Exclude = map[string]bool{c.Upstream.ID: true}
	elsewhere := choose(t, a, start, r, list)
	elsewhere.Preferred = false
	a.Start(start, elsewhere, r)
	require.Equal(t, []savoryloft.HeldPart{{Upstream: elsewhere.Upstream.ID, Part: "contract", Tokens: 13000}}, a.TakeUnsentParts())
}

// A system prompt that all requests begin with is cached everywhere. The upstream
// that has the document behind it must be found among many, although an instance
// compares only a sample of the others.
func TestUpstreamsWithTheWholeSharedPromptAreCompared(t *testing.T) {
	const upstreams = 120
	list := testUpstreams(upstreams)
	for i := range 20 {
		p := &Placer{Instance: fmt.Sprint("entry-", i), FailureDomain: "a"}
		p.SetPeerLoads(start, nil, 400*time.Millisecond)
		r := Request{
			Service: "s", PromptTokens: 8500, OutputTokens: 100, Engine: &savoryloft.EngineTraits{Slots: 64, MemoryTokens: 500000},
			Parts: []savoryloft.PromptPart{{ID: "system", Tokens: 500}, {ID: "document", Tokens: 7000}, {ID: "question", Tokens: 1000}},
		}
		preferred := choose(t, p, start, r, list)
		require.True(t, preferred.Preferred)
		var system []savoryloft.HeldPart
		for _, u := range list {
			system = append(system, savoryloft.HeldPart{Upstream: u.ID, Part: "system", Tokens: 500})
		}
		p.MergeParts(start, system)
		busy := savoryloft.LinkLoad{Upstream: preferred.Upstream.ID, Running: 20, Prefill: 100000}
		p.SetPeerLoads(start, map[string]savoryloft.LinkLoad{busy.Upstream: busy}, 400*time.Millisecond)
		holder := list[(i*7+3)%upstreams].ID
		require.NotEqual(t, busy.Upstream, holder)
		p.MergeParts(start, []savoryloft.HeldPart{{Upstream: holder, Part: "document", Tokens: 7000}})
		require.Equal(t, holder, choose(t, p, start, r, list).Upstream.ID)
	}
}

// In a burst of long prompts, these wait for each other up to a share of their
// objective before they go to the upstreams of short ones, whose streams they would
// pause.
func TestLongPromptsWaitBeforeTheyPauseShortOnes(t *testing.T) {
	for _, tt := range []struct {
		name      string
		objective time.Duration
		waiting   int // Prompt tokens that wait on each upstream for long prompts.
		separate  bool
	}{
		{"nothing waits", 5 * time.Second, 0, true},
		{"a wait of less than a fifth of the objective", 5 * time.Second, 10000, true},
		{"a wait of half the objective", 5 * time.Second, 100000, false},
		{"the same short wait without an objective", 0, 10000, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := &Placer{FailureDomain: "a"}
			list := testUpstreams(60)
			boundary := p.classTimes.partition(start, prompt("", 0, 5000), len(list)).boundary
			loads := map[string]savoryloft.LinkLoad{}
			for _, u := range list {
				if p.state(start, u).hashPosition >= boundary {
					loads[u.ID] = savoryloft.LinkLoad{Upstream: u.ID, Running: 1, Prefill: tt.waiting}
				}
			}
			p.SetPeerLoads(start, loads, 0)
			for i := range 20 {
				r := prompt(fmt.Sprint("document-", i), 4000, 2000)
				r.Objective = tt.objective
				id := choose(t, p, start, r, list).Upstream.ID
				require.Equal(t, tt.separate, p.states[id].hashPosition >= boundary, id)
			}
		})
	}
}

// When many upstreams are added in a burst, the cached prompts must stay where they
// are at first, and move a few at a time.
func TestAddedUpstreamsTakeOverCachedPromptsGradually(t *testing.T) {
	const prompts = 1000
	list := testUpstreams(60)
	p := &Placer{FailureDomain: "a"}
	choose(t, p, start.Add(-time.Hour), prompt("", 0, 1000), list[:30])
	moved := func(age time.Duration) (n int) {
		for i := range prompts {
			r := prompt(fmt.Sprint("document-", i), 5000, 1000)
			c := choose(t, p, start.Add(age), r, list)
			require.True(t, c.Preferred)
			for _, u := range list[30:] {
				if c.Upstream.ID == u.ID {
					n++
				}
			}
		}
		return n
	}
	require.Less(t, moved(0), prompts/20)
	require.InDelta(t, prompts/4, moved(10*time.Second), prompts/10)
	require.InDelta(t, prompts/2, moved(time.Minute), prompts/10)
}

// The boundary stays while the shares of an instance's few requests vary, since each
// change moves cached prompts, and follows a lasting change.
func TestBoundaryToleratesNoise(t *testing.T) {
	p := &Placer{FailureDomain: "a"}
	boundaries := map[float64]bool{}
	now := start
	observe := func(short, long time.Duration) {
		now = now.Add(100 * time.Millisecond)
		p.classTimes.add(now, false, short)
		p.classTimes.add(now, true, long)
		boundaries[p.classTimes.partition(now, prompt("", 0, 1000), 60).boundary] = true
	}
	for i := range 600 {
		if i/50%2 == 0 {
			observe(40*time.Millisecond, 60*time.Millisecond)
		} else {
			observe(50*time.Millisecond, 50*time.Millisecond)
		}
	}
	require.Equal(t, map[float64]bool{priorShortShare: true}, boundaries)
	for range 600 {
		observe(10*time.Millisecond, 90*time.Millisecond)
	}
	require.LessOrEqual(t, p.classTimes.partition(now, prompt("", 0, 1000), 60).boundary, 0.2)
}

func TestPrefillRateFollowsObservedTimes(t *testing.T) {
	p := &Placer{}
	list := testUpstreams(1)
	now := start
	for range 60 {
		r := prompt("p", 0, 12000)
		c := choose(t, p, now, r, list)
		run := p.Start(now, c, r)
		now = now.Add(600 * time.Millisecond)
		run.RecordFirstToken(now)
		run.End(now, Succeeded)
		for id := range p.states["engine-0"].cachedParts {
			delete(p.states["engine-0"].cachedParts, id)
		}
	}
	require.InDelta(t, 20, p.states["engine-0"].prefillRate, 2)
}

// A cold upstream is slower than it will be. Its times must not keep requests away later.
func TestPrefillRateIsNotLearntFromAColdUpstream(t *testing.T) {
	for _, tt := range []struct {
		name    string
		limited bool          // The service limits the requests to its cold upstreams.
		warmUp  time.Duration // That is left.
		learnt  bool
	}{
		{"cold", true, time.Minute, false},
		{"warm", true, 0, true},
		{"service without a limit", false, time.Minute, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := &Placer{}
			list := testUpstreams(1)
			if tt.warmUp > 0 {
				list[0].WarmUpEnd = savoryloft.Uptime() + tt.warmUp
			}
			r := prompt("p", 0, 12000)
			r.WarmUpLimited = tt.limited
			run := p.Start(start, choose(t, p, start, r, list), r)
			run.RecordFirstToken(start.Add(2 * time.Second))
			require.Equal(t, tt.learnt, p.states["engine-0"].prefillRate < initialPrefillRate)
		})
	}
}

// BenchmarkChoose measures the choice of an upstream, which is on the path of
// each request, with delayed peer loads.
func BenchmarkChoose(b *testing.B) {
	for _, upstreams := range []int{24, 120, 3700} {
		b.Run(fmt.Sprint("upstreams=", upstreams), func(b *testing.B) {
			p := &Placer{Instance: "entry-1", FailureDomain: "a"}
			p.SetPeerLoads(start, nil, 500*time.Millisecond)
			list := testUpstreams(upstreams)
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

// Guards against an upstream that gets requests during its pause since its service had none
// for a while.
func TestPauseOutlivesItsIdleState(t *testing.T) {
	p := &Placer{}
	list := testUpstreams(1)
	p.Pause(start, list[0], 2*cachedPartTTL)
	later := start.Add(cachedPartTTL + time.Second)
	p.Prune(later)
	require.Positive(t, p.PauseLeft(later, list))
	p.Prune(start.Add(4 * cachedPartTTL))
	require.Empty(t, p.states)
}

// A request with a maximum backlog must leave an upstream that has cached its prompt for
// one with less prefill queued, and go to the one of least cost if there is none.
func TestMaxBacklogSpreadsPrompts(t *testing.T) {
	p := &Placer{FailureDomain: "a"}
	list := testUpstreams(8)
	r := prompt("contract", 13000, 2000)
	cached := choose(t, p, start, r, list)
	run := p.Start(start, cached, r)
	run.RecordFirstToken(start.Add(300 * time.Millisecond))
	now := start.Add(time.Second)
	loads := map[string]savoryloft.LinkLoad{cached.Upstream.ID: {Upstream: cached.Upstream.ID, Running: 1, Prefill: 9000}}
	p.SetPeerLoads(now, loads, 0)
	r = prompt("contract", 13000, 2000)
	require.Equal(t, cached.Upstream.ID, choose(t, p, now, r, list).Upstream.ID)
	r.MaxBacklog = 100 * time.Millisecond
	require.NotEqual(t, cached.Upstream.ID, choose(t, p, now, r, list).Upstream.ID)
	for _, u := range list {
		loads[u.ID] = savoryloft.LinkLoad{Upstream: u.ID, Running: 1, Prefill: 9000}
	}
	p.SetPeerLoads(now, loads, 0)
	require.Equal(t, cached.Upstream.ID, choose(t, p, now, r, list).Upstream.ID)
}
