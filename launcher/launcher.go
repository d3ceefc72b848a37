// Package launcher creates and runs the components of an instance on the
// prepared platform, and shuts the instance down gracefully.
//
// # Usage
//
//	l := &launcher.Launcher{Deployment: d, Wire: platform.Wire{}, Decoder: platform.Decoder{},
//		Log: logClient, DutyTarget: dutyClient, Pool: pool, Logger: logger, Tracer: tracer,
//		ReadinessPath: platform.ReadinessPath, MetricsPath: platform.MetricsPath}
//	err := l.Run(ctx) // Shuts down gracefully when ctx is cancelled.
package launcher

import (
	"context"
	"fmt"
	"math"
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
	"savoryloft.example/savoryloft/admitter"
	"savoryloft.example/savoryloft/biller"
	"savoryloft.example/savoryloft/budgeter"
	"savoryloft.example/savoryloft/claimer"
	"savoryloft.example/savoryloft/counter"
	"savoryloft.example/savoryloft/detourer"
	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/limiter"
	"savoryloft.example/savoryloft/linker"
	"savoryloft.example/savoryloft/placer"
	"savoryloft.example/savoryloft/provisioner"
	"savoryloft.example/savoryloft/quarantiner"
	"savoryloft.example/savoryloft/relayer"
	"savoryloft.example/savoryloft/throttler"
	"savoryloft.example/savoryloft/tracker"
	"savoryloft.example/savoryloft/watcher"
)

const (
	readBufferBytes       = 32 << 10 // Also limits the size of a request's headers.
	headerTimeout         = 5 * time.Second
	defaultIdleTimeout    = 60 * time.Second        // Of client connections while no configuration sets one, and of connections for probes.
	maxIdleTimeout        = time.Hour               // Of client connections, whatever a configuration sets.
	cleanupInterval       = time.Second             // Between removals of state, and of idle connections, that is not needed any more.
	immediateUpdateTokens = 1500                    // Prompts with at least this many uncached tokens are reported to peers without delay.
	readinessAgeRatio     = 0.5                     // Readiness fails when the configuration's age exceeds this fraction of Bounds.Revocation.
	deregistrationDelay   = 2500 * time.Millisecond // The load balancer probes every second and removes an instance after two failures.
	exitReserve           = 700 * time.Millisecond  // Part of the grace period reserved for the process to exit.
	leaseReleaseTimeout   = 400 * time.Millisecond
	leaderTimeout         = 1500 * time.Millisecond // Six status intervals without a report of a lease holder.
	maxClockError         = 24 * time.Hour          // Of an instance that has only just started.
	maxQueuedRequests     = 256                     // Queued requests for one service; their bodies stay in memory.
	relayPatience         = time.Second             // Time in which a new deployment's instances get their first configuration from a reader.
)

// Launcher runs one instance. Set the exported fields before Run.
type Launcher struct {
	Deployment savoryloft.Deployment
	Wire       savoryloft.WireFormat
	Decoder    savoryloft.RecordDecoder
	Log        savoryloft.RecordLog
	DutyTarget savoryloft.DutyTarget
	Pool       *exchanger.Pool
	// PlatformPool has the connections of Log and DutyTarget; nil if these use Pool.
	PlatformPool *exchanger.Pool
	Memory       *budgeter.Budget // For data of clients and upstreams; without a limit if nil.
	// QueueRequests makes requests with prompts wait while the upstreams have no room.
	QueueRequests bool
	Logger        logr.Logger
	Tracer        trace.Tracer
	// ReadinessPath and MetricsPath are the URL paths of the readiness probe and
	// of the metrics page.
	ReadinessPath string
	MetricsPath   string

	incarnation      int
	stopping         atomic.Bool
	requests         context.Context // Cancelled to abort the requests in progress.
	abortRequests    context.CancelCauseFunc
	exitTime         atomic.Pointer[time.Time] // Set in a shutdown, once streams are refused that may not end before.
	quarantinesRead  chan struct{}             // Closed once the quarantines in the member list have been read, or could not be read.
	membersKnown     atomic.Bool               // The member list has been read, or could not be read.
	peerLoadsChanged atomic.Bool               // Set until the placer has the peers' current loads.
	registry         metrics.Registry
	watcher          *watcher.Watcher
	linker           *linker.Linker
	sharedLinker     atomic.Pointer[linker.Linker] // Same as linker, for AddSeeds, which may be called before or during Run.
	claimer          *claimer.Claimer
	counter          *counter.Counter
	placer           *placer.Placer
	quarantine       *quarantiner.Quarantiner
	throttler        *throttler.Throttler
	tracker          *tracker.Tracker
	detours          *detourer.Detourer
	admitter         *admitter.Admitter
	relayer          *relayer.Relayer
	listener         *relayer.Listener
	detourListener   *relayer.Listener // For requests of other instances; nil if there is none.
}

