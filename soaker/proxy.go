// Package soaker runs real instances as separate processes against stand-ins
// and injects faults from outside, in tests only: proxies that delay, reset or
// silence connections, and signals that stop, pause, kill and restart.
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

// Mode is what a proxy does with bytes.
type Mode int

// Modes.
const (
	Pass    Mode = iota
	Delay        // Each chunk waits.
	Silence      // Bytes are swallowed in both directions; connections stay open.
	OneWay       // Answers are swallowed.
	Refuse       // New connections are closed; open ones are reset.
	modes
)

const (
	chunkDelay = 150 * time.Millisecond
	chunkBytes = 32 << 10
)

// Proxy passes connections on to a target on loopback.
type Proxy struct {
	Target string

	listener net.Listener
	mu       sync.Mutex
	mode     Mode
	conns    map[net.Conn]bool
}

// Start listens on a free port and returns its address.
func (p *Proxy) Start() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.listener, p.conns = l, map[net.Conn]bool{}
	go p.accept()
	return l.Addr().String(), nil
}

// Stop ends the proxy and its connections.
func (p *Proxy) Stop() {
	_ = p.listener.Close()
	p.Set(Refuse)
}

// Set changes the mode. Refuse resets open connections.
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

// copy passes bytes on from one side to the other until either ends.
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
