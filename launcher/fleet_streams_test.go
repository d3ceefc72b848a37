//go:build !race

package launcher

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/tracker"
)

// Guards against streams that no instance of a mesh, or of a fleet with hubs, takes up
// after the one that began them was lost and a second software version has come.
func TestStreamsOfALostInstanceInAFleet(t *testing.T) {
	const streams = 20
	for _, size := range []fleetSize{{instances: 8, domains: 4}, {instances: 36, domains: 3}} {
		t.Run(fmt.Sprintf("%d instances", size.instances), func(t *testing.T) {
			size.upstreams, size.accounts, size.parts, size.requestsPerSecond = 5, 1, 1, 1
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, size, 1)
				defer f.stop()
				time.Sleep(10 * time.Second)
				lost := size.instances - 1 // Not a hub in a fleet that has hubs.
				require.Equal(t, "v1", f.launchers[lost].tracker.SoleVersion("s"))
				var keys []string
				for i := range streams {
					key := tracker.Key("account", fmt.Sprint("stream-", i))
					f.launchers[lost].tracker.Begin(key, tracker.Origin{Service: "s", Version: "v1"}, false)
					keys = append(keys, key)
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond)
				f.end(lost)
				value, err := json.Marshal(map[string]any{"ID": "i-new", "Service": "s", "Address": "10.2.0.1:1", "FailureDomain": "d0", "Slots": 64, "Version": "v2"})
				require.NoError(t, err)
				f.log.Set(savoryloft.TopicRegistry, "i-new", value)
				time.Sleep(3 * time.Second)
				for _, l := range f.launchers {
					require.Empty(t, l.tracker.SoleVersion("s"))
					for _, key := range keys {
						o, err := l.tracker.Find(t.Context(), key, "s")
						require.NoError(t, err, l.Deployment.Instance)
						require.Equal(t, "v1", o.Version)
					}
				}
			})
		})
	}
}
