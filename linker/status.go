package linker

import (
	"time"

	"savoryloft.example/savoryloft"
)

// updateDelay returns the time for which requested updates are coalesced.
func (k *link) updateDelay() time.Duration {
	if k.linker.InMesh() {
		return meshUpdateDelay
	}
	return hubUpdateDelay
}

// newUpdate returns the loads that changed since the last frame with loads and the
// pending prompt parts.
func (k *link) newUpdate() *savoryloft.LoadUpdate {
	loads, _ := k.linker.loadsFor(k)
	return &savoryloft.LoadUpdate{Loads: k.changedLoads(loads), Parts: k.drainParts()}
}

// changedLoads returns the loads that differ from those last sent to the peer and
// stores loads as sent. A load that no longer exists is returned with zero values.
func (k *link) changedLoads(loads map[string]savoryloft.LinkLoad) []savoryloft.LinkLoad {
	var changed []savoryloft.LinkLoad
	for id, load := range loads {
		if k.loadsSent[id] != load {
			changed = append(changed, load)
		}
	}
	for id := range k.loadsSent {
		if _, ok := loads[id]; !ok {
			changed = append(changed, savoryloft.LinkLoad{Upstream: id})
		}
	}
	k.loadsSent = loads
	return changed
}

// drainParts returns the pending prompt parts and clears the list.
func (k *link) drainParts() []savoryloft.HeldPart {
	k.linker.mu.Lock()
	defer k.linker.mu.Unlock()
	parts := k.pendingParts
	k.pendingParts = nil
	return parts
}

// newStatus returns the next status for the peer.
func (k *link) newStatus() *savoryloft.LinkStatus {
	s := &savoryloft.LinkStatus{}
	k.mu.Lock()
	k.sequence++
	now := savoryloft.Uptime()
	s.Sequence, s.Echo = k.sequence, k.peerSequence
	if k.peerSequence > 0 {
		// Computed before the other fields are set, so that the receiver does not
		// underestimate their ages.
		s.EchoAge = int((now - k.peerSequenceAt) / time.Millisecond)
	}
	k.sentAt[k.sequence] = now
	delete(k.sentAt, k.sequence-maxSentTimes)
	k.mu.Unlock()
	l := k.linker
	l.Source.FillStatus(s)
	// In a mesh each instance sends only its own counts, except that the first status
	// on a link carries the counts of all instances.
	s.Usage = l.Source.UsageSince(k.usageSent, s.Sequence == 1 || !l.InMesh())
	loads, child := l.loadsFor(k)
	k.statusCount++
	s.Child, s.Whole = child, k.statusCount%fullLoadsInterval == 1
	if s.Whole {
		k.loadsSent = nil
	}
	s.Loads, s.Parts = k.changedLoads(loads), k.drainParts()
	return s
}

// loadsFor returns the loads to send to a peer, by upstream, and whether this
// instance relies on the peer to relay them.
func (l *Linker) loadsFor(k *link) (loads map[string]savoryloft.LinkLoad, child bool) {
	own := l.Source.Loads()
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.currentTopology(savoryloft.Uptime())
	sum := map[string]savoryloft.LinkLoad{}
	switch {
	case t.mesh:
	case !t.hub:
		child = t.primary == k.peer.Instance
		if !child {
			return sum, false
		}
	case k.child:
		sum = l.loadsExceptFrom(k)
	case t.hubs[k.peer.Instance]:
		l.addChildLoads(sum)
	default:
		return sum, false
	}
	for _, load := range own {
		addLoad(sum, load)
	}
	return sum, child
}

// loadsExceptFrom returns the sum of the loads received from all peers except k,
// for sending to k. The sum over all peers is cached, since it is the same for
// all instances whose loads this one relays. The caller holds the lock.
func (l *Linker) loadsExceptFrom(k *link) map[string]savoryloft.LinkLoad {
	if now := savoryloft.Uptime(); l.totalLoads == nil || now-l.totalLoadsAt > totalLoadsMaxAge {
		l.totalLoads, l.totalLoadsAt = l.sumLoads(nil), now
	}
	others := make(map[string]savoryloft.LinkLoad, len(l.totalLoads))
	for id, load := range l.totalLoads {
		received := k.loads[id]
		load.Running = max(load.Running-received.Running, 0)
		load.Prefill = max(load.Prefill-received.Prefill, 0)
		load.Tokens = max(load.Tokens-received.Tokens, 0)
		if load.Running+load.Prefill+load.Tokens > 0 {
			others[id] = load
		}
	}
	return others
}

