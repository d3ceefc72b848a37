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

// AddMembers adds instances that were discovered outside the links.
func (l *Linker) AddMembers(greetings []savoryloft.LinkGreeting) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addMembers(greetings, nil)
}

// addMembers adds members and sends the new ones to all peers except from, which
// may be nil. An entry with a later incarnation replaces an existing member. The
// caller holds the lock.
func (l *Linker) addMembers(greetings []savoryloft.LinkGreeting, from *link) {
	var added []savoryloft.LinkGreeting
	for _, g := range greetings {
		if g.Instance == l.Instance {
			continue
		}
		m := l.members[g.Instance]
		if m != nil && m.greeting.Incarnation >= g.Incarnation {
			continue
		}
		l.members[g.Instance] = &member{greeting: g, hubOrder: hubOrder(g.Instance, g.Power), addedAt: savoryloft.Uptime()}
		l.topology.stale = true
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
	return !m.leaving && now-max(m.lastStatusAt, m.addedAt) < 2*liveTimeout
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
