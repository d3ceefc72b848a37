// Package relayer is the HTTP reverse proxy between clients and upstreams. It
// resolves the route and the client account, chooses an upstream, retries
// requests where the route permits it, resumes broken streams, and cancels a
// request when its client disconnects or its deadline passes.
//
// # Usage
//
//	r := &relayer.Relayer{Context: ctx, Wire: platform.Wire{}, Watcher: w, Placer: p, Limiter: l,
//		Pool: pool, Logger: log, ...}
//	l := &relayer.Listener{Listener: listener}
//	server := &fasthttp.Server{Handler: r.Handle, ConnState: l.ObserveState}
//	err := server.Serve(l)
//
// An error response with status 429 or 503 guarantees that the request has not
// run and never will. A request that may have run fails with 502 or 504.
package relayer

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
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
	"savoryloft.example/savoryloft/admitter"
	"savoryloft.example/savoryloft/budgeter"
	"savoryloft.example/savoryloft/detourer"
	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/limiter"
	"savoryloft.example/savoryloft/observer"
	"savoryloft.example/savoryloft/placer"
	"savoryloft.example/savoryloft/quarantiner"
	"savoryloft.example/savoryloft/ranker"
	"savoryloft.example/savoryloft/router"
	"savoryloft.example/savoryloft/throttler"
	"savoryloft.example/savoryloft/tracker"
	"savoryloft.example/savoryloft/watcher"
)

const (
	// revocationMargin is subtracted from Relayer.Revocation to cover the time
	// between the check of a key and the send.
	revocationMargin = 400 * time.Millisecond
	// maxAuthoritativeAge is the maximum age of a configuration at which an unknown
	// route or key is a permanent error. An older configuration may lack a route or
	// key that was just added.
	maxAuthoritativeAge     = 1500 * time.Millisecond
	defaultRouteTimeout     = 30 * time.Second // For routes without a timeout.
	staleConfigRetryAfter   = 500 * time.Millisecond
	firstConfigWait         = 100 * time.Millisecond // An instance that starts usually has a configuration and the quarantines by then.
	noUpstreamRetryAfter    = 700 * time.Millisecond // Registrations arrive about once a second.
	upstreamsFullRetryAfter = 300 * time.Millisecond // About the duration of one request.
	stoppingRetryAfter      = 50 * time.Millisecond  // Retries reach other instances.
	retryJitter             = 0.5                    // Maximum random extension of Retry-After as a share of it, so that retries spread out.
)

// Cancellation causes of an exchange's context.
const (
	errClientDisconnected = errors.ConstError("client disconnected")
	errDeadlineExceeded   = errors.ConstError("request deadline exceeded")
	// ErrStopping is the cancellation cause of Relayer.Context when the instance exits.
	ErrStopping = errors.ConstError("instance is stopping")
)

// Relayer handles client requests. Set the exported fields before the first
// request.
type Relayer struct {
	Context          context.Context // Requests in progress are aborted when it is cancelled.
	Wire             savoryloft.WireFormat
	Watcher          *watcher.Watcher
	Placer           *placer.Placer
	Limiter          *limiter.Limiter
	Quarantine       *quarantiner.Quarantiner
	QuarantinesRead  <-chan struct{} // Closed once the quarantines of other instances, or of earlier ones, are known; nil if there are none.
	Throttler        *throttler.Throttler
	Tracker          *tracker.Tracker
	Detours          *detourer.Detourer
	Admitter         *admitter.Admitter // Queues requests with prompts for which there is no room; they are sent or refused at once if nil.
	Pool             *exchanger.Pool
	CountRequest     func(account string) // Counts a request for an account's usage when an upstream may have started to run it.
	PrefillChanged   func(uncached int)   // Called with a prompt's uncached tokens when it is sent to an upstream, and when the first event of a stream arrives.
	RefreshPeerLoads func()               // Updates the placer's peer loads; called before each choice of an upstream.
	LoadShare        func() float64       // Returns the share of the upstreams' capacity that this instance may use with the loads that it knows; 1 unless it has lost the others.
	Instances        func() int           // Returns the number of instances, this one included.
	Regions          map[string]string    // Region of each failure domain.
	Revocation       time.Duration        // Maximum age of the configuration at which keys are accepted; bounds the use of a revoked key.
	Stopping         func() bool          // Reports whether the instance is shutting down; client connections are then closed after the response.
	ExitTime         func() time.Time     // Returns when responses in progress are cut off in a shutdown; zero while all new requests are still accepted.
	Logger           logr.Logger
	Tracer           trace.Tracer
	Metrics          metrics.Registry
	Memory           *budgeter.Budget // For bodies of requests, and for responses until they are sent.

	active   atomic.Int64
	ranks    rankStates
	pressure ranker.Pressure
	share    atomic.Uint64 // Last LoadShare, as float64 bits; 0 before the first call of Maintain.
}