// addChildLoads adds to sum the loads of the instances that rely on this one to
// relay them. The caller holds the lock.
func (l *Linker) addChildLoads(sum map[string]savoryloft.LinkLoad) {
	for _, k := range l.links {
		if !k.child {
			continue
		}
		for _, load := range k.loads {
			addLoad(sum, load)
		}
	}
}

// applyLoads stores changed loads received from the peer. Zero values remove a
// load. The caller holds the linker's lock.
func (k *link) applyLoads(loads []savoryloft.LinkLoad) {
	for _, load := range loads {
		if load.Running == 0 && load.Prefill == 0 && load.Tokens == 0 {
			delete(k.loads, load.Upstream)
			continue
		}
		k.loads[load.Upstream] = load
	}
}

// notifySource notifies Source of changed loads and passes it the received prompt
// parts. A hub outside a mesh relays the parts that Source returns.
func (k *link) notifySource(parts []savoryloft.HeldPart) {
	l := k.linker
	l.Source.LoadsChanged()
	if len(parts) == 0 {
		return
	}
	added := l.Source.MergeParts(parts)
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.currentTopology(savoryloft.Uptime()); t.hub && !t.mesh {
		l.queueParts(added, k)
	}
}

// handleUpdate processes an update from the peer. A hub outside a mesh relays
// changed loads on its other links.
func (k *link) handleUpdate(u *savoryloft.LoadUpdate) {
	l := k.linker
	l.mu.Lock()
	k.applyLoads(u.Loads)
	if t := l.currentTopology(savoryloft.Uptime()); t.hub && !t.mesh && len(u.Loads) > 0 {
		for _, other := range l.links {
			if other != k {
				other.requestUpdate()
			}
		}
	}
	l.mu.Unlock()
	k.notifySource(u.Parts)
}

// handleStatus processes a status from the peer. The side that did not dial
// replies immediately with its own status.
func (k *link) handleStatus(s *savoryloft.LinkStatus) {
	k.mu.Lock()
	now := savoryloft.Uptime()
	k.peerSequence, k.peerSequenceAt = s.Sequence, now
	asOf := k.sentAt[s.Echo]
	if asOf > 0 {
		asOf = min(asOf+time.Duration(s.EchoAge)*time.Millisecond, now)
	}
	k.mu.Unlock()
	l := k.linker
	l.mu.Lock()
	if s.Whole {
		clear(k.loads)
	}
	k.applyLoads(s.Loads)
	k.child = s.Child
	k.hasClockOffset, k.clockOffsetAt = true, time.Now()
	k.clockOffset = time.UnixMilli(int64(s.Wall)).Sub(k.clockOffsetAt.Round(0))
	if m := l.members[k.peer.Instance]; m != nil && m.greeting.Incarnation == k.peer.Incarnation {
		if m.leaving != s.Leaving || m.logUnreachable != s.LogLost {
			l.topology.stale = true
		}
		m.logUnreachable = s.LogLost
		m.lastStatusAt, m.leaving, m.leading = savoryloft.Uptime(), s.Leaving, s.Leading
		m.yielded = 0
		if s.Yielded {
			m.yielded = asOf
		}
	}
	if asOf > 0 && s.LeaderAge >= 0 {
		l.leaderSeenAt = max(l.leaderSeenAt, asOf-time.Duration(s.LeaderAge)*time.Millisecond)
	}
	l.mu.Unlock()
	if len(s.Usage) > 0 {
		l.Source.MergeUsage(s.Usage)
	}
	k.notifySource(s.Parts)
	l.Source.ApplyStatus(k.peer.Instance, s, asOf)
	k.resendIfBehind(s)
	if !k.dialed {
		k.requestStatus()
	}
}

// resendIfBehind sends the control records that the peer lacks: on its first
// status, and later when resendThreshold consecutive statuses show that records
// sent earlier have not arrived.
func (k *link) resendIfBehind(s *savoryloft.LinkStatus) {
	var own savoryloft.LinkStatus
	k.linker.Source.FillStatus(&own)
	if s.Version >= own.Version && s.RegistryRead >= own.RegistryOffset {
		k.behindCount = 0
		return
	}
	if k.behindCount++; k.behindCount < resendThreshold && s.Sequence > 1 {
		return
	}
	k.behindCount = 0
	if records := k.linker.Source.RecordsSince(s.Version, s.RegistryRead); len(records) > 0 {
		k.send(savoryloft.LinkFrame{Records: records})
	}
}

// clockStep returns by how much this instance's wall clock has been set back
// since clockOffset was measured; negative if it has been set forward.
func (k *link) clockStep() time.Duration {
	now := time.Now()
	return now.Sub(k.clockOffsetAt) - now.Round(0).Sub(k.clockOffsetAt.Round(0))
}
