package linker

import "savoryloft.example/savoryloft"

// The origins of streams are kept by all instances of a mesh, and by the hubs of a larger
// deployment, which the others ask.

// SendOrigins sends where streams began, or asks for it, to the instances that keep it.
func (l *Linker) SendOrigins(o savoryloft.StreamOrigins) {
	l.sendToHubs(savoryloft.LinkFrame{Origins: &o})
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
	o := k.linker.Source.Origins()
	if !k.linker.isHub(k.peer.Instance) {
		o.Batches = nil
	}
	if len(o.Batches)+len(o.Policies) > 0 {
		k.send(savoryloft.LinkFrame{Origins: &o})
	}
}

// handleOrigins processes origins from the peer. A hub relays those of the instances that
// rely on it to the other hubs.
func (k *link) handleOrigins(o savoryloft.StreamOrigins) {
	l := k.linker
	l.Source.MergeOrigins(k.peer.Instance, o)
	if len(o.Batches) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.currentTopology(savoryloft.Uptime())
	if t.mesh || !k.child {
		return
	}
	for name, other := range l.links {
		if t.hubs[name] && name != k.peer.Instance {
			other.send(savoryloft.LinkFrame{Origins: &savoryloft.StreamOrigins{Batches: o.Batches}})
		}
	}
}
