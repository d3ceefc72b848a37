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
	chatPath    = "/v1/chat/completions"
	eventPrefix = "data: "
	endMarker   = "[DONE]"
	prefixBytes = 256 // Part of the first message that decides on affinity.
	maxLine     = 1 << 20
	// progressTokens is the number of tokens between two reports of a stream's pace.
	progressTokens = 8
)

// Chunk is one event of a chat stream, as the upstream sends it and as the
// caller gets it.
type Chunk struct {
	ID         string      `json:"id"`
	Object     string      `json:"object"`
	Created    int64       `json:"created,omitempty"`
	Model      string      `json:"model"`
	TokenIndex *int        `json:"token_index,omitempty"`
	Choices    []Choice    `json:"choices"`
	Usage      *TokenUsage `json:"usage,omitempty"`
}

// Choice is a chunk's part of one choice.
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

// TokenUsage is the token count in the last chunk of a stream.
type TokenUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// errCrossed says that an answer belongs to another attempt.
var errCrossed = errors.New("answer belongs to another attempt")

// rejection is an upstream's answer that the request itself is wrong.
type rejection struct{ status int }

// Error implements error.
func (r *rejection) Error() string {
	return fmt.Sprintf("upstream rejected the request with status %d", r.status)
}

func isRejection(status int) bool {
	return status >= 400 && status < 500 && status != fasthttp.StatusTooManyRequests && status != fasthttp.StatusRequestTimeout
}

// chatState is the progress of a chat call over its attempts.
type chatState struct {
	call   *Call
	body   map[string]json.RawMessage
	emit   func(Chunk) error
	next   int // Index of the next token.
	result Result
	first  time.Time
	last   time.Time
	final  *Chunk // The chunk that ends the answer, held until the end marker.
	whole  bool   // The end marker has come.
	grant  *admitter.Grant
	marked time.Time // When the last progress was reported.
	lost   error     // The caller can not be written to.
}

// Chat runs a chat completion as a stream. emit gets each chunk once, in
// order, whichever upstreams the chunks come from. The stream is whole when the
// error is nil.
func (d *Dispatcher) Chat(ctx context.Context, c *Call, emit func(Chunk) error) (Result, error) {
	s := &chatState{call: c, emit: emit}
	if err := json.Unmarshal(c.Body, &s.body); err != nil {
		return s.result, &savoryloft.Error{
			Step: savoryloft.StepDispatch, StatusCode: 400, Code: "BadJSON",
			Message: "the body is not a JSON object: " + err.Error(), Run: savoryloft.RunNotRun,
		}
	}
	r := d.request(c, prefixHash(c.Account, s.body["messages"]), c.Route.Idempotent)
	err := d.chatAttempts(ctx, s, r)
	s.result.OutputTokens = s.next
	if err == nil {
		d.Budget.Success()
		d.estimate.learn(c.Route.Name, c.Account, s.result.PromptTokens+s.next)
	}
	if s.next > 1 {
		s.result.Between = s.last.Sub(s.first) / time.Duration(s.next-1)
	}
	return s.result, err
}

func (d *Dispatcher) chatAttempts(ctx context.Context, s *chatState, r *admitter.Request) error {
	var last error
	sentAny := false
	for failures := 0; failures < maxAttempts; {
		g, err := d.admit(ctx, r)
		if err != nil {
			return notAdmitted(ctx, err, last)
		}
		s.result.Attempts++
		sent, err := d.chatAttempt(g, s)
		sentAny = sentAny || sent
		if err == nil {
			return nil
		}
		if s.lost != nil || ctx.Err() != nil {
			return ended(ctx, sentAny)
		}
		var rejected *rejection
		if errors.As(err, &rejected) {
			return &savoryloft.Error{
				Step: savoryloft.StepAttempt, Peer: g.Upstream.Name, StatusCode: rejected.status,
				Code: "UpstreamRejected", Message: err.Error(), Run: savoryloft.RunUnknown,
			}
		}
		last = failure(g.Upstream, sent, err)
		// The rest of the answer is a new wait: its target counts from here.
		r.Arrived, r.Resumed = time.Now(), s.next > 0
		if errors.Is(context.Cause(g.Context), savoryloft.ErrPreempted) {
			continue
		}
		d.Logger.V(1).Info("attempt failed", "step", savoryloft.StepAttempt, "peer", g.Upstream.Name,
			"request", s.call.ID, "token", s.next, "error", err.Error())
		failures++
		if sent && !(s.call.Route.Idempotent && d.Budget.Take()) {
			return last
		}
		r.Exclude = append(r.Exclude, g.Upstream.Name)
		r.Exclude = d.stillChoosable(r)
	}
	return last
}

