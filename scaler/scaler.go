// Package scaler orders upstreams from the platform while this instance holds
// the lease. It compares demand with the running and ordered upstreams, and
// starts or stops one upstream at a time for each pool.
//
// The scaler publishes an intent in the control stream before it sends an
// order. It sends the order once, over a connection opened before the final
// check of the lease. An order without a recorded outcome is open, for example
// because the response was lost. The scaler resolves an open order by querying
// the order's target, which is the platform's order interface for its failure
// domain. A new lease holder resolves all open orders before it places its first
// order.
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
	stepInterval      = 500 * time.Millisecond
	targetUtilization = 0.7                    // Share of the slots that demand should occupy.
	scaleDownDelay    = 60 * time.Second       // Time for which a surplus must last before an upstream is stopped.
	listTimeout       = 60 * time.Second       // Longest time for a started upstream to appear in the list.
	leaseMargin       = 250 * time.Millisecond // Lease time that must remain beyond the order timeout.
	noCapacityBackoff = 5 * time.Second        // Time for which a failure domain without capacity is skipped.
	notSentDelay      = 5 * time.Second        // Time for which the target must report an order as not found before it counts as not sent.
)

// Scaler adjusts the size of each pool to its demand. Set the exported fields
// before Run.
type Scaler struct {
	Follower     *follower.Follower
	Platform     savoryloft.Platform
	Holder       savoryloft.Holder
	Instance     string
	OrderTimeout time.Duration // Longest wait for the response to an order.
	// LeaseTTL is the TTL of the lease. Pools whose target does not check fencing
	// tokens get no orders for this long after a new claim, since an order of the
	// previous holder may still take effect.
	LeaseTTL time.Duration
	// Demand returns the running and queued requests of a pool on all instances.
	Demand func(pool string) int
	// ListedInstances returns the most recently fetched platform list of instances.
	ListedInstances func() []savoryloft.ListedInstance
	Logger          logr.Logger

	mu            sync.Mutex
	fence         int                        // Fencing token of the claim to which heldSince and surplusSince belong.
	heldSince     time.Time                  // Time of the first step under that claim.
	surplusSince  map[string]time.Time       // Start of the current surplus, by pool.
	started       map[string]startedUpstream // Started upstreams that may be missing from the list, by name.
	stopped       map[string]time.Time       // Stopped upstreams that may still be in the list, by name.
	noCapacityAt  map[string]time.Time       // Last refusal for lack of capacity, by "DOMAIN/POOL".
	notFoundSince map[string]time.Time       // First query that did not find an order, by order ID.
	orderCount    int
}

type startedUpstream struct {
	pool   string
	domain string
	at     time.Time
}

// Run places orders while the lease is held, until ctx ends.
func (s *Scaler) Run(ctx context.Context) error {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			if err := s.Step(ctx); err != nil {
				s.Logger.V(1).Info("scaling step failed", "step", savoryloft.StepOrder, "error", err.Error())
			}
		}
	}
}

// Step resolves open orders, then places at most one order for each pool. It
// does nothing while the lease is not held.
func (s *Scaler) Step(ctx context.Context) error {
	fence, _, ok := s.Holder.Held()
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetForClaim(fence)
	if err := s.resolveIntents(ctx); err != nil {
		return errors.Annotate(err, "resolve open orders")
	}
	v := s.Follower.View()
	if v == nil || v.Config == nil {
		return nil
	}
	for _, pool := range sortedPools(v.Config) {
		if pool.Maximum == 0 || !pool.ChecksFencing && time.Since(s.heldSince) < s.LeaseTTL {
			continue
		}
		order, ok := s.nextOrder(pool, s.Demand(pool.Name), time.Now())
		if !ok {
			continue
		}
		if err := s.placeOrder(ctx, fence, order); err != nil {
			return err
		}
	}
	return nil
}

// resetForClaim resets the surplus timers when the claim has changed. It need not
// restore the orders of earlier holders: they are in the platform's list or among
// the open intents.
func (s *Scaler) resetForClaim(fence int) {
	if s.surplusSince != nil && s.fence == fence {
		return
	}
	s.fence, s.heldSince = fence, time.Now()
	s.surplusSince = map[string]time.Time{}
	if s.started == nil {
		s.started = map[string]startedUpstream{}
		s.stopped = map[string]time.Time{}
		s.noCapacityAt = map[string]time.Time{}
		s.notFoundSince = map[string]time.Time{}
	}
}

