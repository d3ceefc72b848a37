package watcher

import (
	"context"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strings"
	"time"

	"savoryloft.example/savoryloft"
)

// entry is one key of the registry.
type entry struct {
	position     int
	value        []byte                        // nil after the key was removed.
	upstream     savoryloft.RegisteredUpstream // According to the last value that was not malformed.
	usable       bool
	digest       int           // Of upstream; 0 unless usable.
	receivedAt   time.Duration // Uptime at which value was received.
	missingSince time.Duration // recoveredAt when the entry was found missing; 0 if it is present.
	removal      int           // Position of the removal that is deferred since then.
}

// newest returns the position of the newest record that is known of the entry.
func (e *entry) newest() int {
	if e.missingSince != 0 {
		return max(e.position, e.removal)
	}
	return e.position
}

// removeMissingLoop periodically applies the removals that were deferred, until ctx ends.
func (w *Watcher) removeMissingLoop(ctx context.Context) {
	for ctx.Err() == nil {
		savoryloft.Sleep(ctx, removalCheckInterval)
		if changed := w.removeMissing(); len(changed) > 0 && w.OnChange != nil {
			w.OnChange(changed, "")
		}
		if w.endDeferredEvacuations() {
			w.notifyEvacuations("")
		}
	}
}

// handleReadsStart records that this instance begins to read a topic continuously.
func (w *Watcher) handleReadsStart(t savoryloft.Topic) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t == savoryloft.TopicRegistry {
		w.registryReadsSince = savoryloft.Uptime()
	}
}

// handleReadFailure records that reading a topic failed.
func (w *Watcher) handleReadFailure(t savoryloft.Topic) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t == savoryloft.TopicConfiguration {
		w.logUnreachable = true
	} else {
		w.registryOutageAt = savoryloft.Uptime()
	}
}

// forgetReadFailure records that this instance does not read a topic any more, so
// that an earlier failure says nothing about the log.
func (w *Watcher) forgetReadFailure(t savoryloft.Topic) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t == savoryloft.TopicConfiguration {
		w.logUnreachable = false
	}
}

// handleReadSuccess records that reading a topic succeeded. It must be called
// before the records are applied, since a recovery of the log delays the removal
// of registry entries. An old copy alone is no sign of an outage: the peers that relay
// records may be away.
func (w *Watcher) handleReadSuccess(t savoryloft.Topic) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t != savoryloft.TopicRegistry {
		w.logUnreachable = false
		return
	}
	upToDateAt := w.upToDateAt[savoryloft.TopicRegistry]
	slow := upToDateAt > 0 && savoryloft.Uptime()-max(upToDateAt, w.registryReadsSince) > outageThreshold
	if slow || w.registryOutageAt > 0 {
		w.endOutage()
	}
}

// endOutage records that the log has recovered from an outage. The caller holds the lock.
func (w *Watcher) endOutage() {
	w.registryOutageAt, w.recoveredAt = 0, savoryloft.Uptime()
}

