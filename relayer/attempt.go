package relayer

import (
	"context"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/placer"
	"savoryloft.example/savoryloft/quarantiner"
)

const (
	dialTimeout        = 400 * time.Millisecond // Connecting takes a few ms; an unreachable upstream must not use up the latency objective.
	maxSends           = 4                      // Of one request, including sends that upstreams refuse.
	maxStaleResponses  = 2                      // Late responses to earlier requests that an attempt skips on a connection.
	maxResponseBytes   = 8 << 20
	defaultReadTimeout = 60 * time.Second // Of a read on the connection; the request's deadline usually ends the wait earlier.
)

// execution states whether an upstream may have run a request.
type execution int

// Values of execution.
const (
	notExecuted   execution = iota // The upstream has not run the request and never will.
	maybeExecuted                  // The upstream may have run the request.
)

// sendError is the error of an attempt that returned no response for the client.
type sendError struct {
	execution execution
	cause     error
}

// Error implements error.
func (e *sendError) Error() string { return e.cause.Error() }

// attempt is one send of a request to an upstream.
type attempt struct {
	exchange     *exchange
	conn         *exchanger.Conn
	run          *placer.Run
	choice       placer.Choice
	response     *http.Response
	head         savoryloft.AnswerHead
	ctx          context.Context
	cancel       context.CancelFunc
	span         trace.Span
	sentAt       time.Time
	firstEventAt time.Time // Zero before the first event of a stream.
	runCounted   bool      // The attempt is included in exchange.possibleRuns.
	promptRead   bool      // The first event or the head of the response has arrived.
	released     bool
}

// placerRequest returns the input for the choice of an upstream.
func (x *exchange) placerRequest() placer.Request {
	req := placer.Request{
		Service: x.service, Parts: x.call.Parts, PromptTokens: x.call.PromptTokens,
		OutputTokens: x.call.OutputTokens, Exclude: x.triedUpstreams, Objective: x.route.Objective,
		Streaming: x.route.Kind == savoryloft.StreamingCall, NoFetch: x.fetchFailed,
	}
	if x.resumable() && !x.begun() {
		req.VersionCosts = x.relayer.Tracker.Surcharges(x.service)
	}
	if x.call.OutputHint > 0 {
		req.OutputTokens = min(x.call.OutputHint, max(x.call.OutputTokens, 1))
	}
	if s := x.table.LookupService(x.service); s != nil {
		req.Engine, req.WarmUpLimited = s.Engine, s.WarmUpRate > 0
		if s.MaxConnections > 0 {
			req.MaxConnections = max(s.MaxConnections/(x.relayer.Instances()+1), minConnections)
			if x.bounds().Position(x.identity.Urgency) > 0 {
				req.MaxConnections-- // One is left to the most urgent requests.
			}
		}
	}
	return req
}

const minConnections = 4 // Lower limit for an instance's share of the connections to an upstream.

// errQuarantined is returned when the request, or a part of its prompt, crashes upstreams.
const errQuarantined = errors.ConstError("the request or a part of its prompt crashes upstreams")

const (
	// maxBrokenSends is the number of sends whose connections may break before a request
	// under which an upstream has ended is not sent again: it may be what ends them.
	maxBrokenSends = 2
	probeWait      = 100 * time.Millisecond // For the results of the probes; they usually take 20 to 40 ms.
)

// errWithdrawn is returned if the chosen upstream must not get requests any more.
const errWithdrawn = errors.ConstError("the upstream leaves, has left, or is evacuated")

// errNoUpstream is returned when no registered upstream is eligible.
const errNoUpstream = errors.ConstError("no upstream is available")

