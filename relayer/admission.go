package relayer

import (
	"math"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/admitter"
	"savoryloft.example/savoryloft/observer"
	"savoryloft.example/savoryloft/placer"
)

const (
	// urgentBacklogShare is the time that the prefill queued on an upstream may take for a
	// less urgent long prompt to be sent there, as a share of the objective of the more
	// urgent requests. The second least urgent rank that is present gets half of it, etc.
	urgentBacklogShare = 1.0
	// minBacklogShare is the same when more urgent first tokens come late, so that the
	// less urgent ranks do not come to a standstill.
	minBacklogShare = 0.25
	// longPrefillTokens is the number of uncached prompt tokens from which on a prompt
	// delays others on its upstream noticeably.
	longPrefillTokens = 1500
	// lastBacklogFactor is the factor of that time for a request that is refused otherwise
	// while slots are free.
	lastBacklogFactor = 2
	// spreadShare is the time after which a long prompt that waits goes to any upstream
	// with little prefill queued, as a share of its objective.
	spreadShare = 0.25
	// refusableLoadShare is the share of the upstream's slots that must be in use for a
	// request to be refused, unless the prompts queued there alone take too long.
	refusableLoadShare = 0.5
	// minHoldShare is the minimum time for which a request may wait here, as a share of
	// the longest objective that is not more urgent.
	minHoldShare = 0.125
	// maxReturnShare bounds Retry-After as a share of the time that the client has left.
	// Clients do not heed a longer one.
	maxReturnShare = 0.33
	// fullUpstreamsWait is the assumed time until a slot becomes free.
	fullUpstreamsWait = 50 * time.Millisecond
	// startingWait is the assumed time until the first token of an earlier long prompt.
	startingWait = 50 * time.Millisecond
)

// admissionInput holds what the decision depends on whether a request may start.
type admissionInput struct {
	Position       int // Among the urgencies of the service; 0 is the most urgent.
	Objective      time.Duration
	MaxFirstToken  time.Duration // Longest predicted time to the first token with which the request starts.
	Waited         time.Duration // Since the request was received.
	Choice         placer.Choice // Best upstream for the request.
	Slots          int           // Of that upstream; 0 if unknown.
	Lateness       time.Duration // By which first tokens of this rank exceed the predictions.
	UrgentNeed     time.Duration // Shortest objective of the more urgent ranks; 0 if they send no requests.
	UrgentLateness time.Duration // The same as Lateness, of that rank.
	Starting       bool          // See rankStates.starting.
	Share          float64       // Of the slots that this instance may use; see Relayer.LoadShare.
	Last           bool          // The request is refused if there is no room.
}

// decideAdmission decides whether a request starts now. Four loads keep it waiting: all
// upstreams are full; first tokens come so late that it would miss its objective by more
// than its rank allows; and, for a long prompt, that it would queue ahead of the
// requests of more urgent ranks, or that nothing is known of the upstreams yet.
func decideAdmission(in admissionInput) savoryloft.RoomReply {
	if in.Position == 0 || in.Objective <= 0 {
		return savoryloft.RoomReply{Taken: true}
	}
	slots := in.Share * float64(in.Slots)
	if in.Choice.Full || in.Share < 1 && slots > 0 && float64(in.Choice.Running) >= slots {
		return savoryloft.RoomReply{Wait: fullUpstreamsWait}
	}
	limit, expected := in.MaxFirstToken, in.Choice.TimeToFirstToken+in.Lateness
	lightlyLoaded := slots > 0 && float64(in.Choice.Running) < refusableLoadShare*slots
	if in.Last && lightlyLoaded {
		expected = in.Choice.TimeToFirstToken // What was late may have been one upstream.
	}
	if in.Waited+expected > limit {
		return savoryloft.RoomReply{Hopeless: true, Wait: max(expected-in.Objective, 0)}
	}
	if in.Starting && !in.Last && in.Choice.UncachedTokens >= longPrefillTokens {
		return savoryloft.RoomReply{Wait: startingWait}
	}
	maxBacklog := in.maxBacklog()
	if in.Last && lightlyLoaded {
		maxBacklog *= lastBacklogFactor
	}
	if excess := in.backlog() - maxBacklog; excess > 0 {
		return savoryloft.RoomReply{Wait: excess}
	}
	return savoryloft.RoomReply{Taken: true}
}

