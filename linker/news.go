package linker

import (
	"time"

	"savoryloft.example/savoryloft"
)

// updatePause returns the time for which updates that follow each other closely
// are taken together.
func (k *link) updatePause() time.Duration {
	if k.linker.InMesh() {
		return meshUpdatePause
	}
	return hubUpdatePause
}

// update returns what changed since the last frame with loads.
func (k *link) update() *savoryloft.LoadUpdate {
	loads, _ := k.linker.loadsFor(k)
	return &savoryloft.LoadUpdate{Loads: k.changedLoads(loads), Parts: k.takeParts()}
}

// changedLoads returns the loads that the peer does not know yet.
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

func (k *link) takeParts() []savoryloft.HeldPart {
	k.linker.mu.Lock()
	defer k.linker.mu.Unlock()
	parts := k.parts
	k.parts = nil
	return parts
}

// status returns the next status for the peer.
func (k *link) status() *savoryloft.LinkStatus {
	s := &savoryloft.LinkStatus{}
	k.mu.Lock()
	k.sequence++
	now := savoryloft.Uptime()
	s.Sequence, s.Echo = k.sequence, k.echo
	if k.echo > 0 {
		// Before the rest is filled in, which is then at least as young as this says.
		s.EchoAge = int((now - k.echoAt) / time.Millisecond)
	}
	k.sentAt[k.sequence] = now
	delete(k.sentAt, k.sequence-keptSending)
	k.mu.Unlock()
	l := k.linker
	l.Source.FillStatus(s)
	// In a mesh each instance tells its own counts; a new peer gets all.
	s.Usage = l.Source.UsageSince(k.usageSent, s.Sequence == 1 || !l.InMesh())
	loads, child := l.loadsFor(k)
	k.statuses++
	s.Child, s.Whole = child, k.statuses%wholeEvery == 1
	if s.Whole {
		k.loadsSent = nil
	}
	s.Loads, s.Parts = k.changedLoads(loads), k.takeParts()
	return s
}

// loadsFor returns the loads that a peer is told, by upstream, and whether this
// instance relies on the peer to pass them on.
func (l *Linker) loadsFor(k *link) (loads map[string]savoryloft.LinkLoad, child bool) {
	own := l.Source.Loads()
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.arrange(savoryloft.Uptime())
	sum := map[string]savoryloft.LinkLoad{}
	switch {
	case t.mesh:
	case !t.hub:
		child = t.primary == k.peer.Instance
		if !child {
			return sum, false
		}
	case k.child:
		sum = l.othersOf(k)
	case t.hubs[k.peer.Instance]:
		l.addChildren(sum)
	default:
		return sum, false
	}
	for _, load := range own {
		addLoad(sum, load)
	}
	return sum, child
}

// othersOf returns the loads of all other instances but those that a peer told
// itself. The sum over all peers is kept for a while, since it is the same for
// all instances that rely on this one. The caller holds the lock.
func (l *Linker) othersOf(k *link) map[string]savoryloft.LinkLoad {
	if now := savoryloft.Uptime(); l.total == nil || now-l.totalAt > totalEvery {
		l.total, l.totalAt = l.sumLoads(nil), now
	}
	others := make(map[string]savoryloft.LinkLoad, len(l.total))
	for id, load := range l.total {
		told := k.loads[id]
		load.Running = max(load.Running-told.Running, 0)
		load.Prefill = max(load.Prefill-told.Prefill, 0)
		load.Tokens = max(load.Tokens-told.Tokens, 0)
		if load.Running+load.Prefill+load.Tokens > 0 {
			others[id] = load
		}
	}
	return others
}

// addChildren adds the loads of the instances that rely on this one. The
// caller holds the lock.
func (l *Linker) addChildren(sum map[string]savoryloft.LinkLoad) {
	for _, k := range l.links {
		if !k.child {
			continue
		}
		for _, load := range k.loads {
			addLoad(sum, load)
		}
	}
}

// takeLoads takes in loads that changed. The caller holds the linker's lock.
func (k *link) takeLoads(loads []savoryloft.LinkLoad) {
	for _, load := range loads {
		if load.Running == 0 && load.Prefill == 0 && load.Tokens == 0 {
			delete(k.loads, load.Upstream)
			continue
		}
		k.loads[load.Upstream] = load
	}
}

// takeNews takes in parts that engines hold and passes on what was not known.
func (k *link) takeNews(parts []savoryloft.HeldPart) {
	l := k.linker
	l.Source.LoadsChanged()
	if len(parts) == 0 {
		return
	}
	fresh := l.Source.TakeParts(parts)
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.arrange(savoryloft.Uptime()); t.hub && !t.mesh {
		l.spreadParts(fresh, k)
	}
}

func (k *link) takeUpdate(u *savoryloft.LoadUpdate) {
	l := k.linker
	l.mu.Lock()
	k.takeLoads(u.Loads)
	if t := l.arrange(savoryloft.Uptime()); t.hub && !t.mesh && len(u.Loads) > 0 {
		for _, other := range l.links {
			if other != k {
				other.urge()
			}
		}
	}
	l.mu.Unlock()
	k.takeNews(u.Parts)
}

func (k *link) takeStatus(s *savoryloft.LinkStatus) {
	k.mu.Lock()
	now := savoryloft.Uptime()
	k.echo, k.echoAt = s.Sequence, now
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
	k.takeLoads(s.Loads)
	k.child = s.Child
	k.hasOffset, k.wallAt = true, time.Now()
	k.offset = time.UnixMilli(int64(s.Wall)).Sub(k.wallAt.Round(0))
	if m := l.members[k.peer.Instance]; m != nil && m.greeting.Incarnation == k.peer.Incarnation {
		if m.leaving != s.Leaving || m.logLost != s.LogLost {
			l.topology.stale = true
		}
		m.logLost = s.LogLost
		m.heard, m.leaving, m.leading = savoryloft.Uptime(), s.Leaving, s.Leading
		m.yielded = 0
		if s.Yielded {
			m.yielded = asOf
		}
	}
	if asOf > 0 && s.LeaderAge >= 0 {
		l.leaderAt = max(l.leaderAt, asOf-time.Duration(s.LeaderAge)*time.Millisecond)
	}
	l.mu.Unlock()
	if len(s.Usage) > 0 {
		l.Source.TakeUsage(s.Usage)
	}
	k.takeNews(s.Parts)
	l.Source.TakeStatus(k.peer.Instance, s, asOf)
	k.resendIfBehind(s)
	if !k.dialer {
		k.wake()
	}
}

// resendIfBehind sends what a peer lacks: at the first status, and later if
// statuses in a row show that what was passed on has not arrived.
func (k *link) resendIfBehind(s *savoryloft.LinkStatus) {
	var mine savoryloft.LinkStatus
	k.linker.Source.FillStatus(&mine)
	if s.Version >= mine.Version && s.RegistryRead >= mine.RegistryOffset {
		k.behind = 0
		return
	}
	if k.behind++; k.behind < resendAfter && s.Sequence > 1 {
		return
	}
	k.behind = 0
	if records := k.linker.Source.RecordsSince(s.Version, s.RegistryRead); len(records) > 0 {
		k.send(savoryloft.LinkFrame{Records: records})
	}
}

// wallShift returns by how much this instance's time of day was stepped since
// the offset was taken.
func (k *link) wallShift() time.Duration {
	now := time.Now()
	return now.Sub(k.wallAt) - now.Round(0).Sub(k.wallAt.Round(0))
}
