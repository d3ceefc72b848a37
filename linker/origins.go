package linker

import "savoryloft.example/savoryloft"

// The origins of streams are kept by all instances of a mesh, and by the hubs of a larger
// deployment, which the others ask.

// SendOrigins sends where streams began, or asks for it, to the instances that keep it.
func (l *Linker) SendOrigins(o savoryloft.StreamOrigins) {
	l.sendToHubs(savoryloft.LinkFrame{Origins: &o})
}

// SendBegun sends streams that the log need not hold to the instances that keep them.
func (l *Linker) SendBegun(begun []savoryloft.OriginBatch) {
	l.sendToHubs(savoryloft.LinkFrame{Begun: begun})
}

// IsIsolated reports whether this instance has no link to another one that keeps the
// origins of its streams.
func (l *Linker) IsIsolated() bool {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.currentTopology(savoryloft.Uptime())
	for name := range l.links {
		if t.hubs[name] {
			return false
		}
	}
	return true
}

// BroadcastOrigins sends policies on all links except the one to a peer.
func (l *Linker) BroadcastOrigins(o savoryloft.StreamOrigins, except string) {
	l.sendToAll(savoryloft.LinkFrame{Origins: &o}, except)
}

// ReplyOrigins sends origins to one peer.
func (l *Linker) ReplyOrigins(peer string, o savoryloft.StreamOrigins) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.links[peer]; k != nil {
		k.send(savoryloft.LinkFrame{Origins: &o})
	}
}

// sendKnownOrigins sends a peer whose link comes up what this instance knows. Only
// instances that keep the origins of all streams get these.
func (k *link) sendKnownOrigins() {
	o, begun := k.linker.Source.Origins()
	if !k.linker.isHub(k.peer.Instance) {
		o.Batches, begun = nil, nil
	}
	f := savoryloft.LinkFrame{Begun: begun}
	if len(o.Batches)+len(o.Policies) > 0 {
		f.Origins = &o
	}
	if f.Origins != nil || len(f.Begun) > 0 {
		k.send(f)
	}
}

// handleOrigins processes origins from the peer.
func (k *link) handleOrigins(o savoryloft.StreamOrigins) {
	k.linker.Source.MergeOrigins(k.peer.Instance, o)
	if len(o.Batches) > 0 {
		k.relayToHubs(savoryloft.LinkFrame{Origins: &savoryloft.StreamOrigins{Batches: o.Batches}})
	}
}

// relayToHubs sends the other hubs what a hub has received from an instance that relies on
// it.
func (k *link) relayToHubs(f savoryloft.LinkFrame) {
	l := k.linker
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.currentTopology(savoryloft.Uptime())
	if t.mesh || !k.child {
		return
	}
	for name, other := range l.links {
		if t.hubs[name] && name != k.peer.Instance {
			other.send(f)
		}
	}
}
