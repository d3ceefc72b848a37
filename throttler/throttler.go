// Package throttler keeps the requests of all instances together to an upstream within
// the limit, in requests a second, that the upstream has named in its responses, and within
// the one that its service has for cold upstreams while its registered warm-up lasts.
//
// A limit is a sum over all instances, and it can be so low that most instances may send
// nothing for a while. It is therefore not divided between them: a request to an upstream
// with a limit needs a token, and one instance hands out the tokens for all. An instance
// that does not reach it sends its requests for tokens through a peer. Where instances
// have lost each other, each side hands out tokens for its share of the instances.
//
// Requests that can wait are queued until a token is free: the more urgent first, unless
// a rank gets much less than the others. A request whose turn will not come in time is
// refused at once and told when one of its upstreams is expected to have a token.
//
// Limits are exchanged between instances as they change. A limit has a version, which
// rises with each change; of limits with the same version the lowest is valid, so
// instances that receive the same ones in any order agree. Limits of cold upstreams are not
// exchanged: each instance knows them from the registry and the configuration.
//
// # Usage
//
//	t := &throttler.Throttler{Allocation: allocation, Send: send, Broadcast: broadcast, Logger: log, Metrics: registry}
//	t.Observe(upstream, limit, sentAt)
//	if _, ok := t.Limit(upstream); ok {
//		grant := t.Acquire(ctx, throttler.Want{Service: "assistants", Upstreams: ids, Rank: 1, Wait: 100 * time.Millisecond})
//		// Send the request to grant.Upstream, unless it is empty.
//	}
package throttler

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"savoryloft.example/savoryloft"
)

const (
	maxHops           = 3                      // Links that a request for a token passes: to a hub, to the allocating hub, and one for differing views.
	replyTimeout      = 150 * time.Millisecond // For the reply, beyond the time that the request can wait. It usually takes a few ms.
	lostRetryAfter    = 500 * time.Millisecond // Retry-After when no reply came: the next instance takes over within a second or two.
	silencePeriod     = 300 * time.Millisecond // After a reply has not come, in which no tokens are requested: others would wait in vain as well.
	frameInterval     = 5 * time.Millisecond   // Between frames to one peer; requests and replies meanwhile share a frame.
	limitLifetime     = 10 * time.Minute       // After which a limit of an upstream that nobody asks about is forgotten.
	maxExhaustedCache = 250 * time.Millisecond // For which it is remembered that upstreams have no token.
)

// Throttler hands out, requests and passes on tokens. Set the exported fields before the
// first call.
type Throttler struct {
	// Allocation returns the peer from which tokens are requested, or "" if this instance
	// hands them out, and the share of the limits that it then may hand out.
	Allocation func() (next string, share float64)
	// Send sends to a peer. It returns false if that is not possible.
	Send func(to string, e savoryloft.LimitExchange) bool
	// Broadcast sends limits to all peers except the one that they come from; from is
	// empty if they are this instance's own.
	Broadcast func(limits []savoryloft.UpstreamLimit, from string)
	// Upstream returns a registered upstream by its ID, and WarmUpRate the requests a second
	// that a cold upstream of a service takes, or 0 for no limit. They may be nil.
	Upstream   func(id string) (savoryloft.RegisteredUpstream, bool)
	WarmUpRate func(service string) float64
	Logger     logr.Logger
	Metrics    metrics.Registry

	mu         sync.Mutex
	limits     map[string]*limit        // By upstream.
	silentTill time.Time                // See silencePeriod.
	exhausted  map[string]time.Time     // Until which an upstream has no token for requests that do not wait.
	pending    map[int]*tokenRequest    // Requests for tokens that await a reply, by ID.
	lastID     int                      // Of the requests for tokens.
	outbox     map[string]*peerQueue    // By peer.
	allocating bool                     // This instance hands out the tokens.
	since      time.Time                // When it began to.
	share      float64                  // Of the limits, that it may hand out.
	buckets    map[string]*bucket       // By upstream.
	queues     map[string]*serviceQueue // By service.
	malformed  map[string]time.Time     // When a malformed limit of an upstream was last logged.
}

