package relayer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/placer"
	"savoryloft.example/savoryloft/router"
)

// rankedTable returns a configuration with three routes to one service, the most urgent of
// which has the shortest objective, and accounts with the given ranks.
func rankedTable(accountRanks ...int) *router.Table {
	c := savoryloft.Configuration{Version: 1, Services: []savoryloft.UpstreamService{{Name: "s", Engine: &savoryloft.EngineTraits{Slots: 12}}}}
	for rank, objective := range []time.Duration{250 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		c.Routes = append(c.Routes, savoryloft.PathRoute{
			Name: fmt.Sprint("route-", rank), Host: "h.example", Prefix: fmt.Sprintf("/%d/", rank), Rank: rank, Objective: objective,
			EventIntervalObjective: objective / 2, Kind: savoryloft.StreamingCall, Resumable: true, MaxAttempts: 2,
			Shares: []savoryloft.ServiceShare{{Service: "s", Weight: 1}},
		})
	}
	c.Accounts = []savoryloft.KeyedAccount{{Name: "plain", Keys: []string{"plain"}}}
	for _, rank := range accountRanks {
		name := fmt.Sprint("account-", rank)
		c.Accounts = append(c.Accounts, savoryloft.KeyedAccount{Name: name, Keys: []string{name}, Rank: rank, HasRank: true})
	}
	return router.New(c)
}

// exchangesByUrgency returns a request of each route and account, the most urgent first.
func exchangesByUrgency(t *testing.T, table *router.Table, keys ...string) []*exchange {
	byUrgency := make([]*exchange, 100)
	for i := range table.Routes {
		for _, key := range keys {
			identity, ok := table.Authenticate(&table.Routes[i], key)
			require.True(t, ok)
			x := &exchange{table: table, route: &table.Routes[i], identity: identity, service: "s"}
			x.call.Parts = []savoryloft.PromptPart{{ID: "p", Tokens: 100}}
			byUrgency[identity.Urgency] = x
		}
	}
	var list []*exchange
	for _, x := range byUrgency {
		if x != nil {
			list = append(list, x)
		}
	}
	return list
}

// Guards against urgent requests that are refused at a load at which less urgent ones are sent.
func TestNoRequestIsShedBeforeALessUrgentOne(t *testing.T) {
	for _, tt := range []struct {
		name  string
		table *router.Table
		keys  []string
	}{
		{"ranks of routes", rankedTable(), []string{"plain"}},
		{"accounts of one rank", rankedTable(1), []string{"account-1"}},
		{"accounts of three ranks", rankedTable(0, 1, 2), []string{"account-0", "account-1", "account-2"}},
		{"accounts with and without a rank", rankedTable(1), []string{"plain", "account-1"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			list := exchangesByUrgency(t, tt.table, tt.keys...)
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
