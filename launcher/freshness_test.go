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

// draws is a source of random numbers for several goroutines.
type draws struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (d *draws) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n)
}

// upTo returns a duration: mostly short, sometimes as long as most.
func (d *draws) upTo(most time.Duration) time.Duration {
	if d.intN(10) > 0 {
		most /= 100
	}
	return time.Duration(d.intN(int(most)))
}

// network connects instances by pipes that delay what passes, and hold it back
// while the pair is cut.
type network struct {
	*draws
	mu        sync.Mutex
	listeners map[string]chan net.Conn
	cut       map[string]bool // By address, in either direction.
}

func (n *network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[a] != n.cut[b]
}

func (n *network) set(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

func (n *network) dial(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if n.isCut(from, to) {
			savoryloft.Sleep(ctx, time.Second)
			return nil, context.DeadlineExceeded
		}
		near, nearEnd := net.Pipe()
		far, farEnd := net.Pipe()
		go n.pump(nearEnd, farEnd, from, to)
		go n.pump(farEnd, nearEnd, from, to)
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		select {
		case l <- far:
			return near, nil
		case <-ctx.Done():
			_, _ = near.Close(), far.Close()
			return nil, ctx.Err()
		}
	}
}

func (n *network) pump(from, to net.Conn, a, b string) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 64<<10)
	for {
		k, err := from.Read(buf)
		if err != nil {
			return
		}
		time.Sleep(n.upTo(time.Second))
		for n.isCut(a, b) {
			time.Sleep(50 * time.Millisecond)
		}
		if _, err := to.Write(buf[:k]); err != nil {
			return
		}
	}
}

// pipeListener accepts the connections of a network.
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

// slowLog is one instance's access to the log: calls take a while before and
// after they are served, and fail while it is down.
type slowLog struct {
	savoryloft.RecordLog
	*draws
	mu   sync.Mutex
	down bool
}

func (l *slowLog) set(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *slowLog) enter(ctx context.Context) error {
	savoryloft.Sleep(ctx, l.upTo(time.Second))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return savoryloft.ErrUnavailable
	}
	return nil
}

func (l *slowLog) Read(ctx context.Context, t savoryloft.Topic, from int, wait time.Duration) (savoryloft.RecordPage, error) {
	if err := l.enter(ctx); err != nil {
		return savoryloft.RecordPage{}, err
	}
	p, err := l.RecordLog.Read(ctx, t, from, wait)
	savoryloft.Sleep(ctx, l.upTo(time.Second))
	return p, err
}

func (l *slowLog) Newest(ctx context.Context, t savoryloft.Topic) (savoryloft.RecordPage, error) {
	if err := l.enter(ctx); err != nil {
		return savoryloft.RecordPage{}, err
	}
	p, err := l.RecordLog.Newest(ctx, t)
	savoryloft.Sleep(ctx, l.upTo(time.Second))
	return p, err
}

// versionDecoder reads configurations of nothing but a version.
type versionDecoder struct{}

func (versionDecoder) ConfigurationKey() string { return "config" }

func (versionDecoder) Configuration(value []byte) (c savoryloft.Configuration, err error) {
	return c, json.Unmarshal(value, &c)
}

func (versionDecoder) Upstream(id string, _ []byte) (savoryloft.RegisteredUpstream, error) {
	return savoryloft.RegisteredUpstream{ID: id}, nil
}

// Links delay and are cut, instances lose the log and get it back, and the
// configuration changes meanwhile: no instance ever takes what it knows for
// younger than it is.
func TestNoInstanceTakesItsConfigurationForYounger(t *testing.T) {
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
				synctest.Test(t, func(t *testing.T) { walkFreshness(t, tt.instances, tt.domains, uint64(seed)) })
			})
		}
	}
}

func walkFreshness(t *testing.T, instances, domains int, seed uint64) {
	const (
		length    = 30 * time.Second
		step      = 20 * time.Millisecond
		settled   = 1500 * time.Millisecond // Age that each instance's knowledge has at most without faults.
		settling  = 8 * time.Second
		changeOne = 40 // Steps between two changes, on average.
	)
	d := &draws{rng: rand.New(rand.NewPCG(seed, 3))}
	n := &network{draws: d, listeners: map[string]chan net.Conn{}, cut: map[string]bool{}}
	log := &faker.Log{}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var launchers []*Launcher
	var logs []*slowLog
	address := func(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }
	for i := range instances {
		n.listeners[address(i)] = make(chan net.Conn)
		logs = append(logs, &slowLog{RecordLog: log, draws: d})
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
	var accepted []time.Duration // Uptime at which each version was accepted, by version less one.
	change := func() {
		value, err := json.Marshal(savoryloft.Configuration{Version: len(accepted) + 1})
		require.NoError(t, err)
		require.NoError(t, log.Put(ctx, savoryloft.TopicConfiguration, "config", value))
		accepted = append(accepted, savoryloft.Uptime())
	}
	check := func() (oldest time.Duration) {
		for i, l := range launchers {
			age, ok := l.watcher.Age(savoryloft.TopicConfiguration)
			if !ok {
				oldest = length
				continue
			}
			known := savoryloft.Uptime() - age
			version := l.watcher.Version()
			for v, at := range accepted {
				require.False(t, at < known && v+1 > version,
					"instance %d has version %d as of %s, but version %d was accepted %s before", i, version, known, v+1, known-at)
			}
			oldest = max(oldest, age)
		}
		return oldest
	}
	change()
	for range length / step {
		time.Sleep(step)
		if d.intN(changeOne) == 0 {
			change()
		}
		if i := d.intN(instances); d.intN(10) == 0 {
			n.set(address(i), d.intN(3) == 0)
			logs[i].set(d.intN(3) == 0)
		}
		check()
	}
	for i := range instances {
		n.set(address(i), false)
		logs[i].set(false)
	}
	time.Sleep(settling)
	oldest := length
	for range 100 { // Calls and links are slow at times also then.
		time.Sleep(step)
		oldest = min(oldest, check())
	}
	require.Less(t, oldest, settled)
	cancel()
	group.Wait()
	time.Sleep(time.Minute)
}
