package launcher

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
)

const (
	membershipTick     = 500 * time.Millisecond  // Between checks whether to register or to read the member list.
	bootstrapSpread    = 400 * time.Millisecond  // Time within which all instances of a new deployment register.
	retryInterval      = time.Second             // After a failed call.
	memberReadInterval = 10 * time.Second        // Between reads of the member list by an instance that reads the log.
	renewInterval      = 10 * time.Second        // Between registrations while members are lost; a third of the time after which a lost member is gone.
	lostReadInterval   = 1500 * time.Millisecond // Between reads while members are lost, which learn of each other's quarantines only so.
	lostDelay          = time.Second             // Time without contact before it counts as lost; peers that start again are back by then.
	verdictInterval    = time.Second             // Between registrations because of new verdicts.
	quarantinesTimeout = 500 * time.Millisecond  // For the first read; the registration, and peers that wait for it, come after it.
	maxRecordAge       = 24 * time.Hour          // Of a record whose quarantines are taken over.
	maxSharedSuspects  = 500                     // In a record of the member list, which takes at most 256 KiB.
)

// membership keeps this instance in the member list in the log. It reads the list at the
// start, and regularly while this instance is a reader of the log. While this
// instance has lost others, it registers and reads regularly, so that they know of each
// other, and exchanges quarantines with them through the list. The readers of the log also
// keep the quarantines there for the case that all instances are lost at once.
type membership struct {
	*Launcher
	greeting     savoryloft.LinkGreeting
	registeredIn int // Era of the log in which this instance is registered; -1 before.
	registeredAt time.Time
	sentRevision int64          // Of the quarantines in the last record.
	sentVerdicts int64          // Revision of the verdicts in the last record.
	readAt       time.Time      // Of the last read; zero before.
	lostSince    time.Time      // Zero while no contact is lost.
	offsets      map[string]int // Of the records at the last read, by instance.
}

// memberRecord is the JSON form of a record of the member list.
type memberRecord struct {
	savoryloft.LinkGreeting
	sharedSuspicions
}

// sharedSuspicions is the part of a record with the quarantines that its instance knew.
type sharedSuspicions struct {
	WrittenAt  int `json:",omitempty"` // Unix ms.
	Suspicions savoryloft.Suspicions
}

// maintainMembership runs until ctx ends. It always returns nil.
func (l *Launcher) maintainMembership(ctx context.Context) error {
	d := l.Deployment
	m := &membership{Launcher: l, registeredIn: -1, greeting: savoryloft.LinkGreeting{
		Instance: d.Instance, Incarnation: l.incarnation, FailureDomain: d.FailureDomain, Address: d.Listen.Links,
		Power: d.Limits.CPUMillicores,
	}}
	if !d.Bootstrap { // Before this instance replaces its own record.
		m.tryTo("reading quarantines in the member list failed", m.readQuarantines(ctx))
	}
	close(l.quarantinesRead)
	m.tryTo("registration in the member list failed, retrying", m.register(ctx))
	if d.Bootstrap {
		savoryloft.Sleep(ctx, bootstrapSpread)
	}
	m.tryTo("reading the member list failed, retrying", m.read(ctx))
	l.membersKnown.Store(true)
	for ctx.Err() == nil {
		savoryloft.Sleep(ctx, membershipTick)
		if m.mustRegister() && !m.tryTo("registration in the member list failed, retrying", m.register(ctx)) ||
			m.mustRead() && !m.tryTo("reading the member list failed, retrying", m.read(ctx)) {
			savoryloft.Sleep(ctx, retryInterval)
		}
	}
	return nil
}

// tryTo logs an error, if there is one, and reports whether there is none.
func (m *membership) tryTo(failure string, err error) bool {
	if err != nil {
		m.Logger.V(1).Info(failure, "step", savoryloft.StepPeer, "error", err.Error())
	}
	return err == nil
}

// lost reports whether this instance has lost contact to others for lostDelay.
func (m *membership) lost() bool {
	if !m.linker.LostContact() {
		m.lostSince = time.Time{}
		return false
	}
	if m.lostSince.IsZero() {
		m.lostSince = time.Now()
	}
	return time.Since(m.lostSince) >= lostDelay
}

