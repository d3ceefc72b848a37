// Package launcher wires the parts of an instance on the prepared platform
// into one process and runs its planned stop.
//
// # Usage
//
//	l := &launcher.Launcher{Deployment: d, Wire: platform.Wire{}, Decoder: platform.Decoder{},
//		Log: store, Target: duties, Pool: pool, Logger: log, Tracer: tracer}
//	err := l.Run(ctx) // Returns after a planned stop once ctx has ended.
package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/biller"
	"savoryloft.example/savoryloft/claimer"
	"savoryloft.example/savoryloft/counter"
	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/limiter"
	"savoryloft.example/savoryloft/linker"
	"savoryloft.example/savoryloft/placer"
	"savoryloft.example/savoryloft/provisioner"
	"savoryloft.example/savoryloft/relayer"
	"savoryloft.example/savoryloft/watcher"
)

const (
	readBufferBytes = 32 << 10 // Also the largest head of a caller's request.
	defaultBody     = 4 << 20  // Largest body before a configuration tells.
	headTimeout     = 5 * time.Second
	idleTimeout     = 60 * time.Second        // Beyond what configurations allow callers.
	refreshInterval = time.Second             // Between clean-ups of the placer.
	tellTokens      = 1500                    // Prompt tokens whose start or end peers are told of at once.
	readyPart       = 0.5                     // Part of the bound on withdrawn keys up to which an instance counts as ready.
	stopNotice      = 2500 * time.Millisecond // The balancer asks each second and takes two misses.
	stopReserve     = 700 * time.Millisecond  // Left of the grace time for the end of the process.
	lastWork        = 400 * time.Millisecond  // For the release of the lease.
	leaderLimit     = 1500 * time.Millisecond // Age of the last word of a holder of the lease: six statuses.
	registerPause   = time.Second             // Between attempts to enter the list of members.
	membersEvery    = 10 * time.Second        // Between reads of the list of members by readers.
)

// Launcher is one instance. Set the exported fields before Run.
type Launcher struct {
	Deployment savoryloft.Deployment
	Wire       savoryloft.WireFormat
	Decoder    savoryloft.RecordDecoder
	Log        savoryloft.RecordLog
	Target     savoryloft.DutyTarget
	Pool       *exchanger.Pool
	Logger     logr.Logger
	Tracer     trace.Tracer
	// Readiness and Metrics are the paths of these pages.
	Readiness string
	Metrics   string

	incarnation int
	stopping    atomic.Bool
	peersDirty  atomic.Bool // Peers' loads have changed since the placer got them.
	registry    metrics.Registry
	watcher     *watcher.Watcher
	linker      *linker.Linker
	shared      atomic.Pointer[linker.Linker] // The same, for other goroutines than Run's.
	claimer     *claimer.Claimer
	counter     *counter.Counter
	placer      *placer.Placer
	relayer     *relayer.Relayer
	listener    *relayer.Listener
}

// AddSeeds adds addresses of instances that may be up. Before Run it does
// nothing.
func (l *Launcher) AddSeeds(addresses []string) {
	if k := l.shared.Load(); k != nil {
		k.AddSeeds(addresses)
	}
}

// Run serves until ctx ends, then stops without cutting a request.
func (l *Launcher) Run(ctx context.Context) error {
	l.build()
	callers, readiness, links, pages, err := l.listen()
	if err != nil {
		return err
	}
	l.listener = &relayer.Listener{Listener: callers}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, groupCtx := errgroup.WithContext(background)
	serve := func(name string, s *fasthttp.Server, ln net.Listener) {
		group.Go(func() error { return errors.Annotate(s.Serve(ln), name) })
	}
	serve("serve callers", l.callerServer(), l.listener)
	serve("serve readiness", pageServer(l.handleReadiness), readiness)
	if pages != nil {
		serve("serve metrics", pageServer(l.handleMetrics), pages)
	}
	group.Go(func() error { return errors.Annotate(l.linker.Serve(groupCtx, links), "serve links") })
	for _, run := range l.duties() {
		group.Go(func() error { return run(groupCtx) })
	}
	l.Logger.Info("started", "incarnation", l.incarnation, "callers", callers.Addr().String(), "links", links.Addr().String())
	select {
	case <-ctx.Done():
		l.stop()
	case <-groupCtx.Done():
	}
	cancel()
	_ = callers.Close()
	_ = readiness.Close()
	if pages != nil {
		_ = pages.Close()
	}
	err = group.Wait()
	l.Logger.Info("stopped", "planned", ctx.Err() != nil)
	return err
}

