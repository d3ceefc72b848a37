package emulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// EngineFaults are the faults that an Engine injects.
type EngineFaults struct {
	Down         bool    // Reject every request with 503.
	Slowdown     float64 // Factor applied to all latencies; 1 when zero.
	CutAfter     int     // Close each stream after this many tokens; never when zero.
	SilentAfter  int     // Stop sending after this many tokens, but keep the connection open; never when zero.
	SilentAtEnd  bool    // Stop sending after the end marker, without the end of the response.
	CrossAnswers bool    // Respond with the request ID and the text of another request.
	// RepeatedRejection is the ID in a rejection of an earlier request, which is sent
	// before the response to each request on a connection but the first; "" for one
	// without an ID.
	RepeatedRejection *string
}

// Engine emulates an inference engine with continuous batching. Its response
// depends on the prompt alone, so that tests can check a stream that was
// resumed on another engine token by token. Queued requests enter the batch by
// their Priority field (lower first); a stream starts at the token index in
// ResumeAt.
type Engine struct {
	Name         string
	Batch        int           // Maximum number of requests in the batch; 16 when zero.
	FirstToken   time.Duration // Time to the first token on an idle engine.
	BetweenToken time.Duration // Time between tokens on an idle engine.

	mu          sync.Mutex
	faults      EngineFaults
	running     int
	queue       []*queuedRequest
	served      int // Requests that entered the batch.
	tokens      int // Tokens generated.
	received    []string
	loadSamples []loadSample
}

type queuedRequest struct {
	priority int
	admitted chan struct{}
}

type loadSample struct {
	at      time.Time
	running int
}

// EngineRequest holds the fields of a chat completion request that Engine
// reads.
type EngineRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Priority  int       `json:"priority,omitempty"`
	ResumeAt  int       `json:"resume_at,omitempty"`
}

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

const (
	defaultBatchSize = 16
	defaultMaxTokens = 16
	loadReportLag    = time.Second
)

// Serve handles requests on a listener until the listener closes, and returns
// the server's error.
func (e *Engine) Serve(l net.Listener) error { return e.Server().Serve(l) }

// Server returns an HTTP server for the engine.
func (e *Engine) Server() *fasthttp.Server {
	return &fasthttp.Server{Handler: e.Handle, NoDefaultDate: true}
}

// SetFaults replaces all faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Served returns the number of requests that entered the batch and the number
// of tokens generated.
func (e *Engine) Served() (requests, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served, e.tokens
}

// ReceivedRequests returns the chat completion requests received, each with its header and
// body.
func (e *Engine) ReceivedRequests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.received...)
}

// Handle handles one request.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/standin/faults":
		var f EngineFaults
		if decodeBody(ctx, &f) {
			e.SetFaults(f)
		}
	case "/standin/served":
		requests, tokens := e.Served()
		respondJSON(ctx, map[string]int{"Requests": requests, "Tokens": tokens})
	case "/load":
		respondJSON(ctx, map[string]int{"Running": e.laggedLoad()})
	case "/v1/chat/completions":
		e.handleChat(ctx)
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (e *Engine) handleChat(ctx *fasthttp.RequestCtx) {
	var req EngineRequest
	if !decodeBody(ctx, &req) {
		return
	}
	e.mu.Lock()
	e.received = append(e.received, ctx.Request.String())
	f := e.faults
	e.mu.Unlock()
	if f.Down {
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	if f.RepeatedRejection != nil && ctx.ConnRequestNum() > 1 {
		_, _ = fmt.Fprintf(ctx.Conn(), "HTTP/1.1 400 Bad Request\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", *f.RepeatedRejection)
	}
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	if f.CrossAnswers {
		id += "-other"
		req.Messages = []Message{{Role: "user", Content: "the prompt of another request"}}
	}
	ctx.Response.Header.Set("X-Request-Id", id)
	if req.Stream {
		e.stream(ctx, id, req)
		return
	}
	e.acquireSlot(req.Priority)
	defer e.releaseSlot()
	time.Sleep(e.scaleLatency(e.FirstToken))
	var text strings.Builder
	for i := range req.MaxTokens {
		if i > 0 {
			time.Sleep(e.scaleLatency(e.BetweenToken))
		}
		text.WriteString(Token(req, i))
		e.countToken()
	}
	respondJSON(ctx, map[string]any{
		"id": id, "object": "chat.completion", "model": req.Model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]string{"role": "assistant", "content": text.String()},
		}},
		"usage": tokenUsage(req, req.MaxTokens),
	})
}

