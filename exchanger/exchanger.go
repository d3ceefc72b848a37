// Package exchanger performs single HTTP exchanges over connections that it
// owns. It reports whether any byte of a request left, never repeats a request
// by itself, and closes every connection whose last answer was not read to its
// end, so that a late answer can not reach another request.
//
// # Usage
//
//	pool := &exchanger.Pool{Dial: exchanger.DialTCP}
//	conn, err := pool.Get(ctx, "127.0.0.1:9000", exchanger.Fresh)
//	if err != nil {
//		return err // Nothing was sent.
//	}
//	defer conn.Release()
//	err = conn.Exchange(ctx, req, resp, 5*time.Second)
//	// conn.Sent tells whether a byte of the request left.
//	body, err := conn.ReadBody(resp, 1<<20)
package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// Mode tells whether an idle connection may be used.
type Mode int

// Modes of Get.
const (
	// Reuse takes an idle connection when there is one.
	Reuse Mode = iota
	// Fresh always dials, for requests that must not be lost on a connection
	// that the other side has already closed.
	Fresh
)

const (
	defaultMaxIdle   = 64
	defaultIdleLimit = 10 * time.Second
	keepAliveMargin  = 700 * time.Millisecond // Time on the way of a request that crosses the other side's close.
	readBufferBytes  = 16 << 10
	writeBufferBytes = 16 << 10
)

// DialTCP dials an address given by IP number and port.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Pool keeps idle connections by address. The zero value with Dial set is
// ready for use.
type Pool struct {
	Dial      func(ctx context.Context, address string) (net.Conn, error)
	MaxIdle   int           // Most idle connections for each address; 64 when zero.
	IdleLimit time.Duration // Age at which an idle connection is not used again; 10 s when zero.

	idle sync.Map // Address to *idleList.
}

type idleList struct {
	mu    sync.Mutex
	conns []*Conn
}

// Conn is one connection with at most one exchange at a time.
type Conn struct {
	net.Conn
	Address string

	pool     *Pool
	reader   *bufio.Reader
	writer   *bufio.Writer
	silence  time.Duration
	written  atomic.Int64
	sentMark int64
	complete bool
	idleAt   time.Time
	keepFor  time.Duration // Longest idle time that the other side allows; 0 when unknown.
	reused   bool
	tainted  bool
	writing  chan error // Result of a body that is written in the background.
	stop     func() bool
}

// Get returns a connection to address. An error means that nothing was sent.
func (p *Pool) Get(ctx context.Context, address string, mode Mode) (*Conn, error) {
	if mode == Reuse {
		if c := p.takeIdle(address); c != nil {
			return c, nil
		}
	}
	nc, err := p.Dial(ctx, address)
	if err != nil {
		return nil, errors.Annotatef(err, "dial %s", address)
	}
	c := &Conn{Conn: nc, Address: address, pool: p}
	c.reader = bufio.NewReaderSize(silentReader{c}, readBufferBytes)
	c.writer = bufio.NewWriterSize(countingWriter{c}, writeBufferBytes)
	return c, nil
}

func (p *Pool) takeIdle(address string) *Conn {
	v, ok := p.idle.Load(address)
	if !ok {
		return nil
	}
	l := v.(*idleList)
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) > 0 {
		c := l.conns[len(l.conns)-1]
		l.conns = l.conns[:len(l.conns)-1]
		if time.Since(c.idleAt) < c.idleLimit() && quiet(c.Conn) {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
	return nil
}

func (p *Pool) putIdle(c *Conn) {
	v, _ := p.idle.LoadOrStore(c.Address, &idleList{})
	l := v.(*idleList)
	c.idleAt = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= p.maxIdle() {
		_ = c.Close()
		return
	}
	l.conns = append(l.conns, c)
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.idle.Range(func(_, v any) bool {
		l := v.(*idleList)
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, c := range l.conns {
			_ = c.Close()
		}
		l.conns = nil
		return true
	})
}

func (p *Pool) maxIdle() int {
	if p.MaxIdle > 0 {
		return p.MaxIdle
	}
	return defaultMaxIdle
}

// idleLimit returns the age at which an idle connection is not used again.
func (c *Conn) idleLimit() time.Duration {
	limit := c.pool.idleLimit()
	if c.keepFor > 0 {
		limit = min(limit, c.keepFor-keepAliveMargin)
	}
	return limit
}

func (p *Pool) idleLimit() time.Duration {
	if p.IdleLimit > 0 {
		return p.IdleLimit
	}
	return defaultIdleLimit
}

// Exchange writes req and reads the answer's head. The body is left to
// ReadBody or to resp.BodyStream. The connection counts as lost when it is
// silent for longer than silence, or when ctx ends.
func (c *Conn) Exchange(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, silence time.Duration) error {
	c.silence = silence
	c.sentMark = c.written.Load()
	c.complete = false
	c.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	_ = c.SetWriteDeadline(time.Now().Add(silence))
	if err := req.Write(c.writer); err != nil {
		return errors.Annotatef(cause(ctx, err), "write request to %s", c.Address)
	}
	if err := c.writer.Flush(); err != nil {
		return errors.Annotatef(cause(ctx, err), "write request to %s", c.Address)
	}
	resp.StreamBody = true
	if err := resp.ReadLimitBody(c.reader, 0); err != nil {
		return errors.Annotatef(cause(ctx, err), "read answer of %s", c.Address)
	}
	return nil
}

// Sent tells whether a byte of the last request left this process.
func (c *Conn) Sent() bool { return c.written.Load() > c.sentMark }

// ReadBody reads the whole body of an answer, up to limit bytes.
func (c *Conn) ReadBody(ctx context.Context, resp *fasthttp.Response, limit int) ([]byte, error) {
	stream := resp.BodyStream()
	if stream == nil {
		c.complete = true
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(limit)+1))
	if err != nil {
		return nil, errors.Annotatef(cause(ctx, err), "read body from %s", c.Address)
	}
	if len(body) > limit {
		return nil, errors.Errorf("answer of %s is longer than %d bytes", c.Address, limit)
	}
	c.complete = true
	return body, nil
}

// Reused tells whether the connection has carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// Complete marks the answer as read to its end, so that Release keeps the
// connection.
func (c *Conn) Complete() { c.complete = true }

// Release returns the connection to its pool when the last answer was read to
// its end and closes it otherwise.
func (c *Conn) Release() {
	cancelled := c.stop != nil && !c.stop()
	if !c.complete || c.tainted || cancelled || c.reader.Buffered() > 0 || !c.bodySent() {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.pool.putIdle(c)
}

// cause prefers the reason for which ctx ended over the error of the closed
// connection.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// silentReader sets a new read deadline before each read.
type silentReader struct{ c *Conn }

func (r silentReader) Read(b []byte) (int, error) {
	_ = r.c.SetReadDeadline(time.Now().Add(r.c.silence))
	return r.c.Conn.Read(b)
}

type countingWriter struct{ c *Conn }

func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.c.Conn.Write(b)
	w.c.written.Add(int64(n))
	return n, err
}
