package placer

import (
	"math"
	"time"
)

// Prefill of a long prompt pauses the token streams of other requests on the
// same engine. With enough upstreams, requests are therefore divided into two
// classes, short and long prompts, and the upstreams are partitioned between
// them in proportion to the time that each class takes. Upstreams are ordered by
// hash and divided at a boundary, so instances that measure different times
// disagree only about the upstreams near the boundary.
const (
	minPartitionedUpstreams = 40               // The parts of a smaller fleet could not absorb a burst of requests.
	longPromptTokens        = 4000             // Minimum length of a long prompt; its prefill takes as long as several tokens of a stream.
	classMismatchCostMs     = 40.0             // Minimum cost of an upstream that is assigned to the other class.
	longMismatchShare       = 0.2              // The same for a long prompt, as a share of its objective: rather than pause the streams of short ones, it waits.
	classTimeConstant       = 30 * time.Second // Time in which the weight of an observation falls to 1/e; longer than a burst.
	boundaryStep            = 0.1              // The boundary is rounded to it, so that most instances use the same one.
	boundaryTolerance       = 0.08             // Difference to the share of the work up to which the boundary stays, since a new one moves cached prompts.
	priorShortShare         = 0.4              // Assumed share of the request time that short prompts take, before any request was observed.
	priorWeightSeconds      = 5.0              // Weight of priorShortShare, in seconds of request time.
)

// PromptClass returns the name of the class of a prompt: short or long.
func PromptClass(tokens int) string {
	if tokens < longPromptTokens {
		return "short"
	}
	return "long"
}

// classTimes sums the durations of an instance's recent requests of each class,
// with exponential decay.
type classTimes struct {
	short, long float64 // Seconds, as of updatedAt.
	updatedAt   time.Time
	boundary    float64 // See partition.boundary; 0 before the first request.
}

func (c *classTimes) add(now time.Time, long bool, duration time.Duration) {
	c.decay(now)
	if long {
		c.long += duration.Seconds()
	} else {
		c.short += duration.Seconds()
	}
}

func (c *classTimes) decay(now time.Time) {
	if d := now.Sub(c.updatedAt); !c.updatedAt.IsZero() && d > 0 {
		f := math.Exp(-float64(d) / float64(classTimeConstant))
		c.short *= f
		c.long *= f
	}
	c.updatedAt = now
}

// classMismatchMs returns the cost in ms of an upstream that is assigned to the other
// class.
func (r Request) classMismatchMs() float64 {
	if r.PromptTokens < longPromptTokens {
		return classMismatchCostMs
	}
	return max(classMismatchCostMs, longMismatchShare*float64(r.Objective)/float64(time.Millisecond))
}

// partition is the set of upstreams that are assigned to a request's class.
type partition struct {
	disabled    bool    // All upstreams serve both classes.
	shortPrompt bool    // The request has a short prompt.
	boundary    float64 // Upstreams with a hashPosition below it are for short prompts.
}

func (pt partition) includes(s *upstreamState) bool {
	return pt.disabled || pt.shortPrompt == (s.hashPosition < pt.boundary)
}

// partition returns the partition for a request of a service with the given
// number of upstreams.
func (c *classTimes) partition(now time.Time, r Request, upstreams int) partition {
	if r.Engine == nil || upstreams < minPartitionedUpstreams {
		return partition{disabled: true}
	}
	return partition{
		shortPrompt: r.PromptTokens < longPromptTokens,
		boundary:    c.followShare(now),
	}
}

// followShare returns the boundary after it has followed shortShare.
func (c *classTimes) followShare(now time.Time) float64 {
	if c.boundary == 0 {
		c.boundary = priorShortShare
	}
	if share := c.shortShare(now); math.Abs(share-c.boundary) > boundaryTolerance {
		c.boundary = max(math.Round(share/boundaryStep), 1) * boundaryStep
	}
	return c.boundary
}

// shortShare returns the share of the upstreams that are for short prompts.
func (c *classTimes) shortShare(now time.Time) float64 {
	c.decay(now)
	return (c.short + priorShortShare*priorWeightSeconds) / (c.short + c.long + priorWeightSeconds)
}
