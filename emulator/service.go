package emulator

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// ServiceFaults tells a service stand-in how to misbehave.
type ServiceFaults struct {
	Down        bool          // Refuse every request with 503, without running it.
	Delay       time.Duration // Time that a run takes.
	LoseAnswers int           // Close this many connections after the run, without an answer.
	Silent      bool          // Run, then never answer.
}

// Service is a stand-in for a plain service. It counts the runs of each call
// by the call's own number, which callers put into the X-Call-Id header.
type Service struct {
	Name         string
	RememberKeys bool // Run a request with a known Idempotency-Key only once.

	mu     sync.Mutex
	faults ServiceFaults
	runs   map[string]int
	keys   map[string]bool
	seen   []string
}

// Serve answers requests on a listener until it closes.
func (s *Service) Serve(l net.Listener) error { return s.Server().Serve(l) }

// Server returns the stand-in's HTTP server.
func (s *Service) Server() *fasthttp.Server {
	return &fasthttp.Server{Handler: s.Handle, NoDefaultDate: true}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each call has run.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// Seen returns everything that requests carried: heads and bodies.
func (s *Service) Seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.seen...)
}

// Handle answers one request.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/standin/faults":
		var f ServiceFaults
		if decode(ctx, &f) {
			s.SetFaults(f)
		}
		return
	case "/standin/runs":
		answer(ctx, s.Runs())
		return
	}
	s.mu.Lock()
	f := s.faults
	s.seen = append(s.seen, ctx.Request.String())
	s.mu.Unlock()
	if f.Down {
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
		return
	}
	id := string(ctx.Request.Header.Peek("X-Call-Id"))
	n := s.run(id, string(ctx.Request.Header.Peek("Idempotency-Key")))
	time.Sleep(f.Delay)
	if f.Silent {
		time.Sleep(time.Hour)
	}
	if s.loseAnswer() {
		drop(ctx)
		return
	}
	ctx.Response.Header.Set("X-Request-Id", string(ctx.Request.Header.Peek("X-Request-Id")))
	ctx.SetContentType("application/json")
	ctx.SetBodyString(fmt.Sprintf(`{"Service":%q,"Call":%q,"Run":%d}`, s.Name, id, n))
}

func (s *Service) run(id, key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[string]int{}
		s.keys = map[string]bool{}
	}
	if s.RememberKeys && key != "" && s.keys[key] {
		return s.runs[id]
	}
	s.keys[key] = true
	s.runs[id]++
	return s.runs[id]
}

func (s *Service) loseAnswer() bool { return spend(&s.mu, &s.faults.LoseAnswers) }
