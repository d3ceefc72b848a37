package launcher

import (
	"time"

	"savoryloft.example/savoryloft"
)

// source connects the links with the parts of an instance.
type source struct{ *Launcher }

// FillStatus implements linker.Source.
func (s source) FillStatus(st *savoryloft.LinkStatus) {
	st.Leading, st.Yielded = s.claimer.Leadership()
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

// age returns the age of a topic in whole milliseconds, rounded up; -1 when it
// is not known.
func (s source) age(t savoryloft.Topic) int {
	age, ok := s.watcher.Age(t)
	if !ok {
		return -1
	}
	return int(age/time.Millisecond) + 1
}

// Loads implements linker.Source.
func (s source) Loads() []savoryloft.LinkLoad { return s.placer.Loads(time.Now()) }

// UsageSince implements linker.Source.
func (s source) UsageSince(sent map[savoryloft.UsageCount]int, all bool) []savoryloft.UsageCount {
	return s.counter.Unsent(sent, all)
}

// RecordsSince implements linker.Source.
func (s source) RecordsSince(version, registryRead int) []savoryloft.ControlRecord {
	return s.watcher.RecordsSince(version, registryRead)
}

// ApplyRecords implements linker.Source.
func (s source) ApplyRecords(peer string, records []savoryloft.ControlRecord) {
	s.watcher.ApplyRelayed(peer, records)
}

// MergeUsage implements linker.Source.
func (s source) MergeUsage(counts []savoryloft.UsageCount) { s.counter.Merge(counts) }

// ApplyStatus implements linker.Source. What a peer knew when it answered, this
// instance knows too, if it has all that the peer had.
func (s source) ApplyStatus(_ string, st *savoryloft.LinkStatus, asOf time.Duration) {
	if asOf == 0 {
		return
	}
	if st.VersionAge >= 0 && s.watcher.Version() >= st.Version {
		s.watcher.MarkUpToDate(savoryloft.TopicConfiguration, asOf-time.Duration(st.VersionAge)*time.Millisecond)
	}
	if _, read := s.watcher.RegistryOffsets(); st.RegistryAge >= 0 && read >= st.RegistryOffset {
		s.watcher.MarkUpToDate(savoryloft.TopicRegistry, asOf-time.Duration(st.RegistryAge)*time.Millisecond)
	}
}

// MergeParts implements linker.Source.
func (s source) MergeParts(parts []savoryloft.HeldPart) []savoryloft.HeldPart {
	return s.placer.MergeParts(time.Now(), parts)
}

// LoadsChanged implements linker.Source.
func (s source) LoadsChanged() { s.peersDirty.Store(true) }

// refreshPeers feeds the placer with the peers' loads if they have changed.
func (l *Launcher) refreshPeers() {
	if l.peersDirty.Swap(false) {
		l.placer.SetPeerLoads(time.Now(), l.linker.PeerLoads(), l.linker.LoadDelay())
	}
}
