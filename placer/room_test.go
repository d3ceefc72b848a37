package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
)

// A request goes elsewhere, also from the upstream that has cached its prompt, if it would
// make the upstream preempt others.
func TestRequestsGoWhereThereIsRoom(t *testing.T) {
	for _, tt := range []struct {
		name          string
		held, other   int // Tokens that the running requests of the holder, and of the other upstream, need.
		outputTokens  int
		wantsCached   bool
		sharedRunning bool // A request with the same shared part runs on the holder.
	}{
		{"room for all", 300_000, 0, 100, true, false},
		{"no room for the prompt", 485_000, 0, 100, false, false},
		{"no room for the output", 478_000, 0, 8000, false, false},
		{"the shared part is held already", 475_000, 0, 100, true, true},
		{"no room anywhere, more of it at the holder", 520_000, 900_000, 100, true, false},
		{"no room anywhere, more of it elsewhere", 900_000, 520_000, 100, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := &Placer{FailureDomain: "a"}
			list := testUpstreams(2)
			hold(p, list[0], "contract")
			r := prompt("contract", documentTokens, ownTokens)
			r.OutputTokens = tt.outputTokens
			load := func(u savoryloft.RegisteredUpstream, tokens int) savoryloft.LinkLoad {
				return savoryloft.LinkLoad{Upstream: u.ID, Running: 1, Tokens: tokens}
			}
			if tt.sharedRunning {
				run := p.Start(start, Choice{Upstream: list[0]}, prompt("contract", documentTokens, 100))
				run.RecordFirstToken(start)
				tt.held -= documentTokens
			}
			p.SetPeerLoads(start, map[string]savoryloft.LinkLoad{list[0].ID: load(list[0], tt.held), list[1].ID: load(list[1], tt.other)}, 0)
			require.Equal(t, tt.wantsCached, choose(t, p, start, r, list).Upstream.ID == list[0].ID)
		})
	}
}

// The shared part of several running requests takes its memory once, until the last of them
// has ended.
func TestSharedPartsOfRunningRequestsCountOnce(t *testing.T) {
	const requests = 10
	p := &Placer{FailureDomain: "a"}
	list := testUpstreams(1)
	var runs []*Run
	for range requests {
		r := prompt("contract", documentTokens, ownTokens)
		runs = append(runs, p.Start(start, choose(t, p, start, r, list), r))
	}
	s := p.states[list[0].ID]
	for n, run := range runs {
		left := requests - n
		require.Equal(t, documentTokens+left*(ownTokens+100), s.kvTokens)
		run.End(start, Succeeded)
		run.End(start, Succeeded)
	}
	require.Zero(t, s.kvTokens)
	require.Zero(t, s.outputTokens)
	require.Empty(t, s.heldParts)
}

// What is assumed to be cached yields to running requests, least recently used parts first;
// parts of running requests stay.
func TestRecordedPartsYieldToRunningRequests(t *testing.T) {
	const documents = 40
	for _, tt := range []struct {
		name        string
		peerTokens  int
		outputs     int // Expected output of each request.
		least, most int // Documents that are recorded in the end.
	}{
		{"nothing else runs", 0, 100, 16, 17},
		{"requests of other instances", 400_000, 100, 13, 13},
		{"long outputs", 0, 200_000, 9, 10},
		{"more output than memory", 0, 2_000_000, 1, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := &Placer{FailureDomain: "a"}
			list := testUpstreams(1)
			p.SetPeerLoads(start, map[string]savoryloft.LinkLoad{list[0].ID: {Upstream: list[0].ID, Running: 1, Tokens: tt.peerTokens}}, 0)
			hot := prompt("hot", documentTokens, 100)
			p.Start(start, choose(t, p, start, hot, list), hot)
			for i := range documents {
				now := start.Add(time.Duration(i) * 100 * time.Millisecond)
				r := prompt(fmt.Sprint("document-", i), documentTokens, ownTokens)
				r.OutputTokens = tt.outputs
				p.Start(now, choose(t, p, now, r, list), r).End(now, Succeeded)
			}
			s := p.states[list[0].ID]
			require.Contains(t, s.cachedParts, "hot")
			require.Contains(t, s.cachedParts, fmt.Sprint("document-", documents-1))
			recorded := 0
			for i := range documents {
				if _, ok := s.cachedParts[fmt.Sprint("document-", i)]; ok {
					recorded++
				}
			}
			require.GreaterOrEqual(t, recorded, tt.least)
			require.LessOrEqual(t, recorded, tt.most)
		})
	}
}
