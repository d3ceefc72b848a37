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
	readBytes      = 16 << 10
	maxEventBytes  = 4 << 20
	leastSilence   = 1200 * time.Millisecond // Silence in the middle of a stream after which it is resumed elsewhere.
	silencePauses  = 6                       // The same, in multiples of the route's pause objective.
	firstPatience  = 2.5                     // Wait for the first event, in multiples of the objective, before a resumable stream is tried elsewhere.
	separatorBytes = 2
)

var eventSeparator = []byte("\n\n")

// serveStream serves a request that is answered by a series of events. The
// answer starts with its first event, so until then another upstream can take
// the request.
func (x *exchange) serveStream() {
	s := &stream{exchange: x, lastID: x.call.LastEventID}
	for {
		e := s.open()
		if e == nil {
			break
		}
		if !x.mayRepeat(e) {
			x.giveUp(e)
			return
		}
	}
	if s.whole {
		x.answer(s.attempt.head, s.body)
		return
	}
	x.first = time.Since(x.received)
	x.writeHead(s.attempt.head)
	x.http.Response.ImmediateHeaderFlush = true
	x.http.Response.SetBodyStream(s, -1)
}

// stream passes events on from one upstream after the other.
type stream struct {
	exchange *exchange
	attempt  *attempt
	buffer   []byte // Bytes that were read and not passed on yet.
	ready    int    // Bytes of buffer that are whole events.
	lastID   string // ID of the last event that was passed on.
	ended    bool   // The upstream has ended the stream.
	whole    bool   // The answer is no stream of events; body holds it.
	body     []byte
	failed   error
}

// open sends the request and waits for the first event.
func (s *stream) open() *sendError {
	x := s.exchange
	a, e := x.send(s.lastID, s.patience())
	if e != nil {
		return e
	}
	s.attempt, s.buffer, s.ready, s.ended = a, nil, 0, false
	if a.head.StatusCode != http.StatusOK {
		return s.readWhole()
	}
	if bad := x.checkAnswer(a.head); bad != nil {
		a.release(placer.Failed)
		return x.failed(a.choice, &sendError{unknown, bad})
	}
	timer := s.guardFirst()
	err := s.fill()
	timer.Stop()
	if err != nil {
		return a.fail(err)
	}
	a.run.FirstToken(time.Now())
	a.placed()
	x.count()
	return nil
}

// guardFirst ends the attempt when the first event takes too long for a
// request that may go elsewhere.
func (s *stream) guardFirst() *time.Timer {
	p := s.patience()
	if p == 0 {
		p = headSilence
	}
	return time.AfterFunc(p, s.attempt.cancel)
}

// patience returns the longest wait for a first event; 0 when only the
// deadline bounds it.
func (s *stream) patience() time.Duration {
	x := s.exchange
	if !x.repeatable() || x.runs+1 >= x.route.MaxAttempts {
		return 0
	}
	return time.Duration(float64(x.route.Objective) * firstPatience)
}

// readWhole reads an answer that is not a stream of events.
func (s *stream) readWhole() *sendError {
	x, a := s.exchange, s.attempt
	body, err := a.conn.ReadAnswer(a.ctx, a.response, maxAnswerBytes)
	if err != nil {
		return a.fail(err)
	}
	if bad := x.checkAnswer(a.head); bad != nil {
		a.release(placer.Failed)
		return x.failed(a.choice, &sendError{unknown, bad})
	}
	if e := x.ownFailure(a, body); e != nil {
		return e
	}
	a.release(placer.Succeeded)
	s.whole, s.body = true, body
	return nil
}

// fill reads until at least one whole event is buffered or the stream ends.
func (s *stream) fill() error {
	for s.ready == 0 && !s.ended {
		chunk := make([]byte, readBytes)
		n, err := s.attempt.response.Body.Read(chunk)
		s.buffer = append(s.buffer, chunk[:n]...)
		if i := bytes.LastIndex(s.buffer, eventSeparator); i >= 0 {
			s.ready = i + separatorBytes
		}
		if len(s.buffer)-s.ready > maxEventBytes {
			return errors.Errorf("event of %s is longer than %d bytes", s.attempt.choice.Upstream.ID, maxEventBytes)
		}
		switch {
		case errors.Is(err, io.EOF):
			s.ended = true
			s.ready = len(s.buffer)
		case err != nil && s.ready == 0:
			return err
		}
	}
	return nil
}

// Read implements io.Reader. It returns whole events as they arrive. An error
// other than io.EOF makes the server cut the connection, so that an answer that
// ends early does not look complete.
func (s *stream) Read(p []byte) (int, error) {
	if s.failed != nil {
		return 0, s.failed
	}
	for s.ready == 0 {
		if s.ended {
			s.finish(nil)
			return 0, io.EOF
		}
		s.attempt.conn.SetSilence(s.silence())
		if err := s.fill(); err != nil {
			if e := s.resume(err); e != nil {
				s.finish(e)
				return 0, e
			}
		}
	}
	n := copy(p, s.buffer[:s.ready])
	if id := s.exchange.relayer.Wire.EventID(lastEvent(s.buffer[:n])); id != "" {
		s.lastID = id
	}
	s.buffer = s.buffer[n:]
	s.ready -= n
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

// silence returns how long a running stream may pause before it counts as
// broken. One that can not go on elsewhere is left to its deadline.
func (s *stream) silence() time.Duration {
	x := s.exchange
	if !x.repeatable() || x.runs >= x.route.MaxAttempts {
		return headSilence
	}
	return max(leastSilence, silencePauses*x.route.PauseObjective)
}

// resume goes on at another upstream after the last whole event, if that is
// allowed. It returns the error with which the answer has to end otherwise.
func (s *stream) resume(cause error) error {
	x := s.exchange
	e := s.attempt.fail(cause)
	for x.mayRepeat(e) {
		if e = s.open(); e != nil {
			continue
		}
		if s.whole {
			return errors.Annotatef(cause, "resumed stream was answered with status %d", s.attempt.head.StatusCode)
		}
		x.relayer.Logger.Info("stream resumed", "id", x.call.ID, "after", s.lastID, "upstream", x.upstream)
		return nil
	}
	return cause
}

// finish ends the exchange after its last event, or after an error.
func (s *stream) finish(err error) {
	x := s.exchange
	s.failed = err
	outcome, status := "Answered", s.attempt.head.StatusCode
	switch cause := x.cause(); {
	case err == nil:
		s.attempt.conn.Complete()
		if s.attempt.head.Close {
			s.attempt.conn.Taint()
		}
		s.attempt.release(placer.Succeeded)
	case errors.Is(cause, errCallerLeft):
		outcome = "CallerLeft"
	case errors.Is(cause, errTimeUp):
		outcome = "TimeUp"
	default:
		outcome = "StreamBroken"
		x.relayer.Logger.Info("stream broken", "id", x.call.ID, "upstream", x.upstream, "after", s.lastID, "error", err.Error())
	}
	s.attempt.release(placer.Cancelled)
	x.end(outcome, status)
}

// Close implements io.Closer. The server calls it when it has passed on the
// stream or failed to.
func (s *stream) Close() error {
	if !s.exchange.ended {
		s.exchange.cancel(errCallerLeft)
		s.finish(errCallerLeft)
	}
	return nil
}

var _ io.ReadCloser = (*stream)(nil)
