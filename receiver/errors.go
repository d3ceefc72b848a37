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

// ErrorBody is the JSON body of every error response. Its error object is
// compatible with OpenAI's API.
type ErrorBody struct {
	Error     ErrorDetail     `json:"error"`
	Step      savoryloft.Step `json:"Step"`
	RequestID string          `json:"RequestID"`
	Run       savoryloft.Run  `json:"Run,omitempty"`
}

// ErrorDetail is the error object of OpenAI's API.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// fail writes an error response and finishes the request.
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
	if body.Run == savoryloft.RunNotRun && !x.canReportNotRun(body.Step) {
		body.Run = savoryloft.RunUnknown
	}
	writeJSON(x.http, body)
	r.finish(x, status, err)
}

// canReportNotRun reports whether an error at step may have Run set to NotRun.
// A request with an Idempotency-Key may be a retry of one that ran, so NotRun is
// valid only from the journal or after the journal has confirmed a first run.
func (x *exchange) canReportNotRun(step savoryloft.Step) bool {
	keyed := len(x.http.Request.Header.Peek("Idempotency-Key")) > 0
	return !keyed || x.firstRun || step == savoryloft.StepJournal
}

// errorBody returns the response body for an error. It omits the cause, which
// may contain internal addresses.
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

// requestError returns an error for a request that was rejected before it ran.
func requestError(step savoryloft.Step, status int, code, message string) *savoryloft.Error {
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

// quoteTruncated truncates and quotes client-supplied text for an error message.
func quoteTruncated(s string) string {
	const maxBytes = 100
	if len(s) > maxBytes {
		s = s[:maxBytes] + "..."
	}
	return strconv.Quote(s)
}

func statusString(status int) string { return strconv.Itoa(status) }

// remoteParent returns a context with the remote span of a W3C traceparent
// header, or an empty context when the header is malformed. The span is
// always marked as sampled, whatever the header's flags.
func remoteParent(header string) context.Context {
	ctx := context.Background()
	const length = 55 // Bytes in a header of version 00.
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

// HandleProtocolError responds to a request that could not be read: the body or
// the headers are too large, the client is too slow, or the request is not
// valid HTTP.
func HandleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	status, code, message := fasthttp.StatusBadRequest, "BadRequest", "the request is not valid HTTP"
	var bufferErr *fasthttp.ErrSmallBuffer
	var timeoutErr interface{ Timeout() bool }
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, code, message = fasthttp.StatusRequestEntityTooLarge, "BodyTooLarge", "the body is too large"
	case errors.As(err, &bufferErr):
		status, code, message = fasthttp.StatusRequestHeaderFieldsTooLarge, "HeadTooLarge", "the request's head is too large"
	case errors.As(err, &timeoutErr) && timeoutErr.Timeout():
		status, code, message = fasthttp.StatusRequestTimeout, "RequestTimeout", "the request was not sent in time"
	}
	ctx.SetStatusCode(status)
	writeJSON(ctx, errorBody(newID(), requestError(savoryloft.StepReceive, status, code, message)))
	ctx.SetConnectionClose()
}
