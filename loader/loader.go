// Package loader generates load on the callers' interface of entry instances and
// measures what callers observe: attainment of the latency targets, refusals and
// incorrect responses. It compares each chat completion, streamed or not, with the
// tokens that the engine emulators generate for the request.
//
// # Usage
//
//	plan, err := parser.LoadPlan("plan.json", data)
//	l := &loader.Loader{Plan: plan, Targets: []string{"127.0.0.1:8001"}, Key: key}
//	report := l.Run(ctx)
//	report.Write(os.Stdout)
package loader

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/emulator"
	"savoryloft.example/savoryloft/exchanger"
)

const (
	readTimeout        = 30 * time.Second
	maxBodyBytes       = 16 << 20
	maxInFlightPerFlow = 4096
	outputLengthRatio  = 2 // Output lengths range from mean/outputLengthRatio to mean*outputLengthRatio.
)

// Loader sends the requests of a plan. Set the exported fields before Run.
type Loader struct {
	Plan    savoryloft.LoadPlan
	Targets []string // Addresses for callers (Listen.Callers) of entry instances.
	Key     string   // API key for flows that define none.

	pool         *exchanger.Pool
	requestCount atomic.Int64
}

// Run sends the requests of all flows for the duration of the plan and returns the
// report when the last response has been received or has timed out. It stops
// sending when ctx ends.
func (l *Loader) Run(ctx context.Context) *Report {
	l.pool = &exchanger.Pool{Dial: exchanger.DialTCP, MaxIdlePerAddress: maxInFlightPerFlow}
	defer l.pool.CloseIdle()
	report := newReport(l.Plan)
	deadline := time.Now().Add(l.Plan.Duration.Std())
	var flows sync.WaitGroup
	for i := range l.Plan.Flows {
		flows.Go(func() { l.runFlow(ctx, &l.Plan.Flows[i], uint64(i), deadline, report) })
	}
	flows.Wait()
	return report
}

// runFlow sends the requests of a flow until the deadline, with exponentially
// distributed intervals. It waits when maxInFlightPerFlow requests are in flight.
func (l *Loader) runFlow(ctx context.Context, f *savoryloft.Flow, index uint64, deadline time.Time, report *Report) {
	random := rand.New(rand.NewPCG(uint64(l.Plan.Seed), index))
	var requests sync.WaitGroup
	defer requests.Wait()
	semaphore := make(chan struct{}, maxInFlightPerFlow)
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / f.Rate * float64(time.Second)))
		if next.After(deadline) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		target := l.Targets[random.IntN(len(l.Targets))]
		length := f.OutputTokens/outputLengthRatio + random.IntN(f.OutputTokens*outputLengthRatio-f.OutputTokens/outputLengthRatio+1)
		id := fmt.Sprintf("%s-%d-%d", f.Name, l.Plan.Seed, l.requestCount.Add(1))
		semaphore <- struct{}{}
		requests.Go(func() {
			report.add(f.Name, l.sendRequest(ctx, f, target, id, length))
			<-semaphore
		})
	}
}

// sendRequest sends one request and checks the response.
func (l *Loader) sendRequest(ctx context.Context, f *savoryloft.Flow, target, id string, length int) measurement {
	m := measurement{started: time.Now()}
	conn, err := l.pool.Get(ctx, target, exchanger.Reuse)
	if err != nil {
		m.outcome = outcomeUnreachable
		return m
	}
	defer conn.Release()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	chat := l.buildRequest(req, f, target, id, length)
	if err := conn.Exchange(ctx, req, resp, readTimeout); err != nil {
		m.outcome = outcomeLost
		return m
	}
	if resp.StatusCode() == fasthttp.StatusOK && f.Stream {
		return l.readStream(conn, resp, chat, m)
	}
	body, err := conn.ReadBody(ctx, resp, maxBodyBytes)
	m.timeToFirst = time.Since(m.started)
	switch {
	case err != nil:
		m.outcome = outcomeLost
	case resp.StatusCode() == fasthttp.StatusOK:
		m.outcome = checkResponse(f, chat, id, body)
	default:
		m.outcome = errorOutcome(resp, body)
	}
	return m
}

// buildRequest fills in the request of a flow and returns the chat completion in
// its body, which is empty for plain services.
func (l *Loader) buildRequest(req *fasthttp.Request, f *savoryloft.Flow, target, id string, length int) emulator.EngineRequest {
	req.SetRequestURI("http://" + target + f.Path)
	req.Header.SetMethod(f.Method)
	key := f.Key
	if key == "" {
		key = l.Key
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	req.Header.Set("X-Call-Id", id)
	if f.Keyed {
		req.Header.Set("Idempotency-Key", id)
	}
	var chat emulator.EngineRequest
	if f.Model == "" {
		return chat
	}
	chat.Model, chat.Stream, chat.MaxTokens = f.Model, f.Stream, length
	chat.Messages = []emulator.Message{{Role: "user", Content: id + strings.Repeat(" word", f.PromptWords-1)}}
	body, err := json.Marshal(chat)
	if err != nil {
		panic("encode request: " + err.Error())
	}
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	return chat
}

// checkResponse checks the body of a response that is not streamed. A response of a
// plain service must contain the ID of the request.
func checkResponse(f *savoryloft.Flow, chat emulator.EngineRequest, id string, body []byte) outcome {
	if f.Model == "" {
		if strings.Contains(string(body), fmt.Sprintf("%q", id)) {
			return outcomeAnswered
		}
		return outcomeIncorrect
	}
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(body, &completion) != nil || len(completion.Choices) != 1 || completion.Choices[0].Message.Content != expectedText(chat) {
		return outcomeIncorrect
	}
	return outcomeAnswered
}

// expectedText returns the text that an engine emulator generates for a request.
func expectedText(chat emulator.EngineRequest) string {
	var b strings.Builder
	for i := range chat.MaxTokens {
		b.WriteString(emulator.Token(chat, i))
	}
	return b.String()
}

// errorOutcome classifies a response with a status other than 200.
func errorOutcome(resp *fasthttp.Response, body []byte) outcome {
	var e struct{ Run savoryloft.Run }
	_ = json.Unmarshal(body, &e)
	switch {
	case e.Run == savoryloft.RunUnknown:
		return outcomeUnknown
	case resp.StatusCode() == fasthttp.StatusUnauthorized:
		return outcomeUnauthorized
	default:
		return outcomeRefused
	}
}
