package exchanger

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const (
	// backgroundWriteBytes is the size from which a body is written while the
	// answer is awaited, since an upstream may answer before it has read it.
	backgroundWriteBytes = 16 << 10
	maxInformational     = 4 // Interim answers that are passed over.
)

// Send writes a request whose head is given in its form on the wire. The
// connection counts as lost when it is silent for longer than silence, or when
// ctx ends. A long body is written in the background.
func (c *Conn) Send(ctx context.Context, head, body []byte, silence time.Duration) error {
	c.silence = silence
	c.sentMark = c.written.Load()
	c.complete = false
	c.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	_ = c.SetWriteDeadline(time.Now().Add(silence))
	if len(body) < backgroundWriteBytes {
		_, err := countingWriter{c}.Write(append(head, body...))
		return errors.Annotatef(cause(ctx, err), "write request to %s", c.Address)
	}
	if _, err := (countingWriter{c}).Write(head); err != nil {
		return errors.Annotatef(cause(ctx, err), "write request to %s", c.Address)
	}
	c.writing = make(chan error, 1)
	go func(done chan<- error) {
		_, err := countingWriter{c}.Write(body)
		done <- err
	}(c.writing)
	return nil
}

// Answer reads the head of an answer. Its body must be read to the end, or the
// connection is closed by Release.
func (c *Conn) Answer(ctx context.Context, method string) (*http.Response, error) {
	for range maxInformational {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Annotatef(cause(ctx, err), "read answer of %s", c.Address)
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
	return nil, errors.Errorf("%s sends interim answers without end", c.Address)
}

// SetSilence changes the time without a byte after which the connection counts
// as lost.
func (c *Conn) SetSilence(silence time.Duration) { c.silence = silence }

// ReadAnswer reads the whole body of an answer, up to limit bytes, and marks
// the answer as complete.
func (c *Conn) ReadAnswer(ctx context.Context, resp *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, errors.Annotatef(cause(ctx, err), "read body from %s", c.Address)
	}
	if int64(len(body)) > limit {
		return nil, errors.Errorf("answer of %s is longer than %d bytes", c.Address, limit)
	}
	c.complete = !resp.Close
	return body, nil
}

// KeepFor limits the time for which the connection may stay idle.
func (c *Conn) KeepFor(d time.Duration) { c.keepFor = d }

// bodySent tells whether a body that is sent in the background has been sent.
func (c *Conn) bodySent() bool {
	if c.writing == nil {
		return true
	}
	select {
	case err := <-c.writing:
		c.writing = nil
		return err == nil
	default:
		return false
	}
}

// Taint makes Release close the connection although its answer was read.
func (c *Conn) Taint() { c.tainted = true }
