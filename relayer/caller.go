package relayer

import (
	"context"
	"net"
	"sync"
	"time"
)

// Listener wraps accepted connections so that a caller's leaving is noticed
// while its request waits or runs.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*callerConn]struct{}{}
	}
	l.conns[c] = struct{}{}
	return c, nil
}

// CloseIdle closes connections that wait for a request.
func (l *Listener) CloseIdle() {
	l.mu.Lock()
	conns := make([]*callerConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.closeIfIdle()
	}
}

// callerConn is a caller's connection. Between requests the HTTP server reads
// it; during one, Watch does.
type callerConn struct {
	net.Conn
	listener *Listener

	mu      sync.Mutex
	ahead   []byte // Read by Watch before the HTTP server asked for it.
	busy    bool   // A request has begun to arrive and has no complete answer yet.
	watched chan struct{}
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if len(c.ahead) > 0 {
		n := copy(b, c.ahead)
		c.ahead = c.ahead[n:]
		c.busy = true
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.busy = true
		c.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	idle := !c.busy && c.watched == nil
	c.mu.Unlock()
	if idle {
		// The server's read fails at once; a request that is being read goes on.
		_ = c.SetReadDeadline(time.Now())
	}
}

// Watch calls left when the other side closes the connection. It reads at most
// one byte ahead, which the next Read returns.
func (c *callerConn) Watch(left context.CancelCauseFunc) {
	done := make(chan struct{})
	c.mu.Lock()
	c.watched = done
	c.mu.Unlock()
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		var b [1]byte
		n, err := c.Conn.Read(b[:])
		if n > 0 {
			c.mu.Lock()
			c.ahead = append(c.ahead, b[:n]...)
			c.mu.Unlock()
			return
		}
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			return // Unwatch has ended the read.
		}
		left(errCallerLeft)
	}()
}

// Unwatch ends Watch, so that the HTTP server can read again.
func (c *callerConn) Unwatch() {
	c.mu.Lock()
	done := c.watched
	c.watched = nil
	c.mu.Unlock()
	if done == nil {
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-done
	_ = c.SetReadDeadline(time.Time{})
	c.mu.Lock()
	c.busy = false
	c.mu.Unlock()
}
