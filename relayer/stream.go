package relayer

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/placer"
)

const (
	streamBufferBytes       = 4 << 10 // Initial size; several events fit.
	minReadBytes            = 1 << 10 // Free space below which the buffer grows before a read.
	maxEventBytes           = 256 << 10
	minEventTimeout         = 1200 * time.Millisecond // Minimum time without data after which a resumable stream looks for another upstream.
	eventTimeoutFactor      = 6                       // The same as a multiple of the route's pause objective.
	firstEventTimeoutFactor = 2.5                     // Time after which a resumable stream without an event looks for another upstream, as a multiple of the route's objective.
	separatorBytes          = 2
	// minSequence is the number of events without a gap between their IDs from which on a
	// resumption must not have one either.
	minSequence = 2
	// harmlessAfter is the time after the first event from which an upstream that still
	// responds shows that the prompt does not crash it.
	harmlessAfter = 2 * time.Second
)

var eventSeparator = []byte("\n\n")

// serveStream serves a request whose response is a stream of server-sent events.
// The response to the client starts with the first event, so the request can be
// retried on another upstream until then.
func (x *exchange) serveStream() {
	s := &stream{exchange: x, lastEventID: x.call.LastEventID, sequential: true}
	for {
		e := s.open()
		if e == nil {
			break
		}
		if x.mustDetour(e) && x.detour() {
			return
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

// stream is the body of a streamed response. It copies the events of an upstream
// and resumes on another upstream when the stream breaks.
type stream struct {
	exchange      *exchange
	attempt       *attempt
	storage       []byte // Start of the memory that buffer uses.
	buffer        []byte // Data from the upstream that Read has not returned yet.
	completeBytes int    // Length of the complete events at the start of buffer.
	receivedID    string // ID of the last complete event of the buffer, or of the last one that was in it.
	lastEventID   string // ID of the last event that Read has returned whole.
	events        int    // Events that Read has returned or is about to.
	sequential    bool   // The IDs of these are numbers without gaps.
	unidentified  bool   // The last of these has no ID, so that the stream cannot be resumed after it.
	attemptEvents int    // Events of the current attempt.
	resumption    bool   // The current attempt has to continue the stream after receivedID.
	upstreamEnded bool   // The upstream has ended the stream.
	brokenBy      error  // Error with which the upstream's stream ended after the complete events in buffer.
	notStream     bool   // The response is not a stream; body holds it.
	body          []byte
	readErr       error // Returned by Read after the stream has failed.
}

// open sends the request to one upstream and waits for the first event. A
// response with a status other than 200 is read completely into body.
func (s *stream) open() *sendError {
	x := s.exchange
	a, e := x.send(s.lastEventID, s.firstEventTimeout())
	if e != nil {
		return e
	}
	s.attempt, s.buffer, s.completeBytes, s.upstreamEnded, s.brokenBy = a, s.storage[:0], 0, false, nil
	s.receivedID, s.attemptEvents, s.resumption = s.lastEventID, 0, s.lastEventID != ""
	if a.head.StatusCode != http.StatusOK {
		return s.readBuffered()
	}
	err := x.validateResponse(a.head)
	if err == nil && s.resumption && !a.head.EventStream {
		err = errors.Annotate(errNotResumed, "response is not a stream of events")
	}
	if err != nil {
		a.release(placer.Failed)
		return x.recordFailure(a.choice, &sendError{maybeExecuted, err})
	}
	timeout := s.firstEventTimeout()
	if timeout == 0 {
		timeout = defaultReadTimeout
	}
	a.conn.ExtendReads(s.extension)
	if err := s.fill(timeout); err != nil {
		return s.abort(err)
	}
	x.beginStream(a.choice.Upstream)
	a.firstEventAt = time.Now()
	a.observeFirstToken()
	a.notifyPrefillChange()
	x.countUsage()
	return nil
}

// errNotResumed is the error of a response, or of a part of it, that does not continue the
// stream after the event after which it was requested.
const errNotResumed = errors.ConstError("upstream did not resume the stream")

// abort ends the current attempt after its response has broken off or turned out not to
// resume the stream.
func (s *stream) abort(err error) *sendError {
	a := s.attempt
	if !errors.Is(err, errNotResumed) {
		return a.abort(err)
	}
	a.release(placer.Failed)
	return s.exchange.recordFailure(a.choice, &sendError{maybeExecuted, err})
}

// accept takes over complete events that were received, and returns the length of those
// that belong to the stream. All that the run that began it sends does. An attempt that has
// to resume it must continue it event by event: its upstream may have failed before or
// while it wrote its response.
func (s *stream) accept(events []byte) (length int, err error) {
	for length < len(events) {
		event, _, _ := bytes.Cut(events[length:], eventSeparator)
		id := s.exchange.relayer.Wire.EventID(event)
		if s.resumption {
			if err := s.checkContinuation(event, id); err != nil {
				return length, err
			}
		}
		length += len(event) + separatorBytes
		if isComment(event) {
			continue
		}
		s.sequential = s.sequential && (s.events == 0 || follows(id, s.receivedID))
		s.unidentified = id == ""
		s.receivedID = id
		s.events++
		s.attemptEvents++
	}
	return length, nil
}

// checkContinuation returns an error unless an event continues the stream after the last
// one that was received.
func (s *stream) checkContinuation(event []byte, id string) error {
	if err := s.exchange.relayer.Wire.CheckEvent(event); err != nil {
		return errors.Annotate(errNotResumed, err.Error())
	}
	if isComment(event) {
		return nil
	}
	gap := s.sequential && s.events >= minSequence && !follows(id, s.receivedID)
	if id == "" || repeatsEvent(id, s.receivedID) || gap {
		return errors.Annotatef(errNotResumed, "event %q after event %q", id, s.receivedID)
	}
	return nil
}

// isComment reports whether an event consists of comments only.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if !bytes.HasPrefix(line, []byte(":")) {
			return false
		}
	}
	return true
}

