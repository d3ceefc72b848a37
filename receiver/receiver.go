// Package receiver serves clients over HTTP: chat completions compatible with
// OpenAI's API, streamed or not, and routes to plain services. It authenticates
// the client, selects the route, passes the call to the dispatcher and writes
// the response or a typed error.
//
// # Usage
//
//	r := &receiver.Receiver{Context: ctx, Follower: f, Dispatcher: d, Journaler: j, Recorder: rec, CheckServing: check}
//	server := &fasthttp.Server{Handler: r.Handle}
//	err := server.Serve(listener)
package receiver

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/authenticator"
	"savoryloft.example/savoryloft/dispatcher"
	"savoryloft.example/savoryloft/follower"
	"savoryloft.example/savoryloft/journaler"
	"savoryloft.example/savoryloft/recorder"
)

const (
	chatPath    = "/v1/chat/completions"
	modelsPath  = "/v1/models"
	openAccount = "open" // Account for the usage of unauthenticated requests on open routes.
)

// Receiver handles client requests. Set the exported fields before the first
// request.
type Receiver struct {
	Context    context.Context // Requests in progress are aborted when it is cancelled.
	Follower   *follower.Follower
	Dispatcher *dispatcher.Dispatcher
	Journaler  *journaler.Journaler
	Recorder   *recorder.Recorder
	// CheckServing is called for each request. It returns an error while the
	// instance must not serve requests; the request then fails with that error.
	CheckServing func() error
	Logger       logr.Logger
	Tracer       trace.Tracer
	Metrics      metrics.Registry
}

// exchange holds the state of one request.
type exchange struct {
	http     *fasthttp.RequestCtx
	ctx      context.Context
	cancel   context.CancelCauseFunc
	span     trace.Span
	call     *dispatcher.Call
	started  time.Time
	id       string
	chat     chatParameters
	isChat   bool
	firstRun bool // The journal has confirmed that no earlier call with this Idempotency-Key ran.
}

// chatParameters holds the fields of a chat request body that the receiver uses.
type chatParameters struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// Handle serves one request.
func (r *Receiver) Handle(ctx *fasthttp.RequestCtx) {
	x := r.start(ctx)
	if err := r.serve(x); err != nil {
		r.fail(x, err)
	}
}

// start assigns the request ID and starts the request's span.
func (r *Receiver) start(ctx *fasthttp.RequestCtx) *exchange {
	x := &exchange{http: ctx, started: time.Now(), id: newID()}
	parent := remoteParent(string(ctx.Request.Header.Peek("Traceparent")))
	spanCtx, span := r.Tracer.Start(parent, "receive", trace.WithAttributes(attribute.String("request", x.id)))
	x.span = span
	x.ctx, x.cancel = context.WithCancelCause(spanCtx)
	stop := context.AfterFunc(r.Context, func() { x.cancel(context.Cause(r.Context)) })
	context.AfterFunc(x.ctx, func() { stop() })
	ctx.Response.Header.Set("X-Request-Id", x.id)
	return x
}

// serve routes and authenticates a request and writes its response. When it
// returns an error, no response has been written.
func (r *Receiver) serve(x *exchange) error {
	if err := r.CheckServing(); err != nil {
		return err
	}
	config := r.Follower.Config()
	if string(x.http.Path()) == modelsPath && x.http.IsGet() {
		return r.listModels(x, config)
	}
	route, err := r.findRoute(x, config)
	if err != nil {
		return err
	}
	if err := r.authenticate(x, config, route); err != nil {
		return err
	}
	if x.isChat {
		return r.serveChat(x)
	}
	return r.serveService(x)
}

// findRoute selects the route by method, path and, for chat requests, model.
func (r *Receiver) findRoute(x *exchange, config *follower.Config) (*follower.Route, error) {
	m := follower.RouteMatch{Method: string(x.http.Method()), Path: string(x.http.Path())}
	if m.Path == chatPath {
		x.isChat = true
		if err := json.Unmarshal(x.http.PostBody(), &x.chat); err != nil {
			return nil, requestError(savoryloft.StepReceive, fasthttp.StatusBadRequest, "BadJSON", "the body is not a chat completion request: "+err.Error())
		}
		m.Model = x.chat.Model
	}
	route, ok := config.Route(m)
	switch {
	case ok:
		return route, nil
	case x.isChat:
		return nil, requestError(savoryloft.StepRoute, fasthttp.StatusNotFound, "UnknownModel", "no route serves model "+quoteTruncated(m.Model))
	default:
		return nil, requestError(savoryloft.StepRoute, fasthttp.StatusNotFound, "UnknownPath", "no route serves "+m.Method+" "+quoteTruncated(m.Path))
	}
}

// authenticate determines the client account and builds the request's call. The
// request's context is cancelled when its key is withdrawn.
func (r *Receiver) authenticate(x *exchange, config *follower.Config, route *follower.Route) error {
	_, span := r.Tracer.Start(x.ctx, "authenticate")
	defer span.End()
	header := string(x.http.Request.Header.Peek("Authorization"))
	account := savoryloft.ClientAccount{Name: openAccount, Weight: 1}
	key, err := authenticator.Authenticate(config, header)
	switch {
	case err == nil:
		account = config.Accounts[key.ClientAccount]
		stop := context.AfterFunc(key.Context, func() { x.cancel(savoryloft.ErrKeyWithdrawn) })
		context.AfterFunc(x.ctx, func() { stop() })
	case !route.Open:
		return err
	}
	query := x.http.URI().QueryString()
	decoded := x.http.QueryArgs().String()
	if err := authenticator.CheckKeyLeak(header, x.http.PostBody(), query, []byte(decoded), x.http.Path()); err != nil {
		return err
	}
	x.call = &dispatcher.Call{
		ID:             x.id,
		Route:          route,
		Account:        account.Name,
		Weight:         account.Weight,
		Method:         string(x.http.Method()),
		URI:            string(x.http.URI().RequestURI()),
		Headers:        dispatcher.FilterHeaders(&x.http.Request.Header),
		Body:           x.http.PostBody(),
		IdempotencyKey: string(x.http.Request.Header.Peek("Idempotency-Key")),
		Arrived:        x.started,
	}
	return nil
}