func (m *membership) mustRegister() bool {
	if m.registeredIn < 0 || m.registeredIn < m.watcher.Era() {
		return true
	}
	age := time.Since(m.registeredAt)
	if m.sentVerdicts != m.quarantine.VerdictRevision() && age >= verdictInterval && m.linker.IsReader() {
		return true
	}
	return m.lost() && (age >= renewInterval || m.sentRevision != m.quarantine.Revision())
}

func (m *membership) mustRead() bool {
	age := time.Since(m.readAt)
	return m.readAt.IsZero() || m.linker.IsReader() && age >= memberReadInterval || m.lost() && age >= lostReadInterval
}

func (m *membership) register(ctx context.Context) error {
	revision, verdicts := m.quarantine.Revision(), m.quarantine.VerdictRevision()
	record := memberRecord{m.greeting, sharedSuspicions{int(time.Now().UnixMilli()), m.quarantine.Suspicions(maxSharedSuspects)}}
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Annotate(err, "encode member record")
	}
	era, err := m.Log.Put(ctx, savoryloft.TopicMembers, m.greeting.Instance, value)
	if err != nil {
		return err
	}
	m.registeredIn, m.registeredAt, m.sentRevision, m.sentVerdicts = era, time.Now(), revision, verdicts
	return nil
}

// read reads the member list and passes it to the linker. The list also contains
// instances that no longer run; the linker drops those that do not answer.
func (m *membership) read(ctx context.Context) error {
	page, err := m.Log.Newest(ctx, savoryloft.TopicMembers)
	if err != nil {
		return err
	}
	m.readAt = time.Now()
	var list []savoryloft.LinkGreeting
	offsets := map[string]int{}
	for _, r := range page.Records {
		g, err := decodeMember(r)
		if err != nil {
			m.Logger.V(1).Info("skipped malformed member record", "step", savoryloft.StepPeer, "key", r.Key, "error", err.Error())
			continue
		}
		list = append(list, g)
		offsets[g.Instance] = r.Offset
		if before, known := m.offsets[g.Instance]; !known || before != r.Offset {
			m.mergeSuspicions(r)
		}
	}
	m.offsets = offsets
	m.linker.AddMembers(list)
	m.linker.ObserveRegistrations(offsets)
	return nil
}

// decodeMember decodes a record of the member list. The linker sends members on, and peers
// close links on which they receive malformed ones.
func decodeMember(r savoryloft.KeyedRecord) (savoryloft.LinkGreeting, error) {
	var g savoryloft.LinkGreeting
	if err := json.Unmarshal(r.Value, &g); err != nil {
		return g, errors.Trace(err)
	}
	if g.Instance != r.Key {
		return g, errors.Errorf("record names instance %q", g.Instance)
	}
	return g, g.Check()
}

// readQuarantines takes over the quarantines in the member list.
func (m *membership) readQuarantines(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, quarantinesTimeout)
	defer cancel()
	page, err := m.Log.Newest(ctx, savoryloft.TopicMembers)
	if err != nil {
		return err
	}
	for _, r := range page.Records {
		m.mergeSuspicions(r)
	}
	return nil
}

// mergeSuspicions takes over the quarantines in a record. Their remaining times count from
// when it was written.
func (m *membership) mergeSuspicions(r savoryloft.KeyedRecord) {
	var record sharedSuspicions
	err := json.Unmarshal(r.Value, &record)
	if err == nil {
		err = record.Suspicions.Check()
	}
	if err != nil {
		m.Logger.Info("skipped malformed quarantines in the member list", "step", savoryloft.StepPeer, "key", r.Key, "error", err.Error())
		return
	}
	age := max(m.clusterTime().Sub(time.UnixMilli(int64(record.WrittenAt))), 0)
	if age > maxRecordAge {
		return
	}
	s := record.Suspicions
	if age > lostReadInterval+membershipTick {
		s.Crashes = nil // Crashes are recent.
	}
	for i := range s.Verdicts {
		s.Verdicts[i].Remaining = max(s.Verdicts[i].Remaining-int(age/time.Millisecond), 0)
	}
	m.quarantine.Merge(s, m.greeting.Instance)
}
