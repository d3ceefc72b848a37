package watcher

import (
	"slices"
	"strings"

	"savoryloft.example/savoryloft"
)

// evacuation is what is known of the evacuation of a failure domain. Those that have
// ended are kept, so that an earlier record of a peer does not start them again.
type evacuation struct {
	record  savoryloft.ControlRecord // Newest record that has taken effect; without a value once the evacuation has ended.
	removal int                      // Position of a removal that is deferred after a restore of the log; -1 if there is none.
}

func (e *evacuation) inForce() bool { return e.record.Value != "" }

// IsEvacuated reports whether a failure domain is evacuated: its upstreams must not get
// further requests.
func (w *Watcher) IsEvacuated(domain string) bool {
	m := w.evacuated.Load()
	return m != nil && (*m)[domain]
}

// EvacuatedDomains returns the number of failure domains that are evacuated.
func (w *Watcher) EvacuatedDomains() int {
	if m := w.evacuated.Load(); m != nil {
		return len(*m)
	}
	return 0
}

// Evacuations returns the newest record of each evacuation, for a peer that may not know
// them.
func (w *Watcher) Evacuations() []savoryloft.ControlRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var records []savoryloft.ControlRecord
	for _, e := range w.evacuations {
		records = append(records, e.record)
	}
	slices.SortFunc(records, func(a, b savoryloft.ControlRecord) int { return strings.Compare(a.Key, b.Key) })
	return records
}

// notifyEvacuations passes all evacuations on to the peers.
func (w *Watcher) notifyEvacuations(from string) {
	if w.OnEvacuation != nil {
		w.OnEvacuation(w.Evacuations(), from)
	}
}

// applyEvacuations applies the records of evacuations among those received, and reports
// whether an evacuation has started or ended. fromLog is whether this instance read the
// records from the log itself.
func (w *Watcher) applyEvacuations(records []savoryloft.ControlRecord, fromLog bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := false
	for _, r := range records {
		if savoryloft.Topic(r.Topic) != savoryloft.TopicConfiguration {
			continue
		}
		if domain, ok := w.Decoder.EvacuatedDomain(r.Key); ok {
			changed = w.applyEvacuation(domain, r, fromLog) || changed
		}
	}
	return changed
}

// applyEvacuation applies the record of an evacuation and reports whether the evacuation
// has started or ended. For a time after a restore the log may lack an evacuation that the
// operator has yet to write again, so a removal that is read there is deferred. A removal
// relayed by a peer is not: the peer has deferred it. The caller holds the lock.
func (w *Watcher) applyEvacuation(domain string, r savoryloft.ControlRecord, fromLog bool) bool {
	e := w.evacuations[domain]
	if e == nil {
		e = &evacuation{record: savoryloft.ControlRecord{Topic: r.Topic, Key: r.Key, Position: -1}, removal: -1}
		w.evacuations[domain] = e
	}
	switch {
	case r.Position <= e.record.Position:
		return false
	case r.Value == "" && e.inForce() && fromLog && w.inRewriteTime():
		e.removal = max(e.removal, r.Position)
		return false
	}
	was := e.inForce()
	e.record = r
	if r.Position > e.removal {
		e.removal = -1
	}
	if e.inForce() == was {
		return false
	}
	w.publishEvacuations()
	event := "evacuation ended"
	if !was {
		event = "evacuation started"
	}
	w.Logger.Info(event, "step", savoryloft.StepFollow, "domain", domain, "position", r.Position)
	return true
}

// endUnlistedEvacuations ends the evacuations that are not in page, which holds the newest
// record of each key, and reports whether one has ended.
func (w *Watcher) endUnlistedEvacuations(page savoryloft.RecordPage) bool {
	present := map[string]bool{}
	for _, r := range page.Records {
		present[r.Key] = len(r.Value) > 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := false
	end := savoryloft.Position(page.Era, page.End)
	for domain, e := range w.evacuations {
		if !e.inForce() || present[e.record.Key] || e.record.Position >= end {
			continue
		}
		r := e.record
		r.Value, r.Position = "", max(end-1, r.Position+1)
		changed = w.applyEvacuation(domain, r, true) || changed
	}
	return changed
}

// endDeferredEvacuations ends the evacuations that the operator has not written again in
// the time for it, and reports whether there was one.
func (w *Watcher) endDeferredEvacuations() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inRewriteTime() {
		return false
	}
	changed := false
	for domain, e := range w.evacuations {
		if e.removal >= 0 {
			r := e.record
			r.Value, r.Position = "", e.removal
			changed = w.applyEvacuation(domain, r, true) || changed
		}
	}
	return changed
}

// publishEvacuations makes the evacuations take effect. The caller holds the lock.
func (w *Watcher) publishEvacuations() {
	domains := map[string]bool{}
	for domain, e := range w.evacuations {
		if e.inForce() {
			domains[domain] = true
		}
	}
	w.evacuated.Store(&domains)
	w.publish()
}