// listModels responds with the models of the configuration.
func (r *Receiver) listModels(x *exchange, config *follower.Config) error {
	header := string(x.http.Request.Header.Peek("Authorization"))
	if _, err := authenticator.Authenticate(config, header); err != nil {
		return err
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, name := range config.Models() {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "savoryloft"})
	}
	writeJSON(x.http, list)
	r.finish(x, fasthttp.StatusOK, nil)
	return nil
}

// serveService serves a call on a plain service. Calls that must run at most
// once go through the journal.
func (r *Receiver) serveService(x *exchange) error {
	c := x.call
	journaled := c.IdempotencyKey != "" && !c.Route.Idempotent && !c.Route.UpstreamRemembersKeys
	var response dispatcher.Response
	var err error
	if journaled {
		response, err = r.runOnce(x)
	} else {
		response, err = r.Dispatcher.Service(x.ctx, c)
		if err == nil {
			r.recordUsage(x, 0, 0, response.Elapsed <= c.Route.Class.FirstToken.Std())
		}
	}
	if err != nil {
		return err
	}
	x.http.SetStatusCode(response.StatusCode)
	x.http.SetContentType(response.ContentType)
	x.http.SetBody(response.Body)
	r.finish(x, response.StatusCode, nil)
	return nil
}

// runOnce runs a journaled call, or replays the response of its first run.
func (r *Receiver) runOnce(x *exchange) (dispatcher.Response, error) {
	c := x.call
	key := journaler.KeyOf(c.Account, c.Route.Name, c.IdempotencyKey)
	ctx, span := r.Tracer.Start(x.ctx, "journal")
	ticket, replay, err := r.Journaler.Begin(ctx, key, journaler.RequestHash(c.Method, c.URI, c.Body), c.ID)
	span.End()
	if err != nil {
		return dispatcher.Response{}, err
	}
	if replay != nil {
		x.http.Response.Header.Set("Idempotent-Replayed", "true")
		return dispatcher.Response{StatusCode: replay.StatusCode, ContentType: replay.ContentType, Body: replay.Body}, nil
	}
	x.firstRun = true
	response, err := r.Dispatcher.Service(x.ctx, c)
	if err == nil {
		r.recordUsage(x, 0, 0, response.Elapsed <= c.Route.Class.FirstToken.Std())
	}
	r.recordOutcome(ticket, response, err)
	return response, err
}

// recordOutcome records the outcome of a journaled call in the background. Until
// the record is in the log, a retry fails with the code StillRunning.
func (r *Receiver) recordOutcome(t *journaler.Ticket, resp dispatcher.Response, callErr error) {
	var e *savoryloft.Error
	notRun := errors.As(callErr, &e) && e.Run == savoryloft.RunNotRun
	stored := journaler.Response{StatusCode: resp.StatusCode, ContentType: resp.ContentType, Body: append([]byte(nil), resp.Body...)}
	r.Journaler.RecordWithRetry(func(ctx context.Context) error {
		switch {
		case callErr == nil:
			return r.Journaler.Finish(ctx, t, stored)
		case notRun:
			return r.Journaler.Abandon(ctx, t)
		default:
			return r.Journaler.FinishUnknown(ctx, t)
		}
	})
}

// recordUsage adds a request to the usage records and the metrics. prompt and
// output are token counts; onTarget states whether the class's latency targets
// were met.
func (r *Receiver) recordUsage(x *exchange, prompt, output int, onTarget bool) {
	u := recorder.Usage{Requests: 1, PromptTokens: prompt, OutputTokens: output}
	if onTarget {
		u.OnTarget = 1
		metrics.GetOrRegisterCounter("on_target_total."+x.call.Route.Route.Class, r.Metrics).Inc(1)
	}
	metrics.GetOrRegisterCounter("requests_total."+x.call.Route.Route.Class, r.Metrics).Inc(1)
	r.Recorder.Record(x.call.Account, x.call.Route.Route.Class, u)
}

// finish cancels the request's context, ends its span and logs the request.
func (r *Receiver) finish(x *exchange, status int, err error) {
	x.cancel(nil)
	x.span.SetAttributes(attribute.Int("status", status))
	x.span.End()
	fields := []any{"request", x.id, "status", status, "elapsed", time.Since(x.started)}
	if x.call != nil {
		fields = append(fields, "account", x.call.Account, "route", x.call.Route.Name)
	}
	var e *savoryloft.Error
	if errors.As(err, &e) {
		fields = append(fields, "step", e.Step, "peer", e.Peer, "code", e.Code, "run", e.Run)
	}
	metrics.GetOrRegisterCounter("answers_total."+statusString(status), r.Metrics).Inc(1)
	r.Logger.V(1).Info("request", fields...)
}

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
