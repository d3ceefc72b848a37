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
	CrossAnswers bool    // Respond with the request ID and the text of another request.
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

	mu      sync.Mutex
	faults  EngineFaults
	running int
	waiting []*engineWaiter
	served  int // Requests that entered the batch.
	tokens  int // Tokens generated.
	headers []string
	loads   []loadSample
}

type engineWaiter struct {
	priority int
	ready    chan struct{}
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
	defaultBatch     = 16
	defaultMaxTokens = 16
	engineLoadLag    = time.Second
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

// Seen returns the chat completion requests received, each with its header and
// body.
func (e *Engine) Seen() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.headers...)
}

// Handle handles one request.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/standin/faults":
		var f EngineFaults
		if decode(ctx, &f) {
			e.SetFaults(f)
		}
	case "/standin/served":
		requests, tokens := e.Served()
		answer(ctx, map[string]int{"Requests": requests, "Tokens": tokens})
	case "/load":
		answer(ctx, map[string]int{"Running": e.laggedLoad()})
	case "/v1/chat/completions":
		e.handleChat(ctx)
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (e *Engine) handleChat(ctx *fasthttp.RequestCtx) {
	var req EngineRequest
	if !decode(ctx, &req) {
		return
	}
	e.mu.Lock()
	e.headers = append(e.headers, ctx.Request.String())
	f := e.faults
	e.mu.Unlock()
	if f.Down {
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
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
	e.enter(req.Priority)
	defer e.leave()
	time.Sleep(e.pace(e.FirstToken))
	var text strings.Builder
	for i := range req.MaxTokens {
		if i > 0 {
			time.Sleep(e.pace(e.BetweenToken))
		}
		text.WriteString(Token(req, i))
		e.countToken()
	}
	answer(ctx, map[string]any{
		"id": id, "object": "chat.completion", "model": req.Model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]string{"role": "assistant", "content": text.String()},
		}},
		"usage": usageOf(req, req.MaxTokens),
	})
}

func (e *Engine) stream(ctx *fasthttp.RequestCtx, id string, req EngineRequest) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		e.enter(req.Priority)
		defer e.leave()
		time.Sleep(e.pace(e.FirstToken))
		for i := req.ResumeAt; i < req.MaxTokens; i++ {
			if i > req.ResumeAt {
				time.Sleep(e.pace(e.BetweenToken))
			}
			if e.misbehave(i - req.ResumeAt) {
				return
			}
			if !writeEvent(w, chunk(id, req, i)) {
				return // The client has closed the connection.
			}
			e.countToken()
		}
		last := map[string]any{
			"id": id, "object": "chat.completion.chunk", "model": req.Model,
			"choices": []any{map[string]any{"index": 0, "delta": map[string]string{}, "finish_reason": "stop"}},
			"usage":   usageOf(req, req.MaxTokens),
		}
		if writeEvent(w, last) {
			_, _ = w.WriteString("data: [DONE]\n\n")
		}
	})
}

// misbehave reports whether the faults end a stream after n tokens. Under
// SilentAfter it first blocks for an hour, longer than any test runs.
func (e *Engine) misbehave(n int) bool {
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	if f.SilentAfter > 0 && n >= f.SilentAfter {
		time.Sleep(time.Hour)
		return true
	}
	return f.CutAfter > 0 && n >= f.CutAfter
}

// Token returns the token at an index of the response to a request.
func Token(req EngineRequest, index int) string {
	h := fnv.New32a()
	for _, m := range req.Messages {
		_, _ = h.Write([]byte(m.Content))
	}
	return fmt.Sprintf("%04x-%d ", h.Sum32()&0xffff, index)
}

func chunk(id string, req EngineRequest, index int) map[string]any {
	return map[string]any{
		"id": id, "object": "chat.completion.chunk", "model": req.Model, "token_index": index,
		"choices": []any{map[string]any{"index": 0, "delta": map[string]string{"content": Token(req, index)}}},
	}
}

func usageOf(req EngineRequest, output int) map[string]int {
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

// enter waits for a slot in the batch. Slots go to the waiting requests in the
// order of priority, then of arrival.
func (e *Engine) enter(priority int) {
	e.mu.Lock()
	limit := e.Batch
	if limit == 0 {
		limit = defaultBatch
	}
	if e.running < limit {
		e.running++
		e.served++
		e.sample()
		e.mu.Unlock()
		return
	}
	w := &engineWaiter{priority: priority, ready: make(chan struct{})}
	e.waiting = append(e.waiting, w)
	e.mu.Unlock()
	<-w.ready
}

// leave passes the slot to the next waiting request, or frees it if none waits.
func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) == 0 {
		e.running--
		e.sample()
		return
	}
	best := 0
	for i, w := range e.waiting {
		if w.priority < e.waiting[best].priority {
			best = i
		}
	}
	w := e.waiting[best]
	e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
	e.served++
	close(w.ready)
}

// sample stores the present batch size for laggedLoad. It drops the older half
// of the samples beyond 1024. The caller holds e.mu.
func (e *Engine) sample() {
	e.loads = append(e.loads, loadSample{time.Now(), e.running})
	if len(e.loads) > 1024 {
		e.loads = append([]loadSample(nil), e.loads[512:]...)
	}
}

// laggedLoad returns the batch size as of engineLoadLag ago.
func (e *Engine) laggedLoad() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, s := range e.loads {
		if time.Since(s.at) >= engineLoadLag {
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

// pace scales a latency of the idle engine to the present batch size, up to
// twice the value with a full batch, and applies the Slowdown fault.
func (e *Engine) pace(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	slow := e.faults.Slowdown
	if slow == 0 {
		slow = 1
	}
	limit := e.Batch
	if limit == 0 {
		limit = defaultBatch
	}
	return time.Duration(float64(d) * slow * (1 + float64(e.running)/float64(limit)))
}
