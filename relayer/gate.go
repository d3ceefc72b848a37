package relayer

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft/placer"
)

const (
	// firstSheddableRank is the most urgent rank that is refused for what waits ahead of
	// it: engines put more urgent requests first by themselves.
	firstSheddableRank = 1
	// leastUrgentShedFactor and urgentPatience bound the predicted time to the first token
	// of the least urgent and of other gated requests, in multiples of the route's
	// objective. Beyond it the answer is late, and its prompt delays others.
	leastUrgentShedFactor = 1.2
	defaultShedFactor     = 2.5
	firstLeastUrgentRank  = 2 // Rank from which requests are the least urgent.
	minOverloadRetryAfter = 300 * time.Millisecond
	maxOverloadRetryAfter = 2500 * time.Millisecond
)

// errOverloaded says that a request was refused for what waits ahead of it.
const errOverloaded = errors.ConstError("too much waits at every upstream")

// overloaded tells whether a request should be refused because even at the best
// upstream its first token would come far too late. Pattern: bursts of long
// prompts, under which shorter and more urgent ones got nothing.
func (x *exchange) overloaded(c placer.Choice) bool {
	if len(x.call.Parts) == 0 || x.route.Objective <= 0 || x.identity.Rank < firstSheddableRank {
		return false
	}
	limit := defaultShedFactor
	if x.identity.Rank >= firstLeastUrgentRank {
		limit = leastUrgentShedFactor
	}
	return c.TimeToFirstToken > time.Duration(limit*float64(x.route.Objective))
}

// refuseOverloaded refuses a request and says when what waits ahead is read.
func (x *exchange) refuseOverloaded() {
	after := min(max(x.choice.TimeToFirstToken-x.route.Objective, minOverloadRetryAfter), maxOverloadRetryAfter)
	x.refuse(http.StatusServiceUnavailable, "Crowded", "too much waits at the upstreams; the request has not run", after)
}
