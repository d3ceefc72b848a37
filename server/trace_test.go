package server_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A valid Traceparent header is forwarded to the upstream with the caller's
// trace ID; an invalid one is dropped.
func TestTracePropagation(t *testing.T) {
	withFleet(t, 1, func(f *fleet) {
		const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
		for _, header := range []string{parent, "00-zz", ""} {
			status, _, err := f.do(callerAddr(0), "POST", "/bookings", map[string]string{
				"Authorization": "Bearer " + apiKeyA, "Traceparent": header,
			}, []byte("{}"), nil)
			require.NoError(t, err)
			require.Equal(t, 200, status)
		}
		seen := f.service.ReceivedRequests()
		require.Len(t, seen, 3)
		require.Contains(t, strings.ToLower(seen[0]), "traceparent: 00-0af7651916cd43dd8448eb211c80319c-")
		require.NotContains(t, strings.ToLower(seen[1]), "traceparent")
	})
}
