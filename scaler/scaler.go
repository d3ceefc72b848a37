// Package scaler orders upstreams from the platform while this instance holds
// the lease. It compares demand with what runs and what is on order, and
// starts or stops one upstream at a time for each pool.
//
// An order is announced in the control stream before it is sent. It goes out
// once, over a connection opened before the last look at the lease, and is
// settled by asking the target when its answer is lost. A new holder settles
// every announced order without an outcome before its own first one.
//
// # Usage
//
//	s := &scaler.Scaler{Follower: f, Platform: client, Holder: elector, Demand: gossiper.Demand}
//	go s.Run(ctx)
package scaler

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/follower"
)

const (
	interval          = 500 * time.Millisecond
	targetUtilization = 0.7              // Part of the slots that demand should fill.
	shrinkAfter       = 60 * time.Second // Time that a surplus lasts before an upstream is stopped.
	listGrace         = 60 * time.Second // Time that a started upstream may take to appear on the list.
	orderMargin       = 250 * time.Millisecond
	noCapacityPause   = 5 * time.Second
	settleWait        = 5 * time.Second // Time for which an order must stay unknown to its target before it counts as not sent.
)

// Scaler keeps each pool at the size that demand asks for. Set the exported
// fields before Run.
type Scaler struct {
	Follower *follower.Follower
	Platform savoryloft.Platform
	Holder   savoryloft.Holder
	Instance string
	Timeout  time.Duration // Longest wait for the answer to an order.
	// TTL is the lease's; targets that ignore fencing numbers are left alone
	// for this long after the lease has changed hands.
	TTL time.Duration
	// Demand returns the fleet's running and waiting requests on a pool.
	Demand func(pool string) int
	// Listed returns the platform's list as last read.
	Listed func() []savoryloft.ListedInstance
	Logger logr.Logger

	mu      sync.Mutex
	fence   int       // Claim under which the fields below were learnt.
	since   time.Time // When that claim was first seen held.
	surplus map[string]time.Time
	started map[string]startedUpstream // Ordered upstreams that the list may not show yet.
	stopped map[string]time.Time       // Stopped upstreams that the list may still show.
	paused  map[string]time.Time       // Failure domains without capacity, by domain and pool.
	unknown map[string]time.Time       // Orders that their target does not know, by ID.
	counter int
}

type startedUpstream struct {
	pool   string
	domain string
	at     time.Time
}

// Run places orders while the lease is held, until ctx ends.
func (s *Scaler) Run(ctx context.Context) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			if err := s.Step(ctx); err != nil {
				s.Logger.V(1).Info("order not placed", "step", savoryloft.StepOrder, "error", err.Error())
			}
		}
	}
}

// Step settles open orders, then places at most one order for each pool.
func (s *Scaler) Step(ctx context.Context) error {
	fence, _, ok := s.Holder.Held()
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takeOver(fence)
	if err := s.settleIntents(ctx); err != nil {
		return errors.Annotate(err, "settle open orders")
	}
	v := s.Follower.View()
	if v == nil || v.Config == nil {
		return nil
	}
	for _, pool := range sortedPools(v.Config) {
		if pool.Maximum == 0 || !pool.ChecksFencing && time.Since(s.since) < s.TTL {
			continue
		}
		order, ok := s.decide(pool, s.Demand(pool.Name), time.Now())
		if !ok {
			continue
		}
		if err := s.place(ctx, fence, order); err != nil {
			return err
		}
	}
	return nil
}

// takeOver starts from nothing under a new claim: what earlier holders ordered
// is on the list or among the open intents.
func (s *Scaler) takeOver(fence int) {
	if s.surplus != nil && s.fence == fence {
		return
	}
	s.fence, s.since = fence, time.Now()
	s.surplus = map[string]time.Time{}
	if s.started == nil {
		s.started = map[string]startedUpstream{}
		s.stopped = map[string]time.Time{}
		s.paused = map[string]time.Time{}
		s.unknown = map[string]time.Time{}
	}
}

