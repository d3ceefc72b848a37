// Package dispatcher runs requests on upstreams: it requests a slot from the
// admitter, sends one attempt, and resumes or retries it where the route
// allows.
//
// The route, not the HTTP method, determines whether a request may be retried.
// A request that must not be retried is sent once, on a new connection. When
// its response is lost, the returned error has Run set to Unknown.
//
// # Usage
//
//	d := &dispatcher.Dispatcher{Admitter: a, Connections: pool, ReadIdleTimeout: 5 * time.Second}
//	result, err := d.Chat(ctx, call, func(c dispatcher.Chunk) error { return write(c) })
//	response, err := d.Service(ctx, call)
package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/admitter"
	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/follower"
)

const (
	maxAttempts          = 4 // Limit on failed attempts; preempted attempts are not counted.
	maxResponseBytes     = 32 << 20
	requestIDHeader      = "X-Request-Id"
	traceparentHeader    = "Traceparent"
	idempotencyKeyHeader = "Idempotency-Key"
)

// forwardedHeaderNames lists the only client headers that are forwarded to
// upstreams.
var forwardedHeaderNames = []string{"Accept", "Accept-Language", "Content-Type", "X-Call-Id"}

// Header is a request header that is forwarded to the upstream.
type Header struct {
	Name  string
	Value string
}

// FilterHeaders returns the headers of h that may be forwarded to an upstream.
func FilterHeaders(h *fasthttp.RequestHeader) []Header {
	var list []Header
	for _, name := range forwardedHeaderNames {
		if v := h.Peek(name); len(v) > 0 {
			list = append(list, Header{Name: name, Value: string(v)})
		}
	}
	return list
}

// Call is one client request.
type Call struct {
	ID             string // Request ID, unique per request.
	Route          *follower.Route
	Account        string
	Weight         int
	Method         string
	URI            string   // Path and query, without the client's API key.
	Headers        []Header // Headers to forward, from FilterHeaders.
	Body           []byte
	IdempotencyKey string
	Arrived        time.Time
}

// Result holds the token counts, latencies and attempts of a chat call.
type Result struct {
	PromptTokens  int
	OutputTokens  int
	FirstToken    time.Duration // Time from the call's arrival to its first token.
	BetweenTokens time.Duration // Mean time between tokens; zero for fewer than two tokens.
	Attempts      int           // Number of attempts, including preempted ones.
}

// Response is the complete response to a Service call.
type Response struct {
	StatusCode  int
	ContentType string
	Body        []byte
	Elapsed     time.Duration // Time since the call arrived.
}

// Dispatcher sends requests to upstreams. Set the exported fields before the
// first call.
type Dispatcher struct {
	Admitter        *admitter.Admitter
	Connections     *exchanger.Pool
	ReadIdleTimeout time.Duration // Longest time without data from an upstream.
	Logger          logr.Logger
	Tracer          trace.Tracer
	RetryBudget     *RetryBudget

	estimator estimator
}

// admissionRequest returns the admission request for a call.
func (d *Dispatcher) admissionRequest(c *Call, prefix uint64, preemptible bool) *admitter.Request {
	return &admitter.Request{
		Pool:        c.Route.Route.Pool,
		Class:       &c.Route.Class,
		Account:     c.Account,
		Weight:      c.Weight,
		Tokens:      d.estimator.tokens(c.Route.Name, c.Account),
		Prefix:      prefix,
		Preemptible: preemptible,
		Arrived:     c.Arrived,
	}
}

// attemptID returns the ID of attempt n, which the upstream returns in its
// response.
func attemptID(c *Call, n int) string { return fmt.Sprintf("%s-%d", c.ID, n) }

// buildRequest sets the target, the forwarded headers, the attempt ID and the
// trace context of an attempt's request.
func buildRequest(req *fasthttp.Request, c *Call, address, id string, span trace.SpanContext) {
	req.SetRequestURI("http://" + address + c.URI)
	req.Header.SetMethod(c.Method)
	for _, h := range c.Headers {
		req.Header.Set(h.Name, h.Value)
	}
	req.Header.Set(requestIDHeader, id)
	if span.IsValid() {
		req.Header.Set(traceparentHeader, fmt.Sprintf("00-%s-%s-%s", span.TraceID(), span.SpanID(), span.TraceFlags()))
	}
}

func (d *Dispatcher) startSpan(ctx context.Context, name string, u *admitter.Upstream) (context.Context, trace.Span) {
	return d.Tracer.Start(ctx, name, trace.WithAttributes(attribute.String("peer", u.Name)))
}

// admit waits for a slot and records the wait as a span.
func (d *Dispatcher) admit(ctx context.Context, r *admitter.Request) (*admitter.Grant, error) {
	_, span := d.Tracer.Start(ctx, "queue")
	defer span.End()
	return d.Admitter.Admit(ctx, r)
}

