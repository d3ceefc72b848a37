package claimer

import (
	"time"

	"savoryloft.example/savoryloft"
)

// maxPendingAppends is the number of own appends whose send time is kept. A
// delayed append takes effect within seconds, so older ones are not needed.
const maxPendingAppends = 64

// stateMachine is one instance's view of the duties topic and its side of the
// lease protocol. Its methods do no I/O and take the current uptime as an
// argument, so that a test can explore every order of events.
type stateMachine struct {
	era         int                              // Era of the log; 0 until it is known.
	eraEnd      int                              // End of the topic at its first read in this era; offsets below it may come from the copy. -1 before that read.
	heldAtEra   bool                             // This instance held the lease when it learned of the era.
	claimableAt time.Duration                    // Uptime before which this instance must not claim, since a holder of an earlier era may still act.
	end         int                              // Offset after the last record applied.
	changedAt   time.Duration                    // Uptime of the last apply or skip, or of the first read as a candidate.
	caughtUpAt  time.Duration                    // Uptime of the last read; 0 when a candidate must read first.
	released    bool                             // The topic is empty or its last record is a release.
	ownsClaim   bool                             // The last claim is by this incarnation and has not been released.
	fence       int                              // Position of the last claim.
	deadline    time.Duration                    // Uptime at which this instance must stop acting as the holder.
	sequence    int                              // Sequence number of the last own append.
	sentAt      map[int]time.Duration            // Uptime before each own append, by sequence number.
	lastSentAt  time.Duration                    // Uptime before the last own append.
	inFlight    bool                             // An own append is waiting for its response.
	inDoubt     bool                             // The outcome of an own append is unknown.
	yieldSeenAt time.Duration                    // Uptime at which canClaim first found that the holder had yielded; 0 when it has not.
	everRead    bool                             // The topic has been read at least once.
	holder      holder                           // Author of the last claim.
	sizes       map[string]storedSize            // By service.
	partials    map[int]savoryloft.PartialCounts // By window; last renewal of another incarnation.
	figures     map[int]storedFigures            // Committed counts by window.
	lastWindow  int                              // Last window with committed counts; 0 when there is none.
}

// storedSize is the desired number of upstreams of a service.
type storedSize struct {
	upstreams int
	position  int // Of the record.
}

// storedFigures are the committed counts of a window by account.
type storedFigures struct {
	counts   map[string]int
	position int // Of the record.
}

// holder identifies an incarnation of an instance.
type holder struct {
	instance    string
	incarnation int
}

// held returns the lease time left; ok is false when this instance must not act
// as the holder.
func (s *stateMachine) held(now time.Duration) (left time.Duration, ok bool) {
	left = s.deadline - now
	return left, s.ownsClaim && left > 0
}

// observeEra processes the era of a response of the log, or one that a peer has
// received, and reports whether the era is new. All claims of earlier eras are void:
// the log may have lost any of them. This instance stops acting as the holder and
// reads the topic again. Holders that do not know of the new era yet may act for up
// to a TTL, so nobody claims before that time has passed. In the first era there are
// none, unless this instance has seen an earlier one.
func (s *stateMachine) observeEra(now time.Duration, era int, ttl time.Duration) bool {
	if era <= s.era {
		return false
	}
	_, held := s.held(now)
	s.heldAtEra = s.era > 0 && held
	if s.era > 0 || era > 1 {
		s.claimableAt = now + ttl
	}
	s.era, s.eraEnd, s.end = era, -1, 0
	s.ownsClaim, s.deadline, s.released, s.inDoubt = false, 0, false, false
	s.caughtUpAt, s.yieldSeenAt, s.holder = 0, 0, holder{}
	clear(s.sentAt)
	return true
}

// uncertainBefore returns the uptime before which an earlier holder may have
// reported windows whose committed counts the log has lost; 0 if that is excluded.
func (s *stateMachine) uncertainBefore() time.Duration {
	if s.heldAtEra {
		return 0
	}
	return s.claimableAt
}

// isNewer reports whether the record at an offset is newer than one at a known
// position. In a restored topic, the records before eraEnd may be those that were
// copied, with the offsets that they had before.
func (s *stateMachine) isNewer(offset, position int) bool {
	era, known := savoryloft.SplitPosition(position)
	return offset > known || era < s.era && s.eraEnd >= 0 && offset >= s.eraEnd
}

// beginAppend stores the send time of an append that is about to be sent and
// returns its sequence number.
func (s *stateMachine) beginAppend(now time.Duration) int {
	if s.sentAt == nil {
		s.sentAt = map[int]time.Duration{}
	}
	s.sequence++
	s.sentAt[s.sequence] = now
	s.lastSentAt = now
	s.inFlight = true
	delete(s.sentAt, s.sequence-maxPendingAppends)
	return s.sequence
}

