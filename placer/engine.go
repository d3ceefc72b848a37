package placer

import (
	"math"
	"time"

	"savoryloft.example/savoryloft"
)

// engine is the model of one upstream.
type engine struct {
	upstream  savoryloft.RegisteredUpstream
	running   int // Own requests.
	prefill   int // Prompt tokens of own requests without a first token.
	tokens    int // Memory of own requests.
	parts     map[string]partUse
	partSum   int
	readRate  float64 // Prompt tokens per ms.
	failures  float64
	failedAt  time.Time
	probedAt  time.Time
	seenAt    time.Time
	unstarted map[*Run]struct{} // Runs without a first token.

	kind       float64 // Place, from 0 to 1, in the order that the border between kinds lies in.
	preference float64 // Of this instance, from 0 to 1; the lower the sooner.
}

type partUse struct {
	tokens int
	at     time.Time
}

// Run is one request at an upstream.
type Run struct {
	placer   *Placer
	engine   *engine
	uncached int
	tokens   int
	started  time.Time
	waited   int     // Prompt tokens that waited before it.
	expected float64 // Predicted ms to the first token.
	prefill  bool    // No first token yet.
	prompted bool    // It counts for the times of its kind: it has a prompt that an engine reads.
	long     bool    // The prompt is long.
	ended    bool
}

func (p *Placer) engine(u savoryloft.RegisteredUpstream) *engine {
	if p.engines == nil {
		p.engines = map[string]*engine{}
	}
	e := p.engines[u.ID]
	if e == nil || e.upstream.Born != u.Born {
		e = &engine{
			parts: map[string]partUse{}, readRate: initialReadRate, unstarted: map[*Run]struct{}{},
			kind: unit(rendezvous("short", u.ID)), preference: unit(rendezvous(p.Instance, u.ID)),
		}
		p.engines[u.ID] = e
	}
	e.upstream = u
	return e
}

// unread returns the prompt tokens of own requests that are still to be read:
// the engine reads at its rate from the start of the oldest one.
func (e *engine) unread(now time.Time) int {
	if e.prefill == 0 {
		return 0
	}
	var oldest time.Time
	for r := range e.unstarted {
		if oldest.IsZero() || r.started.Before(oldest) {
			oldest = r.started
		}
	}
	return drained(e.prefill, now.Sub(oldest), e.readRate)
}

// drained returns what is left of some prompt tokens after a time of reading.
// Some are always left: a reading that takes longer than predicted is not over.
func drained(tokens int, d time.Duration, rate float64) int {
	left := float64(tokens) - rate*float64(d)/float64(time.Millisecond)
	return int(max(left, float64(tokens)*leastLeft))
}

const leastLeft = 0.15 // Part of the unread tokens that counts until the first token tells otherwise.

func (e *engine) slots(r Request) int {
	if e.upstream.Slots > 0 {
		return e.upstream.Slots
	}
	if r.Engine != nil {
		return r.Engine.Slots
	}
	return 0
}

// uncached returns the prompt tokens that an engine would read. A part counts
// as held only if all before it are.
func (e *engine) uncached(now time.Time, r Request, hashed bool) int {
	tokens := r.PromptTokens
	for _, part := range r.Parts {
		use, ok := e.parts[part.ID]
		if !ok || now.Sub(use.at) > partKept {
			break
		}
		tokens -= part.Tokens
	}
	if hashed {
		held := r.PromptTokens - tokens
		missing := max(r.PromptTokens-r.ownTokens()-held, 0)
		tokens -= int(float64(missing) * hashedHolderTrust)
	}
	return max(tokens, 0)
}

// holds tells whether an engine holds the first part of a request's prompt.
func (e *engine) holds(r Request) bool {
	if len(r.Parts) < 2 {
		return false
	}
	_, ok := e.parts[r.Parts[0].ID]
	return ok
}

// recentFailures returns the failures of an engine, of which half are
// forgotten in each failureDecay.
func (e *engine) recentFailures(now time.Time) float64 {
	if e.failures == 0 {
		return 0
	}
	return e.failures * math.Exp2(-float64(now.Sub(e.failedAt))/float64(failureDecay))
}

func (e *engine) suspended(now time.Time) bool { return e.recentFailures(now) >= suspendAfter }

// overdue returns the ms by which the run that waits longest for its first
// token is beyond its prediction. An engine that hangs shows so.
func (e *engine) overdue(now time.Time) float64 {
	worst := 0.0
	for r := range e.unstarted {
		late := float64(now.Sub(r.started)-slowAge)/float64(time.Millisecond) - r.expected
		worst = max(worst, late)
	}
	return worst
}

// hold notes that an engine has or will have read a part. The parts used
// longest ago yield when the memory taken for parts is full.
func (e *engine) hold(now time.Time, part savoryloft.PromptPart, traits *savoryloft.EngineTraits) {
	if old, ok := e.parts[part.ID]; ok {
		e.partSum -= old.tokens
	}
	e.parts[part.ID] = partUse{tokens: part.Tokens, at: now}
	e.partSum += part.Tokens
	if traits == nil || traits.MemoryTokens == 0 {
		return
	}
	for limit := int(float64(traits.MemoryTokens) * partMemoryShare); e.partSum > limit && len(e.parts) > 1; {
		oldest, at := "", now
		for id, use := range e.parts {
			if oldest == "" || use.at.Before(at) {
				oldest, at = id, use.at
			}
		}
		e.partSum -= e.parts[oldest].tokens
		delete(e.parts, oldest)
	}
}

// FirstToken notes that a run has produced its first token.
func (r *Run) FirstToken(now time.Time) {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	if !r.prefill {
		return
	}
	r.endPrefill()
	ms := float64(now.Sub(r.started)) / float64(time.Millisecond)
	if tokens := float64(r.uncached + r.waited); tokens > minSampleTokens && ms > 0 {
		sample := max(tokens/ms, leastReadRate)
		r.engine.readRate += (min(sample, 2*initialReadRate) - r.engine.readRate) * sampleWeight
	}
}

const (
	minSampleTokens = 1500 // Shorter prompts tell of the engine's step time, not of its reading.
	sampleWeight    = 0.1
)

func (r *Run) endPrefill() {
	r.prefill = false
	r.engine.prefill -= r.uncached
	delete(r.engine.unstarted, r)
}

// End notes that a run has ended.
func (r *Run) End(now time.Time, o Outcome) {
	r.placer.mu.Lock()
	defer r.placer.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	if r.prefill {
		r.endPrefill()
	}
	if r.prompted {
		r.placer.times.add(now, r.long, now.Sub(r.started))
	}
	e := r.engine
	e.running--
	e.tokens -= r.tokens
	switch o {
	case Failed:
		e.failures = e.recentFailures(now) + 1
		e.failedAt = now
	case Refused:
		e.failures = e.recentFailures(now) + refusalWeight
		e.failedAt = now
	case Succeeded:
		e.failures = e.recentFailures(now) * successForgives
		e.failedAt = now
	case Cancelled:
	}
}

const (
	refusalWeight   = 0.3 // A refusal as a part of a failure: the engine works but is full.
	successForgives = 0.9 // Part of the memory of failures that is left after a success.
)
