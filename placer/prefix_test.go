package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
)

const (
	documentTokens = 13300
	ownTokens      = 3720
)

// linkedPrompt is a prompt for engines that transfer 850 tokens per ms to each other.
func linkedPrompt(shared string) Request {
	r := prompt(shared, documentTokens, ownTokens)
	r.Engine.TokenBytes, r.Engine.LinkRate = 163840, 1100e9/8
	r.Streaming = true
	return r
}

func linkedUpstreams(n, domains int) []savoryloft.RegisteredUpstream {
	list := testUpstreams(n)
	for i := range list {
		list[i].Address = fmt.Sprintf("192.0.2.%d:80", i)
		list[i].FailureDomain = string(rune('a' + i%domains))
	}
	return list
}

// hold records that an upstream has cached the shared part of a prompt.
func hold(p *Placer, u savoryloft.RegisteredUpstream, part string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(start, u).cachePart(start, savoryloft.PromptPart{ID: part, Tokens: documentTokens})
}

// What one upstream holds is fetched by another one that has to take the request, if that
// clearly saves time.
func TestPromptPartsAreFetchedIfThatSavesTime(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(p *Placer, source *savoryloft.RegisteredUpstream, r *Request)
		want   int // Tokens that are fetched.
	}{
		{"a source that leaves", func(*Placer, *savoryloft.RegisteredUpstream, *Request) {}, documentTokens},
		{"an overloaded source", func(p *Placer, u *savoryloft.RegisteredUpstream, _ *Request) {
			u.Draining = false
			p.SetPeerLoads(start, map[string]savoryloft.LinkLoad{u.ID: {Upstream: u.ID, Running: 30, Prefill: 60000}}, 0)
		}, documentTokens},
		{"a source that can take the request", func(_ *Placer, u *savoryloft.RegisteredUpstream, _ *Request) { u.Draining = false }, 0},
		{"an overloaded source, a delay that does not matter", func(p *Placer, u *savoryloft.RegisteredUpstream, r *Request) {
			u.Draining, r.Objective = false, time.Minute
			p.SetPeerLoads(start, map[string]savoryloft.LinkLoad{u.ID: {Upstream: u.ID, Running: 30, Prefill: 60000}}, 0)
		}, 0},
		{"an overloaded source, a delay that matters to the streams that run", func(p *Placer, u *savoryloft.RegisteredUpstream, r *Request) {
			u.Draining, r.Objective = false, time.Minute
			p.SetPeerLoads(start, map[string]savoryloft.LinkLoad{
				u.ID: {Upstream: u.ID, Running: 30, Prefill: 60000}, "engine-1": {Upstream: "engine-1", Running: busyStreams}, "engine-2": {Upstream: "engine-2", Running: busyStreams},
			}, 0)
		}, documentTokens},
		{"a source that leaves, a delay that does not matter", func(_ *Placer, _ *savoryloft.RegisteredUpstream, r *Request) { r.Objective = time.Minute }, documentTokens},
		{"engines without a link", func(_ *Placer, _ *savoryloft.RegisteredUpstream, r *Request) { r.Engine.LinkRate = 0 }, 0},
		{"tokens of unknown size", func(_ *Placer, _ *savoryloft.RegisteredUpstream, r *Request) { r.Engine.TokenBytes = 0 }, 0},
		{"a link that is as slow as reading", func(_ *Placer, _ *savoryloft.RegisteredUpstream, r *Request) {
			r.Engine.LinkRate = initialPrefillRate * 1000 * float64(r.Engine.TokenBytes)
		}, 0},
		{"a link that saves half of the time", func(_ *Placer, _ *savoryloft.RegisteredUpstream, r *Request) {
			r.Engine.LinkRate = 2 * initialPrefillRate * 1000 * float64(r.Engine.TokenBytes)
		}, 0},
		{"a link of 740 Gbit/s and 131 KB a token", func(_ *Placer, _ *savoryloft.RegisteredUpstream, r *Request) {
			r.Engine.LinkRate, r.Engine.TokenBytes = 740e9/8, 131072
		}, documentTokens},
		{"a source with many transfers", func(p *Placer, u *savoryloft.RegisteredUpstream, _ *Request) {
			p.states[u.ID].transfersUntil = start.Add(200 * time.Millisecond)
		}, 0},
		{"a request that must not fetch", func(_ *Placer, _ *savoryloft.RegisteredUpstream, r *Request) { r.NoFetch = true }, 0},
		{"a source that has failed the request", func(_ *Placer, u *savoryloft.RegisteredUpstream, r *Request) { r.Exclude = map[string]bool{u.ID: true} }, 0},
		{"a paused source", func(p *Placer, u *savoryloft.RegisteredUpstream, _ *Request) { p.Pause(start, *u, time.Second) }, 0},
		{"a suspended source", func(p *Placer, u *savoryloft.RegisteredUpstream, _ *Request) {
			p.states[u.ID].failureScore, p.states[u.ID].failureScoreAt = 2*suspendThreshold, start
		}, 0},
		{"a source from which a fetch has failed", func(p *Placer, u *savoryloft.RegisteredUpstream, _ *Request) {
			p.states[u.ID].fetchPausedUntil = start.Add(time.Second)
		}, 0},
		{"a cold source", func(_ *Placer, u *savoryloft.RegisteredUpstream, _ *Request) { u.WarmUp = time.Second }, 0},
		{"a source with another version", func(_ *Placer, u *savoryloft.RegisteredUpstream, _ *Request) { u.Version = "2" }, 0},
		{"a source that has started again", func(_ *Placer, u *savoryloft.RegisteredUpstream, _ *Request) { u.StartedAtMs = 7 }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := &Placer{FailureDomain: "a"}
			list := linkedUpstreams(3, 1)
			hold(p, list[0], "contract")
			r := linkedPrompt("contract")
			list[0].Draining = true
			tt.change(p, &list[0], &r)
			c := choose(t, p, start, r, list)
			require.Equal(t, tt.want, c.FetchedTokens)
			if tt.want == 0 {
				require.Empty(t, c.FetchFrom)
				return
			}
			require.Equal(t, list[0].Address, c.FetchFrom)
			require.Equal(t, ownTokens, c.UncachedTokens)
			p.Start(start, c, r)
			require.Equal(t, ownTokens, p.states[c.Upstream.ID].prefillTokens)
		})
	}
}

