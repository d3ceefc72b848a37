package relayer

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/placer"
)

// attemptTimeoutShare is the time after which a request without a response looks for another
// upstream, as a share of the route's objective.
const attemptTimeoutShare = 0.8

// serveBuffered serves a request whose response is buffered completely before it
// is sent to the client.
func (x *exchange) serveBuffered() {
	for {
		h, body, e := x.tryBuffered()
		if e == nil {
			x.timeToResponse = time.Since(x.received)
			x.respond(h, body)
			return
		}
		if x.mustDetour(e) && x.detour() {
			return
		}
		if !x.allowRetry(e) {
			x.respondToFailure(e)
			return
		}
	}
}

// tryBuffered sends the request to one upstream and reads the complete response.
// A server error (5xx) for a retryable request counts as a failed send.
func (x *exchange) tryBuffered() (savoryloft.AnswerHead, []byte, *sendError) {
	var headTimeout time.Duration
	if x.retryable() && x.possibleRuns+1 < x.route.MaxAttempts && x.route.Objective > 0 {
		headTimeout = time.Duration(float64(x.route.Objective) * attemptTimeoutShare)
	}
	a, e := x.send("", headTimeout)
	if e != nil {
		if e.execution == maybeExecuted {
			x.countUsage()
		}
		return savoryloft.AnswerHead{}, nil, e
	}
	a.recordFirstToken(time.Now())
	x.countUsage()
	defer a.watch(headTimeout)() // The same time for the body.
	body, err := a.conn.ReadResponseBody(a.ctx, a.response, maxResponseBytes)
	if err != nil {
		return a.head, nil, a.abort(err)
	}
	h := a.head
	if err := x.validateResponse(h); err != nil {
		a.release(placer.Failed)
		return h, nil, x.recordFailure(a.choice, &sendError{maybeExecuted, err})
	}
	x.observeComplete(h)
	if e := x.handleServerError(a, body); e != nil {
		return h, nil, e
	}
	a.release(placer.Succeeded)
	return h, body, nil
}

// observeComplete records that an upstream has responded completely. A server error shows
// nothing: an upstream that fails requests may do so before it runs them.
func (x *exchange) observeComplete(h savoryloft.AnswerHead) {
	if h.StatusCode < http.StatusInternalServerError {
		x.relayer.Quarantine.ObserveSuccess(x.quarantineRequest())
	}
}

// handleServerError stores a server error (5xx) for a retryable request as the
// fallback response, which is sent to the client if all retries fail, and returns
// it as a failed send. It returns nil for any other response.
func (x *exchange) handleServerError(a *attempt, body []byte) *sendError {
	if a.head.StatusCode < http.StatusInternalServerError || !x.retryable() {
		return nil
	}
	x.fallbackResponse = &bufferedResponse{a.head, body}
	a.countFailedFetch(maybeExecuted)
	a.release(placer.Failed)
	return x.recordFailure(a.choice, &sendError{maybeExecuted, errors.Errorf("upstream responded with status %d", a.head.StatusCode)})
}

// validateResponse returns an error for a response that must not be sent to the
// client: a success without an upstream's signature, or a status that would
// guarantee to the client that the request has not run.
func (x *exchange) validateResponse(h savoryloft.AnswerHead) error {
	switch {
	case h.StatusCode < 300 && !h.Signed:
		return errors.Errorf("response with status %d has no upstream signature", h.StatusCode)
	case h.StatusCode == http.StatusServiceUnavailable, h.StatusCode == http.StatusTooManyRequests,
		h.StatusCode == http.StatusRequestTimeout, h.StatusCode == http.StatusMisdirectedRequest:
		return errors.Errorf("response with status %d has no not-executed header", h.StatusCode)
	}
	return nil
}
