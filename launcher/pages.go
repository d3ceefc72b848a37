package launcher

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/logger"
	"savoryloft.example/savoryloft/monitor"
	"savoryloft.example/savoryloft/relayer"
)

// listen opens the listeners for the addresses in the settings. When the
// metrics address is not available, it logs the error and returns a nil listener
// for it, since requests can be served without the metrics page.
func (l *Launcher) listen() (clients, readiness, links, pages net.Listener, err error) {
	a := l.Deployment.Listen
	if clients, err = net.Listen("tcp", a.Callers); err != nil {
		return nil, nil, nil, nil, errors.Annotate(err, "listen for clients")
	}
	if readiness, err = net.Listen("tcp", a.Readiness); err != nil {
		return nil, nil, nil, nil, errors.Annotate(err, "listen for readiness probes")
	}
	if links, err = net.Listen("tcp", a.Links); err != nil {
		return nil, nil, nil, nil, errors.Annotate(err, "listen for links")
	}
	if pages, err = net.Listen("tcp", a.Metrics); err != nil {
		l.Logger.Info("metrics address not available, metrics page disabled", "address", a.Metrics, "error", err.Error())
		return clients, steadyListener{readiness}, steadyListener{links}, nil, nil
	}
	return clients, steadyListener{readiness}, steadyListener{links}, steadyListener{pages}, nil
}

// listenForDetours opens the listener for requests of other instances. Without it, this
// instance takes none.
func (l *Launcher) listenForDetours() {
	address := l.Deployment.Listen.Detours
	if address == "" {
		return
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		l.Logger.Info("address not available, no requests of other instances are taken", "address", address, "error", err.Error())
		l.detours.Address = ""
		return
	}
	l.detourListener = &relayer.Listener{Listener: listener, MaxOpen: l.maxClientConnections()}
}

func (l *Launcher) clientServer() *fasthttp.Server {
	return l.requestServer(l.relayer.Handle, l.listener)
}

func (l *Launcher) detourServer() *fasthttp.Server {
	return l.requestServer(l.relayer.HandleDetour, l.detourListener)
}

func (l *Launcher) requestServer(handler fasthttp.RequestHandler, listener *relayer.Listener) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                       handler,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: true,
		DisablePreParseMultipartForm:  true,
		ReadBufferSize:                readBufferBytes,
		ReadTimeout:                   headerTimeout,
		IdleTimeout:                   maxIdleTimeout, // CloseIdleFor closes idle connections.
		StreamRequestBody:             true,
		HeaderReceived:                l.relayer.RequestConfig,
		ConnState:                     listener.ObserveState,
		ErrorHandler:                  relayer.HandleProtocolError,
		Logger:                        logger.Discard{},
	}
}

func pageServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{Handler: h, NoDefaultServerHeader: true, ReadTimeout: headerTimeout, IdleTimeout: defaultIdleTimeout, Logger: logger.Discard{}}
}

// checkReadiness returns an error with the reason when this instance should not
// get new connections.
func (l *Launcher) checkReadiness() error {
	age, ok := l.watcher.Age(savoryloft.TopicConfiguration)
	switch {
	case l.stopping.Load():
		return errors.New("instance is stopping")
	case l.watcher.Table() == nil || !ok:
		return errors.New("no configuration is known yet")
	case l.listener.PausedFor() > acceptPauseLimit:
		return errors.New("no room for client connections")
	case l.Deployment.Bounds.Revocation > 0 && age > time.Duration(float64(l.Deployment.Bounds.Revocation)*readinessAgeRatio):
		return errors.Errorf("configuration was last known to be the newest %s ago", age)
	}
	return nil
}

