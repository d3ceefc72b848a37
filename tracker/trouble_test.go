package tracker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
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

// A fleet is a set of trackers that can be suspended, killed, and cut off from each other
// and from the log, one by one. What is sent to one that is not reached is lost; a link
// that comes up again brings what both sides know.
type fleet struct {
	t   *testing.T
	log *faker.Log
	rng *rand.Rand

	mu        sync.Mutex
	upstreams []savoryloft.RegisteredUpstream
	nodes     []*node
	origins   map[string]string // Versions at which streams began, by key.
}

// node is a place of an instance.
type node struct {
	fleet   *fleet
	index   int
	tracker *Tracker
	cancel  context.CancelFunc

	// Guarded by the fleet's lock.
	down, frozen, cutOff, logAway bool
	thawed                        chan struct{} // Closed when frozen ends.
	registry                      []savoryloft.RegisteredUpstream
	readAt                        time.Duration // Uptime at which registry was up to date.
}

// nodeLog is the log as a node reaches it.
type nodeLog struct {
	*faker.Log
	node *node
}

func (l nodeLog) Newest(ctx context.Context, t savoryloft.Topic) (savoryloft.RecordPage, error) {
	if err := l.node.awaitLog(ctx); err != nil {
		return savoryloft.RecordPage{}, err
	}
	return l.Log.Newest(ctx, t)
}

func (l nodeLog) Put(ctx context.Context, t savoryloft.Topic, key string, value []byte) (int, error) {
	if err := l.node.awaitLog(ctx); err != nil {
		return 0, err
	}
	return l.Log.Put(ctx, t, key, value)
}

// awaitLog waits for a call's round trip. The call of a suspended process goes out later.
func (n *node) awaitLog(ctx context.Context) error {
	savoryloft.Sleep(ctx, 4*time.Millisecond)
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for n.frozen {
		thawed := n.thawed
		n.fleet.mu.Unlock()
		<-thawed
		n.fleet.mu.Lock()
	}
	if n.logAway || n.down {
		return savoryloft.ErrUnavailable
	}
	return ctx.Err()
}

// reaches reports whether two nodes are linked. The caller holds the fleet's lock.
func (n *node) reaches(other *node) bool {
	lost := func(n *node) bool { return n.down || n.frozen || n.cutOff }
	return n != other && !lost(n) && !lost(other)
}

// refresh reads the registry from the log, or from a linked node that does. The caller
// holds the fleet's lock.
func (n *node) refresh() {
	readable := func(n *node) bool { return !n.down && !n.frozen && !n.logAway }
	direct := readable(n)
	relayed := slices.ContainsFunc(n.fleet.nodes, func(o *node) bool { return n.reaches(o) && readable(o) })
	if direct || relayed {
		n.registry, n.readAt = n.fleet.upstreams, savoryloft.Uptime()
	}
}

// isWriter reports whether the node is the first one of those that it reaches.
func (n *node) isWriter() bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if n.frozen || n.down {
		return false
	}
	first := func(o *node) bool { return o.index < n.index && !o.logAway && n.reaches(o) }
	return !slices.ContainsFunc(n.fleet.nodes, first)
}

func (n *node) isIsolated() bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return !n.frozen && !slices.ContainsFunc(n.fleet.nodes, n.reaches)
}

// send calls a function for the trackers of the nodes that this one reaches.
func (n *node) send(deliver func(t *Tracker)) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for _, o := range n.fleet.nodes {
		if n.reaches(o) {
			go deliver(o.tracker)
		}
	}
}