// chatAttempt sends the rest of a chat call to one upstream.
func (d *Dispatcher) chatAttempt(g *admitter.Grant, s *chatState) (sent bool, err error) {
	started := time.Now()
	before := s.next
	s.grant, s.marked = g, time.Time{}
	o := admitter.Observation{Failed: true}
	defer func() { g.Done(o) }()
	ctx, span := d.span(g.Context, "attempt", g.Upstream)
	defer span.End()
	mode := exchanger.Fresh
	if s.call.Route.Idempotent {
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
	if err := s.prepare(req, g.Upstream.Address, id, span.SpanContext()); err != nil {
		o.Failed = false
		return false, err
	}
	first, err := d.stream(ctx, conn, req, resp, id, s)
	if err == nil {
		conn.MarkComplete()
	}
	var rejected *rejection
	blameless := ctx.Err() != nil || s.lost != nil || errors.As(err, &rejected)
	o = admitter.Observation{Failed: err != nil && !blameless}
	if !first.IsZero() {
		o.FirstToken = first.Sub(started)
		o.Tokens = s.next
		if n := s.next - before; n > 1 {
			o.BetweenTokens = s.last.Sub(first) / time.Duration(n-1)
		}
	}
	return conn.Sent(), err
}

// prepare writes the upstream's request: the caller's, with the upstream's
// model, the tier as priority and the token to resume at.
func (s *chatState) prepare(req *fasthttp.Request, address, id string, span trace.SpanContext) error {
	c := *s.call
	c.URI = chatPath
	prepare(req, &c, address, id, span)
	fields := map[string]any{"stream": true, "model": c.Route.Pool.Model, "priority": c.Route.Class.Tier}
	if s.next > 0 {
		fields["resume_at"] = s.next
	}
	for name, v := range s.body {
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

// stream exchanges one attempt and passes its chunks on. It returns the time
// of the attempt's first token.
func (d *Dispatcher) stream(ctx context.Context, conn *exchanger.Conn, req *fasthttp.Request, resp *fasthttp.Response, id string, s *chatState) (first time.Time, err error) {
	if err := conn.Exchange(ctx, req, resp, d.Silence); err != nil {
		return first, err
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		if isRejection(status) {
			return first, &rejection{status: status}
		}
		return first, errors.Errorf("upstream answered status %d", status)
	}
	if echo := string(resp.Header.Peek(requestIDName)); echo != id {
		return first, errors.Annotatef(errCrossed, "got %q, want %q", echo, id)
	}
	body := resp.BodyStream()
	if body == nil {
		return first, errors.New("answer has no body")
	}
	before := s.next
	s.final = nil
	lines := bufio.NewReaderSize(body, 4096)
	for !s.whole {
		line, err := readLine(lines)
		if err != nil {
			if ctx.Err() != nil {
				err = context.Cause(ctx)
			}
			return first, errors.Annotate(err, "stream ended early")
		}
		if err := s.take(line, id); err != nil {
			return first, err
		}
		if first.IsZero() && s.next > before {
			first = s.last
		}
	}
	_, err = io.Copy(io.Discard, lines)
	return first, err
}

// readLine reads one line, which may be longer than the reader's buffer.
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
		if len(long) > maxLine {
			return nil, errors.Errorf("event is longer than %d bytes", maxLine)
		}
	}
	return bytes.TrimRight(long, "\r\n"), err
}

// take checks one line of a stream and passes its chunk on.
func (s *chatState) take(line []byte, id string) error {
	data, ok := bytes.CutPrefix(line, []byte(eventPrefix))
	if !ok {
		return nil // Blank line or comment.
	}
	if string(data) == endMarker {
		s.whole = true
		return s.pass(s.final)
	}
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.Annotate(err, "event is not a chunk")
	}
	if c.ID != id {
		return errors.Annotatef(errCrossed, "chunk has ID %q, want %q", c.ID, id)
	}
	if c.TokenIndex != nil {
		if *c.TokenIndex != s.next {
			return errors.Errorf("token %d came, want token %d", *c.TokenIndex, s.next)
		}
		s.countToken()
	}
	if c.Usage != nil {
		s.result.PromptTokens = c.Usage.PromptTokens
		if c.Usage.CompletionTokens != s.next {
			return errors.Errorf("stream ends after %d tokens, %d were passed on", c.Usage.CompletionTokens, s.next)
		}
	}
	if c.TokenIndex == nil && c.Usage != nil {
		s.final = &c
		return nil
	}
	return s.pass(&c)
}

// pass gives a chunk to the caller under the request's own ID and model.
func (s *chatState) pass(c *Chunk) error {
	if c == nil {
		return errors.New("stream ended without a final chunk")
	}
	c.ID, c.Model, c.TokenIndex = s.call.ID, s.call.Route.Model, nil
	s.lost = s.emit(*c)
	return s.lost
}

func (s *chatState) countToken() {
	now := time.Now()
	if s.next == 0 {
		s.first = now
		s.result.FirstToken = max(now.Sub(s.call.Arrived), 1)
	}
	s.last = now
	s.next++
	if s.next%progressTokens == 0 {
		if !s.marked.IsZero() {
			s.grant.Progress(now.Sub(s.marked) / progressTokens)
		}
		s.marked = now
	}
}

// prefixHash identifies the start of a conversation, for prefix caches.
func prefixHash(account string, messages json.RawMessage) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(account))
	_, _ = h.Write(messages[:min(len(messages), prefixBytes)])
	return h.Sum64()
}
