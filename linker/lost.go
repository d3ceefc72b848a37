package linker

import (
	"time"

	"savoryloft.example/savoryloft"
)

// Instances that lose each other may both go on serving, for hours if a region is cut
// off. An instance that has lost others therefore registers in the member list again and
// again. One that is silent on the links, but registers, is lost and not gone.

// registration is the newest record of an instance in the member list.
type registration struct {
	offset    int
	renewedAt time.Duration // Uptime at which it was found to have changed; 0 if never.
}

// LostContact reports whether this instance has lost a member that may still serve
// requests, and should register again.
func (l *Linker) LostContact() bool {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := savoryloft.Uptime()
	return l.lostContact(l.currentTopology(now), now)
}

// lostContact is LostContact. The caller holds the lock.
func (l *Linker) lostContact(t *topology, now time.Duration) bool {
	if len(l.lost) > 0 || !t.hub && t.primary == "" && l.knownInstances > 1 {
		return true
	}
	for _, m := range l.members {
		if m.mayBeLost() && !m.isLive(now) {
			return true
		}
	}
	return false
}

// ObserveRegistrations processes the offsets of the instances' records in the member
// list, which has just been read. Lost members that have not registered for
// memberTimeout are gone.
func (l *Linker) ObserveRegistrations(offsets map[string]int) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := savoryloft.Uptime()
	for name, offset := range offsets {
		r, known := l.registrations[name]
		if known && r.offset != offset {
			r.renewedAt = now
		}
		r.offset = offset
		l.registrations[name] = r
	}
	for name, at := range l.lost {
		if now-max(at, l.registrations[name].renewedAt) > memberTimeout {
			delete(l.lost, name)
		}
	}
}

// lose records that a member is removed because it is silent. The caller holds the lock.
func (l *Linker) lose(m *member) {
	if m.mayBeLost() {
		l.lost[m.greeting.Instance] = m.lastStatusAt
	}
}

// mayBeLost reports whether a member that falls silent is lost, rather than stopped or
// not linked any more.
func (m *member) mayBeLost() bool { return m.lastStatusAt > 0 && !m.leaving && !m.unneeded }

// LoadShare returns the share of the upstreams' capacity that this instance may assume to
// be its own: 1 while it knows the loads of others, and an equal part while it has lost
// all of them.
func (l *Linker) LoadShare() float64 {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := savoryloft.Uptime()
	t := l.currentTopology(now)
	if !t.hub && t.primary != "" {
		return 1
	}
	if reached, known := l.reachedInstances(t, now); reached <= 1 && known > 1 {
		return 1 / float64(known)
	}
	return 1
}
