package admitter_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/admitter"
)

// policies holds the complete policy, a baseline with every part disabled, and
// the policy with one part disabled at a time.
var policies = []struct {
	name   string
	policy admitter.Policy
}{
	{"whole", admitter.Policy{}},
	{"baseline", admitter.Policy{
		FirstInFirstOut: true, RoundRobin: true, FixedLimits: true, NoPreemption: true,
		NoStragglerEjection: true, NoFairness: true, NoFloors: true, NoReserve: true, EqualShares: true,
	}},
	{"fifo", admitter.Policy{FirstInFirstOut: true}},
	{"round-robin", admitter.Policy{RoundRobin: true}},
	{"fixed-limits", admitter.Policy{FixedLimits: true}},
	{"no-preemption", admitter.Policy{NoPreemption: true}},
	{"no-reserve", admitter.Policy{NoReserve: true}},
	{"no-floors", admitter.Policy{NoFloors: true}},
	{"no-fairness", admitter.Policy{NoFairness: true}},
	{"no-straggler-guard", admitter.Policy{NoStragglerEjection: true}},
	{"equal-shares", admitter.Policy{EqualShares: true}},
}

// BenchmarkPolicies runs each scenario under each policy in virtual time, so its
// metrics do not depend on the speed of the machine.
func BenchmarkPolicies(b *testing.B) {
	for _, s := range scenarios() {
		for _, p := range policies {
			b.Run(s.name+"/"+p.name, func(b *testing.B) {
				var sim *simulation
				for range b.N {
					sim = simulateForBenchmark(s, p.policy)
				}
				b.ReportMetric(100*sim.attainment("counter"), "%tier0")
				b.ReportMetric(100*sim.attainment("quotes"), "%tier1")
				b.ReportMetric(100*sim.attainment("reviews"), "%tier3")
				b.ReportMetric(100*sim.wastedShare(), "%wasted")
				b.ReportMetric(sim.worstAccountShare(), "worst-account")
				b.ReportMetric(100*sim.worstAccountAttainment(), "%worst-small")
				b.ReportMetric(float64(sim.priorityInversions), "breaches")
				b.ReportMetric(float64(len(sim.stalled())), "stalled")
				b.ReportMetric(sim.goodput(), "goodput-tok/s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func simulateForBenchmark(s scenario, policy admitter.Policy) *simulation {
	var sim *simulation
	// synctest.Test needs a *testing.T, which a benchmark does not have.
	testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: "bubble",
		F: func(t *testing.T) {
			synctest.Test(t, func(*testing.T) {
				sim = newSimulation(s, policy, 1)
				sim.run()
			})
		},
	}})
	return sim
}

// BenchmarkAdmit measures admission without queueing, the minimum cost of a
// request.
func BenchmarkAdmit(b *testing.B) {
	for _, upstreams := range []int{24, 240, 3700} {
		b.Run(fmt.Sprint("upstreams=", upstreams), func(b *testing.B) {
			a := newAdmitter(upstreams)
			class := &savoryloft.Class{Name: "c", Tier: 0, FirstToken: ms(390)}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					g, err := a.Admit(context.Background(), &admitter.Request{Pool: "chat", Class: class, Account: "a", Weight: 1, Prefix: 5})
					if err != nil {
						b.Error(err)
						return
					}
					g.Done(admitter.Observation{FirstToken: 1e8, BetweenTokens: 3e7, Tokens: 50})
				}
			})
		})
	}
}

// BenchmarkShare measures the update of all shares from one set of digests.
func BenchmarkShare(b *testing.B) {
	for _, n := range []struct{ members, upstreams int }{{8, 24}, {80, 240}, {46, 218}, {780, 3700}} {
		b.Run(fmt.Sprintf("members=%d,upstreams=%d", n.members, n.upstreams), func(b *testing.B) {
			a := newAdmitter(n.upstreams)
			var members []admitter.Member
			for i := range n.members {
				members = append(members, admitter.Member{
					Name: fmt.Sprint("entry-", i),
					Demands: map[string]savoryloft.PoolDemand{"chat": {
						Pool: "chat", Waiting: []int{0, 1, 2, 3}, Running: []int{4, 3, 2, 1}, Expected: []int{5, 5, 5, 5},
					}},
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				a.UpdateShares(members)
			}
		})
	}
}

func newAdmitter(upstreams int) *admitter.Admitter {
	a := &admitter.Admitter{Instance: "entry-0", FailureDomain: "d0"}
	var configs []admitter.UpstreamConfig
	for i := range upstreams {
		configs = append(configs, admitter.UpstreamConfig{Name: fmt.Sprint("u", i), Pool: "chat", FailureDomain: fmt.Sprint("d", i%4), Slots: 64})
	}
	a.Update(map[string]savoryloft.Pool{"chat": {Name: "chat"}}, nil, configs)
	return a
}

// Admission without queueing must not allocate more for more upstreams.
func TestAdmissionAllocationsDoNotGrow(t *testing.T) {
	allocationsPerRequest := func(upstreams int) float64 {
		a := newAdmitter(upstreams)
		class := &savoryloft.Class{Name: "c", Tier: 0, FirstToken: ms(390)}
		return testing.AllocsPerRun(200, func() {
			g, _ := a.Admit(context.Background(), &admitter.Request{Pool: "chat", Class: class, Account: "a", Weight: 1, Prefix: 5})
			g.Done(admitter.Observation{FirstToken: 1e8, Tokens: 50})
		})
	}
	few, many := allocationsPerRequest(24), allocationsPerRequest(3700)
	if few != many {
		t.Fatalf("%v allocations per request with 24 upstreams, %v with 3700", few, many)
	}
	const maxAllocations = 8
	if few > maxAllocations {
		t.Fatalf("%v allocations per request, want at most %d", few, maxAllocations)
	}
}
