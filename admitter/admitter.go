// Package admitter decides which request runs next and on which upstream. It
// is plain decision code without sockets, used alike by the serving path and
// by the benchmarks.
//
// A request that finds room and nobody waiting takes a slot with atomic
// operations alone. Otherwise it joins its pool's queue. Tiers are served in
// strict order, except that each class may use its declared floor. Inside a
// tier the class with the least slack to its target comes first, and inside a
// class the client account that has had the fewest tokens for its weight
// (Virtual Token Counter, OSDI 2024).
//
// # Usage
//
//	a := &admitter.Admitter{MaxQueued: 2048}
//	a.Update(pools, targets)
//	grant, err := a.Admit(ctx, &admitter.Request{Pool: "chat", Class: class, Account: "tsagaan"})
//	if err != nil {
//		return err // Refused; no byte has left.
//	}
//	// ... use grant.Upstream, stop when grant.Context ends ...
//	grant.Done(admitter.Observation{FirstToken: ttft, Tokens: n})
package admitter

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"savoryloft.example/savoryloft"
)

// Tiers is the number of service tiers; tier 0 is the most urgent.
const Tiers = 4

const (
	defaultMaxQueued = 2048
	tickInterval     = 50 * time.Millisecond
	// patienceFactor gives the longest wait, as a multiple of the first-token
	// target, of a class that declares none.
	patienceFactor = 10
)

// Policy switches parts of the policy off, for comparisons in benchmarks.
type Policy struct {
	FirstInFirstOut  bool // Ignore tiers, slack and accounts.
	RoundRobin       bool // Ignore load and affinity when choosing an upstream.
	FixedLimits      bool // Keep each upstream's limit at its declared slots.
	NoPreemption     bool
	NoReserve        bool // Let lower tiers take the last free slots.
	NoFloors         bool
	NoFairness       bool // First in, first out inside a class.
	NoStragglerGuard bool
	EqualShares      bool // Ignore peers' demand when sharing upstreams.
}

// Request is what the policy knows of a request.
type Request struct {
	Pool        string
	Class       *savoryloft.Class
	Account     string
	Weight      int       // Weight of the client account.
	Tokens      int       // Estimated tokens, prompt and output.
	Prefix      uint64    // Hash of the prompt's prefix; zero for no affinity.
	Exclude     []string  // Upstreams that must not be chosen again.
	Preemptible bool      // The attempt can be cut off and resumed.
	Resumed     bool      // Part of the answer has been passed on.
	Arrived     time.Time // Start of the wait that targets count from; now when zero.

	last string // Name of the upstream that ran the last attempt and may still have the prompt cached.
}

// Target describes one upstream to the admitter.
type Target struct {
	Name          string
	Pool          string
	Address       string
	FailureDomain string
	Reclaimable   bool
	Leaving       bool
	Slots         int
}

// Admitter holds the pools of an instance. Set the exported fields before the
// first call.
type Admitter struct {
	Instance      string
	FailureDomain string
	MaxQueued     int // Most requests waiting in one pool; 2048 when zero.
	Policy        Policy

	pools atomic.Pointer[map[string]*Pool]
	mu    sync.Mutex // Serializes Update and Share.
}

// Grant is the permission to run one attempt on one upstream.
type Grant struct {
	Upstream *Upstream
	Context  context.Context // Ends when the request ends or is preempted.

	pool    *Pool
	request *Request
	cancel  context.CancelCauseFunc
	started time.Time
	floor   bool
	yielded atomic.Bool
	done    atomic.Bool
}

// Observation is the outcome of an attempt.
type Observation struct {
	Failed        bool          // The upstream failed; says nothing about the request.
	FirstToken    time.Duration // Time from dispatch to the first token, or to a service's answer.
	BetweenTokens time.Duration // Mean time between tokens; zero when there were too few.
	Tokens        int           // True number of tokens; zero when unknown.
}

// Update sets the pools and their upstreams. Upstreams that stay keep their
// state. It is safe to call while requests run.
func (a *Admitter) Update(pools map[string]savoryloft.Pool, floors map[string][Tiers]int, targets []Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.load()
	next := make(map[string]*Pool, len(pools))
	for name := range pools {
		p, ok := old[name]
		if !ok {
			p = newPool(a, name)
		}
		next[name] = p
	}
	byPool := map[string][]Target{}
	for _, t := range targets {
		byPool[t.Pool] = append(byPool[t.Pool], t)
	}
	for name, p := range next {
		p.floors.Store(ptr(floors[name]))
		p.update(byPool[name])
	}
	a.pools.Store(&next)
	for name, p := range old {
		if next[name] == nil {
			p.update(nil)
		}
	}
}

func ptr(f [Tiers]int) *[Tiers]int { return &f }

func (a *Admitter) load() map[string]*Pool {
	if p := a.pools.Load(); p != nil {
		return *p
	}
	return nil
}

// Pool returns a pool by name, or nil.
func (a *Admitter) Pool(name string) *Pool { return a.load()[name] }

// Pools returns the names of the pools, sorted.
func (a *Admitter) Pools() []string { return slices.Sorted(maps.Keys(a.load())) }

// Admit waits for a slot. Its error is a *savoryloft.Error whose Run is
// NotRun, or the cause with which ctx ended.
func (a *Admitter) Admit(ctx context.Context, r *Request) (*Grant, error) {
	p := a.Pool(r.Pool)
	if p == nil {
		return nil, refusal("NoPool", "pool "+r.Pool+" does not exist", time.Second)
	}
	if r.Arrived.IsZero() {
		r.Arrived = time.Now()
	}
	p.arrived(r.Class)
	if p.waiting.Load() == 0 && p.roomFor(r.Class.Tier) {
		if u := p.choose(r); u != nil {
			return p.grant(ctx, u, r, false), nil
		}
	}
	return p.wait(ctx, r)
}

// Run moves the time-dependent parts along until ctx ends: patience, floors,
// preemption and adaptive limits.
func (a *Admitter) Run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			for _, p := range a.load() {
				p.tick()
			}
		}
	}
}

// Progress reports the mean time between the latest tokens of an attempt that
// still runs, so that limits follow long streams.
func (g *Grant) Progress(between time.Duration) { g.Upstream.progress(between) }

// Done gives the slot back and reports what was seen. Only the first call
// counts.
func (g *Grant) Done(o Observation) {
	if g.done.Swap(true) {
		return
	}
	g.cancel(nil)
	g.pool.finish(g, o)
}

// patience returns the longest time that a class waits for a slot.
func patience(c *savoryloft.Class) time.Duration {
	if c.Patience > 0 {
		return c.Patience.Std()
	}
	return patienceFactor * c.FirstToken.Std()
}

func refusal(code, message string, after time.Duration) *savoryloft.Error {
	return &savoryloft.Error{
		Step:       savoryloft.StepQueue,
		StatusCode: 503,
		Code:       code,
		Message:    message,
		Run:        savoryloft.RunNotRun,
		RetryAfter: after,
	}
}
