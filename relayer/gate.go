package relayer

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
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
// first token is too long for its urgency even on the chosen upstream, or because it would
// take a place in the queue there that more urgent ones need. Without load
// shedding, a burst of long prompts starved shorter and more urgent ones. A stream that
// has begun is not shed, since what its client has already received would be lost.
func (x *exchange) overloaded(c placer.Choice) bool {
	if x.begun() || len(x.call.Parts) == 0 || x.route.Objective <= 0 {
		return false
	}
	bounds, urgency := x.bounds(), x.identity.Urgency
	return c.TimeToFirstToken > bounds.MaxFirstToken(urgency) || c.Running >= bounds.MaxRunning(urgency, x.slotsOf(c.Upstream))
}

// mustShed reports whether to shed a request that has not run, rather than to send it to the
// chosen upstream.
func (x *exchange) mustShed(c placer.Choice) bool {
	return x.possibleRuns == 0 && (x.overloaded(c) || x.givesWay(c))
}

// givesWay reports whether to shed a request since more urgent ones have been refused here
// lately. An upstream with many free slots has room for both.
func (x *exchange) givesWay(c placer.Choice) bool {
	if x.begun() || len(x.call.Parts) == 0 || x.route.Objective <= 0 {
		return false
	}
	slots := x.slotsOf(c.Upstream)
	if slots == 0 || float64(c.Running) < refusableLoadShare*float64(slots) {
		return false
	}
	return x.relayer.pressure.GivesWay(time.Now(), x.service, x.identity.Urgency, x.call.PromptTokens)
}

// crowdedOut reports whether a request that an upstream rejected finds no room elsewhere
// either. Another send would only take a place in the retry budget from a more urgent one.
func (x *exchange) crowdedOut() bool {
	if x.possibleRuns > 0 {
		return false
	}
	_, choice, ok := x.place(x.placerRequest())
	return ok && x.overloaded(choice)
}

// recordNoRoom records that the request is refused for lack of room.
func (x *exchange) recordNoRoom() {
	if len(x.call.Parts) > 0 {
		x.relayer.pressure.RecordRefusal(time.Now(), x.service, x.identity.Urgency, x.call.PromptTokens)
	}
}

// slotsOf returns the requests that an upstream runs at a time; 0 if unknown.
func (x *exchange) slotsOf(u savoryloft.RegisteredUpstream) int {
	if u.Slots > 0 {
		return u.Slots
	}
	if s := x.table.LookupService(x.service); s != nil && s.Engine != nil {
		return s.Engine.Slots
	}
	return 0
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
	x.recordNoRoom()
	x.refuse(http.StatusServiceUnavailable, "Crowded", "too much waits at the upstreams; the request has not run", x.retryAfterOverload())
}