// applyEntry applies a registry record and reports whether it changed an entry.
// fromLog is whether this instance read the record from the log itself.
func (w *Watcher) applyEntry(r savoryloft.ControlRecord, fromLog bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !fromLog {
		w.registryRead = max(w.registryRead, r.Position)
	}
	e := w.entries[r.Key]
	if e != nil && !fromLog && r.Value == "" && e.missingSince != 0 && r.Position >= e.position {
		w.removeEntry(r.Key, e, max(r.Position, e.removal)) // Deferred here, but not by the peer.
		return true
	}
	if e != nil && (r.Position <= e.newest() || fromLog && w.isCopied(r.Position, e.newest())) {
		return false
	}
	if e == nil && (r.Value == "" || !fromLog && r.Position <= w.registryListed) {
		return false // The upstream was removed before this instance read the log.
	}
	if e == nil {
		e = &entry{}
		w.entries[r.Key] = e
	}
	if r.Value == "" {
		return w.applyRemoval(r, e, fromLog)
	}
	old := *e
	e.position = r.Position
	e.value, e.missingSince, e.receivedAt = []byte(r.Value), 0, savoryloft.Uptime()
	u, err := w.Decoder.Upstream(r.Key, e.value)
	e.usable, e.digest = err == nil, 0
	if err != nil {
		w.logMalformed(r, err)
	} else {
		e.upstream, e.digest = u, digest(u)
	}
	if startedAt, ok := w.leaving[r.Key]; ok && err == nil && u.StartedAtMs > startedAt {
		delete(w.leaving, r.Key)
	}
	if old.usable == e.usable && old.upstream == e.upstream && old.missingSince == 0 && old.value != nil && e.upstream.WarmUp == 0 {
		return false
	}
	w.registryChanged = max(w.registryChanged, r.Position)
	w.logEntry(r.Key, e)
	w.publish()
	return true
}

// applyRemoval applies the removal of an entry and reports whether it took effect.
// Upstreams cannot renew their entries while the log is down, so entries expire.
// A removal read from the log shortly after its recovery is therefore deferred for
// recoveryGrace. A removal relayed by a peer takes effect immediately, because the
// peer has already deferred it. The caller holds the lock.
func (w *Watcher) applyRemoval(r savoryloft.ControlRecord, e *entry, fromLog bool) bool {
	switch {
	case e.value == nil:
		e.position = r.Position
		return false
	case fromLog && w.inRecoveryGrace():
		e.missingSince, e.removal = w.recoveredAt, r.Position
		return false
	}
	w.removeEntry(r.Key, e, r.Position)
	return true
}

// inRecoveryGrace reports whether the log has recovered so recently that expired
// entries may still be renewed. The caller holds the lock.
func (w *Watcher) inRecoveryGrace() bool {
	return w.recoveredAt > 0 && savoryloft.Uptime()-w.recoveredAt < recoveryGrace
}

// removeEntry marks an entry as removed at a position and publishes the change. The
// caller holds the lock.
func (w *Watcher) removeEntry(key string, e *entry, position int) {
	e.value, e.usable, e.missingSince = nil, false, 0
	e.position = max(e.position, position)
	w.registryChanged = max(w.registryChanged, e.position)
	w.logEntry(key, e)
	w.publish()
}

