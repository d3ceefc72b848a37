// Package admitter performs admission control, scheduling and load balancing:
// it decides which request runs next and on which upstream. It does no I/O, so
// the serving path and the benchmarks run the same code.
//
// If its pool has a free slot and an empty queue, a request acquires the slot
// with atomic operations only. Otherwise it is queued. The scheduler serves
// tiers in strict priority order, except that each tier may have a floor, a
// guaranteed minimum share of the pool. Within a tier, it serves the class with
// the least time left until its first-token target (slack), and within a class
// the client account with the fewest tokens relative to its weight (Virtual
// Token Counter, OSDI 2024).
//
// # Usage
//
//	a := &admitter.Admitter{MaxQueued: 2048}
//	a.Update(pools, floors, upstreams)
//	grant, err := a.Admit(ctx, &admitter.Request{Pool: "chat", Class: class, Account: "tsagaan"})
//	if err != nil {
//		return err // Nothing has been sent to an upstream.
//	}
//	// Send the request to grant.Upstream; stop when grant.Context is done.
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
	// defaultQueueTimeoutFactor is the queue timeout of a class that does not set
	// one (Class.Patience), as a multiple of its first-token target.
	defaultQueueTimeoutFactor = 10
)

// Policy disables parts of the scheduling policy, so that benchmarks can
// measure the effect of each. The zero value enables all of them.
type Policy struct {
	FirstInFirstOut     bool // Ignore tiers, slack and accounts.
	RoundRobin          bool // Ignore load and affinity when choosing an upstream.
	FixedLimits         bool // Keep each upstream's limit at its configured slots.
	NoPreemption        bool // Let running attempts of lower tiers finish.
	NoReserve           bool // Let lower tiers take the last free slots.
	NoFloors            bool // Serve tiers in strict order.
	NoFairness          bool // Serve a class first in, first out across accounts.
	NoStragglerEjection bool // Keep using upstreams that are much slower than the median.
	EqualShares         bool // Ignore the demand of each instance when dividing a pool.
}

// Request describes a request to be admitted.
type Request struct {
	Pool        string
	Class       *savoryloft.Class
	Account     string
	Weight      int       // Weight of the client account.
	Tokens      int       // Estimated tokens, prompt and output.
	Prefix      uint64    // Hash of the prompt's prefix; zero for no affinity.
	Exclude     []string  // Names of upstreams to avoid, such as those that failed the request.
	Preemptible bool      // An attempt may be canceled and resumed by a later one.
	Resumed     bool      // Part of the answer has already been forwarded to the caller.
	Arrived     time.Time // Start of the wait, from which slack and timeouts are measured; now if zero.

	Room savoryloft.Room // Capacity for the request if the pool does not assign the upstreams' slots; nil otherwise.

	lastUpstream string // Name of the upstream that ran the last attempt; it may still have the prompt cached.
}

// UpstreamConfig is the configuration of one upstream.
type UpstreamConfig struct {
	Name          string
	Pool          string
	Address       string
	FailureDomain string
	Reclaimable   bool
	Draining      bool // No new requests are dispatched to the upstream.
	Slots         int  // Maximum number of requests that the upstream runs at a time.
}

// Admitter admits the requests of one instance to its pools. Set the exported
// fields before the first call. All methods are safe for concurrent use.
type Admitter struct {
	Instance      string
	FailureDomain string
	MaxQueued     int // Maximum number of queued requests per pool; 2048 if zero.
	Policy        Policy

	pools atomic.Pointer[map[string]*Pool]
	mu    sync.Mutex // Serializes Update and UpdateShares.
}

// Grant is a slot held on an upstream for one attempt of a request.
type Grant struct {
	Upstream *Upstream
	Context  context.Context // Canceled when the request ends or the attempt is preempted.

	pool      *Pool
	request   *Request
	cancel    context.CancelCauseFunc
	started   time.Time
	usesFloor bool // The slot is charged to the floor credit of the request's class.
	preempted atomic.Bool
	done      atomic.Bool
}

