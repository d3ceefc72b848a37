package throttler

import (
	"cmp"
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"savoryloft.example/savoryloft"
)

// limit is what is known of the limit of one upstream.
type limit struct {
	startedAt int // Start of the process that named it, Unix ms; 0 if unknown.
	version   int
	perSecond float64   // savoryloft.NoLimit if it has ended.
	changedAt time.Time // When this instance learned of it.
	usedAt    time.Time // Last time that it was looked up or changed.
}

// minRate is the lowest rate, in requests a second, at which an upstream is sent
// requests. One that takes fewer would get none that could show that its limit has ended.
const minRate = 1.0 / 30

// Observe records the limit that an upstream has named in the response to a request
// that was sent at sentAt.
func (t *Throttler) Observe(u savoryloft.RegisteredUpstream, perSecond float64, sentAt time.Time) {
	t.mu.Lock()
	t.init()
	l, changed := t.observe(u, perSecond, sentAt, time.Now())
	t.mu.Unlock()
	if changed {
		t.Broadcast([]savoryloft.UpstreamLimit{l}, "")
	}
}

func (t *Throttler) observe(u savoryloft.RegisteredUpstream, perSecond float64, sentAt, now time.Time) (savoryloft.UpstreamLimit, bool) {
	unchanged := savoryloft.UpstreamLimit{}
	if perSecond == savoryloft.InvalidLimit {
		if _, logged := t.malformed[u.ID]; !logged {
			t.malformed[u.ID] = now
			t.Logger.Info("malformed limit of an upstream ignored", "upstream", u.ID)
		}
		return unchanged, false
	}
	version := 1
	known := t.limits[u.ID]
	switch {
	case known == nil || known.startedAt < u.StartedAtMs:
		if perSecond == savoryloft.NoLimit {
			return unchanged, false
		}
	case known.startedAt > u.StartedAtMs || known.perSecond == perSecond:
		return unchanged, false
	case allowance(perSecond) > allowance(known.perSecond) && sentAt.Before(known.changedAt):
		return unchanged, false // The response may be older than what is known.
	default:
		version = known.version + 1
	}
	l := savoryloft.UpstreamLimit{Upstream: u.ID, StartedAt: u.StartedAtMs, Version: version, PerSecond: perSecond}
	t.apply(l, now)
	return l, true
}

// allowance maps a limit to a number that is higher the more requests it allows.
func allowance(perSecond float64) float64 {
	if perSecond == savoryloft.NoLimit {
		return math.Inf(1)
	}
	return perSecond
}

// merge takes over limits that a peer has sent and passes on those that are new.
func (t *Throttler) merge(received []savoryloft.UpstreamLimit, from string) {
	var changed []savoryloft.UpstreamLimit
	t.mu.Lock()
	t.init()
	now := time.Now()
	for _, l := range received {
		if known := t.limits[l.Upstream]; known == nil || cmp.Or(
			cmp.Compare(l.StartedAt, known.startedAt), cmp.Compare(l.Version, known.version),
			cmp.Compare(allowance(known.perSecond), allowance(l.PerSecond))) > 0 {
			t.apply(l, now)
			changed = append(changed, l)
		}
	}
	t.mu.Unlock()
	if len(changed) > 0 {
		t.Broadcast(changed, from)
	}
}

// apply stores a limit. The caller holds the lock.
func (t *Throttler) apply(l savoryloft.UpstreamLimit, now time.Time) {
	t.limits[l.Upstream] = &limit{startedAt: l.StartedAt, version: l.Version, perSecond: l.PerSecond, changedAt: now, usedAt: now}
	t.adjustBucket(l.Upstream, now)
	t.Logger.Info("limit of an upstream changed", "upstream", l.Upstream, "started", l.StartedAt, "version", l.Version, "limit", l.PerSecond)
	metrics.GetOrRegisterCounter("upstream_limit_changes_total", t.Metrics).Inc(1)
}

// Limits returns the limits that are known, for a peer that may not know them.
func (t *Throttler) Limits() (list []savoryloft.UpstreamLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.limits {
		list = append(list, savoryloft.UpstreamLimit{Upstream: id, StartedAt: l.startedAt, Version: l.version, PerSecond: l.perSecond})
	}
	return list
}

// Limit returns the limit of an upstream, the lower one if it is cold and has named one
// too; ok is false if it has none.
func (t *Throttler) Limit(u savoryloft.RegisteredUpstream) (perSecond float64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	perSecond = t.warmUpLimitOf(u)
	if l := t.limits[u.ID]; l != nil && l.startedAt >= u.StartedAtMs {
		l.usedAt = now
		perSecond = lower(perSecond, l.perSecond)
	}
	if perSecond == savoryloft.NoLimit {
		return 0, false
	}
	return perSecond, true
}

// currentLimit returns the lower one of the limit that an upstream has named and of its
// limit while it is cold, or savoryloft.NoLimit. The caller holds the lock.
func (t *Throttler) currentLimit(upstream string) float64 {
	perSecond := t.warmUpLimit(upstream)
	if l := t.limits[upstream]; l != nil {
		perSecond = lower(perSecond, l.perSecond)
	}
	return perSecond
}

// warmUpLimit returns the limit of an upstream while it is cold, or savoryloft.NoLimit.
func (t *Throttler) warmUpLimit(upstream string) float64 {
	if t.Upstream == nil {
		return savoryloft.NoLimit
	}
	u, ok := t.Upstream(upstream)
	if !ok {
		return savoryloft.NoLimit
	}
	return t.warmUpLimitOf(u)
}

func (t *Throttler) warmUpLimitOf(u savoryloft.RegisteredUpstream) float64 {
	if t.WarmUpRate == nil || savoryloft.Uptime() >= u.WarmUpEnd {
		return savoryloft.NoLimit
	}
	if perSecond := t.WarmUpRate(u.Service); perSecond > 0 {
		return perSecond
	}
	return savoryloft.NoLimit
}

// lower returns the limit that allows fewer requests.
func lower(a, b float64) float64 {
	if allowance(a) <= allowance(b) {
		return a
	}
	return b
}
