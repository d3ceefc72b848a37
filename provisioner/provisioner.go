// Package provisioner scales upstream services while this instance holds the
// lease. It orders on-demand and reclaimable upstreams for each failure domain.
//
// Reclaimable upstreams are cheaper, but the platform can reclaim those of a
// whole failure domain at once. Each service therefore has spare upstreams, and
// a failure domain keeps its on-demand upstreams until reclaimable ones have
// registered.
//
// # Usage
//
//	p := &provisioner.Provisioner{Store: claimer, Target: target, Services: services, Upstreams: upstreams,
//		Load: load, Heartbeat: time.Second, Logger: log}
//	go p.Run(ctx)
package provisioner

import (
	"context"
	"math"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"savoryloft.example/savoryloft"
)

const (
	stepInterval = 250 * time.Millisecond
	// callTimeout is the timeout of an order. It is also the lease time that must
	// remain when the order is sent, so that the call ends while the lease is held.
	callTimeout = 800 * time.Millisecond
	// resendDelay is added to the boot time of upstreams. An order is resent after
	// this time if the number of registered upstreams still differs.
	resendDelay            = 3 * time.Second
	refusedBackoff         = 2 * time.Second        // Delay after an order was refused for lack of capacity or an outdated fencing token.
	failureBackoff         = 700 * time.Millisecond // Delay after an order failed for another reason.
	registrationHeartbeats = 2                      // Heartbeat intervals until every live upstream has registered.
)

// DutyStore reads the lease and reads and writes the service sizes in the duties
// topic.
type DutyStore interface {
	savoryloft.Holder
	// Size returns the stored number of upstreams of a service. ok is false when no
	// number is stored.
	Size(service string) (upstreams int, ok bool)
	// SetSize stores the number of upstreams of a service.
	SetSize(ctx context.Context, service string, upstreams int) error
}

// Provisioner sends scale orders for all services that have scaling settings. Set
// the exported fields before calling Run.
type Provisioner struct {
	Store  DutyStore
	Target savoryloft.DutyTarget
	// Services returns the services of the current configuration.
	Services func() []savoryloft.UpstreamService
	// Upstreams returns the registered upstreams of a service.
	Upstreams func(service string) []savoryloft.RegisteredUpstream
	// Load returns the load of a service on all instances.
	Load func(service string) ServiceLoad
	// Heartbeat is the interval at which upstreams renew their registration.
	Heartbeat time.Duration
	Metrics   metrics.Registry // Of the forecasts; go-metrics' default registry if nil.
	Logger    logr.Logger

	sizers map[string]*sizer
	fence  int // Fencing token of the lease to which sizers and orders belong.
	orders map[orderKey]*orderRecord
}

// orderKey identifies a group of upstreams whose count is set by one order.
type orderKey struct {
	service     string
	domain      string
	reclaimable bool
}

// orderRecord is the state of the last order for a key. Times are uptimes, see
// savoryloft.Uptime.
type orderRecord struct {
	count      int // Ordered number of upstreams; -1 if unknown.
	placedAt   time.Duration
	retryAt    time.Duration // Earliest time of the next order.
	noCapacity bool          // The last order was refused for lack of capacity.
}

// Run sends orders while the lease is held, until ctx is done. It always returns
// nil.
func (p *Provisioner) Run(ctx context.Context) error {
	p.orders = map[orderKey]*orderRecord{}
	p.sizers = map[string]*sizer{}
	for ctx.Err() == nil {
		if fence, remaining, ok := p.Store.Held(); ok && remaining > callTimeout {
			p.step(ctx, fence)
		}
		savoryloft.Sleep(ctx, stepInterval)
	}
	return nil
}

// step sends the due orders of all services. When the fencing token has changed,
// it first discards the recorded orders and the sizers.
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

