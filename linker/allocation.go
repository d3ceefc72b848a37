package linker

import (
	"slices"
	"time"

	"savoryloft.example/savoryloft"
)

// featureLimits is the feature of peers that take part in keeping the limits of
// upstreams.
const featureLimits = "UpstreamLimits"

// Allocation is the part that this instance has in keeping the limits of upstreams.
// One instance hands out the tokens for requests to them, as far as instances reach
// each other. An instance that cannot reach it asks the one that it takes for it.
type Allocation struct {
	Next  string  // Linked peer from which tokens are requested; empty if this instance hands them out.
	Share float64 // Part of the limits that this instance may hand out: that of the instances that it reaches.
}

// Allocation returns the current allocation. leaving is whether this instance shuts
// down; it then hands out nothing if there is another one.
func (l *Linker) Allocation(leaving bool) Allocation {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := savoryloft.Uptime()
	t := l.currentTopology(now)
	first := ranked{}
	if t.hub && !leaving {
		first = ranked{name: l.Instance, order: hubOrder(l.Instance, l.CPUMillicores)}
	}
	for name := range t.hubs {
		if m := l.members[name]; m != nil && l.sharesLimits(name, now) {
			if r := (ranked{name: name, order: m.hubOrder}); r.precedes(first) {
				first = r
			}
		}
	}
	if first.name != "" && first.name != l.Instance {
		return Allocation{Next: first.name}
	}
	reached, known := l.reachedInstances(t, now)
	return Allocation{Share: float64(reached) / float64(max(known, reached))}
}

// sharesLimits reports whether there is a link to a live peer that stays and takes part
// in keeping limits. The caller holds the lock.
func (l *Linker) sharesLimits(name string, now time.Duration) bool {
	k, m := l.links[name], l.members[name]
	return k != nil && m != nil && m.isLive(now) && !m.leaving && slices.Contains(k.features, featureLimits)
}

// reachedInstances returns the number of instances that can request tokens from this
// one, itself included, and the number of those that may send requests to upstreams.
// The caller holds the lock.
func (l *Linker) reachedInstances(t *topology, now time.Duration) (reached, known int) {
	l.updateKnownInstances(t, now)
	if !t.hub {
		return 1, l.knownInstances
	}
	reach := map[string]int{l.FailureDomain: 1}
	for name, k := range l.links {
		if !l.sharesLimits(name, now) {
			continue
		}
		switch domain := k.peer.FailureDomain; {
		case t.mesh || domain == l.FailureDomain:
			reach[domain]++
		case t.hubs[name]:
			reach[domain] = max(reach[domain], k.domainCount)
		}
	}
	for _, n := range reach {
		reached += n
	}
	return reached, l.knownInstances
}

// updateKnownInstances updates the number of instances that may send requests to
// upstreams. While members are lost, it does not fall. The caller holds the lock.
func (l *Linker) updateKnownInstances(t *topology, now time.Duration) {
	current := 1
	switch {
	case t.mesh:
		for _, m := range l.members {
			if !m.leaving && (!m.returned || m.lastStatusAt > 0) {
				current++
			}
		}
	case t.hub:
		current, _ = l.countInstances(t, now)
	default:
		current = max(l.toldInstances(now), 1)
	}
	if current >= l.knownInstances || !l.lostContact(t, now) && (t.mesh || now-l.knownAt > memberTimeout) {
		l.knownInstances, l.knownAt = current, now
	}
}

// SendLimits sends limits, or requests and replies for tokens, to a peer. It returns
// false if there is no link to a peer that takes part in keeping limits.
func (l *Linker) SendLimits(to string, e savoryloft.LimitExchange) bool {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.links[to]
	if k == nil || !slices.Contains(k.features, featureLimits) {
		return false
	}
	k.send(savoryloft.LinkFrame{Limits: &e})
	return true
}

// BroadcastLimits sends limits on all links except the one to the peer that they were
// received from. Instances send only what is new to them, so each receives them once on
// each link.
func (l *Linker) BroadcastLimits(limits []savoryloft.UpstreamLimit, from string) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, k := range l.links {
		if name != from && slices.Contains(k.features, featureLimits) {
			k.send(savoryloft.LinkFrame{Limits: &savoryloft.LimitExchange{Limits: limits}})
		}
	}
}