// duties returns what runs in the background.
func (l *Launcher) duties() []func(context.Context) error {
	d := l.Deployment
	list := []func(context.Context) error{l.linker.Run, l.watcher.Run, l.register, l.refresh, l.summarize}
	if d.Duties.UsageReports || d.Duties.Orders {
		list = append(list, l.claimer.Run)
	}
	if d.Duties.UsageReports {
		b := &biller.Biller{
			Ledger: l.claimer, Target: l.Target, Counts: l.usage, Now: l.trueTime,
			Window: d.Bounds.UsageWindow, Logger: l.Logger,
		}
		list = append(list, b.Run)
	}
	if d.Duties.Orders {
		p := &provisioner.Provisioner{
			Store: l.claimer, Target: l.Target, Services: l.services, Upstreams: l.watcher.Upstreams, Running: l.running,
			Heartbeat: d.Heartbeat, Logger: l.Logger,
		}
		list = append(list, p.Run)
	}
	return list
}

// build creates the parts from the settings.
func (l *Launcher) build() {
	d := l.Deployment
	l.incarnation = int(time.Now().UnixMilli())
	l.registry = metrics.NewRegistry()
	l.Log = observedLog{l.Log, l.registry}
	l.counter = &counter.Counter{Source: fmt.Sprintf("%s/%d", d.Instance, l.incarnation), Window: d.Bounds.UsageWindow}
	l.placer = &placer.Placer{Instance: d.Instance, FailureDomain: d.FailureDomain}
	l.linker = &linker.Linker{
		Instance: d.Instance, Incarnation: l.incarnation, FailureDomain: d.FailureDomain, Address: d.Listen.Links,
		CPUMillicores: d.Limits.Power, Seeds: d.Seeds, Dial: l.Pool.Dial, Logger: l.Logger, Source: source{l},
	}
	l.shared.Store(l.linker)
	l.watcher = &watcher.Watcher{
		Log: l.Log, Decoder: l.Decoder, Logger: l.Logger, IsReader: l.linker.IsReader, OnChange: l.passOn,
		PropagationLimits: [2]time.Duration{d.Bounds.ConfigurationInForce, d.Bounds.Drain},
	}
	l.claimer = &claimer.Claimer{
		Log: l.Log, Instance: d.Instance, Incarnation: l.incarnation, TTL: d.Bounds.Lease,
		Position: l.linker.ReaderRank, PeerHoldsLease: l.otherLeads, YieldedAt: l.yielded, Partials: l.partials, Logger: l.Logger,
	}
	l.relayer = &relayer.Relayer{
		Wire: l.Wire, Watcher: l.watcher, Placer: l.placer, Pool: l.Pool, Logger: l.Logger, Tracer: l.Tracer,
		Metrics: l.registry, Revocation: d.Bounds.Revocation, Stopping: l.stopping.Load, Instances: l.instances,
		CountRequest: l.countRequest, PrefillChanged: l.tellPlaced, RefreshPeerLoads: l.refreshPeers,
		Limiter: &limiter.Limiter{
			Ratio: d.Bounds.RetryRatio, Slack: d.Bounds.RetrySlack, Window: d.Bounds.RetryWindow, Instances: l.instances,
		},
	}
}

// passOn sends records on that this instance has read or got from a peer.
func (l *Launcher) passOn(records []savoryloft.ControlRecord, from string) {
	l.linker.BroadcastRecords(records, from)
}

// tellPlaced tells the peers at once of a prompt that keeps an engine busy, and
// of parts that it got.
func (l *Launcher) tellPlaced(uncached int) {
	if parts := l.placer.TakeUnsentParts(); len(parts) > 0 || uncached >= tellTokens {
		l.linker.BroadcastUpdate(parts)
	}
}

// otherLeads tells whether another instance is known to hold the lease.
func (l *Launcher) otherLeads() bool {
	age, ok := l.linker.LeaderAge()
	return ok && age < leaderLimit
}

// yielded returns an uptime after which an incarnation of an instance has said
// that it has yielded the lease; 0 when it has not.
func (l *Launcher) yielded(instance string, incarnation int) time.Duration {
	for _, m := range l.linker.Members() {
		if m.Instance == instance && m.Incarnation == incarnation {
			return m.Yielded
		}
	}
	return 0
}

// instances returns the number of instances that this one knows of, itself
// included.
func (l *Launcher) instances() int { return len(l.linker.Members()) + 1 }