// send chooses an upstream, sends the request and reads the status line and
// header of the response. The header timeout is that of attempt.watch.
func (x *exchange) send(lastEventID string, headTimeout time.Duration) (*attempt, *sendError) {
	r := x.relayer
	if a := r.Quarantine.Admit(x.quarantineRequest()); !a.OK {
		x.quarantineWait = a.Wait
		return nil, &sendError{notExecuted, errQuarantined}
	} else if a.Trial {
		x.trial = true
	}
	req := x.placerRequest()
	choice, err := x.chooseUpstream(req)
	if err == nil {
		err = x.cancelCause()
	}
	if err != nil {
		x.abandonTrial()
		x.dropReserved()
		return nil, &sendError{notExecuted, err}
	}
	a := &attempt{exchange: x, choice: choice, run: x.takeReserved(choice, req)}
	if len(x.call.Parts) > 0 {
		r.ranks.begin(time.Now(), x.rankKey(), x, choice)
	}
	a.ctx, a.cancel = context.WithCancel(x.ctx)
	_, a.span = r.Tracer.Start(trace.ContextWithSpan(x.ctx, x.span), "Attempt",
		trace.WithAttributes(attribute.String("upstream", choice.Upstream.ID)))
	if err := a.connect(); err != nil {
		x.abandonTrial()
		outcome := placer.Failed
		if errors.Is(err, errStaleEntry) {
			outcome = placer.Refused
		} else if x.ctx.Err() == nil {
			x.unreachable++
			r.Detours.ObserveFailure(choice.Upstream.ID)
		}
		a.release(outcome)
		return nil, x.recordFailure(choice, &sendError{notExecuted, err})
	}
	d := savoryloft.Dispatch{
		Upstream: choice.Upstream.ID, Account: x.identity.Account, Remaining: time.Until(x.deadline),
		Rank: min(x.identity.Urgency, maxWireRank), HasRank: req.Engine != nil, LastEventID: lastEventID,
		FetchFrom: choice.FetchFrom,
	}
	if !r.Watcher.MayReceive(choice.Upstream) { // Since the choice, or while it waited for a token or a connection.
		x.abandonTrial()
		a.release(placer.Cancelled)
		return nil, x.recordFailure(choice, &sendError{notExecuted, errWithdrawn})
	}
	a.notifyPrefillChange()
	head := r.Wire.AppendCall(nil, &x.call, d)
	x.sends++
	a.sentAt = time.Now()
	r.Detours.ObserveSend()
	x.logLimitedSend(choice.Upstream)
	if err := a.conn.Send(a.ctx, head, x.call.Body, defaultReadTimeout); err != nil {
		return nil, a.abort(err)
	}
	if err := a.readResponseHead(headTimeout); err != nil {
		return nil, a.abort(err)
	}
	if a.head.NotRun {
		a.conn.MarkRefused(x.call.ID)
		a.recordRefusal()
		// Read the body so that the connection can be reused.
		_, _ = a.conn.ReadResponseBody(a.ctx, a.response, maxResponseBytes)
		outcome := placer.Refused
		if a.head.Pause > 0 {
			outcome = placer.Cancelled // The pause itself keeps requests away; it is no sign of failure.
		}
		a.countFetch(fetchRefused)
		a.release(outcome)
		return nil, x.recordFailure(choice, &sendError{notExecuted, errors.Errorf("upstream refused with status %d", a.head.StatusCode)})
	}
	a.countRun()
	return a, nil
}

// notifyPrefillChange calls PrefillChanged if the request has a prompt.
func (a *attempt) notifyPrefillChange() {
	if len(a.exchange.call.Parts) > 0 {
		a.exchange.relayer.PrefillChanged(a.choice.UncachedTokens)
	}
}

const maxWireRank = 9 // Least urgent rank that upstreams accept.

// connect gets a connection to the chosen upstream from the pool.
func (a *attempt) connect() error {
	ctx, cancel := context.WithTimeout(a.ctx, dialTimeout)
	defer cancel()
	conn, err := a.exchange.relayer.Pool.Get(ctx, a.choice.Upstream.Address, exchanger.Reuse)
	if err != nil {
		return err
	}
	a.conn = conn
	a.observeConnection()
	if !conn.HasRefused(a.exchange.call.ID) {
		if err = a.verifyProcess(ctx); err == nil || !conn.Reused() {
			return err
		}
	}
	// A kept connection may have been dropped, or lead to a process that has ended.
	_ = conn.Close()
	if conn, err = a.exchange.relayer.Pool.Get(ctx, a.choice.Upstream.Address, exchanger.Fresh); err != nil {
		return err
	}
	a.conn = conn
	a.observeConnection()
	return a.verifyProcess(ctx)
}

// observeConnection records that an upstream could be connected to, if it was just now.
func (a *attempt) observeConnection() {
	if a.conn.IsNew() {
		a.exchange.relayer.Detours.ObserveConnection()
	}
}

