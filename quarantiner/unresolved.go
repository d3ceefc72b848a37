package quarantiner

import (
	"time"

	"savoryloft.example/savoryloft"
)

// An upstream that ends may be back before it is probed, or fall silent, as it does when
// the network is down. A request to which it gave no complete response is then suspected
// later, when it turns out that its process has ended.

const (
	unresolvedLifetime    = time.Minute // An upstream that has ended is back, or its entry has lapsed, within seconds.
	maxUnresolved         = 256
	maxUnresolvedRequests = 64 // Of one upstream.
)

// unresolved holds the requests to which a process of an upstream gave no complete
// response.
type unresolved struct {
	upstream savoryloft.RegisteredUpstream
	requests []Broken
	at       time.Time // Of the last one.
}

// ObserveSilent records that a request got no response in time.
func (q *Quarantiner) ObserveSilent(u savoryloft.RegisteredUpstream, r Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	q.keep(u, r, true, time.Now())
}

// keep stores a request until it is known whether its upstream has ended. The parts of
// its prompt are not suspected then, since many requests may have been cut off together.
// A request that got no response, rather than a broken connection, may have been sent
// when the upstream had ended already, so it is suspected less.
func (q *Quarantiner) keep(u savoryloft.RegisteredUpstream, r Request, silent bool, now time.Time) {
	key := incarnation{u.ID, u.StartedAtMs}
	kept := q.unresolved[key]
	if kept == nil {
		if len(q.unresolved) >= maxUnresolved {
			return
		}
		kept = &unresolved{upstream: u}
		q.unresolved[key] = kept
	}
	kept.at = now
	if len(kept.requests) < maxUnresolvedRequests {
		fingerprint := r.Fingerprint() // Not kept: the request's body.
		kept.requests = append(kept.requests, Broken{Request: Request{Fingerprint: func() string { return fingerprint }}, silent: silent})
	}
}

// ObserveMisdirected records that another upstream has answered at the address of an
// upstream, whose process has therefore ended.
func (q *Quarantiner) ObserveMisdirected(u savoryloft.RegisteredUpstream) {
	q.Resolve(func(other savoryloft.RegisteredUpstream) bool {
		return other.ID == u.ID && other.StartedAtMs == u.StartedAtMs
	})
}

// Resolve suspects the requests whose upstreams have ended meanwhile, as hasEnded
// reports. It is also called about once a second.
func (q *Quarantiner) Resolve(hasEnded func(u savoryloft.RegisteredUpstream) bool) {
	var s savoryloft.Suspicions
	q.mu.Lock()
	now := time.Now()
	for key, kept := range q.unresolved {
		ended := hasEnded(kept.upstream)
		if ended {
			q.Logger.Info("upstream turned out to have ended", "upstream", key.upstream, "started", key.startedAt, "requests", len(kept.requests))
			s.Crashes = append(s.Crashes, encodeCrash(key, kept.requests))
		}
		if ended || now.Sub(kept.at) > unresolvedLifetime {
			delete(q.unresolved, key)
		}
	}
	q.mu.Unlock()
	if len(s.Crashes) > 0 {
		q.Merge(s, "")
	}
}
