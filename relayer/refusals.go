package relayer

import (
	"time"

	"savoryloft.example/savoryloft"
)

const (
	// refusalPause is the time after which an upstream that was full may have a free slot,
	// about the duration of one request to a plain service.
	refusalPause = 25 * time.Millisecond
	// maxRefusalPauseShare bounds that time as a share of the route's objective.
	maxRefusalPauseShare = 0.25
)

// recordRefusal records that an upstream was full. It is excluded from further attempts,
// until no other upstream is left.
func (a *attempt) recordRefusal() {
	if !a.head.Misdirected && a.head.Pause == 0 && !a.head.Leaving {
		a.exchange.refusedBy = append(a.exchange.refusedBy, a.choice.Upstream.ID)
	}
}

// retryRefusing makes the upstreams that were full eligible again after a pause, for a
// request without a prompt for which no other one is left. It reports whether there are
// any. The send that follows has been counted toward the retry budget.
func (x *exchange) retryRefusing() bool {
	if len(x.refusedBy) == 0 || len(x.call.Parts) > 0 || x.begun() {
		return false
	}
	pause := refusalPause
	if x.route.Objective > 0 {
		pause = min(pause, time.Duration(maxRefusalPauseShare*float64(x.route.Objective)))
	}
	savoryloft.Sleep(x.ctx, pause)
	for _, id := range x.refusedBy {
		delete(x.triedUpstreams, id)
	}
	x.refusedBy = nil
	return x.ctx.Err() == nil && x.stillPermitted()
}
