package linker

import (
	"time"

	"savoryloft.example/savoryloft"
)

const (
	// recentPartsPeriod is the time for which queued prompt parts are kept. A link
	// that comes up is sent them, since the link that it replaces may have ended
	// before it had sent them.
	recentPartsPeriod = 5 * time.Second
	maxRecentParts    = 1024
	// maxPartsPerFrame bounds the bytes that parts take on a link in large
	// deployments. Older parts beyond it are dropped; they only make an estimate
	// worse.
	maxPartsPerFrame = 64
)

// timedPart is a prompt part that was queued at an uptime.
type timedPart struct {
	queuedAt time.Duration
	part     savoryloft.HeldPart
}

// relayLinks returns the links over which this instance has to pass on what it has
// found out or received: in a mesh all; from an instance that is not a hub that to its
// primary hub; from a hub those to the instances that rely on it and, unless another
// hub sent it, to the other hubs. from is the link on which it arrived; nil if it is
// this instance's own. The caller holds the lock.
func (l *Linker) relayLinks(from *link) []*link {
	t := l.currentTopology(savoryloft.Uptime())
	if from != nil && (t.mesh || !t.hub) {
		return nil
	}
	var links []*link
	fromHub := from != nil && t.hubs[from.peer.Instance]
	for name, k := range l.links {
		if k != from && (t.mesh || k.child || t.primary == name || t.hub && t.hubs[name] && !fromHub) {
			links = append(links, k)
		}
	}
	return links
}

// queueParts queues prompt parts on the links over which this instance has to pass
// them on, see relayLinks. from is the link on which they arrived; nil if they are this
// instance's own. The caller holds the lock.
func (l *Linker) queueParts(parts []savoryloft.HeldPart, from *link) {
	if len(parts) == 0 {
		return
	}
	if t := l.currentTopology(savoryloft.Uptime()); from != nil && (t.mesh || !t.hub) {
		return
	}
	for _, k := range l.relayLinks(from) {
		k.pendingParts = append(k.pendingParts, parts...)
	}
	now := savoryloft.Uptime()
	for _, p := range parts {
		l.recentParts = append(l.recentParts, timedPart{now, p})
	}
	l.pruneRecentParts(now)
}

// pruneRecentParts drops the parts that are too old or too many. The caller holds
// the lock.
func (l *Linker) pruneRecentParts(now time.Duration) {
	first := max(len(l.recentParts)-maxRecentParts, 0)
	for first < len(l.recentParts) && now-l.recentParts[first].queuedAt > recentPartsPeriod {
		first++
	}
	l.recentParts = l.recentParts[first:]
}

// queueRecentParts queues the parts of the last recentPartsPeriod on a link that
// has come up or has become the peer's primary one. The caller holds the lock.
func (l *Linker) queueRecentParts(k *link) {
	l.pruneRecentParts(savoryloft.Uptime())
	for _, p := range l.recentParts {
		k.pendingParts = append(k.pendingParts, p.part)
	}
}

// drainParts returns the pending prompt parts and clears the list.
func (k *link) drainParts() []savoryloft.HeldPart {
	l := k.linker
	l.mu.Lock()
	defer l.mu.Unlock()
	parts := k.pendingParts
	k.pendingParts = nil
	if excess := len(parts) - maxPartsPerFrame; excess > 0 && !l.currentTopology(savoryloft.Uptime()).mesh {
		parts = parts[excess:]
	}
	return parts
}
