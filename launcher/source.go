package launcher

import (
	"math"
	"time"

	"savoryloft.example/savoryloft"
)

// linkSource implements linker.Source with the components of an instance.
type linkSource struct{ *Launcher }

// FillStatus implements linker.Source.
func (s linkSource) FillStatus(st *savoryloft.LinkStatus) {
	st.Leading, st.Yielded = s.claimer.Leadership()
	st.LeaderAge = -1
	if age, ok := s.linker.LeaderAge(); st.Leading {
		st.LeaderAge = 0
	} else if ok {
		st.LeaderAge = int(age/time.Millisecond) + 1
	}
	st.LogLost = s.watcher.LogUnreachable()
	st.Wall = int(time.Now().UnixMilli())
	st.Version = s.watcher.Version()
	st.VersionAge = s.age(savoryloft.TopicConfiguration)
	st.RegistryOffset, st.RegistryRead = s.watcher.RegistryPositions()
	st.Era = s.watcher.Era()
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
func (s linkSource) UsageSince(cursor int, scope savoryloft.UsageScope) (counts []savoryloft.UsageBatch, next int) {
	return s.counter.ChangedSince(cursor, scope)
}

// RecordsSince implements linker.Source.
func (s linkSource) RecordsSince(version, registryRead int) []savoryloft.ControlRecord {
	return s.watcher.RecordsSince(version, registryRead)
}

// ApplyRecords implements linker.Source.
func (s linkSource) ApplyRecords(peer string, records []savoryloft.ControlRecord) {
	s.watcher.ApplyRelayed(peer, records)
}

// MergeUsage implements linker.Source.
func (s linkSource) MergeUsage(counts []savoryloft.UsageBatch, relay bool) {
	s.counter.Merge(s.clusterTime(), counts, relay)
}

// RegistryState implements linker.Source.
func (s linkSource) RegistryState() savoryloft.RegistryState {
	return savoryloft.RegistryState{Digest: s.watcher.RegistryDigest()}
}

// ApplyStatus implements linker.Source. If this instance has at least the
// peer's configuration version, or the same registry, the ages that the peer
// reports hold for this instance's data too; they are counted back from asOf.
func (s linkSource) ApplyStatus(_ string, st *savoryloft.LinkStatus, registry *savoryloft.RegistryState, asOf time.Duration) {
	s.watcher.ObserveEra(st.Era)
	s.watcher.ObserveVersion(st.Version)
	if asOf == 0 {
		return
	}
	if st.VersionAge >= 0 && s.watcher.Version() >= st.Version {
		s.watcher.MarkUpToDate(savoryloft.TopicConfiguration, asOf-time.Duration(st.VersionAge)*time.Millisecond)
	}
	if st.RegistryAge >= 0 && s.hasRegistry(st, registry) {
		s.watcher.MarkUpToDate(savoryloft.TopicRegistry, asOf-time.Duration(st.RegistryAge)*time.Millisecond)
	}
}

// hasRegistry reports whether this instance's copy of the registry agrees with that of a
// peer. Builds that send no digest are compared by position.
func (s linkSource) hasRegistry(st *savoryloft.LinkStatus, registry *savoryloft.RegistryState) bool {
	if registry != nil {
		return *registry == s.RegistryState()
	}
	_, read := s.watcher.RegistryPositions()
	return read >= st.RegistryOffset
}

// MergeParts implements linker.Source.
func (s linkSource) MergeParts(parts []savoryloft.HeldPart) []savoryloft.HeldPart {
	return s.placer.MergeParts(time.Now(), parts)
}

// LeavingSince implements linker.Source.
func (s linkSource) LeavingSince(cursor int) (list []savoryloft.LeavingUpstream, next int) {
	return s.watcher.LeavingSince(cursor)
}

// MergeLeaving implements linker.Source.
func (s linkSource) MergeLeaving(list []savoryloft.LeavingUpstream) { s.watcher.MergeLeaving(list) }

// Detours implements linker.Source.
func (s linkSource) Detours() []savoryloft.Detour { return s.detours.Announcements() }

// MergeDetours implements linker.Source.
func (s linkSource) MergeDetours(list []savoryloft.Detour) { s.detours.Merge(list) }

// Evacuations implements linker.Source.
func (s linkSource) Evacuations() []savoryloft.ControlRecord { return s.watcher.Evacuations() }

// Suspicions implements linker.Source.
func (s linkSource) Suspicions() savoryloft.Suspicions { return s.quarantine.Suspicions(math.MaxInt) }

// MergeSuspicions implements linker.Source.
func (s linkSource) MergeSuspicions(peer string, received savoryloft.Suspicions) {
	s.quarantine.Merge(received, peer)
}

// DutyFacts implements linker.Source.
func (s linkSource) DutyFacts() savoryloft.DutyFacts { return s.claimer.Facts() }

// LearnDuties implements linker.Source.
func (s linkSource) LearnDuties(f savoryloft.DutyFacts) { s.claimer.Learn(f) }

// Limits implements linker.Source.
func (s linkSource) Limits() []savoryloft.UpstreamLimit { return s.throttler.Limits() }

// HandleLimits implements linker.Source.
func (s linkSource) HandleLimits(peer string, e savoryloft.LimitExchange) {
	s.throttler.Handle(peer, e)
}

// Origins implements linker.Source.
func (s linkSource) Origins() (o savoryloft.StreamOrigins, begun []savoryloft.OriginBatch) {
	return s.tracker.Known()
}

// MergeBegun implements linker.Source.
func (s linkSource) MergeBegun(begun []savoryloft.OriginBatch) { s.tracker.MergeBegun(begun) }

// MergeOrigins implements linker.Source.
func (s linkSource) MergeOrigins(peer string, o savoryloft.StreamOrigins) { s.tracker.Merge(peer, o) }

// LoadsChanged implements linker.Source.
func (s linkSource) LoadsChanged() { s.peerLoadsChanged.Store(true) }

// updatePeerLoads passes the peers' loads to the placer if they have changed.
func (l *Launcher) updatePeerLoads() {
	if l.peerLoadsChanged.Swap(false) {
		l.placer.SetPeerLoads(time.Now(), l.linker.PeerLoads(), l.linker.LoadDelay())
		l.placer.SetInstances(l.linker.InstanceCount())
	}
}
