package launcher

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/platform"
	"savoryloft.example/savoryloft/platform/standin"
	"savoryloft.example/savoryloft/tracer"
)

// linkedWatchers are the watchers of instances that have links and no log.
func linkedWatchers(t *testing.T, prepare ...func(l *Launcher)) []*Launcher {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, group.Wait())
	})
	var list []*Launcher
	for n, f := range prepare {
		listener, err := net.Listen("tcp", instanceIP()+":0")
		require.NoError(t, err)
		l := &Launcher{
			Deployment: savoryloft.Deployment{
				Instance: string(rune('a' + n)), FailureDomain: "a", Listen: savoryloft.DeploymentListen{Links: listener.Addr().String()},
			},
			Wire: platform.Wire{}, Decoder: platform.Decoder{}, Log: &platform.LogClient{}, Pool: &exchanger.Pool{Dial: exchanger.DialTCP},
			Logger: logr.Discard(), Tracer: tracer.Noop(),
		}
		if n > 0 {
			l.Deployment.Seeds = []string{list[0].Deployment.Listen.Links}
		}
		l.build()
		f(l)
		list = append(list, l)
		group.Go(func() error { return l.linker.Serve(ctx, listener) })
		group.Go(func() error { return l.linker.Run(ctx) })
	}
	return list
}

func registryRecord(offset int, id, state string) savoryloft.ControlRecord {
	r := savoryloft.ControlRecord{Topic: int(savoryloft.TopicRegistry), Key: id, Position: savoryloft.Position(1, offset)}
	if state != "" {
		e := &standin.Engine{ID: id}
		e.Start()
		r.Value = string(e.RegistryEntry("10.0.0.1:1", state, 8))
	}
	return r
}

// Guards against requests to upstreams that leave, at an instance that has missed their
// records in a partition and takes its copy of the registry for complete because it has
// received a later record.
func TestInstanceLearnsRegistryChangesThatItHasMissed(t *testing.T) {
	first, last := registryRecord(4, "u", "ready"), registryRecord(98, "w", "ready")
	for _, tt := range []struct {
		name   string
		missed savoryloft.ControlRecord
		left   int // Upstreams that are not draining once it is known.
	}{
		{"removal", registryRecord(60, "u", ""), 1},
		{"draining", registryRecord(60, "u", "draining"), 1},
		{"new upstream", registryRecord(60, "v", "ready"), 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			list := linkedWatchers(t,
				func(l *Launcher) {
					l.watcher.ApplyRelayed("reader", []savoryloft.ControlRecord{first, tt.missed, last})
					l.watcher.MarkUpToDate(savoryloft.TopicRegistry, savoryloft.Uptime())
				},
				func(l *Launcher) {
					l.watcher.ApplyRelayed("reader", []savoryloft.ControlRecord{first, last})
				})
			known := func() bool {
				n := 0
				for _, u := range list[1].watcher.Upstreams("s") {
					if !u.Draining {
						n++
					}
				}
				return n == tt.left
			}
			require.False(t, known())
			require.Eventually(t, func() bool {
				if _, ok := list[1].watcher.Age(savoryloft.TopicRegistry); ok {
					require.True(t, known(), "it takes its copy for up to date")
				}
				return known()
			}, eventuallyTimeout, 10*time.Millisecond)
			require.Eventually(t, func() bool {
				_, ok := list[1].watcher.Age(savoryloft.TopicRegistry)
				return ok
			}, eventuallyTimeout, 10*time.Millisecond, "a complete copy is taken for up to date")
		})
	}
}