// settleIntents asks the target about each announced order without an outcome.
// No new order goes out while one is open.
func (s *Scaler) settleIntents(ctx context.Context) error {
	for id, i := range s.Follower.View().Intents {
		res, err := s.Platform.FindOrder(ctx, i.Order.FailureDomain, id)
		switch {
		case err == nil:
			s.remember(i.Order, res.Upstream)
			err = s.recordOutcome(ctx, id, savoryloft.OrderOutcomeResultDone, res.Upstream)
		case errors.Is(err, savoryloft.ErrNotFound):
			err = s.settleUnknown(ctx, id)
		}
		if err != nil {
			return errors.Annotatef(err, "order %s", id)
		}
	}
	return nil
}

// settleUnknown counts an order as not sent once its target has not known it
// for so long that a slow write can not be on its way any more.
func (s *Scaler) settleUnknown(ctx context.Context, id string) error {
	since, ok := s.unknown[id]
	if !ok {
		s.unknown[id] = time.Now()
		return errors.Annotate(savoryloft.ErrUnknownOutcome, "asked for the first time")
	}
	if time.Since(since) < settleWait {
		return errors.Annotate(savoryloft.ErrUnknownOutcome, "still waiting")
	}
	delete(s.unknown, id)
	return s.recordOutcome(ctx, id, savoryloft.OrderOutcomeResultNotSent, "")
}

// place announces an order, sends it once and records the outcome.
func (s *Scaler) place(ctx context.Context, fence int, o savoryloft.Order) error {
	s.counter++
	o.ID = fmt.Sprintf("order-%d-%s-%d", fence, s.Instance, s.counter)
	o.Fence = fence
	if _, err := s.Follower.Publish(ctx, savoryloft.Record{
		ID:     "intent-" + o.ID,
		Intent: &savoryloft.OrderIntent{Claim: fence, Order: o},
	}); err != nil {
		return errors.Annotate(err, "announce order")
	}
	if _, ok := s.Follower.View().Intents[o.ID]; !ok {
		return errors.Annotatef(savoryloft.ErrLeaseLost, "order %s", o.ID)
	}
	orderCtx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	res, err := s.Platform.PlaceOrder(orderCtx, o, func() error { return s.guard(fence) })
	switch {
	case err == nil:
		s.remember(o, res.Upstream)
		s.Logger.Info("order placed", "step", savoryloft.StepOrder, "order", o.ID, "action", o.Action, "pool", o.Pool,
			"domain", o.FailureDomain, "upstream", res.Upstream)
		return s.recordOutcome(ctx, o.ID, savoryloft.OrderOutcomeResultDone, res.Upstream)
	case errors.Is(err, savoryloft.ErrNoCapacity):
		s.paused[o.FailureDomain+"/"+o.Pool] = time.Now()
		return s.recordOutcome(ctx, o.ID, savoryloft.OrderOutcomeResultRefused, "")
	case errors.Is(err, savoryloft.ErrFenced):
		return s.recordOutcome(ctx, o.ID, savoryloft.OrderOutcomeResultRefused, "")
	case errors.Is(err, savoryloft.ErrUnavailable):
		return s.recordOutcome(ctx, o.ID, savoryloft.OrderOutcomeResultNotSent, "")
	default:
		return errors.Annotatef(err, "order %s stays open until its target tells", o.ID)
	}
}

// guard is the last look at the lease before an order's one write.
func (s *Scaler) guard(fence int) error {
	held, left, ok := s.Holder.Held()
	if !ok || held != fence || left < s.Timeout+orderMargin {
		return savoryloft.ErrLeaseLost
	}
	return nil
}

func (s *Scaler) recordOutcome(ctx context.Context, id string, result savoryloft.OrderOutcomeResult, upstream string) error {
	_, err := s.Follower.Publish(ctx, savoryloft.Record{
		ID:      "outcome-" + id,
		Outcome: &savoryloft.OrderOutcome{OrderID: id, Result: result, Upstream: upstream},
	})
	return errors.Annotatef(err, "record outcome of order %s", id)
}

