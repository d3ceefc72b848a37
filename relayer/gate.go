package relayer

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft/placer"
	"savoryloft.example/savoryloft/ranker"
)

const (
	evacuatedRetryAfter   = 2 * time.Second // An operator takes an evacuation back after seconds at the earliest.
	minOverloadRetryAfter = 300 * time.Millisecond
	maxOverloadRetryAfter = 2500 * time.Millisecond
)

// errOverloaded is returned when a request is shed.
const errOverloaded = errors.ConstError("all upstreams are overloaded")

// overloaded reports whether to shed a request because its predicted time to the
// first token is too long for its urgency even on the chosen upstream. Without load
// shedding, a burst of long prompts starved shorter and more urgent ones. A stream that
// has begun is not shed, since what its client has already received would be lost.
func (x *exchange) overloaded(c placer.Choice) bool {
	if x.begun() || len(x.call.Parts) == 0 || x.route.Objective <= 0 {
		return false
	}
	return c.TimeToFirstToken > x.bounds().MaxFirstToken(x.identity.Urgency)
}

// bounds returns the bounds by urgency of the requests of the exchange's service.
func (x *exchange) bounds() *ranker.Service { return x.table.Bounds(x.service) }

// refuseNoUpstream refuses a request for which no upstream is available. If some
// upstreams have asked for a pause, Retry-After is the time until the first of them
// returns.
func (x *exchange) refuseNoUpstream() {
	r := x.relayer
	if x.allEvacuated() {
		x.refuse(http.StatusServiceUnavailable, "Evacuated", "all failure domains of the service are evacuated; the request has not run", evacuatedRetryAfter)
		return
	}
	if left := r.Placer.PauseLeft(time.Now(), x.eligibleUpstreams()); left > 0 {
		x.refuse(http.StatusServiceUnavailable, "Paused", "all upstreams have asked for a pause; the request has not run", max(left, minOverloadRetryAfter))
		return
	}
	x.refuse(http.StatusServiceUnavailable, "NoUpstream", "no upstream is available; the request has not run", noUpstreamRetryAfter)
}

// allEvacuated reports whether the evacuations of failure domains alone leave no upstream.
func (x *exchange) allEvacuated() bool {
	found := false
	for _, u := range x.eligibleUpstreams() {
		if !u.Draining && !u.Evacuated {
			return false
		}
		found = found || u.Evacuated
	}
	return found
}

// refuseOverloaded refuses a request. Retry-After is the time until there is room for
// requests of its rank.
func (x *exchange) refuseOverloaded() {
	x.refuse(http.StatusServiceUnavailable, "Crowded", "too much waits at the upstreams; the request has not run", x.retryAfterOverload())
}
