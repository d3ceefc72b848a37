// Package dispatcher runs requests on upstreams: it asks the admitter for a
// slot, sends one attempt, and resumes or repeats it where the route allows.
//
// Only the route decides what may be repeated, never the method. A request
// that must not be repeated is sent once, on a connection opened for it; when
// its answer is lost the caller is told that the outcome is unknown.
//
// # Usage
//
//	d := &dispatcher.Dispatcher{Admitter: a, Connections: pool, Silence: 5 * time.Second}
//	result, err := d.Chat(ctx, call, func(c dispatcher.Chunk) error { return write(c) })
//	answer, err := d.Service(ctx, call)
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
	maxAttempts    = 4 // Attempts that may fail on upstreams; preempted ones do not count.
	maxAnswerBytes = 32 << 20
	requestIDName  = "X-Request-Id"
	traceName      = "Traceparent"
	idempotencyKey = "Idempotency-Key"
)

// passedHeaders are the only caller's headers that reach an upstream.
var passedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "X-Call-Id"}

// Header is one header of a caller that reaches the upstream.
type Header struct {
	Name  string
	Value string
}

// PassedHeaders copies the headers that may reach an upstream.
func PassedHeaders(h *fasthttp.RequestHeader) []Header {
	var list []Header
	for _, name := range passedHeaders {
		if v := h.Peek(name); len(v) > 0 {
			list = append(list, Header{Name: name, Value: string(v)})
		}
	}
	return list
}

// Call is one request of a caller.
type Call struct {
	ID             string // Request ID, unique for each request.
	Route          *follower.Route
	Account        string
	Weight         int
	Method         string
	URI            string   // Path and query, free of the caller's key.
	Header         []Header // Headers that reach the upstream, from PassedHeaders.
	Body           []byte
	IdempotencyKey string
	Arrived        time.Time
}

// Result tells what a chat call has used.
type Result struct {
	PromptTokens int
	OutputTokens int
	FirstToken   time.Duration
	Between      time.Duration // Mean time between tokens.
	Attempts     int
}

// Answer is the answer of a plain service.
type Answer struct {
	StatusCode  int
	ContentType string
	Body        []byte
	Elapsed     time.Duration
}

// Dispatcher sends requests to upstreams. Set the exported fields before the
// first call.
type Dispatcher struct {
	Admitter    *admitter.Admitter
	Connections *exchanger.Pool
	Silence     time.Duration // Longest time without a byte from an upstream.
	Logger      logr.Logger
	Tracer      trace.Tracer
	Budget      *Budget

	estimate estimator
}

// request describes a call to the admitter.
func (d *Dispatcher) request(c *Call, prefix uint64, preemptible bool) *admitter.Request {
	return &admitter.Request{
		Pool:        c.Route.Route.Pool,
		Class:       &c.Route.Class,
		Account:     c.Account,
		Weight:      c.Weight,
		Tokens:      d.estimate.tokens(c.Route.Name, c.Account),
		Prefix:      prefix,
		Preemptible: preemptible,
		Arrived:     c.Arrived,
	}
}

// attemptID returns the ID of one attempt, which the upstream echoes.
func attemptID(c *Call, n int) string { return fmt.Sprintf("%s-%d", c.ID, n) }

// prepare builds an attempt's request with the headers that may pass.
func prepare(req *fasthttp.Request, c *Call, address, id string, span trace.SpanContext) {
	req.SetRequestURI("http://" + address + c.URI)
	req.Header.SetMethod(c.Method)
	for _, h := range c.Header {
		req.Header.Set(h.Name, h.Value)
	}
	req.Header.Set(requestIDName, id)
	if span.IsValid() {
		req.Header.Set(traceName, fmt.Sprintf("00-%s-%s-%s", span.TraceID(), span.SpanID(), span.TraceFlags()))
	}
}

func (d *Dispatcher) span(ctx context.Context, name string, u *admitter.Upstream) (context.Context, trace.Span) {
	return d.Tracer.Start(ctx, name, trace.WithAttributes(attribute.String("peer", u.Name)))
}

// admit waits for a slot under a span of its own.
func (d *Dispatcher) admit(ctx context.Context, r *admitter.Request) (*admitter.Grant, error) {
	_, span := d.Tracer.Start(ctx, "queue")
	defer span.End()
	return d.Admitter.Admit(ctx, r)
}

