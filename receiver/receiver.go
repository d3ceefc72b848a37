// Package receiver answers callers over HTTP: chat completions in the form
// that OpenAI's API has made usual, streamed or whole, and routes to plain
// services. It authenticates, finds the route, hands the call to the
// dispatcher and writes the answer or one typed error.
//
// # Usage
//
//	r := &receiver.Receiver{Follower: f, Dispatcher: d, Journaler: j, Recorder: rec, Gate: gate}
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
	openAccount = "open" // Account under which requests on open routes are counted.
)

// Receiver answers callers' requests. Set the exported fields before the first
// request.
type Receiver struct {
	Follower   *follower.Follower
	Dispatcher *dispatcher.Dispatcher
	Journaler  *journaler.Journaler
	Recorder   *recorder.Recorder
	// Gate returns an error while no request may be admitted.
	Gate    func() error
	Logger  logr.Logger
	Tracer  trace.Tracer
	Metrics metrics.Registry
}

// exchange is one request on its way through the receiver.
type exchange struct {
	http    *fasthttp.RequestCtx
	ctx     context.Context
	cancel  context.CancelCauseFunc
	span    trace.Span
	call    *dispatcher.Call
	started time.Time
	id      string
	chat    chatHead
	isChat  bool
	decided bool // The journal has decided that no earlier call with this key has run.
}

// chatHead is the part of a chat request's body that the router reads.
type chatHead struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// Handle answers one request.
func (r *Receiver) Handle(ctx *fasthttp.RequestCtx) {
	x := r.begin(ctx)
	if err := r.serve(x); err != nil {
		r.fail(x, err)
	}
}

func (r *Receiver) begin(ctx *fasthttp.RequestCtx) *exchange {
	x := &exchange{http: ctx, started: time.Now(), id: newID()}
	parent := remoteParent(string(ctx.Request.Header.Peek("Traceparent")))
	spanCtx, span := r.Tracer.Start(parent, "receive", trace.WithAttributes(attribute.String("request", x.id)))
	x.span = span
	x.ctx, x.cancel = context.WithCancelCause(spanCtx)
	ctx.Response.Header.Set("X-Request-Id", x.id)
	return x
}

func (r *Receiver) serve(x *exchange) error {
	if err := r.Gate(); err != nil {
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

func (r *Receiver) findRoute(x *exchange, config *follower.Config) (*follower.Route, error) {
	m := follower.RouteMatch{Method: string(x.http.Method()), Path: string(x.http.Path())}
	if m.Path == chatPath {
		x.isChat = true
		if err := json.Unmarshal(x.http.PostBody(), &x.chat); err != nil {
			return nil, refuse(savoryloft.StepReceive, fasthttp.StatusBadRequest, "BadJSON", "the body is not a chat completion request: "+err.Error())
		}
		m.Model = x.chat.Model
	}
	route, ok := config.Route(m)
	switch {
	case ok:
		return route, nil
	case x.isChat:
		return nil, refuse(savoryloft.StepRoute, fasthttp.StatusNotFound, "UnknownModel", "no route serves model "+quote(m.Model))
	default:
		return nil, refuse(savoryloft.StepRoute, fasthttp.StatusNotFound, "UnknownPath", "no route serves "+m.Method+" "+quote(m.Path))
	}
}

// authenticate finds the client account and ties the request to its key: the
// request's context ends when the key is withdrawn.
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
	if err := authenticator.CheckLeak(header, x.http.PostBody(), query, []byte(decoded), x.http.Path()); err != nil {
		return err
	}
	x.call = &dispatcher.Call{
		ID:             x.id,
		Route:          route,
		Account:        account.Name,
		Weight:         account.Weight,
		Method:         string(x.http.Method()),
		URI:            string(x.http.URI().RequestURI()),
		Header:         dispatcher.PassedHeaders(&x.http.Request.Header),
		Body:           x.http.PostBody(),
		IdempotencyKey: string(x.http.Request.Header.Peek("Idempotency-Key")),
		Arrived:        x.started,
	}
	return nil
}

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
	r.end(x, fasthttp.StatusOK, nil)
	return nil
}

