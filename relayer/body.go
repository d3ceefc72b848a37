package relayer

import (
	"io"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft/budgeter"
)

const (
	defaultMaxBodyBytes = 4 << 20 // Applies while no configuration sets a limit.
	minHeaderTimeout    = 5 * time.Second
	firstBodyBytes      = 4 << 10  // Size of the first buffer for a body in chunks.
	firstAnnouncedBytes = 64 << 10 // Most of the first buffer for a body whose length is known.
	memoryRetryAfter    = time.Second
	progressBytes       = 4 << 10 // Fewer bytes are no progress of a body that waits for more.
)

// errNoMemory is the error of a body for which the budget has no room.
const errNoMemory = errors.ConstError("requests take more memory than the process may use")

// RequestConfig returns the limits for a request from the configuration in force, or the
// defaults when there is none. The server must stream the bodies: receiveBody reads them
// and bounds their size.
func (r *Relayer) RequestConfig(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	c := fasthttp.RequestConfig{MaxRequestBodySize: r.maxBodyBytes(), ReadTimeout: minHeaderTimeout}
	if h.ContentLength() > c.MaxRequestBodySize {
		c.MaxRequestBodySize = 1 // The server awaits the beginning of a body up to this size.
	}
	if t := r.Watcher.Table(); t != nil {
		c.ReadTimeout = max(t.Limits.HeaderTimeout, minHeaderTimeout)
	}
	return c
}

func (r *Relayer) maxBodyBytes() int {
	if t := r.Watcher.Table(); t != nil && t.Limits.BodyBytes > 0 {
		return t.Limits.BodyBytes
	}
	return defaultMaxBodyBytes
}

// receiveBody reads the body of a request as far as the budget admits it. The caller closes
// the holding, which accounts for the body, also after an error.
func (r *Relayer) receiveBody(httpCtx *fasthttp.RequestCtx) ([]byte, *budgeter.Holding, error) {
	conn := httpCtx.Conn()
	if c, ok := conn.(*clientConn); ok {
		c.beginRequest()
		defer c.endBody()
		conn = c.Conn
	}
	holding := r.Memory.Open(func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	header := &httpCtx.Request.Header
	if t := r.Watcher.Table(); t != nil && t.Limits.HeaderBytes > 0 && len(header.RawHeaders()) > t.Limits.HeaderBytes {
		return nil, holding, &fasthttp.ErrSmallBuffer{}
	}
	body, err := readBody(httpCtx.RequestBodyStream(), header.ContentLength(), r.maxBodyBytes(), holding)
	if !holding.Keep() {
		return nil, holding, errNoMemory
	}
	return body, holding, err
}

// readBody reads a body of at most limit bytes, and of the announced length unless that is
// negative. The holding accounts for the buffers.
func readBody(r io.Reader, announced, limit int, holding *budgeter.Holding) ([]byte, error) {
	if announced > limit {
		return nil, fasthttp.ErrBodyTooLarge
	}
	if r == nil || announced == 0 {
		return nil, nil
	}
	most, first := limit+1, firstBodyBytes // One byte more shows that a body is too large.
	if announced > 0 {
		most, first = announced, firstAnnouncedBytes
	}
	var body []byte
	fresh := 0 // Bytes since the last progress.
	for announced < 0 || len(body) < announced {
		if len(body) == cap(body) {
			size := min(max(first, 2*cap(body)), most)
			if !holding.Reserve(size) {
				return nil, errNoMemory
			}
			grown := append(make([]byte, 0, size), body...)
			holding.Release(cap(body))
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, fasthttp.ErrBodyTooLarge
		case errors.Is(err, io.EOF) && len(body) < announced:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
		if fresh += n; fresh >= progressBytes {
			holding.Progress()
			fresh = 0
		}
	}
	return body, nil
}

// refuseUnread responds to a request whose body was not received. It has not run.
func (r *Relayer) refuseUnread(httpCtx *fasthttp.RequestCtx, err error) {
	if !errors.Is(err, errNoMemory) {
		HandleProtocolError(httpCtx, err)
		return
	}
	httpCtx.SetConnectionClose()
	x := &exchange{relayer: r, httpCtx: httpCtx, finished: true}
	x.refuse(fasthttp.StatusServiceUnavailable, "NoMemory", "instance has no memory for the body; the request has not run", memoryRetryAfter)
}

// countUnread counts a request whose body was not received, by cause.
func (r *Relayer) countUnread(err error) {
	cause := "malformed"
	var timeout net.Error
	switch {
	case errors.Is(err, errNoMemory):
		cause = "memory"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		cause = "too_large"
	case errors.As(err, &timeout) && timeout.Timeout():
		cause = "timeout"
	}
	metrics.GetOrRegisterCounter("bodies_refused."+cause, r.Metrics).Inc(1)
}
