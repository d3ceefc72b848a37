// Package claimer acquires, renews and releases the lease on the duties that
// only one instance may perform at a time: orders and usage reports. It keeps the
// lease in a savoryloft.RecordLog; package elector does so in a savoryloft.Log,
// which has no conditional appends.
//
// All records of the duties topic are conditional appends: each names the offset
// at which the topic must end. Of two writers that have read the same prefix, at
// most one succeeds, and a delayed append cannot take effect after a newer one.
// The position of a claim, its era and offset, is its fencing token.
//
// The holder's lease time starts before it sends a record and counts only once
// the record is known to be appended. A claimant waits for a full TTL, plus an
// allowance for clock drift, after it has read the last record, and its claim
// names the offset after that record. The lease times of two holders therefore
// cannot overlap. They are measured with savoryloft.Uptime, which includes the
// time for which a machine was suspended.
//
// A claimant does not wait for the TTL when the holder has released the lease or
// has yielded after its last record. An instance yields by reporting to its
// peers that it does not hold the lease and that no append it has sent so far
// can make it the holder.
//
// When the log is restored from an older copy, which starts a new era, it may have
// lost claims, committed counts and sizes. Claims of earlier eras are then void: a
// holder stops when it learns of the new era, and nobody claims for a TTL after it
// has learned of it. Counts and sizes are sent to the peers, so that they outlive a
// restore; the next holder appends them again.
//
// # Usage
//
//	c := &claimer.Claimer{Log: store, Instance: "entry-1", Incarnation: startMillis,
//		TTL: 3 * time.Second, Position: links.Position, PeerHoldsLease: peerHoldsLease,
//		YieldedAt: yieldedAt, Logger: log}
//	go c.Run(ctx)
//	if fence, left, ok := c.Held(); ok && left > timeout {
//		// Call the target with the fencing token.
//	}
package claimer

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
)

const (
	pollInterval   = 100 * time.Millisecond
	renewalsPerTTL = 3
	maxClockDrift  = 100 * time.Millisecond // Between the clocks of two instances within a TTL.
	// claimStagger is the delay between the claims of two successive candidates.
	// Within this time, a status message reports a new holder to the next
	// candidate.
	claimStagger    = 400 * time.Millisecond
	maxPosition     = 5                      // Highest position at which an instance claims.
	handoverDelay   = 2 * time.Second        // Time without being a candidate after which the holder releases the lease.
	longPollWait    = 500 * time.Millisecond // Wait of a candidate's read for a new record.
	minBackoff      = 200 * time.Millisecond // After a failed call to the log.
	maxBackoff      = time.Second
	retainedWindows = 64 // Windows before the newest one whose counts are kept.
)

// Claimer runs the lease protocol for one instance. Set the exported fields
// before Run.
type Claimer struct {
	Log         savoryloft.RecordLog
	Instance    string
	Incarnation int
	TTL         time.Duration
	// Position returns the number of live candidates that claim before this
	// instance.
	Position func() int
	// PeerHoldsLease reports whether a live peer has reported that it holds the
	// lease.
	PeerHoldsLease func() bool
	// YieldedAt returns an uptime of this process after which the given incarnation
	// reported that it had yielded, see Leadership, or 0 when its last status does
	// not report so.
	YieldedAt func(instance string, incarnation int) time.Duration
	// OnCommit is called with counts and sizes that this instance has appended, for
	// peers to learn them. It may be nil.
	OnCommit func(savoryloft.DutyFacts)
	// MaxWindow returns the highest window that a record may have counts of, which must
	// leave room for wrong clocks. If nil, there is no limit.
	MaxWindow func() int
	// Partials returns the counts so far of windows without committed counts, which
	// renewals store in the log. It may be nil.
	Partials func() []savoryloft.PartialCounts
	Logger   logr.Logger

	candidateAt time.Duration // Uptime at which this instance was last a candidate or did not hold the lease.

	callMu sync.Mutex // Serializes calls to the log.
	mu     sync.Mutex
	state  stateMachine
}

var _ savoryloft.Holder = (*Claimer)(nil)

// Held implements savoryloft.Holder.
func (c *Claimer) Held() (fence int, left time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left, ok = c.state.held(savoryloft.Uptime())
	return c.state.fence, left, ok
}

// Leadership reports whether this instance holds the lease and, if not, whether it
// has yielded: no append that it has sent so far can make it the holder. Before
// it returns true for yielded, Leadership discards the send times of these
// appends, so that none of them can extend the lease later.
func (c *Claimer) Leadership() (leading, yielded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := savoryloft.Uptime()
	_, leading = c.state.held(now)
	return leading, c.state.yield(now)
}

