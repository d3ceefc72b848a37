package provisioner

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runningRule is the rule that Resize replaced: thresholds for the average of running
// requests.
type runningRule struct {
	average             float64
	observedAt, reduced time.Duration
}

func (r *runningRule) size(now time.Duration, running float64, fleet Fleet, fleetLoad float64) int {
	if r.observedAt == 0 {
		r.reduced, r.observedAt = now, now
	}
	timeConstant := 25 * time.Second
	if running > r.average {
		timeConstant = riseTimeConstant
	}
	r.average += (running - r.average) * (1 - math.Exp(-float64(now-r.observedAt)/float64(timeConstant)))
	r.observedAt = now
	switch perUpstream := r.average / float64(fleet.Target); {
	case perUpstream > fleetLoad:
		return roundUp(int(math.Ceil(max(r.average/fleetLoad, (1+minScaleUpStep)*float64(fleet.Target)))), fleet.Domains)
	case perUpstream < 0.2*fleetLoad && fleet.Target > minPerDomain*fleet.Domains && now-r.reduced > 25*time.Second:
		r.reduced = now
		return fleet.Target - fleet.Domains
	}
	return fleet.Target
}

// loadPattern is a course of the load of a service.
type loadPattern struct {
	name     string
	size     int
	domains  int
	slots    int
	load     func(at time.Duration) ServiceLoad
	lostFrom time.Duration // Time at which the platform reclaims a failure domain, for 20 s; 0 if it does not.

	minEnd, maxEnd int     // Bounds of the size at the end.
	maxCost        float64 // Bound of the upstream-seconds, as a multiple of those under runningRule.
}

// play returns the upstream-seconds and the request-seconds for which there were no
// upstreams within 90 s, and the last size.
func (l loadPattern) play(resize func(now time.Duration, load ServiceLoad, fleet Fleet) int) (cost, unmet float64, size int) {
	const (
		step = 250 * time.Millisecond
		boot = 4 * time.Second
	)
	fleetLoad := (&sizer{slots: l.slots}).scaleUpLoad()
	size, registered := l.size, l.size
	booted := map[time.Duration]int{}
	for at := step; at < 90*time.Second; at += step {
		lost := 0
		if l.lostFrom > 0 && at >= l.lostFrom && at < l.lostFrom+20*time.Second {
			lost = registered / l.domains
		}
		load := l.load(at)
		next := resize(at, load, Fleet{Target: size, Registered: registered - lost, Domains: l.domains, NoCapacity: lost > 0})
		if next > size {
			booted[at+boot] += next - size
		} else {
			registered -= size - next
		}
		size = next
		registered += booted[at]
		cost += float64(registered-lost) * step.Seconds()
		unmet += max(float64(load.Running)-fleetLoad*float64(registered-lost), 0) * step.Seconds()
	}
	return cost, unmet, size
}

