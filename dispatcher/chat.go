package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/trace"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/admitter"
	"savoryloft.example/savoryloft/exchanger"
)

const (
	chatPath        = "/v1/chat/completions"
	eventPrefix     = "data: "
	doneMarker      = "[DONE]"
	prefixHashBytes = 256 // Leading bytes of the messages that are hashed for prefix affinity.
	maxLineBytes    = 1 << 20
	// endTimeout limits the wait for the end of a response after its end marker, which
	// only serves to reuse the connection.
	endTimeout = 50 * time.Millisecond
	// tokensPerProgress is the number of tokens between progress reports to the admitter.
	tokensPerProgress = 8
)

// Chunk is one event of a chat stream, both as received from the upstream and
// as sent to the client.
type Chunk struct {
	ID         string      `json:"id"`
	Object     string      `json:"object"`
	Created    int64       `json:"created,omitempty"`
	Model      string      `json:"model"`
	TokenIndex *int        `json:"token_index,omitempty"`
	Choices    []Choice    `json:"choices"`
	Usage      *TokenUsage `json:"usage,omitempty"`
}

// Choice is the part of one completion choice in a chunk.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the new text in a chunk.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// TokenUsage holds the token counts in the last chunk of a stream.
type TokenUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// errAttemptMismatch reports a response that belongs to another attempt.
var errAttemptMismatch = errors.New("response belongs to another attempt")

// rejection is a 4xx response that reports a fault in the request itself, so a
// retry would fail as well.
type rejection struct{ status int }

// Error implements error.
func (r *rejection) Error() string {
	return fmt.Sprintf("upstream rejected the request with status %d", r.status)
}

// isRejection reports whether a response status means that the request itself is
// invalid. 408 and 429 depend on the upstream and may succeed elsewhere.
func isRejection(status int) bool {
	return status >= 400 && status < 500 && status != fasthttp.StatusTooManyRequests && status != fasthttp.StatusRequestTimeout
}

// chatState holds the state of a chat call across its attempts.
type chatState struct {
	call          *Call
	requestFields map[string]json.RawMessage // Top-level fields of the client's request body.
	emit          func(Chunk) error
	nextToken     int // Index of the next token to receive.
	result        Result
	firstTokenAt  time.Time
	lastTokenAt   time.Time
	finalChunk    *Chunk // The usage chunk, held back until the end marker is received.
	complete      bool   // The end marker has been received.
	grant         *admitter.Grant
	progressAt    time.Time // Time of the last progress report in this attempt; zero before the first.
	emitErr       error     // Error returned by emit: the client can no longer be written to.
	freshOnly     bool      // A kept connection had a response that may be to an earlier request.
}

// Chat runs a chat completion as a stream. It calls emit for each chunk once
// and in order, also when the chunks come from several upstreams. The stream is
// complete when the error is nil. Errors are of type *savoryloft.Error.
func (d *Dispatcher) Chat(ctx context.Context, c *Call, emit func(Chunk) error) (Result, error) {
	s := &chatState{call: c, emit: emit}
	if err := json.Unmarshal(c.Body, &s.requestFields); err != nil {
		return s.result, &savoryloft.Error{
			Step: savoryloft.StepDispatch, StatusCode: 400, Code: "BadJSON",
			Message: "the body is not a JSON object: " + err.Error(), Run: savoryloft.RunNotRun,
		}
	}
	r := d.admissionRequest(c, prefixHash(c.Account, s.requestFields["messages"]), c.Route.Idempotent)
	err := d.chatAttempts(ctx, s, r)
	s.result.OutputTokens = s.nextToken
	if err == nil {
		d.RetryBudget.Deposit()
		d.estimator.observe(c.Route.Name, c.Account, s.result.PromptTokens+s.nextToken)
	}
	if s.nextToken > 1 {
		s.result.BetweenTokens = s.lastTokenAt.Sub(s.firstTokenAt) / time.Duration(s.nextToken-1)
	}
	return s.result, err
}

