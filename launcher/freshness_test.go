package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/faker"
)

// lockedRand is a random number generator for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (d *lockedRand) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n)
}

// delayUpTo returns a random duration below limit. Nine in ten are below a
// hundredth of limit.
func (d *lockedRand) delayUpTo(limit time.Duration) time.Duration {
	if d.intN(10) > 0 {
		limit /= 100
	}
	return time.Duration(d.intN(int(limit)))
}

// pipeNetwork connects instances by in-memory pipes with random delays. Data
// between the two sides of a partition is held back until the partition ends.
type pipeNetwork struct {
	*lockedRand
	mu          sync.Mutex
	listeners   map[string]chan net.Conn
	partitioned map[string]bool // Addresses on one side of the partition.
}

func (n *pipeNetwork) isPartitioned(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[a] != n.partitioned[b]
}

func (n *pipeNetwork) setPartitioned(address string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[address] = partitioned
}

func (n *pipeNetwork) dial(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if n.isPartitioned(from, to) {
			savoryloft.Sleep(ctx, time.Second)
			return nil, context.DeadlineExceeded
		}
		client, clientEnd := net.Pipe()
		server, serverEnd := net.Pipe()
		go n.forward(clientEnd, serverEnd, from, to)
		go n.forward(serverEnd, clientEnd, from, to)
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		select {
		case l <- server:
			return client, nil
		case <-ctx.Done():
			_, _ = client.Close(), server.Close()
			return nil, ctx.Err()
		}
	}
}

// forward copies data from one connection to another, with the delays and the
// partition between the addresses a and b.
func (n *pipeNetwork) forward(from, to net.Conn, a, b string) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 64<<10)
	for {
		k, err := from.Read(buf)
		if err != nil {
			return
		}
		time.Sleep(n.delayUpTo(time.Second))
		for n.isPartitioned(a, b) {
			time.Sleep(50 * time.Millisecond)
		}
		if _, err := to.Write(buf[:k]); err != nil {
			return
		}
	}
}

// pipeListener accepts the connections of a pipeNetwork.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// unreliableLog is one instance's client of the log. It delays requests and
// responses at random, and its calls fail while it is down.
type unreliableLog struct {
	savoryloft.RecordLog
	*lockedRand
	mu   sync.Mutex
	down bool
}

func (l *unreliableLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *unreliableLog) startCall(ctx context.Context) error {
	savoryloft.Sleep(ctx, l.delayUpTo(time.Second))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return savoryloft.ErrUnavailable
	}
	return nil
}

func (l *unreliableLog) Read(ctx context.Context, t savoryloft.Topic, from int, wait time.Duration) (savoryloft.RecordPage, error) {
	if err := l.startCall(ctx); err != nil {
		return savoryloft.RecordPage{}, err
	}
	p, err := l.RecordLog.Read(ctx, t, from, wait)
	savoryloft.Sleep(ctx, l.delayUpTo(time.Second))
	return p, err
}

func (l *unreliableLog) Newest(ctx context.Context, t savoryloft.Topic) (savoryloft.RecordPage, error) {
	if err := l.startCall(ctx); err != nil {
		return savoryloft.RecordPage{}, err
	}
	p, err := l.RecordLog.Newest(ctx, t)
	savoryloft.Sleep(ctx, l.delayUpTo(time.Second))
	return p, err
}

// versionDecoder decodes configurations from the JSON form of
// savoryloft.Configuration, of which the test sets only the version.
type versionDecoder struct{}

func (versionDecoder) EvacuatedDomain(string) (string, bool) { return "", false }

func (versionDecoder) ConfigurationKey() string { return "config" }

func (versionDecoder) Configuration(value []byte) (c savoryloft.Configuration, err error) {
	return c, json.Unmarshal(value, &c)
}

func (versionDecoder) Upstream(id string, _ []byte) (savoryloft.RegisteredUpstream, error) {
	return savoryloft.RegisteredUpstream{ID: id}, nil
}

