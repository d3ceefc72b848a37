package tracker

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/faker"
)

const service = "s"

// deployment is a set of trackers that share a log and a registry. The first one that
// runs is the writer.
type deployment struct {
	t        *testing.T
	log      *faker.Log
	trackers []*Tracker
	cancels  []context.CancelFunc
	isNew    bool

	mu        sync.Mutex
	upstreams []savoryloft.RegisteredUpstream
	age       time.Duration // Of the registry.
	era       int           // Beyond that of the log.
	isolated  bool          // The trackers do not reach each other.
}

func run(t *testing.T, test func(d *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		d := &deployment{t: t, log: &faker.Log{}, isNew: true}
		defer d.stop()
		test(d)
	})
}

// start starts n trackers, as after a loss of all earlier ones.
func (d *deployment) start(n int) {
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		peers := func(send func(p *Tracker)) {
			d.mu.Lock()
			defer d.mu.Unlock()
			for n, p := range d.trackers {
				if n != i && !d.isolated {
					go send(p)
				}
			}
		}
		x := &Tracker{
			Instance: name, Log: d.log, Services: func() []string { return []string{service} },
			Upstreams: func(string) []savoryloft.RegisteredUpstream {
				d.mu.Lock()
				defer d.mu.Unlock()
				return d.upstreams
			},
			RegistryAge: func() (time.Duration, bool) {
				d.mu.Lock()
				defer d.mu.Unlock()
				return d.age, true
			},
			Era: func() int {
				d.mu.Lock()
				defer d.mu.Unlock()
				return d.log.Era() + d.era
			},
			IsWriter: func() bool { return i == 0 }, Now: time.Now, NewDeployment: d.isNew,
			Isolated: func() bool {
				d.mu.Lock()
				defer d.mu.Unlock()
				return d.isolated
			},
			Send:      func(o savoryloft.StreamOrigins) { peers(func(p *Tracker) { p.Merge(name, o) }) },
			SendBegun: func(begun []savoryloft.OriginBatch) { peers(func(p *Tracker) { p.MergeBegun(begun) }) },
			Broadcast: func(o savoryloft.StreamOrigins, _ string) { peers(func(p *Tracker) { p.Merge(name, o) }) },
			Reply: func(peer string, o savoryloft.StreamOrigins) {
				var n int
				_, err := fmt.Sscanf(peer, "entry-%d", &n)
				require.NoError(d.t, err)
				d.mu.Lock()
				defer d.mu.Unlock()
				go d.trackers[n].Merge(name, o)
			},
			Logger: logr.Discard(), Metrics: metrics.NewRegistry(),
		}
		d.mu.Lock()
		d.trackers = append(d.trackers, x)
		d.mu.Unlock()
	}
	for _, x := range d.trackers {
		ctx, cancel := context.WithCancel(context.Background())
		d.cancels = append(d.cancels, cancel)
		go func() { _ = x.Run(ctx) }()
	}
	d.isNew = false
	time.Sleep(time.Second)
}

// stop stops all trackers at once.
func (d *deployment) stop() {
	for _, cancel := range d.cancels {
		cancel()
	}
	synctest.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancels, d.trackers = nil, nil
}

// register sets the versions of the registered upstreams; one that begins with "-" drains.
func (d *deployment) register(versions ...string) {
	var list []savoryloft.RegisteredUpstream
	for i, v := range versions {
		u := savoryloft.RegisteredUpstream{ID: fmt.Sprintf("i-%d", i), Service: service, Version: v, StartedAtMs: i + 1}
		if len(v) > 0 && v[0] == '-' {
			u.Version, u.Draining = v[1:], true
		}
		list = append(list, u)
	}
	d.set(func() { d.upstreams = list })
	time.Sleep(time.Second)
}

// set changes what the trackers see.
func (d *deployment) set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

// find returns the version at which a stream began according to a tracker, or "?".
func (d *deployment) find(tracker int, key string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	o, err := d.trackers[tracker].Find(ctx, key, service)
	if err != nil {
		require.ErrorIs(d.t, err, ErrUnknown)
		return "?"
	}
	require.Equal(d.t, service, o.Service)
	return o.Version
}

func (d *deployment) begin(tracker int, version string, keys ...string) {
	for _, key := range keys {
		d.trackers[tracker].Begin(key, Origin{service, version}, false)
	}
}