// AddSeeds adds addresses of instances to which links are opened. It has no
// effect before Run has created the linker.
func (l *Launcher) AddSeeds(addresses []string) {
	if k := l.sharedLinker.Load(); k != nil {
		k.AddSeeds(addresses)
	}
}

// Run serves requests until ctx is cancelled, then shuts down gracefully within
// the grace period. It returns an error when an address is not available or
// when a server or background task fails.
func (l *Launcher) Run(ctx context.Context) error {
	l.build()
	clients, readiness, links, pages, err := l.listen()
	if err != nil {
		return err
	}
	l.listener = &relayer.Listener{Listener: clients, MaxOpen: l.maxClientConnections()}
	l.listenForDetours()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, groupCtx := errgroup.WithContext(background)
	serve := func(name string, s *fasthttp.Server, ln net.Listener) {
		group.Go(func() error { return errors.Annotate(s.Serve(ln), name) })
	}
	serve("serve clients", l.clientServer(), l.listener)
	if l.detourListener != nil {
		serve("serve requests of other instances", l.detourServer(), l.detourListener)
	}
	serve("serve readiness", pageServer(l.handleReadiness), readiness)
	if pages != nil {
		serve("serve metrics", pageServer(l.handleMetrics), pages)
	}
	group.Go(func() error { return errors.Annotate(l.linker.Serve(groupCtx, links), "serve links") })
	for _, run := range l.backgroundTasks() {
		group.Go(func() error { return run(groupCtx) })
	}
	l.Logger.Info("started", "incarnation", l.incarnation, "callers", clients.Addr().String(), "links", links.Addr().String())
	select {
	case <-ctx.Done():
		l.shutDown()
	case <-groupCtx.Done():
	}
	cancel()
	_ = l.listener.Close()
	if l.detourListener != nil {
		_ = l.detourListener.Close()
	}
	_ = readiness.Close()
	if pages != nil {
		_ = pages.Close()
	}
	err = group.Wait()
	l.Logger.Info("stopped", "planned", ctx.Err() != nil)
	return err
}

// backgroundTasks returns the functions that run until their context is
// cancelled.
func (l *Launcher) backgroundTasks() []func(context.Context) error {
	d := l.Deployment
	list := []func(context.Context) error{l.linker.Run, l.watcher.Run, l.tracker.Run, l.detours.Run, l.admitter.Run, l.maintainMembership, l.cleanUp, l.closeIdleConnections, l.logCounters}
	if d.Duties.UsageReports || d.Duties.Orders {
		list = append(list, l.claimer.Run)
	}
	if d.Duties.UsageReports {
		b := &biller.Biller{
			Ledger: l.claimer, Target: l.DutyTarget, Counts: l.usageCounts, Now: l.clusterTime,
			Window: d.Bounds.UsageWindow, Logger: l.Logger,
		}
		list = append(list, b.Run)
	}
	if d.Duties.Orders {
		p := &provisioner.Provisioner{
			Store: l.claimer, Target: l.DutyTarget, Services: l.services, Upstreams: l.watcher.Upstreams, Running: l.runningRequests,
			IsEvacuated: l.watcher.IsEvacuated, Heartbeat: d.Heartbeat, Logger: l.Logger,
		}
		list = append(list, p.Run)
	}
	return list
}

