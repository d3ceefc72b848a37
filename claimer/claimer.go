// Package claimer takes, renews and gives up the lease on the duties that need
// one doer: orders and usage reports.
//
// All records of the duties topic are conditional appends: each names the
// offset at which the topic must end. So of two writers that have read the same
// prefix one fails, and a delayed append can not take effect after a newer
// one. A claim's offset is the fencing token. The holder counts its time from
// before it sent the last record that was appended; a claimant counts a full
// TTL from after it read that record and names the offset behind it. So the two
// times can not meet, and a suspended machine counts the time that it missed.
// A claimant need not wait if the holder has yielded since: it has said that it
// holds nothing and that nothing it sent before can make it the holder.
//
// # Usage
//
//	c := &claimer.Claimer{Log: store, Instance: "entry-1", Incarnation: boot,
//		TTL: 3 * time.Second, Position: links.Position, OtherLeads: leads, Logger: log}
//	go c.Run(ctx)
//	if fence, left, ok := c.Held(); ok && left > timeout {
//		// Act under the fencing token.
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
	stepInterval    = 100 * time.Millisecond
	renewalsPerTTL  = 3
	drift           = 100 * time.Millisecond // By which two instances' clocks may differ over a TTL.
	positionDelay   = 400 * time.Millisecond // Between the claims of successive candidates; a status tells of a new holder by then.
	maxPosition     = 5                      // Instances after this one are no candidates.
	readWait        = 500 * time.Millisecond // Long poll of a candidate.
	leastBackoff    = 200 * time.Millisecond // After a call that failed.
	mostBackoff     = time.Second
	keptWindowCount = 64 // Windows whose figures are remembered.
)

// Claimer runs the lease protocol for one instance. Set the exported fields
// before Run.
type Claimer struct {
	Log         savoryloft.RecordLog
	Instance    string
	Incarnation int
	TTL         time.Duration
	// Position returns how many live instances should claim before this one.
	Position func() int
	// OtherLeads tells whether a live peer says that it holds the lease.
	OtherLeads func() bool
	// Yielded returns an uptime after which an incarnation of an instance has
	// yielded, see Standing; 0 when it has not.
	Yielded func(instance string, incarnation int) time.Duration
	// Partials returns the counts of windows without figures, which renewals keep
	// in the log; may be nil.
	Partials func() []savoryloft.PartialCounts
	Logger   logr.Logger

	call sync.Mutex // Held during a call to the log.
	mu   sync.Mutex
	term term
}

var _ savoryloft.Holder = (*Claimer)(nil)

// Held implements savoryloft.Holder.
func (c *Claimer) Held() (fence int, left time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left, ok = c.term.held(savoryloft.Uptime())
	return c.term.fence, left, ok
}

// Standing tells whether this instance holds the lease, and if not, whether it
// yields: nothing that it has sent so far can make it the holder any more.
func (c *Claimer) Standing() (leading, yields bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := savoryloft.Uptime()
	_, leading = c.term.held(now)
	return leading, c.term.yield(now)
}

// Figures returns the figures of a window that the topic has fixed.
func (c *Claimer) Figures(window int) (map[string]int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, ok := c.term.figures[window]
	return f, ok
}

// LastWindow returns the last window with figures; 0 when there is none.
func (c *Claimer) LastWindow() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term.lastWindow
}

// Run claims and renews until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	backoff := leastBackoff
	for ctx.Err() == nil {
		if err := c.step(ctx); err != nil {
			c.Logger.V(1).Info("duties topic not reachable", "step", savoryloft.StepLease, "error", err.Error())
			savoryloft.Sleep(ctx, backoff)
			backoff = min(2*backoff, mostBackoff)
			continue
		}
		backoff = leastBackoff
		savoryloft.Sleep(ctx, stepInterval)
	}
	return nil
}

// step does what is due: a renewal for the holder, a read or a claim for a
// candidate.
func (c *Claimer) step(ctx context.Context) error {
	c.mu.Lock()
	now := savoryloft.Uptime()
	_, held := c.term.held(now)
	renew := held && now-c.term.lastSent >= c.TTL/renewalsPerTTL
	inDoubt := c.term.inDoubt
	c.mu.Unlock()
	switch {
	case inDoubt:
		return c.read(ctx, 0)
	case renew:
		renewal := savoryloft.DutyRecord{Kind: savoryloft.DutyRecordKindRenewal}
		if c.Partials != nil {
			renewal.Partials = c.Partials()
		}
		return c.append(ctx, renewal)
	case held:
		return nil
	case c.OtherLeads(), c.Position() > maxPosition:
		c.mu.Lock()
		c.term.forget()
		c.mu.Unlock()
		return nil
	}
	return c.contend(ctx)
}

