package relayer

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/placer"
)

const (
	dialTimeout    = 400 * time.Millisecond // A connection takes a few ms; an upstream that is gone must not cost the objective.
	maxSends       = 4                      // Sends of one request, refused ones included.
	maxStray       = 2                      // Late answers to other requests that are passed over on one connection.
	maxAnswerBytes = 32 << 20
	headSilence    = 60 * time.Second // The exchange's deadline ends waits; this only guards the connection.
)

// verdict tells what is known of a request after a send.
type verdict int

// Verdicts.
const (
	notRun  verdict = iota // It has not run and will not run there.
	unknown                // It may have run.
)

// sendError is a send that brought no answer for the caller.
type sendError struct {
	verdict verdict
	cause   error
}

// Error implements error.
func (e *sendError) Error() string { return e.cause.Error() }

// attempt is a request that was sent to an upstream.
type attempt struct {
	exchange *exchange
	conn     *exchanger.Conn
	run      *placer.Run
	choice   placer.Choice
	response *http.Response
	head     savoryloft.AnswerHead
	ctx      context.Context
	cancel   context.CancelFunc
	span     trace.Span
	counted  bool // It is one of the exchange's runs.
	released bool
}

// request returns what the choice of an upstream depends on.
func (x *exchange) request() placer.Request {
	req := placer.Request{
		Service: x.service, Parts: x.call.Parts, PromptTokens: x.call.PromptTokens,
		OutputTokens: x.call.OutputTokens, Exclude: x.tried,
	}
	if x.call.OutputHint > 0 {
		req.OutputTokens = min(x.call.OutputHint, max(x.call.OutputTokens, 1))
	}
	if s := x.table.LookupService(x.service); s != nil {
		req.Engine = s.Engine
		if s.MaxConnections > 0 {
			req.Connections = max(s.MaxConnections/max(x.relayer.Instances()+1, 1), minConnections)
		}
	}
	return req
}

const minConnections = 4 // Connections to one upstream that each instance may have in any case.

// errNoUpstream says that no registered upstream can take the request.
const errNoUpstream = errors.ConstError("no upstream is available")

// send sends the request to one upstream and reads the head of its answer. The
// limit bounds the wait for the head.
func (x *exchange) send(lastEventID string, limit time.Duration) (*attempt, *sendError) {
	r := x.relayer
	req := x.request()
	r.Refresh()
	choice, ok := r.Placer.Choose(time.Now(), req, r.Watcher.Upstreams(x.service))
	if !ok {
		return nil, &sendError{notRun, errNoUpstream}
	}
	x.choice, x.upstream = choice, choice.Upstream.ID
	if x.sends == 0 && x.crowded(choice) {
		return nil, &sendError{notRun, errCrowded}
	}
	a := &attempt{exchange: x, choice: choice, run: r.Placer.Start(time.Now(), choice, req)}
	a.ctx, a.cancel = context.WithCancel(x.ctx)
	_, a.span = r.Tracer.Start(trace.ContextWithSpan(x.ctx, x.span), "Attempt",
		trace.WithAttributes(attribute.String("upstream", choice.Upstream.ID)))
	if err := a.connect(); err != nil {
		a.release(placer.Failed)
		return nil, x.failed(choice, &sendError{notRun, err})
	}
	d := savoryloft.Dispatch{
		Upstream: choice.Upstream.ID, Account: x.identity.Account, Remaining: time.Until(x.deadline),
		Rank: min(max(x.identity.Rank, 0), maxRank), HasRank: req.Engine != nil, LastEventID: lastEventID,
	}
	a.placed()
	head := r.Wire.AppendCall(nil, &x.call, d)
	x.sends++
	if err := a.conn.Send(a.ctx, head, x.call.Body, headSilence); err != nil {
		return nil, a.fail(err)
	}
	if err := a.readHead(limit); err != nil {
		return nil, a.fail(err)
	}
	if a.head.NotRun {
		// The body is read so that the connection can be kept.
		_, _ = a.conn.ReadAnswer(a.ctx, a.response, maxAnswerBytes)
		a.release(placer.Refused)
		return nil, x.failed(choice, &sendError{notRun, errors.Errorf("upstream refused with status %d", a.head.StatusCode)})
	}
	a.countRun()
	return a, nil
}

// placed tells that the upstream's load has changed by a prompt.
func (a *attempt) placed() {
	if len(a.exchange.call.Parts) > 0 {
		a.exchange.relayer.Placed(a.choice.Uncached)
	}
}

const maxRank = 9 // Least urgent rank that upstreams know.

// connect gets a connection to the chosen upstream.
func (a *attempt) connect() error {
	ctx, cancel := context.WithTimeout(a.ctx, dialTimeout)
	defer cancel()
	conn, err := a.exchange.relayer.Pool.Get(ctx, a.choice.Upstream.Address, exchanger.Reuse)
	a.conn = conn
	return err
}

