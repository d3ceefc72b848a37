// Package exchanger is an HTTP/1.1 client that performs single exchanges over
// pooled connections. It reports whether any byte of a request was sent and
// never retries a request. A connection whose last response was not read
// completely is closed, so that a late response is never read as the response to
// another request.
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
//	// conn.Sent reports whether any byte of the request was sent.
//	body, err := conn.ReadBody(ctx, resp, 1<<20)
package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft/budgeter"
)

// Mode selects whether Get may return an idle connection.
type Mode int

// Modes of Get.
const (
	// Reuse returns an idle connection if there is one and dials otherwise.
	Reuse Mode = iota
	// Recent is Reuse for connections that have been used within the last second. It is
	// meant for rare requests that must not be late: an idle connection may have gone
	// silent, which shows only after a timeout.
	Recent
	// Fresh always dials. It is meant for requests that must not fail because
	// the server has already closed an idle connection.
	Fresh
)

const (
	defaultMaxIdle     = 64
	defaultIdleTimeout = 10 * time.Second
	recentTime         = time.Second
	keepAliveMargin    = 700 * time.Millisecond // The server may close an idle connection while a request is in transit.
	readBufferBytes    = 16 << 10
	writeBufferBytes   = 16 << 10
	// defaultMaxHeadBytes limits the status line and header of a response. Servers
	// commonly send at most 8 KiB.
	defaultMaxHeadBytes = 64 << 10
	// defaultMaxBuffered limits the memory for responses that are being read as a
	// whole, over all connections of a pool.
	defaultMaxBuffered = 16 << 20
)

// errHeadTooLarge is returned when a response has no end of its header within the
// limit.
const errHeadTooLarge = errors.ConstError("header of the response exceeds the limit")

// errBufferedTooMuch is returned when the responses that are being read take more
// memory than the pool allows.
const errBufferedTooMuch = errors.ConstError("responses that are being read exceed the memory limit")

// DialTCP connects to an address of the form "IP:port".
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Pool keeps idle connections for each address. Only Dial must be set.
type Pool struct {
	Dial              func(ctx context.Context, address string) (net.Conn, error)
	MaxIdlePerAddress int              // Maximum number of idle connections per address; 64 when zero.
	IdleTimeout       time.Duration    // Maximum idle time of a connection; 10 s when zero.
	MaxHeadBytes      int              // Limit on the status line and header of a response; 64 KiB when zero.
	MaxBufferedBytes  int64            // Limit on the memory for responses that are being read as a whole; 16 MiB when zero.
	Memory            *budgeter.Budget // That these responses also count toward; nil for none.

	idle     sync.Map     // Maps an address to its *idleList.
	buffered atomic.Int64 // Bytes of responses that are being read as a whole.
}

// idleList holds the idle connections to one address; the last one was used most
// recently.
type idleList struct {
	mu    sync.Mutex
	conns []*Conn
	gone  bool // The list has been removed from the pool.
}

// Conn is a connection that carries at most one exchange at a time.
type Conn struct {
	net.Conn
	Address     string
	StartedAtMs int // Start time of the process at the other end as Unix time in milliseconds; 0 while it is not known.

	pool             *Pool
	reader           *bufio.Reader
	writer           *bufio.Writer
	readTimeout      time.Duration
	extendRead       func() time.Duration // See ExtendReads.
	bytesWritten     atomic.Int64
	writtenBefore    int64 // Value of bytesWritten at the start of the current exchange.
	reusable         bool  // The last response was read completely, and the server keeps the connection open.
	idleSince        time.Time
	keepAliveTimeout time.Duration   // Server's keep-alive timeout; 0 when unknown.
	exchanges        int             // Requests that were sent, including the current one.
	refused          map[string]bool // Requests that the server has refused; see MarkRefused.
	closeOnRelease   bool
	bodyWritten      chan error  // Receives the result of the background body write; nil if there is none.
	stopCancel       func() bool // Stops the AfterFunc that closes the connection when the context ends.
	headBytesLeft    int         // Bytes that may still be read before the end of the header; -1 outside of a header.
	head             headChecker // Of the header that is being read.
}