// apply applies the record at an offset. An own record extends the deadline to a
// TTL after it was sent, if the last claim is also an own one and the send time
// has not been discarded.
func (s *stateMachine) apply(now time.Duration, offset int, d savoryloft.DutyRecord, own bool, ttl time.Duration) {
	s.advance(now, offset+1)
	s.released = d.Kind == savoryloft.DutyRecordKindRelease
	switch d.Kind {
	case savoryloft.DutyRecordKindClaim:
		s.ownsClaim, s.fence = own, savoryloft.Position(s.era, offset)
		s.holder = holder{d.Instance, d.Incarnation}
	case savoryloft.DutyRecordKindRelease:
		s.ownsClaim = false
	}
	if sent, ok := s.sentAt[d.Sequence]; ok && own && s.ownsClaim {
		s.deadline = max(s.deadline, sent+ttl)
	}
	if d.Figures != nil {
		s.storeFigures(d.Figures.Window, storedFigures{d.Figures.Counts, savoryloft.Position(s.era, offset)})
	}
	if !own {
		// This incarnation's own counts are at least as recent as those it has
		// appended.
		for _, p := range d.Partials {
			s.storePartial(p)
		}
	}
	if d.Size != nil {
		known, ok := s.sizes[d.Size.Service]
		if !ok || s.isNewer(offset, known.position) {
			s.storeSize(d.Size.Service, storedSize{d.Size.Upstreams, savoryloft.Position(s.era, offset)})
		}
	}
}

func (s *stateMachine) storeSize(service string, size storedSize) {
	if s.sizes == nil {
		s.sizes = map[string]storedSize{}
	}
	s.sizes[service] = size
}

// storeFigures stores the committed counts of a window. The first counts for a
// window are final; of later ones only the position is stored.
func (s *stateMachine) storeFigures(window int, f storedFigures) {
	if s.figures == nil {
		s.figures = map[int]storedFigures{}
	}
	if known, ok := s.figures[window]; ok {
		f = storedFigures{known.counts, max(known.position, f.position)}
	}
	s.figures[window] = f
	s.lastWindow = max(s.lastWindow, window)
	for w := range s.figures {
		if w < s.lastWindow-retainedWindows {
			delete(s.figures, w)
		}
	}
}

// lostRecord returns a record that the log may have lost in a restore, for the holder
// to append again: a size, or the counts of one of the last windows. ok is false if
// there is none.
func (s *stateMachine) lostRecord() (d savoryloft.DutyRecord, ok bool) {
	for service, size := range s.sizes {
		if era, _ := savoryloft.SplitPosition(size.position); era < s.era {
			return savoryloft.DutyRecord{
				Kind: savoryloft.DutyRecordKindSize, Size: &savoryloft.ServiceSize{Service: service, Upstreams: size.upstreams},
			}, true
		}
	}
	for w := s.lastWindow - restoredWindows + 1; w <= s.lastWindow; w++ {
		f, known := s.figures[w]
		if era, _ := savoryloft.SplitPosition(f.position); known && era < s.era {
			return savoryloft.DutyRecord{
				Kind: savoryloft.DutyRecordKindFigures, Figures: &savoryloft.WindowFigures{Window: w, Counts: f.counts},
			}, true
		}
	}
	return savoryloft.DutyRecord{}, false
}

// restoredWindows is the number of windows, up to the newest committed one, whose
// counts are appended again after a restore. Older ones are not reported any more.
const restoredWindows = 8

// storePartial stores the partial counts of a window.
func (s *stateMachine) storePartial(p savoryloft.PartialCounts) {
	if s.partials == nil {
		s.partials = map[int]savoryloft.PartialCounts{}
	}
	s.partials[p.Window] = p
	for w := range s.partials {
		if w < p.Window-retainedWindows {
			delete(s.partials, w)
		}
	}
}

// advance sets the end of the topic after a record was applied or skipped.
func (s *stateMachine) advance(now time.Duration, end int) {
	s.end = end
	s.changedAt = now
	s.yieldSeenAt = 0
	s.released = false
}

// markCaughtUp records a successful read, which settles the outcome of earlier
// appends. The first read after the start or after invalidate restarts the wait
// for the TTL.
func (s *stateMachine) markCaughtUp(now time.Duration) {
	if !s.everRead || s.caughtUpAt == 0 {
		s.everRead = true
		s.changedAt = now
		s.yieldSeenAt = 0
		s.released = s.released || s.end == 0
	}
	s.caughtUpAt = now
	s.inDoubt = false
}

// invalidate requires a new read before the next claim. It is called while this
// instance is no candidate and does not read the topic.
func (s *stateMachine) invalidate() { s.caughtUpAt = 0 }

// stepDown gives up the lease locally before a release is sent, since other
// instances may read the release long before its response arrives.
func (s *stateMachine) stepDown() {
	s.ownsClaim = false
	clear(s.sentAt)
}

// yield reports whether this instance has yielded: it does not hold the lease,
// and no append that it has sent so far can make it the holder. For this it
// discards the send times, so that appends which take effect late do not extend
// the deadline.
func (s *stateMachine) yield(now time.Duration) bool {
	if _, held := s.held(now); held || s.inFlight || s.inDoubt {
		return false
	}
	clear(s.sentAt)
	return true
}

// canClaim reports whether the holder's lease time is known to have ended, at
// least delay ago: the holder has released the lease, a TTL has passed since its
// last record was read, or the holder has yielded. yieldedAt is an uptime after
// which the holder reported its yield, or 0. A yield that was reported before the
// holder's last record was read is ignored, since the holder may have appended
// that record after the report.
func (s *stateMachine) canClaim(now, ttl, delay, yieldedAt time.Duration) bool {
	if s.caughtUpAt == 0 || s.inDoubt || now < s.claimableAt+delay {
		return false
	}
	switch {
	case s.released:
		return now-s.changedAt >= delay
	case yieldedAt > s.changedAt:
		if s.yieldSeenAt == 0 {
			s.yieldSeenAt = now
		}
		return now-s.yieldSeenAt >= delay
	}
	return now-s.changedAt >= ttl+delay
}
