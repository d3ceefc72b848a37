package relayer

import (
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"savoryloft.example/savoryloft/budgeter"
	"savoryloft.example/savoryloft/exchanger"
)

// Listener wraps accepted connections, so that the relayer can detect clients
// that disconnect before the response.
type Listener struct {
	net.Listener
	MaxOpen int // Connections above which none is accepted; no limit when zero.

	mu           sync.Mutex
	conns        map[*clientConn]struct{}
	lastAccepted time.Time
	closed       bool
	pausedAt     time.Time    // Zero while connections are accepted.
	pauses       atomic.Int64 // Times that MaxOpen was reached.
}

// firstRequestTime is the time that a client has to send its first request on a
// new connection before the connection counts as idle.
const firstRequestTime = 500 * time.Millisecond

// Accept implements net.Listener. It waits while MaxOpen connections are open, and after
// errors, such as a lack of descriptors, that do not end the listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.awaitRoom()
	conn, err := AcceptConn(l.Listener)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &clientConn{Conn: conn, listener: l, acceptedAt: now}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAccepted = now
	if l.conns == nil {
		l.conns = map[*clientConn]struct{}{}
	}
	l.conns[c] = struct{}{}
	return c, nil
}

// SinceAccepted returns the time since the last connection was accepted, or zero while
// accepting is paused.
func (l *Listener) SinceAccepted() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.full() {
		return 0 // Connections may wait for room.
	}
	return time.Since(l.lastAccepted)
}

// Refuse makes the kernel refuse new connections. Those that it has accepted before can
// still be accepted, while a close of the listener would reset them.
func (l *Listener) Refuse() error {
	conn, ok := l.Listener.(syscall.Conn)
	if !ok {
		return errors.Errorf("listener at %s is not a socket", l.Addr())
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	// A listener that is bound to an interface gets connections from this one only.
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
	}); controlErr != nil {
		return errors.Trace(controlErr)
	}
	return errors.Annotatef(err, "bind listener at %s to no interface", l.Addr())
}

// noInterface is an index that no network interface has: the kernel counts them from 1.
const noInterface = math.MaxInt32

// CloseIdle makes the server close the connections that have no request in progress and
// are not new. It returns the number of connections that have been open, these included: a
// request may still cross the close.
func (l *Listener) CloseIdle() (open int) {
	conns := l.open()
	for _, c := range conns {
		c.closeIfIdle()
	}
	return len(conns)
}

// ObserveState records the state of a connection in the HTTP server. Set it as the
// server's ConnState.
func (*Listener) ObserveState(conn net.Conn, state fasthttp.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case fasthttp.StateActive:
		c.busy = true
	case fasthttp.StateIdle:
		c.busy, c.headReceived, c.idleSince = false, false, time.Now()
		c.releaseResponse()
	default:
	}
}

// clientConn is a client's connection. The HTTP server reads requests from it.
// While a request is being handled, startDisconnectWatch reads from it instead.
type clientConn struct {
	net.Conn
	listener   *Listener
	acceptedAt time.Time

	response  atomic.Pointer[budgeter.Holding] // Of the response that is being written; nil if there is none.
	partSince atomic.Int64                     // Unix time in nanoseconds at which the pending write of a part began; 0 if none is pending.

	mu           sync.Mutex
	headReceived bool          // A request is being handled, or its body received.
	receiving    bool          // The body of a request is being received.
	idleSince    time.Time     // Time at which the last response was written, the next head began, or a part of a body arrived; zero before.
	received     bool          // The client has sent something.
	readAhead    []byte        // Data that the disconnect watch has read and the next Read returns.
	busy         bool          // A request is being received or handled, or its response is being written; see ObserveState.
	watchDone    chan struct{} // Closed when the disconnect watch ends; nil while none runs.

	readDeadline time.Time // The last one that SetReadDeadline has set.
	closing      bool      // closeIfIdle has set another one, which ends the pending Read.
}

// Read implements net.Conn.
func (c *clientConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if len(c.readAhead) > 0 {
		n := copy(b, c.readAhead)
		c.readAhead = c.readAhead[n:]
		c.setBusy()
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.setBusy()
		c.received = true
		if c.receiving {
			c.idleSince = time.Now()
		}
		if c.closing {
			// The request has crossed closeIfIdle.
			c.closing = false
			_ = c.Conn.SetReadDeadline(c.readDeadline)
		}
	}
	return n, err
}

// setBusy records that a request is being received. The caller holds the lock.
func (c *clientConn) setBusy() {
	if !c.busy {
		c.idleSince = time.Now()
	}
	c.busy = true
}

// SetReadDeadline implements net.Conn.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline, c.closing = t, false
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. It writes nothing to a client that has not sent
// anything: the HTTP server answers a connection on which it has waited in vain,
// and the client would take that for the response to its first request.
func (c *clientConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	received := c.received
	c.mu.Unlock()
	if !received {
		return 0, net.ErrClosed
	}
	return c.writeParts(b)
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.releaseResponse()
	err := c.Conn.Close()
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return err
}

// closeIfIdle makes the server close the connection, and returns true, if no request is in
// progress on it and it is not new.
func (c *clientConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := !c.busy && c.watchDone == nil && len(c.readAhead) == 0 && (c.received || time.Since(c.acceptedAt) > firstRequestTime)
	// A request may have arrived that the server has not read yet.
	if idle = idle && exchanger.IsIdle(c.Conn); idle {
		// The server's pending read fails, and the server closes the connection. If a
		// request arrives before that, Read sets the deadline back.
		c.closing = true
		_ = c.Conn.SetReadDeadline(time.Now())
	}
	return idle
}

// startDisconnectWatch starts to read from the connection and calls cancel when
// the client closes it. It reads at most one byte, which the next Read returns.
func (c *clientConn) startDisconnectWatch(cancel context.CancelCauseFunc) {
	done := make(chan struct{})
	c.mu.Lock()
	c.watchDone = done
	c.mu.Unlock()
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		var b [1]byte
		n, err := c.Conn.Read(b[:])
		if n > 0 {
			c.mu.Lock()
			c.readAhead = append(c.readAhead, b[:n]...)
			c.mu.Unlock()
			return
		}
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			return // stopDisconnectWatch has interrupted the read.
		}
		cancel(errClientDisconnected)
	}()
}

// stopDisconnectWatch interrupts the read of startDisconnectWatch, so that the
// HTTP server can read the next request.
func (c *clientConn) stopDisconnectWatch() {
	c.mu.Lock()
	done := c.watchDone
	c.watchDone = nil
	c.mu.Unlock()
	if done == nil {
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-done
	_ = c.SetReadDeadline(time.Time{})
}
