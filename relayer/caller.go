package relayer

import (
	"context"
	"net"
	"sync"
	"time"
)

// Listener wraps accepted connections, so that the relayer can detect clients
// that disconnect before the response.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*clientConn]struct{}{}
	}
	l.conns[c] = struct{}{}
	return c, nil
}

// CloseIdle closes the connections that have no request in progress.
func (l *Listener) CloseIdle() {
	l.mu.Lock()
	conns := make([]*clientConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.closeIfIdle()
	}
}

// clientConn is a client's connection. The HTTP server reads requests from it.
// While a request is being handled, startDisconnectWatch reads from it instead.
type clientConn struct {
	net.Conn
	listener *Listener

	mu        sync.Mutex
	readAhead []byte        // Data that the disconnect watch has read and the next Read returns.
	busy      bool          // A request is being received or handled.
	watchDone chan struct{} // Closed when the disconnect watch ends; nil while none runs.
}

// Read implements net.Conn.
func (c *clientConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if len(c.readAhead) > 0 {
		n := copy(b, c.readAhead)
		c.readAhead = c.readAhead[n:]
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
func (c *clientConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// closeIfIdle closes the connection if no request is in progress on it.
func (c *clientConn) closeIfIdle() {
	c.mu.Lock()
	idle := !c.busy && c.watchDone == nil
	c.mu.Unlock()
	if idle {
		// The server's pending read fails, and the server closes the connection. A
		// connection on which a request has begun to arrive is busy and stays open.
		_ = c.SetReadDeadline(time.Now())
	}
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
	c.mu.Lock()
	c.busy = false
	c.mu.Unlock()
}