// readHead reads heads until one belongs to this request: an upstream may send
// a late answer to an earlier one first.
func (a *attempt) readHead(limit time.Duration) error {
	if limit > 0 {
		timer := time.AfterFunc(limit, a.cancel)
		defer timer.Stop()
	}
	for range maxStray + 1 {
		resp, err := a.conn.Answer(a.ctx, a.exchange.call.Method)
		if err != nil {
			return err
		}
		a.response = resp
		a.head = a.exchange.relayer.Wire.DecodeAnswer(resp)
		if a.head.ID == a.exchange.call.ID || (a.head.ID == "" && a.head.NotRun) {
			a.conn.KeepFor(a.head.KeepAlive)
			return nil
		}
		a.exchange.relayer.Logger.Info("answer of another request passed over", "id", a.exchange.call.ID,
			"upstream", a.choice.Upstream.ID, "answered", a.head.ID)
		if _, err := a.conn.ReadAnswer(a.ctx, resp, maxAnswerBytes); err != nil {
			return err
		}
		a.conn.Taint()
	}
	return errors.Errorf("upstream %s answers other requests only", a.choice.Upstream.ID)
}

// countRun counts the attempt as one after which the request may have run.
func (a *attempt) countRun() {
	if !a.counted {
		a.counted = true
		a.exchange.runs++
	}
}

// fail ends an attempt after an error on its connection.
func (a *attempt) fail(err error) *sendError {
	v := unknown
	if !a.conn.Sent() {
		v = notRun
	} else {
		a.countRun()
	}
	outcome := placer.Failed
	if a.exchange.ctx.Err() != nil {
		outcome = placer.Cancelled
	}
	a.release(outcome)
	return a.exchange.failed(a.choice, &sendError{v, err})
}

// failed notes an upstream as tried and logs why.
func (x *exchange) failed(c placer.Choice, e *sendError) *sendError {
	x.tried[c.Upstream.ID] = true
	if x.ctx.Err() == nil {
		x.relayer.Logger.Info("attempt failed", "id", x.call.ID, "upstream", c.Upstream.ID, "address", c.Upstream.Address,
			"send", x.sends, "may_have_run", e.verdict == unknown, "error", e.cause.Error())
	}
	return e
}

// release ends an attempt; it is safe to call it again.
func (a *attempt) release(o placer.Outcome) {
	if a.released {
		return
	}
	a.released = true
	a.run.End(time.Now(), o)
	if a.conn != nil {
		a.conn.Release()
	}
	a.cancel()
	a.span.End()
}

// mayRepeat tells whether a request may be sent again after a failure, and
// takes it out of the budget if so.
func (x *exchange) mayRepeat(e *sendError) bool {
	if x.ctx.Err() != nil || x.sends >= maxSends || !x.relocate() {
		return false
	}
	if errors.Is(e.cause, errNoUpstream) || errors.Is(e.cause, errCrowded) {
		return false
	}
	if e.verdict == unknown && (!x.repeatable() || x.runs >= x.route.MaxAttempts) {
		return false
	}
	return x.sends == 0 || x.relayer.Limiter.Allow(time.Now(), x.service)
}

// repeatable tells whether the request may run more than once.
func (x *exchange) repeatable() bool {
	return x.route.Kind == savoryloft.IdempotentCall || x.route.Kind == savoryloft.StreamingCall && x.route.Resumable
}

// wholeAnswer is an upstream's answer that was read to its end.
type wholeAnswer struct {
	head savoryloft.AnswerHead
	body []byte
}

// giveUp answers a request that got no answer from an upstream.
func (x *exchange) giveUp(e *sendError) {
	switch cause := x.cause(); {
	case errors.Is(cause, errCallerLeft):
		x.http.SetConnectionClose()
		x.http.SetStatusCode(statusCallerLeft)
		x.end("CallerLeft", statusCallerLeft)
	case x.fallback != nil:
		x.answer(x.fallback.head, x.fallback.body)
	case x.runs == 0 && e.verdict == notRun && errors.Is(cause, errTimeUp):
		x.refuse(http.StatusServiceUnavailable, "TimeUp", "time is up; the request has not run", fullRetryAfter)
	case errors.Is(cause, errTimeUp):
		x.refuse(http.StatusGatewayTimeout, "TimeUp", "upstream did not answer in time", 0)
	case errors.Is(e.cause, errCrowded):
		x.refuseCrowded()
	case x.runs > 0 || e.verdict == unknown:
		x.refuse(http.StatusBadGateway, "UpstreamFailed", "upstream failed; the request may have run", 0)
	case errors.Is(e.cause, errNoUpstream):
		x.refuse(http.StatusServiceUnavailable, "NoUpstream", "no upstream is available; the request has not run", emptyRetryAfter)
	default:
		x.refuse(http.StatusServiceUnavailable, "UpstreamsFull", "upstreams refused; the request has not run", fullRetryAfter)
	}
}

// statusCallerLeft is logged for callers that left; nobody reads the answer.
const statusCallerLeft = 499

// cause returns why the exchange's context ended, or nil.
func (x *exchange) cause() error { return context.Cause(x.ctx) }
