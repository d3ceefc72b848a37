package server_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Requests that engines refuse, or that carry the router's own fields, must not
// make healthy engines look bad.
func TestBadRequestsDoNotExpelEngines(t *testing.T) {
	run(t, 1, func(f *fleet) {
		header := map[string]string{"Authorization": "Bearer " + secretA}
		for range 20 {
			status, body, err := f.do(callerAddr(0), "POST", "/v1/chat/completions", header,
				[]byte(`{"model": "quotes", "messages": "not a list"}`), nil)
			require.NoError(t, err)
			require.Equal(t, 400, status)
			require.Equal(t, "UpstreamRejected", codeOf(body))
		}
		status, body, err := f.do(callerAddr(0), "POST", "/v1/chat/completions", header,
			[]byte(`{"model": "quotes", "max_tokens": 9, "resume_at": 5, "priority": -9, "messages": [{"role": "user", "content": "p"}]}`), nil)
		require.NoError(t, err)
		require.Equal(t, 200, status, string(body))
		require.Contains(t, string(body), wantText("p", 9))
		require.True(t, f.chat(0, secretA, "quotes", "after", 5).done)
	})
}