// Guards against streams that are forgotten, or taken for streams of another version, at
// other instances, after the loss of the instance that began them and after that of all.
func TestOriginsOutliveInstances(t *testing.T) {
	for _, tt := range []struct {
		name     string
		versions []string
		log      bool // The log is there.
		want     string
	}{
		{"two versions", []string{"v1", "v2"}, true, "v1"},
		{"one version", []string{"v1", "v1"}, true, "v1"},
		{"two versions, log away", []string{"v1", "v2"}, false, "?"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(d *deployment) {
				d.register(tt.versions...)
				d.start(3)
				d.log.SetDown(!tt.log)
				d.begin(1, "v1", "a", "b", "c")
				time.Sleep(2*sendDelay + 2*writeInterval)
				for i := range 3 {
					require.Equal(t, "v1", d.find(i, "a"))
				}
				d.stop()
				d.start(2)
				for i := range 2 {
					require.Equal(t, tt.want, d.find(i, "b"))
				}
				if tt.log {
					d.stop()
					d.start(2)
					require.Equal(t, tt.want, d.find(1, "c"))
				}
			})
		})
	}
}

// Guards against a guess: of a stream that nobody knows, and of one that is said to have
// begun at two versions, none is told.
func TestUnknownOriginIsNotGuessed(t *testing.T) {
	run(t, func(d *deployment) {
		d.register("v1", "v2")
		d.start(2)
		require.Equal(t, "?", d.find(1, "nobody's"))
		d.begin(0, "v1", "twice")
		d.begin(1, "v2", "twice")
		d.begin(1, "", "not-known")
		time.Sleep(time.Second)
		for i := range 2 {
			require.Equal(t, "?", d.find(i, "twice"))
			require.Equal(t, "?", d.find(i, "not-known"))
		}
		d.stop()
		d.start(1)
		require.Equal(t, "?", d.find(0, "twice"))
		require.Equal(t, "?", d.find(0, "not-known"))
	})
}

// Guards against a stream of an earlier version that is taken for one of the version that
// is the only one now: the policy must wait until no client can take such a stream up.
func TestPolicyFollowsVersions(t *testing.T) {
	run(t, func(d *deployment) {
		sole := func() string { return d.trackers[1].SoleVersion(service) }
		d.register("v1", "v1")
		d.start(2)
		require.Equal(t, "v1", sole(), "a new deployment has no earlier streams")
		require.Equal(t, "v1", d.find(1, "unrecorded"))
		d.begin(1, "v1", "before")
		d.register("v1", "v2")
		require.Empty(t, sole())
		require.Equal(t, "v1", d.find(0, "before"), "told when the policy is withdrawn")
		d.begin(1, "v1", "beside")
		d.register("v2", "v2")
		require.Empty(t, sole())
		require.Equal(t, "?", d.find(1, "unrecorded"))
		require.Equal(t, "v1", d.find(0, "beside"))
		time.Sleep(retention - 4*time.Second)
		require.Empty(t, sole())
		time.Sleep(6 * time.Second)
		require.Equal(t, "v2", sole())
		d.stop()
		d.start(2)
		require.Equal(t, "v2", sole(), "kept in the log")
		require.Equal(t, "v2", d.find(1, "unrecorded"))
		d.register("v3", "v2")
		d.stop()
		d.register("v2")
		d.start(2)
		require.Empty(t, sole(), "not known what began before the loss")
	})
}

// Guards against a stream that may have begun at one of several services and is taken for
// one of the service whose policy is asked for, or forgotten since that has one version.
func TestStreamsOfSeveralServicesAreRecorded(t *testing.T) {
	run(t, func(d *deployment) {
		d.register("v1")
		d.start(2)
		d.trackers[0].Begin("a", Origin{service, "v1"}, true)
		time.Sleep(time.Second)
		find := func(key string) error {
			_, err := d.trackers[1].Find(context.Background(), key, "")
			return err
		}
		require.NoError(t, find("a"))
		require.ErrorIs(t, find("nobody's"), ErrUnknown)
		d.stop()
		d.start(2)
		require.NoError(t, find("a"))
	})
}

