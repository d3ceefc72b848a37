package tracker

import (
	"time"

	"savoryloft.example/savoryloft"
)

// Resumable streams should begin where they can be resumed: not at a version with a
// single upstream, nor at one that others are about to replace.
const (
	singleUpstreamCostMs  = 400.0            // For a version of which one upstream is left, or has come so far.
	retiringVersionCostMs = 250.0            // For a version whose upstreams leave while others start.
	retiringPeriod        = 10 * time.Second // Since an upstream of the version was last leaving.
)

// Surcharges returns costs in ms that a new stream of a service has at upstreams, by
// version. The map must not be modified.
func (t *Tracker) Surcharges(service string) map[string]float64 {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(service).surcharges
}

// observe looks at the registered upstreams of a service. The caller holds the lock.
func (t *Tracker) observe(service string) {
	now := savoryloft.Uptime()
	s := t.state(service)
	s.registered = map[string]int{}
	latestStart := map[string]int{}
	for _, u := range t.Upstreams(service) {
		s.seen[u.Version] = now
		latestStart[u.Version] = max(latestStart[u.Version], u.StartedAtMs)
		if u.Draining {
			s.drainedAt[u.Version] = now
		} else {
			s.registered[u.Version]++
		}
	}
	for v, at := range s.seen {
		if now-at > retention {
			delete(s.seen, v)
			delete(s.drainedAt, v)
		}
	}
	s.surcharges = nil
	if len(s.registered) < 2 {
		return
	}
	s.surcharges = map[string]float64{}
	for v, n := range s.registered {
		for other, m := range s.registered {
			if other == v || m < 2 {
				continue
			}
			if n < 2 {
				s.surcharges[v] = max(s.surcharges[v], singleUpstreamCostMs)
			}
			drained, ok := s.drainedAt[v]
			if ok && now-drained < retiringPeriod && latestStart[other] > latestStart[v] {
				s.surcharges[v] = max(s.surcharges[v], retiringVersionCostMs)
			}
		}
	}
}