// backlog returns the time that the prefill takes which is queued on the upstream.
func (in admissionInput) backlog() time.Duration {
	c := in.Choice
	if in.UrgentNeed == 0 || c.UncachedTokens < longPrefillTokens {
		return 0
	}
	return time.Duration(float64(c.TimeToFirstToken) * float64(c.QueuedTokens) / float64(c.QueuedTokens+c.UncachedTokens))
}

// maxBacklog returns the backlog up to which a long prompt is sent to the upstream.
func (in admissionInput) maxBacklog() time.Duration {
	limit := urgentBacklogShare*float64(in.UrgentNeed) - float64(in.UrgentLateness)
	limit = max(limit, minBacklogShare*float64(in.UrgentNeed))
	return time.Duration(limit / float64(in.Position))
}

// spreads reports whether the request has waited so long that an upstream with less
// queued prefill is better than the one with the least cost, which has cached the prompt
// or is for prompts of its length.
func (in admissionInput) spreads() bool {
	return in.Position > 0 && in.UrgentNeed > 0 && in.Waited > time.Duration(spreadShare*float64(in.Objective))
}

// room is the capacity of the upstreams for one exchange. It implements savoryloft.Room.
type room struct {
	exchange *exchange
	request  placer.Request
	choice   placer.Choice
	found    bool // An upstream is eligible.
}

// Take implements savoryloft.Room. The load of the request counts from then on.
func (m *room) Take(last bool) savoryloft.RoomReply {
	x := m.exchange
	now := time.Now()
	x.relayer.RefreshPeerLoads()
	key := x.rankKey()
	in := admissionInput{
		Position: x.bounds().Position(x.identity.Urgency), MaxFirstToken: x.bounds().MaxFirstToken(x.identity.Urgency), Objective: x.route.Objective, Waited: now.Sub(x.received), Last: last,
		Lateness: x.relayer.ranks.latenessOf(now, key), Share: x.relayer.loadShare(), Starting: x.relayer.ranks.starting(x.service),
	}
	in.UrgentNeed, in.UrgentLateness = x.relayer.ranks.urgent(now, key)
	if in.spreads() {
		m.request.MaxBacklog = in.maxBacklog()
	}
	_, m.choice, m.found = x.place(m.request)
	if !m.found {
		return savoryloft.RoomReply{Taken: true} // No upstream is eligible, which no wait here changes.
	}
	in.Choice, in.Slots = m.choice, m.choice.Upstream.Slots
	if in.Slots == 0 && m.request.Engine != nil {
		in.Slots = m.request.Engine.Slots
	}
	reply := decideAdmission(in)
	if reply.Taken {
		x.relayer.ranks.begin(now, key, x, m.choice)
		x.reserved, x.reservedUpstream = x.relayer.Placer.Start(now, m.choice, m.request), m.choice.Upstream.ID
	}
	return reply
}

var _ savoryloft.Room = (*room)(nil)

func (x *exchange) rankKey() rankKey { return rankKey{x.service, x.identity.Urgency} }

// subjectToAdmission reports whether the request must be admitted. What has been admitted
// once stays so, and a stream that has begun goes on.
func (x *exchange) subjectToAdmission() bool {
	return x.relayer.Admitter != nil && x.sends == 0 && x.grant == nil && !x.begun() && len(x.call.Parts) > 0 && x.route.Objective > 0
}

// admit waits until the upstreams have room for the request, and reserves it. It returns
// errOverloaded if the request is refused.
func (x *exchange) admit(req placer.Request) (placer.Choice, error) {
	r := x.relayer
	m := &room{exchange: x, request: req}
	started := time.Now()
	r.ranks.recordRequest(started, x.rankKey(), x.route.Objective)
	grant, err := r.Admitter.Admit(x.ctx, &admitter.Request{
		Pool: x.service, Account: x.identity.Account, Weight: 1, Arrived: x.received,
		Tokens: req.PromptTokens + req.OutputTokens, Class: x.admissionClass(req), Room: m,
	})
	x.waited = time.Since(started)
	x.choice, x.upstream = m.choice, m.choice.Upstream.ID
	x.observeAdmission(err)
	var refusal *savoryloft.Error
	switch {
	case errors.As(err, &refusal):
		x.overloadWait = refusal.RetryAfter
		return m.choice, errOverloaded
	case err != nil:
		return m.choice, err
	}
	x.grant = grant
	switch {
	case !m.found:
		return m.choice, errNoUpstream
	case x.waited > revocationMargin/2 && !x.stillPermitted():
		x.overloadWait = minOverloadRetryAfter // When it comes back it is told why.
		return m.choice, errOverloaded
	}
	return m.choice, nil
}

