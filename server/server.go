// Package server assembles the components of an entry instance into one
// process and shuts it down gracefully.
//
// # Usage
//
//	s := &server.Server{Settings: settings, Logger: log}
//	err := s.Run(ctx) // Blocks until ctx is canceled and the shutdown is complete.
package server

import (
	"context"
	"net"
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
	"savoryloft.example/savoryloft/connector"
	"savoryloft.example/savoryloft/dispatcher"
	"savoryloft.example/savoryloft/elector"
	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/follower"
	"savoryloft.example/savoryloft/gossiper"
	"savoryloft.example/savoryloft/journaler"
	"savoryloft.example/savoryloft/logger"
	"savoryloft.example/savoryloft/receiver"
	"savoryloft.example/savoryloft/recorder"
	"savoryloft.example/savoryloft/reporter"
	"savoryloft.example/savoryloft/scaler"
	"savoryloft.example/savoryloft/snapshotter"
	"savoryloft.example/savoryloft/tracer"
)

const (
	finalAppendTimeout   = 30 * time.Second // Bounds each of the last calls to the log during a shutdown.
	abortTimeout         = 2 * time.Second  // For the responses to aborted requests.
	abortPollInterval    = 50 * time.Millisecond
	keepAliveIdleTimeout = 90 * time.Second
	readBufferBytes      = 16 << 10 // Also limits the request line and headers of a request.
)

// Server is one entry instance. Set the exported fields before calling Run.
type Server struct {
	Settings savoryloft.Settings
	Logger   logr.Logger
	Tracer   trace.Tracer
	// Dial and Listen default to TCP. Tests set them to use an in-memory network.
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	Listen func(address string) (net.Listener, error)

	incarnation int
	stopping    atomic.Bool
	metrics     metrics.Registry
	client      *connector.Client
	connections *exchanger.Pool
	follower    *follower.Follower
	admitter    *admitter.Admitter
	dispatcher  *dispatcher.Dispatcher
	journaler   *journaler.Journaler
	recorder    *recorder.Recorder
	receiver    *receiver.Receiver
	requests    context.Context // Cancelled to abort the requests in progress.
	abort       context.CancelCauseFunc
	gossiper    *gossiper.Gossiper
	elector     *elector.Elector
	scaler      *scaler.Scaler
	reporter    *reporter.Reporter
	snapshotter *snapshotter.Snapshotter
	members     membership
}

// Run serves until ctx is canceled, then waits for running requests and shuts
// down. It returns early when a listener or a background task fails.
func (s *Server) Run(ctx context.Context) error {
	s.build()
	callers, operators, peers, err := s.listenAll()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, groupCtx := errgroup.WithContext(background)
	callerServer := s.callerServer()
	operatorServer := &fasthttp.Server{Handler: s.monitor().Handle, NoDefaultDate: true, Name: "savoryloft"}
	group.Go(func() error { return errors.Annotate(callerServer.Serve(callers), "serve callers") })
	group.Go(func() error { return errors.Annotate(operatorServer.Serve(operators), "serve operators") })
	group.Go(func() error { return errors.Annotate(s.gossiper.Serve(groupCtx, peers), "serve peers") })
	s.startBackgroundTasks(groupCtx, group)
	s.Logger.Info("started", "callers", callers.Addr().String(), "operators", operators.Addr().String(),
		"peers", peers.Addr().String(), "incarnation", s.incarnation)

	select {
	case <-ctx.Done():
		err = s.shutDown(callerServer)
	case <-groupCtx.Done():
	}
	cancel()
	_ = callerServer.Shutdown()
	_ = operatorServer.Shutdown()
	if groupErr := group.Wait(); err == nil {
		err = groupErr
	}
	s.connections.CloseIdle()
	s.client.Close()
	s.Logger.Info("stopped", "reason", stopReason(err))
	return err
}

func stopReason(err error) string {
	if err == nil {
		return "planned"
	}
	return err.Error()
}