// repeatsEvent reports whether an event with the ID id is, or precedes, the event with
// the ID last. Of IDs that are not numbers only equal ones repeat.
func repeatsEvent(id, last string) bool {
	n, err := strconv.Atoi(id)
	m, lastErr := strconv.Atoi(last)
	return id == last || err == nil && lastErr == nil && n <= m
}

// follows reports whether the number in the ID id is the one after that in the ID last.
func follows(id, last string) bool {
	n, err := strconv.Atoi(id)
	m, lastErr := strconv.Atoi(last)
	return err == nil && lastErr == nil && n == m+1
}

// firstEventTimeout returns the time after which a stream without an event looks for another
// upstream while a further attempt is permitted, and 0 otherwise.
func (s *stream) firstEventTimeout() time.Duration {
	x := s.exchange
	if !x.retryable() || x.possibleRuns+1 >= x.route.MaxAttempts {
		return 0
	}
	return time.Duration(float64(x.route.Objective) * firstEventTimeoutFactor)
}

// readBuffered reads a response that is not a stream of events.
func (s *stream) readBuffered() *sendError {
	x, a := s.exchange, s.attempt
	body, err := a.conn.ReadResponseBody(a.ctx, a.response, maxResponseBytes)
	if err != nil {
		return a.abort(err)
	}
	if err := x.validateResponse(a.head); err != nil {
		a.release(placer.Failed)
		return x.recordFailure(a.choice, &sendError{maybeExecuted, err})
	}
	x.observeComplete(a.head)
	if e := x.handleServerError(a, body); e != nil {
		return e
	}
	a.release(placer.Succeeded)
	s.notStream, s.body = true, body
	return nil
}

// fill reads until at least one complete event is buffered or the stream ends. It
// returns an error if that takes longer than timeout: single bytes of an event
// do not extend the time.
func (s *stream) fill(timeout time.Duration) error {
	for end := time.Now().Add(timeout); s.completeBytes == 0 && !s.upstreamEnded; {
		if s.brokenBy != nil {
			return s.brokenBy
		}
		left := time.Until(end)
		if left <= 0 {
			left = s.extension()
			end = time.Now().Add(left)
		}
		if left <= 0 {
			return errors.Errorf("%s sent no complete event for %s", s.attempt.choice.Upstream.ID, timeout)
		}
		s.attempt.conn.SetReadTimeout(left)
		s.reserve()
		n, err := s.attempt.response.Body.Read(s.buffer[len(s.buffer):cap(s.buffer)])
		s.buffer = s.buffer[:len(s.buffer)+n]
		if i := bytes.LastIndex(s.buffer, eventSeparator); i >= 0 {
			if s.completeBytes, s.brokenBy = s.accept(s.buffer[:i+separatorBytes]); s.brokenBy != nil {
				continue
			}
		}
		if len(s.buffer)-s.completeBytes > maxEventBytes {
			return errors.Errorf("event from %s exceeds %d bytes", s.attempt.choice.Upstream.ID, maxEventBytes)
		}
		switch {
		case errors.Is(err, io.EOF) && s.cutShort():
			s.brokenBy = io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			s.upstreamEnded = true
		case err != nil:
			s.brokenBy = err
		}
	}
	return nil
}

// cutShort reports whether a stream that ends now was broken off. Without a length or
// chunks, every end of the connection looks like the end of the response.
func (s *stream) cutShort() bool {
	if s.completeBytes < len(s.buffer) {
		return true
	}
	return s.attemptEvents == 0 && exchanger.IsUnframed(s.attempt.response)
}

