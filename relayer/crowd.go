package relayer

import (
	"net"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft/budgeter"
)

const (
	acceptRetryInterval = 20 * time.Millisecond  // Between attempts to accept while there is no room, or after an error.
	minIdleTime         = 500 * time.Millisecond // Connections that have been without a request for less are not closed to make room.
	clientWriteTimeout  = 60 * time.Second       // For a client to take a part of a response.
	writePartBytes      = 64 << 10               // Size of the parts.
	stalledWriteTime    = 5 * time.Second        // Time without progress from which a response is cut off to make room.
)

// AcceptConn accepts a connection. It tries again after errors that do not end the
// listener, such as a lack of descriptors.
func AcceptConn(l net.Listener) (net.Conn, error) {
	for {
		conn, err := l.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		var system *net.OpError
		if !errors.As(err, &system) {
			return nil, err
		}
		time.Sleep(acceptRetryInterval)
	}
}

// awaitRoom waits until fewer than MaxOpen connections are open or the listener is closed.
// It closes the connections that have been idle for the longest time meanwhile.
func (l *Listener) awaitRoom() {
	for paused := false; ; paused = true {
		l.mu.Lock()
		full := l.full() && !l.closed
		switch {
		case !full:
			l.pausedAt = time.Time{}
		case !paused:
			l.pausedAt = time.Now()
		}
		l.mu.Unlock()
		if !full {
			return
		}
		if !paused {
			l.pauses.Add(1)
		}
		l.closeLongestIdle()
		time.Sleep(acceptRetryInterval)
	}
}

// full reports whether no connection is accepted. The caller holds the lock.
func (l *Listener) full() bool { return l.MaxOpen > 0 && len(l.conns) >= l.MaxOpen }

// closeLongestIdle closes the connection that has been without a whole head of a request,
// or whose unfinished body has stalled, for the longest time.
func (l *Listener) closeLongestIdle() {
	var longest *clientConn
	var since time.Time
	for _, c := range l.open() {
		c.endStalledWrite()
		if idle := c.idle(); !idle.IsZero() && (longest == nil || idle.Before(since)) {
			longest, since = c, idle
		}
	}
	if longest != nil && time.Since(since) >= minIdleTime && !longest.closeIfIdle() {
		longest.endHead()
	}
}

// CloseIdleFor closes the connections that have been idle for at least a time.
func (l *Listener) CloseIdleFor(d time.Duration) {
	for _, c := range l.open() {
		if idle := c.idle(); !idle.IsZero() && time.Since(idle) >= d {
			c.closeIfIdle()
		}
	}
}

// open returns the open connections.
func (l *Listener) open() []*clientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*clientConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// PausedFor returns for how long accepting has been paused.
func (l *Listener) PausedFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pausedAt.IsZero() {
		return 0
	}
	return time.Since(l.pausedAt)
}

// Counts returns the number of open connections, and how often accepting has paused.
func (l *Listener) Counts() (open, pauses int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.conns)), l.pauses.Load()
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	return l.Listener.Close()
}

// beginRequest records that the head of a request has been received.
func (c *clientConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headReceived, c.receiving, c.idleSince = true, true, time.Now()
}

// endBody records that the body of a request has been received.
func (c *clientConn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
}

// idle returns the time since which the connection has been without a whole head of a
// request, or without progress of its body, or zero if it has a complete request.
func (c *clientConn) idle() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.headReceived && !c.receiving:
		return time.Time{}
	case c.idleSince.IsZero():
		return c.acceptedAt
	}
	return c.idleSince
}

// endHead makes the server's read fail if it waits for the rest of a head or of a body.
func (c *clientConn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy && (!c.headReceived || c.receiving) {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// endStalledWrite makes the server's write fail if the client has taken nothing for
// stalledWriteTime.
func (c *clientConn) endStalledWrite() {
	if since := c.partSince.Load(); since != 0 && time.Since(time.Unix(0, since)) >= stalledWriteTime {
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	}
}

// holdResponse accounts for a response until it is written. If memory runs out, a client
// that does not read loses its connection.
func (c *clientConn) holdResponse(memory *budgeter.Budget, size int) {
	h := memory.Open(func() { _ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) })
	h.ReserveAnyway(size)
	c.response.Store(h)
}

func (c *clientConn) releaseResponse() {
	if h := c.response.Swap(nil); h != nil {
		h.Close()
	}
}

// writeParts writes in parts, each of which the client must take in clientWriteTimeout.
func (c *clientConn) writeParts(b []byte) (int, error) {
	written := 0
	for {
		part := b[written:min(len(b), written+writePartBytes)]
		_ = c.Conn.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
		h := c.response.Load()
		if h != nil && !h.Alive() {
			return written, errNoMemory
		}
		c.partSince.Store(time.Now().UnixNano())
		n, err := c.Conn.Write(part)
		c.partSince.Store(0)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
		if h != nil {
			h.Progress()
		}
	}
}
