package exchanger

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer dials TCP connections on which the kernel notices a peer that has
// fallen silent.
type Dialer struct {
	// Unacknowledged is the time after which bytes without an acknowledgement
	// fail the connection.
	Unacknowledged time.Duration
	Timeout        time.Duration // Longest time for a connection to be set up.
}

// Dial dials an address given by IP number and port.
func (d Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.Timeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Unacknowledged.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	return dialer.DialContext(ctx, "tcp", address)
}

// quiet tells whether an idle connection is open and has no unread byte, which
// would belong to no request.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && idle
}