// A failure domain is reclaimed while long prompts arrive: each document is read again at
// most once, since it is fetched from an upstream that leaves or from one that has fetched
// it, and the transfers of a source stay short.
func TestReclaimedPromptPartsAreFetched(t *testing.T) {
	const documents, rounds = 30, 6
	p := &Placer{FailureDomain: "a"}
	list := linkedUpstreams(24, 3)
	for i := range documents {
		hold(p, list[i%len(list)], fmt.Sprint("document-", i))
	}
	for i := range list {
		list[i].Draining = list[i].FailureDomain == "a"
	}
	now, read, fetched := start, 0, 0
	longest := time.Duration(0)
	for n := range documents * rounds {
		now = now.Add(2 * time.Millisecond)
		r := linkedPrompt(fmt.Sprint("document-", n%documents))
		c := choose(t, p, now, r, list)
		p.Start(now, c, r)
		read += max(c.UncachedTokens-ownTokens, 0)
		fetched += c.FetchedTokens
		longest = max(longest, c.FetchTime)
	}
	require.Zero(t, read, "shared tokens that were read again")
	require.GreaterOrEqual(t, fetched, documents/3*documentTokens)
	require.Less(t, longest, 120*time.Millisecond)
}

// Requests for one document at the same time spread over upstreams that fetch it, from
// several sources.
func TestHotPromptPartSpreadsByFetches(t *testing.T) {
	p := &Placer{FailureDomain: "a"}
	list := linkedUpstreams(8, 1)
	hold(p, list[0], "hot")
	used, sources, read := map[string]int{}, map[string]bool{}, 0
	for i := range 48 {
		now := start.Add(time.Duration(i) * 5 * time.Millisecond)
		r := linkedPrompt("hot")
		c := choose(t, p, now, r, list)
		p.Start(now, c, r)
		used[c.Upstream.ID]++
		read += max(c.UncachedTokens-ownTokens, 0)
		sources[c.FetchSource] = true
	}
	require.Zero(t, read)
	require.Greater(t, len(used), 4)
	for id, n := range used {
		require.Less(t, n, 20, id)
	}
	require.Greater(t, len(sources), 1)
}

// Added upstreams, which have cached nothing, take requests with documents of the others.
func TestAddedUpstreamsFetchPromptParts(t *testing.T) {
	p := &Placer{FailureDomain: "a"}
	list := linkedUpstreams(8, 1)
	loads := map[string]savoryloft.LinkLoad{}
	for i, u := range list[:4] {
		hold(p, u, fmt.Sprint("document-", i))
		loads[u.ID] = savoryloft.LinkLoad{Upstream: u.ID, Running: 20, Prefill: 20000}
	}
	p.SetPeerLoads(start, loads, 0)
	for i := range 4 {
		r := linkedPrompt(fmt.Sprint("document-", i))
		c := choose(t, p, start, r, list)
		require.Zero(t, loads[c.Upstream.ID].Running)
		require.Equal(t, list[i].Address, c.FetchFrom)
		p.Start(start, c, r)
	}
}