func (n *node) start(isNew bool) {
	f, name := n.fleet, fmt.Sprintf("entry-%d", n.index)
	x := &Tracker{
		Instance: name, Log: nodeLog{f.log, n}, Services: func() []string { return []string{service} },
		Upstreams: func(string) []savoryloft.RegisteredUpstream {
			f.mu.Lock()
			defer f.mu.Unlock()
			n.refresh()
			return n.registry
		},
		RegistryAge: func() (time.Duration, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			n.refresh()
			return savoryloft.Uptime() - n.readAt, n.readAt > 0
		},
		Era: f.log.Era, IsWriter: n.isWriter, Isolated: n.isIsolated, Now: time.Now, NewDeployment: isNew,
		Send:      func(o savoryloft.StreamOrigins) { n.send(func(t *Tracker) { t.Merge(name, o) }) },
		SendBegun: func(begun []savoryloft.OriginBatch) { n.send(func(t *Tracker) { t.MergeBegun(begun) }) },
		Broadcast: func(o savoryloft.StreamOrigins, _ string) { n.send(func(t *Tracker) { t.Merge(name, o) }) },
		Reply: func(peer string, o savoryloft.StreamOrigins) {
			n.send(func(t *Tracker) {
				if t.Instance == peer {
					t.Merge(name, o)
				}
			})
		},
		Logger: logr.Discard(), Metrics: metrics.NewRegistry(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.mu.Lock()
	n.tracker, n.cancel, n.down, n.readAt = x, cancel, false, 0
	f.mu.Unlock()
	go func() { _ = x.Run(ctx) }()
	n.linkUp()
}

// linkUp exchanges what a node and those that it reaches know.
func (n *node) linkUp() {
	n.fleet.mu.Lock()
	var peers []*node
	for _, o := range n.fleet.nodes {
		if n.reaches(o) && o.tracker != nil {
			peers = append(peers, o)
		}
	}
	n.fleet.mu.Unlock()
	tell := func(from, to *node) {
		o, begun := from.tracker.Known()
		to.tracker.Merge(from.tracker.Instance, o)
		to.tracker.MergeBegun(begun)
	}
	for _, o := range peers {
		tell(n, o)
		tell(o, n)
	}
}

func (n *node) kill() {
	n.fleet.mu.Lock()
	n.down = true
	n.fleet.mu.Unlock()
	n.cancel()
}

// linkDelay is the time until the links of a node that is back come up.
const linkDelay = 700 * time.Millisecond

func (n *node) setFrozen(frozen bool) {
	n.fleet.mu.Lock()
	if n.frozen = frozen; frozen {
		n.thawed = make(chan struct{})
	} else {
		close(n.thawed)
	}
	n.fleet.mu.Unlock()
	n.setCutOff(frozen)
}

func (n *node) setCutOff(cutOff bool) {
	if cutOff {
		n.fleet.mu.Lock()
		n.cutOff = true
		n.fleet.mu.Unlock()
		return
	}
	time.AfterFunc(linkDelay, func() {
		n.fleet.mu.Lock()
		n.cutOff = false
		n.fleet.mu.Unlock()
		n.linkUp()
	})
}

func (n *node) setLogAway(away bool) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.logAway = away
}

// begin begins streams at a node, as the relayer does: at the only version if there is one
// and the node sees it, and else at any.
func (n *node) begin(count int) (keys []string) {
	for range count {
		sole := n.tracker.SoleVersion(service)
		n.fleet.mu.Lock()
		var versions []string
		for _, u := range n.registry {
			versions = append(versions, u.Version)
		}
		version := versions[n.fleet.rng.IntN(len(versions))]
		if slices.Contains(versions, sole) {
			version = sole
		}
		key := fmt.Sprintf("stream-%d", len(n.fleet.origins))
		n.fleet.origins[key] = version
		n.fleet.mu.Unlock()
		n.tracker.Begin(key, Origin{service, version}, false)
		keys = append(keys, key)
		time.Sleep(30 * time.Millisecond)
	}
	return keys
}

// takeUp takes up streams at a node and returns how many go on. None may go on at another
// version than the one that began it.
func (n *node) takeUp(keys []string) (going int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, key := range keys {
		group.Go(func() {
			o, err := n.tracker.Find(n.fleet.t.Context(), key, service)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			going++
			require.Equal(n.fleet.t, n.fleet.origins[key], o.Version, "joined")
		})
	}
	group.Wait()
	return going
}

// register sets the versions of the registered upstreams, two of each.
func (f *fleet) register(versions ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams = nil
	for i := range 2 * len(versions) {
		f.upstreams = append(f.upstreams, savoryloft.RegisteredUpstream{
			ID: fmt.Sprintf("i-%d", i), Service: service, Version: versions[i/2], StartedAtMs: i + 1,
		})
	}
}

// Guards against streams of an instance in trouble that do not go on at the others, or go
// on at another version there or at that instance, while a second version joins and leaves.
func TestTakeUpsAroundAReleaseBesideTrouble(t *testing.T) {
	const (
		troubleAt = 2 * time.Second
		troubled  = 4 * time.Second // Duration of the trouble.
		count     = 24
	)
	type trouble struct {
		name       string
		begin, end func(f *fleet, n *node)
		serves     bool // The instance serves meanwhile.
	}
	troubles := []trouble{
		{"frozen", func(_ *fleet, n *node) { n.setFrozen(true) }, func(_ *fleet, n *node) { n.setFrozen(false) }, false},
		{"killed", func(_ *fleet, n *node) { n.kill() }, func(_ *fleet, n *node) { n.start(false) }, false},
		{"cut off from its peers", func(_ *fleet, n *node) { n.setCutOff(true) }, func(_ *fleet, n *node) { n.setCutOff(false) }, true},
		{
			"cut off from both", func(_ *fleet, n *node) {
				n.setCutOff(true)
				n.setLogAway(true)
			}, func(_ *fleet, n *node) {
				n.setCutOff(false)
				n.setLogAway(false)
			}, true,
		},
		{"cut off from the log", func(_ *fleet, n *node) { n.setLogAway(true) }, func(_ *fleet, n *node) { n.setLogAway(false) }, true},
		{
			"frozen, then the others killed one after the other", func(f *fleet, n *node) {
				n.setFrozen(true)
				for _, o := range f.others(n) {
					o.kill()
					o.start(false)
					time.Sleep(300 * time.Millisecond)
				}
			}, func(_ *fleet, n *node) { n.setFrozen(false) }, false,
		},
		{
			"the others killed, then frozen", func(f *fleet, n *node) {
				for _, o := range f.others(n) {
					o.kill()
				}
				time.Sleep(400 * time.Millisecond)
				n.setFrozen(true)
				for _, o := range f.others(n) {
					o.start(false)
				}
			}, func(_ *fleet, n *node) { n.setFrozen(false) }, false,
		},
	}
	releases := []struct {
		name        string
		join, leave time.Duration // Zero for never.
	}{
		{"no release", 0, 0},
		{"joined long before", time.Millisecond, 0},
		{"joins shortly before", troubleAt - 50*time.Millisecond, 0},
		{"joins at once", troubleAt + 20*time.Millisecond, 0},
		{"joins meanwhile", troubleAt + time.Second, 0},
		{"joins at the take-up", troubleAt + 2500*time.Millisecond, 0},
		{"joins and leaves meanwhile", troubleAt + 300*time.Millisecond, troubleAt + 1800*time.Millisecond},
		{"joins after the trouble", troubleAt + troubled + 50*time.Millisecond, 0},
	}
	for _, tt := range troubles {
		for _, r := range releases {
			for index := range 3 { // The first one is the writer.
				t.Run(fmt.Sprintf("%s, %s, instance %d", tt.name, r.name, index), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := &fleet{t: t, log: &faker.Log{}, rng: rand.New(rand.NewPCG(uint64(index), 1)), origins: map[string]string{}}
						defer f.stop()
						f.register("v1")
						f.start(3)
						at := func(d time.Duration, do func()) {
							if d > 0 {
								time.AfterFunc(d, do)
							}
						}
						at(r.join, func() { f.register("v1", "v2") })
						at(r.leave, func() { f.register("v1") })
						n := f.nodes[index]
						begun := make(chan []string, 1)
						time.AfterFunc(troubleAt-time.Second, func() { begun <- n.begin(count) })
						time.Sleep(troubleAt)
						tt.begin(f, n)
						own := <-begun
						var others, late []string
						for _, o := range f.others(n) {
							others = append(others, o.begin(count/2)...)
						}
						if tt.serves {
							late = n.begin(count)
						}
						time.Sleep(time.Second)
						for _, o := range f.others(n) {
							require.GreaterOrEqual(t, o.takeUp(own), count/2, "streams begun before")
							if going := o.takeUp(late); !n.unheard() {
								require.GreaterOrEqual(t, going, len(late)/2, "streams begun meanwhile")
							}
						}
						if tt.serves {
							if going := n.takeUp(others); !n.unheard() {
								require.GreaterOrEqual(t, going, len(others)/2, "at the instance in trouble")
							}
						}
						time.Sleep(time.Second)
						tt.end(f, n)
						require.GreaterOrEqual(t, n.takeUp(others), len(others)/2, "at the instance that is back")
						require.GreaterOrEqual(t, n.takeUp(own), len(own)/2, "its own streams")
					})
				})
			}
		}
	}
}

func (f *fleet) start(count int) {
	for i := range count {
		f.nodes = append(f.nodes, &node{fleet: f, index: i, down: true})
	}
	for _, n := range f.nodes {
		n.start(true)
	}
	time.Sleep(time.Second)
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.cancel()
	}
	synctest.Wait()
}

// unheard reports whether the node reaches neither another one nor the log.
func (n *node) unheard() bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.logAway && !slices.ContainsFunc(n.fleet.nodes, n.reaches)
}

func (f *fleet) others(n *node) (list []*node) {
	for _, o := range f.nodes {
		if o != n {
			list = append(list, o)
		}
	}
	return list
}