// chatAttempts sends attempts until one completes the stream or no further
// attempt is allowed.
func (d *Dispatcher) chatAttempts(ctx context.Context, s *chatState, r *admitter.Request) error {
	var last error
	everSent := false
	for failures := 0; failures < maxAttempts; {
		g, err := d.admit(ctx, r)
		if err != nil {
			return admissionError(ctx, err, last)
		}
		s.result.Attempts++
		sent, err := d.chatAttempt(g, s)
		everSent = everSent || sent
		if err == nil {
			return nil
		}
		if s.emitErr != nil || ctx.Err() != nil {
			return contextError(ctx, everSent)
		}
		var rejected *rejection
		if errors.As(err, &rejected) {
			return &savoryloft.Error{
				Step: savoryloft.StepAttempt, Peer: g.Upstream.Name, StatusCode: rejected.status,
				Code: "UpstreamRejected", Message: err.Error(), Run: savoryloft.RunUnknown,
			}
		}
		last = attemptError(g.Upstream, sent, err)
		// The next attempt's queue wait is measured from now, not from the call's arrival.
		r.Arrived, r.Resumed = time.Now(), s.nextToken > 0
		if errors.Is(context.Cause(g.Context), savoryloft.ErrPreempted) {
			continue
		}
		d.Logger.V(1).Info("attempt failed", "step", savoryloft.StepAttempt, "peer", g.Upstream.Name,
			"request", s.call.ID, "token", s.nextToken, "error", err.Error())
		failures++
		if sent && !(s.call.Route.Idempotent && d.RetryBudget.Withdraw()) {
			return last
		}
		r.Exclude = append(r.Exclude, g.Upstream.Name)
		r.Exclude = d.remainingExclusions(r)
	}
	return last
}

// chatAttempt requests the remaining tokens of a chat stream from one upstream.
// sent reports whether any byte of the request was sent.
func (d *Dispatcher) chatAttempt(g *admitter.Grant, s *chatState) (sent bool, err error) {
	started := time.Now()
	startToken := s.nextToken
	s.grant, s.progressAt = g, time.Time{}
	o := admitter.Observation{Failed: true}
	defer func() { g.Done(o) }()
	ctx, span := d.startSpan(g.Context, "attempt", g.Upstream)
	defer span.End()
	mode := exchanger.Fresh
	if s.call.Route.Idempotent && !s.freshOnly {
		mode = exchanger.Reuse
	}
	conn, err := d.Connections.Get(ctx, g.Upstream.Address, mode)
	if err != nil {
		o.Failed = ctx.Err() == nil
		return false, err
	}
	defer conn.Release()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	id := attemptID(s.call, s.result.Attempts)
	if err := s.buildRequest(req, g.Upstream.Address, id, span.SpanContext()); err != nil {
		o.Failed = false
		return false, err
	}
	first, err := d.stream(ctx, conn, req, resp, id, s)
	var rejected *rejection
	notUpstreamFault := ctx.Err() != nil || s.emitErr != nil || errors.As(err, &rejected)
	o = admitter.Observation{Failed: err != nil && !notUpstreamFault}
	if !first.IsZero() {
		o.FirstToken = first.Sub(started)
		o.Tokens = s.nextToken
		if n := s.nextToken - startToken; n > 1 {
			o.BetweenTokens = s.lastTokenAt.Sub(first) / time.Duration(n-1)
		}
	}
	return conn.Sent(), err
}

// buildRequest builds the upstream request from the client's request. It sets
// the pool's model, the tier of the class as the priority, and the index of the
// token to resume at. The client cannot set these fields.
func (s *chatState) buildRequest(req *fasthttp.Request, address, id string, span trace.SpanContext) error {
	c := *s.call
	c.URI = chatPath
	buildRequest(req, &c, address, id, span)
	fields := map[string]any{"stream": true, "model": c.Route.Pool.Model, "priority": c.Route.Class.Tier}
	if s.nextToken > 0 {
		fields["resume_at"] = s.nextToken
	}
	for name, v := range s.requestFields {
		if _, ok := fields[name]; !ok && name != "resume_at" {
			fields[name] = v
		}
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return errors.Annotate(err, "encode request")
	}
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	return nil
}