// resolveIntents queries the target of each open order for its outcome. It
// returns an error while any order remains open, so that no new order is placed.
func (s *Scaler) resolveIntents(ctx context.Context) error {
	for id, i := range s.Follower.View().Intents {
		res, err := s.Platform.FindOrder(ctx, i.Order.FailureDomain, id)
		switch {
		case err == nil:
			s.trackOrder(i.Order, res.Upstream)
			err = s.recordOutcome(ctx, id, savoryloft.OrderOutcomeResultDone, res.Upstream)
		case errors.Is(err, savoryloft.ErrNotFound):
			err = s.resolveNotFound(ctx, id)
		}
		if err != nil {
			return errors.Annotatef(err, "order %s", id)
		}
	}
	return nil
}

// resolveNotFound records an order as not sent once the target has reported it
// as not found for notSentDelay, after which a delayed write can no longer
// arrive. Until then it returns ErrUnknownOutcome.
func (s *Scaler) resolveNotFound(ctx context.Context, id string) error {
	since, ok := s.notFoundSince[id]
	if !ok {
		s.notFoundSince[id] = time.Now()
		return errors.Annotate(savoryloft.ErrUnknownOutcome, "not found by the first query; will be queried again")
	}
	if time.Since(since) < notSentDelay {
		return errors.Annotate(savoryloft.ErrUnknownOutcome, "not found, but a delayed write may still arrive")
	}
	delete(s.notFoundSince, id)
	return s.recordOutcome(ctx, id, savoryloft.OrderOutcomeResultNotSent, "")
}

// placeOrder publishes the intent of an order, sends the order once and records
// the outcome. It returns ErrLeaseLost when the intent was not accepted.
func (s *Scaler) placeOrder(ctx context.Context, fence int, o savoryloft.Order) error {
	s.orderCount++
	o.ID = fmt.Sprintf("order-%d-%s-%d", fence, s.Instance, s.orderCount)
	o.Fence = fence
	if _, err := s.Follower.Publish(ctx, savoryloft.Record{
		ID:     "intent-" + o.ID,
		Intent: &savoryloft.OrderIntent{Claim: fence, Order: o},
	}); err != nil {
		return errors.Annotate(err, "publish intent")
	}
	if _, ok := s.Follower.View().Intents[o.ID]; !ok {
		return errors.Annotatef(savoryloft.ErrLeaseLost, "intent of order %s was not accepted", o.ID)
	}
	orderCtx, cancel := context.WithTimeout(ctx, s.OrderTimeout)
	defer cancel()
	res, err := s.Platform.PlaceOrder(orderCtx, o, func() error { return s.checkLease(fence) })
	switch {
	case err == nil:
		s.trackOrder(o, res.Upstream)
		s.Logger.Info("order placed", "step", savoryloft.StepOrder, "order", o.ID, "action", o.Action, "pool", o.Pool,
			"domain", o.FailureDomain, "upstream", res.Upstream)
		return s.recordOutcome(ctx, o.ID, savoryloft.OrderOutcomeResultDone, res.Upstream)
	case errors.Is(err, savoryloft.ErrNoCapacity):
		s.noCapacityAt[o.FailureDomain+"/"+o.Pool] = time.Now()
		return s.recordOutcome(ctx, o.ID, savoryloft.OrderOutcomeResultRefused, "")
	case errors.Is(err, savoryloft.ErrFenced):
		return s.recordOutcome(ctx, o.ID, savoryloft.OrderOutcomeResultRefused, "")
	case errors.Is(err, savoryloft.ErrUnavailable):
		return s.recordOutcome(ctx, o.ID, savoryloft.OrderOutcomeResultNotSent, "")
	default:
		return errors.Annotatef(err, "order %s stays open: outcome unknown", o.ID)
	}
}

