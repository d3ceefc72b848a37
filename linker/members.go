package linker

import (
	"cmp"
	"slices"
	"time"

	"savoryloft.example/savoryloft"
)

// member is another known instance.
type member struct {
	greeting       savoryloft.LinkGreeting
	hubOrder       uint64        // Sort key for choosing hubs; see hubOrder.
	lastStatusAt   time.Duration // Uptime of the last status or new link; 0 before the first.
	addedAt        time.Duration // Uptime at which the member was added.
	leaving        bool
	leading        bool
	yielded        time.Duration // Uptime as of which its last status reported the lease as yielded; 0 if it did not.
	logUnreachable bool          // Whether it cannot read the log.
	unneeded       bool          // Its link has ended because neither side needed it.
	returned       bool          // It had expired and was found again; it counts as a candidate only once it has sent a status.
	dialState
}

// dialState is the state of the attempts to dial an address.
type dialState struct {
	dialing     bool
	nextAttempt time.Duration // Uptime of the next attempt.
	backoff     time.Duration
}

// Member describes another instance.
type Member struct {
	savoryloft.LinkGreeting
	Live    bool
	Leaving bool
	Leading bool
	Yielded time.Duration // Uptime as of which its last status reported the lease as yielded; 0 if it did not.
}

// AddMembers adds instances that were discovered outside the links. Members that
// expired are added again, so that they can be dialed, but are not sent to peers.
func (l *Linker) AddMembers(greetings []savoryloft.LinkGreeting) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	var unknown []savoryloft.LinkGreeting
	for _, g := range greetings {
		if l.expired[g.Instance] < g.Incarnation {
			unknown = append(unknown, g)
		} else if l.members[g.Instance] == nil && g.Instance != l.Instance {
			l.storeMember(g).returned = true
		}
	}
	l.addMembers(unknown, nil)
}

// storeMember adds or replaces a member. The caller holds the lock.
func (l *Linker) storeMember(g savoryloft.LinkGreeting) *member {
	m := &member{greeting: g, hubOrder: hubOrder(g.Instance, g.Power), addedAt: savoryloft.Uptime()}
	l.members[g.Instance] = m
	l.topology.stale = true
	return m
}

// addMembers adds members and sends the new ones to all peers except from, which
// may be nil. An entry with a later incarnation replaces an existing member.
// Members that expired are not added again on a peer's word, since the peer may not
// have noticed their silence yet. The caller holds the lock.
func (l *Linker) addMembers(greetings []savoryloft.LinkGreeting, from *link) {
	var added []savoryloft.LinkGreeting
	for _, g := range greetings {
		linked := from != nil && g.Instance == from.peer.Instance
		if g.Instance == l.Instance || !linked && l.expired[g.Instance] >= g.Incarnation {
			continue
		}
		m := l.members[g.Instance]
		if m != nil && m.greeting.Incarnation >= g.Incarnation {
			continue
		}
		l.storeMember(g)
		added = append(added, g)
	}
	if len(added) == 0 {
		return
	}
	for _, k := range l.links {
		if k != from {
			k.send(savoryloft.LinkFrame{Members: added})
		}
	}
}

// isLive reports whether a member has sent a status within liveTimeout.
func (m *member) isLive(now time.Duration) bool {
	return m.lastStatusAt > 0 && now-m.lastStatusAt < liveTimeout
}

// isHubCandidate reports whether a member can be chosen as a hub. A newly added
// member can be chosen before its first status.
func (m *member) isHubCandidate(now time.Duration) bool {
	heardAt := m.lastStatusAt
	if !m.returned {
		heardAt = max(heardAt, m.addedAt)
	}
	return !m.leaving && heardAt > 0 && now-heardAt < 2*liveTimeout
}

// InstanceCount returns the number of instances of the deployment, including this
// one. In a large deployment it is the sum over the failure domains of the live
// instances that their hubs count, since instances without a link forget each
// other.
func (l *Linker) InstanceCount() int {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := savoryloft.Uptime()
	count := 0
	if t := l.currentTopology(now); t.hub && !t.mesh {
		count, _ = l.countInstances(t, now)
	} else if !t.mesh {
		count = l.toldInstances(now)
	}
	if count > 0 {
		return count
	}
	return len(l.members) + 1
}

// toldInstances returns the number of live instances according to the linked hubs,
// or 0 if none has sent it. The caller holds the lock.
func (l *Linker) toldInstances(now time.Duration) (count int) {
	for _, k := range l.links {
		if k.countedAt > 0 && now-k.countedAt < linkTimeout {
			count = max(count, k.instances)
		}
	}
	return count
}

// countInstances returns the numbers of live instances of the deployment and of
// this failure domain as this hub counts them. The caller holds the lock.
func (l *Linker) countInstances(t *topology, now time.Duration) (total, own int) {
	own = 1
	for _, m := range l.members {
		if m.greeting.FailureDomain == l.FailureDomain && m.isLive(now) {
			own++
		}
	}
	domains := map[string]int{}
	for name, k := range l.links {
		if domain := k.peer.FailureDomain; t.hubs[name] && domain != l.FailureDomain && now-k.countedAt < linkTimeout {
			domains[domain] = max(domains[domain], k.domainCount)
		}
	}
	total = own
	for _, n := range domains {
		total += n
	}
	return total, own
}

// hubCounts returns the result of countInstances, or zeros if this instance is no
// hub.
func (l *Linker) hubCounts() (total, own int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := savoryloft.Uptime()
	if t := l.currentTopology(now); t.hub && !t.mesh {
		return l.countInstances(t, now)
	}
	return 0, 0
}

// YieldedAt returns the uptime as of which the last status of an incarnation of an
// instance reported the lease as yielded, or 0 if it did not.
func (l *Linker) YieldedAt(instance string, incarnation int) time.Duration {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.members[instance]; m != nil && m.greeting.Incarnation == incarnation {
		return m.yielded
	}
	return 0
}

// Members returns the other known instances, sorted by name.
func (l *Linker) Members() []Member {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := savoryloft.Uptime()
	list := make([]Member, 0, len(l.members))
	for _, m := range l.members {
		list = append(list, Member{LinkGreeting: m.greeting, Live: m.isLive(now), Leaving: m.leaving, Leading: m.leading && m.isLive(now), Yielded: m.yielded})
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}