func (e *Engine) stream(ctx *fasthttp.RequestCtx, id string, req EngineRequest) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		e.acquireSlot(req.Priority)
		defer e.releaseSlot()
		time.Sleep(e.scaleLatency(e.FirstToken))
		for i := req.ResumeAt; i < req.MaxTokens; i++ {
			if i > req.ResumeAt {
				time.Sleep(e.scaleLatency(e.BetweenToken))
			}
			if e.interruptStream(i - req.ResumeAt) {
				return
			}
			if !writeEvent(w, streamChunk(id, req, i)) {
				return // The client has closed the connection.
			}
			e.countToken()
		}
		last := map[string]any{
			"id": id, "object": "chat.completion.chunk", "model": req.Model,
			"choices": []any{map[string]any{"index": 0, "delta": map[string]string{}, "finish_reason": "stop"}},
			"usage":   tokenUsage(req, req.MaxTokens),
		}
		if writeEvent(w, last) {
			_, _ = w.WriteString("data: [DONE]\n\n")
			e.stallAtEnd(w)
		}
	})
}

// interruptStream reports whether the faults end a stream after n tokens. For
// SilentAfter it first blocks for an hour.
func (e *Engine) interruptStream(n int) bool {
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	if f.SilentAfter > 0 && n >= f.SilentAfter {
		time.Sleep(time.Hour)
		return true
	}
	return f.CutAfter > 0 && n >= f.CutAfter
}

// stallAtEnd applies the SilentAtEnd fault.
func (e *Engine) stallAtEnd(w *bufio.Writer) {
	e.mu.Lock()
	silent := e.faults.SilentAtEnd
	e.mu.Unlock()
	if silent {
		_ = w.Flush()
		time.Sleep(time.Hour)
	}
}

// Token returns the token at an index of the response to a request.
func Token(req EngineRequest, index int) string {
	h := fnv.New32a()
	for _, m := range req.Messages {
		_, _ = h.Write([]byte(m.Content))
	}
	return fmt.Sprintf("%04x-%d ", h.Sum32()&0xffff, index)
}

func streamChunk(id string, req EngineRequest, index int) map[string]any {
	return map[string]any{
		"id": id, "object": "chat.completion.chunk", "model": req.Model, "token_index": index,
		"choices": []any{map[string]any{"index": 0, "delta": map[string]string{"content": Token(req, index)}}},
	}
}

func tokenUsage(req EngineRequest, output int) map[string]int {
	words := 0
	for _, m := range req.Messages {
		words += len(strings.Fields(m.Content))
	}
	return map[string]int{"prompt_tokens": words, "completion_tokens": output, "total_tokens": words + output}
}

func writeEvent(w *bufio.Writer, v any) bool {
	data, err := json.Marshal(v)
	if err != nil {
		return false
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	return w.Flush() == nil
}

// acquireSlot waits for a slot in the batch. Slots go to the waiting requests
// in order of priority, then of arrival.
func (e *Engine) acquireSlot(priority int) {
	e.mu.Lock()
	limit := e.Batch
	if limit == 0 {
		limit = defaultBatchSize
	}
	if e.running < limit {
		e.running++
		e.served++
		e.recordLoad()
		e.mu.Unlock()
		return
	}
	w := &queuedRequest{priority: priority, admitted: make(chan struct{})}
	e.queue = append(e.queue, w)
	e.mu.Unlock()
	<-w.admitted
}

// releaseSlot passes the slot to the next waiting request, or frees it if none
// waits.
func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) == 0 {
		e.running--
		e.recordLoad()
		return
	}
	best := 0
	for i, w := range e.queue {
		if w.priority < e.queue[best].priority {
			best = i
		}
	}
	w := e.queue[best]
	e.queue = append(e.queue[:best], e.queue[best+1:]...)
	e.served++
	close(w.admitted)
}

// recordLoad stores the present batch size for laggedLoad. Of more than 1024
// samples it drops the oldest 512. The caller holds e.mu.
func (e *Engine) recordLoad() {
	e.loadSamples = append(e.loadSamples, loadSample{time.Now(), e.running})
	if len(e.loadSamples) > 1024 {
		e.loadSamples = append([]loadSample(nil), e.loadSamples[512:]...)
	}
}

// laggedLoad returns the batch size as of engineLoadLag ago.
func (e *Engine) laggedLoad() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, s := range e.loadSamples {
		if time.Since(s.at) >= loadReportLag {
			n = s.running
		}
	}
	return n
}

func (e *Engine) countToken() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens++
}

// scaleLatency converts a latency of the idle engine to the present batch size,
// with a factor of up to 2 for a full batch, and applies the Slowdown fault.
func (e *Engine) scaleLatency(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	slowdown := e.faults.Slowdown
	if slowdown == 0 {
		slowdown = 1
	}
	limit := e.Batch
	if limit == 0 {
		limit = defaultBatchSize
	}
	return time.Duration(float64(d) * slowdown * (1 + float64(e.running)/float64(limit)))
}