// Want describes a request that needs a token.
type Want struct {
	Service   string
	Upstreams []string      // IDs, in order of preference.
	Rank      int           // 0 is the most urgent.
	Wait      time.Duration // For which it can wait for a token.
}

// Grant is the reply to a Want.
type Grant struct {
	Upstream   string        // Upstream to which one request may be sent; empty if there is no token.
	RetryAfter time.Duration // Until one of the upstreams is expected to have a token for such a request.
}

// tokenRequest is a request for a token that awaits its reply.
type tokenRequest struct {
	from      string                     // Peer that the reply is passed on to; empty for this instance.
	id        int                        // ID of the request at that peer.
	reply     chan savoryloft.TokenReply // Receives the reply to a request of this instance.
	expiresAt time.Time
}

// peerQueue holds what is sent to a peer with the next frame.
type peerQueue struct {
	exchange  savoryloft.LimitExchange
	scheduled bool
	sentAt    time.Time
}

// init makes the maps. The caller holds the lock.
func (t *Throttler) init() {
	if t.limits == nil {
		t.limits, t.exhausted, t.malformed = map[string]*limit{}, map[string]time.Time{}, map[string]time.Time{}
		t.pending, t.outbox = map[int]*tokenRequest{}, map[string]*peerQueue{}
		t.buckets, t.queues = map[string]*bucket{}, map[string]*serviceQueue{}
	}
}

// Acquire gets a token for one of the upstreams of w. It returns when there is one, when
// it is clear that none is free in time, or when ctx ends.
func (t *Throttler) Acquire(ctx context.Context, w Want) Grant {
	reply := make(chan savoryloft.TokenReply, 1)
	timeout := w.Wait + replyTimeout
	t.mu.Lock()
	t.init()
	now := time.Now()
	if left := t.knownWait(w, now); left > 0 {
		t.mu.Unlock()
		return Grant{RetryAfter: left}
	}
	id := t.addPending(&tokenRequest{reply: reply, expiresAt: now.Add(timeout)})
	t.route(savoryloft.TokenRequest{
		ID: id, Service: w.Service, Upstreams: w.Upstreams, Rank: max(w.Rank, 0), Wait: milliseconds(w.Wait),
	}, "", now)
	t.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-reply:
		return t.observeReply(w, r)
	case <-timer.C:
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, id)
	if ctx.Err() == nil {
		t.silentTill = time.Now().Add(silencePeriod)
		t.count("lost")
	}
	return Grant{RetryAfter: lostRetryAfter}
}

// observeReply returns the grant in a reply. It stores that the upstreams of a request
// that does not wait have no token.
func (t *Throttler) observeReply(w Want, r savoryloft.TokenReply) Grant {
	g := Grant{Upstream: r.Upstream, RetryAfter: time.Duration(r.RetryAfter) * time.Millisecond}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silentTill = time.Time{}
	if g.Upstream != "" {
		t.count("granted")
		return g
	}
	t.count("refused")
	if w.Wait == 0 {
		until := time.Now().Add(min(g.RetryAfter, maxExhaustedCache))
		for _, id := range w.Upstreams {
			t.exhausted[id] = until
		}
	}
	return g
}

// knownWait returns the time for which it is known that a request gets no token, or 0.
func (t *Throttler) knownWait(w Want, now time.Time) time.Duration {
	if left := t.silentTill.Sub(now); left > 0 {
		return left
	}
	if w.Wait > 0 {
		return 0 // It can wait for the next token.
	}
	least := maxExhaustedCache
	for _, id := range w.Upstreams {
		least = min(least, t.exhausted[id].Sub(now))
	}
	return max(least, 0)
}

// addPending stores a request that awaits a reply and returns its ID.
func (t *Throttler) addPending(r *tokenRequest) int {
	t.lastID++
	t.pending[t.lastID] = r
	return t.lastID
}

// Handle processes what a peer has sent.
func (t *Throttler) Handle(from string, e savoryloft.LimitExchange) {
	t.merge(e.Limits, from)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	now := time.Now()
	for _, r := range e.Replies {
		t.deliver(r)
	}
	for _, r := range e.Requests {
		r.Hops++
		t.route(r, from, now)
	}
}

