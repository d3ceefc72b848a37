package admitter_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/admitter"
)

// mixedLoad returns the flows of four classes with the given rates in requests
// per second, spread over ten client accounts.
func mixedLoad(counter, quotes, summaries, reviews float64) []flow {
	var list []flow
	add := func(class string, rate float64, tokens int) {
		for i := range 10 {
			fraction := 0.05 // Two accounts send 30% each, the other eight 5% each.
			if i < 2 {
				fraction = 0.3
			}
			list = append(list, flow{class: class, account: fmt.Sprint("account-", i), weight: 1, rate: rate * fraction, tokens: tokens})
		}
	}
	add("counter", counter, 40)
	add("quotes", quotes, 60)
	add("summaries", summaries, 80)
	add("reviews", reviews, 120)
	return list
}

// withBurst multiplies the rate of a class by a factor between two times.
func withBurst(flows []flow, class string, from, to time.Duration, factor float64) []flow {
	for i := range flows {
		if flows[i].class == class {
			flows[i].burst = func(at time.Duration) float64 {
				if at >= from && at < to {
					return factor
				}
				return 1
			}
		}
	}
	return flows
}

// scenarios returns the simulated scenarios. Their sizes are those of two users'
// deployments: 20 or 10 engines and 8 entry instances in four failure domains.
func scenarios() []scenario {
	const duration = time.Minute
	list := []scenario{
		{name: "tsagaan-deel", engines: 20, flows: mixedLoad(25, 20, 12, 14)},
		{name: "boleta-rapida", engines: 10, flows: mixedLoad(12, 10, 6, 7)},
		{name: "class-burst", engines: 20, flows: withBurst(mixedLoad(20, 20, 12, 8), "quotes", 20*time.Second, 40*time.Second, 3)},
		{name: "hot-afternoon", engines: 20, flows: mixedLoad(20, 15, 10, 10), inject: func(sim *simulation) {
			for step := range 10 {
				time.Sleep(3 * time.Second)
				for _, e := range sim.engines {
					e.setCondition(1-0.05*float64(step+1), 1)
				}
			}
		}},
		{name: "domain-reclaimed", engines: 20, flows: mixedLoad(20, 15, 10, 12), inject: func(sim *simulation) {
			time.Sleep(20 * time.Second)
			sim.updateUpstreams(func(e *fakeEngine) bool { return e.reclaimable })
			time.Sleep(3 * time.Second)
			for _, e := range sim.engines {
				if e.reclaimable {
					close(e.terminated)
				}
			}
			time.Sleep(time.Second)
			sim.updateUpstreams(nil)
		}},
		{name: "stragglers", engines: 20, flows: mixedLoad(20, 15, 10, 10), inject: func(sim *simulation) {
			time.Sleep(15 * time.Second)
			for _, e := range sim.engines[:3] {
				e.setCondition(1, 10)
			}
		}},
		{name: "account-flood", engines: 20, flows: withFlood(mixedLoad(18, 18, 11, 11), 10)},
		{name: "one-instance-gets-all", engines: 20, flows: mixedLoad(15, 12, 8, 8), singleInstance: true},
	}
	for i := range list {
		list[i].instances, list[i].duration = 8, duration
	}
	return list
}

// withFlood multiplies the load of the third account by a factor.
func withFlood(flows []flow, factor float64) []flow {
	for i := range flows {
		if flows[i].account == "account-2" {
			flows[i].rate *= factor
		}
	}
	return flows
}

func simulate(t *testing.T, s scenario, policy admitter.Policy) *simulation {
	var sim *simulation
	synctest.Test(t, func(*testing.T) {
		sim = newSimulation(s, policy, 1)
		sim.run()
	})
	return sim
}

const (
	minTopTierAttainment = 0.95 // Part of the requests of the top tier that meet their targets.
	minAccountShare      = 0.8  // Part of its fair share that each account gets.
	maxWastedShare       = 0.02 // Part of all tokens that are processed again or discarded.
)

func TestScenarios(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			sim := simulate(t, s, admitter.Policy{})
			sim.log(t)
			require.GreaterOrEqual(t, sim.attainment("counter"), minTopTierAttainment, "attainment of the top tier")
			require.Zero(t, sim.priorityInversions, "requests refused while a lower tier could have yielded a slot")
			require.Empty(t, sim.stalled(), "classes without progress for an interval")
			require.GreaterOrEqual(t, sim.worstAccountShare(), minAccountShare, "lowest part of its fair share that an account got")
			require.Less(t, sim.wastedShare(), maxWastedShare, "part of the tokens wasted")
		})
	}
}

func (sim *simulation) log(t *testing.T) {
	for _, c := range []string{"counter", "quotes", "summaries", "reviews"} {
		r := sim.results[c]
		t.Logf("%-10s offered %5d answered %5d on target %5.1f%% refused %5d preempted %4d",
			c, r.offered, r.answered, 100*sim.attainment(c), r.refused, r.preempted)
	}
	var waiter, overload int64
	for _, a := range sim.instances {
		x, y := a.Pool("chat").Preempted()
		waiter, overload = waiter+x, overload+y
	}
	t.Logf("preempted for queued requests %d, on overloaded upstreams %d", waiter, overload)
	t.Logf("worst account %.2f of its fair share, wasted tokens %.2f%%, priority inversions %d, stalled %v",
		sim.worstAccountShare(), 100*sim.wastedShare(), sim.priorityInversions, sim.stalled())
}