// exchange is one client request in progress.
type exchange struct {
	relayer  *Relayer
	httpCtx  *fasthttp.RequestCtx
	client   *clientConn
	memory   *budgeter.Holding // Of the request's body.
	ctx      context.Context
	cancel   context.CancelCauseFunc
	span     trace.Span
	call     savoryloft.Call
	received time.Time
	deadline time.Time

	table     *router.Table // Configuration under which the request was accepted.
	configAge time.Duration // Age of the newest configuration when the key was last checked.
	route     *savoryloft.PathRoute
	identity  router.Identity
	service   string
	origin    tracker.Origin // Where the stream began; empty before its first event.

	triedUpstreams   map[string]bool     // Upstreams that refused or failed.
	refusedBy        []string            // Those of them that were full; see retryRefusing.
	sends            int                 // Attempts in which the request was sent.
	possibleRuns     int                 // Attempts in which an upstream may have run the request.
	unreachable      int                 // Upstreams that no connection could be opened to.
	fromPeer         bool                // Another instance has sent the request on.
	retryReserved    bool                // The next retry counts toward the budget already.
	retryDenied      bool                // The retry budget did not permit another send.
	brokenSends      int                 // Sends whose connection broke before the response was complete.
	probed           chan bool           // Receives for each of these sends whether its upstream has ended.
	probesRead       int                 // Results received from probed.
	upstreamEnded    bool                // An upstream of these sends has ended.
	quarantineWait   time.Duration       // Until the request may be admitted again.
	trial            bool                // The request was admitted as a trial and is sent once.
	limitWait        time.Duration       // Until an upstream may take the request within its limit.
	partsHarmless    bool                // An upstream has responded for long enough that the prompt parts cannot crash it.
	suspect          quarantiner.Request // See quarantineRequest.
	usageCounted     bool
	upstream         string // ID of the last chosen upstream.
	choice           placer.Choice
	fetchFailed      bool            // A send that fetched prompt parts from another upstream has failed; the next ones read them.
	grant            *admitter.Grant // Of the admission; nil before.
	reserved         *placer.Run     // Started by the admission and not yet used by an attempt.
	reservedUpstream string
	waited           time.Duration     // For the admission.
	overloadWait     time.Duration     // Until there is room for the request.
	timeToResponse   time.Duration     // To the first event or the complete response; 0 before.
	fallbackResponse *bufferedResponse // Last server error, sent to the client if no retry succeeds.
	finished         bool
}

// ActiveRequests returns the number of requests in progress.
func (r *Relayer) ActiveRequests() int { return int(r.active.Load()) }

// Handle handles one request.
func (r *Relayer) Handle(httpCtx *fasthttp.RequestCtx) {
	body, memory, err := r.receiveBody(httpCtx)
	if err != nil {
		memory.Close()
		r.countUnread(err)
		r.refuseUnread(httpCtx, err)
		return
	}
	r.active.Add(1)
	x := &exchange{relayer: r, httpCtx: httpCtx, memory: memory, received: time.Now(), triedUpstreams: map[string]bool{}, probed: make(chan bool, maxSends)}
	x.ctx, x.cancel = context.WithCancelCause(r.Context)
	if c, ok := httpCtx.Conn().(*clientConn); ok {
		x.client = c
		c.startDisconnectWatch(x.cancel)
	}
	if r.Stopping() {
		httpCtx.SetConnectionClose()
	}
	call, err := r.Wire.DecodeCall(httpCtx.Method(), httpCtx.Request.Header.RequestURI(), httpCtx.Request.Header.RawHeaders())
	x.call = call
	_, x.span = r.Tracer.Start(x.ctx, "Request", trace.WithAttributes(attribute.String("request", call.ID)))
	if err != nil {
		httpCtx.SetConnectionClose()
		x.refuse(fasthttp.StatusBadRequest, "Malformed", err.Error(), 0)
		return
	}
	x.call.Body = body
	if !x.acceptDetour() || !x.resolve() {
		return
	}
	x.limitAttempts()
	x.setDeadline()
	streaming := x.route.Kind == savoryloft.StreamingCall
	if exit := r.ExitTime(); streaming && !exit.IsZero() && x.deadline.After(exit) {
		x.refuseStopping()
		return
	}
	if r.Detours.CutOff() && x.detour() {
		return
	}
	r.Limiter.RecordRequest(x.received, x.service)
	r.pressure.RecordRequest(x.received, x.service, x.identity.Urgency)
	if streaming {
		if x.resolveOrigin() {
			x.serveStream()
		}
		return
	}
	x.serveBuffered()
}