// route queues a request for a token at this instance, if it hands them out, or passes
// it on. from is the peer that sent it, or empty. The caller holds the lock.
func (t *Throttler) route(r savoryloft.TokenRequest, from string, now time.Time) {
	next, share := t.Allocation()
	t.setAllocating(next == "", share, now)
	if next == "" {
		t.enqueue(r, from, now)
		return
	}
	if r.Hops > maxHops || next == from {
		t.reply(from, savoryloft.TokenReply{ID: r.ID, RetryAfter: milliseconds(lostRetryAfter)})
		return
	}
	if from != "" {
		expires := now.Add(time.Duration(r.Wait)*time.Millisecond + replyTimeout)
		r.ID = t.addPending(&tokenRequest{from: from, id: r.ID, expiresAt: expires})
	}
	t.post(next, savoryloft.LimitExchange{Requests: []savoryloft.TokenRequest{r}}, now)
}

// deliver passes a reply on to the peer that has sent the request, or to the request of
// this instance. The caller holds the lock.
func (t *Throttler) deliver(r savoryloft.TokenReply) {
	p := t.pending[r.ID]
	if p == nil {
		return // It came too late.
	}
	delete(t.pending, r.ID)
	if p.reply != nil {
		p.reply <- r
		return
	}
	r.ID = p.id
	t.reply(p.from, r)
}

// reply sends a reply to the peer from which a request came, or to this instance if from
// is empty. The caller holds the lock.
func (t *Throttler) reply(from string, r savoryloft.TokenReply) {
	if from == "" {
		t.deliver(r)
		return
	}
	t.post(from, savoryloft.LimitExchange{Replies: []savoryloft.TokenReply{r}}, time.Now())
}

// post queues requests and replies for a peer. They are sent at once, or with the next
// frame if one has just been sent. The caller holds the lock.
func (t *Throttler) post(to string, e savoryloft.LimitExchange, now time.Time) {
	q := t.outbox[to]
	if q == nil {
		q = &peerQueue{}
		t.outbox[to] = q
	}
	q.exchange.Requests = append(q.exchange.Requests, e.Requests...)
	q.exchange.Replies = append(q.exchange.Replies, e.Replies...)
	if q.scheduled {
		return
	}
	if delay := frameInterval - now.Sub(q.sentAt); delay > 0 {
		q.scheduled = true
		time.AfterFunc(delay, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			q.scheduled = false
			t.flush(to, q, time.Now())
		})
		return
	}
	t.flush(to, q, now)
}

// flush sends what is queued for a peer. The caller holds the lock.
func (t *Throttler) flush(to string, q *peerQueue, now time.Time) {
	e := q.exchange
	q.exchange, q.sentAt = savoryloft.LimitExchange{}, now
	if t.Send(to, e) {
		return
	}
	for _, r := range e.Requests { // No need to wait for replies.
		t.deliver(savoryloft.TokenReply{ID: r.ID, RetryAfter: milliseconds(lostRetryAfter)})
	}
}

// Maintain follows changes of the allocation and removes what has expired. It is called
// about once a second.
func (t *Throttler) Maintain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	now := time.Now()
	next, share := t.Allocation()
	t.setAllocating(next == "", share, now)
	t.prune(now)
}

// prune removes what has expired. The caller holds the lock.
func (t *Throttler) prune(now time.Time) {
	for id, p := range t.pending {
		if now.After(p.expiresAt) {
			delete(t.pending, id)
		}
	}
	for id, until := range t.exhausted {
		if now.After(until) {
			delete(t.exhausted, id)
		}
	}
	for id, l := range t.limits {
		if now.Sub(l.usedAt) > limitLifetime {
			delete(t.limits, id)
		}
	}
	for id, at := range t.malformed {
		if now.Sub(at) > limitLifetime {
			delete(t.malformed, id)
		}
	}
	for peer, q := range t.outbox {
		if !q.scheduled && now.Sub(q.sentAt) > limitLifetime {
			delete(t.outbox, peer)
		}
	}
	t.pruneAllocation(now)
}

// count counts the requests for tokens of this instance.
func (t *Throttler) count(outcome string) {
	metrics.GetOrRegisterCounter("limit_tokens_total."+outcome, t.Metrics).Inc(1)
}