// Service runs a call other than a chat completion. It retries an attempt that
// sent nothing. It retries any other failed attempt only if the call may be
// repeated and the retry budget allows it. Errors are of type *savoryloft.Error.
func (d *Dispatcher) Service(ctx context.Context, c *Call) (Response, error) {
	repeatable := c.Route.Idempotent || c.Route.UpstreamRemembersKeys && c.IdempotencyKey != ""
	r := d.admissionRequest(c, 0, false)
	var last error
	for n := 1; n <= maxAttempts; n++ {
		g, err := d.admit(ctx, r)
		if err != nil {
			return Response{}, admissionError(ctx, err, last)
		}
		response, sent, err := d.serviceAttempt(g, c, n, repeatable)
		if err == nil {
			d.RetryBudget.Deposit()
			return response, nil
		}
		last = attemptError(g.Upstream, sent, err)
		if ctx.Err() != nil {
			return Response{}, contextError(ctx, sent)
		}
		if sent && !(repeatable && d.RetryBudget.Withdraw()) {
			return Response{}, last
		}
		r.Exclude = append(r.Exclude, g.Upstream.Name)
		r.Exclude = d.remainingExclusions(r)
	}
	return Response{}, last
}

// serviceAttempt sends attempt n of a call. sent reports whether any byte of
// the request was sent.
func (d *Dispatcher) serviceAttempt(g *admitter.Grant, c *Call, n int, repeatable bool) (response Response, sent bool, err error) {
	started := time.Now()
	o := admitter.Observation{Failed: true}
	defer func() { g.Done(o) }()
	ctx, span := d.startSpan(g.Context, "attempt", g.Upstream)
	defer span.End()
	mode := exchanger.Fresh
	if c.Route.Idempotent {
		mode = exchanger.Reuse
	}
	conn, err := d.Connections.Get(ctx, g.Upstream.Address, mode)
	if err != nil {
		return response, false, err
	}
	defer conn.Release()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	id := attemptID(c, n)
	buildRequest(req, c, g.Upstream.Address, id, span.SpanContext())
	if repeatable && c.IdempotencyKey != "" {
		req.Header.Set(idempotencyKeyHeader, c.IdempotencyKey)
	}
	req.SetBody(c.Body)
	if err := conn.Exchange(ctx, req, resp, d.ReadIdleTimeout); err != nil {
		return response, conn.Sent(), err
	}
	if echo := resp.Header.Peek(requestIDHeader); len(echo) > 0 && string(echo) != id {
		return response, true, errors.Errorf("response belongs to attempt %s, want %s", echo, id)
	}
	body, err := conn.ReadBody(ctx, resp, maxResponseBytes)
	if err != nil {
		return response, true, err
	}
	o = admitter.Observation{FirstToken: time.Since(started), Tokens: 1}
	return Response{
		StatusCode: resp.StatusCode(), ContentType: string(resp.Header.ContentType()),
		Body: body, Elapsed: time.Since(c.Arrived),
	}, true, nil
}

// remainingExclusions returns the names of the upstreams to exclude from the next
// attempt. It returns nil when r excludes every upstream of the pool, so that a
// request can be retried in a pool with a single upstream.
func (d *Dispatcher) remainingExclusions(r *admitter.Request) []string {
	p := d.Admitter.Pool(r.Pool)
	if p == nil {
		return r.Exclude
	}
	for _, u := range p.Upstreams() {
		if !slices.Contains(r.Exclude, u.Name) {
			return r.Exclude
		}
	}
	return nil
}

// attemptError returns the client-facing error for a failed attempt.
func attemptError(u *admitter.Upstream, sent bool, err error) *savoryloft.Error {
	e := &savoryloft.Error{
		Step: savoryloft.StepAttempt, Peer: u.Name, StatusCode: 503, Code: "UpstreamFailed",
		Message: "the upstream could not be reached", Run: savoryloft.RunNotRun,
		RetryAfter: time.Second, Cause: err,
	}
	if sent {
		e.StatusCode = 504
		e.Code = "OutcomeUnknown"
		e.Message = "the upstream's answer was lost"
		e.Run = savoryloft.RunUnknown
		e.RetryAfter = 0
	}
	return e
}

// admissionError returns the client-facing error for a request that got no
// slot. last is the error of the previous attempt, or nil.
func admissionError(ctx context.Context, err, last error) error {
	if ctx.Err() != nil {
		return contextError(ctx, mayHaveRun(last))
	}
	return withEarlierOutcome(err, last)
}

// mayHaveRun reports whether the attempt that failed with last may have run.
func mayHaveRun(last error) bool {
	var e *savoryloft.Error
	return errors.As(last, &e) && e.Run == savoryloft.RunUnknown
}

// withEarlierOutcome returns err with Run set to Unknown when the previous
// attempt, which failed with last, may have run.
func withEarlierOutcome(err, last error) error {
	var refused *savoryloft.Error
	if errors.As(err, &refused) && mayHaveRun(last) {
		e := *refused
		e.Run = savoryloft.RunUnknown
		return &e
	}
	return err
}

// contextError returns the client-facing error for a request whose context has
// ended. sent states whether any byte was sent to an upstream.
func contextError(ctx context.Context, sent bool) error {
	cause := context.Cause(ctx)
	e := &savoryloft.Error{
		Step: savoryloft.StepDispatch, StatusCode: 499, Code: "Cancelled",
		Message: "the request was cancelled", Run: savoryloft.RunNotRun, Cause: cause,
	}
	if sent {
		e.Run = savoryloft.RunUnknown
	}
	switch {
	case errors.Is(cause, savoryloft.ErrKeyWithdrawn):
		e.StatusCode, e.Code, e.Message = 401, "KeyWithdrawn", "the key was withdrawn"
	case errors.Is(cause, savoryloft.ErrStopping):
		e.StatusCode, e.Code, e.Message = 503, "Stopping", "the instance is stopping"
		if sent {
			e.StatusCode = 504
		}
	}
	return e
}
