package exchanger

import (
	"context"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// backgroundWriteBytes is the smallest body that is written in the
	// background, since an upstream may respond before it has read the body.
	backgroundWriteBytes      = 16 << 10
	maxInformationalResponses = 4 // Responses with a 1xx status that are skipped.
)

// Send writes a request. head holds the encoded request line and header. The
// timeout bounds the write of the request and each later read from the
// connection. The connection is closed when ctx ends. A body of 16 KiB or more is
// written in the background.
func (c *Conn) Send(ctx context.Context, head, body []byte, timeout time.Duration) error {
	c.readTimeout, c.extendRead = timeout, nil
	c.exchanges++
	c.writtenBefore = c.bytesWritten.Load()
	c.reusable = false
	c.stopCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	_ = c.SetWriteDeadline(time.Now().Add(timeout))
	if len(body) < backgroundWriteBytes {
		_, err := countingWriter{c}.Write(append(head, body...))
		return errors.Annotatef(cause(ctx, err), "write request to %s", c.Address)
	}
	if _, err := (countingWriter{c}).Write(head); err != nil {
		return errors.Annotatef(cause(ctx, err), "write request to %s", c.Address)
	}
	c.bodyWritten = make(chan error, 1)
	go func(done chan<- error) {
		_, err := countingWriter{c}.Write(body)
		done <- err
	}(c.bodyWritten)
	return nil
}

// ReadResponse reads the status line and header of the response to a request
// with the given method. It skips informational responses. Release closes the
// connection unless ReadResponseBody or MarkComplete is called afterwards.
func (c *Conn) ReadResponse(ctx context.Context, method string) (*http.Response, error) {
	for range maxInformationalResponses {
		var resp *http.Response
		err := c.readHead(ctx, func() (err error) {
			resp, err = http.ReadResponse(c.reader, &http.Request{Method: method})
			return err
		})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			if IsUnframed(resp) && resp.Body != http.NoBody {
				resp.Body = unframedBody{resp.Body, c}
			}
			return resp, nil
		}
	}
	return nil, errors.Errorf("too many informational responses from %s", c.Address)
}

// Query sends a request without a body and returns the body and status of its response,
// which must come within the timeout. The connection can be used for another request
// afterwards. If it cannot, Query returns an error.
func (c *Conn) Query(ctx context.Context, head []byte, limit int64, timeout time.Duration) (body []byte, status int, err error) {
	if err := c.Send(ctx, head, nil, timeout); err != nil {
		return nil, 0, err
	}
	resp, err := c.ReadResponse(ctx, http.MethodGet)
	if err != nil {
		return nil, 0, err
	}
	if body, err = c.ReadResponseBody(ctx, resp, limit); err != nil {
		return nil, 0, err
	}
	stopped := c.stopCancel()
	c.stopCancel = nil
	if !stopped || !c.reusable || c.reader.Buffered() > 0 {
		c.closeOnRelease = true
		return nil, 0, errors.Errorf("connection to %s ends with the response to a query", c.Address)
	}
	return body, resp.StatusCode, nil
}

// SetReadTimeout sets the timeout of each later read from the connection.
func (c *Conn) SetReadTimeout(timeout time.Duration) { c.readTimeout = timeout }

// ExtendReads makes reads that time out call extension and wait for the time that it
// returns; they fail if that is zero. It applies to the current exchange.
func (c *Conn) ExtendReads(extension func() time.Duration) { c.extendRead = extension }

// ReadResponseBody reads the body of a response from ReadResponse and marks the
// response as completely read. It returns an error when the body is longer than
// limit bytes.
func (c *Conn) ReadResponseBody(ctx context.Context, resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength > limit {
		return nil, errors.Errorf("response body from %s has %d bytes, want at most %d", c.Address, resp.ContentLength, limit)
	}
	body, err := c.readAll(ctx, resp.Body, limit)
	c.reusable = err == nil && !resp.Close
	return body, err
}

// SetKeepAliveTimeout sets the keep-alive timeout that the server has announced.
// The pool stops reusing the connection keepAliveMargin before it.
func (c *Conn) SetKeepAliveTimeout(d time.Duration) { c.keepAliveTimeout = d }

// IsUnframed reports whether a response has neither a length nor chunks, so that it ends
// with its connection.
func IsUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// unframedBody is the body of a response that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader. The kernel reports a reset once, either to the read or to the
// write of the request body; the other one finds the connection closed. The end of the
// connection is therefore the end of the body only if the write has not failed.
func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if writeErr := b.conn.stopBodyWrite(); writeErr != nil {
			return n, errors.Annotatef(writeErr, "connection to %s broke before the response ended with it", b.conn.Address)
		}
	}
	return n, err
}

// stopBodyWrite ends the background write of the request body, if there is one, and returns
// the error with which the connection broke, or nil if the server has ended its direction
// of the connection in the regular way. If it resets the connection after that, which it does
// when it has not read the whole request, the write fails with EPIPE.
func (c *Conn) stopBodyWrite() error {
	if c.bodyWritten == nil {
		return nil
	}
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	err := <-c.bodyWritten
	c.bodyWritten <- err // For bodySent.
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return err
}

// bodySent reports whether the background write of the request body, if there
// is one, has succeeded.
func (c *Conn) bodySent() bool {
	if c.bodyWritten == nil {
		return true
	}
	select {
	case err := <-c.bodyWritten:
		c.bodyWritten = nil
		return err == nil
	default:
		return false
	}
}

// CloseOnRelease makes Release close the connection even if the response was
// read completely.
func (c *Conn) CloseOnRelease() { c.closeOnRelease = true }
