package launcher

import (
	"context"
	"math"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/faker"
	"savoryloft.example/savoryloft/platform"
	"savoryloft.example/savoryloft/platform/standin"
	"savoryloft.example/savoryloft/watcher"
)

// Guards against changes that take effect late at an instance that has lost its peers and
// reads the log on a connection that went silent while it was idle.
func TestChangesTakeEffectInTimeAlthoughIdleConnectionsAreSilent(t *testing.T) {
	const limit = 2 * time.Second
	log := &faker.Log{}
	server := httptest.NewServer(&standin.LogServer{Log: log})
	defer server.Close()
	publish := func(version int, state string) {
		c := &cluster{t: t, log: log, version: version}
		c.writeConfiguration()
		c.register("u", "10.0.0.1:1", state)
	}
	publish(1, "ready")
	way := &partition{isUpstream: func(string) bool { return true }}
	w := &watcher.Watcher{
		Log:     &platform.LogClient{Address: server.Listener.Addr().String(), Pool: &exchanger.Pool{Dial: way.dial}},
		Decoder: platform.Decoder{}, Logger: logr.Discard(), ReaderRank: func() int { return math.MaxInt },
		PropagationLimits: [2]time.Duration{limit, limit},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	defer func() {
		cancel()
		require.NoError(t, <-done)
	}()
	require.Eventually(t, func() bool { return w.Version() == 1 && len(w.Upstreams("s")) == 1 }, eventuallyTimeout, time.Millisecond)
	for range 12 {
		w.MarkUpToDate(savoryloft.TopicConfiguration, savoryloft.Uptime())
		w.MarkUpToDate(savoryloft.TopicRegistry, savoryloft.Uptime())
		time.Sleep(100 * time.Millisecond)
	}
	way.set(hanging)
	way.set(connected) // New connections work.
	publish(2, "draining")
	require.Eventually(t, func() bool { return w.Version() == 2 && w.Upstreams("s")[0].Draining }, limit, 10*time.Millisecond)
}
