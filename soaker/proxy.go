// Package soaker runs instances as separate processes against emulated back
// ends and injects faults from outside, in tests only: proxies that delay, reset
// or drop traffic, and signals that stop, pause, kill and restart processes.
//
// # Usage
//
//	make soak SEEDS="1 2 3" SECONDS=20
//	SOAK_INSTANCES=60 make soak SEEDS="4 5" SECONDS=20 // More processes.
//	SOAK_OTHER=/tmp/savoryloft make soak SEEDS="6 7" SECONDS=8 // Beside another build.
//	SOAK_OTHER=/tmp/savoryloft SOAK_INSTANCES=60 SOAK_ROLLS="8 9" go test -v -run TestRollSoak ./soaker // A roll between builds.
package soaker

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode defines how a proxy handles traffic.
type Mode int

// Modes of a proxy.
const (
	Forward       Mode = iota // Forwards traffic unchanged.
	Delay                     // Delays each chunk by chunkDelay.
	DropAll                   // Drops traffic in both directions; connections stay open, and silent from then on.
	DropResponses             // Drops responses; requests are forwarded.
	Reset                     // Closes new connections and resets open ones.
	modeCount                 // Number of modes.
)

const (
	chunkDelay = 150 * time.Millisecond
	chunkBytes = 32 << 10
)

// Proxy is a TCP proxy on loopback that forwards connections to a target
// address and injects faults.
type Proxy struct {
	Target string
	IP     string // Loopback address at which it listens.

	address  string
	mu       sync.Mutex
	listener net.Listener
	mode     Mode
	conns    map[net.Conn]bool
}

// Start listens at a free port and returns its address, or the error of
// the listener.
func (p *Proxy) Start() (string, error) {
	p.address, p.conns = net.JoinHostPort(p.IP, "0"), map[net.Conn]bool{}
	err := p.Listen()
	return p.address, err
}

// Listen accepts connections again after Refuse.
func (p *Proxy) Listen() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener, p.address = l, l.Addr().String()
	p.mu.Unlock()
	go p.accept(l)
	return nil
}

// Refuse makes new connections be refused and resets the open ones, as when the target's
// process ends. A close could be the regular end of a response.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		reset(c)
	}
}

// Stop closes the listener and resets open connections.
func (p *Proxy) Stop() {
	p.Refuse()
	p.SetMode(Reset)
}

// SetMode changes the mode, also for open connections. The mode Reset resets
// them.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != Reset {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// track adds an open connection to those that Reset closes, or removes a closed
// one.
func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

func (p *Proxy) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == Reset {
			_ = in.Close()
			continue
		}
		out, err := net.Dial("tcp", p.Target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.track(in, true)
		p.track(out, true)
		go p.forward(out, in, false)
		go p.forward(in, out, true)
	}
}

// forward copies bytes from one connection to the other until either fails or
// closes, and then closes both: with a reset, unless the other side closed in the
// regular way, since a close can be the end of a response. Nothing follows bytes that it has
// dropped, neither other bytes nor a regular close, since a connection skips none. The argument responses is
// true for the direction from the target to the client.
func (p *Proxy) forward(to, from net.Conn, responses bool) {
	end := reset
	defer func() {
		end(to)
		end(from)
		p.track(from, false)
	}()
	buf, dropped := make([]byte, chunkBytes), false
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch m := p.currentMode(); {
			case dropped, m == DropAll, m == DropResponses && responses:
				dropped = true
			case m == Delay:
				time.Sleep(chunkDelay)
				fallthrough
			default:
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && !dropped && p.currentMode() != Reset {
				end = func(c net.Conn) { _ = c.Close() }
			}
			return
		}
	}
}