// admissionClass returns the class by which the request is queued. Its patience ends when
// no request that is not more urgent could meet its objective any more, if an idle upstream
// took this prompt: the more urgent one starts first, so it does not give up first.
func (x *exchange) admissionClass(req placer.Request) *savoryloft.Class {
	objective := x.route.Objective
	longest := x.bounds().LongestObjective(x.identity.Urgency)
	hold := longest - x.relayer.ranks.latenessOf(time.Now(), x.rankKey())
	hold -= time.Duration(float64(max(req.PromptTokens, 0)) / prefillTokensPerMs * float64(time.Millisecond))
	return &savoryloft.Class{
		Name: x.route.Name + " " + strconv.Itoa(x.identity.Urgency), Tier: x.table.Tier(x.identity, admitter.Tiers),
		FirstToken: savoryloft.Duration(objective), Patience: savoryloft.Duration(max(hold, time.Duration(minHoldShare*float64(longest)))),
	}
}

// prefillTokensPerMs is the assumed rate at which an idle upstream reads a prompt.
const prefillTokensPerMs = 60.0

// observeAdmission records the metrics of an admission.
func (x *exchange) observeAdmission(err error) {
	m, rank := x.relayer.Metrics, strconv.Itoa(x.identity.Urgency)
	var refusal *savoryloft.Error
	if errors.As(err, &refusal) {
		metrics.GetOrRegisterCounter("admission_refused_total."+refusal.Code+"."+rank, m).Inc(1)
	}
	if x.waited > 0 {
		observer.ObserveMilliseconds(m, "admission_wait_ms."+rank, x.waited)
	}
}

// takeReserved returns the run that was reserved for the request on the chosen upstream.
// It starts one if there is none, or if it is on another upstream.
func (x *exchange) takeReserved(c placer.Choice, req placer.Request) *placer.Run {
	if run := x.reserved; run != nil && c.Upstream.ID == x.reservedUpstream {
		x.reserved = nil
		return run
	}
	x.dropReserved()
	return x.relayer.Placer.Start(time.Now(), c, req)
}

// dropReserved ends the run that was reserved, if it was not used.
func (x *exchange) dropReserved() {
	if x.reserved != nil {
		x.reserved.End(time.Now(), placer.Cancelled)
		x.relayer.ranks.end(time.Now(), x.rankKey(), x, false)
		x.reserved = nil
	}
}

// releaseGrant makes room for the requests that wait once this one has ended.
func (x *exchange) releaseGrant() {
	x.dropReserved()
	if x.grant != nil {
		x.grant.Done(admitter.Observation{})
	}
}

// observeFirstToken records the time of the attempt's first token, after which the
// upstream may have room for others.
func (a *attempt) observeFirstToken() {
	x := a.exchange
	a.recordFirstToken(a.firstEventAt)
	x.relayer.ranks.end(a.firstEventAt, x.rankKey(), x, true)
	if queue := x.relayer.Admitter; queue != nil {
		queue.RoomChanged(x.service)
	}
}

// retryAfterOverload returns the Retry-After of a request that was refused because the
// upstreams are overloaded, within bounds.
func (x *exchange) retryAfterOverload() time.Duration {
	if x.overloadWait == 0 {
		return min(max(x.choice.TimeToFirstToken-x.route.Objective, minOverloadRetryAfter), maxOverloadRetryAfter)
	}
	limit := time.Duration(maxReturnShare / (1 + retryJitter) * float64(time.Until(x.deadline)))
	return max(min(x.overloadWait, limit), minOverloadRetryAfter)
}

// loadShare returns the last LoadShare.
func (r *Relayer) loadShare() float64 {
	if bits := r.share.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return 1
}

// Maintain removes state that is not needed any more and updates the gauges of the
// queues. It is called about once a second.
func (r *Relayer) Maintain(now time.Time) {
	r.ranks.prune(now)
	r.pressure.Prune(now)
	r.share.Store(math.Float64bits(r.LoadShare()))
	if r.Admitter == nil {
		return
	}
	for _, name := range r.Admitter.Pools() {
		for tier, queued := range r.Admitter.Pool(name).WaitingByTier() {
			metrics.GetOrRegisterGauge("admission_queued."+name+"."+strconv.Itoa(tier), r.Metrics).Update(int64(queued))
		}
	}
}
