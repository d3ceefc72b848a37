package relayer

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crossingConn is a connection on which data arrives as its read deadline is set.
type crossingConn struct {
	net.Conn

	mu       sync.Mutex
	deadline time.Time
	arrived  chan struct{}
}

func (c *crossingConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.IsZero() && !t.After(time.Now()) {
		close(c.arrived)
	}
	c.deadline = t
	return nil
}

func (c *crossingConn) Read(b []byte) (int, error) {
	<-c.arrived
	return copy(b, "POST / HTTP/1.1\r\n"), nil
}

// Guards against requests that are cut off in the middle since they began to arrive as
// their connection was about to be closed as idle.
func TestRequestThatCrossesTheCloseOfAnIdleConnectionIsRead(t *testing.T) {
	raw := &crossingConn{arrived: make(chan struct{})}
	c := &clientConn{Conn: raw, listener: &Listener{}, received: true}
	idleUntil := time.Now().Add(time.Minute)
	require.NoError(t, c.SetReadDeadline(idleUntil))
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 64))
		read <- err
	}()
	require.True(t, c.closeIfIdle())
	require.NoError(t, <-read)
	raw.mu.Lock()
	defer raw.mu.Unlock()
	require.Equal(t, idleUntil, raw.deadline, "the rest of the request is awaited")
}