// watch cancels the attempt, unless stop is called before, when the timeout has passed and
// the request may move to another upstream. While it may not, it keeps its place at this one.
// A timeout of zero means none.
func (a *attempt) watch(timeout time.Duration) (stop func()) {
	if timeout <= 0 {
		return func() {}
	}
	var mu sync.Mutex // Held while the exchange is read, which its goroutine may change after stop.
	var timer *time.Timer
	stopped := false
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(timeout, func() {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case stopped:
		case a.exchange.reserveMove():
			a.cancel()
		default:
			timer.Reset(timeout)
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

// readResponseHead reads the status line and header of the response. It skips
// late responses to earlier requests on the same connection. The timeout is that of watch.
func (a *attempt) readResponseHead(timeout time.Duration) error {
	defer a.watch(timeout)()
	for n := range maxStaleResponses + 1 {
		resp, err := a.conn.ReadResponse(a.ctx, a.exchange.call.Method)
		if err != nil {
			return err
		}
		a.response = resp
		a.exchange.relayer.Detours.ObserveContact()
		a.head = a.exchange.relayer.Wire.DecodeAnswer(resp)
		isFirst := n == 0 && !a.conn.Reused() // Nothing else can have been refused on the connection.
		if a.head.ID == a.exchange.call.ID || a.head.ID == "" && a.head.NotRun && isFirst {
			a.conn.SetKeepAliveTimeout(a.head.KeepAlive)
			a.followUpstream()
			a.observeLimit()
			return nil
		}
		a.exchange.relayer.Logger.Info("skipped late response to another request", "id", a.exchange.call.ID,
			"upstream", a.choice.Upstream.ID, "answered", a.head.ID)
		if _, err := a.conn.ReadResponseBody(a.ctx, resp, maxResponseBytes); err != nil {
			return err
		}
		a.conn.CloseOnRelease()
	}
	return errors.Errorf("upstream %s returned only responses to other requests", a.choice.Upstream.ID)
}

// followUpstream records what the response says of the upstream itself: that it
// leaves, or that it requests a pause.
func (a *attempt) followUpstream() {
	r := a.exchange.relayer
	if a.head.Misdirected {
		r.Quarantine.ObserveMisdirected(a.choice.Upstream)
		return // Another upstream has answered.
	}
	if a.head.Leaving && !a.choice.Upstream.Draining {
		r.Watcher.MarkLeaving(a.choice.Upstream)
	}
	a.followBrittleness()
	if a.head.Pause > 0 {
		r.Placer.Pause(time.Now(), a.choice.Upstream, a.head.Pause)
		r.Logger.Info("upstream asks for a pause", "id", a.exchange.call.ID, "upstream", a.choice.Upstream.ID, "pause", a.head.Pause.String())
	}
}

const (
	// brittleShare is the part of the requests that a brittle upstream may turn away which
	// the instances together use up. Their rejections do not come evenly.
	brittleShare    = 0.5
	maxBrittlePause = 10 * time.Second
)

// followBrittleness keeps requests away from an upstream that has turned one away and fails
// if it has to turn many away: for as long as this instance's share of these takes.
func (a *attempt) followBrittleness() {
	r := a.exchange.relayer
	if a.head.Signed || a.head.IsBrittle {
		r.Placer.SetBrittle(time.Now(), a.choice.Upstream, a.head.IsBrittle)
	}
	if !a.head.IsBrittle || !a.head.NotRun {
		return
	}
	pause := maxBrittlePause
	if a.head.Brittle > 0 {
		share := brittleShare * a.head.Brittle / float64(max(r.Instances(), 1))
		pause = min(pause, time.Duration(float64(time.Second)/share))
	}
	r.Placer.Pause(time.Now(), a.choice.Upstream, pause)
}

// observeLimit records the limit that the response names, or that it names none. A
// response without a signature may have lost its header, unless the upstream refused.
func (a *attempt) observeLimit() {
	whole := a.head.Signed || a.head.NotRun
	if !a.head.Misdirected && (whole || a.head.Limit != savoryloft.NoLimit) {
		a.exchange.relayer.Throttler.Observe(a.choice.Upstream, a.head.Limit, a.sentAt)
	}
}

// countRun adds the attempt to the exchange's possible runs, once.
func (a *attempt) countRun() {
	if !a.runCounted {
		a.runCounted = true
		a.exchange.possibleRuns++
	}
}

// abort ends an attempt after an error on its connection.
func (a *attempt) abort(err error) *sendError {
	executed := maybeExecuted
	if !a.conn.Sent() {
		executed = notExecuted
	} else {
		a.countRun()
	}
	a.countFailedFetch(executed)
	outcome := placer.Failed
	if a.exchange.ctx.Err() != nil {
		outcome = placer.Cancelled
	}
	if executed == maybeExecuted {
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case a.ctx.Err() == nil && !timedOut:
			if a.response == nil {
				a.exchange.relayer.Detours.ObserveFailure(a.choice.Upstream.ID)
			}
			a.observeBroken()
		case a.response == nil || timedOut:
			a.exchange.relayer.Quarantine.ObserveSilent(a.choice.Upstream, a.exchange.quarantineRequest())
		}
	}
	a.release(outcome)
	return a.exchange.recordFailure(a.choice, &sendError{executed, err})
}

// observeBroken reports that the connection broke before the response was complete,
// which may be because the upstream has ended.
func (a *attempt) observeBroken() {
	x := a.exchange
	x.brokenSends++
	b := quarantiner.Broken{
		Request:  x.quarantineRequest(),
		Late:     !a.firstEventAt.IsZero() && time.Since(a.firstEventAt) > quarantiner.StartingPeriod,
		OnProbed: func(ended bool) { x.probed <- ended },
	}
	if x.partsHarmless {
		b.Parts = nil
	}
	x.relayer.Quarantine.ObserveBroken(a.choice.Upstream, b)
}

// hasEndedUpstream reports whether an upstream has ended under the request.
func (x *exchange) hasEndedUpstream() bool {
	timeout := time.After(probeWait)
	for ; !x.upstreamEnded && x.probesRead < x.brokenSends; x.probesRead++ {
		select {
		case x.upstreamEnded = <-x.probed:
		case <-timeout:
			return false
		case <-x.ctx.Done():
			return false
		}
	}
	return x.upstreamEnded
}

// quarantineRequest returns the request as it can be suspected of crashes. It may be used
// after the exchange has ended.
func (x *exchange) quarantineRequest() quarantiner.Request {
	if x.suspect.Fingerprint == nil {
		account := x.identity.Account
		x.suspect.Account, x.suspect.Parts = account, x.call.Parts
		x.suspect.Fingerprint = sync.OnceValue(func() string { return x.call.Fingerprint(account) })
	}
	return x.suspect
}

// abandonTrial makes another request the trial if this one, which was admitted as one, is not
// sent.
func (x *exchange) abandonTrial() {
	if x.trial {
		x.trial = false
		x.relayer.Quarantine.AbandonTrial(x.quarantineRequest())
	}
}

// observeHarmless records, once, that the request's prompt does not crash upstreams.
func (x *exchange) observeHarmless() {
	if !x.partsHarmless {
		x.partsHarmless = true
		x.relayer.Quarantine.ObserveHarmless(x.quarantineRequest())
	}
}

// recordFailure excludes the upstream from further attempts of the request, logs
// the error and returns it.
func (x *exchange) recordFailure(c placer.Choice, e *sendError) *sendError {
	x.triedUpstreams[c.Upstream.ID] = true
	if x.ctx.Err() == nil {
		x.relayer.Logger.Info("attempt failed", "id", x.call.ID, "upstream", c.Upstream.ID, "address", c.Upstream.Address,
			"send", x.sends, "may_have_run", e.execution == maybeExecuted, "urgency", x.identity.Urgency, "running", c.Running, "since_received", time.Since(x.received).Milliseconds(), "parts", x.sharedParts(), "request", x.quarantineRequest().Fingerprint(), "error", e.cause.Error())
	}
	return e
}

// sharedParts returns the IDs of the prompt parts that other requests may have too,
// separated by commas.
func (x *exchange) sharedParts() string {
	var ids []string
	for _, p := range x.call.Parts[:max(len(x.call.Parts)-1, 0)] {
		ids = append(ids, p.ID)
	}
	return strings.Join(ids, ",")
}

// release ends an attempt and releases its connection. Later calls have no
// effect.
func (a *attempt) release(o placer.Outcome) {
	if a.released {
		return
	}
	a.released = true
	a.run.End(time.Now(), o)
	a.exchange.relayer.ranks.end(time.Now(), a.exchange.rankKey(), a.exchange, false)
	if a.conn != nil {
		a.conn.Release()
	}
	a.cancel()
	a.span.End()
}

// allowRetry reports whether the request may be sent again after a failure. A
// permitted retry counts toward the service's retry budget, unless the request
// was not sent yet.
func (x *exchange) allowRetry(e *sendError) bool {
	if x.ctx.Err() != nil || x.sends >= maxSends || !x.stillPermitted() {
		return false
	}
	if slices.ContainsFunc([]error{errNoUpstream, errVersionGone, errOverloaded, errQuarantined, errLimited}, func(final error) bool { return errors.Is(e.cause, final) }) {
		return false
	}
	if e.execution == maybeExecuted && (!x.retryable() || x.possibleRuns >= x.route.MaxAttempts) {
		return false
	}
	if x.trial && x.sends > 0 || x.brokenSends >= maxBrokenSends && x.hasEndedUpstream() {
		return false
	}
	if x.retryReserved {
		x.retryReserved = false
		return true
	}
	if x.sends > 0 && len(x.refusedBy) > 0 && x.crowdedOut() {
		return false
	}
	if x.sends == 0 || x.takeRetry() {
		return true
	}
	x.retryDenied = true
	metrics.GetOrRegisterCounter("retries_denied_total."+x.service+"."+strconv.Itoa(x.identity.Urgency), x.relayer.Metrics).Inc(1)
	return false
}

// takeRetry reports whether the part of the retry budget that the request may use permits
// another send, which then counts toward it.
func (x *exchange) takeRetry() bool {
	r, now, share := x.relayer, time.Now(), 1.0
	if r.pressure.Competes(now, x.service, x.identity.Urgency) {
		share = x.bounds().RetryShare(x.identity.Urgency)
	}
	return r.Limiter.AllowWithin(now, x.service, share)
}

// reserveMove reports whether the request may be sent again, and another upstream has room
// for it, if the one that has it is given up: where all are full it would lose its place for
// another wait. That retry then counts toward the service's retry budget.
func (x *exchange) reserveMove() bool {
	if x.ctx.Err() != nil || x.sends >= maxSends || x.trial || !x.stillPermitted() {
		return false
	}
	if !x.retryable() || x.possibleRuns >= x.route.MaxAttempts || x.brokenSends >= maxBrokenSends && x.hasEndedUpstream() {
		return false
	}
	req := x.placerRequest()
	req.Exclude = maps.Clone(req.Exclude)
	req.Exclude[x.upstream] = true
	if _, choice, ok := x.place(req); !ok || choice.Full {
		return false
	}
	x.retryReserved = x.retryReserved || x.takeRetry()
	return x.retryReserved
}

// retryable reports whether the request may run more than once.
func (x *exchange) retryable() bool {
	return x.route.Kind == savoryloft.IdempotentCall || x.route.Kind == savoryloft.StreamingCall && x.route.Resumable
}

// bufferedResponse is an upstream's response that was read completely.
type bufferedResponse struct {
	head savoryloft.AnswerHead
	body []byte
}

// respondToFailure sends the client the fallback response, if there is one, or
// an error response after the last attempt has failed.
func (x *exchange) respondToFailure(e *sendError) {
	switch cause := x.cancelCause(); {
	case errors.Is(cause, errClientDisconnected):
		x.httpCtx.SetConnectionClose()
		x.httpCtx.SetStatusCode(statusClientClosedRequest)
		x.finish("CallerLeft", statusClientClosedRequest)
	case x.fallbackResponse != nil:
		x.respond(x.fallbackResponse.head, x.fallbackResponse.body)
	case x.possibleRuns == 0 && e.execution == notExecuted && errors.Is(cause, errDeadlineExceeded):
		x.refuse(http.StatusServiceUnavailable, "TimeUp", "time is up; the request has not run", upstreamsFullRetryAfter)
	case errors.Is(cause, errDeadlineExceeded):
		x.refuse(http.StatusGatewayTimeout, "TimeUp", "upstream did not answer in time", 0)
	case errors.Is(cause, ErrStopping) && x.possibleRuns == 0 && e.execution == notExecuted:
		x.refuseStopping()
	case errors.Is(cause, ErrStopping):
		x.refuse(http.StatusBadGateway, "Stopping", "instance is stopping; the request may have run", 0)
	case errors.Is(e.cause, errOverloaded):
		x.refuseOverloaded()
	case x.possibleRuns == 0 && errors.Is(e.cause, errQuarantined):
		x.refuse(http.StatusServiceUnavailable, "Quarantined", errQuarantined.Error()+"; the request has not run", x.quarantineWait)
	case x.possibleRuns == 0 && errors.Is(e.cause, errLimited):
		x.refuse(http.StatusServiceUnavailable, "Limited", errLimited.Error()+"; the request has not run", x.limitWait)
	case x.possibleRuns == 0 && errors.Is(e.cause, errVersionGone):
		x.refuse(http.StatusServiceUnavailable, "VersionGone", errVersionGone.Error()+"; the request has not run", versionGoneRetryAfter)
	case x.possibleRuns > 0 || e.execution == maybeExecuted:
		x.refuse(http.StatusBadGateway, "UpstreamFailed", "upstream failed; the request may have run", 0)
	case errors.Is(e.cause, errNoUpstream):
		x.refuseNoUpstream()
	default:
		x.recordNoRoom()
		x.refuse(http.StatusServiceUnavailable, "UpstreamsFull", "upstreams refused; the request has not run", upstreamsFullRetryAfter)
	}
}

// statusClientClosedRequest is the nonstandard status, introduced by nginx, that
// is logged when the client disconnects before the response.
const statusClientClosedRequest = 499

// cancelCause returns the cause with which the exchange's context ended, or nil.
func (x *exchange) cancelCause() error { return context.Cause(x.ctx) }
