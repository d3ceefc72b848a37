package router

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
)

func newTable() *Table {
	return New(savoryloft.Configuration{
		Version: 3,
		Routes: []savoryloft.PathRoute{
			{Name: "short", Host: "a.example", Prefix: "/x/", Rank: 2, Shares: []savoryloft.ServiceShare{{Service: "s1", Weight: 1}}},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Rank: 2, Shares: []savoryloft.ServiceShare{{Service: "s1", Weight: 90}, {Service: "s2", Weight: 10}}},
			{Name: "open", Host: "a.example", Prefix: "/open/", Rank: 1, Public: true},
		},
		Accounts: []savoryloft.KeyedAccount{
			{Name: "plain", Keys: []string{"k1", "k2"}},
			{Name: "urgent", Keys: []string{"k3"}, Rank: 0, HasRank: true},
		},
	})
}

func TestFindRoute(t *testing.T) {
	for _, tt := range []struct{ host, uri, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:80", "/x/y/1?z=/x/", "long"},
		{"a.example", "/x/y?q", "short"},
		{"a.example", "/x", ""},
		{"b.example", "/x/1", ""},
	} {
		r := newTable().FindRoute(tt.host, tt.uri)
		if tt.want == "" {
			require.Nil(t, r, tt.uri)
			continue
		}
		require.Equal(t, tt.want, r.Name, tt.uri)
	}
}

func TestAuthenticate(t *testing.T) {
	table := newTable()
	keyed, open := table.FindRoute("a.example", "/x/1"), table.FindRoute("a.example", "/open/1")
	for _, tt := range []struct {
		route *savoryloft.PathRoute
		key   string
		want  Identity
		ok    bool
	}{
		{keyed, "k2", Identity{Account: "plain", Rank: 2, Urgency: 3}, true},
		{keyed, "k3", Identity{Account: "urgent", Rank: 0, Urgency: 1}, true},
		{keyed, "k4", Identity{Account: "", Rank: 2, Urgency: 3}, false},
		{keyed, "", Identity{Account: "", Rank: 2, Urgency: 3}, false},
		{open, "", Identity{Account: "", Rank: 1, Urgency: 2}, true},
		{open, "k3", Identity{Account: "", Rank: 1, Urgency: 2}, true},
	} {
		got, ok := table.Authenticate(tt.route, tt.key)
		require.Equal(t, tt.ok, ok, tt.key)
		require.Equal(t, tt.want, got, tt.key)
	}
}

// Guards against urgent requests that wait behind, or are preempted for, long ones because
// their account has a rank of its own.
func TestUrgencyOrdersRequestsOfAccountsByRoute(t *testing.T) {
	table := New(savoryloft.Configuration{
		Routes: []savoryloft.PathRoute{
			{Name: "reply", Host: "a.example", Prefix: "/r/", Rank: 0},
			{Name: "report", Host: "a.example", Prefix: "/x/", Rank: 2},
		},
		Accounts: []savoryloft.KeyedAccount{
			{Name: "first", Keys: []string{"k0"}, Rank: 0, HasRank: true},
			{Name: "second", Keys: []string{"k1"}, Rank: 1, HasRank: true},
			{Name: "plain", Keys: []string{"k"}},
		},
	})
	urgency := func(uri, key string) int {
		id, ok := table.Authenticate(table.FindRoute("a.example", uri), key)
		require.True(t, ok)
		return id.Urgency
	}
	require.Equal(t, []int{0, 1, 2, 3}, []int{urgency("/r/", "k0"), urgency("/x/", "k0"), urgency("/r/", "k1"), urgency("/x/", "k1")})
	for i, key := range []string{"k0", "k1", "k"} {
		id, _ := table.Authenticate(table.FindRoute("a.example", "/x/"), key)
		require.Equal(t, []int{0, 2, 3}[i], table.Tier(id, 4))
	}
	require.Equal(t, []int{0, 4}, []int{urgency("/r/", "k"), urgency("/x/", "k")}, "without a rank of their own")
}

func TestSelectServiceFollowsWeights(t *testing.T) {
	table := newTable()
	r := table.FindRoute("a.example", "/x/y/1")
	counts := map[string]int{}
	for i := range 5000 {
		counts[table.SelectService(r, fmt.Sprintf("request-%d", i))]++
	}
	require.InDelta(t, 500, counts["s2"], 100)
	require.Equal(t, table.SelectService(r, "one"), table.SelectService(r, "one"))
}

// Guards against the end of the process, by a division by zero, when the weights of a route
// add up to a multiple of 2^32.
func TestSelectServiceWithHugeWeights(t *testing.T) {
	r := &savoryloft.PathRoute{Shares: []savoryloft.ServiceShare{{Service: "s1", Weight: 1 << 31}, {Service: "s2", Weight: 1 << 31}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[newTable().SelectService(r, fmt.Sprintf("request-%d", i))]++
	}
	require.InDelta(t, 500, counts["s2"], 100)
}