// setDeadline sets the exchange's deadline from the shorter of the route's and the
// client's timeouts.
func (x *exchange) setDeadline() {
	limit := x.route.Timeout
	if limit <= 0 {
		limit = defaultRouteTimeout
	}
	if x.call.Patience > 0 {
		limit = min(limit, x.call.Patience)
	}
	x.deadline = x.received.Add(limit)
	timer := time.AfterFunc(time.Until(x.deadline), func() { x.cancel(errDeadlineExceeded) })
	context.AfterFunc(x.ctx, func() { timer.Stop() })
}

// resolve determines the route, account and service from the active
// configuration. It sends an error response and returns false when there is no
// match or the configuration is too old.
func (x *exchange) resolve() bool {
	w := x.relayer.Watcher
	x.awaitQuarantines()
	x.table = w.AwaitTable(x.ctx, firstConfigWait)
	age, known := w.Age(savoryloft.TopicConfiguration)
	x.configAge = age
	if x.table == nil || !known {
		x.refuse(fasthttp.StatusServiceUnavailable, "NoConfiguration", "no configuration is known yet", staleConfigRetryAfter)
		return false
	}
	x.route = x.table.FindRoute(x.call.Host, x.call.URI)
	if x.route == nil {
		return x.refuseUnmatched(fasthttp.StatusNotFound, "NoRoute", "no route matches this host and path")
	}
	if x.table.NeedsKey(x.route) && age > x.relayer.Revocation-revocationMargin {
		x.refuse(fasthttp.StatusServiceUnavailable, "StaleKeys", "keys can not be checked at the moment", staleConfigRetryAfter)
		return false
	}
	identity, ok := x.table.Authenticate(x.route, x.call.Credential)
	if !ok {
		return x.refuseUnmatched(fasthttp.StatusUnauthorized, "BadKey", "key is missing or not valid")
	}
	x.identity = identity
	x.service = x.selectService(x.table, x.route)
	if x.call.ID == "" {
		x.refuse(fasthttp.StatusBadRequest, "NoID", "request has no attempt ID", 0)
		return false
	}
	return true
}

// selectService returns the service that the request goes to. A stream that has begun stays
// at its service as long as the route has that.
func (x *exchange) selectService(t *router.Table, route *savoryloft.PathRoute) string {
	isOrigin := func(s savoryloft.ServiceShare) bool { return s.Service == x.origin.Service && s.Weight > 0 }
	if x.begun() && slices.ContainsFunc(route.Shares, isOrigin) {
		return x.origin.Service
	}
	return t.SelectService(route, x.call.ID)
}

// awaitQuarantines waits for a time, if this instance has just started, until it knows the
// quarantines.
func (x *exchange) awaitQuarantines() {
	select {
	case <-x.relayer.QuarantinesRead:
		return
	default:
	}
	if x.relayer.QuarantinesRead == nil {
		return
	}
	timer := time.NewTimer(firstConfigWait)
	defer timer.Stop()
	select {
	case <-x.relayer.QuarantinesRead:
	case <-x.ctx.Done():
	case <-timer.C:
	}
}

// refuseUnmatched refuses a request whose route or key is not in the
// configuration: with a permanent error, or with a retryable one if the
// configuration may be out of date. It returns false.
func (x *exchange) refuseUnmatched(status int, code, message string) bool {
	if x.configAge > maxAuthoritativeAge {
		x.refuse(fasthttp.StatusServiceUnavailable, "Stale"+code, message+", but the configuration may be out of date", staleConfigRetryAfter)
		return false
	}
	x.refuse(status, code, message, 0)
	return false
}

// stillPermitted reports whether the newest configuration still accepts the key of the
// request. Everything else is decided by the configuration under which the request was
// accepted, for all of its attempts: a later route for its path may allow what was
// forbidden when an upstream received it.
func (x *exchange) stillPermitted() bool {
	w := x.relayer.Watcher
	newest := w.Table()
	if !x.table.NeedsKey(x.route) || !newest.NeedsKey(x.route) {
		return true
	}
	age, known := w.Age(savoryloft.TopicConfiguration)
	x.configAge = age
	identity, ok := newest.Authenticate(x.route, x.call.Credential)
	return ok && identity.Account == x.identity.Account && known && age <= x.relayer.Revocation-revocationMargin
}