// Observation is the outcome of an attempt.
type Observation struct {
	Failed        bool          // The upstream failed; false if the request caused the error.
	FirstToken    time.Duration // Time from dispatch to the first token, or to a service's answer; zero if unknown.
	BetweenTokens time.Duration // Mean time between tokens; zero if there were too few.
	Tokens        int           // Actual number of tokens; zero if unknown.
}

// Update replaces the pools, their upstreams and the floors of their tiers, in
// percent of the capacity of a pool. Upstreams that remain keep their state.
// Update may be called while requests run.
func (a *Admitter) Update(pools map[string]savoryloft.Pool, floors map[string][Tiers]int, configs []UpstreamConfig) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.poolsByName()
	next := make(map[string]*Pool, len(pools))
	for name := range pools {
		p, ok := old[name]
		if !ok {
			p = newPool(a, name)
		}
		next[name] = p
	}
	byPool := map[string][]UpstreamConfig{}
	for _, config := range configs {
		byPool[config.Pool] = append(byPool[config.Pool], config)
	}
	for name, p := range next {
		p.floors.Store(pointerTo(floors[name]))
		p.setUpstreams(byPool[name])
	}
	a.pools.Store(&next)
	for name, p := range old {
		if next[name] == nil {
			p.setUpstreams(nil)
		}
	}
}

func pointerTo(f [Tiers]int) *[Tiers]int { return &f }

func (a *Admitter) poolsByName() map[string]*Pool {
	if p := a.pools.Load(); p != nil {
		return *p
	}
	return nil
}

// Pool returns a pool by name, or nil.
func (a *Admitter) Pool(name string) *Pool { return a.poolsByName()[name] }

// Pools returns the names of the pools, sorted.
func (a *Admitter) Pools() []string { return slices.Sorted(maps.Keys(a.poolsByName())) }

// Admit waits for a slot on an upstream. It returns a *savoryloft.Error whose
// Run is RunNotRun if the request is refused, or the cause of ctx if ctx is
// done. The caller must call Done on the grant. Admit sets r.Arrived if it is
// zero, and clears r.Exclude if no other upstream has a free slot.
//
// For a request with a Room it waits until there is room instead. The pool is created
// when it is first used, and the grant has no Upstream.
func (a *Admitter) Admit(ctx context.Context, r *Request) (*Grant, error) {
	if r.Room != nil {
		return a.admitToRoom(ctx, r)
	}
	p := a.Pool(r.Pool)
	if p == nil {
		return nil, refusal("NoPool", "pool "+r.Pool+" does not exist", time.Second)
	}
	if r.Arrived.IsZero() {
		r.Arrived = time.Now()
	}
	p.recordArrival(r.Class)
	if p.waiting.Load() == 0 && p.mayTakeSlot(r.Class.Tier) {
		if u := p.acquireUpstream(r); u != nil {
			return p.grant(ctx, u, r, false), nil
		}
	}
	return p.wait(ctx, r)
}

// Run adjusts the limits of the upstreams, dispatches queued requests and
// preempts running ones at regular intervals. It returns nil when ctx is done.
func (a *Admitter) Run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			for _, p := range a.poolsByName() {
				p.tick()
			}
		}
	}
}

// Progress records the mean time between the latest tokens of a running
// attempt, so that the upstream's limit is adjusted before a long stream ends.
func (g *Grant) Progress(between time.Duration) { g.Upstream.recordProgress(between) }

// Done releases the slot and records the outcome of the attempt. Calls after
// the first have no effect.
func (g *Grant) Done(o Observation) {
	if g.done.Swap(true) {
		return
	}
	g.cancel(nil)
	g.pool.release(g, o)
}

// queueTimeout returns the maximum time that a request of a class is queued.
func queueTimeout(c *savoryloft.Class) time.Duration {
	if c.Patience > 0 {
		return c.Patience.Std()
	}
	return defaultQueueTimeoutFactor * c.FirstToken.Std()
}

func refusal(code, message string, delay time.Duration) *savoryloft.Error {
	return &savoryloft.Error{
		Step:       savoryloft.StepQueue,
		StatusCode: 503,
		Code:       code,
		Message:    message,
		Run:        savoryloft.RunNotRun,
		RetryAfter: delay,
	}
}