// build creates the components from the settings.
func (l *Launcher) build() {
	d := l.Deployment
	l.incarnation = int(time.Now().UnixMilli())
	l.registry = metrics.NewRegistry()
	l.quarantinesRead = make(chan struct{})
	l.Log = instrumentedLog{l.Log, l.registry}
	if l.Memory == nil {
		l.Memory = &budgeter.Budget{}
	}
	l.counter = &counter.Counter{Source: fmt.Sprintf("%s/%d", d.Instance, l.incarnation), Window: d.Bounds.UsageWindow}
	l.placer = &placer.Placer{Instance: d.Instance, FailureDomain: d.FailureDomain}
	l.linker = &linker.Linker{
		Instance: d.Instance, Incarnation: l.incarnation, FailureDomain: d.FailureDomain, Address: d.Listen.Links,
		CPUMillicores: d.Limits.CPUMillicores, Seeds: d.Seeds, Dial: l.Pool.Dial, Logger: l.Logger, Source: linkSource{l},
	}
	l.sharedLinker.Store(l.linker)
	// When all instances start for the first time, each gets its first copy from a
	// reader. Later, service must not wait for the links of an instance that starts.
	patience := time.Duration(0)
	if d.Bootstrap {
		patience = relayPatience
	}
	l.watcher = &watcher.Watcher{
		Log: l.Log, Decoder: l.Decoder, Logger: l.Logger, ReaderRank: l.readerRank, ReadersFail: l.linker.ReadersFail, OnChange: l.relayRecords, OnEvacuation: l.linker.BroadcastEvacuations, OnEra: l.observeEra,
		RelayPatience:     patience,
		PropagationLimits: [2]time.Duration{operatorLimit(d.Bounds), d.Bounds.Drain},
	}
	l.claimer = &claimer.Claimer{
		Log: l.Log, Instance: d.Instance, Incarnation: l.incarnation, TTL: d.Bounds.LeaseTTL,
		Position: l.readerRank, PeerHoldsLease: l.peerHoldsLease, YieldedAt: l.linker.YieldedAt, MaxWindow: l.maxWindow, Partials: l.partialCounts, OnCommit: l.linker.BroadcastDuties, Logger: l.Logger,
	}
	l.quarantine = &quarantiner.Quarantiner{
		Dial: l.Pool.Dial, Notify: l.linker.BroadcastSuspicions, Logger: l.Logger, Metrics: l.registry,
	}
	l.throttler = &throttler.Throttler{
		Allocation: l.limitAllocation, Send: l.linker.SendLimits, Broadcast: l.linker.BroadcastLimits,
		Upstream: l.watcher.Upstream, WarmUpRate: l.warmUpRate, Logger: l.Logger, Metrics: l.registry,
	}
	l.tracker = &tracker.Tracker{
		Instance: d.Instance, Log: l.Log, Services: l.serviceNames, Upstreams: l.watcher.Upstreams, Era: l.watcher.Era, Now: l.clusterTime, NewDeployment: d.Bootstrap,
		RegistryAge: func() (time.Duration, bool) { return l.watcher.Age(savoryloft.TopicRegistry) },
		IsWriter:    func() bool { return l.readerRank() == 0 },
		Isolated:    l.linker.IsIsolated,
		Send:        l.linker.SendOrigins, SendBegun: l.linker.SendBegun, Broadcast: l.linker.BroadcastOrigins, Reply: l.linker.ReplyOrigins,
		Logger: l.Logger, Metrics: l.registry,
	}
	l.detours = &detourer.Detourer{
		Instance: d.Instance, Incarnation: l.incarnation, FailureDomain: d.FailureDomain, Address: d.Listen.Detours, Upstreams: l.watcher.AllUpstreams, Dial: l.Pool.Dial,
		PassesOn:  func() bool { return !l.linker.InMesh() && l.linker.IsHub() },
		Accepting: func() bool { return !l.stopping.Load() && l.watcher.Table() != nil },
		Broadcast: l.linker.BroadcastDetours, Logger: l.Logger, Metrics: l.registry,
	}
	l.admitter = &admitter.Admitter{Instance: d.Instance, FailureDomain: d.FailureDomain, MaxQueued: maxQueuedRequests}
	l.requests, l.abortRequests = context.WithCancelCause(context.Background())
	l.relayer = &relayer.Relayer{
		Context: l.requests,
		Wire:    l.Wire, Watcher: l.watcher, Placer: l.placer, Quarantine: l.quarantine, QuarantinesRead: l.quarantinesRead, Throttler: l.throttler, Tracker: l.tracker, Detours: l.detours, Pool: l.Pool, Logger: l.Logger, Tracer: l.Tracer,
		Metrics: l.registry, Revocation: d.Bounds.Revocation, Regions: d.Regions, Stopping: l.stopping.Load, ExitTime: l.requestExitTime, Instances: l.linker.InstanceCount, LoadShare: l.linker.LoadShare,
		Memory:       l.Memory,
		CountRequest: l.countRequest, PrefillChanged: l.broadcastPlacement, RefreshPeerLoads: l.updatePeerLoads,
		Limiter: &limiter.Limiter{
			Ratio: d.Bounds.RetryRatio, Slack: d.Bounds.RetrySlack, Window: d.Bounds.RetryWindow, Instances: l.linker.InstanceCount,
		},
	}
	if l.QueueRequests {
		l.relayer.Admitter = l.admitter
	}
}

// warmUpRate returns the requests a second that a cold upstream of a service takes, or 0
// for no limit.
func (l *Launcher) warmUpRate(service string) float64 {
	if t := l.watcher.Table(); t != nil {
		if s := t.LookupService(service); s != nil {
			return s.WarmUpRate
		}
	}
	return 0
}

// operatorLimit returns the time within which the operator's records must take effect.
func operatorLimit(b savoryloft.DeploymentBounds) time.Duration {
	if b.Evacuation > 0 {
		return min(b.ConfigurationInForce, b.Evacuation)
	}
	return b.ConfigurationInForce
}

