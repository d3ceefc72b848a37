// Package provisioner orders upstreams by failure domain and kind while this
// instance holds the lease.
//
// Reclaimable upstreams are cheap and can vanish a whole failure domain at
// once, so each failure domain keeps a few others.
//
// # Usage
//
//	p := &provisioner.Provisioner{Ledger: claimer, Target: duties, Services: services, Upstreams: upstreams, Logger: log}
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
	stepInterval     = 250 * time.Millisecond
	callTimeout      = 800 * time.Millisecond // A call must end while the lease is held.
	repeatAfter      = 3 * time.Second        // Beyond the boot time, before an order that shows no effect is sent again.
	refusedPause     = 2 * time.Second        // After a refusal for want of capacity.
	failedPause      = 700 * time.Millisecond // After a call that failed.
	settleHeartbeats = 2                      // After which each upstream that lives has registered.
)

// Ledger is the holder's access to the duties topic.
type Ledger interface {
	savoryloft.Holder
	Size(service string) (upstreams int, ok bool)
	SetSize(ctx context.Context, service string, upstreams int) error
}

// Provisioner sends orders. Set the exported fields before Run.
type Provisioner struct {
	Ledger Ledger
	Target savoryloft.DutyTarget
	// Services returns the services of the configuration in force.
	Services func() []savoryloft.UpstreamService
	// Upstreams returns the registered upstreams of a service.
	Upstreams func(service string) []savoryloft.RegisteredUpstream
	// Running returns how many requests of a service run, of all instances.
	Running func(service string) int
	// Heartbeat is the interval at which upstreams renew their registration.
	Heartbeat time.Duration
	Logger    logr.Logger

	sizers map[string]*sizer
	fence  int // Lease under which the states below were learnt.
	orders map[subject]*orderState
}

// subject is what one order sets.
type subject struct {
	service     string
	domain      string
	reclaimable bool
}

// orderState is what is known of the last order for a subject.
type orderState struct {
	count    int // Ordered; -1 when unknown.
	placedAt time.Duration
	retryAt  time.Duration // No call before this uptime.
	refused  bool          // The last call was refused for want of capacity.
}

// Run orders until ctx ends.
func (p *Provisioner) Run(ctx context.Context) error {
	p.orders = map[subject]*orderState{}
	p.sizers = map[string]*sizer{}
	for ctx.Err() == nil {
		if fence, left, ok := p.Ledger.Held(); ok && left > callTimeout {
			p.step(ctx, fence)
		}
		savoryloft.Sleep(ctx, stepInterval)
	}
	return nil
}

// step sends the orders that are due.
func (p *Provisioner) step(ctx context.Context, fence int) {
	if fence != p.fence {
		p.fence = fence
		p.orders = map[subject]*orderState{}
		p.sizers = map[string]*sizer{}
	}
	for _, s := range p.Services() {
		if s.Scaling != nil && !p.orderService(ctx, s) {
			return
		}
	}
}

// orderService sends the orders that are due for one service. It returns false
// when no more should be sent under this lease.
func (p *Provisioner) orderService(ctx context.Context, s savoryloft.UpstreamService) bool {
	upstreams := p.Upstreams(s.Name)
	names := sortedDomains(*s.Scaling)
	domains := make([]Domain, len(names))
	var have Numbers
	for i, name := range names {
		domains[i] = Domain{
			Name: name, Have: countUpstreams(upstreams, name), Refused: p.state(subject{s.Name, name, true}).refused,
		}
		have.Firm += domains[i].Have.Firm
		have.Reclaimable += domains[i].Have.Reclaimable
	}
	z := p.sizers[s.Name]
	if z == nil {
		z = &sizer{settle: time.Duration(settleHeartbeats * float64(p.Heartbeat))}
		p.sizers[s.Name] = z
	}
	z.observe(savoryloft.Uptime(), p.Running(s.Name))
	fixed, _ := p.Ledger.Size(s.Name)
	total := z.want(have.sum(), len(domains), fixed)
	if total == 0 {
		return true
	}
	if total != fixed {
		if err := p.Ledger.SetSize(ctx, s.Name, total); err != nil {
			p.Logger.Info("size not set", "step", savoryloft.StepOrder, "service", s.Name, "upstreams", total, "error", err.Error())
			return false
		}
		p.Logger.Info("size set", "step", savoryloft.StepOrder, "service", s.Name, "upstreams", total, "before", fixed,
			"registered", have.sum(), "running", int(z.running))
	}
	plan := Plan(*s.Scaling, total, domains, !z.seen)
	for i, d := range domains {
		// Reclaimable upstreams first: others are given up only once these serve.
		if !p.order(ctx, s, subject{s.Name, d.Name, true}, plan[i].Reclaimable, d.Have.Reclaimable) ||
			!p.order(ctx, s, subject{s.Name, d.Name, false}, plan[i].Firm, d.Have.Firm) {
			return false
		}
	}
	return true
}

func (p *Provisioner) state(sub subject) *orderState {
	o := p.orders[sub]
	if o == nil {
		o = &orderState{count: -1}
		p.orders[sub] = o
	}
	return o
}

// order sends one order if it is due.
func (p *Provisioner) order(ctx context.Context, s savoryloft.UpstreamService, sub subject, want, have int) bool {
	o := p.state(sub)
	now := savoryloft.Uptime()
	if now < o.retryAt {
		return true
	}
	if o.count < 0 && want == have {
		o.count, o.placedAt = want, now
		return true
	}
	if o.count == want && (have == want || now-o.placedAt < s.Scaling.Boot+repeatAfter) {
		return true
	}
	fence, left, ok := p.Ledger.Held()
	if !ok || left < callTimeout {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := p.Target.PlaceScaleOrder(callCtx, fence, savoryloft.ScaleOrder{
		Service: sub.service, FailureDomain: sub.domain, Count: want, Reclaimable: sub.reclaimable,
	})
	p.Logger.Info("order", "step", savoryloft.StepOrder, "service", sub.service, "domain", sub.domain, "reclaimable", sub.reclaimable,
		"count", want, "registered", have, "before", o.count, "fence", fence, "error", errorText(err))
	o.refused = errors.Is(err, savoryloft.ErrNoCapacity)
	switch {
	case err == nil:
		o.count, o.placedAt = want, now
	case o.refused:
		o.retryAt = now + refusedPause
	case errors.Is(err, savoryloft.ErrFenced):
		o.retryAt = now + refusedPause
		return false
	default:
		o.count, o.retryAt = -1, now+failedPause
	}
	return true
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