// checkLease returns ErrLeaseLost unless the lease is held under fence for long
// enough to send an order and receive its response.
func (s *Scaler) checkLease(fence int) error {
	held, remaining, ok := s.Holder.Held()
	if !ok || held != fence || remaining < s.OrderTimeout+leaseMargin {
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

// trackOrder records the upstream that an order has started or stopped, since the
// platform's list lags behind.
func (s *Scaler) trackOrder(o savoryloft.Order, upstream string) {
	if o.Action == savoryloft.OrderActionStart {
		s.started[upstream] = startedUpstream{pool: o.Pool, domain: o.FailureDomain, at: time.Now()}
		return
	}
	s.stopped[upstream] = time.Now()
}

// nextOrder returns the next order for a pool. It returns false when no order is
// due.
func (s *Scaler) nextOrder(pool savoryloft.Pool, demand int, now time.Time) (savoryloft.Order, bool) {
	upstreams := s.currentUpstreams(pool.Name, now)
	desired := desiredUpstreams(pool, demand)
	o := savoryloft.Order{Pool: pool.Name}
	switch {
	case len(upstreams) < desired:
		delete(s.surplusSince, pool.Name)
		domain, ok := s.leastUsedDomain(pool.Name, upstreams, now)
		if !ok {
			return o, false
		}
		o.Action = savoryloft.OrderActionStart
		o.FailureDomain = domain
		o.Reclaimable = countReclaimable(upstreams)*100 < pool.ReclaimablePercent*(len(upstreams)+1)
		return o, true
	case len(upstreams) > desired:
		since, ok := s.surplusSince[pool.Name]
		if !ok {
			s.surplusSince[pool.Name] = now
			return o, false
		}
		if now.Sub(since) < scaleDownDelay {
			return o, false
		}
		delete(s.surplusSince, pool.Name)
		surplus := mostExpensive(upstreams)
		o.Action = savoryloft.OrderActionStop
		o.FailureDomain = surplus.FailureDomain
		o.Upstream = surplus.Name
		return o, true
	default:
		delete(s.surplusSince, pool.Name)
		return o, false
	}
}

// desiredUpstreams returns the number of upstreams for a demand, within the
// limits of the pool.
func desiredUpstreams(pool savoryloft.Pool, demand int) int {
	n := int(math.Ceil(float64(demand) / (targetUtilization * float64(pool.Slots))))
	return min(max(n, pool.Minimum), pool.Maximum)
}

// currentUpstreams returns the upstreams of a pool: the listed ones, except those
// that are leaving or were stopped by an order, and the started ones that are not
// listed yet.
func (s *Scaler) currentUpstreams(pool string, now time.Time) []savoryloft.ListedInstance {
	var upstreams []savoryloft.ListedInstance
	for _, i := range s.ListedInstances() {
		if i.Pool != pool || i.Kind != savoryloft.ListedInstanceKindUpstream {
			continue
		}
		delete(s.started, i.Name)
		if _, ok := s.stopped[i.Name]; ok || i.State == savoryloft.ListedInstanceStateLeaving {
			continue
		}
		upstreams = append(upstreams, i)
	}
	for name, u := range s.started {
		switch {
		case now.Sub(u.at) > listTimeout:
			delete(s.started, name)
		case u.pool == pool:
			upstreams = append(upstreams, savoryloft.ListedInstance{Name: name, Pool: pool, FailureDomain: u.domain})
		}
	}
	return upstreams
}

// leastUsedDomain returns the failure domain with the fewest upstreams of a
// pool, except for domains that recently lacked capacity for the pool. It
// returns false when no domain is left.
func (s *Scaler) leastUsedDomain(pool string, upstreams []savoryloft.ListedInstance, now time.Time) (string, bool) {
	count := map[string]int{}
	for _, i := range s.ListedInstances() {
		count[i.FailureDomain] += 0 // Adds domains without an upstream of the pool.
	}
	for _, u := range upstreams {
		count[u.FailureDomain]++
	}
	best := ""
	for domain, n := range count {
		if t, ok := s.noCapacityAt[domain+"/"+pool]; ok && now.Sub(t) < noCapacityBackoff {
			continue
		}
		if best == "" || n < count[best] || n == count[best] && domain < best {
			best = domain
		}
	}
	return best, best != ""
}

func countReclaimable(upstreams []savoryloft.ListedInstance) int {
	n := 0
	for _, u := range upstreams {
		if u.Reclaimable {
			n++
		}
	}
	return n
}

// mostExpensive returns the upstream with the highest cost per hour and, among
// those of equal cost, the last by name.
func mostExpensive(upstreams []savoryloft.ListedInstance) savoryloft.ListedInstance {
	return slices.MaxFunc(upstreams, func(a, b savoryloft.ListedInstance) int {
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