// removeUnlisted removes the entries that are not in page, which holds the newest
// record of each key, and returns their removal records. During recoveryGrace it
// only marks them as missing.
func (w *Watcher) removeUnlisted(page savoryloft.RecordPage) []savoryloft.ControlRecord {
	present := map[string]bool{}
	for _, r := range page.Records {
		if len(r.Value) > 0 {
			present[r.Key] = true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var changed []savoryloft.ControlRecord
	end := savoryloft.Position(page.Era, page.End)
	for key, e := range w.entries {
		if e.value == nil || present[key] || e.position >= end || e.missingSince != 0 {
			continue
		}
		if w.inRecoveryGrace() {
			e.missingSince, e.removal = w.recoveredAt, end-1
			continue
		}
		w.removeEntry(key, e, end-1)
		changed = append(changed, removalRecord(key, e))
	}
	return changed
}

// removalRecord returns the record that relays the removal of an entry to peers.
func removalRecord(key string, e *entry) savoryloft.ControlRecord {
	return savoryloft.ControlRecord{Topic: int(savoryloft.TopicRegistry), Key: key, Position: e.position}
}

// removeMissing removes the entries that are still missing when recoveryGrace has
// passed since the log's recovery, and returns their removal records.
func (w *Watcher) removeMissing() []savoryloft.ControlRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var changed []savoryloft.ControlRecord
	now := savoryloft.Uptime()
	for key, e := range w.entries {
		if e.missingSince == 0 || now-e.missingSince < recoveryGrace {
			continue
		}
		w.removeEntry(key, e, e.removal)
		changed = append(changed, removalRecord(key, e))
	}
	return changed
}

func (w *Watcher) logEntry(key string, e *entry) {
	state := "ready"
	switch {
	case e.value == nil:
		state = "gone"
	case !e.usable:
		state = "malformed"
	case e.upstream.Draining:
		state = "draining"
	}
	w.Logger.Info("upstream changed", "step", savoryloft.StepFollow, "upstream", key, "state", state, "position", e.position,
		"address", e.upstream.Address, "domain", e.upstream.FailureDomain, "reclaimable", e.upstream.Reclaimable, "warm_up", e.upstream.WarmUp.Milliseconds(), "software", e.upstream.Version, "started", e.upstream.StartedAtMs)
}

// publish makes the usable entries available to Upstreams, sorted by ID. The
// caller holds the lock.
func (w *Watcher) publish() {
	services := map[string][]savoryloft.RegisteredUpstream{}
	w.registryDigest = 0
	for _, e := range w.entries {
		if e.usable && e.value != nil {
			w.registryDigest = addDigests(w.registryDigest, e.digest)
			u := e.current()
			if w.isLeaving(u) {
				u.Draining = true
			}
			u.Evacuated = w.IsEvacuated(u.FailureDomain)
			services[u.Service] = append(services[u.Service], u)
		}
	}
	for _, list := range services {
		slices.SortFunc(list, func(a, b savoryloft.RegisteredUpstream) int { return strings.Compare(a.ID, b.ID) })
	}
	w.services.Store(&services)
}

// digest returns a hash of what a registry entry says of an upstream, without what changes
// with time.
func digest(u savoryloft.RegisteredUpstream) int {
	h := fnv.New64a()
	fmt.Fprintf(h, "%q %q %q %q %q %d %t %t %d", u.ID, u.Service, u.Address, u.FailureDomain, u.Version, u.Slots, u.Draining, u.Reclaimable, u.StartedAtMs)
	return int(h.Sum64() & math.MaxInt64)
}

// addDigests adds digests modulo a power of two, so that their order does not matter.
func addDigests(a, b int) int { return int((uint64(a) + uint64(b)) & math.MaxInt64) }

// current returns the upstream according to its entry, with the end of its warm-up.
func (e *entry) current() savoryloft.RegisteredUpstream {
	u := e.upstream
	if u.WarmUp > 0 {
		u.WarmUpEnd = e.receivedAt + u.WarmUp
	}
	return u
}

// Upstream returns a registered upstream by its ID.
func (w *Watcher) Upstream(id string) (u savoryloft.RegisteredUpstream, ok bool) {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	if e := w.entries[id]; e != nil && e.usable && e.value != nil {
		return e.current(), true
	}
	return u, false
}

// MayReceive reports whether an upstream may still get requests: it is registered with the
// same start, is not about to leave and is not evacuated.
func (w *Watcher) MayReceive(u savoryloft.RegisteredUpstream) bool {
	if w.IsEvacuated(u.FailureDomain) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.entries[u.ID]
	return e != nil && e.usable && e.value != nil && e.upstream.StartedAtMs == u.StartedAtMs &&
		!e.upstream.Draining && !w.isLeaving(e.upstream)
}

// HasEnded reports whether the registry shows that the process of an upstream has ended:
// a later one has started under its ID or at its address, or its entry has lapsed although
// it had not said that it leaves.
func (w *Watcher) HasEnded(u savoryloft.RegisteredUpstream) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, e := range w.entries {
		isLater := e.value != nil && e.usable && e.upstream.StartedAtMs > u.StartedAtMs
		if isLater && (id == u.ID || e.upstream.Address == u.Address) {
			return true
		}
	}
	e := w.entries[u.ID]
	return e != nil && e.value == nil && !e.upstream.Draining && !w.isLeaving(e.upstream)
}
