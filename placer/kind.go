package placer

import (
	"math"
	"time"
)

// While an engine reads a long prompt, the streams that run beside it pause.
// Where there are enough upstreams, short prompts go to a part of them and long
// ones to the others. The part follows the time that each kind takes; its border
// lies in an order by hash, so instances with other figures differ only in the
// upstreams at the border.
const (
	splitFrom      = 40               // Upstreams from which on the kinds go to different ones; fewer are too few for bursts.
	longPrompt     = 4000             // Tokens; reading them takes as long as several tokens of a stream.
	otherKindCost  = 40.0             // ms for a prompt at an upstream for the other kind.
	kindMemory     = 30 * time.Second // In which an observation's weight falls to 1/e; longer than a burst.
	borderStep     = 0.1              // Of the part for short prompts, so that most instances put the border at the same place.
	usualShortPart = 0.4              // Part of the time that short prompts are taken to need before any was seen.
	usualWeight    = 5.0              // Weight of usualShortPart, in seconds of requests.
)

// kindTimes are the times that an instance's requests of each kind took lately.
type kindTimes struct {
	short, long float64 // Seconds.
	at          time.Time
}

func (k *kindTimes) add(now time.Time, long bool, took time.Duration) {
	k.decay(now)
	if long {
		k.long += took.Seconds()
	} else {
		k.short += took.Seconds()
	}
}

func (k *kindTimes) decay(now time.Time) {
	if d := now.Sub(k.at); !k.at.IsZero() && d > 0 {
		f := math.Exp(-float64(d) / float64(kindMemory))
		k.short *= f
		k.long *= f
	}
	k.at = now
}

// border tells which upstreams are for prompts of a request's length.
type border struct {
	none  bool // All are.
	short bool // The request's prompt is short.
	at    float64
}

func (b border) suits(e *engine) bool { return b.none || b.short == (e.kind < b.at) }

// border returns the border between the kinds for a request that some upstreams
// serve.
func (k *kindTimes) border(now time.Time, r Request, upstreams int) border {
	if r.Engine == nil || upstreams < splitFrom {
		return border{none: true}
	}
	return border{
		short: r.PromptTokens < longPrompt,
		at:    math.Round(k.shortPart(now)/borderStep) * borderStep,
	}
}

// shortPart returns the part of the upstreams that are for short prompts.
func (k *kindTimes) shortPart(now time.Time) float64 {
	k.decay(now)
	return (k.short + usualShortPart*usualWeight) / (k.short + k.long + usualWeight)
}
