package emulator

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp/fasthttputil"
)

// Network is an in-memory network for tests that works inside a
// testing/synctest bubble. It emulates a partition between two hosts, open
// connections that drop all traffic while new ones work, and the death of a
// host's process.
type Network struct {
	mu         sync.Mutex
	listeners  map[string]*listener // By address.
	conns      map[*connState]bool
	partitions map[hostPair]bool
	killed     map[string]bool // By host.
	captured   []byte
	capturing  bool
}

type hostPair struct{ a, b string }

func pairOf(a, b string) hostPair {
	if a > b {
		a, b = b, a
	}
	return hostPair{a, b}
}

type listener struct {
	network *Network
	host    string
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// connState is the state that the two ends of a connection share.
type connState struct {
	hosts        hostPair
	dropsTraffic bool
	ends         [2]*networkConn
}

type networkConn struct {
	net.Conn
	network *Network
	state   *connState
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*listener{}, conns: map[*connState]bool{},
		partitions: map[hostPair]bool{}, killed: map[string]bool{},
	}
}

// Listen listens on an address of a host, which also revives a killed host. It
// fails with EADDRINUSE if the address is in use.
func (n *Network) Listen(host, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, host: host, address: address, conns: make(chan net.Conn, 1024), closed: make(chan struct{})}
	n.listeners[address] = l
	delete(n.killed, host)
	return l, nil
}

// Dialer returns a function that dials from a host. It fails with ECONNREFUSED
// if nothing listens on the address, and with os.ErrDeadlineExceeded once the
// context ends if the hosts are partitioned.
func (n *Network) Dialer(host string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) { return n.dial(ctx, host, address) }
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	partitioned := ok && n.partitions[pairOf(from, l.host)]
	refused := !ok || n.killed[from]
	n.mu.Unlock()
	if refused {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	if partitioned {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	}
	pipe := fasthttputil.NewPipeConns()
	state := &connState{hosts: pairOf(from, l.host)}
	state.ends[0] = &networkConn{Conn: pipe.Conn1(), network: n, state: state}
	state.ends[1] = &networkConn{Conn: pipe.Conn2(), network: n, state: state}
	n.mu.Lock()
	n.conns[state] = true
	n.mu.Unlock()
	select {
	case l.conns <- state.ends[1]:
		return state.ends[0], nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
}

// Partition partitions two hosts: open connections drop all traffic, and dialing
// blocks until its context ends.
func (n *Network) Partition(a, b string) {
	n.DropTraffic(a, b)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[pairOf(a, b)] = true
}

// HealPartition ends the partition of two hosts. Connections opened before it keep
// dropping all traffic.
func (n *Network) HealPartition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitions, pairOf(a, b))
}

// DropTraffic makes the open connections between two hosts drop all traffic
// from now on. Connections opened later work.
func (n *Network) DropTraffic(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.conns {
		if s.hosts == pairOf(a, b) {
			s.dropsTraffic = true
		}
	}
}

// Kill closes a host's listeners and connections, as the death of its process
// does. Dialing from the host fails until it listens again.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var conns []*networkConn
	for s := range n.conns {
		if s.hosts.a == host || s.hosts.b == host {
			conns = append(conns, s.ends[0], s.ends[1])
		}
	}
	var listeners []*listener
	for _, l := range n.listeners {
		if l.host == host {
			listeners = append(listeners, l)
		}
	}
	n.killed[host] = true
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

// Capture starts recording the bytes written to connections, except those of
// callers.
func (n *Network) Capture() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.capturing = true
}

// Captured returns the bytes recorded since Capture.
func (n *Network) Captured() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]byte(nil), n.captured...)
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return networkAddr(l.address) }

type networkAddr string

// Network implements net.Addr.
func (networkAddr) Network() string { return "memory" }

// String implements net.Addr.
func (a networkAddr) String() string { return string(a) }

// Write implements net.Conn. If the connection drops traffic, Write discards the
// bytes and reports success.
func (c *networkConn) Write(b []byte) (int, error) {
	c.network.mu.Lock()
	dropsTraffic := c.state.dropsTraffic
	if c.network.capturing && c.state.hosts.a != callerHost && c.state.hosts.b != callerHost {
		c.network.captured = append(c.network.captured, b...)
	}
	c.network.mu.Unlock()
	if dropsTraffic {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. If the connection drops traffic, the other end stays
// open.
func (c *networkConn) Close() error {
	c.network.mu.Lock()
	dropsTraffic := c.state.dropsTraffic
	delete(c.network.conns, c.state)
	c.network.mu.Unlock()
	if dropsTraffic {
		_ = c.SetDeadline(time.Now())
		return nil
	}
	return c.Conn.Close()
}

// callerHost is the host of callers. Captured leaves out its connections, since
// they carry API keys.
const callerHost = "caller"
