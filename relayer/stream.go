package relayer

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft/placer"
)

const (
	readChunkBytes          = 16 << 10
	maxEventBytes           = 4 << 20
	minEventTimeout         = 1200 * time.Millisecond // Silence in the middle of a stream after which it is resumed elsewhere.
	eventTimeoutFactor      = 6                       // The same, in multiples of the route's pause objective.
	firstEventTimeoutFactor = 2.5                     // Wait for the first event, in multiples of the objective, before a resumable stream is tried elsewhere.
	separatorBytes          = 2
)

var eventSeparator = []byte("\n\n")

// serveStream serves a request that is answered by a series of events. The
// answer starts with its first event, so until then another upstream can take
// the request.
func (x *exchange) serveStream() {
	s := &stream{exchange: x, lastEventID: x.call.LastEventID}
	for {
		e := s.open()
		if e == nil {
			break
		}
		if !x.allowRetry(e) {
			x.respondToFailure(e)
			return
		}
	}
	if s.notStream {
		x.respond(s.attempt.head, s.body)
		return
	}
	x.timeToResponse = time.Since(x.received)
	x.writeResponseHead(s.attempt.head)
	x.httpCtx.Response.ImmediateHeaderFlush = true
	x.httpCtx.Response.SetBodyStream(s, -1)
}

// stream passes events on from one upstream after the other.
type stream struct {
	exchange      *exchange
	attempt       *attempt
	buffer        []byte // Bytes that were read and not passed on yet.
	completeBytes int    // Bytes of buffer that are whole events.
	lastEventID   string // ID of the last event that was passed on.
	upstreamEnded bool   // The upstream has ended the stream.
	notStream     bool   // The answer is no stream of events; body holds it.
	body          []byte
	readErr       error
}

// open sends the request and waits for the first event.
func (s *stream) open() *sendError {
	x := s.exchange
	a, e := x.send(s.lastEventID, s.firstEventTimeout())
	if e != nil {
		return e
	}
	s.attempt, s.buffer, s.completeBytes, s.upstreamEnded = a, nil, 0, false
	if a.head.StatusCode != http.StatusOK {
		return s.readBuffered()
	}
	if bad := x.validateResponse(a.head); bad != nil {
		a.release(placer.Failed)
		return x.recordFailure(a.choice, &sendError{maybeExecuted, bad})
	}
	timer := s.startFirstEventTimer()
	err := s.fill()
	timer.Stop()
	if err != nil {
		return a.abort(err)
	}
	a.run.RecordFirstToken(time.Now())
	a.notifyLoadChange()
	x.countUsage()
	return nil
}

// startFirstEventTimer ends the attempt when the first event takes too long for a
// request that may go elsewhere.
func (s *stream) startFirstEventTimer() *time.Timer {
	p := s.firstEventTimeout()
	if p == 0 {
		p = defaultReadTimeout
	}
	return time.AfterFunc(p, s.attempt.cancel)
}

// firstEventTimeout returns the longest wait for a first event; 0 when only the
// deadline bounds it.
func (s *stream) firstEventTimeout() time.Duration {
	x := s.exchange
	if !x.retryable() || x.possibleRuns+1 >= x.route.MaxAttempts {
		return 0
	}
	return time.Duration(float64(x.route.Objective) * firstEventTimeoutFactor)
}

// readBuffered reads an answer that is not a stream of events.
func (s *stream) readBuffered() *sendError {
	x, a := s.exchange, s.attempt
	body, err := a.conn.ReadAnswer(a.ctx, a.response, maxResponseBytes)
	if err != nil {
		return a.abort(err)
	}
	if bad := x.validateResponse(a.head); bad != nil {
		a.release(placer.Failed)
		return x.recordFailure(a.choice, &sendError{maybeExecuted, bad})
	}
	if e := x.handleServerError(a, body); e != nil {
		return e
	}
	a.release(placer.Succeeded)
	s.notStream, s.body = true, body
	return nil
}