// CommittedCounts returns the committed counts of a window by account, or false
// when there are none.
func (c *Claimer) CommittedCounts(window int) (map[string]int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, ok := c.state.figures[window]
	return f.counts, ok
}

// UncertainBefore returns the uptime before which another holder may have reported
// windows whose committed counts the log has lost in a restore, or 0 if that is
// excluded.
func (c *Claimer) UncertainBefore() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.uncertainBefore()
}

// ObserveEra processes an era of the log that this instance has received otherwise
// than by its own calls.
func (c *Claimer) ObserveEra(era int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeEra(era)
}

// observeEra processes an era of the log and reports whether it is new. The caller
// must hold c.mu.
func (c *Claimer) observeEra(era int) bool {
	before := c.state.era
	if !c.state.observeEra(savoryloft.Uptime(), era, c.TTL+maxClockDrift) {
		return false
	}
	if before > 0 {
		c.Logger.Info("log was restored; claims of earlier eras are void", "step", savoryloft.StepLease, "era", era, "before", before,
			"held", c.state.heldAtEra)
	}
	return true
}

// Facts returns the sizes and the counts of the last windows, for a peer to learn.
func (c *Claimer) Facts() savoryloft.DutyFacts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var f savoryloft.DutyFacts
	for service, size := range c.state.sizes {
		f.Sizes = append(f.Sizes, savoryloft.SizeFact{Service: service, Upstreams: size.upstreams, Position: size.position})
	}
	for w, figures := range c.state.figures {
		if w > c.state.lastWindow-restoredWindows {
			f.Figures = append(f.Figures, figuresFact(w, figures))
		}
	}
	return f
}

func figuresFact(window int, f storedFigures) savoryloft.FiguresFact {
	fact := savoryloft.FiguresFact{Window: window, Position: f.position}
	for account, n := range f.counts {
		fact.Accounts, fact.Requests = append(fact.Accounts, account), append(fact.Requests, n)
	}
	return fact
}

// Learn stores the sizes and counts that a peer knows.
func (c *Claimer) Learn(f savoryloft.DutyFacts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, size := range f.Sizes {
		if known, ok := c.state.sizes[size.Service]; !ok || size.Position > known.position {
			c.state.storeSize(size.Service, storedSize{size.Upstreams, size.Position})
		}
	}
	for _, fact := range f.Figures {
		counts := map[string]int{}
		for i, account := range fact.Accounts {
			counts[account] = fact.Requests[i]
		}
		c.state.storeFigures(fact.Window, storedFigures{counts, fact.Position})
	}
}

// LastWindow returns the last window with committed counts, or 0 when there is
// none.
func (c *Claimer) LastWindow() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.lastWindow
}

// Run claims and renews the lease until ctx ends. It always returns nil.
func (c *Claimer) Run(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		if err := c.step(ctx); err != nil {
			c.Logger.V(1).Info("lease operation failed; will retry", "step", savoryloft.StepLease, "error", err.Error())
			savoryloft.Sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		savoryloft.Sleep(ctx, pollInterval)
	}
	return nil
}

// step performs the next action of the protocol: a read after an append with an
// unknown outcome, a renewal by the holder, or a read and a claim by a candidate.
func (c *Claimer) step(ctx context.Context) error {
	c.mu.Lock()
	now := savoryloft.Uptime()
	_, held := c.state.held(now)
	renew := held && now-c.state.lastSentAt >= c.TTL/renewalsPerTTL
	inDoubt := c.state.inDoubt
	lost, hasLost := c.state.lostRecord()
	c.mu.Unlock()
	switch {
	case inDoubt:
		return c.readToEnd(ctx, 0)
	case c.mustHandOver(now, held):
		c.Logger.Info("handing over the lease; this instance is no candidate any more", "step", savoryloft.StepLease)
		return c.Release(ctx)
	case held && hasLost:
		return c.appendRecord(ctx, lost)
	case renew:
		renewal := savoryloft.DutyRecord{Kind: savoryloft.DutyRecordKindRenewal}
		if c.Partials != nil {
			renewal.Partials = c.Partials()
		}
		return c.appendRecord(ctx, renewal)
	case held:
		return nil
	case c.PeerHoldsLease(), c.Position() > maxPosition:
		c.mu.Lock()
		c.state.invalidate()
		c.mu.Unlock()
		return nil
	}
	return c.tryClaim(ctx)
}

