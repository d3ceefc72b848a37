package relayer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/placer"
	"savoryloft.example/savoryloft/router"
	"savoryloft.example/savoryloft/tracker"
)

// rankedTable returns a configuration with three routes to one service, the most urgent of
// which has the shortest objective, and an account for each key: "plain", or "rank-N" for one
// with a rank of its own.
func rankedTable(keys ...string) *router.Table {
	c := savoryloft.Configuration{Version: 1, Services: []savoryloft.UpstreamService{{Name: "s", MaxConnections: 100, Engine: &savoryloft.EngineTraits{Slots: 12}}}}
	for rank, objective := range []time.Duration{250 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		c.Routes = append(c.Routes, savoryloft.PathRoute{
			Name: fmt.Sprint("route-", rank), Host: "h.example", Prefix: fmt.Sprintf("/%d/", rank), Rank: rank, Objective: objective,
			EventIntervalObjective: objective / 2, Kind: savoryloft.StreamingCall, Resumable: true, MaxAttempts: 2,
			Shares: []savoryloft.ServiceShare{{Service: "s", Weight: 1}},
		})
	}
	for _, key := range keys {
		a := savoryloft.KeyedAccount{Name: key, Keys: []string{key}}
		_, err := fmt.Sscanf(key, "rank-%d", &a.Rank)
		a.HasRank = err == nil
		c.Accounts = append(c.Accounts, a)
	}
	return router.New(c)
}

// exchangeOf returns a request on the route with a rank.
func exchangeOf(t *testing.T, table *router.Table, rank int, key string) *exchange {
	x := &exchange{table: table, route: &table.Routes[rank], service: "s"}
	identity, ok := table.Authenticate(x.route, key)
	require.True(t, ok)
	x.identity = identity
	x.call.Parts = []savoryloft.PromptPart{{ID: "p", Tokens: 100}}
	return x
}

// exchangesByUrgency returns a request of each route and account, the most urgent first.
func exchangesByUrgency(t *testing.T, keys ...string) []*exchange {
	table := rankedTable(keys...)
	var list []*exchange
	for rank := range table.Routes {
		for _, key := range keys {
			list = append(list, exchangeOf(t, table, rank, key))
		}
	}
	slices.SortFunc(list, func(a, b *exchange) int { return a.identity.Urgency - b.identity.Urgency })
	return list
}

// Guards against urgent requests that are refused at a load at which less urgent ones are sent.
func TestNoRequestIsShedBeforeALessUrgentOne(t *testing.T) {
	for _, tt := range []struct {
		name string
		keys []string
	}{
		{"ranks of routes", []string{"plain"}},
		{"accounts of one rank", []string{"rank-1"}},
		{"accounts of three ranks", []string{"rank-0", "rank-1", "rank-2"}},
		{"accounts with and without a rank", []string{"plain", "rank-1"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			list := exchangesByUrgency(t, tt.keys...)
			sheds := 0
			for wait := time.Duration(0); wait < 10*time.Second; wait += 50 * time.Millisecond {
				for running := range 40 {
					choice := placer.Choice{TimeToFirstToken: wait, Running: running, Full: running >= 12}
					choice.Upstream.Slots = 12
					shed := false
					for _, x := range list {
						overloaded := x.overloaded(choice)
						require.False(t, shed && !overloaded, "%s is sent at a predicted wait of %s beside %d requests, a more urgent one is not", x.route.Name, wait, running)
						shed = overloaded
					}
					if shed {
						sheds++
					}
				}
			}
			require.NotZero(t, sheds)
		})
	}
}

// Guards against urgent requests that stop to wait for a token of a limited upstream or for
// room, or are left without a connection to one, while less urgent ones go on.
func TestNoBoundOfARequestIsBelowThatOfALessUrgentOne(t *testing.T) {
	keys := []string{"rank-0", "rank-1", "rank-2"}
	list := exchangesByUrgency(t, keys...)
	var waits []time.Duration
	var patience []savoryloft.Duration // In this instance's own queue.
	var connections []int
	for _, x := range list {
		x.relayer = &Relayer{Instances: func() int { return 9 }, Tracker: &tracker.Tracker{}}
		x.deadline = time.Now().Add(time.Hour)
		waits = append(waits, -x.maxLimitWait())
		patience = append(patience, -x.admissionClass(placer.Request{}).Patience)
		connections = append(connections, -x.placerRequest().MaxConnections)
	}
	require.True(t, slices.IsSorted(waits), "%v", waits)
	require.True(t, slices.IsSorted(patience), "%v", patience)
	require.True(t, slices.IsSorted(connections), "%v", connections)
	require.Less(t, connections[0], connections[len(connections)-1])
}
