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
	mu        sync.Mutex
	listeners map[string]*listener // By address.
	links     map[*networkLink]bool
	cuts      map[hostPair]bool
	dead      map[string]bool // By host.
	captured  []byte
	capture   bool
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

// networkLink is the state that the two ends of a connection share.
type networkLink struct {
	hosts  hostPair
	silent bool
	ends   [2]*networkConn
}

type networkConn struct {
	net.Conn
	network *Network
	link    *networkLink
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*listener{}, links: map[*networkLink]bool{},
		cuts: map[hostPair]bool{}, dead: map[string]bool{},
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
	delete(n.dead, host)
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
	cut := ok && n.cuts[pairOf(from, l.host)]
	refused := !ok || n.dead[from]
	n.mu.Unlock()
	if refused {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	if cut {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	}
	pipe := fasthttputil.NewPipeConns()
	link := &networkLink{hosts: pairOf(from, l.host)}
	link.ends[0] = &networkConn{Conn: pipe.Conn1(), network: n, link: link}
	link.ends[1] = &networkConn{Conn: pipe.Conn2(), network: n, link: link}
	n.mu.Lock()
	n.links[link] = true
	n.mu.Unlock()
	select {
	case l.conns <- link.ends[1]:
		return link.ends[0], nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
}

// Cut partitions two hosts: open connections drop all traffic, and dialing
// blocks until its context ends.
func (n *Network) Cut(a, b string) {
	n.Silence(a, b)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[pairOf(a, b)] = true
}

// Heal ends the partition of two hosts. Connections opened before it keep
// dropping all traffic.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, pairOf(a, b))
}

// Silence makes the open connections between two hosts drop all traffic from
// now on. New connections work.
func (n *Network) Silence(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.hosts == pairOf(a, b) {
			l.silent = true
		}
	}
}

// Kill closes a host's listeners and connections, as the death of its process
// does. Dialing from the host fails until it listens again.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var conns []*networkConn
	for l := range n.links {
		if l.hosts.a == host || l.hosts.b == host {
			conns = append(conns, l.ends[0], l.ends[1])
		}
	}
	var listeners []*listener
	for _, l := range n.listeners {
		if l.host == host {
			listeners = append(listeners, l)
		}
	}
	n.dead[host] = true
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
	n.capture = true
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

// Write implements net.Conn. It reports success but drops the bytes if the link
// is silent.
func (c *networkConn) Write(b []byte) (int, error) {
	c.network.mu.Lock()
	silent := c.link.silent
	if c.network.capture && c.link.hosts.a != callerHost && c.link.hosts.b != callerHost {
		c.network.captured = append(c.network.captured, b...)
	}
	c.network.mu.Unlock()
	if silent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. On a silent link the other end stays open.
func (c *networkConn) Close() error {
	c.network.mu.Lock()
	silent := c.link.silent
	delete(c.network.links, c.link)
	c.network.mu.Unlock()
	if silent {
		_ = c.SetDeadline(time.Now())
		return nil
	}
	return c.Conn.Close()
}

// callerHost is the host of callers. Captured leaves out its connections, since
// they carry API keys.
const callerHost = "caller"