// mustHandOver reports whether this instance holds the lease and has been no
// candidate for handoverDelay. Only candidates receive what the duties need.
func (c *Claimer) mustHandOver(now time.Duration, held bool) bool {
	if !held || c.Position() <= maxPosition {
		c.candidateAt = now
	}
	return now-c.candidateAt > handoverDelay
}

// tryClaim reads the topic and claims the lease if the holder's lease time has
// ended and the stagger delay of this instance has passed since then.
func (c *Claimer) tryClaim(ctx context.Context) error {
	if err := c.readToEnd(ctx, longPollWait); err != nil {
		return err
	}
	delay := time.Duration(c.Position()) * claimStagger
	c.mu.Lock()
	h := c.state.holder
	switch {
	case c.state.heldAtEra:
		delay = 0 // Only the holder at the restore knows which windows it has reported.
	case c.state.claimableAt > 0:
		delay += claimStagger
	}
	c.mu.Unlock()
	var yieldedAt time.Duration
	if h.instance != c.Instance {
		yieldedAt = c.YieldedAt(h.instance, h.incarnation)
	}
	c.mu.Lock()
	due := c.state.canClaim(savoryloft.Uptime(), c.TTL+maxClockDrift, delay, yieldedAt)
	c.mu.Unlock()
	if !due || c.PeerHoldsLease() {
		return nil
	}
	return c.appendRecord(ctx, savoryloft.DutyRecord{Kind: savoryloft.DutyRecordKindClaim})
}

// readToEnd reads and applies all records after the last one applied. It waits
// up to wait for the first one.
func (c *Claimer) readToEnd(ctx context.Context, wait time.Duration) error {
	c.callMu.Lock()
	defer c.callMu.Unlock()
	for {
		c.mu.Lock()
		from := c.state.end
		c.mu.Unlock()
		page, err := c.Log.Read(ctx, savoryloft.TopicDuties, from, wait)
		c.mu.Lock()
		now := savoryloft.Uptime()
		switch {
		case page.Era > 0 && c.observeEra(page.Era) && from > 0:
			c.mu.Unlock()
			continue // Read the restored topic from its start.
		case page.Era < c.state.era:
			c.mu.Unlock()
			return errors.Annotate(savoryloft.ErrUnavailable, "read duties topic: the response is from an earlier era")
		case errors.Is(err, savoryloft.ErrExpired) && page.Next > from:
			c.state.advance(now, page.Next)
			c.mu.Unlock()
			continue
		case err != nil:
			c.mu.Unlock()
			return errors.Annotate(err, "read duties topic")
		}
		if c.state.eraEnd < 0 {
			c.state.eraEnd = page.End
		}
		for _, r := range page.Records {
			c.apply(now, r)
		}
		atEnd := page.Next >= page.End
		if atEnd {
			c.state.markCaughtUp(now)
		}
		c.mu.Unlock()
		if atEnd {
			return nil
		}
	}
}

// apply decodes and applies one record. It skips a record that cannot be
// decoded. The caller must hold c.mu.
func (c *Claimer) apply(now time.Duration, r savoryloft.KeyedRecord) {
	d, err := c.decode(r.Value)
	if err != nil {
		c.Logger.Info("skipping malformed duty record", "step", savoryloft.StepLease, "offset", r.Offset, "error", err.Error())
		c.state.advance(now, r.Offset+1)
		return
	}
	own := d.Instance == c.Instance && d.Incarnation == c.Incarnation
	if d.Kind == savoryloft.DutyRecordKindClaim {
		c.Logger.Info("lease claimed", "step", savoryloft.StepLease, "holder", d.Instance, "incarnation", d.Incarnation,
			"fence", savoryloft.Position(c.state.era, r.Offset), "mine", own)
	}
	c.state.apply(now, r.Offset, d, own, c.TTL)
}

// decode decodes a record. It returns an error for one that is malformed or has numbers out
// of range, which other instances would not accept from a peer.
func (c *Claimer) decode(value []byte) (d savoryloft.DutyRecord, err error) {
	if err := json.Unmarshal(value, &d); err != nil {
		return d, errors.Trace(err)
	}
	if c.MaxWindow != nil && highestWindow(d) > c.MaxWindow() {
		return d, errors.Errorf("window %d is in the future", highestWindow(d))
	}
	return d, d.Check()
}

// highestWindow returns the highest window that a record has counts of, or 0.
func highestWindow(d savoryloft.DutyRecord) (window int) {
	if d.Figures != nil {
		window = d.Figures.Window
	}
	for _, p := range d.Partials {
		window = max(window, p.Window)
	}
	return window
}

