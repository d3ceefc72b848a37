// Package budgeter bounds the memory that a process uses for data of clients and
// upstreams: bodies of requests, also of unfinished ones, and responses that are
// received or not yet sent. Each connection accounts for its data with a holding. When the
// budget is used up, the holding that has waited longest for the other side is taken
// back.
//
// # Usage
//
//	b := &budgeter.Budget{}
//	b.SetLimit(64 << 20)
//	h := b.Open(func() { _ = conn.SetReadDeadline(time.Now()) }) // Ends the pending read.
//	defer h.Close()
//	if !h.Reserve(len(buffer)) {
//		return errNoMemory // The budget is used up, or the holding was taken back.
//	}
//	h.Keep() // From now on it is not taken back.
package budgeter

import (
	"sync"
	"time"
)

const (
	// stallTime is the time without progress from which a holding may be taken back.
	stallTime = 500 * time.Millisecond
	// smallBytes is the size up to which a holding may use the whole budget. Larger ones
	// leave a part of it, so that ordinary requests are served beside them.
	smallBytes = 64 << 10
	// smallShare is the part of the budget, as a divisor, that is left for small holdings.
	smallShare = 4
)

// Budget is the memory that all holdings share. It has no limit before SetLimit.
type Budget struct {
	mu       sync.Mutex
	limit    int64 // In bytes; no limit when zero.
	used     int64
	waiting  map[*Holding]struct{} // Holdings that may be taken back.
	reclaims int64
}

// Holding is the memory that the data of one connection takes.
type Holding struct {
	budget     *Budget
	evict      func()
	bytes      int64
	progressAt time.Time
	reclaimed  bool
	executed   bool // See ForResponse.
}

// SetLimit sets the limit of the budget in bytes; zero for none.
func (b *Budget) SetLimit(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = bytes
}

// Open returns an empty holding. It may be taken back while the other side of its
// connection makes no progress: evict is called then, and must not block.
func (b *Budget) Open(evict func()) *Holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting == nil {
		b.waiting = map[*Holding]struct{}{}
	}
	h := &Holding{budget: b, evict: evict, progressAt: time.Now()}
	b.waiting[h] = struct{}{}
	return h
}

// Reserve adds n bytes to the holding. It returns false, and adds nothing, if the budget
// is used up or the holding has been taken back.
func (h *Holding) Reserve(n int) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	limit := b.limit
	if h.bytes+int64(n) > smallBytes && !h.executed {
		limit -= limit / smallShare
	}
	if b.limit > 0 && b.used+int64(n)-b.stalledBytes(now, h) > limit {
		return false
	}
	for b.limit > 0 && b.used+int64(n) > limit {
		if h.reclaimed || !b.reclaimStalled(now, h) {
			return false
		}
	}
	if h.reclaimed {
		return false
	}
	h.progressAt = now
	h.bytes += int64(n)
	b.used += int64(n)
	return true
}

// ReserveAnyway adds n bytes to the holding also if the budget is used up, for data that is
// in memory already.
func (h *Holding) ReserveAnyway(n int) {
	if h.Reserve(n) {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !h.reclaimed {
		h.bytes += int64(n)
		b.used += int64(n)
	}
}

// stalledBytes returns the bytes that reclaimStalled can take back. The caller holds the lock.
func (b *Budget) stalledBytes(now time.Time, h *Holding) (bytes int64) {
	for w := range b.waiting {
		if w != h && now.Sub(w.progressAt) >= stallTime {
			bytes += w.bytes
		}
	}
	return bytes
}

// reclaimStalled takes back the holding, other than h, that has made no progress for the
// longest time. It returns false if there is none that has stalled. The caller holds the
// lock.
func (b *Budget) reclaimStalled(now time.Time, h *Holding) bool {
	var longest *Holding
	for w := range b.waiting {
		if w != h && w.bytes > 0 && now.Sub(w.progressAt) >= stallTime && (longest == nil || w.progressAt.Before(longest.progressAt)) {
			longest = w
		}
	}
	if longest == nil {
		return false
	}
	b.used -= longest.bytes
	longest.bytes, longest.reclaimed = 0, true
	delete(b.waiting, longest)
	b.reclaims++
	longest.evict()
	return true
}

// Release takes n bytes from the holding.
func (h *Holding) Release(n int) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !h.reclaimed {
		h.bytes -= int64(n)
		b.used -= int64(n)
	}
}

// Progress records that the other side has sent or taken something.
func (h *Holding) Progress() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progressAt = time.Now()
}

// Alive reports whether the holding has been neither closed nor taken back.
func (h *Holding) Alive() bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return !h.reclaimed
}

// Keep protects the holding from being taken back. It returns false if that has happened
// already.
func (h *Holding) Keep() bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting, h)
	return !h.reclaimed
}

// ForResponse protects the holding like Keep and lets it use the whole budget: the request
// may have run, and its response would be lost.
func (h *Holding) ForResponse() {
	h.Keep()
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.executed = true
}

// Close releases all of the holding. Later calls have no effect.
func (h *Holding) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting, h)
	b.used -= h.bytes
	h.bytes, h.reclaimed = 0, true
}

// Totals returns the bytes in use, their limit, and the number of holdings that were taken
// back.
func (b *Budget) Totals() (used, limit, reclaims int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.limit, b.reclaims
}
