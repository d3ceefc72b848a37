package throttler

import (
	"math"
	"slices"
	"time"

	"savoryloft.example/savoryloft"
)

const (
	// fairShare is the part of the tokens for each request that all ranks together get
	// below which a rank comes first.
	fairShare       = 0.5
	rankMemory      = 10 * time.Second       // Time in which the weight of a rank's requests falls to 1/e.
	minRankRequests = 4.0                    // Of a rank in that time, before fairShare applies.
	minRetryAfter   = 100 * time.Millisecond // Told to requests that get no token.
	queueLifetime   = time.Minute            // After which the queue of a service without requests is removed.
	takeoverMemory  = 4 * time.Second        // After this instance began to hand out tokens, a new bucket begins with a token.
)

// serviceQueue holds the requests for tokens that wait at the instance that hands them
// out, for the upstreams of one service.
type serviceQueue struct {
	waiting []*waiter // In order of arrival.
	ranks   map[int]*rankCount
	timer   *time.Timer
	usedAt  time.Time
}

// waiter is a request for a token that waits.
type waiter struct {
	savoryloft.TokenRequest
	from     string // Peer that sent it; empty for this instance.
	deadline time.Time
}

// rankCount counts a rank's requests for tokens, with exponential decay.
type rankCount struct {
	requested, granted float64
	at                 time.Time
}

func (c *rankCount) decay(now time.Time) {
	f := math.Exp(-float64(now.Sub(c.at)) / float64(rankMemory))
	c.requested, c.granted, c.at = c.requested*f, c.granted*f, now
}

// setAllocating records whether this instance hands out tokens and for which share of
// the limits. One that begins to starts with empty buckets, since an earlier one may
// have just handed out tokens. The caller holds the lock.
func (t *Throttler) setAllocating(allocating bool, share float64, now time.Time) {
	if allocating == t.allocating && (!allocating || share == t.share) {
		return
	}
	t.Logger.Info("handing out tokens for limits of upstreams", "allocating", allocating, "share", share)
	if allocating != t.allocating {
		t.allocating, t.since = allocating, now
		clear(t.buckets)
	}
	t.share = share
	for id, b := range t.buckets {
		b.advance(now)
		b.setLimit(b.limit, share)
		t.adjustBucket(id, now)
	}
	if !allocating {
		t.refuseAll()
	}
}

// refuseAll refuses the requests that wait. The caller holds the lock.
func (t *Throttler) refuseAll() {
	for _, q := range t.queues {
		for _, w := range q.waiting {
			t.reply(w.from, savoryloft.TokenReply{ID: w.ID, RetryAfter: milliseconds(lostRetryAfter)})
		}
		q.waiting = nil
	}
}

// enqueue queues a request for a token and hands out those that are free. The caller
// holds the lock.
func (t *Throttler) enqueue(r savoryloft.TokenRequest, from string, now time.Time) {
	q := t.queues[r.Service]
	if q == nil {
		q = &serviceQueue{ranks: map[int]*rankCount{}}
		t.queues[r.Service] = q
	}
	q.usedAt = now
	q.rank(r.Rank, now).requested++
	w := &waiter{TokenRequest: r, from: from, deadline: now.Add(time.Duration(r.Wait) * time.Millisecond)}
	q.waiting = append(q.waiting, w)
	t.serve(q, now)
	if i := slices.Index(q.waiting, w); i >= 0 {
		if wait := t.expectedWait(q, w, now); wait > w.deadline.Sub(now) {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			t.refuse(w, wait)
		}
	}
	t.schedule(q, now)
}

// refuse replies to a request that gets no token in time.
func (t *Throttler) refuse(w *waiter, wait time.Duration) {
	t.reply(w.from, savoryloft.TokenReply{ID: w.ID, RetryAfter: milliseconds(max(wait, minRetryAfter))})
}

// milliseconds converts a duration, rounded up.
func milliseconds(d time.Duration) int { return int((d + time.Millisecond - 1) / time.Millisecond) }

// rank returns the count of a rank, as of now.
func (q *serviceQueue) rank(rank int, now time.Time) *rankCount {
	c := q.ranks[rank]
	if c == nil {
		c = &rankCount{at: now}
		q.ranks[rank] = c
	}
	c.decay(now)
	return c
}

// starved returns the rank that gets the least tokens for its requests, if that is less
// than fairShare of what all ranks get, or -1.
func (q *serviceQueue) starved(now time.Time) int {
	requested, granted := 0.0, 0.0
	for rank := range q.ranks {
		c := q.rank(rank, now)
		requested, granted = requested+c.requested, granted+c.granted
	}
	least, starved := fairShare*granted/requested, -1
	for rank, c := range q.ranks {
		if ratio := c.granted / c.requested; c.requested >= minRankRequests && ratio < least {
			least, starved = ratio, rank
		}
	}
	return starved
}

// precedes reports whether w gets a token before other: the starved rank first, then the
// more urgent one, then the one that has waited longer.
func (w *waiter) precedes(other *waiter, starved int) bool {
	if (w.Rank == starved) != (other.Rank == starved) {
		return w.Rank == starved
	}
	return w.Rank < other.Rank
}