// scaleService updates the stored size of one service and sends its due orders.
// It returns false if no more orders may be sent in this step.
func (p *Provisioner) scaleService(ctx context.Context, s savoryloft.UpstreamService) bool {
	upstreams := p.Upstreams(s.Name)
	names := sortedDomains(*s.Scaling)
	domains := make([]DomainState, len(names))
	var current UpstreamCounts
	fleet := Fleet{Domains: len(names), Max: s.Scaling.Max}
	for i, name := range names {
		domains[i] = DomainState{
			Name: name, Current: countUpstreams(upstreams, name), NoCapacity: p.lastOrder(orderKey{s.Name, name, true}).noCapacity,
		}
		fleet.NoCapacity = fleet.NoCapacity || domains[i].NoCapacity
		current.OnDemand += domains[i].Current.OnDemand
		current.Reclaimable += domains[i].Current.Reclaimable
	}
	sz := p.sizers[s.Name]
	if sz == nil {
		sz = &sizer{registrationTime: time.Duration(registrationHeartbeats * float64(p.Heartbeat))}
		p.sizers[s.Name] = sz
	}
	sz.slots, sz.bootTime = slotsOf(s, upstreams), s.Scaling.BootTime
	if s.Engine != nil {
		sz.memoryTokens = s.Engine.MemoryTokens
	}
	sz.observe(savoryloft.Uptime(), p.Load(s.Name))
	target, _ := p.Store.Size(s.Name)
	fleet.Target, fleet.Registered = target, current.sum()
	desired := sz.desired(fleet)
	f := sz.forecast()
	p.setGauges(s.Name, f, fleet, desired)
	if desired == 0 {
		return true
	}
	if desired != target {
		if err := p.Store.SetSize(ctx, s.Name, desired); err != nil {
			p.Logger.Info("failed to store service size", "step", savoryloft.StepOrder, "service", s.Name, "upstreams", desired, "error", err.Error())
			return false
		}
		p.Logger.Info("service size changed", "step", savoryloft.StepOrder, "service", s.Name, "upstreams", desired, "before", target,
			"registered", current.sum(), "forecast", f.String(), "kept", int(math.Ceil(f.Kept(fleet.Domains))), "no_capacity", fleet.NoCapacity)
	}
	plan := Plan(*s.Scaling, desired, domains, !sz.hadRequests)
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

// setGauges sets the gauges that tell what the size of a service was decided on.
func (p *Provisioner) setGauges(service string, f Forecast, fleet Fleet, size int) {
	set := func(name string, v float64) {
		metrics.GetOrRegisterGauge("scaling_"+name+"."+service, p.Metrics).Update(int64(math.Round(v)))
	}
	set("size", float64(size))
	set("registered", float64(fleet.Registered))
	set("running", f.Running)
	set("running_expected", f.Expected)
	set("running_peak", f.Peak)
	set("kept", math.Ceil(f.Kept(fleet.Domains)))
}

// slotsOf returns the number of slots of a service's upstreams, or 0 if it is
// unknown.
func slotsOf(s savoryloft.UpstreamService, upstreams []savoryloft.RegisteredUpstream) int {
	if len(upstreams) > 0 && upstreams[0].Slots > 0 {
		return upstreams[0].Slots
	}
	if s.Engine != nil {
		return s.Engine.Slots
	}
	return 0
}

// lastOrder returns the record of the last order for a key, and adds one with an
// unknown count if there is none.
func (p *Provisioner) lastOrder(key orderKey) *orderRecord {
	record := p.orders[key]
	if record == nil {
		record = &orderRecord{count: -1}
		p.orders[key] = record
	}
	return record
}

// placeOrder sends one order if it is due. It returns false if no more orders may
// be sent in this step.
func (p *Provisioner) placeOrder(ctx context.Context, s savoryloft.UpstreamService, key orderKey, desired, current int) bool {
	last := p.lastOrder(key)
	now := savoryloft.Uptime()
	if now < last.retryAt {
		return true
	}
	if last.count < 0 && desired == current {
		last.count, last.placedAt = desired, now
		return true
	}
	if last.count == desired && (current == desired || now-last.placedAt < s.Scaling.BootTime+resendDelay) {
		return true
	}
	fence, remaining, ok := p.Store.Held()
	if !ok || remaining < callTimeout {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := p.Target.PlaceScaleOrder(callCtx, fence, savoryloft.ScaleOrder{
		Service: key.service, FailureDomain: key.domain, Count: desired, Reclaimable: key.reclaimable,
	})
	p.Logger.Info("order", "step", savoryloft.StepOrder, "service", key.service, "domain", key.domain, "reclaimable", key.reclaimable,
		"count", desired, "registered", current, "before", last.count, "fence", fence, "error", errorText(err))
	last.noCapacity = errors.Is(err, savoryloft.ErrNoCapacity)
	switch {
	case err == nil:
		last.count, last.placedAt = desired, now
	case last.noCapacity:
		last.retryAt = now + refusedBackoff
	case errors.Is(err, savoryloft.ErrFenced):
		last.retryAt = now + refusedBackoff
		return false
	default:
		last.count, last.retryAt = -1, now+failureBackoff
	}
	return true
}

// errorText returns the message of err, or "" if err is nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
