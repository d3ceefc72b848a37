package watcher

import (
	"context"
	"slices"
	"strings"
	"time"

	"savoryloft.example/savoryloft"
)

// entry is one key of the registry.
type entry struct {
	offset   int
	value    []byte // nil after the key was dropped.
	upstream savoryloft.RegisteredUpstream
	usable   bool
	absentAt time.Duration // Uptime at which it was found missing after an outage; 0 when it is not.
}

// sweep drops entries that are still missing a while after the log's return.
func (w *Watcher) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		savoryloft.Sleep(ctx, sweepInterval)
		if changed := w.dropAbsent(); len(changed) > 0 && w.Changed != nil {
			w.Changed(changed, "")
		}
	}
}

// noteFailure notes that a topic could not be read.
func (w *Watcher) noteFailure(t savoryloft.Topic) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t == savoryloft.TopicConfiguration {
		w.logLost = true
	} else {
		w.registryLost = true
	}
}

// noteReturn notes a return of the log before what was read is applied.
func (w *Watcher) noteReturn(t savoryloft.Topic) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t != savoryloft.TopicRegistry {
		w.logLost = false
		return
	}
	known := w.knownAt[savoryloft.TopicRegistry]
	if now := savoryloft.Uptime(); w.registryLost || known > 0 && now-known > outageAfter {
		w.registryLost = false
		w.returnedAt = now
	}
}

func (w *Watcher) applyEntry(r savoryloft.ControlRecord, own bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !own {
		w.registryRead = max(w.registryRead, r.Offset)
	}
	e := w.entries[r.Key]
	if e != nil && r.Offset <= e.offset {
		return false
	}
	if r.Value == "" && e == nil {
		return false
	}
	if e == nil {
		e = &entry{}
		w.entries[r.Key] = e
	}
	before := *e
	e.offset = r.Offset
	if r.Value == "" {
		return w.dropEntry(r.Key, e, own)
	}
	e.value, e.absentAt = []byte(r.Value), 0
	u, err := w.Decoder.Upstream(r.Key, e.value)
	e.usable = err == nil
	if err != nil {
		w.logMalformed(r, err)
	}
	e.upstream = u
	if before.usable == e.usable && before.upstream == e.upstream && before.absentAt == 0 && before.value != nil {
		return false
	}
	w.registryTop = max(w.registryTop, r.Offset)
	w.logEntry(r.Key, e)
	w.publish()
	return true
}

// dropEntry takes in that a key was dropped. Entries lapse while the log is
// away, so shortly after its return one that this instance reads as dropped is
// kept for a while. A peer that passes a drop on has waited already.
func (w *Watcher) dropEntry(key string, e *entry, own bool) bool {
	if e.value == nil {
		return false
	}
	if own && w.justReturned() {
		e.absentAt = w.returnedAt
		return false
	}
	w.remove(key, e, e.offset)
	return true
}

// justReturned tells whether lapsed entries may still come back. The caller
// holds the lock.
func (w *Watcher) justReturned() bool {
	return w.returnedAt > 0 && savoryloft.Uptime()-w.returnedAt < returnGrace
}

// remove makes an entry one that is gone. The caller holds the lock.
func (w *Watcher) remove(key string, e *entry, offset int) {
	e.value, e.usable, e.absentAt = nil, false, 0
	e.offset = max(e.offset, offset)
	w.registryTop = max(w.registryTop, e.offset)
	w.logEntry(key, e)
	w.publish()
}

// dropMissing takes in that the topic no longer holds some entries.
func (w *Watcher) dropMissing(page savoryloft.RecordPage) []savoryloft.ControlRecord {
	present := map[string]bool{}
	for _, r := range page.Records {
		if len(r.Value) > 0 {
			present[r.Key] = true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var changed []savoryloft.ControlRecord
	for key, e := range w.entries {
		if e.value == nil || present[key] || e.offset >= page.End || e.absentAt != 0 {
			continue
		}
		if w.justReturned() {
			e.absentAt = w.returnedAt
			continue
		}
		w.remove(key, e, page.End-1)
		changed = append(changed, goneRecord(key, e))
	}
	return changed
}

func goneRecord(key string, e *entry) savoryloft.ControlRecord {
	return savoryloft.ControlRecord{Topic: int(savoryloft.TopicRegistry), Key: key, Offset: e.offset}
}

// dropAbsent drops entries that are still missing a while after the log's
// return.
func (w *Watcher) dropAbsent() []savoryloft.ControlRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var changed []savoryloft.ControlRecord
	now := savoryloft.Uptime()
	for key, e := range w.entries {
		if e.absentAt == 0 || now-e.absentAt < returnGrace {
			continue
		}
		w.remove(key, e, e.offset)
		changed = append(changed, goneRecord(key, e))
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
	w.Logger.Info("upstream changed", "step", savoryloft.StepFollow, "upstream", key, "state", state, "offset", e.offset,
		"address", e.upstream.Address, "domain", e.upstream.FailureDomain, "reclaimable", e.upstream.Reclaimable)
}

// publish makes the usable entries visible. The caller holds the lock.
func (w *Watcher) publish() {
	services := map[string][]savoryloft.RegisteredUpstream{}
	for _, e := range w.entries {
		if e.usable && e.value != nil {
			services[e.upstream.Service] = append(services[e.upstream.Service], e.upstream)
		}
	}
	for _, list := range services {
		slices.SortFunc(list, func(a, b savoryloft.RegisteredUpstream) int { return strings.Compare(a.ID, b.ID) })
	}
	w.services.Store(&services)
}