// stream sends the request of one attempt and forwards the chunks of its
// response. It returns the time of the attempt's first token, which is zero
// when no token was received.
func (d *Dispatcher) stream(ctx context.Context, conn *exchanger.Conn, req *fasthttp.Request, resp *fasthttp.Response, id string, s *chatState) (first time.Time, err error) {
	if err := conn.Exchange(ctx, req, resp, d.ReadIdleTimeout); err != nil {
		return first, err
	}
	echo := string(resp.Header.Peek(requestIDHeader))
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		// Not all upstreams name the request that they reject.
		if isRejection(status) && (echo == id || echo == "" && !conn.Reused()) {
			return first, &rejection{status: status}
		}
		s.freshOnly = true
		return first, errors.Errorf("upstream responded with status %d", status)
	}
	if echo != id {
		s.freshOnly = true
		return first, errors.Annotatef(errAttemptMismatch, "got %q, want %q", echo, id)
	}
	body := resp.BodyStream()
	if body == nil {
		return first, errors.New("response has no body")
	}
	startToken := s.nextToken
	s.finalChunk = nil
	lines := bufio.NewReaderSize(body, 4096)
	for !s.complete {
		line, err := readLine(lines)
		if err != nil {
			if ctx.Err() != nil {
				err = context.Cause(ctx)
			}
			return first, errors.Annotate(err, "stream ended before the end marker")
		}
		if err := s.handleLine(line, id); err != nil {
			return first, err
		}
		if first.IsZero() && s.nextToken > startToken {
			first = s.lastTokenAt
		}
	}
	// The stream is complete, whatever happens to its connection now.
	conn.DrainFor(lines, endTimeout)
	return first, nil
}

// readLine reads one line of up to maxLineBytes, which may be longer than the
// reader's buffer.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, io.ErrUnexpectedEOF
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.ReadSlice('\n')
		long = append(long, line...)
		if len(long) > maxLineBytes {
			return nil, errors.Errorf("event exceeds %d bytes", maxLineBytes)
		}
	}
	return bytes.TrimRight(long, "\r\n"), err
}

// handleLine parses and validates one line of an event stream and forwards its
// chunk. id is the attempt ID that each chunk must carry.
func (s *chatState) handleLine(line []byte, id string) error {
	data, ok := bytes.CutPrefix(line, []byte(eventPrefix))
	if !ok {
		return nil // Blank line or comment.
	}
	if string(data) == doneMarker {
		s.complete = true
		return s.forward(s.finalChunk)
	}
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.Annotate(err, "decode chunk")
	}
	if c.ID != id {
		return errors.Annotatef(errAttemptMismatch, "chunk has ID %q, want %q", c.ID, id)
	}
	if c.TokenIndex != nil {
		if *c.TokenIndex != s.nextToken {
			return errors.Errorf("received token %d, want token %d", *c.TokenIndex, s.nextToken)
		}
		s.countToken()
	}
	if c.Usage != nil {
		s.result.PromptTokens = c.Usage.PromptTokens
		if c.Usage.CompletionTokens != s.nextToken {
			return errors.Errorf("usage reports %d completion tokens, but %d were received", c.Usage.CompletionTokens, s.nextToken)
		}
	}
	if c.TokenIndex == nil && c.Usage != nil {
		s.finalChunk = &c
		return nil
	}
	return s.forward(&c)
}

// forward emits a chunk with the request's ID and the route's model.
func (s *chatState) forward(c *Chunk) error {
	if c == nil {
		return errors.New("stream ended without a usage chunk")
	}
	c.ID, c.Model, c.TokenIndex = s.call.ID, s.call.Route.Model, nil
	s.emitErr = s.emit(*c)
	return s.emitErr
}

// countToken records the arrival of a token. Every tokensPerProgress tokens, it
// reports the mean time between tokens since the previous report to the admitter.
func (s *chatState) countToken() {
	now := time.Now()
	if s.nextToken == 0 {
		s.firstTokenAt = now
		s.result.FirstToken = max(now.Sub(s.call.Arrived), 1)
	}
	s.lastTokenAt = now
	s.nextToken++
	if s.nextToken%tokensPerProgress == 0 {
		if !s.progressAt.IsZero() {
			s.grant.Progress(now.Sub(s.progressAt) / tokensPerProgress)
		}
		s.progressAt = now
	}
}

// prefixHash returns a hash of the account and the first prefixHashBytes bytes of
// the messages, the start of the conversation. The admitter uses it for
// prefix-cache affinity.
func prefixHash(account string, messages json.RawMessage) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(account))
	_, _ = h.Write(messages[:min(len(messages), prefixHashBytes)])
	return h.Sum64()
}
