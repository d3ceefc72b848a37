package linker

import (
	"time"

	"savoryloft.example/savoryloft"
)

// newUpdate returns the loads that changed since the last frame with loads and the
// pending prompt parts.
func (k *link) newUpdate() *savoryloft.LoadUpdate {
	loads, _ := k.linker.changedLoads(k)
	return &savoryloft.LoadUpdate{Loads: loads, Parts: k.drainParts()}
}

// newStatusFrame returns a frame with the next status for the peer, and the state of the
// registry if it has changed since the last one. It is taken after the registry's age, so
// that the age holds for it.
func (k *link) newStatusFrame() savoryloft.LinkFrame {
	status := k.newStatus()
	registry := k.linker.Source.RegistryState()
	if k.registrySent != nil && *k.registrySent == registry {
		return savoryloft.LinkFrame{Status: status}
	}
	k.registrySent = &registry
	return savoryloft.LinkFrame{Status: status, Registry: &registry}
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
	if s.Whole = s.Sequence%fullLoadsInterval == 1; s.Whole {
		k.encoder.reset()
	}
	s.Loads, s.Child = l.changedLoads(k)
	s.Parts = k.drainParts()
	s.Instances, s.DomainInstances = l.hubCounts()
	s.LeavingUpstreams, k.leaveCursor = l.Source.LeavingSince(k.leaveCursor)
	if scope, ok := l.usageScope(k, s.Child); ok {
		s.Usage, k.usageCursor = l.Source.UsageSince(k.usageCursor, scope)
	}
	return s
}

// usageScope returns which usage counts to send to a peer. ok is false if the peer
// is sent none. Only hubs can hold the lease, so in a large deployment an instance
// sends its own counts to its primary hub, which relays them to the other hubs. A
// hub whose link comes up may have started just now. The other hub of its failure
// domain and the instances that read the log send it the counts of all instances,
// among them those that were removed.
func (l *Linker) usageScope(k *link, child bool) (scope savoryloft.UsageScope, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.currentTopology(savoryloft.Uptime())
	switch {
	case !t.mesh && !t.hub:
		return savoryloft.OwnUsage, child
	case !t.mesh && !t.hubs[k.peer.Instance]:
		return savoryloft.OwnUsage, false
	case k.usageCursor == 0 && (t.mesh || k.peer.FailureDomain == l.FailureDomain || t.readerRank < readerCount):
		return savoryloft.AllUsage, true
	case t.mesh:
		return savoryloft.OwnUsage, true
	}
	return savoryloft.RelayedUsage, true
}

// notifySource notifies Source of changed loads and passes it the received prompt
// parts. It relays the parts that Source returns.
func (k *link) notifySource(parts []savoryloft.HeldPart) {
	l := k.linker
	l.Source.LoadsChanged()
	if len(parts) == 0 {
		return
	}
	added := l.Source.MergeParts(parts)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queueParts(added, k)
}

// handleUpdate processes an update from the peer.
func (k *link) handleUpdate(u *savoryloft.LoadUpdate) {
	l := k.linker
	l.mu.Lock()
	k.applyLoads(k.decoder.decode(u.Loads), false)
	l.mu.Unlock()
	k.notifySource(u.Parts)
}

// handleStatus processes a status from the peer. The side that did not dial
// replies immediately with its own status.
func (k *link) handleStatus(s *savoryloft.LinkStatus, registry *savoryloft.RegistryState) {
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
		k.decoder.names = nil
	}
	k.applyLoads(k.decoder.decode(s.Loads), s.Whole)
	k.setChild(s.Child)
	k.instances, k.domainCount, k.countedAt = s.Instances, s.DomainInstances, now
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
		l.Source.MergeUsage(s.Usage, s.Child)
	}
	if len(s.LeavingUpstreams) > 0 {
		l.Source.MergeLeaving(s.LeavingUpstreams)
	}
	k.notifySource(s.Parts)
	l.Source.ApplyStatus(k.peer.Instance, s, registry, asOf)
	k.resendIfBehind(s, registry)
	if !k.dialed {
		k.requestStatus()
	}
}

// resendIfBehind sends the control records that the peer may lack: on its first
// status, and later when resendThreshold consecutive statuses show that records
// sent earlier have not arrived.
func (k *link) resendIfBehind(s *savoryloft.LinkStatus, registry *savoryloft.RegistryState) {
	source := k.linker.Source
	var own savoryloft.LinkStatus
	source.FillStatus(&own)
	since, upToDate := s.RegistryRead, s.RegistryRead >= own.RegistryOffset
	if registry != nil {
		upToDate = *registry == source.RegistryState()
		if !upToDate {
			since = -1 // Any record may be missing.
		}
	}
	if s.Version >= own.Version && upToDate {
		k.behindCount = 0
		return
	}
	if k.behindCount++; k.behindCount < resendThreshold && s.Sequence > 1 {
		return
	}
	k.behindCount = 0
	if records := source.RecordsSince(s.Version, since); len(records) > 0 {
		k.send(savoryloft.LinkFrame{Records: records})
	}
}

// clockStep returns by how much this instance's wall clock has been set back
// since clockOffset was measured; negative if it has been set forward.
func (k *link) clockStep() time.Duration {
	now := time.Now()
	return now.Sub(k.clockOffsetAt) - now.Round(0).Sub(k.clockOffsetAt.Round(0))
}