func (l *Launcher) handleReadiness(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != l.ReadinessPath {
		ctx.Error("no such page\n", fasthttp.StatusNotFound)
		return
	}
	if err := l.checkReadiness(); err != nil {
		ctx.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ok\n")
}

func (l *Launcher) handleMetrics(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != l.MetricsPath {
		ctx.Error("no such page\n", fasthttp.StatusNotFound)
		return
	}
	l.updateGauges()
	ctx.SetContentType("text/plain; version=0.0.4")
	ctx.SetBodyString(monitor.FormatMetrics(l.registry) + strings.Join(monitor.ProcessMetrics(), "\n") + "\n")
}

// updateGauges sets the gauges whose values are only read for the metrics page.
func (l *Launcher) updateGauges() {
	set := func(name string, v int64) { metrics.GetOrRegisterGauge(name, l.registry).Update(v) }
	for _, t := range []savoryloft.Topic{savoryloft.TopicConfiguration, savoryloft.TopicRegistry} {
		age, ok := l.watcher.Age(t)
		if !ok {
			age = -time.Millisecond
		}
		set(fmt.Sprintf("age_ms.%s", t), age.Milliseconds())
	}
	fence, _, held := l.claimer.Held()
	set("lease_held", int64(boolToInt(held)))
	set("lease_fence", int64(fence))
	set("configuration_version", int64(l.watcher.Version()))
	set("evacuated_domains", int64(l.watcher.EvacuatedDomains()))
	set("members", int64(l.linker.InstanceCount()))
	set("requests_active", int64(l.relayer.ActiveRequests()))
	used, limit, reclaims := l.Memory.Totals()
	set("memory_budget_bytes.used", used)
	set("memory_budget_bytes.limit", limit)
	set("memory_budget_reclaims", reclaims)
	open, pauses := l.listener.Counts()
	set("client_connections", open)
	set("accept_pauses", pauses)
	sent, received := l.linker.Bytes()
	set("link_bytes.sent", sent)
	set("link_bytes.received", received)
	set("clock_offset_ms", l.linker.ClockOffset().Milliseconds())
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// shutDown stops the instance gracefully. It fails the readiness probe, releases
// the lease, keeps serving for deregistrationDelay so that the load balancer
// removes the instance, and then waits for running requests until exitReserve
// before the end of the grace period. Requests for streams that arrive in that time are
// refused if they may take longer. Requests without a response at its end get an error
// response.
func (l *Launcher) shutDown() {
	grace := l.Deployment.Bounds.Grace
	l.Logger.Info("stopping", "grace", grace.String())
	l.stopping.Store(true)
	deadline := time.Now().Add(grace - exitReserve)
	go l.releaseLease() // The log may be slow to respond.
	time.Sleep(deregistrationDelay)
	l.exitTime.Store(&deadline)
	l.awaitQuiet(grace / 8)
	if err := l.listener.Refuse(); err != nil {
		l.Logger.Info("connections that are accepted only now may be reset", "error", err.Error())
	} else {
		l.awaitQuiet(grace / 8)
	}
	_ = l.listener.Close()
	if active := l.drain(deadline); active > 0 {
		l.Logger.Info("grace period is over, requests aborted", "active", active)
	}
	// A request that is received from now on is refused.
	l.abortRequests(relayer.ErrStopping)
	l.drain(time.Now().Add(abortTimeout))
	l.linker.BroadcastStatus()
	time.Sleep(drainPollInterval)
	l.Logger.Info("drained", "active", l.relayer.ActiveRequests())
}

// releaseLease releases the lease, if this instance holds it, and informs the peers.
func (l *Launcher) releaseLease() {
	ctx, cancel := context.WithTimeout(context.Background(), leaseReleaseTimeout)
	defer cancel()
	if err := l.claimer.Release(ctx); err != nil {
		l.Logger.Info("lease release failed", "step", savoryloft.StepLease, "error", err.Error())
	}
	l.linker.BroadcastStatus()
}

// drain waits until no request is in progress, and closes the connections that are idle.
// It returns the number of requests that are in progress at the deadline.
func (l *Launcher) drain(deadline time.Time) (active int) {
	for l.listener.CloseIdle() > 0 || l.relayer.ActiveRequests() > 0 {
		if !time.Now().Before(deadline) {
			return l.relayer.ActiveRequests()
		}
		time.Sleep(drainPollInterval)
	}
	return 0
}

// requestExitTime returns the time at which responses in progress are cut off, or zero
// while the instance accepts all requests.
func (l *Launcher) requestExitTime() time.Time {
	if t := l.exitTime.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// awaitQuiet waits until no connection has been accepted for quietPeriod.
func (l *Launcher) awaitQuiet(timeout time.Duration) {
	for latest := time.Now().Add(timeout); time.Now().Before(latest); {
		time.Sleep(drainPollInterval)
		if l.listener.SinceAccepted() >= quietPeriod {
			return
		}
	}
}

const (
	abortTimeout      = 200 * time.Millisecond // For the responses to aborted requests.
	drainPollInterval = 50 * time.Millisecond  // Between checks for running requests during shutdown.
	acceptPauseLimit  = time.Second            // Readiness fails when accepting has been paused for longer.
	quietPeriod       = 200 * time.Millisecond // Time without new connections after which the listener is closed.
)