// Service runs a call on a plain service.
func (d *Dispatcher) Service(ctx context.Context, c *Call) (Answer, error) {
	repeatable := c.Route.Idempotent || c.Route.UpstreamRemembersKeys && c.IdempotencyKey != ""
	r := d.request(c, 0, false)
	var last error
	for n := 1; n <= maxAttempts; n++ {
		g, err := d.admit(ctx, r)
		if err != nil {
			return Answer{}, notAdmitted(ctx, err, last)
		}
		answer, sent, err := d.serviceAttempt(g, c, n, repeatable)
		if err == nil {
			d.Budget.Success()
			return answer, nil
		}
		last = failure(g.Upstream, sent, err)
		if ctx.Err() != nil {
			return Answer{}, ended(ctx, sent)
		}
		if sent && !(repeatable && d.Budget.Take()) {
			return Answer{}, last
		}
		r.Exclude = append(r.Exclude, g.Upstream.Name)
		r.Exclude = d.stillChoosable(r)
	}
	return Answer{}, last
}

// serviceAttempt sends one attempt; sent tells whether a byte has left.
func (d *Dispatcher) serviceAttempt(g *admitter.Grant, c *Call, n int, repeatable bool) (answer Answer, sent bool, err error) {
	started := time.Now()
	o := admitter.Observation{Failed: true}
	defer func() { g.Done(o) }()
	ctx, span := d.span(g.Context, "attempt", g.Upstream)
	defer span.End()
	mode := exchanger.Fresh
	if c.Route.Idempotent {
		mode = exchanger.Reuse
	}
	conn, err := d.Connections.Get(ctx, g.Upstream.Address, mode)
	if err != nil {
		return answer, false, err
	}
	defer conn.Release()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	id := attemptID(c, n)
	prepare(req, c, g.Upstream.Address, id, span.SpanContext())
	if repeatable && c.IdempotencyKey != "" {
		req.Header.Set(idempotencyKey, c.IdempotencyKey)
	}
	req.SetBody(c.Body)
	if err := conn.Exchange(ctx, req, resp, d.Silence); err != nil {
		return answer, conn.Sent(), err
	}
	if echo := resp.Header.Peek(requestIDName); len(echo) > 0 && string(echo) != id {
		return answer, true, errors.Errorf("answer belongs to attempt %s, not %s", echo, id)
	}
	body, err := conn.ReadBody(ctx, resp, maxAnswerBytes)
	if err != nil {
		return answer, true, err
	}
	o = admitter.Observation{FirstToken: time.Since(started), Tokens: 1}
	return Answer{
		StatusCode: resp.StatusCode(), ContentType: string(resp.Header.ContentType()),
		Body: body, Elapsed: time.Since(c.Arrived),
	}, true, nil
}

// stillChoosable forgets the excluded upstreams when nothing else is left, so
// that a pool with one upstream can be tried again.
func (d *Dispatcher) stillChoosable(r *admitter.Request) []string {
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

// failure turns the error of an attempt into what the caller is told.
func failure(u *admitter.Upstream, sent bool, err error) *savoryloft.Error {
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

// notAdmitted returns what the caller of a request is told that got no slot,
// after an earlier attempt that may have failed with last.
func notAdmitted(ctx context.Context, err, last error) error {
	if ctx.Err() != nil {
		return ended(ctx, mayHaveRun(last))
	}
	return afterAttempts(err, last)
}

func mayHaveRun(last error) bool {
	var e *savoryloft.Error
	return errors.As(last, &e) && e.Run == savoryloft.RunUnknown
}

// afterAttempts turns a refusal into "unknown" when an earlier attempt may
// have run.
func afterAttempts(err, last error) error {
	var refused *savoryloft.Error
	if errors.As(err, &refused) && mayHaveRun(last) {
		e := *refused
		e.Run = savoryloft.RunUnknown
		return &e
	}
	return err
}

// ended returns the error of a request whose context has ended.
func ended(ctx context.Context, sent bool) error {
	cause := context.Cause(ctx)
	e := &savoryloft.Error{
		Step: savoryloft.StepDispatch, StatusCode: 499, Code: "Cancelled",
		Message: "the request was cancelled", Run: savoryloft.RunNotRun, Cause: cause,
	}
	if sent {
		e.Run = savoryloft.RunUnknown
	}
	if errors.Is(cause, savoryloft.ErrKeyWithdrawn) {
		e.StatusCode, e.Code, e.Message = 401, "KeyWithdrawn", "the key was withdrawn"
	}
	return e
}