// Get returns a connection to address. No request data has been sent when it
// returns an error.
func (p *Pool) Get(ctx context.Context, address string, mode Mode) (*Conn, error) {
	if mode != Fresh {
		if c := p.takeIdle(address, mode); c != nil {
			return c, nil
		}
	}
	nc, err := p.Dial(ctx, address)
	if err != nil {
		return nil, errors.Annotatef(err, "dial %s", address)
	}
	c := &Conn{Conn: nc, Address: address, pool: p, headBytesLeft: noHead}
	c.reader = bufio.NewReaderSize(timeoutReader{c}, readBufferBytes)
	c.writer = bufio.NewWriterSize(countingWriter{c}, writeBufferBytes)
	return c, nil
}

// takeIdle returns the most recently used idle connection that is still usable,
// or nil.
func (p *Pool) takeIdle(address string, mode Mode) *Conn {
	v, ok := p.idle.Load(address)
	if !ok {
		return nil
	}
	l := v.(*idleList)
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) > 0 {
		c := l.conns[len(l.conns)-1]
		if mode == Recent && time.Since(c.idleSince) >= recentTime {
			return nil // So are the others.
		}
		l.conns = l.conns[:len(l.conns)-1]
		// Unread data would be read as the response to the next request.
		if time.Since(c.idleSince) < c.idleTimeout() && IsIdle(c.Conn) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

func (p *Pool) putIdle(c *Conn) {
	c.idleSince = time.Now()
	for added := false; !added; {
		added = p.addIdle(c)
	}
}

// addIdle returns false if the list of the address has just been removed.
func (p *Pool) addIdle(c *Conn) bool {
	v, _ := p.idle.LoadOrStore(c.Address, &idleList{})
	l := v.(*idleList)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gone {
		return false
	}
	if len(l.conns) >= p.maxIdle() {
		_ = c.Close()
		return true
	}
	l.conns = append(l.conns, c)
	return true
}

// CloseExpired closes the connections whose idle time is over, such as those to servers
// that are gone. Call it regularly.
func (p *Pool) CloseExpired() {
	p.idle.Range(func(address, v any) bool {
		l := v.(*idleList)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conns = slices.DeleteFunc(l.conns, func(c *Conn) bool {
			expired := time.Since(c.idleSince) >= c.idleTimeout()
			if expired {
				_ = c.Close()
			}
			return expired
		})
		if len(l.conns) == 0 {
			l.gone = true
			p.idle.CompareAndDelete(address, v)
		}
		return true
	})
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
	if p.MaxIdlePerAddress > 0 {
		return p.MaxIdlePerAddress
	}
	return defaultMaxIdle
}

// idleTimeout returns the maximum idle time of the connection.
func (c *Conn) idleTimeout() time.Duration {
	limit := c.pool.idleTimeout()
	if c.keepAliveTimeout > 0 {
		limit = min(limit, c.keepAliveTimeout-keepAliveMargin)
	}
	return limit
}

func (p *Pool) idleTimeout() time.Duration {
	if p.IdleTimeout > 0 {
		return p.IdleTimeout
	}
	return defaultIdleTimeout
}

// Exchange writes req and reads the status line and header of the response.
// Read the body with ReadBody or from resp.BodyStream. The timeout bounds the
// write of the request and each later read from the connection. The connection
// is closed when ctx ends.
func (c *Conn) Exchange(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error {
	c.readTimeout = timeout
	c.exchanges++
	c.writtenBefore = c.bytesWritten.Load()
	c.reusable = false
	c.stopCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	_ = c.SetWriteDeadline(time.Now().Add(timeout))
	if err := req.Write(c.writer); err != nil {
		return errors.Annotatef(cause(ctx, err), "write request to %s", c.Address)
	}
	if err := c.writer.Flush(); err != nil {
		return errors.Annotatef(cause(ctx, err), "write request to %s", c.Address)
	}
	received, err := c.ReadResponse(ctx, string(req.Header.Method()))
	if err != nil {
		return err
	}
	resp.SetStatusCode(received.StatusCode)
	for name, values := range received.Header {
		for _, v := range values {
			resp.Header.Add(name, v)
		}
	}
	resp.SetBodyStream(bodyReader{received.Body}, int(received.ContentLength))
	if received.Close {
		c.CloseOnRelease()
	}
	return nil
}

// bodyReader hides the Close method of a body, which would read what is left of it.
type bodyReader struct{ io.Reader }

// Sent reports whether any byte of the last request was written to the
// connection.
func (c *Conn) Sent() bool { return c.bytesWritten.Load() > c.writtenBefore }

// ReadBody reads the body of a response from Exchange. It returns an error when
// the body is longer than limit bytes.
func (c *Conn) ReadBody(ctx context.Context, resp *fasthttp.Response, limit int) ([]byte, error) {
	stream := resp.BodyStream()
	if stream == nil {
		c.reusable = true
		return nil, nil
	}
	body, err := c.readAll(ctx, stream, int64(limit))
	c.reusable = err == nil
	return body, err
}

// readAll reads r to its end, which must come within limit bytes. The memory that
// it takes meanwhile counts toward the pool's limit, so that servers that send
// bytes without end cannot exhaust the memory of the process. Blocks are reused, so
// that failed reads leave no garbage.
func (c *Conn) readAll(ctx context.Context, r io.Reader, limit int64) ([]byte, error) {
	first := make([]byte, 0, minReadBytes)
	block, size := first, int64(0)
	var blocks []*[]byte // After the first one.
	holding := c.pool.memory().Open(nil)
	holding.ForResponse()
	defer holding.Close()
	defer func() {
		for _, b := range blocks {
			blockPool.Put(b)
		}
		c.pool.buffered.Add(-int64(len(blocks)) * blockBytes)
	}()
	for {
		if len(block) == cap(block) {
			if !holding.Reserve(blockBytes) || !c.pool.reserveBuffer(blockBytes) {
				return nil, errors.Annotatef(errBufferedTooMuch, "read response body from %s", c.Address)
			}
			next := blockPool.Get().(*[]byte)
			blocks = append(blocks, next)
			block = (*next)[:0]
		}
		n, err := r.Read(block[len(block):cap(block)])
		block, size = block[:len(block)+n], size+int64(n)
		switch {
		case size > limit:
			return nil, errors.Errorf("response body from %s exceeds %d bytes", c.Address, limit)
		case errors.Is(err, io.EOF):
			return joinBlocks(first, blocks, size), nil
		case err != nil:
			return nil, errors.Annotatef(cause(ctx, err), "read response body from %s", c.Address)
		}
	}
}

// joinBlocks returns the first size bytes of the blocks.
func joinBlocks(first []byte, blocks []*[]byte, size int64) []byte {
	if size <= minReadBytes {
		return first[:size]
	}
	body := append(make([]byte, 0, size), first[:minReadBytes]...)
	for _, b := range blocks {
		body = append(body, (*b)[:min(blockBytes, size-int64(len(body)))]...)
	}
	return body
}

const (
	// minReadBytes is the size of the first block of readAll, which does not count
	// toward MaxBufferedBytes. Most responses fit.
	minReadBytes = 4 << 10
	blockBytes   = 32 << 10 // Size of the other blocks.
)

var blockPool = sync.Pool{New: func() any {
	b := make([]byte, blockBytes)
	return &b
}}

// reserveBuffer adds n bytes to the memory for responses that are being read. It
// returns false if that would exceed the limit.
func (p *Pool) reserveBuffer(n int64) bool {
	for {
		used := p.buffered.Load()
		if used+n > p.maxBuffered() {
			return false
		}
		if p.buffered.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// memory returns the budget for responses that are being read.
func (p *Pool) memory() *budgeter.Budget {
	if p.Memory != nil {
		return p.Memory
	}
	return &budgeter.Budget{}
}

func (p *Pool) maxBuffered() int64 {
	if p.MaxBufferedBytes > 0 {
		return p.MaxBufferedBytes
	}
	return defaultMaxBuffered
}

// Reused reports whether the connection has carried a request or a query before the
// current one.
func (c *Conn) Reused() bool { return c.exchanges > 1 }

// IsNew reports whether the connection has carried no request yet.
func (c *Conn) IsNew() bool { return c.exchanges == 0 }

// maxRefused is the number of refused requests after which a connection is not kept.
const maxRefused = 32

// MarkRefused records that the server has refused a request, which is not to be sent on the
// connection again: a copy of the refusal could not be told from the response.
func (c *Conn) MarkRefused(id string) {
	if c.refused == nil {
		c.refused = map[string]bool{}
	}
	c.refused[id] = true
	if len(c.refused) >= maxRefused {
		c.CloseOnRelease()
	}
}

// HasRefused reports whether the server has refused a request on the connection.
func (c *Conn) HasRefused(id string) bool { return c.refused[id] }

// DrainFor discards the rest of a response, which its reader does not need. If the response
// ends within the timeout it is marked as completely read, else the connection is closed.
func (c *Conn) DrainFor(rest io.Reader, timeout time.Duration) {
	timer := time.AfterFunc(timeout, func() { _ = c.Close() })
	_, err := io.Copy(io.Discard, rest)
	if timer.Stop() && err == nil {
		c.MarkComplete()
	}
}

// MarkComplete marks the response as completely read, so that Release keeps the
// connection open.
func (c *Conn) MarkComplete() { c.reusable = true }

// Release returns the connection to its pool if it can carry another exchange.
// It closes the connection when the last response was not read completely or is
// followed by unread data, when the request body was not sent completely, when
// the context of the exchange has ended, or after CloseOnRelease.
func (c *Conn) Release() {
	c.extendRead = nil
	cancelled := c.stopCancel != nil && !c.stopCancel()
	if !c.reusable || c.closeOnRelease || cancelled || c.reader.Buffered() > 0 || !c.bodySent() {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.pool.putIdle(c)
}

// cause returns the cancellation cause of ctx if ctx has ended, and err
// otherwise. The end of ctx closes the connection, so err would only report a
// closed connection.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// timeoutReader resets the read deadline before each read, and limits and checks the
// bytes that are read in search of the end of a header.
type timeoutReader struct{ c *Conn }

func (r timeoutReader) Read(b []byte) (int, error) {
	if r.c.headBytesLeft == 0 {
		return 0, errHeadTooLarge
	}
	_ = r.c.SetReadDeadline(time.Now().Add(r.c.readTimeout))
	n, err := r.c.Conn.Read(b)
	for n == 0 && r.c.extendRead != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		extension := r.c.extendRead()
		if extension <= 0 {
			break
		}
		_ = r.c.SetReadDeadline(time.Now().Add(extension))
		n, err = r.c.Conn.Read(b)
	}
	if r.c.headBytesLeft != noHead {
		r.c.headBytesLeft = max(r.c.headBytesLeft-n, 0)
		if err := r.c.head.check(b[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

const noHead = -1 // Value of headBytesLeft outside of a header.

// readHead calls parse, which reads the header of a response from c.reader. The header is
// limited and checked.
func (c *Conn) readHead(ctx context.Context, parse func() error) error {
	c.headBytesLeft = defaultMaxHeadBytes
	if c.pool.MaxHeadBytes > 0 {
		c.headBytesLeft = c.pool.MaxHeadBytes
	}
	defer func() { c.headBytesLeft = noHead }()
	c.head = headChecker{}
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err == nil && c.head.check(buffered) == nil {
		err = parse()
	}
	if c.head.err != nil {
		err = c.head.err // The parser may report another error.
	}
	if err != nil {
		return errors.Annotatef(cause(ctx, err), "read response from %s", c.Address)
	}
	return nil
}

// countingWriter counts the bytes written to the connection.
type countingWriter struct{ c *Conn }

func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.c.Conn.Write(b)
	w.c.bytesWritten.Add(int64(n))
	return n, err
}
