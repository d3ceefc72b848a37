package claimer

import (
	"time"

	"savoryloft.example/savoryloft"
)

const keptSendings = 64 // Own appends whose time is remembered; a delayed one arrives within seconds.

// term holds what one instance knows of the duties topic and its own part in
// it. Its methods take the uptime as an argument and do nothing but decide.
type term struct {
	end        int                   // Offset behind the last record known.
	changedAt  time.Duration         // Uptime after which the last record was read.
	readAt     time.Duration         // Uptime of the last read to the end; 0 when knowledge may be old.
	free       bool                  // The topic is empty or ends with a release.
	holding    bool                  // The last claim is this incarnation's.
	fence      int                   // Offset of the last claim.
	deadline   time.Duration         // Uptime until which this instance may act.
	sequence   int                   // Number of the last own append.
	sentAt     map[int]time.Duration // Uptime before each own append, by its number.
	lastSent   time.Duration
	underway   bool           // An own append was sent and not answered.
	inDoubt    bool           // An own append may have or may yet take effect.
	yieldSeen  time.Duration  // Uptime at which the holder was first seen to have yielded since its last record; 0 when it was not.
	everRead   bool           // The topic was read at least once.
	holder     holder         // Who made the last claim.
	sizes      map[string]int // Upstreams wanted, by service.
	partials   map[int]savoryloft.PartialCounts
	figures    map[int]map[string]int
	lastWindow int
}

// holder is an incarnation of an instance.
type holder struct {
	instance    string
	incarnation int
}

// held returns the time for which this instance may still act.
func (t *term) held(now time.Duration) (left time.Duration, ok bool) {
	left = t.deadline - now
	return left, t.holding && left > 0
}

// sending notes that an append is about to be sent and returns its number.
func (t *term) sending(now time.Duration) int {
	if t.sentAt == nil {
		t.sentAt = map[int]time.Duration{}
	}
	t.sequence++
	t.sentAt[t.sequence] = now
	t.lastSent = now
	t.underway = true
	delete(t.sentAt, t.sequence-keptSendings)
	return t.sequence
}

// observe takes in the record at an offset. An own record extends the lease
// from before it was sent.
func (t *term) observe(now time.Duration, offset int, d savoryloft.DutyRecord, mine bool, ttl time.Duration) {
	t.skipTo(now, offset+1)
	t.free = d.Kind == savoryloft.DutyRecordKindRelease
	switch d.Kind {
	case savoryloft.DutyRecordKindClaim:
		t.holding, t.fence = mine, offset
		t.holder = holder{d.Instance, d.Incarnation}
	case savoryloft.DutyRecordKindRelease:
		t.holding = false
	}
	if sent, ok := t.sentAt[d.Sequence]; ok && mine && t.holding {
		t.deadline = max(t.deadline, sent+ttl)
	}
	if d.Figures != nil {
		t.keepFigures(d.Figures)
	}
	if !mine {
		// What this incarnation wrote itself, it knows better.
		for _, p := range d.Partials {
			t.keepPartial(p)
		}
	}
	if d.Size != nil {
		if t.sizes == nil {
			t.sizes = map[string]int{}
		}
		t.sizes[d.Size.Service] = d.Size.Upstreams
	}
}

// keepFigures remembers the figures of a window. The first in the topic stand.
func (t *term) keepFigures(f *savoryloft.WindowFigures) {
	if t.figures == nil {
		t.figures = map[int]map[string]int{}
	}
	if _, ok := t.figures[f.Window]; !ok {
		t.figures[f.Window] = f.Counts
	}
	t.lastWindow = max(t.lastWindow, f.Window)
	for w := range t.figures {
		if w < t.lastWindow-keptWindowCount {
			delete(t.figures, w)
		}
	}
}

// keepPartial remembers the counts of a window without figures.
func (t *term) keepPartial(p savoryloft.PartialCounts) {
	if t.partials == nil {
		t.partials = map[int]savoryloft.PartialCounts{}
	}
	t.partials[p.Window] = p
	for w := range t.partials {
		if w < p.Window-keptWindowCount {
			delete(t.partials, w)
		}
	}
}

// skipTo notes that the topic reaches up to an offset.
func (t *term) skipTo(now time.Duration, end int) {
	t.end = end
	t.changedAt = now
	t.yieldSeen = 0
	t.free = false
}

// caughtUp notes that the topic was read to its end.
func (t *term) caughtUp(now time.Duration) {
	if !t.everRead || t.readAt == 0 {
		t.everRead = true
		t.changedAt = now
		t.yieldSeen = 0
		t.free = t.free || t.end == 0
	}
	t.readAt = now
	t.inDoubt = false
}

// forget notes that another instance holds the lease, so that a later
// candidacy starts with a new read.
func (t *term) forget() { t.readAt = 0 }

// resign ends the own term before a release is sent: the release may be read
// elsewhere long before its answer arrives here.
func (t *term) resign() {
	t.holding = false
	clear(t.sentAt)
}

// yield tells whether this instance neither holds the lease nor can come to hold
// it by what it has sent so far. From then on it takes no hold from records sent
// before that appear late.
func (t *term) yield(now time.Duration) bool {
	if _, held := t.held(now); held || t.underway || t.inDoubt {
		return false
	}
	clear(t.sentAt)
	return true
}

// claimable tells whether the holder's time has surely ended: it has given the
// lease up, has had a full TTL since after its last record was read, or has
// yielded. yieldedAt is an uptime after which it did, or 0. A yield from before
// its last record was read says nothing, since the record may have come later.
func (t *term) claimable(now, ttl, delay, yieldedAt time.Duration) bool {
	if t.readAt == 0 || t.inDoubt {
		return false
	}
	switch {
	case t.free:
		return now-t.changedAt >= delay
	case yieldedAt > t.changedAt:
		if t.yieldSeen == 0 {
			t.yieldSeen = now
		}
		return now-t.yieldSeen >= delay
	}
	return now-t.changedAt >= ttl+delay
}
