package launcher

import (
	"context"
	"net"
	"time"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/relayer"
)

const (
	fileDescriptors       = 200      // Descriptors that are left for files.
	socketReserveDivisor  = 8        // The part of the other ones that is left for links, the log, probes and idle connections to upstreams.
	clientConnectionBytes = 40 << 10 // Memory that the buffers of a client's connection take.
	connectionMemoryShare = 5        // The part of the memory limit, as a divisor, that these may take.
)

// steadyListener is a listener whose Accept does not fail for a lack of descriptors.
type steadyListener struct{ net.Listener }

// Accept implements net.Listener.
func (l steadyListener) Accept() (net.Conn, error) { return relayer.AcceptConn(l.Listener) }

// maxClientConnections returns the number of client connections that the limits on
// descriptors and memory allow, or 0 if there are none. Each may need a connection to an
// upstream.
func (l *Launcher) maxClientConnections() int {
	limits, most := l.Deployment.Limits, 0
	if limits.Descriptors > 0 {
		sockets := max(limits.Descriptors-fileDescriptors, limits.Descriptors/2)
		most = max((sockets-sockets/socketReserveDivisor)/2, 1)
	}
	if byMemory := int(limits.MemoryBytes / connectionMemoryShare / clientConnectionBytes); byMemory > 0 && (most == 0 || byMemory < most) {
		most = byMemory
	}
	return most
}

// closeIdleConnections closes connections of clients and to upstreams when their idle
// time is over. It always returns nil.
func (l *Launcher) closeIdleConnections(ctx context.Context) error {
	for ctx.Err() == nil {
		savoryloft.Sleep(ctx, cleanupInterval)
		l.listener.CloseIdleFor(l.clientIdleTimeout())
		if l.detourListener != nil {
			l.detourListener.CloseIdleFor(defaultIdleTimeout)
		}
		l.Pool.CloseExpired()
		if l.PlatformPool != nil {
			l.PlatformPool.CloseExpired()
		}
	}
	return nil
}

// clientIdleTimeout returns the idle timeout of client connections that the configuration
// sets, or the default.
func (l *Launcher) clientIdleTimeout() time.Duration {
	if t := l.watcher.Table(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}
