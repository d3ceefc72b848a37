package launcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/platform"
	"savoryloft.example/savoryloft/platform/standin"
)

// partitionMode is what happens to connections to the engines.
type partitionMode int

const (
	connected     partitionMode = iota
	refusing                    // All connections are reset, and new ones refused.
	hanging                     // All connections hang, and so do dials.
	refusingDials               // Connections that are up live on, new ones are refused.
	hangingDials                // Connections that are up live on, dials hang.
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
	case hanging, hangingDials:
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

// Guards against clients that pass for instances: they could name the number of upstreams
// that may run their request, and learn what is refused to other instances only.
func TestOnlyInstancesMayUseTheDetour(t *testing.T) {
	c := newCluster(t)
	var forwarded atomic.Int64 // Requests with the header that have reached the engine.
	c.addEngine(func(r *http.Request) standin.Behaviour {
		if r.Header.Get(platform.Wire{}.DetourHeader()) != "" {
			forwarded.Add(1)
		}
		return standin.Normal
	})
	i := c.start(longRevocation)
	c.waitForUpstreams(i, 1)
	own := i.launcher.detours.Announcements()[0]
	for _, tt := range []struct {
		name   string
		url    string
		header string
		status int
		runs   int
	}{
		{"without a token", "http://" + own.Address, "", http.StatusForbidden, 0},
		{"another token", "http://" + own.Address, "abc 1", http.StatusForbidden, 0},
		{"the token", "http://" + own.Address, own.Token + " 1", http.StatusOK, 1},
		{"a client", i.url, own.Token + " 1", http.StatusOK, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := c.request(&instance{url: tt.url}, "twice", "key-1")
			if tt.header != "" {
				r.Header.Set(platform.Wire{}.DetourHeader(), tt.header)
			}
			id := standin.AttemptID(r)
			require.Equal(t, tt.status, c.do(r).status)
			require.Equal(t, tt.runs, c.startedRuns(id))
			require.Zero(t, forwarded.Load())
		})
	}
}

// Guards against answers of "not run" to requests that another instance may have run, and
// against truncated responses that look complete, where that instance fails.
func TestDetourThatFails(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nSavoryloft-Detour: refused\r\nContent-Length: 0\r\n\r\n"
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, tt := range []struct {
		name, route, response string
		status                int
		broken                bool // The client sees that the body is not complete.
	}{
		{"it refuses", "once", refusal, http.StatusServiceUnavailable, false},
		{"it has started again, with another token", "once", strings.Replace(refusal, "503 Service Unavailable", "403 Forbidden", 1), http.StatusServiceUnavailable, false},
		{"it ends the connection", "once", "", http.StatusBadGateway, false},
		{"it ends the connection of a request that may be repeated", "twice", "", http.StatusBadGateway, false},
		{"its response is cut", "once", "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 9\r\n\r\nhalf", http.StatusBadGateway, false},
		{"its stream is cut", "stream", stream + "5\r\nid: 1\r\n", http.StatusOK, true},
		{"its response is complete", "once", "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 4\r\n\r\nfull", http.StatusOK, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			for range 3 {
				c.addEngine(nil)
			}
			i := c.start(longRevocation)
			c.waitForUpstreams(i, 3)
			i.partition.set(refusing)
			c.addPeer(i, tt.response)
			r := c.do(c.request(i, tt.route, "key-1"))
			require.Equal(t, tt.status, r.status, r.body)
			require.Equal(t, tt.broken, r.err != nil)
		})
	}
}

// addPeer makes an instance know another one that ends its connections after a response.
func (c *cluster) addPeer(i *instance, response string) {
	listener, err := net.Listen("tcp", instanceIP()+":0") // No partition concerns it.
	require.NoError(c.t, err)
	peer := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = conn.Write([]byte(response))
			_ = conn.Close()
		}
	}))
	peer.Listener = listener
	peer.Start()
	c.t.Cleanup(peer.Close)
	i.launcher.detours.Merge([]savoryloft.Detour{{Instance: "peer", Incarnation: 1, Address: listener.Addr().String(), Token: "dG9rZW4"}})
}

// Guards against answers of "not run" to requests that an upstream may have run before they
// were sent through another instance, which refuses them.
func TestRefusalOfADetourAfterAPossibleRun(t *testing.T) {
	const length = "Content-Length: 4\r\n\r\nbody"
	for _, tt := range []struct {
		response string
		status   int
	}{
		{"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" + length, http.StatusBadGateway},
		{"HTTP/1.1 429 Too Many Requests\r\n" + length, http.StatusBadGateway},
		{"HTTP/1.1 401 Unauthorized\r\n" + length, http.StatusBadGateway},
		{"HTTP/1.1 404 Not Found\r\n" + length, http.StatusBadGateway},
		{"HTTP/1.1 403 Forbidden\r\nSavoryloft-Detour: refused\r\n" + length, http.StatusBadGateway},
		{"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n" + length, http.StatusOK},
		{"HTTP/1.1 500 Internal Server Error\r\nX-Server-Signature: s\r\n" + length, http.StatusInternalServerError},
	} {
		for route, attempts := range map[string]int{"twice": 2, "resume": 3} {
			t.Run(tt.response[len("HTTP/1.1 "):][:3]+", "+route, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t)
				var way atomic.Pointer[partition]
				for range 3 {
					c.addEngine(func(*http.Request) standin.Behaviour {
						way.Load().set(hangingDials)
						return standin.DropResponse
					})
				}
				i := c.start(longRevocation)
				way.Store(i.partition)
				c.waitForUpstreams(i, 3)
				c.addPeer(i, tt.response)
				r := c.request(i, route, "key-1")
				resp := c.do(r)
				require.Equal(t, tt.status, resp.status, resp.body)
				require.LessOrEqual(t, c.startedRuns(standin.AttemptID(r)), attempts)
			})
		}
	}
}
