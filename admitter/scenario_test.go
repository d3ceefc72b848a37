package admitter_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/admitter"
)

// mixed returns flows of a given total load on the chat pool: rates in requests
// a second for the four classes, spread over ten client accounts.
func mixed(counter, quotes, summaries, reviews float64) []flow {
	var list []flow
	add := func(class string, rate float64, tokens int) {
		for i := range 10 {
			part := 0.05 // Eight small accounts and two large ones.
			if i < 2 {
				part = 0.3
			}
			list = append(list, flow{class: class, account: fmt.Sprint("account-", i), weight: 1, rate: rate * part, tokens: tokens})
		}
	}
	add("counter", counter, 40)
	add("quotes", quotes, 60)
	add("summaries", summaries, 80)
	add("reviews", reviews, 120)
	return list
}

func during(flows []flow, class string, from, to time.Duration, factor float64) []flow {
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

// scenarios are those of the users' sizes: 20 and 10 model runners, 8 entry
// instances, four failure domains.
func scenarios() []scenario {
	const length = time.Minute
	list := []scenario{
		{name: "tsagaan-deel", engines: 20, flows: mixed(25, 20, 12, 14)},
		{name: "boleta-rapida", engines: 10, flows: mixed(12, 10, 6, 7)},
		{name: "class-burst", engines: 20, flows: during(mixed(20, 20, 12, 8), "quotes", 20*time.Second, 40*time.Second, 3)},
		{name: "hot-afternoon", engines: 20, flows: mixed(20, 15, 10, 10), during: func(w *world) {
			for step := range 10 {
				time.Sleep(3 * time.Second)
				for _, e := range w.engines {
					e.set(1-0.05*float64(step+1), 1)
				}
			}
		}},
		{name: "domain-reclaimed", engines: 20, flows: mixed(20, 15, 10, 12), during: func(w *world) {
			time.Sleep(20 * time.Second)
			w.update(func(e *fakeEngine) bool { return e.cheap })
			time.Sleep(3 * time.Second)
			for _, e := range w.engines {
				if e.cheap {
					close(e.gone)
				}
			}
			time.Sleep(time.Second)
			w.update(nil)
		}},
		{name: "stragglers", engines: 20, flows: mixed(20, 15, 10, 10), during: func(w *world) {
			time.Sleep(15 * time.Second)
			for _, e := range w.engines[:3] {
				e.set(1, 10)
			}
		}},
		{name: "account-flood", engines: 20, flows: flood(mixed(18, 18, 11, 11), 10)},
		{name: "one-instance-gets-all", engines: 20, flows: mixed(15, 12, 8, 8), crowded: true},
	}
	for i := range list {
		list[i].instances, list[i].length = 8, length
	}
	return list
}

// flood makes the third account send a multiple of its usual load.
func flood(flows []flow, factor float64) []flow {
	for i := range flows {
		if flows[i].account == "account-2" {
			flows[i].rate *= factor
		}
	}
	return flows
}

func simulate(t *testing.T, s scenario, policy admitter.Policy) *world {
	var w *world
	synctest.Test(t, func(*testing.T) {
		w = newWorld(s, policy, 1)
		w.run()
	})
	return w
}

const (
	topTierBound = 0.95 // Part of the top tier inside its targets.
	accountBound = 0.8  // Least part of its fair share that an account gets.
	wasteBound   = 0.02 // Most tokens generated for nothing.
)

func TestScenariosKeepTheBounds(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			w := simulate(t, s, admitter.Policy{})
			w.log(t)
			require.GreaterOrEqual(t, w.attainment("counter"), topTierBound, "top tier inside its targets")
			require.Zero(t, w.breaches, "refusals of a higher tier while a lower one could yield")
			require.Empty(t, w.stalled(), "classes without progress")
			require.GreaterOrEqual(t, w.worstAccount(), accountBound, "worst-served client account")
			require.Less(t, w.wastedShare(), wasteBound, "wasted tokens")
		})
	}
}

func (w *world) log(t *testing.T) {
	for _, c := range []string{"counter", "quotes", "summaries", "reviews"} {
		r := w.results[c]
		t.Logf("%-10s offered %5d answered %5d on target %5.1f%% refused %5d preempted %4d",
			c, r.offered, r.answered, 100*w.attainment(c), r.refused, r.preempted)
	}
	var waiter, relief int64
	for _, a := range w.instances {
		x, y := a.Pool("chat").Preempted()
		waiter, relief = waiter+x, relief+y
	}
	t.Logf("preempted for a waiter %d, for relief %d", waiter, relief)
	t.Logf("worst account %.2f of its fair share, wasted %.2f%%, %d breaches, stalled %v",
		w.worstAccount(), 100*w.wastedShare(), w.breaches, w.stalled())
}