// fill reads until at least one whole event is buffered or the stream ends.
func (s *stream) fill() error {
	for s.completeBytes == 0 && !s.upstreamEnded {
		chunk := make([]byte, readChunkBytes)
		n, err := s.attempt.response.Body.Read(chunk)
		s.buffer = append(s.buffer, chunk[:n]...)
		if i := bytes.LastIndex(s.buffer, eventSeparator); i >= 0 {
			s.completeBytes = i + separatorBytes
		}
		if len(s.buffer)-s.completeBytes > maxEventBytes {
			return errors.Errorf("event of %s is longer than %d bytes", s.attempt.choice.Upstream.ID, maxEventBytes)
		}
		switch {
		case errors.Is(err, io.EOF):
			s.upstreamEnded = true
			s.completeBytes = len(s.buffer)
		case err != nil && s.completeBytes == 0:
			return err
		}
	}
	return nil
}

// Read implements io.Reader. It returns whole events as they arrive. An error
// other than io.EOF makes the server cut the connection, so that an answer that
// ends early does not look complete.
func (s *stream) Read(p []byte) (int, error) {
	if s.readErr != nil {
		return 0, s.readErr
	}
	for s.completeBytes == 0 {
		if s.upstreamEnded {
			s.finish(nil)
			return 0, io.EOF
		}
		s.attempt.conn.SetReadTimeout(s.eventTimeout())
		if err := s.fill(); err != nil {
			if e := s.resume(err); e != nil {
				s.finish(e)
				return 0, e
			}
		}
	}
	n := copy(p, s.buffer[:s.completeBytes])
	if id := s.exchange.relayer.Wire.EventID(lastEvent(s.buffer[:n])); id != "" {
		s.lastEventID = id
	}
	s.buffer = s.buffer[n:]
	s.completeBytes -= n
	return n, nil
}

// lastEvent returns the last event of some that are whole.
func lastEvent(events []byte) []byte {
	events = bytes.TrimSuffix(events, eventSeparator)
	if i := bytes.LastIndex(events, eventSeparator); i >= 0 {
		return events[i+separatorBytes:]
	}
	return events
}

// eventTimeout returns how long a running stream may pause before it counts as
// broken. One that can not go on elsewhere is left to its deadline.
func (s *stream) eventTimeout() time.Duration {
	x := s.exchange
	if !x.retryable() || x.possibleRuns >= x.route.MaxAttempts {
		return defaultReadTimeout
	}
	return max(minEventTimeout, eventTimeoutFactor*x.route.PauseObjective)
}

// resume goes on at another upstream after the last whole event, if that is
// allowed. It returns the error with which the answer has to end otherwise.
func (s *stream) resume(cause error) error {
	x := s.exchange
	e := s.attempt.abort(cause)
	for x.allowRetry(e) {
		if e = s.open(); e != nil {
			continue
		}
		if s.notStream {
			return errors.Annotatef(cause, "resumed stream was answered with status %d", s.attempt.head.StatusCode)
		}
		x.relayer.Logger.Info("stream resumed", "id", x.call.ID, "after", s.lastEventID, "upstream", x.upstream)
		return nil
	}
	return cause
}

// finish ends the exchange after its last event, or after an error.
func (s *stream) finish(err error) {
	x := s.exchange
	s.readErr = err
	outcome, status := "Answered", s.attempt.head.StatusCode
	switch cause := x.cancelCause(); {
	case err == nil:
		s.attempt.conn.Complete()
		if s.attempt.head.Close {
			s.attempt.conn.CloseOnRelease()
		}
		s.attempt.release(placer.Succeeded)
	case errors.Is(cause, errClientDisconnected):
		outcome = "CallerLeft"
	case errors.Is(cause, errDeadlineExceeded):
		outcome = "TimeUp"
	default:
		outcome = "StreamBroken"
		x.relayer.Logger.Info("stream broken", "id", x.call.ID, "upstream", x.upstream, "after", s.lastEventID, "error", err.Error())
	}
	s.attempt.release(placer.Cancelled)
	x.finish(outcome, status)
}

// Close implements io.Closer. The server calls it when it has passed on the
// stream or failed to.
func (s *stream) Close() error {
	if !s.exchange.finished {
		s.exchange.cancel(errClientDisconnected)
		s.finish(errClientDisconnected)
	}
	return nil
}

var _ io.ReadCloser = (*stream)(nil)
