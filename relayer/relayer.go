// Package relayer carries requests from callers to upstreams and the answers
// back: it finds the route and the client account, chooses upstreams, repeats
// what may be repeated, resumes streams that break and ends what nobody waits
// for any more.
//
// # Usage
//
//	r := &relayer.Relayer{Wire: platform.Wire{}, Watcher: w, Placer: p, Limiter: l,
//		Pool: pool, Counter: c, Logger: log}
//	server := &fasthttp.Server{Handler: r.Handle}
//	err := server.Serve(&relayer.Listener{Listener: listener})
//
// A refusal with status 429 or 503 promises that the request has not run and
// never will. All that may have run ends with 502 or 504.
package relayer

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/limiter"
	"savoryloft.example/savoryloft/placer"
	"savoryloft.example/savoryloft/router"
	"savoryloft.example/savoryloft/watcher"
)

const (
	// freshnessMargin is kept below the bound on withdrawn keys for the time
	// between the check and the send.
	freshnessMargin = 400 * time.Millisecond
	// certainAge is the age of the configuration up to which "no such route" and
	// "no such key" are said; an older one may lack what was just added.
	certainAge      = 1500 * time.Millisecond
	defaultPatience = 30 * time.Second // For routes without a timeout.
	blindRetryAfter = 500 * time.Millisecond
	emptyRetryAfter = 700 * time.Millisecond // Without an upstream: registrations arrive about each second.
	fullRetryAfter  = 300 * time.Millisecond // After a refusal by full upstreams: about one answer's time.
	retryJitter     = 0.5                    // Part by which Retry-After is spread, so that those who return don't meet.
)

// Reasons for which an exchange's context ends.
const (
	errCallerLeft = errors.ConstError("caller has left")
	errTimeUp     = errors.ConstError("time of the request is up")
)

// Relayer serves callers. Set the exported fields before the first request.
type Relayer struct {
	Wire       savoryloft.WireFormat
	Watcher    *watcher.Watcher
	Placer     *placer.Placer
	Limiter    *limiter.Limiter
	Pool       *exchanger.Pool
	Count      func(account string) // Counts a request that has begun to run.
	Placed     func(uncached int)   // Called when a prompt was sent to an engine or has been read there.
	Refresh    func()               // Called before an upstream is chosen, to bring the placer up to date.
	Instances  func() int           // Instances that share the upstreams' connections.
	Revocation time.Duration        // Bound on the use of withdrawn keys.
	Stopping   func() bool
	Logger     logr.Logger
	Tracer     trace.Tracer
	Metrics    metrics.Registry

	active atomic.Int64
}

// exchange is one request on its way.
type exchange struct {
	relayer  *Relayer
	http     *fasthttp.RequestCtx
	conn     *callerConn
	ctx      context.Context
	cancel   context.CancelCauseFunc
	span     trace.Span
	call     savoryloft.Call
	received time.Time
	deadline time.Time

	table    *router.Table
	age      time.Duration // Of the configuration, when it was last looked at.
	route    *savoryloft.PathRoute
	identity router.Identity
	service  string

	tried    map[string]bool // Upstreams that refused or failed.
	sends    int             // Requests that left for an upstream.
	runs     int             // Sends after which the request may have run.
	counted  bool
	upstream string // Last one that was chosen.
	choice   placer.Choice
	first    time.Duration // To the first token or the answer; 0 before.
	fallback *wholeAnswer  // An upstream's own failure, passed on if nothing better comes.
	ended    bool
}

// Active returns the number of requests on their way.
func (r *Relayer) Active() int { return int(r.active.Load()) }