// CommitCounts appends the counts of a window by account. The first counts
// appended for a window are final. It returns savoryloft.ErrLeaseLost when this
// instance does not hold the lease.
func (c *Claimer) CommitCounts(ctx context.Context, window int, counts map[string]int) error {
	return c.appendRecord(ctx, savoryloft.DutyRecord{
		Kind: savoryloft.DutyRecordKindFigures, Figures: &savoryloft.WindowFigures{Window: window, Counts: counts},
	})
}

// PartialCounts returns the partial counts of a window from the last renewal by
// another incarnation that contains them.
func (c *Claimer) PartialCounts(window int) (savoryloft.PartialCounts, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.state.partials[window]
	return p, ok
}

// Size returns the desired number of upstreams of a service from the topic; ok
// is false when none has been set.
func (c *Claimer) Size(service string) (upstreams int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	size, ok := c.state.sizes[service]
	return size.upstreams, ok
}

// SetSize appends the desired number of upstreams of a service. It returns
// savoryloft.ErrLeaseLost when this instance does not hold the lease.
func (c *Claimer) SetSize(ctx context.Context, service string, upstreams int) error {
	return c.appendRecord(ctx, savoryloft.DutyRecord{
		Kind: savoryloft.DutyRecordKindSize, Size: &savoryloft.ServiceSize{Service: service, Upstreams: upstreams},
	})
}

// appendRecord appends a record after the last one applied. It returns
// savoryloft.ErrLeaseLost when the outcome of an earlier append is unknown or,
// unless the record is a claim, when this instance does not hold the lease.
// After that error and savoryloft.ErrUnavailable nothing was appended; after any
// other error the record may have been or may yet be appended.
func (c *Claimer) appendRecord(ctx context.Context, d savoryloft.DutyRecord) error {
	c.callMu.Lock()
	defer c.callMu.Unlock()
	d.Instance, d.Incarnation = c.Instance, c.Incarnation
	c.mu.Lock()
	sent := savoryloft.Uptime()
	_, held := c.state.held(sent)
	if (d.Kind != savoryloft.DutyRecordKindClaim && !held) || c.state.inDoubt {
		c.mu.Unlock()
		return savoryloft.ErrLeaseLost
	}
	at, era := c.state.end, c.state.era
	d.Sequence = c.state.beginAppend(sent)
	if d.Kind == savoryloft.DutyRecordKindRelease {
		c.state.stepDown()
	}
	c.mu.Unlock()
	value, err := json.Marshal(d)
	answeredIn := 0
	if err == nil {
		answeredIn, err = c.Log.AppendAt(ctx, savoryloft.TopicDuties, at, value)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.inFlight = false
	if answeredIn > 0 {
		c.observeEra(answeredIn)
	}
	switch {
	case c.state.era != era:
		// The topic is read again. The record counts for nothing, even if the restored
		// topic has it.
		return errors.Annotatef(savoryloft.ErrLeaseLost, "append %s: the log was restored", d.Kind)
	case err == nil:
		c.apply(savoryloft.Uptime(), savoryloft.KeyedRecord{Value: value, Offset: at})
		c.sendCommit(d)
		return nil
	case errors.Is(err, savoryloft.ErrUnavailable):
		return err
	}
	// The append was rejected, or its outcome is unknown. The next read shows
	// whether the record is in the topic.
	c.state.inDoubt = true
	return errors.Annotatef(err, "append %s", d.Kind)
}

// sendCommit sends the peers counts or a size that this instance has appended. The
// caller must hold c.mu.
func (c *Claimer) sendCommit(d savoryloft.DutyRecord) {
	var f savoryloft.DutyFacts
	if d.Figures != nil {
		f.Figures = []savoryloft.FiguresFact{figuresFact(d.Figures.Window, c.state.figures[d.Figures.Window])}
	}
	if d.Size != nil {
		size := c.state.sizes[d.Size.Service]
		f.Sizes = []savoryloft.SizeFact{{Service: d.Size.Service, Upstreams: size.upstreams, Position: size.position}}
	}
	if c.OnCommit != nil && (f.Figures != nil || f.Sizes != nil) {
		c.OnCommit(f)
	}
}

// Release releases the lease for a graceful shutdown. It does nothing when this
// instance does not hold the lease.
func (c *Claimer) Release(ctx context.Context) error {
	if _, _, ok := c.Held(); !ok {
		return nil
	}
	return c.appendRecord(ctx, savoryloft.DutyRecord{Kind: savoryloft.DutyRecordKindRelease})
}
