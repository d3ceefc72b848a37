package launcher

import (
	"time"

	"savoryloft.example/savoryloft"
)

// linkSource implements linker.Source with the components of an instance.
type linkSource struct{ *Launcher }

// FillStatus implements linker.Source.
func (s linkSource) FillStatus(st *savoryloft.LinkStatus) {
	st.Leading, st.Yielded = s.claimer.Standing()
	st.LeaderAge = -1
	if age, ok := s.linker.LeaderAge(); st.Leading {
		st.LeaderAge = 0
	} else if ok {
		st.LeaderAge = int(age/time.Millisecond) + 1
	}
	st.LogLost = s.watcher.LogLost()
	st.Wall = int(time.Now().UnixMilli())
	st.Version = s.watcher.Version()
	st.VersionAge = s.age(savoryloft.TopicConfiguration)
	st.RegistryOffset, st.RegistryRead = s.watcher.RegistryOffsets()
	st.RegistryAge = s.age(savoryloft.TopicRegistry)
	st.Leaving = s.stopping.Load()
}

// age returns the age of a topic's data in milliseconds, rounded up, or -1 when
// it is unknown.
func (s linkSource) age(t savoryloft.Topic) int {
	age, ok := s.watcher.Age(t)
	if !ok {
		return -1
	}
	return int(age/time.Millisecond) + 1
}

// Loads implements linker.Source.
func (s linkSource) Loads() []savoryloft.LinkLoad { return s.placer.Loads(time.Now()) }

// UsageSince implements linker.Source.
func (s linkSource) UsageSince(sent map[savoryloft.UsageCount]int, all bool) []savoryloft.UsageCount {
	return s.counter.Since(sent, all)
}

// RecordsSince implements linker.Source.
func (s linkSource) RecordsSince(version, registryRead int) []savoryloft.ControlRecord {
	return s.watcher.RecordsSince(version, registryRead)
}

// TakeRecords implements linker.Source.
func (s linkSource) TakeRecords(peer string, records []savoryloft.ControlRecord) {
	s.watcher.Take(peer, records)
}

// TakeUsage implements linker.Source.
func (s linkSource) TakeUsage(counts []savoryloft.UsageCount) { s.counter.Merge(counts) }

// TakeStatus implements linker.Source. If this instance has at least the
// peer's configuration version and registry offset, the ages that the peer
// reports hold for this instance's data too; they are counted back from asOf.
func (s linkSource) TakeStatus(_ string, st *savoryloft.LinkStatus, asOf time.Duration) {
	if asOf == 0 {
		return
	}
	if st.VersionAge >= 0 && s.watcher.Version() >= st.Version {
		s.watcher.Confirm(savoryloft.TopicConfiguration, asOf-time.Duration(st.VersionAge)*time.Millisecond)
	}
	if _, read := s.watcher.RegistryOffsets(); st.RegistryAge >= 0 && read >= st.RegistryOffset {
		s.watcher.Confirm(savoryloft.TopicRegistry, asOf-time.Duration(st.RegistryAge)*time.Millisecond)
	}
}

// TakeParts implements linker.Source.
func (s linkSource) TakeParts(parts []savoryloft.HeldPart) []savoryloft.HeldPart {
	return s.placer.TakeParts(time.Now(), parts)
}

// LoadsChanged implements linker.Source.
func (s linkSource) LoadsChanged() { s.peerLoadsChanged.Store(true) }

// updatePeerLoads passes the peers' loads to the placer if they have changed.
func (l *Launcher) updatePeerLoads() {
	if l.peerLoadsChanged.Swap(false) {
		l.placer.SetPeers(time.Now(), l.linker.PeerLoads(), l.linker.LoadDelay())
	}
}
