package relayer

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/placer"
	"savoryloft.example/savoryloft/throttler"
)

const (
	// limitWaitShare is the time for which a request waits for a token, as a share of the
	// longest objective of the requests that are not more urgent. Tokens go to the more urgent
	// first, so a shorter wait would only leave them to others.
	limitWaitShare   = 0.5
	defaultLimitWait = 250 * time.Millisecond // For a service without objectives.
	maxLimitChoices  = 8                      // Upstreams with limits for which one request asks for a token.
	bestLimitChoices = 4                      // Of these, that are the best ones; the others are chosen at random.
)

// errLimited is returned when the limits that the upstreams have named permit no request
// for now.
const errLimited = errors.ConstError("the limits of all upstreams are used up")

// chooseUpstream chooses the upstream for the next send. If the best one has named a
// limit, the request needs a token: it asks for one of the best upstreams with limits, and
// goes to the best one without a limit if that takes less time than to wait for a token.
func (x *exchange) chooseUpstream(req placer.Request) (placer.Choice, error) {
	r := x.relayer
	if x.subjectToAdmission() {
		if choice, err := x.admit(req); err != nil {
			return choice, err
		} else if _, limited := r.Throttler.Limit(choice.Upstream); !limited {
			return choice, nil
		}
	}
	r.RefreshPeerLoads()
	upstreams, choice, ok := x.place(req)
	if !ok && x.retryRefusing() {
		upstreams, choice, ok = x.place(req)
	}
	switch {
	case !ok && x.begun():
		return choice, errVersionGone
	case !ok:
		return choice, errNoUpstream
	}
	x.choice, x.upstream = choice, choice.Upstream.ID
	if x.mustShed(choice) {
		return choice, errOverloaded
	}
	if _, limited := r.Throttler.Limit(choice.Upstream); !limited {
		return choice, nil
	}
	return x.chooseWithinLimits(req, upstreams, choice)
}

// chooseWithinLimits is chooseUpstream if the best choice has a limit.
func (x *exchange) chooseWithinLimits(req placer.Request, upstreams []savoryloft.RegisteredUpstream, best placer.Choice) (placer.Choice, error) {
	r := x.relayer
	limited, other, hasOther := x.rankChoices(req, upstreams, best)
	want := throttler.Want{Service: x.service, Rank: x.identity.Urgency, Wait: x.maxLimitWait()}
	for _, c := range limited {
		want.Upstreams = append(want.Upstreams, c.Upstream.ID)
	}
	if hasOther {
		saved := time.Duration((other.Cost - best.Cost) * float64(time.Millisecond))
		want.Wait = min(want.Wait, max(saved, 0))
	}
	grant := r.Throttler.Acquire(x.ctx, want)
	for _, c := range limited {
		if c.Upstream.ID == grant.Upstream {
			x.choice, x.upstream = c, c.Upstream.ID
			return c, nil
		}
	}
	if !hasOther {
		x.limitWait = grant.RetryAfter
		return best, errLimited
	}
	x.choice, x.upstream = other, other.Upstream.ID
	if x.mustShed(other) {
		return other, errOverloaded
	}
	return other, nil
}

// rankChoices returns upstreams with limits, the best ones from best on and then others at
// random, and the best one without a limit, if there is one. Without those at random the
// limits of upstreams that are never among the best ones would not be used.
func (x *exchange) rankChoices(req placer.Request, upstreams []savoryloft.RegisteredUpstream, best placer.Choice) (limited []placer.Choice, other placer.Choice, hasOther bool) {
	r := x.relayer
	req.Exclude = maps.Clone(req.Exclude)
	for c, ok := best, true; ok && len(limited) < bestLimitChoices; c, ok = r.Placer.Choose(time.Now(), req, upstreams) {
		if _, isLimited := r.Throttler.Limit(c.Upstream); !isLimited {
			return limited, c, true
		}
		limited = append(limited, c)
		req.Exclude[c.Upstream.ID] = true
	}
	var rest, unlimited []savoryloft.RegisteredUpstream
	for _, u := range upstreams {
		if _, isLimited := r.Throttler.Limit(u); !isLimited {
			unlimited = append(unlimited, u)
		} else if !req.Exclude[u.ID] {
			rest = append(rest, u)
		}
	}
	for _, n := range rand.Perm(len(rest)) {
		if len(limited) == maxLimitChoices {
			break
		}
		if c, ok := r.Placer.Choose(time.Now(), req, rest[n:n+1]); ok {
			limited = append(limited, c)
		}
	}
	other, hasOther = r.Placer.Choose(time.Now(), req, unlimited)
	return limited, other, hasOther
}

// maxLimitWait returns the time for which the request may wait for a token.
func (x *exchange) maxLimitWait() time.Duration {
	wait := defaultLimitWait
	if longest := x.bounds().LongestObjective(x.identity.Urgency); longest > 0 {
		wait = time.Duration(limitWaitShare * float64(longest))
	}
	return max(min(wait, time.Until(x.deadline)/2), 0)
}

// logLimitedSend logs a send to an upstream that has named a limit.
func (x *exchange) logLimitedSend(u savoryloft.RegisteredUpstream) {
	if limit, ok := x.relayer.Throttler.Limit(u); ok {
		x.relayer.Logger.Info("request sent to an upstream with a limit", "id", x.call.ID, "upstream", u.ID, "limit", limit)
	}
}
