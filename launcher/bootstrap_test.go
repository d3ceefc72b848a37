package launcher

import (
	"context"
	"encoding/json"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/faker"
)

// The instances of a new deployment wait for a reader's copy of the configuration,
// since all of them start at once. One that restarts reads the log itself, since its
// readers may have been lost with it.
func TestRestartedInstanceReadsItsFirstConfiguration(t *testing.T) {
	for _, tt := range []struct {
		name      string
		bootstrap bool
	}{
		{"new deployment", true},
		{"restart", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				log := &faker.Log{}
				value, err := json.Marshal(savoryloft.Configuration{Version: 3})
				require.NoError(t, err)
				log.Set(savoryloft.TopicConfiguration, "config", value)
				l := &Launcher{
					Deployment: savoryloft.Deployment{
						Instance: "edge-0", FailureDomain: "d0", Bootstrap: tt.bootstrap, Heartbeat: time.Second,
						Bounds: savoryloft.DeploymentBounds{Revocation: 5 * time.Second, ConfigurationInForce: 4 * time.Second, LeaseTTL: 3 * time.Second},
					},
					Decoder: versionDecoder{}, Log: log, Pool: &exchanger.Pool{}, Logger: logr.Discard(),
				}
				l.build()
				l.watcher.ReaderRank = func() int { return math.MaxInt }
				go func() { _ = l.watcher.Run(ctx) }()
				const soon = 50 * time.Millisecond
				require.Equal(t, tt.bootstrap, l.watcher.AwaitTable(ctx, soon) == nil)
				cancel()
				synctest.Wait()
			})
		})
	}
}