// limitAllocation returns the peer from which tokens for upstreams with limits are
// requested, or "" and the share of the limits for which this instance hands them out.
func (l *Launcher) limitAllocation() (next string, share float64) {
	a := l.linker.Allocation(l.stopping.Load())
	return a.Next, a.Share
}

// readerRank returns the rank of this instance among the readers of the log. Until
// it has looked for other instances in the member list, it leaves the reading to
// them.
func (l *Launcher) readerRank() int {
	if !l.membersKnown.Load() {
		return math.MaxInt
	}
	return l.linker.ReaderRank()
}

// observeEra processes a new era of the log: the lease of an earlier one is void, and
// peers receive it at once.
func (l *Launcher) observeEra(era int) {
	l.claimer.ObserveEra(era)
	l.linker.BroadcastStatus()
}

// relayRecords sends control records to the peers that need them. from is the
// peer that sent the records, or empty when this instance read them from the
// log.
func (l *Launcher) relayRecords(records []savoryloft.ControlRecord, from string) {
	l.linker.BroadcastRecords(records, from)
}

// broadcastPlacement sends the peers an update without waiting for the next
// status when engines have cached new prompt parts, or when a request with many
// uncached prompt tokens starts or ends its prefill.
func (l *Launcher) broadcastPlacement(uncached int) {
	if parts := l.placer.TakeUnsentParts(); len(parts) > 0 || uncached >= immediateUpdateTokens {
		l.linker.BroadcastUpdate(parts)
	}
}

// peerHoldsLease reports whether another instance held the lease within the
// last leaderTimeout.
func (l *Launcher) peerHoldsLease() bool {
	age, ok := l.linker.LeaderAge()
	return ok && age < leaderTimeout
}

func (l *Launcher) countRequest(account string) {
	l.counter.Add(l.clusterTime(), account)
}

// usageCounts returns the number of requests by account in a window. It
// includes the partial counts from the log, which cover the case that all
// instances were lost during the window.
func (l *Launcher) usageCounts(window int) map[string]int {
	if p, ok := l.claimer.PartialCounts(window); ok {
		return l.counter.TotalsWithPartial(p)
	}
	return l.counter.Totals(window)
}

// maxWindow returns the highest window that any instance may have counts of now.
func (l *Launcher) maxWindow() int {
	if l.Deployment.Bounds.UsageWindow <= 0 {
		return math.MaxInt
	}
	return l.counter.WindowAt(l.clusterTime().Add(maxClockError))
}

// partialCounts returns the counts so far of the previous and the current
// window, unless their final figures are in the log.
func (l *Launcher) partialCounts() []savoryloft.PartialCounts {
	if l.Deployment.Bounds.UsageWindow <= 0 {
		return nil
	}
	now := l.clusterTime()
	var list []savoryloft.PartialCounts
	for w, last := l.counter.WindowAt(now)-1, l.counter.WindowAt(now); w <= last; w++ {
		if _, fixed := l.claimer.CommittedCounts(w); fixed {
			continue
		}
		if counts := l.usageCounts(w); len(counts) > 0 {
			list = append(list, savoryloft.PartialCounts{Window: w, Sources: l.partialSources(w), Counts: counts})
		}
	}
	return list
}

// partialSources returns the incarnations whose requests usageCounts includes
// for a window, in order.
func (l *Launcher) partialSources(window int) []string {
	sources := l.counter.Sources(window)
	if p, ok := l.claimer.PartialCounts(window); ok {
		sources = append(sources, p.Sources...)
		slices.Sort(sources)
		sources = slices.Compact(sources)
	}
	return sources
}

// clusterTime returns the wall clock time of the median instance.
func (l *Launcher) clusterTime() time.Time {
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

func (l *Launcher) serviceNames() []string {
	if t := l.watcher.Table(); t != nil {
		return t.Services()
	}
	return nil
}

// runningRequests returns the number of running requests of a service, summed
// over all instances.
func (l *Launcher) runningRequests(service string) int {
	l.updatePeerLoads()
	loads := l.placer.TotalLoads(time.Now())
	n := 0
	for _, u := range l.watcher.Upstreams(service) {
		n += loads[u.ID].Running
	}
	return n
}

// cleanUp regularly removes state that is not needed any more.
func (l *Launcher) cleanUp(ctx context.Context) error {
	for ctx.Err() == nil {
		savoryloft.Sleep(ctx, cleanupInterval)
		l.placer.Prune(time.Now())
		l.throttler.Maintain()
		l.relayer.Maintain(time.Now())
		l.quarantine.Resolve(l.watcher.HasEnded)
	}
	return nil
}