// If the documents of the accounts do not all fit into the memory of the upstreams, those
// that are asked for often stay.
func TestRarePromptPartsYieldToFrequentOnes(t *testing.T) {
	const rounds, rare = 60, 60 // Each rare document is asked for twice.
	p := &Placer{FailureDomain: "a"}
	list := linkedUpstreams(2, 1)
	frequentRead, rareRead := 0, 0
	for n := range rounds {
		for i, name := range []string{"frequent", fmt.Sprint("rare-", 2*n%rare), fmt.Sprint("rare-", (2*n+1)%rare)} {
			now := start.Add(time.Duration(3*n+i) * 300 * time.Millisecond)
			r := linkedPrompt(name)
			c := choose(t, p, now, r, list)
			run := p.Start(now, c, r)
			run.RecordFirstToken(now.Add(100 * time.Millisecond))
			run.End(now.Add(250*time.Millisecond), Succeeded)
			switch {
			case c.UncachedTokens == ownTokens:
			case i == 0:
				frequentRead++
			default:
				rareRead++
			}
		}
	}
	require.Equal(t, 1, frequentRead)
	require.Greater(t, rareRead, rare)
	for _, s := range p.states {
		require.LessOrEqual(t, s.cachedTokens, 300_000)
	}
}

// A part is fetched to an upstream with free memory rather than to one at which others would
// yield to it.
func TestPromptPartsAreFetchedToFreeMemory(t *testing.T) {
	p := &Placer{FailureDomain: "a"}
	list := linkedUpstreams(6, 1)
	hold(p, list[0], "contract")
	list[0].Draining = true
	for _, u := range list[1:5] {
		for i := range 22 {
			hold(p, u, fmt.Sprint(u.ID, "-", i))
		}
	}
	c := choose(t, p, start, linkedPrompt("contract"), list)
	require.Equal(t, list[5].ID, c.Upstream.ID)
	require.Equal(t, list[0].Address, c.FetchFrom)
}

// A request whose source has lost the part, or fails, corrects what is known of the source;
// the upstream that should have fetched is blamed no more than without a fetch.
func TestFailedFetchesCorrectTheSource(t *testing.T) {
	const fetchTakes, readingTakes = 90 * time.Millisecond, 290 * time.Millisecond
	for _, tt := range []struct {
		name         string
		end          func(run *Run) (missed bool)
		missed, held bool
		paused       bool
	}{
		{"fetched", func(run *Run) bool { return run.RecordFirstToken(start.Add(fetchTakes)) }, false, true, false},
		{"the source has lost it", func(run *Run) bool { return run.RecordFirstToken(start.Add(readingTakes)) }, true, false, false},
		{"the attempt has failed", func(run *Run) bool { run.End(start.Add(time.Second), Failed); return false }, false, true, true},
		{"the deadline has passed", func(run *Run) bool { run.End(start.Add(5*time.Second), Cancelled); return false }, false, true, true},
		{"the client has left", func(run *Run) bool { run.End(start.Add(fetchTakes), Cancelled); return false }, false, true, false},
		{"the upstream has refused", func(run *Run) bool { run.End(start.Add(fetchTakes), Refused); return false }, false, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := &Placer{FailureDomain: "a"}
			list := linkedUpstreams(2, 1)
			hold(p, list[0], "contract")
			list[0].Draining = true
			r := linkedPrompt("contract")
			c := choose(t, p, start, r, list)
			require.Equal(t, documentTokens, c.FetchedTokens)
			run := p.Start(start, c, r)
			rate := p.states["engine-1"].prefillRate
			require.Equal(t, tt.missed, tt.end(run))
			source := p.states["engine-0"]
			_, held := source.cachedParts["contract"]
			require.Equal(t, tt.held, held)
			require.Equal(t, tt.paused, source.fetchPausedUntil.After(start))
			require.Zero(t, source.failureScore)
			require.LessOrEqual(t, p.states["engine-1"].failureScore, 1.0)
			require.InDelta(t, rate, p.states["engine-1"].prefillRate, 3, "fetched tokens do not distort the rate")
		})
	}
}

// BenchmarkChooseWithSources measures the choice if every upstream has cached the shared
// part, so that all are weighed as sources.
func BenchmarkChooseWithSources(b *testing.B) {
	p := &Placer{Instance: "entry-1", FailureDomain: "a"}
	p.SetPeerLoads(start, nil, 500*time.Millisecond)
	list := linkedUpstreams(140, 3)
	for _, u := range list {
		hold(p, u, "contract")
	}
	r := linkedPrompt("contract")
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := p.Choose(start, r, list); !ok {
			b.Fatal("no choice")
		}
	}
}