// Handle serves one request.
func (r *Relayer) Handle(http *fasthttp.RequestCtx) {
	r.active.Add(1)
	x := &exchange{relayer: r, http: http, received: time.Now(), tried: map[string]bool{}}
	x.ctx, x.cancel = context.WithCancelCause(context.Background())
	if c, ok := http.Conn().(*callerConn); ok {
		x.conn = c
		c.Watch(x.cancel)
	}
	if r.Stopping() {
		http.SetConnectionClose()
	}
	call, err := r.Wire.DecodeCall(http.Method(), http.Request.Header.RequestURI(), http.Request.Header.RawHeaders())
	x.call = call
	_, x.span = r.Tracer.Start(x.ctx, "Request", trace.WithAttributes(attribute.String("request", call.ID)))
	if err != nil {
		http.SetConnectionClose()
		x.refuse(fasthttp.StatusBadRequest, "Malformed", err.Error(), 0)
		return
	}
	x.call.Body = append([]byte(nil), http.Request.Body()...)
	if !x.locate() {
		return
	}
	x.setDeadline()
	r.Limiter.RecordRequest(x.received, x.service)
	if x.route.Kind == savoryloft.StreamingCall {
		x.serveStream()
		return
	}
	x.servePlain()
}

// setDeadline bounds the exchange by the caller's patience and the route's
// timeout.
func (x *exchange) setDeadline() {
	limit := x.route.Timeout
	if limit <= 0 {
		limit = defaultPatience
	}
	if x.call.Patience > 0 {
		limit = min(limit, x.call.Patience)
	}
	x.deadline = x.received.Add(limit)
	timer := time.AfterFunc(time.Until(x.deadline), func() { x.cancel(errTimeUp) })
	context.AfterFunc(x.ctx, func() { timer.Stop() })
}

// locate finds the route and the account in the configuration in force. It
// answers the request and returns false when there is none, or when the
// configuration is too old to trust.
func (x *exchange) locate() bool {
	w := x.relayer.Watcher
	x.table = w.Table()
	age, known := w.Age(savoryloft.TopicConfiguration)
	x.age = age
	if x.table == nil || !known {
		x.refuse(fasthttp.StatusServiceUnavailable, "NoConfiguration", "no configuration is known yet", blindRetryAfter)
		return false
	}
	x.route = x.table.FindRoute(x.call.Host, x.call.URI)
	if x.route == nil {
		return x.deny(fasthttp.StatusNotFound, "NoRoute", "no route matches this host and path")
	}
	if x.table.NeedsKey(x.route) && age > x.relayer.Revocation-freshnessMargin {
		x.refuse(fasthttp.StatusServiceUnavailable, "StaleKeys", "keys can not be checked at the moment", blindRetryAfter)
		return false
	}
	identity, ok := x.table.Authenticate(x.route, x.call.Credential)
	if !ok {
		return x.deny(fasthttp.StatusUnauthorized, "BadKey", "key is missing or not valid")
	}
	x.identity = identity
	x.service = x.table.SelectService(x.route, x.call.ID)
	if x.call.ID == "" {
		x.refuse(fasthttp.StatusBadRequest, "NoID", "request has no attempt ID", 0)
		return false
	}
	return true
}

// deny refuses for good, unless the configuration may lack what was just added.
func (x *exchange) deny(status int, code, message string) bool {
	if x.age > certainAge {
		x.refuse(fasthttp.StatusServiceUnavailable, "Stale"+code, message+", but the configuration may be out of date", blindRetryAfter)
		return false
	}
	x.refuse(status, code, message, 0)
	return false
}

// relocate looks the request up again before it is sent once more. ok is
// false when the configuration in force no longer allows it.
func (x *exchange) relocate() bool {
	w := x.relayer.Watcher
	t := w.Table()
	age, known := w.Age(savoryloft.TopicConfiguration)
	x.age = age
	if t != x.table {
		route := t.FindRoute(x.call.Host, x.call.URI)
		if route == nil {
			return false
		}
		identity, ok := t.Authenticate(route, x.call.Credential)
		if !ok {
			return false
		}
		x.table, x.route, x.identity, x.service = t, route, identity, t.SelectService(route, x.call.ID)
	}
	return known && (!x.table.NeedsKey(x.route) || age <= x.relayer.Revocation-freshnessMargin)
}