// Guards against an instance that reports its configuration as more recent than
// it is, and so accepts revoked keys for too long. Delayed and partitioned links,
// failures of the log and configuration changes overlap at random, by seed.
func TestConfigurationAgeIsNeverUnderestimated(t *testing.T) {
	for _, tt := range []struct {
		name      string
		instances int
		domains   int
		seeds     int
	}{
		{"mesh", 5, 2, 12},
		{"hubs", 20, 2, 3},
	} {
		for seed := range tt.seeds {
			t.Run(fmt.Sprintf("%s/%d", tt.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runFreshness(t, tt.instances, tt.domains, uint64(seed)) })
			})
		}
	}
}

// runFreshness runs TestConfigurationAgeIsNeverUnderestimated with one seed.
func runFreshness(t *testing.T, instances, domains int, seed uint64) {
	const (
		length          = 30 * time.Second
		step            = 20 * time.Millisecond
		maxFaultFreeAge = 1500 * time.Millisecond // Limit on the highest age over all instances once faults have ended.
		recoveryTime    = 8 * time.Second
		changeSteps     = 40 // Mean number of steps between configuration changes.
	)
	rng := &lockedRand{rng: rand.New(rand.NewPCG(seed, 3))}
	n := &pipeNetwork{lockedRand: rng, listeners: map[string]chan net.Conn{}, partitioned: map[string]bool{}}
	log := &faker.Log{}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var launchers []*Launcher
	var logs []*unreliableLog
	address := func(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }
	for i := range instances {
		n.listeners[address(i)] = make(chan net.Conn)
		logs = append(logs, &unreliableLog{RecordLog: log, lockedRand: rng})
		l := &Launcher{
			Deployment: savoryloft.Deployment{
				Instance: fmt.Sprint("entry-", i), FailureDomain: fmt.Sprint("d", i%domains), Seeds: []string{address(0), address(1)},
				Listen: savoryloft.DeploymentListen{Links: address(i)},
				Bounds: savoryloft.DeploymentBounds{ConfigurationInForce: 2 * time.Second, Drain: 2 * time.Second, UsageWindow: 5 * time.Second},
			},
			Decoder: versionDecoder{}, Log: logs[i], Pool: &exchanger.Pool{}, Logger: logr.Discard(),
		}
		l.build()
		l.linker.Dial = n.dial(address(i))
		launchers = append(launchers, l)
		listener := &pipeListener{conns: n.listeners[address(i)], done: make(chan struct{})}
		group.Go(func() { _ = l.linker.Serve(ctx, listener) })
		group.Go(func() { _ = l.linker.Run(ctx) })
		group.Go(func() { _ = l.watcher.Run(ctx) })
	}
	var accepted []time.Duration // Uptime at which version i+1 was accepted.
	change := func() {
		value, err := json.Marshal(savoryloft.Configuration{Version: len(accepted) + 1})
		require.NoError(t, err)
		log.Set(savoryloft.TopicConfiguration, "config", value)
		accepted = append(accepted, savoryloft.Uptime())
	}
	// check fails the test when an instance reports an age by which its version was
	// already out of date. It returns the highest age over all instances.
	check := func() (oldest time.Duration) {
		for i, l := range launchers {
			age, ok := l.watcher.Age(savoryloft.TopicConfiguration)
			if !ok {
				oldest = length
				continue
			}
			asOf := savoryloft.Uptime() - age
			version := l.watcher.Version()
			for v, at := range accepted {
				require.False(t, at < asOf && v+1 > version,
					"instance %d has version %d as of %s, but version %d was accepted %s before", i, version, asOf, v+1, asOf-at)
			}
			oldest = max(oldest, age)
		}
		return oldest
	}
	change()
	for range length / step {
		time.Sleep(step)
		if rng.intN(changeSteps) == 0 {
			change()
		}
		if i := rng.intN(instances); rng.intN(10) == 0 {
			n.setPartitioned(address(i), rng.intN(3) == 0)
			logs[i].setDown(rng.intN(3) == 0)
		}
		check()
	}
	for i := range instances {
		n.setPartitioned(address(i), false)
		logs[i].setDown(false)
	}
	time.Sleep(recoveryTime)
	oldest := length
	for range 100 { // The age still varies, since some delays remain long.
		time.Sleep(step)
		oldest = min(oldest, check())
	}
	require.Less(t, oldest, maxFaultFreeAge)
	cancel()
	group.Wait()
	time.Sleep(time.Minute)
}