func (s *Scaler) remember(o savoryloft.Order, upstream string) {
	if o.Action == savoryloft.OrderActionStart {
		s.started[upstream] = startedUpstream{pool: o.Pool, domain: o.FailureDomain, at: time.Now()}
		return
	}
	s.stopped[upstream] = time.Now()
}

// decide returns the next order for a pool.
func (s *Scaler) decide(pool savoryloft.Pool, demand int, now time.Time) (savoryloft.Order, bool) {
	rows := s.present(pool.Name, now)
	want := wanted(pool, demand)
	o := savoryloft.Order{Pool: pool.Name}
	switch {
	case len(rows) < want:
		delete(s.surplus, pool.Name)
		domain, ok := s.emptiestDomain(pool.Name, rows, now)
		if !ok {
			return o, false
		}
		o.Action = savoryloft.OrderActionStart
		o.FailureDomain = domain
		o.Reclaimable = reclaimable(rows)*100 < pool.ReclaimablePercent*(len(rows)+1)
		return o, true
	case len(rows) > want:
		since, ok := s.surplus[pool.Name]
		if !ok {
			s.surplus[pool.Name] = now
			return o, false
		}
		if now.Sub(since) < shrinkAfter {
			return o, false
		}
		delete(s.surplus, pool.Name)
		victim := dearest(rows)
		o.Action = savoryloft.OrderActionStop
		o.FailureDomain = victim.FailureDomain
		o.Upstream = victim.Name
		return o, true
	default:
		delete(s.surplus, pool.Name)
		return o, false
	}
}

// wanted returns the number of upstreams that demand asks for.
func wanted(pool savoryloft.Pool, demand int) int {
	n := int(math.Ceil(float64(demand) / (targetUtilization * float64(pool.Slots))))
	return min(max(n, pool.Minimum), pool.Maximum)
}

// present returns the live upstreams of a pool: those on the list, without the
// ones stopped since, and the ones started that the list does not show yet.
func (s *Scaler) present(pool string, now time.Time) []savoryloft.ListedInstance {
	var rows []savoryloft.ListedInstance
	for _, i := range s.Listed() {
		if i.Pool != pool || i.Kind != savoryloft.ListedInstanceKindUpstream {
			continue
		}
		delete(s.started, i.Name)
		if _, ok := s.stopped[i.Name]; ok || i.State == savoryloft.ListedInstanceStateLeaving {
			continue
		}
		rows = append(rows, i)
	}
	for name, u := range s.started {
		switch {
		case now.Sub(u.at) > listGrace:
			delete(s.started, name)
		case u.pool == pool:
			rows = append(rows, savoryloft.ListedInstance{Name: name, Pool: pool, FailureDomain: u.domain})
		}
	}
	return rows
}

// emptiestDomain returns the failure domain with the fewest upstreams of a
// pool among those not known to lack capacity.
func (s *Scaler) emptiestDomain(pool string, rows []savoryloft.ListedInstance, now time.Time) (string, bool) {
	count := map[string]int{}
	for _, i := range s.Listed() {
		count[i.FailureDomain] += 0
	}
	for _, r := range rows {
		count[r.FailureDomain]++
	}
	best := ""
	for domain, n := range count {
		if t, ok := s.paused[domain+"/"+pool]; ok && now.Sub(t) < noCapacityPause {
			continue
		}
		if best == "" || n < count[best] || n == count[best] && domain < best {
			best = domain
		}
	}
	return best, best != ""
}

func reclaimable(rows []savoryloft.ListedInstance) int {
	n := 0
	for _, r := range rows {
		if r.Reclaimable {
			n++
		}
	}
	return n
}

// dearest returns the upstream that costs most; of equals the last by name.
func dearest(rows []savoryloft.ListedInstance) savoryloft.ListedInstance {
	return slices.MaxFunc(rows, func(a, b savoryloft.ListedInstance) int {
		switch {
		case a.CostPerHour < b.CostPerHour || a.CostPerHour == b.CostPerHour && a.Name < b.Name:
			return -1
		default:
			return 1
		}
	})
}

func sortedPools(c *follower.Config) []savoryloft.Pool {
	var list []savoryloft.Pool
	for _, p := range c.Pools {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b savoryloft.Pool) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}