// serveService runs a call on a plain service, through the journal where it
// must run at most once.
func (r *Receiver) serveService(x *exchange) error {
	c := x.call
	journaled := c.IdempotencyKey != "" && !c.Route.Idempotent && !c.Route.UpstreamRemembersKeys
	var answer dispatcher.Answer
	var err error
	if journaled {
		answer, err = r.runOnce(x)
	} else {
		answer, err = r.Dispatcher.Service(x.ctx, c)
		if err == nil {
			r.count(x, 0, 0, answer.Elapsed <= c.Route.Class.FirstToken.Std())
		}
	}
	if err != nil {
		return err
	}
	x.http.SetStatusCode(answer.StatusCode)
	x.http.SetContentType(answer.ContentType)
	x.http.SetBody(answer.Body)
	r.end(x, answer.StatusCode, nil)
	return nil
}

// runOnce runs a journaled call, or replays its first answer.
func (r *Receiver) runOnce(x *exchange) (dispatcher.Answer, error) {
	c := x.call
	key := journaler.KeyOf(c.Account, c.Route.Name, c.IdempotencyKey)
	ctx, span := r.Tracer.Start(x.ctx, "journal")
	ticket, replay, err := r.Journaler.Begin(ctx, key, journaler.RequestHash(c.Method, c.URI, c.Body), c.ID)
	span.End()
	if err != nil {
		return dispatcher.Answer{}, err
	}
	if replay != nil {
		x.http.Response.Header.Set("Idempotent-Replayed", "true")
		return dispatcher.Answer{StatusCode: replay.StatusCode, ContentType: replay.ContentType, Body: replay.Body}, nil
	}
	x.decided = true
	answer, err := r.Dispatcher.Service(x.ctx, c)
	if err == nil {
		r.count(x, 0, 0, answer.Elapsed <= c.Route.Class.FirstToken.Std())
	}
	r.settle(ticket, answer, err)
	return answer, err
}

// settle records a journaled call's outcome. It does not hold up the answer:
// until the record is in the log, a repeat learns that the call still runs.
func (r *Receiver) settle(t *journaler.Ticket, a dispatcher.Answer, callErr error) {
	var e *savoryloft.Error
	notRun := errors.As(callErr, &e) && e.Run == savoryloft.RunNotRun
	kept := journaler.Answer{StatusCode: a.StatusCode, ContentType: a.ContentType, Body: append([]byte(nil), a.Body...)}
	r.Journaler.Settle(func(ctx context.Context) error {
		switch {
		case callErr == nil:
			return r.Journaler.Finish(ctx, t, kept)
		case notRun:
			return r.Journaler.Abandon(ctx, t)
		default:
			return r.Journaler.FinishUnknown(ctx, t)
		}
	})
}

// count adds a finished request to the usage and the metrics.
func (r *Receiver) count(x *exchange, prompt, output int, onTarget bool) {
	u := recorder.Usage{Requests: 1, PromptTokens: prompt, OutputTokens: output}
	if onTarget {
		u.OnTarget = 1
		metrics.GetOrRegisterCounter("on_target_total."+x.call.Route.Route.Class, r.Metrics).Inc(1)
	}
	metrics.GetOrRegisterCounter("requests_total."+x.call.Route.Route.Class, r.Metrics).Inc(1)
	r.Recorder.Record(x.call.Account, x.call.Route.Route.Class, u)
}

// end closes the request's span and writes its log line.
func (r *Receiver) end(x *exchange, status int, err error) {
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
	metrics.GetOrRegisterCounter("answers_total."+statusText(status), r.Metrics).Inc(1)
	r.Logger.V(1).Info("request", fields...)
}

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
