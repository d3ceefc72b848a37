package watcher

import (
	"slices"

	"savoryloft.example/savoryloft"
)

// An upstream that is about to leave may say so in its answers before the registry
// does, or while the log is down. From then on it counts as draining, until the
// registry shows a later start under its ID.

// MarkLeaving records that an upstream has said that it leaves.
func (w *Watcher) MarkLeaving(u savoryloft.RegisteredUpstream) {
	w.MergeLeaving([]savoryloft.LeavingUpstream{{Upstream: u.ID, StartedAt: u.StartedAtMs}})
}

// MergeLeaving records the upstreams that leave according to a peer.
func (w *Watcher) MergeLeaving(list []savoryloft.LeavingUpstream) {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := false
	for _, l := range list {
		e := w.entries[l.Upstream]
		if startedAt, ok := w.leaving[l.Upstream]; ok && startedAt >= l.StartedAt || e != nil && e.upstream.StartedAtMs > l.StartedAt {
			continue
		}
		w.leaving[l.Upstream] = l.StartedAt
		w.leavingOrder = append(slices.DeleteFunc(w.leavingOrder, func(id string) bool { return id == l.Upstream }), l.Upstream)
		w.leavingAdded++
		changed = true
		w.Logger.Info("upstream leaves", "step", savoryloft.StepFollow, "upstream", l.Upstream, "started", l.StartedAt)
	}
	if changed {
		w.publish()
	}
}

// LeavingSince returns the registered upstreams that have said that they leave and
// became known as such after a cursor, and the next cursor. The first cursor is 0.
func (w *Watcher) LeavingSince(cursor int) (list []savoryloft.LeavingUpstream, next int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	added := min(w.leavingAdded-cursor, len(w.leavingOrder))
	for _, id := range w.leavingOrder[len(w.leavingOrder)-max(added, 0):] {
		e := w.entries[id]
		if startedAt, ok := w.leaving[id]; ok && e != nil && e.value != nil {
			list = append(list, savoryloft.LeavingUpstream{Upstream: id, StartedAt: startedAt})
		}
	}
	return list, w.leavingAdded
}

// isLeaving reports whether an upstream has said that it leaves. The caller holds
// the lock.
func (w *Watcher) isLeaving(u savoryloft.RegisteredUpstream) bool {
	startedAt, ok := w.leaving[u.ID]
	return ok && u.StartedAtMs <= startedAt
}
