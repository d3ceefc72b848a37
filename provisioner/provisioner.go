// Package provisioner orders upstreams by failure domain and kind, on-demand or
// reclaimable, while this instance holds the lease.
//
// Reclaimable upstreams are cheaper, but the platform can reclaim those of a
// whole failure domain at once. Each failure domain therefore has spare
// upstreams, and keeps on-demand ones until reclaimable ones have registered.
//
// # Usage
//
//	p := &provisioner.Provisioner{Store: claimer, Target: duties, Services: services, Upstreams: upstreams, Logger: log}
//	go p.Run(ctx)
package provisioner

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
)

const (
	stepInterval           = 250 * time.Millisecond
	callTimeout            = 800 * time.Millisecond // Timeout of an order, which must end while the lease is held.
	resendDelay            = 3 * time.Second        // Wait beyond the boot time before an order without effect is resent.
	refusedBackoff         = 2 * time.Second        // Delay after an order was refused, for lack of capacity or an old fencing token.
	failureBackoff         = 700 * time.Millisecond // Delay after an order failed for another reason.
	registrationHeartbeats = 2                      // Heartbeat intervals until every live upstream has registered.
)

// DutyStore gives access to the lease and the service sizes in the duties topic.
type DutyStore interface {
	savoryloft.Holder
	// Size returns the stored number of upstreams of a service; ok is false when
	// none is stored.
	Size(service string) (upstreams int, ok bool)
	// SetSize stores the number of upstreams of a service.
	SetSize(ctx context.Context, service string, upstreams int) error
}

// Provisioner sends scale orders for all services. Set the exported fields
// before Run.
type Provisioner struct {
	Store  DutyStore
	Target savoryloft.DutyTarget
	// Services returns the services of the current configuration.
	Services func() []savoryloft.UpstreamService
	// Upstreams returns the registered upstreams of a service.
	Upstreams func(service string) []savoryloft.RegisteredUpstream
	// Running returns the number of running requests of a service on all instances.
	Running func(service string) int
	// Heartbeat is the interval at which upstreams renew their registration.
	Heartbeat time.Duration
	Logger    logr.Logger

	sizers map[string]*sizer
	fence  int // Fencing token under which sizers and orders were recorded.
	orders map[orderKey]*orderRecord
}

// orderKey identifies the upstream count that an order sets.
type orderKey struct {
	service     string
	domain      string
	reclaimable bool
}

// orderRecord describes the last order for a key. Times are uptimes, see
// savoryloft.Uptime.
type orderRecord struct {
	count      int // Ordered number of upstreams; -1 when unknown.
	placedAt   time.Duration
	retryAt    time.Duration // Earliest time of the next order.
	noCapacity bool          // The last order was refused for lack of capacity.
}

// Run sends orders while the lease is held, until ctx ends.
func (p *Provisioner) Run(ctx context.Context) error {
	p.orders = map[orderKey]*orderRecord{}
	p.sizers = map[string]*sizer{}
	for ctx.Err() == nil {
		if fence, left, ok := p.Store.Held(); ok && left > callTimeout {
			p.step(ctx, fence)
		}
		savoryloft.Sleep(ctx, stepInterval)
	}
	return nil
}

// step sends the due orders of all services. It discards recorded orders when
// the fencing token has changed.
func (p *Provisioner) step(ctx context.Context, fence int) {
	if fence != p.fence {
		p.fence = fence
		p.orders = map[orderKey]*orderRecord{}
		p.sizers = map[string]*sizer{}
	}
	for _, s := range p.Services() {
		if s.Scaling != nil && !p.scaleService(ctx, s) {
			return
		}
	}
}

// scaleService stores the size of one service and sends its due orders. It
// returns false when no more orders should be sent in this step.
func (p *Provisioner) scaleService(ctx context.Context, s savoryloft.UpstreamService) bool {
	upstreams := p.Upstreams(s.Name)
	names := sortedDomains(*s.Scaling)
	domains := make([]DomainState, len(names))
	var current UpstreamCounts
	for i, name := range names {
		domains[i] = DomainState{
			Name: name, Current: countUpstreams(upstreams, name), NoCapacity: p.recordOf(orderKey{s.Name, name, true}).noCapacity,
		}
		current.OnDemand += domains[i].Current.OnDemand
		current.Reclaimable += domains[i].Current.Reclaimable
	}
	z := p.sizers[s.Name]
	if z == nil {
		z = &sizer{registrationTime: time.Duration(registrationHeartbeats * float64(p.Heartbeat))}
		p.sizers[s.Name] = z
	}
	z.observe(savoryloft.Uptime(), p.Running(s.Name))
	target, _ := p.Store.Size(s.Name)
	desired := z.desired(current.sum(), len(domains), target)
	if desired == 0 {
		return true
	}
	if desired != target {
		if err := p.Store.SetSize(ctx, s.Name, desired); err != nil {
			p.Logger.Info("failed to store service size", "step", savoryloft.StepOrder, "service", s.Name, "upstreams", desired, "error", err.Error())
			return false
		}
		p.Logger.Info("service size changed", "step", savoryloft.StepOrder, "service", s.Name, "upstreams", desired, "before", target,
			"registered", current.sum(), "running", int(z.meanRunning))
	}
	plan := Plan(*s.Scaling, desired, domains, !z.sawRequests)
	for i, d := range domains {
		// Reclaimable upstreams are ordered first; the on-demand ones that they
		// replace are released once they have registered.
		if !p.placeOrder(ctx, s, orderKey{s.Name, d.Name, true}, plan[i].Reclaimable, d.Current.Reclaimable) ||
			!p.placeOrder(ctx, s, orderKey{s.Name, d.Name, false}, plan[i].OnDemand, d.Current.OnDemand) {
			return false
		}
	}
	return true
}

// recordOf returns the record of the last order for a key. It adds an empty
// record when there is none.
func (p *Provisioner) recordOf(key orderKey) *orderRecord {
	o := p.orders[key]
	if o == nil {
		o = &orderRecord{count: -1}
		p.orders[key] = o
	}
	return o
}

// placeOrder sends one order if it is due. It returns false when no more orders
// should be sent in this step.
func (p *Provisioner) placeOrder(ctx context.Context, s savoryloft.UpstreamService, key orderKey, desired, current int) bool {
	o := p.recordOf(key)
	now := savoryloft.Uptime()
	if now < o.retryAt {
		return true
	}
	if o.count < 0 && desired == current {
		o.count, o.placedAt = desired, now
		return true
	}
	if o.count == desired && (current == desired || now-o.placedAt < s.Scaling.Boot+resendDelay) {
		return true
	}
	fence, left, ok := p.Store.Held()
	if !ok || left < callTimeout {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := p.Target.PlaceScaleOrder(callCtx, fence, savoryloft.ScaleOrder{
		Service: key.service, FailureDomain: key.domain, Count: desired, Reclaimable: key.reclaimable,
	})
	p.Logger.Info("order", "step", savoryloft.StepOrder, "service", key.service, "domain", key.domain, "reclaimable", key.reclaimable,
		"count", desired, "registered", current, "before", o.count, "fence", fence, "error", errorText(err))
	o.noCapacity = errors.Is(err, savoryloft.ErrNoCapacity)
	switch {
	case err == nil:
		o.count, o.placedAt = desired, now
	case o.noCapacity:
		o.retryAt = now + refusedBackoff
	case errors.Is(err, savoryloft.ErrFenced):
		o.retryAt = now + refusedBackoff
		return false
	default:
		o.count, o.retryAt = -1, now+failureBackoff
	}
	return true
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
