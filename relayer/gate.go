package relayer

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft/placer"
)

const (
	// gatedRank is the most urgent rank that is refused for what waits ahead of
	// it: engines put more urgent requests first by themselves.
	gatedRank = 1
	// leastPatience and urgentPatience bound the predicted time to the first token
	// of the least urgent and of other gated requests, in multiples of the route's
	// objective. Beyond it the answer is late, and its prompt delays others.
	leastPatience  = 1.2
	urgentPatience = 2.5
	leastRank      = 2 // Rank from which requests are the least urgent.
	leastReturn    = 300 * time.Millisecond
	mostReturn     = 2500 * time.Millisecond
)

// errCrowded says that a request was refused for what waits ahead of it.
const errCrowded = errors.ConstError("too much waits at every upstream")

// crowded tells whether a request should be refused because even at the best
// upstream its first token would come far too late. Pattern: bursts of long
// prompts, under which shorter and more urgent ones got nothing.
func (x *exchange) crowded(c placer.Choice) bool {
	if len(x.call.Parts) == 0 || x.route.Objective <= 0 || x.identity.Rank < gatedRank {
		return false
	}
	limit := urgentPatience
	if x.identity.Rank >= leastRank {
		limit = leastPatience
	}
	return c.First > time.Duration(limit*float64(x.route.Objective))
}

// refuseCrowded refuses a request and says when what waits ahead is read.
func (x *exchange) refuseCrowded() {
	after := min(max(x.choice.First-x.route.Objective, leastReturn), mostReturn)
	x.refuse(http.StatusServiceUnavailable, "Crowded", "too much waits at the upstreams; the request has not run", after)
}
