package server_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Requests that engines reject as invalid, or that set fields reserved for the
// router, must not count as failures of the engines.
func TestBadRequestsDoNotEjectEngines(t *testing.T) {
	withFleet(t, 1, func(f *fleet) {
		header := map[string]string{"Authorization": "Bearer " + apiKeyA}
		for range 20 {
			status, body, err := f.do(callerAddr(0), "POST", "/v1/chat/completions", header,
				[]byte(`{"model": "quotes", "messages": "not a list"}`), nil)
			require.NoError(t, err)
			require.Equal(t, 400, status)
			require.Equal(t, "UpstreamRejected", errorCodeOf(body))
		}
		status, body, err := f.do(callerAddr(0), "POST", "/v1/chat/completions", header,
			[]byte(`{"model": "quotes", "max_tokens": 9, "resume_at": 5, "priority": -9, "messages": [{"role": "user", "content": "p"}]}`), nil)
		require.NoError(t, err)
		require.Equal(t, 200, status, string(body))
		require.Contains(t, string(body), chatText("p", 9))
		require.True(t, f.chat(0, apiKeyA, "quotes", "after", 5).done)
	})
}