func TestSizesByPattern(t *testing.T) {
	const s = time.Second
	running := func(f func(seconds float64) float64) func(time.Duration) ServiceLoad {
		return func(at time.Duration) ServiceLoad { return ServiceLoad{Running: int(f(at.Seconds()))} }
	}
	steady := func(n float64) func(time.Duration) ServiceLoad { return running(func(float64) float64 { return n }) }
	for _, tt := range []loadPattern{
		{"calm, a fleet several times what it needs", 153, 3, 32, steady(200), 0, 102, 138, 0.95},
		{"calm, a small fleet", 24, 4, 64, steady(33), 0, 16, 20, 1},
		{"calm, a fleet that a burst needs", 140, 3, 12, steady(270), 0, 140, 140, 1},
		{"wave out of step between domains", 141, 3, 12, running(func(x float64) float64 {
			n := 0.0
			for d := range 3 {
				n += 100 * (1 + 0.55*math.Sin(2*math.Pi*(x/17+float64(d)/3)))
			}
			return n
		}), 0, 141, 141, 1},
		{"wave in step", 141, 3, 12, running(func(x float64) float64 { return 300 * (1 + 0.55*math.Sin(2*math.Pi*x/17)) }), 0, 141, 141, 1},
		{"short burst", 48, 3, 12, running(func(x float64) float64 {
			if x >= 50 && x < 55 {
				return 270
			}
			return 100
		}), 0, 48, 81, 1.35},
		{"rise", 60, 3, 12, running(func(x float64) float64 { return min(100+10*max(x-30, 0), 500) }), 0, 120, 180, 1.3},
		{"long prompts wait", 60, 3, 12, func(time.Duration) ServiceLoad {
			return ServiceLoad{Running: 100, PrefillTime: 40 * s}
		}, 0, 81, 120, 1.6},
		{"long prompts wait for two seconds", 60, 3, 12, func(at time.Duration) ServiceLoad {
			if at >= 50*s && at < 52*s {
				return ServiceLoad{Running: 100, PrefillTime: 60 * s}
			}
			return ServiceLoad{Running: 100, PrefillTime: 3 * s}
		}, 0, 60, 60, 1},
		{"a domain is reclaimed and requests take longer", 90, 3, 12, running(func(x float64) float64 {
			if x >= 30 && x < 50 {
				return 300
			}
			return 200
		}), 30 * s, 90, 90, 1},
		{"prompts fill the caches", 60, 3, 32, func(time.Duration) ServiceLoad {
			return ServiceLoad{Running: 20, PromptTokens: 12000000}
		}, 0, 60, 60, 1.1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			sz := &sizer{slots: tt.slots, bootTime: 4 * s, memoryTokens: 500000}
			cost, unmet, size := tt.play(func(now time.Duration, load ServiceLoad, fleet Fleet) int {
				sz.observe(now, load)
				return sz.desired(fleet)
			})
			old := &runningRule{average: float64(tt.load(0).Running)}
			oldCost, oldUnmet, oldSize := tt.play(func(now time.Duration, load ServiceLoad, fleet Fleet) int {
				return old.size(now, float64(load.Running), fleet, sz.scaleUpLoad())
			})
			t.Logf("upstream-seconds %.0f, before %.0f; unmet request-seconds %.0f, before %.0f; size at the end %d, before %d", cost, oldCost, unmet, oldUnmet, size, oldSize)
			require.LessOrEqual(t, unmet, oldUnmet)
			require.LessOrEqual(t, cost, tt.maxCost*oldCost)
			require.GreaterOrEqual(t, size, tt.minEnd)
			require.LessOrEqual(t, size, tt.maxEnd)
		})
	}
}

// In doubt the size is kept.
func TestResizeKeepsTheSizeInDoubt(t *testing.T) {
	idle := Forecast{Running: 10, Expected: 10, Peak: 12, Complete: true, FleetLoad: 4.2}
	fleet := Fleet{Target: 60, Registered: 60, Domains: 3, Max: 40}
	require.Equal(t, 54, Resize(idle, fleet, true))
	for _, tt := range []struct {
		name      string
		change    func(f *Forecast, fleet *Fleet)
		reducible bool
	}{
		{"a new holder of the lease", func(f *Forecast, _ *Fleet) { f.Complete = false }, true},
		{"reduced shortly before", func(*Forecast, *Fleet) {}, false},
		{"orders are refused for lack of capacity", func(_ *Forecast, fleet *Fleet) { fleet.NoCapacity = true }, true},
		{"upstreams are missing", func(_ *Forecast, fleet *Fleet) { fleet.Registered = 40 }, true},
		{"upstreams are missing and requests pile up", func(f *Forecast, fleet *Fleet) { fleet.Registered, f.Expected = 40, 400 }, true},
		{"a recent peak", func(f *Forecast, _ *Fleet) { f.Peak = 70 }, true},
		{"a rise", func(f *Forecast, _ *Fleet) { f.Expected = 70 }, true},
		{"prompts in use", func(f *Forecast, _ *Fleet) { f.Memory = 36 }, true},
		{"waiting prompts", func(f *Forecast, _ *Fleet) { f.Backlog = 18 }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f, fleet := idle, fleet
			tt.change(&f, &fleet)
			require.Equal(t, 60, Resize(f, fleet, tt.reducible))
		})
	}
	fleet = Fleet{Target: 150, Registered: 120, Domains: 3, Max: 40}
	require.Equal(t, 135, Resize(idle, fleet, true), "the maximum of the failure domains is registered")

	overload := Forecast{Running: 2000, Expected: 2000, Peak: 2000, Backlog: 500, FleetLoad: 4.2}
	fleet = Fleet{Target: 90, Registered: 90, Domains: 3, Max: 40}
	require.Equal(t, 120, Resize(overload, fleet, true), "more can not be ordered")
	fleet.Target, fleet.Registered = 120, 120
	require.Equal(t, 120, Resize(overload, fleet, true))
}