// Guards against a policy that claims what this instance cannot know: its registry may
// lack a version, or the log may have been restored from a copy older than a withdrawal.
func TestPolicyNeedsConfirmation(t *testing.T) {
	run(t, func(d *deployment) {
		d.register("v1")
		d.start(2)
		d.set(func() { d.age = time.Hour })
		require.Equal(t, "?", d.find(1, "a"))
		d.set(func() { d.age = 0 })
		require.Equal(t, "v1", d.find(1, "a"))
		d.set(func() { d.era = 1 })
		require.Equal(t, "?", d.find(1, "b"))
		require.Empty(t, d.trackers[1].SoleVersion(service))
	})
	run(t, func(d *deployment) {
		d.register("v1", "")
		d.start(2)
		for end := time.Now().Add(2 * retention); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			require.Empty(t, d.trackers[1].SoleVersion(service), "an upstream without a version may have any")
		}
	})
}

// Guards against a policy that is withdrawn at one instance only while the others, which
// have lost it, go on taking streams of unknown origin for streams of its version.
func TestWithdrawnPolicyReachesInstancesThatLostTheirPeers(t *testing.T) {
	run(t, func(d *deployment) {
		d.register("v1")
		d.start(2)
		d.set(func() { d.isolated = true })
		d.register("v1", "v2")
		d.begin(0, "v2", "a")
		time.Sleep(time.Second)
		require.Equal(t, "v2", d.find(1, "a"), "read from the log")
		d.register("v1")
		require.Equal(t, "?", d.find(1, "nobody's"))
	})
}

// Guards against writes for each stream: while there is one version there are none, and
// beside others at most one for each write interval.
func TestWritesAreFew(t *testing.T) {
	run(t, func(d *deployment) {
		d.register("v1", "v1")
		d.start(4)
		busy := func(d *deployment, version string) (calls int) {
			before := d.log.Calls()
			for i := range 1000 {
				d.begin(i%4, version, fmt.Sprintf("%s-%d", version, i))
				time.Sleep(10 * time.Millisecond)
			}
			return d.log.Calls() - before
		}
		require.Zero(t, busy(d, "v1"))
		d.register("v1", "v2")
		calls := busy(d, "v2")
		t.Logf("%d calls in 10 s", calls)
		require.LessOrEqual(t, calls, int(10*time.Second/writeInterval)+10)
		require.Positive(t, calls)
	})
}

// Guards against streams that begin at a version that is about to leave, or that has a
// single upstream, where they could not be resumed.
func TestSurcharges(t *testing.T) {
	for _, tt := range []struct {
		name     string
		versions []string
		want     map[string]float64
	}{
		{"one version", []string{"v1", "v1"}, nil},
		{"one version of which some leave", []string{"v1", "-v1"}, nil},
		{"two of equal right", []string{"v1", "v1", "v2", "v2"}, map[string]float64{}},
		{"the first of a newer one", []string{"v1", "v1", "v2"}, map[string]float64{"v2": singleUpstreamCostMs}},
		{"the last of an older one", []string{"v1", "v2", "v2"}, map[string]float64{"v1": singleUpstreamCostMs}},
		{"an older one leaves", []string{"-v1", "v1", "v1", "v2", "v2"}, map[string]float64{"v1": retiringVersionCostMs}},
		{"a newer one is taken back", []string{"v1", "v1", "v2", "v2", "-v2"}, map[string]float64{}},
		{"one of each", []string{"v1", "v2"}, map[string]float64{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(d *deployment) {
				d.register(tt.versions...)
				d.start(1)
				require.Equal(t, tt.want, d.trackers[0].Surcharges(service))
			})
		})
	}
}

// Guards against records of a writer that has stopped, or whose clock was wrong, that hide
// those of others or keep a policy from being set.
func TestRecordsOfAnEarlierWriterAreStale(t *testing.T) {
	run(t, func(d *deployment) {
		d.register("v1", "v2")
		for i, age := range []time.Duration{time.Hour, -time.Hour, 2 * retention, 0} {
			x := &Tracker{Instance: "earlier", Log: d.log}
			record := storedOrigins{Second: time.Now().Add(-age).Unix()}
			record.Batches = []savoryloft.OriginBatch{{Service: service, Version: "v1", Streams: []string{fmt.Sprint("stream-", i)}}}
			_, err := x.put(t.Context(), fmt.Sprintf("%s%d/%d", streamPrefix, i, i), record)
			require.NoError(t, err)
		}
		d.start(1)
		for i, want := range []string{"?", "?", "?", "v1"} {
			require.Equal(t, want, d.find(0, fmt.Sprint("stream-", i)))
		}
	})
}
