package launcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/exchanger"
)

// partitionMode is what happens to connections to the engines.
type partitionMode int

const (
	connected     partitionMode = iota
	refusing                    // All connections are reset, and new ones refused.
	hanging                     // All connections hang, and so do dials.
	refusingDials               // Connections that are up live on, new ones are refused.
)

// partition is the way from one instance to the engines.
type partition struct {
	isUpstream func(address string) bool

	mu    sync.Mutex
	mode  partitionMode
	conns []*partitionedConn
}

func (p *partition) set(m partitionMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for _, c := range p.conns {
		if m == refusing {
			_ = c.Conn.Close()
		}
		c.setHanging(m == hanging)
	}
}

func (p *partition) dial(ctx context.Context, address string) (net.Conn, error) {
	if !p.isUpstream(address) {
		return exchanger.DialTCP(ctx, address)
	}
	p.mu.Lock()
	mode := p.mode
	p.mu.Unlock()
	switch mode {
	case refusing, refusingDials:
		return nil, syscall.ECONNREFUSED
	case hanging:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := exchanger.DialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &partitionedConn{Conn: conn, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
	return c, nil
}

// partitionedConn is a connection that can hang: what is written is lost, and nothing is
// received until it is closed.
type partitionedConn struct {
	net.Conn
	once   sync.Once
	closed chan struct{}

	mu       sync.Mutex
	hangs    bool
	deadline time.Time
}

func (c *partitionedConn) setHanging(hangs bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hangs = c.hangs || hangs // Its bytes are lost for good.
	if hangs {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *partitionedConn) state() (hangs bool, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hangs, c.deadline
}

func (c *partitionedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	hangs, deadline := c.state()
	if !hangs {
		return n, err
	}
	var timeout <-chan time.Time
	if !deadline.IsZero() {
		timeout = time.After(time.Until(deadline))
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-timeout:
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *partitionedConn) Write(b []byte) (int, error) {
	if hangs, _ := c.state(); hangs {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *partitionedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.hangs {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *partitionedConn) SetDeadline(t time.Time) error {
	_ = c.SetWriteDeadline(t)
	return c.SetReadDeadline(t)
}

func (c *partitionedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// isEngine reports whether an address is that of an engine.
func (c *cluster) isEngine(address string) bool {
	host, _, err := net.SplitHostPort(address)
	require.NoError(c.t, err)
	return host == c.ip && !slices.Contains([]string{c.logServer.Listener.Addr().String(), c.dutyServer.Listener.Addr().String()}, address)
}

// Guards against instances whose clients are not served although only the way from these
// instances to the upstreams is cut, and others still have one.
func TestInstanceWithoutAWayToTheUpstreamsServesItsClients(t *testing.T) {
	const calls = 20
	modes := []string{"", "connections reset", "connections hang", "new connections refused"}
	for mode := refusing; mode <= refusingDials; mode++ {
		for _, cutOff := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d of 3 instances", modes[mode], cutOff), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t)
				for range 4 {
					c.addEngine(nil)
				}
				for range 3 {
					c.waitForUpstreams(c.start(longRevocation), 4)
				}
				c.waitForLinks()
				for _, i := range c.instances[:cutOff] {
					require.Equal(t, http.StatusOK, c.call(i, "twice", "key-1").status)
					i.partition.set(mode)
				}
				routes := []string{"once", "twice", "stream", "resume"}
				c.callTogether(c.instances[0], routes, 2) // While the partition is noticed, which may take a second.
				time.Sleep(time.Second)
				for _, i := range c.instances[:cutOff] {
					served, slowest := c.callTogether(i, routes, calls)
					require.Equal(t, calls*len(routes), served)
					require.Less(t, slowest, 500*time.Millisecond)
				}
				for _, i := range c.instances {
					i.partition.set(connected)
				}
				time.Sleep(time.Second)
				before := c.arrivals()
				served, _ := c.callTogether(c.instances[0], routes, calls)
				require.Equal(t, calls*len(routes), served)
				require.Equal(t, before+calls*len(routes), c.arrivals())
				for _, e := range c.engines {
					for _, r := range e.Requests() {
						require.LessOrEqual(t, c.startedRuns(r.ID), 1, "request %s", r.ID)
					}
				}
			})
		}
	}
}

// waitForLinks waits until each instance has links to all others.
func (c *cluster) waitForLinks() {
	for _, i := range c.instances {
		require.Eventually(c.t, func() bool { return len(i.launcher.linker.Members()) == len(c.instances)-1 }, eventuallyTimeout, 10*time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond) // A status on each link.
}

// arrivals returns the number of requests that have reached the engines.
func (c *cluster) arrivals() (n int) {
	for _, e := range c.engines {
		n += len(e.Requests())
	}
	return n
}

// callTogether sends n requests on each route, a few at a time, and returns how many were
// served and the longest time that one took.
func (c *cluster) callTogether(i *instance, routes []string, n int) (served int, slowest time.Duration) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for range n {
		for _, route := range routes {
			r := c.request(i, route, "key-1")
			group.Go(func() {
				started := time.Now()
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					return
				}
				defer resp.Body.Close()
				_, err = io.ReadAll(resp.Body)
				mu.Lock()
				defer mu.Unlock()
				slowest = max(slowest, time.Since(started))
				if err == nil && resp.StatusCode == http.StatusOK {
					served++
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	return served, slowest
}
