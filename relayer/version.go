package relayer

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/placer"
	"savoryloft.example/savoryloft/tracker"
)

const (
	unknownOriginRetryAfter = 500 * time.Millisecond // Peers that have been cut off are back, or the client tries another instance.
	versionGoneRetryAfter   = time.Second            // An upstream that has crashed is usually back by then.
	maxReportBytes          = 64 << 10
)

// errStaleEntry is returned if the process at the address of an upstream is not the one
// that the registry entry describes, so that its version is not known.
const errStaleEntry = errors.ConstError("upstream has started again since its registry entry was written")

// errVersionGone is returned when no upstream is eligible that has the software version
// at which the stream began.
const errVersionGone = errors.ConstError("no upstream with the software version that began the stream is available")

// resumable reports whether the response is a stream that can be resumed.
func (x *exchange) resumable() bool {
	return x.route.Kind == savoryloft.StreamingCall && x.route.Resumable
}

// resolveOrigin determines where the stream began that the client takes up, if it does.
// If that is not known, it refuses the request and returns false: the stream could go on
// at another version.
func (x *exchange) resolveOrigin() bool {
	if x.call.LastEventID == "" && x.call.Resumes == "" {
		return true
	}
	attempt := x.call.Resumes
	if attempt == "" {
		attempt = x.call.ID
	}
	key := tracker.Key(x.identity.Account, attempt)
	service := x.service
	if x.severalServices() {
		service = ""
	}
	o, err := x.relayer.Tracker.Find(x.ctx, key, service)
	if err != nil {
		x.refuse(http.StatusServiceUnavailable, "UnknownOrigin", err.Error()+"; the request has not run", unknownOriginRetryAfter)
		return false
	}
	x.origin = o
	x.service = x.selectService(x.table, x.route)
	x.relayer.Tracker.Begin(key, o, x.severalServices())
	return true
}

// beginStream records where the stream has begun, unless it is known from the client's
// earlier attempt.
func (x *exchange) beginStream(u savoryloft.RegisteredUpstream) {
	if x.origin.Service != "" || !x.resumable() {
		return
	}
	x.origin = tracker.Origin{Service: x.service, Version: u.Version}
	x.relayer.Tracker.Begin(tracker.Key(x.identity.Account, x.call.ID), x.origin, x.severalServices())
}

// severalServices reports whether the route's requests go to several services.
func (x *exchange) severalServices() bool { return len(x.route.Shares) > 1 }

// begun reports whether the client has received events of the stream.
func (x *exchange) begun() bool { return x.origin.Service != "" }

// eligibleUpstreams returns the upstreams at which the request may run: all of its
// service in the regions that it must not leave, but for a stream that has begun those with the version that began it.
func (x *exchange) eligibleUpstreams() []savoryloft.RegisteredUpstream {
	all := x.withinRegions(x.relayer.Watcher.Upstreams(x.service))
	if !x.begun() {
		return all
	}
	if x.origin.Version == "" || x.origin.Service != x.service {
		return nil
	}
	return withVersion(all, x.origin.Version)
}

func withVersion(upstreams []savoryloft.RegisteredUpstream, version string) []savoryloft.RegisteredUpstream {
	other := func(u savoryloft.RegisteredUpstream) bool { return u.Version != version }
	if !slices.ContainsFunc(upstreams, other) {
		return upstreams
	}
	return slices.DeleteFunc(slices.Clone(upstreams), other)
}

// place chooses an upstream, and returns it with those among which it was chosen. A stream
// that can be resumed begins at the only version at which streams of the service begin, if
// there is such a one and an upstream with it is eligible.
func (x *exchange) place(req placer.Request) (upstreams []savoryloft.RegisteredUpstream, choice placer.Choice, ok bool) {
	r := x.relayer
	upstreams = x.eligibleUpstreams()
	if x.resumable() && !x.begun() {
		if sole := r.Tracker.SoleVersion(x.service); sole != "" {
			restricted := withVersion(upstreams, sole)
			if choice, ok = r.Placer.Choose(time.Now(), req, restricted); ok {
				return restricted, choice, ok
			}
		}
	}
	choice, ok = r.Placer.Choose(time.Now(), req, upstreams)
	return upstreams, choice, ok
}

// verifyProcess returns errStaleEntry if the connection leads to another process than the
// registry entry of the chosen upstream describes. An upstream may come back under its ID
// and address with another version before the registry shows it. Each connection is
// checked once, since it ends with the process.
func (a *attempt) verifyProcess(ctx context.Context) error {
	if x := a.exchange; !x.resumable() && !x.begun() || a.choice.Upstream.StartedAtMs == 0 {
		return nil
	}
	if a.conn.StartedAtMs == 0 {
		report, err := a.readReport(ctx)
		if err != nil {
			return err
		}
		a.conn.StartedAtMs = report.StartedAtMs
	}
	if started := a.conn.StartedAtMs; started != 0 && started != a.choice.Upstream.StartedAtMs {
		return errStaleEntry
	}
	return nil
}

// readReport asks the upstream for its report on itself. The report of one that gives
// none is empty.
func (a *attempt) readReport(ctx context.Context) (savoryloft.UpstreamReport, error) {
	wire := a.exchange.relayer.Wire
	call := wire.AppendReportCall(nil, a.choice.Upstream.Address)
	body, status, err := a.conn.Query(ctx, call, maxReportBytes, dialTimeout)
	if err != nil || status != http.StatusOK {
		return savoryloft.UpstreamReport{}, err
	}
	return wire.DecodeReport(body)
}
