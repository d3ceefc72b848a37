// Package loader puts load on entry instances over their callers' interface
// and measures what callers see: attainment, refusals and wrong answers. It
// checks each stream token by token against what the engine stand-ins
// generate.
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
	silence      = 30 * time.Second
	maxBody      = 16 << 20
	maxInFlight  = 4096
	spreadLength = 2 // Output lengths vary from the mean divided by this to the mean times this.
)

// Loader sends the requests of a plan. Set the exported fields before Run.
type Loader struct {
	Plan    savoryloft.LoadPlan
	Targets []string // Callers' addresses of entry instances.
	Key     string   // Key for flows that name none.

	pool  *exchanger.Pool
	count atomic.Int64
}

// Run sends all flows until the plan's duration has passed and the last
// request has been answered.
func (l *Loader) Run(ctx context.Context) *Report {
	l.pool = &exchanger.Pool{Dial: exchanger.DialTCP, MaxIdlePerAddress: maxInFlight}
	defer l.pool.CloseIdle()
	report := newReport(l.Plan)
	end := time.Now().Add(l.Plan.Duration.Std())
	var flows sync.WaitGroup
	for i := range l.Plan.Flows {
		flows.Go(func() { l.runFlow(ctx, &l.Plan.Flows[i], uint64(i), end, report) })
	}
	flows.Wait()
	return report
}

func (l *Loader) runFlow(ctx context.Context, f *savoryloft.Flow, number uint64, end time.Time, report *Report) {
	random := rand.New(rand.NewPCG(uint64(l.Plan.Seed), number))
	var requests sync.WaitGroup
	defer requests.Wait()
	slots := make(chan struct{}, maxInFlight)
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / f.Rate * float64(time.Second)))
		if next.After(end) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		target := l.Targets[random.IntN(len(l.Targets))]
		length := f.OutputTokens/spreadLength + random.IntN(f.OutputTokens*spreadLength-f.OutputTokens/spreadLength+1)
		id := fmt.Sprintf("%s-%d-%d", f.Name, l.Plan.Seed, l.count.Add(1))
		slots <- struct{}{}
		requests.Go(func() {
			report.add(f.Name, l.send(ctx, f, target, id, length))
			<-slots
		})
	}
}

// send sends one request and judges its answer.
func (l *Loader) send(ctx context.Context, f *savoryloft.Flow, target, id string, length int) sample {
	s := sample{started: time.Now()}
	conn, err := l.pool.Get(ctx, target, exchanger.Reuse)
	if err != nil {
		s.outcome = outcomeUnreachable
		return s
	}
	defer conn.Release()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	chat := l.build(req, f, target, id, length)
	if err := conn.Exchange(ctx, req, resp, silence); err != nil {
		s.outcome = outcomeLost
		return s
	}
	if resp.StatusCode() == fasthttp.StatusOK && f.Stream {
		return l.readStream(conn, resp, chat, s)
	}
	body, err := conn.ReadBody(ctx, resp, maxBody)
	s.first = time.Since(s.started)
	switch {
	case err != nil:
		s.outcome = outcomeLost
	case resp.StatusCode() == fasthttp.StatusOK:
		s.outcome = judge(f, chat, id, body)
	default:
		s.outcome = refusalOf(resp, body)
	}
	return s
}

func (l *Loader) build(req *fasthttp.Request, f *savoryloft.Flow, target, id string, length int) emulator.EngineRequest {
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
		panic("request does not encode: " + err.Error())
	}
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	return chat
}

// judge checks a whole answer.
func judge(f *savoryloft.Flow, chat emulator.EngineRequest, id string, body []byte) outcome {
	if f.Model == "" {
		if strings.Contains(string(body), fmt.Sprintf("%q", id)) {
			return outcomeAnswered
		}
		return outcomeWrong
	}
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(body, &answer) != nil || len(answer.Choices) != 1 || answer.Choices[0].Message.Content != expected(chat) {
		return outcomeWrong
	}
	return outcomeAnswered
}

// expected returns the text that engine stand-ins generate for a request.
func expected(chat emulator.EngineRequest) string {
	var b strings.Builder
	for i := range chat.MaxTokens {
		b.WriteString(emulator.Token(chat, i))
	}
	return b.String()
}

func refusalOf(resp *fasthttp.Response, body []byte) outcome {
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
