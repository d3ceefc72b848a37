package server_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that end with a closed connection, instead of an error, at the
// end of the grace period.
func TestRequestsAreAbortedAtTheEndOfTheGracePeriod(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		stream := make(chan chatResult, 1)
		go func() { stream <- f.chat(0, apiKeyA, "quotes", "long", 20_000) }() // Takes over 200 s.
		time.Sleep(time.Second)
		begin := time.Now()
		require.Error(t, f.stopEntry(0))
		require.Less(t, time.Since(begin), 130*time.Second, "notice and grace take 123 s")
		s := <-stream
		require.NoError(t, s.err)
		require.Equal(t, "Stopping", s.errorCode)
	})
}
