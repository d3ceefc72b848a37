package relayer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/router"
	"savoryloft.example/savoryloft/tracker"
)

// Guards against a stream that is taken up at another service than the one that began it,
// and is refused there, after the shares of its route have changed.
func TestStreamsStayAtTheirService(t *testing.T) {
	shares := func(old, other int) []savoryloft.ServiceShare {
		return []savoryloft.ServiceShare{{Service: "other", Weight: other}, {Service: "old", Weight: old}}
	}
	for _, tt := range []struct {
		name   string
		shares []savoryloft.ServiceShare
		origin tracker.Origin
		want   string
	}{
		{"begun there", shares(1, 1<<10), tracker.Origin{Service: "old", Version: "v1"}, "old"},
		{"no longer a part of the route", shares(0, 1), tracker.Origin{Service: "old", Version: "v1"}, "other"},
		{"gone from the route", shares(0, 1)[:1], tracker.Origin{Service: "old", Version: "v1"}, "other"},
		{"not begun", shares(1, 1<<10), tracker.Origin{}, "other"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			x := &exchange{call: savoryloft.Call{ID: "attempt-1", Resumes: "attempt-0"}, origin: tt.origin}
			require.Equal(t, tt.want, x.selectService(&router.Table{}, &savoryloft.PathRoute{Shares: tt.shares}))
		})
	}
}
