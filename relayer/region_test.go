package relayer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/router"
)

// Guards against requests that leave the regions of their route or account.
func TestRequestsStayWithinTheirRegions(t *testing.T) {
	upstreams := []savoryloft.RegisteredUpstream{
		{ID: "n", FailureDomain: "north-1"}, {ID: "s", FailureDomain: "south-1"}, {ID: "unknown", FailureDomain: "other"},
	}
	for _, tt := range []struct {
		name           string
		route, account []string
		want           []string
	}{
		{"anywhere", nil, nil, []string{"n", "s", "unknown"}},
		{"empty lists", []string{}, []string{}, []string{"n", "s", "unknown"}},
		{"route", []string{"north"}, nil, []string{"n"}},
		{"account", nil, []string{"south"}, []string{"s"}},
		{"both bind", []string{"north", "south"}, []string{"south", "west"}, []string{"s"}},
		{"nothing in both", []string{"north"}, []string{"south"}, nil},
		{"all regions", []string{"north", "south"}, nil, []string{"n", "s"}},
		{"empty name", []string{""}, nil, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			x := &exchange{
				relayer:  &Relayer{Regions: map[string]string{"north-1": "north", "south-1": "south"}},
				route:    &savoryloft.PathRoute{Regions: tt.route},
				identity: router.Identity{Regions: tt.account},
			}
			var got []string
			for _, u := range x.withinRegions(upstreams) {
				got = append(got, u.ID)
			}
			require.Equal(t, tt.want, got)
			require.Len(t, upstreams, 3)
			require.Equal(t, "n", upstreams[0].ID)
		})
	}
}