// reserve makes room in the buffer for the next read. It reuses the memory of data
// that Read has returned.
func (s *stream) reserve() {
	if cap(s.buffer)-len(s.buffer) >= minReadBytes {
		return
	}
	if cap(s.storage) < len(s.buffer)+minReadBytes {
		s.storage = make([]byte, 0, max(streamBufferBytes, 2*(len(s.buffer)+minReadBytes)))
	}
	s.buffer = append(s.storage[:0], s.buffer...)
}

// Read implements io.Reader. It returns data of complete events, and the rest of
// the data when the upstream ends the stream. On an error other than io.EOF the
// server closes the connection, so that the client does not mistake a truncated
// response for a complete one.
func (s *stream) Read(p []byte) (int, error) {
	if s.readErr != nil {
		return 0, s.readErr
	}
	for s.completeBytes == 0 {
		if s.upstreamEnded {
			s.finish(nil)
			return 0, io.EOF
		}
		if err := s.fill(s.eventTimeout()); err != nil {
			if e := s.resume(err); e != nil {
				s.finish(e)
				return 0, e
			}
		}
	}
	n := copy(p, s.buffer[:s.completeBytes])
	s.buffer = s.buffer[n:]
	s.completeBytes -= n
	if s.completeBytes == 0 {
		s.lastEventID = s.receivedID
	}
	if time.Since(s.attempt.firstEventAt) > harmlessAfter {
		s.exchange.observeHarmless()
	}
	return n, nil
}

// eventTimeout returns the time without data after which a stream counts as
// broken. For a stream that cannot be resumed it is defaultReadTimeout, and the
// request's deadline usually passes earlier.
func (s *stream) eventTimeout() time.Duration {
	x := s.exchange
	if s.unidentified || !x.retryable() || x.possibleRuns >= x.route.MaxAttempts {
		return defaultReadTimeout
	}
	return max(minEventTimeout, eventTimeoutFactor*x.route.EventIntervalObjective)
}

// extension returns how much longer to wait for an upstream that has sent no event within
// the time limit: zero if the stream can go on at another one.
func (s *stream) extension() time.Duration {
	if !s.unidentified && s.exchange.reserveMove() {
		return 0
	}
	if timeout := s.firstEventTimeout(); s.attempt.firstEventAt.IsZero() && timeout > 0 {
		return timeout
	}
	return s.eventTimeout()
}

// resume continues the stream on another upstream after the last event that was
// sent to the client. If no retry is permitted or none succeeds, it returns the
// error with which the response must end.
func (s *stream) resume(cause error) error {
	x := s.exchange
	e := s.abort(cause)
	for !s.unidentified && x.allowRetry(e) {
		if e = s.open(); e != nil {
			continue
		}
		if s.notStream {
			s.notStream, s.body = false, nil
			e = x.recordFailure(s.attempt.choice, &sendError{maybeExecuted, errors.Annotatef(errNotResumed, "response with status %d", s.attempt.head.StatusCode)})
			continue
		}
		x.relayer.Logger.Info("stream resumed", "id", x.call.ID, "after", s.lastEventID, "upstream", x.upstream, "software", s.attempt.choice.Upstream.Version)
		return nil
	}
	return cause
}

// finish finishes the exchange after the last event or an error.
func (s *stream) finish(err error) {
	x := s.exchange
	s.readErr = err
	outcome, status := "Answered", s.attempt.head.StatusCode
	switch cause := x.cancelCause(); {
	case err == nil:
		s.attempt.conn.MarkComplete()
		if s.attempt.head.Close {
			s.attempt.conn.CloseOnRelease()
		}
		s.attempt.release(placer.Succeeded)
		x.relayer.Quarantine.ObserveSuccess(x.quarantineRequest())
	case errors.Is(cause, errClientDisconnected):
		outcome = "CallerLeft"
	case errors.Is(cause, errDeadlineExceeded):
		outcome = "TimeUp"
	case errors.Is(cause, ErrStopping):
		outcome = "Stopping"
	default:
		outcome = "StreamBroken"
		x.relayer.Logger.Info("stream broken", "id", x.call.ID, "upstream", x.upstream, "after", s.lastEventID, "error", err.Error())
	}
	s.attempt.release(placer.Cancelled)
	x.finish(outcome, status)
}

// Close implements io.Closer. The server calls it after it has sent the response
// or failed to send it. If the stream is not finished by then, the client has
// disconnected.
func (s *stream) Close() error {
	if !s.exchange.finished {
		s.exchange.cancel(errClientDisconnected)
		s.finish(errClientDisconnected)
	}
	return nil
}

var _ io.ReadCloser = (*stream)(nil)
