package linker

import (
	"cmp"
	"slices"
	"time"

	"savoryloft.example/savoryloft"
)

// member is another instance that this one has heard of.
type member struct {
	greeting savoryloft.LinkGreeting
	order    uint64        // Its place in the order of hubs.
	heard    time.Duration // Uptime of the last status; 0 before the first.
	known    time.Duration // Uptime at which it was heard of.
	leaving  bool
	leading  bool
	yielded  time.Duration // Uptime after which its last status says that it has yielded; 0 when it does not.
	logLost  bool          // It can not read the log.
	dialling
}

// dialling is the state of attempts to reach an address.
type dialling struct {
	busy    bool
	next    time.Duration // Uptime of the next attempt.
	backoff time.Duration
}

// Member describes another instance.
type Member struct {
	savoryloft.LinkGreeting
	Live    bool
	Leaving bool
	Leading bool
	Yielded time.Duration // Uptime after which it said that it has yielded the lease; 0 when it does not say so.
}

// AddMembers takes in instances that were heard of elsewhere.
func (l *Linker) AddMembers(greetings []savoryloft.LinkGreeting) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addMembers(greetings, nil)
}

// addMembers passes on what is new. The caller holds the lock.
func (l *Linker) addMembers(greetings []savoryloft.LinkGreeting, from *link) {
	var fresh []savoryloft.LinkGreeting
	for _, g := range greetings {
		if g.Instance == l.Instance {
			continue
		}
		m := l.members[g.Instance]
		if m != nil && m.greeting.Incarnation >= g.Incarnation {
			continue
		}
		l.members[g.Instance] = &member{greeting: g, order: place(g.Instance, g.Power), known: savoryloft.Uptime()}
		l.topology.stale = true
		fresh = append(fresh, g)
	}
	if len(fresh) == 0 {
		return
	}
	for _, k := range l.links {
		if k != from {
			k.send(savoryloft.LinkFrame{Members: fresh})
		}
	}
}

// live tells whether a member has been heard from lately.
func (m *member) live(now time.Duration) bool { return m.heard > 0 && now-m.heard < liveLimit }

// present tells whether a member counts for the choice of hubs. One that was
// just heard of counts before its first status.
func (m *member) present(now time.Duration) bool {
	return !m.leaving && now-max(m.heard, m.known) < 2*liveLimit
}

// Members returns the other instances, in order of their names.
func (l *Linker) Members() []Member {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := savoryloft.Uptime()
	list := make([]Member, 0, len(l.members))
	for _, m := range l.members {
		list = append(list, Member{LinkGreeting: m.greeting, Live: m.live(now), Leaving: m.leaving, Leading: m.leading && m.live(now), Yielded: m.yielded})
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}
