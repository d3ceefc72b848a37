package receiver

import (
	"context"
	"encoding/json"
	"math"
	"strconv"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/trace"

	"savoryloft.example/savoryloft"
)

// ErrorBody is the one JSON shape of errors. The inner object is what clients
// of OpenAI's API read.
type ErrorBody struct {
	Error     ErrorDetail     `json:"error"`
	Step      savoryloft.Step `json:"Step"`
	RequestID string          `json:"RequestID"`
	Run       savoryloft.Run  `json:"Run,omitempty"`
}

// ErrorDetail is the part of an error that clients of OpenAI's API read.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// fail writes an error and ends the request.
func (r *Receiver) fail(x *exchange, err error) {
	var e *savoryloft.Error
	status := fasthttp.StatusInternalServerError
	if errors.As(err, &e) {
		status = e.StatusCode
		if e.RetryAfter > 0 {
			seconds := int(math.Ceil(e.RetryAfter.Seconds()))
			x.http.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
		}
	}
	x.http.SetStatusCode(status)
	body := errorBody(x.id, err)
	if body.Run == savoryloft.RunNotRun && !x.mayClaimNotRun(body.Step) {
		body.Run = savoryloft.RunUnknown
	}
	writeJSON(x.http, body)
	r.end(x, status, err)
}

// mayClaimNotRun tells whether a refusal may say "not run". A request with an
// Idempotency-Key can be the repeat of one that ran, so only the journal, or
// what comes after its decision, may claim it.
func (x *exchange) mayClaimNotRun(step savoryloft.Step) bool {
	keyed := len(x.http.Request.Header.Peek("Idempotency-Key")) > 0
	return !keyed || x.decided || step == savoryloft.StepJournal
}

// errorBody returns an error in the form that callers get. The cause stays
// out: it may name addresses that are none of the caller's business.
func errorBody(id string, err error) ErrorBody {
	var e *savoryloft.Error
	if !errors.As(err, &e) {
		e = &savoryloft.Error{Step: savoryloft.StepReceive, Code: "Internal", Message: "internal error", Run: savoryloft.RunUnknown}
	}
	kind := "server_error"
	if e.StatusCode >= 400 && e.StatusCode < 500 {
		kind = "invalid_request_error"
	}
	return ErrorBody{
		Error: ErrorDetail{Message: e.Message, Type: kind, Code: e.Code},
		Step:  e.Step, RequestID: id, Run: e.Run,
	}
}

func refuse(step savoryloft.Step, status int, code, message string) *savoryloft.Error {
	return &savoryloft.Error{Step: step, StatusCode: status, Code: code, Message: message, Run: savoryloft.RunNotRun}
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error("answer could not be encoded", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// quote shortens and quotes a caller's text for an error message.
func quote(s string) string {
	const most = 100
	if len(s) > most {
		s = s[:most] + "..."
	}
	return strconv.Quote(s)
}

func statusText(status int) string { return strconv.Itoa(status) }

// remoteParent returns a context with the span that a W3C traceparent header
// names.
func remoteParent(header string) context.Context {
	ctx := context.Background()
	const length = 55
	if len(header) != length || header[2] != '-' || header[35] != '-' || header[52] != '-' {
		return ctx
	}
	traceID, err := trace.TraceIDFromHex(header[3:35])
	if err != nil {
		return ctx
	}
	spanID, err := trace.SpanIDFromHex(header[36:52])
	if err != nil {
		return ctx
	}
	return trace.ContextWithRemoteSpanContext(ctx, trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: traceID, SpanID: spanID, Remote: true,
		TraceFlags: trace.FlagsSampled,
	}))
}

// HandleProtocolError answers a request that could not be read: a body or head
// that is too large, a sender that is too slow, or bytes that are not HTTP.
func HandleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	status, code, message := fasthttp.StatusBadRequest, "BadRequest", "the request is not valid HTTP"
	var small *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, code, message = fasthttp.StatusRequestEntityTooLarge, "BodyTooLarge", "the body is too large"
	case errors.As(err, &small):
		status, code, message = fasthttp.StatusRequestHeaderFieldsTooLarge, "HeadTooLarge", "the request's head is too large"
	case errors.As(err, &timeout) && timeout.Timeout():
		status, code, message = fasthttp.StatusRequestTimeout, "RequestTimeout", "the request was not sent in time"
	}
	ctx.SetStatusCode(status)
	writeJSON(ctx, errorBody(newID(), refuse(savoryloft.StepReceive, status, code, message)))
	ctx.SetConnectionClose()
}