// contend reads the topic until it has been still for long enough, then claims.
func (c *Claimer) contend(ctx context.Context) error {
	if err := c.read(ctx, readWait); err != nil {
		return err
	}
	delay := time.Duration(c.Position()) * positionDelay
	c.mu.Lock()
	h := c.term.holder
	c.mu.Unlock()
	var yieldedAt time.Duration
	if h.instance != c.Instance {
		yieldedAt = c.Yielded(h.instance, h.incarnation)
	}
	c.mu.Lock()
	due := c.term.claimable(savoryloft.Uptime(), c.TTL+drift, delay, yieldedAt)
	c.mu.Unlock()
	if !due || c.OtherLeads() {
		return nil
	}
	return c.append(ctx, savoryloft.DutyRecord{Kind: savoryloft.DutyRecordKindClaim})
}

// read takes in the records that the topic has beyond those known.
func (c *Claimer) read(ctx context.Context, wait time.Duration) error {
	c.call.Lock()
	defer c.call.Unlock()
	for {
		c.mu.Lock()
		from := c.term.end
		c.mu.Unlock()
		page, err := c.Log.Read(ctx, savoryloft.TopicDuties, from, wait)
		c.mu.Lock()
		now := savoryloft.Uptime()
		switch {
		case errors.Is(err, savoryloft.ErrExpired) && page.Next > from:
			c.term.skipTo(now, page.Next)
			c.mu.Unlock()
			continue
		case err != nil:
			c.mu.Unlock()
			return errors.Annotate(err, "read duties")
		}
		for _, r := range page.Records {
			c.observe(now, r)
		}
		c.term.caughtUp(now)
		c.mu.Unlock()
		if page.Next >= page.End {
			return nil
		}
	}
}

// observe takes in one record. The caller holds the lock.
func (c *Claimer) observe(now time.Duration, r savoryloft.KeyedRecord) {
	var d savoryloft.DutyRecord
	if err := json.Unmarshal(r.Value, &d); err != nil {
		c.Logger.Info("record left out", "step", savoryloft.StepLease, "offset", r.Offset, "error", err.Error())
		c.term.skipTo(now, r.Offset+1)
		return
	}
	mine := d.Instance == c.Instance && d.Incarnation == c.Incarnation
	if d.Kind == savoryloft.DutyRecordKindClaim {
		c.Logger.Info("lease claimed", "step", savoryloft.StepLease, "holder", d.Instance, "incarnation", d.Incarnation,
			"fence", r.Offset, "mine", mine)
	}
	c.term.observe(now, r.Offset, d, mine, c.TTL)
}

// FixFigures fixes the figures of a window. It returns ErrLeaseLost when this
// instance does not hold the lease.
func (c *Claimer) FixFigures(ctx context.Context, window int, counts map[string]int) error {
	return c.append(ctx, savoryloft.DutyRecord{
		Kind: savoryloft.DutyRecordKindFigures, Figures: &savoryloft.WindowFigures{Window: window, Counts: counts},
	})
}

// Partial returns the counts of a window that the last renewal of another
// incarnation which told of it has kept.
func (c *Claimer) Partial(window int) (savoryloft.PartialCounts, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.term.partials[window]
	return p, ok
}

// Size returns how many upstreams a service should have according to the
// topic; ok is false when it says nothing.
func (c *Claimer) Size(service string) (upstreams int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	upstreams, ok = c.term.sizes[service]
	return upstreams, ok
}

// SetSize sets how many upstreams a service should have. It returns
// ErrLeaseLost when this instance does not hold the lease.
func (c *Claimer) SetSize(ctx context.Context, service string, upstreams int) error {
	return c.append(ctx, savoryloft.DutyRecord{
		Kind: savoryloft.DutyRecordKindSize, Size: &savoryloft.ServiceSize{Service: service, Upstreams: upstreams},
	})
}

// append appends a record behind all records known.
func (c *Claimer) append(ctx context.Context, d savoryloft.DutyRecord) error {
	c.call.Lock()
	defer c.call.Unlock()
	d.Instance, d.Incarnation = c.Instance, c.Incarnation
	c.mu.Lock()
	sent := savoryloft.Uptime()
	_, held := c.term.held(sent)
	if (d.Kind != savoryloft.DutyRecordKindClaim && !held) || c.term.inDoubt {
		c.mu.Unlock()
		return savoryloft.ErrLeaseLost
	}
	at := c.term.end
	d.Sequence = c.term.sending(sent)
	if d.Kind == savoryloft.DutyRecordKindRelease {
		c.term.resign()
	}
	c.mu.Unlock()
	value, err := json.Marshal(d)
	if err == nil {
		err = c.Log.AppendAt(ctx, savoryloft.TopicDuties, at, value)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term.underway = false
	switch {
	case err == nil:
		c.observe(savoryloft.Uptime(), savoryloft.KeyedRecord{Value: value, Offset: at})
		return nil
	case errors.Is(err, savoryloft.ErrUnavailable):
		return err
	}
	// Refused or unknown: what stands at the offset tells.
	c.term.inDoubt = true
	return errors.Annotatef(err, "append %s", d.Kind)
}

// Release gives the lease up in a planned stop.
func (c *Claimer) Release(ctx context.Context) error {
	if _, _, ok := c.Held(); !ok {
		return nil
	}
	return c.append(ctx, savoryloft.DutyRecord{Kind: savoryloft.DutyRecordKindRelease})
}
