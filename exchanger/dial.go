package exchanger

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer dials TCP connections that fail when the peer stops acknowledging
// data.
type Dialer struct {
	// UserTimeout limits how long sent data may remain unacknowledged before
	// the kernel closes the connection (TCP_USER_TIMEOUT, rounded down to ms).
	UserTimeout    time.Duration
	ConnectTimeout time.Duration // No timeout when zero.
}

// Dial connects to an address of the form "IP:port".
func (d Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.ConnectTimeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.UserTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	return dialer.DialContext(ctx, "tcp", address)
}

// IsIdle reports whether a connection is still open and has no unread data. It can
// be called while another goroutine reads from the connection. Connections that are
// not sockets count as idle.
func IsIdle(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN || err == unix.EWOULDBLOCK
	})
	return err == nil && idle
}