// refuse answers without an upstream's answer and ends the exchange. A
// retryAfter of zero sends no such header.
func (x *exchange) refuse(status int, code, message string, retryAfter time.Duration) {
	resp := &x.http.Response
	resp.ResetBody()
	resp.SetStatusCode(status)
	resp.Header.SetContentType("application/json")
	if retryAfter > 0 {
		spread := time.Duration(float64(retryAfter) * retryJitter * rand.Float64())
		resp.Header.Set("Retry-After", strconv.FormatFloat((retryAfter+spread).Seconds(), 'f', 2, 64))
	}
	resp.SetBodyString(`{"Code":` + strconv.Quote(code) + `,"Message":` + strconv.Quote(message) + `}`)
	x.end(code, status)
}

// end releases what the exchange holds and logs how it ended.
func (x *exchange) end(outcome string, status int) {
	if x.ended {
		return
	}
	x.ended = true
	if x.conn != nil {
		x.conn.Unwatch()
	}
	x.cancel(nil)
	x.span.SetAttributes(attribute.String("outcome", outcome), attribute.Int("status", status))
	x.span.End()
	r := x.relayer
	r.active.Add(-1)
	x.log(outcome, status)
	x.measure(outcome)
}

// log writes the one line that tells how the request ended and what decided it.
func (x *exchange) log(outcome string, status int) {
	route, kind, version := "", "", 0
	if x.table != nil {
		version = x.table.Version
	}
	if x.route != nil {
		route, kind = x.route.Name, x.route.Kind.String()
	}
	x.relayer.Logger.Info("request", "id", x.call.ID, "outcome", outcome, "status", status,
		"route", route, "kind", kind, "account", x.identity.Account, "rank", x.identity.Rank, "service", x.service,
		"upstream", x.upstream, "sends", x.sends, "runs", x.runs,
		"first", x.first.Milliseconds(), "took", time.Since(x.received).Milliseconds(),
		"version", version, "age", x.age.Milliseconds(),
		"cost", int(x.choice.Cost), "uncached", x.choice.Uncached, "running", x.choice.Running, "waiting", x.choice.Waiting)
}

// measure counts the outcome and records the times.
func (x *exchange) measure(outcome string) {
	m := x.relayer.Metrics
	route := "none"
	if x.route != nil {
		route = x.route.Kind.String()
	}
	metrics.GetOrRegisterCounter("requests_total."+route+"."+outcome, m).Inc(1)
	if x.first > 0 {
		metrics.GetOrRegisterHistogram("first_answer_ms."+route, m, metrics.NewExpDecaySample(1028, 0.015)).Update(x.first.Milliseconds())
	}
	metrics.GetOrRegisterHistogram("duration_ms."+route, m, metrics.NewExpDecaySample(1028, 0.015)).Update(time.Since(x.received).Milliseconds())
}

// count counts the request as begun, once.
func (x *exchange) count() {
	if x.counted {
		return
	}
	x.counted = true
	if x.identity.Account != "" {
		x.relayer.Count(x.identity.Account)
	}
}

// answer hands an upstream's whole answer to the caller.
func (x *exchange) answer(h savoryloft.AnswerHead, body []byte) {
	x.writeHead(h)
	x.http.Response.SetBody(body)
	x.end("Answered", h.StatusCode)
}

func (x *exchange) writeHead(h savoryloft.AnswerHead) {
	resp := &x.http.Response
	resp.ResetBody()
	resp.SetStatusCode(h.StatusCode)
	for _, f := range h.Fields {
		resp.Header.Add(f.Name, f.Value)
	}
}

// HandleProtocolError answers what can not be read as a request.
func HandleProtocolError(http *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var tooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &tooLarge):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	}
	http.Response.Reset()
	http.SetStatusCode(status)
	http.SetConnectionClose()
	http.SetContentType("application/json")
	http.SetBodyString(`{"Code":"Malformed"}`)
}