// serve hands out the free tokens to the requests that wait. The caller holds the lock.
func (t *Throttler) serve(q *serviceQueue, now time.Time) {
	for {
		starved := q.starved(now)
		var first *waiter
		upstream := ""
		for _, w := range q.waiting {
			if first != nil && !w.precedes(first, starved) {
				continue
			}
			if id := t.freeUpstream(w, now); id != "" {
				first, upstream = w, id
			}
		}
		if first == nil {
			return
		}
		if b := t.bucketOf(upstream, now); b != nil {
			b.take(now)
		}
		q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool { return w == first })
		q.rank(first.Rank, now).granted++
		t.reply(first.from, savoryloft.TokenReply{ID: first.ID, Upstream: upstream})
	}
}

// freeUpstream returns the first upstream of a request that has a token, or "".
func (t *Throttler) freeUpstream(w *waiter, now time.Time) string {
	for _, id := range w.Upstreams {
		if b := t.bucketOf(id, now); b == nil || b.untilToken(now) == 0 {
			return id
		}
	}
	return ""
}

// bucketOf returns the bucket of an upstream, or nil if it has no limit. The caller holds
// the lock.
func (t *Throttler) bucketOf(upstream string, now time.Time) *bucket {
	if b := t.adjustBucket(upstream, now); b != nil {
		return b
	}
	perSecond := t.currentLimit(upstream)
	if perSecond == savoryloft.NoLimit {
		return nil
	}
	b := newBucket(perSecond, t.share, t.since)
	switch l := t.limits[upstream]; {
	case l == nil || l.perSecond != perSecond: // The upstream is cold.
		b.at = now
	case b.lifetime == 0 && l.changedAt.Sub(t.since) > takeoverMemory:
		b.at, b.tokens = now, 1
	}
	if l := t.limits[upstream]; l != nil {
		l.usedAt = now
	}
	t.buckets[upstream] = b
	return b
}

// adjustBucket returns the bucket of an upstream with its current limit, or nil if there is
// none. It removes the bucket of an upstream that has no limit any more. The caller holds
// the lock.
func (t *Throttler) adjustBucket(upstream string, now time.Time) *bucket {
	b := t.buckets[upstream]
	if b == nil {
		return nil
	}
	switch perSecond := t.currentLimit(upstream); perSecond {
	case b.limit:
	case savoryloft.NoLimit:
		delete(t.buckets, upstream)
		return nil
	default:
		b.advance(now) // At the rate so far.
		b.setLimit(perSecond, t.share)
	}
	return b
}

// expectedWait returns the time until a request is expected to get a token, if nothing
// that precedes it is added.
func (t *Throttler) expectedWait(q *serviceQueue, w *waiter, now time.Time) time.Duration {
	rate, next := 0.0, time.Duration(math.MaxInt64)
	for _, id := range w.Upstreams {
		if b := t.bucketOf(id, now); b != nil {
			rate += b.rate
			next = min(next, b.untilToken(now))
		}
	}
	if rate == 0 {
		return 0 // None of the upstreams has a limit any more.
	}
	starved, ahead := q.starved(now), 0
	for _, other := range q.waiting {
		if other == w {
			continue
		}
		if !w.precedes(other, starved) && sharesUpstream(w, other) {
			ahead++
		}
	}
	return next + duration(float64(ahead)/rate)
}

func sharesUpstream(a, b *waiter) bool {
	return slices.ContainsFunc(a.Upstreams, func(id string) bool { return slices.Contains(b.Upstreams, id) })
}

// schedule sets the timer of a queue to the next token or the next deadline. The caller
// holds the lock.
func (t *Throttler) schedule(q *serviceQueue, now time.Time) {
	if q.timer != nil {
		q.timer.Stop()
		q.timer = nil
	}
	if len(q.waiting) == 0 {
		return
	}
	next := time.Duration(math.MaxInt64)
	for _, w := range q.waiting {
		next = min(next, w.deadline.Sub(now))
		for _, id := range w.Upstreams {
			if b := t.bucketOf(id, now); b != nil {
				next = min(next, b.untilToken(now))
			}
		}
	}
	q.timer = time.AfterFunc(max(next, time.Millisecond), func() { t.tick(q) })
}

// tick hands out new tokens and refuses the requests that can wait no longer.
func (t *Throttler) tick(q *serviceQueue) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.serve(q, now)
	var expired []*waiter
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool {
		if now.Before(w.deadline) {
			return false
		}
		expired = append(expired, w)
		return true
	})
	for _, w := range expired {
		t.refuse(w, t.expectedWait(q, w, now))
	}
	t.schedule(q, now)
}

// pruneAllocation removes the queues and buckets that are not used any more. The caller
// holds the lock.
func (t *Throttler) pruneAllocation(now time.Time) {
	for service, q := range t.queues {
		if len(q.waiting) == 0 && now.Sub(q.usedAt) > queueLifetime {
			delete(t.queues, service)
		}
	}
	for id := range t.buckets {
		t.adjustBucket(id, now)
	}
}