// build creates the components from the settings.
func (s *Server) build() {
	st := s.Settings
	s.incarnation = int(time.Now().UnixMilli())
	s.metrics = metrics.NewRegistry()
	if s.Dial == nil {
		s.Dial = exchanger.DialTCP
	}
	if s.Listen == nil {
		s.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if s.Tracer == nil {
		s.Tracer = tracer.Noop()
	}
	s.client = &connector.Client{Address: st.Platform.Address, Timeout: st.Platform.Timeout.Std(), Dial: s.Dial}
	s.connections = &exchanger.Pool{Dial: s.Dial}
	s.elector = &elector.Elector{
		Instance: st.Instance, Incarnation: s.incarnation,
		TTL: st.Lease.TTL.Std(), Drift: st.Lease.Drift.Std(), Logger: s.Logger,
	}
	s.follower = &follower.Follower{
		Log: s.client, Logger: s.Logger,
		Observers: []follower.Observer{s.elector.Observe, s.observeConfigChange},
	}
	s.elector.Follower = s.follower
	s.admitter = &admitter.Admitter{
		Instance: st.Instance, FailureDomain: st.FailureDomain, MaxQueued: st.Admission.MaxQueued,
	}
	s.gossiper = &gossiper.Gossiper{
		Instance: st.Instance, Incarnation: s.incarnation, FailureDomain: st.FailureDomain,
		Address: st.Listen.Peers, Interval: st.Peers.DigestInterval.Std(), LinkTimeout: st.Peers.SilenceLimit.Std(),
		StaleLimit: st.Peers.StaleLimit.Std(), Dial: s.Dial,
		Admitter: s.admitter, Follower: s.follower, Logger: s.Logger,
	}
	s.buildRequestPath()
	s.buildLeaseholderTasks()
	s.members.init(st.Peers.Seeds)
}

func (s *Server) buildRequestPath() {
	st := s.Settings
	s.dispatcher = &dispatcher.Dispatcher{
		Admitter: s.admitter, Connections: s.connections, ReadIdleTimeout: st.Admission.SilenceLimit.Std(),
		Logger: s.Logger, Tracer: s.Tracer, RetryBudget: dispatcher.NewRetryBudget(),
	}
	s.journaler = &journaler.Journaler{
		Log: s.client, Logger: s.Logger, Instance: st.Instance, Incarnation: s.incarnation,
		Timeout: st.Platform.Timeout.Std(), IncarnationEnded: s.hasEnded,
	}
	s.recorder = &recorder.Recorder{
		Log: s.client, Logger: s.Logger, Instance: st.Instance, Incarnation: s.incarnation,
		Interval: st.Usage.FlushInterval.Std(), Window: st.Usage.Window.Std(),
	}
	s.gossiper.ReceiveUsage = s.recorder.AddPending
	s.requests, s.abort = context.WithCancelCause(context.Background())
	s.receiver = &receiver.Receiver{
		Context:  s.requests,
		Follower: s.follower, Dispatcher: s.dispatcher, Journaler: s.journaler, Recorder: s.recorder,
		CheckServing: s.checkServing, Logger: s.Logger, Tracer: s.Tracer, Metrics: s.metrics,
	}
}

func (s *Server) buildLeaseholderTasks() {
	st := s.Settings
	s.scaler = &scaler.Scaler{
		Follower: s.follower, Platform: s.client, Holder: s.elector, Instance: st.Instance,
		OrderTimeout: st.Lease.OrderTimeout.Std(), LeaseTTL: st.Lease.TTL.Std(),
		Demand: s.gossiper.Demand, ListedInstances: s.members.Listed, Logger: s.Logger,
	}
	s.reporter = &reporter.Reporter{
		Log: s.client, Sink: s.client, Follower: s.follower, Holder: s.elector, Instance: st.Instance,
		Window: st.Usage.Window.Std(), Grace: st.Usage.Grace.Std(), Timeout: st.Lease.OrderTimeout.Std(),
		Logger: s.Logger,
	}
	s.snapshotter = &snapshotter.Snapshotter{
		Follower: s.follower, Holder: s.elector, Instance: st.Instance, Logger: s.Logger,
	}
}

func (s *Server) startBackgroundTasks(ctx context.Context, group *errgroup.Group) {
	tasks := []func(context.Context) error{
		s.follower.Run, s.admitter.Run, s.gossiper.Run, s.elector.Run, s.journaler.Run,
		s.recorder.Run, s.scaler.Run, s.reporter.Run, s.snapshotter.Run, s.pollInstances,
	}
	for _, run := range tasks {
		group.Go(func() error { return run(ctx) })
	}
}

func (s *Server) callerServer() *fasthttp.Server {
	a := s.Settings.Admission
	return &fasthttp.Server{
		Handler:            s.receiver.Handle,
		Name:               "savoryloft",
		NoDefaultDate:      true,
		MaxRequestBodySize: a.MaxBodyBytes,
		ReadBufferSize:     readBufferBytes,
		ReadTimeout:        a.ReadTimeout.Std(),
		IdleTimeout:        keepAliveIdleTimeout,
		Concurrency:        a.MaxConnections,
		CloseOnShutdown:    true,
		ErrorHandler:       receiver.HandleProtocolError,
		Logger:             logger.Discard{},
	}
}

func (s *Server) listenAll() (callers, operators, peers net.Listener, err error) {
	l := s.Settings.Listen
	if callers, err = s.Listen(l.Callers); err != nil {
		return nil, nil, nil, errors.Annotate(err, "Listen.Callers")
	}
	if operators, err = s.Listen(l.Operators); err != nil {
		return nil, nil, nil, errors.Annotate(err, "Listen.Operators")
	}
	if peers, err = s.Listen(l.Peers); err != nil {
		return nil, nil, nil, errors.Annotate(err, "Listen.Peers")
	}
	return callers, operators, peers, nil
}

// shutDown shuts the instance down gracefully. Readiness fails at once, but
// requests are accepted for the notice period, so that the load balancer can
// remove the instance first. Then running requests finish, or are aborted at the end of
// the grace period, pending journal and usage records are appended to the log, and the
// lease is released. Usage that can not be appended is handed over to a peer. A step that
// fails does not skip the next ones; the first error is returned.
func (s *Server) shutDown(callers *fasthttp.Server) error {
	s.Logger.Info("stopping", "notice", s.Settings.Stop.Notice, "grace", s.Settings.Stop.Grace)
	s.stopping.Store(true)
	s.gossiper.Leave()
	time.Sleep(s.Settings.Stop.Notice.Std())
	var first error
	for _, step := range []struct {
		timeout time.Duration
		run     func(context.Context) error
	}{
		{s.Settings.Stop.Grace.Std(), func(ctx context.Context) error { return s.finishRequests(ctx, callers) }},
		{finalAppendTimeout, s.journaler.Wait},
		{finalAppendTimeout, func(ctx context.Context) error { return s.recorder.Finish(ctx, s.gossiper.HandOverUsage) }},
		{finalAppendTimeout, s.elector.Release},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), step.timeout)
		if err := step.run(ctx); err != nil && first == nil {
			first = errors.Annotate(err, "shut down")
		}
		cancel()
	}
	return first
}

// finishRequests waits until the running requests have finished. It aborts those that are
// left when ctx ends.
func (s *Server) finishRequests(ctx context.Context, callers *fasthttp.Server) error {
	err := callers.ShutdownWithContext(ctx)
	if err == nil {
		return nil
	}
	s.abort(savoryloft.ErrStopping)
	for end := time.Now().Add(abortTimeout); callers.GetOpenConnectionsCount() > 0 && time.Now().Before(end); {
		time.Sleep(abortPollInterval)
	}
	return errors.Annotate(err, "finish running requests")
}
