package emulator

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// ServiceFaults are the faults that a Service injects.
type ServiceFaults struct {
	Down        bool          // Reject every request with 503, without executing it.
	Delay       time.Duration // Execution time of a request.
	LoseAnswers int           // Number of requests that are executed but get no response.
	Silent      bool          // Execute requests, but send no response for an hour.
	CutAnswers  int           // Close the connection after this many bytes of a response; never when zero.
}

// Service emulates a plain HTTP service. It counts how often each call is
// executed, by the call ID in the X-Call-Id header.
type Service struct {
	Name         string
	RememberKeys bool // Execute requests with the same Idempotency-Key only once.

	mu       sync.Mutex
	faults   ServiceFaults
	runs     map[string]int
	seenKeys map[string]bool
	received []string
}

// Serve handles requests on a listener until the listener closes, and returns
// the server's error.
func (s *Service) Serve(l net.Listener) error { return s.Server().Serve(l) }

// Server returns an HTTP server for the service.
func (s *Service) Server() *fasthttp.Server {
	return &fasthttp.Server{Handler: s.Handle, NoDefaultDate: true}
}

// SetFaults replaces all faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns how often each call was executed, by call ID.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// ReceivedRequests returns the requests received, each with its header and body.
func (s *Service) ReceivedRequests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.received...)
}

// Handle handles one request.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/standin/faults":
		var f ServiceFaults
		if decodeBody(ctx, &f) {
			s.SetFaults(f)
		}
		return
	case "/standin/runs":
		respondJSON(ctx, s.Executions())
		return
	}
	s.mu.Lock()
	f := s.faults
	s.received = append(s.received, ctx.Request.String())
	s.mu.Unlock()
	if f.Down {
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
		return
	}
	id := string(ctx.Request.Header.Peek("X-Call-Id"))
	n := s.countExecution(id, string(ctx.Request.Header.Peek("Idempotency-Key")))
	time.Sleep(f.Delay)
	if f.Silent {
		time.Sleep(time.Hour)
	}
	if s.loseAnswer() {
		closeWithoutResponse(ctx)
		return
	}
	ctx.Response.Header.Set("X-Request-Id", string(ctx.Request.Header.Peek("X-Request-Id")))
	ctx.SetContentType("application/json")
	ctx.SetBodyString(fmt.Sprintf(`{"Service":%q,"Call":%q,"Run":%d}`, s.Name, id, n))
	if f.CutAnswers > 0 {
		answer := ctx.Response.String()
		_, _ = ctx.Conn().Write([]byte(answer[:min(f.CutAnswers, len(answer))]))
		closeWithoutResponse(ctx)
	}
}

func (s *Service) countExecution(id, key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[string]int{}
		s.seenKeys = map[string]bool{}
	}
	if s.RememberKeys && key != "" && s.seenKeys[key] {
		return s.runs[id]
	}
	s.seenKeys[key] = true
	s.runs[id]++
	return s.runs[id]
}

func (s *Service) loseAnswer() bool { return consumeFault(&s.mu, &s.faults.LoseAnswers) }
