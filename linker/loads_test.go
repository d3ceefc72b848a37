package linker

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
)

// Random loads, with upstreams that come and go and restarts of the numbering, must
// arrive as they were sent, once all changes have been sent.
func TestLoadsSurviveEncoding(t *testing.T) {
	for _, tt := range []struct {
		name      string
		upstreams int
	}{
		{"one frame holds all changes", 100},
		{"changes exceed a frame", 4 * maxChangedLoads},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			var encoder loadEncoder
			var decoder loadDecoder
			received := map[string]savoryloft.LinkLoad{}
			for round := range 60 {
				loads := loadSums{}
				for range rng.IntN(tt.upstreams) {
					loads.add(savoryloft.LinkLoad{
						Upstream: fmt.Sprint("u", rng.IntN(tt.upstreams)), Running: rng.IntN(3),
						Prefill: prefillStep * rng.IntN(5), Tokens: tokensStep * rng.IntN(5),
					})
				}
				if round%7 == 0 {
					encoder.reset()
					decoder.names = nil
					clear(received)
				}
				for {
					c := encoder.changes(loads, maxChangedLoads)
					if c == nil {
						break
					}
					require.NoError(t, c.Check())
					require.LessOrEqual(t, len(c.Values), valuesPerLoad*maxChangedLoads)
					for _, load := range decoder.decode(c) {
						if isZero(load) {
							delete(received, load.Upstream)
						} else {
							received[load.Upstream] = load
						}
					}
				}
				require.Equal(t, loads, loadSums(received))
			}
		})
	}
}

// The sums over all links are updated with each frame. They must equal sums that
// are computed anew, whatever frames, roles and ends of links come in between.
func TestLoadSumsFollowTheLinks(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	l := &Linker{Instance: "hub", Logger: logr.Discard(), Source: &fakeSource{}}
	l.init()
	newLink := func(name string) *link {
		k := &link{linker: l, peer: savoryloft.LinkGreeting{Instance: name}, loads: map[string]savoryloft.LinkLoad{}}
		if old := l.links[name]; old != nil {
			old.dropLoads()
		}
		l.links[name] = k
		return k
	}
	var links []*link
	for range 3000 {
		switch k := rng.IntN(10); {
		case k == 0 || len(links) == 0:
			links = append(links, newLink(fmt.Sprint("peer-", rng.IntN(5))))
		case k == 1:
			links[rng.IntN(len(links))].setChild(rng.IntN(2) == 0)
		case k == 2:
			l.removeLink(links[rng.IntN(len(links))], nil)
		default:
			links[rng.IntN(len(links))].applyLoads([]savoryloft.LinkLoad{{
				Upstream: fmt.Sprint("u", rng.IntN(4)), Running: rng.IntN(3), Prefill: 100 * rng.IntN(3), Tokens: 1000 * rng.IntN(3),
			}}, rng.IntN(6) == 0)
		}
		total, children := loadSums{}, loadSums{}
		for _, k := range l.links {
			for _, load := range k.loads {
				total.add(load)
				if k.child {
					children.add(load)
				}
			}
		}
		require.Equal(t, total, l.totalLoads)
		require.Equal(t, children, l.childLoads)
	}
}

// Speeds must arrive as they were sent, also when the numbering starts anew, and each
// instance must learn of them once however they travel.
func TestSpeedsSurviveEncoding(t *testing.T) {
	var encoder speedEncoder
	var decoder speedDecoder
	restarts := 0
	for round := range 3 * maxNumberedSpeeds / maxSpeedsPerFrame {
		sums := speedSums{}
		for i := range 2 * maxSpeedsPerFrame {
			sums.add(savoryloft.UpstreamSpeed{Upstream: fmt.Sprint("u", round*16+i), PromptTokens: promptTokensStep * i, PrefillMs: i, StreamTokens: 1, StreamMs: 2})
		}
		for len(sums) > 0 {
			sent := sums.take(maxSpeedsPerFrame)
			c := encoder.encode(sent)
			require.NoError(t, c.Check())
			if c.Restart {
				restarts++
			}
			require.Equal(t, sent, decoder.decode(c))
		}
	}
	require.Nil(t, encoder.encode(nil))
	require.Greater(t, restarts, 1)
	require.Empty(t, (&speedDecoder{}).decode(&savoryloft.SpeedChanges{Values: []int{3, 1, 1, 1, 1}}), "no name")
	for _, c := range []savoryloft.SpeedChanges{{Names: []string{""}}, {Values: []int{1}}, {Values: []int{0, 1, 1, 1, -1}}} {
		require.Error(t, savoryloft.LinkFrame{Speeds: &c}.Check())
	}
}
