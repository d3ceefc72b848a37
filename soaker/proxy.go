// Package soaker runs instances as separate processes against emulated back
// ends and injects faults from outside, in tests only: proxies that delay, reset
// or drop traffic, and signals that stop, pause, kill and restart processes.
//
// # Usage
//
//	make soak SEEDS="1 2 3" SECONDS=20
package soaker

import (
	"net"
	"sync"
	"time"
)

// Mode defines how a proxy handles traffic.
type Mode int

// Modes.
const (
	Pass    Mode = iota // Forwards traffic unchanged.
	Delay               // Delays each chunk by chunkDelay.
	Silence             // Drops traffic in both directions; connections stay open.
	OneWay              // Drops responses; requests are forwarded.
	Refuse              // Closes new connections and resets open ones.
	modes               // Number of modes.
)

const (
	chunkDelay = 150 * time.Millisecond
	chunkBytes = 32 << 10
)

// Proxy is a TCP proxy on loopback that forwards connections to a target
// address and injects faults.
type Proxy struct {
	Target string

	listener net.Listener
	mu       sync.Mutex
	mode     Mode
	conns    map[net.Conn]bool
}

// Start listens on a free loopback port and returns its address, or the error of
// the listener.
func (p *Proxy) Start() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.listener, p.conns = l, map[net.Conn]bool{}
	go p.accept()
	return l.Addr().String(), nil
}

// Stop closes the listener and resets open connections.
func (p *Proxy) Stop() {
	_ = p.listener.Close()
	p.Set(Refuse)
}

// Set changes the mode, also for open connections. Refuse resets them.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != Refuse {
		return
	}
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *Proxy) current() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.current() == Refuse {
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
		go p.copy(out, in, false)
		go p.copy(in, out, true)
	}
}

// copy forwards bytes in one direction until either connection fails or closes,
// and then closes both. The argument answers marks the direction from the
// target to the client.
func (p *Proxy) copy(to, from net.Conn, answers bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.track(from, false)
	}()
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch m := p.current(); {
			case m == Silence, m == OneWay && answers:
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
			return
		}
	}
}