// refuse sends an error response and finishes the exchange. A retryAfter of zero
// omits the Retry-After header.
func (x *exchange) refuse(status int, code, message string, retryAfter time.Duration) {
	resp := &x.httpCtx.Response
	resp.ResetBody()
	resp.SetStatusCode(status)
	resp.Header.SetContentType("application/json")
	if retryAfter > 0 {
		jitter := time.Duration(float64(retryAfter) * retryJitter * rand.Float64())
		resp.Header.Set("Retry-After", strconv.FormatFloat((retryAfter+jitter).Seconds(), 'f', 2, 64))
	}
	resp.SetBodyString(`{"Code":` + strconv.Quote(code) + `,"Message":` + strconv.Quote(message) + `}`)
	x.finish(code, status)
}

// refuseStopping refuses a request that this instance may not complete before it exits.
func (x *exchange) refuseStopping() {
	x.refuse(fasthttp.StatusServiceUnavailable, "Stopping", "instance is stopping; the request has not run", stoppingRetryAfter)
}

// finish cancels the exchange's context, logs the request and records its
// metrics. Later calls have no effect.
func (x *exchange) finish(outcome string, status int) {
	if x.finished {
		return
	}
	x.finished = true
	if x.client != nil {
		x.client.stopDisconnectWatch()
	}
	x.cancel(nil)
	x.memory.Close()
	x.releaseGrant()
	x.span.SetAttributes(attribute.String("outcome", outcome), attribute.Int("status", status))
	x.span.End()
	r := x.relayer
	r.active.Add(-1)
	x.logRequest(outcome, status)
	x.recordMetrics(outcome)
}

// logRequest logs the outcome of the request and the estimates that the choice of
// the upstream was based on.
func (x *exchange) logRequest(outcome string, status int) {
	route, kind, version := "", "", 0
	if x.table != nil {
		version = x.table.Version
	}
	if x.route != nil {
		route, kind = x.route.Name, x.route.Kind.String()
	}
	x.relayer.Logger.Info("request", "id", x.call.ID, "outcome", outcome, "status", status,
		"route", route, "kind", kind, "account", x.identity.Account, "rank", x.identity.Rank, "urgency", x.identity.Urgency, "service", x.service,
		"upstream", x.upstream, "software", x.choice.Upstream.Version, "resumes", x.call.Resumes, "after", x.call.LastEventID, "sends", x.sends, "runs", x.possibleRuns, "retry_denied", x.retryDenied,
		"first", x.timeToResponse.Milliseconds(), "took", time.Since(x.received).Milliseconds(),
		"version", version, "age", x.configAge.Milliseconds(),
		"cost", int(x.choice.Cost), "preferred", x.choice.Preferred, "prompt", x.call.PromptTokens, "uncached", x.choice.UncachedTokens, "fetched", x.choice.FetchedTokens, "fetch_from", x.choice.FetchSource, "running", x.choice.Running, "waiting", x.choice.QueuedTokens, "predicted", x.choice.TimeToFirstToken.Milliseconds(), "waited", x.waited.Milliseconds())
}

// recordMetrics counts the outcome and records the latencies in ms.
func (x *exchange) recordMetrics(outcome string) {
	m := x.relayer.Metrics
	route := "none"
	if x.route != nil {
		route = x.route.Kind.String()
	}
	metrics.GetOrRegisterCounter("requests_total."+route+"."+outcome, m).Inc(1)
	if x.timeToResponse > 0 {
		observer.ObserveMilliseconds(m, "first_answer_ms."+route, x.timeToResponse)
	}
	observer.ObserveMilliseconds(m, "duration_ms."+route, time.Since(x.received))
}

// countUsage counts the request for the account's usage, at most once.
func (x *exchange) countUsage() {
	if x.usageCounted {
		return
	}
	x.usageCounted = true
	if x.identity.Account != "" {
		x.relayer.CountRequest(x.identity.Account)
	}
}

// respond sends the complete response of an upstream to the client.
func (x *exchange) respond(h savoryloft.AnswerHead, body []byte) {
	x.writeResponseHead(h)
	if x.client != nil {
		x.client.holdResponse(x.relayer.Memory, len(body))
	}
	x.httpCtx.Response.SetBodyRaw(body)
	x.finish("Answered", h.StatusCode)
}

// writeResponseHead copies the status and header of an upstream's response.
func (x *exchange) writeResponseHead(h savoryloft.AnswerHead) {
	resp := &x.httpCtx.Response
	resp.ResetBody()
	resp.SetStatusCode(h.StatusCode)
	for _, f := range h.Fields {
		resp.Header.Add(f.Name, f.Value)
	}
}

// HandleProtocolError sends the response to a request that could not be parsed.
func HandleProtocolError(httpCtx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var tooLarge *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	httpCtx.Response.Reset()
	httpCtx.SetStatusCode(status)
	httpCtx.SetConnectionClose()
	httpCtx.SetContentType("application/json")
	httpCtx.SetBodyString(`{"Code":"Malformed"}`)
}