func (l *Launcher) countRequest(account string) {
	l.counter.Add(l.trueTime(), account)
}

// usage returns the requests of each account in a window, with what the log has
// kept in case that all instances were lost in it.
func (l *Launcher) usage(window int) map[string]int {
	if p, ok := l.claimer.Partial(window); ok {
		return l.counter.TotalsWithPartial(p)
	}
	return l.counter.Totals(window)
}

// partials returns the counts of the windows that have no figures yet.
func (l *Launcher) partials() []savoryloft.PartialCounts {
	if l.Deployment.Bounds.UsageWindow <= 0 {
		return nil
	}
	now := l.trueTime()
	var list []savoryloft.PartialCounts
	for w, last := l.counter.WindowAt(now)-1, l.counter.WindowAt(now); w <= last; w++ {
		if _, fixed := l.claimer.Figures(w); fixed {
			continue
		}
		if counts := l.usage(w); len(counts) > 0 {
			list = append(list, savoryloft.PartialCounts{Window: w, Sources: l.partialSources(w), Counts: counts})
		}
	}
	return list
}

// partialSources returns the incarnations whose counts a window's figures hold,
// those included that only the log remembers.
func (l *Launcher) partialSources(window int) []string {
	sources := l.counter.Sources(window)
	if p, ok := l.claimer.Partial(window); ok {
		sources = append(sources, p.Sources...)
		slices.Sort(sources)
		sources = slices.Compact(sources)
	}
	return sources
}

// trueTime returns the time of day of the median instance.
func (l *Launcher) trueTime() time.Time {
	return time.Now().Add(l.linker.ClockOffset())
}

func (l *Launcher) services() []savoryloft.UpstreamService {
	t := l.watcher.Table()
	if t == nil {
		return nil
	}
	var list []savoryloft.UpstreamService
	for _, name := range t.Services() {
		list = append(list, *t.LookupService(name))
	}
	return list
}

// running returns how many requests of a service run, of all instances.
func (l *Launcher) running(service string) int {
	l.refreshPeers()
	loads := l.placer.TotalLoads(time.Now())
	n := 0
	for _, u := range l.watcher.Upstreams(service) {
		n += loads[u.ID].Running
	}
	return n
}

// refresh drops what the placer no longer needs.
func (l *Launcher) refresh(ctx context.Context) error {
	for ctx.Err() == nil {
		savoryloft.Sleep(ctx, refreshInterval)
		l.placer.Prune(time.Now())
	}
	return nil
}

// register enters this instance into the list of members and reads the list.
func (l *Launcher) register(ctx context.Context) error {
	d := l.Deployment
	me := savoryloft.LinkGreeting{
		Instance: d.Instance, Incarnation: l.incarnation, FailureDomain: d.FailureDomain, Address: d.Listen.Links,
		Power: d.Limits.Power,
	}
	value, err := json.Marshal(me)
	if err != nil {
		return errors.Annotate(err, "encode member")
	}
	for registered := false; ctx.Err() == nil; {
		if !registered {
			err := l.Log.Put(ctx, savoryloft.TopicMembers, d.Instance, value)
			registered = err == nil
			if err != nil {
				l.Logger.V(1).Info("not in the list of members yet", "step", savoryloft.StepPeer, "error", err.Error())
			}
		}
		if err := l.readMembers(ctx); err != nil {
			l.Logger.V(1).Info("list of members not read", "step", savoryloft.StepPeer, "error", err.Error())
		} else if registered {
			savoryloft.Sleep(ctx, membersEvery)
			for !l.linker.IsReader() && ctx.Err() == nil {
				savoryloft.Sleep(ctx, membersEvery)
			}
			continue
		}
		savoryloft.Sleep(ctx, registerPause)
	}
	return nil
}

// readMembers reads the list of members. Entries of instances that are gone
// are kept in it, so only those that answer become peers.
func (l *Launcher) readMembers(ctx context.Context) error {
	page, err := l.Log.Newest(ctx, savoryloft.TopicMembers)
	if err != nil {
		return err
	}
	var list []savoryloft.LinkGreeting
	for _, r := range page.Records {
		var g savoryloft.LinkGreeting
		if err := json.Unmarshal(r.Value, &g); err != nil {
			l.Logger.V(1).Info("record left out", "step", savoryloft.StepPeer, "key", r.Key, "error", err.Error())
			continue
		}
		list = append(list, g)
	}
	l.linker.AddMembers(list)
	return nil
}
