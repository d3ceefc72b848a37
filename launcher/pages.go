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

// listen opens the addresses of the settings. The metrics page is not needed
// to serve, so its address may be taken.
func (l *Launcher) listen() (callers, readiness, links, pages net.Listener, err error) {
	a := l.Deployment.Listen
	if callers, err = net.Listen("tcp", a.Callers); err != nil {
		return nil, nil, nil, nil, errors.Annotate(err, "listen for callers")
	}
	if readiness, err = net.Listen("tcp", a.Readiness); err != nil {
		return nil, nil, nil, nil, errors.Annotate(err, "listen for the balancer")
	}
	if links, err = net.Listen("tcp", a.Links); err != nil {
		return nil, nil, nil, nil, errors.Annotate(err, "listen for links")
	}
	if pages, err = net.Listen("tcp", a.Metrics); err != nil {
		l.Logger.Info("metrics are not served", "address", a.Metrics, "error", err.Error())
		return callers, readiness, links, nil, nil
	}
	return callers, readiness, links, pages, nil
}

func (l *Launcher) callerServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                       l.relayer.Handle,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: true,
		DisablePreParseMultipartForm:  true,
		ReadBufferSize:                readBufferBytes,
		ReadTimeout:                   headTimeout,
		IdleTimeout:                   idleTimeout,
		HeaderReceived:                l.requestLimits,
		ErrorHandler:                  relayer.HandleProtocolError,
		Logger:                        logger.Discard{},
	}
}

// requestLimits bounds a request's body by the configuration in force.
func (l *Launcher) requestLimits(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	c := fasthttp.RequestConfig{MaxRequestBodySize: defaultBody, ReadTimeout: headTimeout}
	if t := l.watcher.Table(); t != nil {
		if t.Limits.BodyBytes > 0 {
			c.MaxRequestBodySize = t.Limits.BodyBytes
		}
		c.ReadTimeout = max(t.Limits.HeaderTimeout, headTimeout)
	}
	return c
}

func pageServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{Handler: h, NoDefaultServerHeader: true, Logger: logger.Discard{}}
}

// ready returns why this instance should get no new connections, or nil.
func (l *Launcher) ready() error {
	age, ok := l.watcher.Age(savoryloft.TopicConfiguration)
	switch {
	case l.stopping.Load():
		return errors.New("instance is stopping")
	case l.watcher.Table() == nil || !ok:
		return errors.New("no configuration is known yet")
	case l.Deployment.Bounds.Revocation > 0 && age > time.Duration(float64(l.Deployment.Bounds.Revocation)*readyPart):
		return errors.Errorf("configuration was last known to be the newest %s ago", age)
	}
	return nil
}

func (l *Launcher) handleReadiness(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != l.Readiness {
		ctx.Error("no such page\n", fasthttp.StatusNotFound)
		return
	}
	if err := l.ready(); err != nil {
		ctx.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ok\n")
}

func (l *Launcher) handleMetrics(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != l.Metrics {
		ctx.Error("no such page\n", fasthttp.StatusNotFound)
		return
	}
	l.gauges()
	ctx.SetContentType("text/plain; version=0.0.4")
	ctx.SetBodyString(monitor.FormatMetrics(l.registry) + strings.Join(monitor.ProcessMetrics(), "\n") + "\n")
}

// gauges sets the gauges that are read only when asked for.
func (l *Launcher) gauges() {
	set := func(name string, v int64) { metrics.GetOrRegisterGauge(name, l.registry).Update(v) }
	for _, t := range []savoryloft.Topic{savoryloft.TopicConfiguration, savoryloft.TopicRegistry} {
		age, ok := l.watcher.Age(t)
		if !ok {
			age = -time.Millisecond
		}
		set(fmt.Sprintf("age_ms.%s", t), age.Milliseconds())
	}
	fence, _, held := l.claimer.Held()
	set("lease_held", int64(boolNumber(held)))
	set("lease_fence", int64(fence))
	set("configuration_version", int64(l.watcher.Version()))
	set("members", int64(l.instances()))
	set("requests_active", int64(l.relayer.ActiveRequests()))
	sent, received := l.linker.Bytes()
	set("link_bytes.sent", sent)
	set("link_bytes.received", received)
	set("clock_offset_ms", l.linker.ClockOffset().Milliseconds())
}

func boolNumber(b bool) int {
	if b {
		return 1
	}
	return 0
}

// stop runs the planned stop: readiness fails first, requests go on until the
// balancer has noticed, then running ones finish.
func (l *Launcher) stop() {
	grace := l.Deployment.Bounds.Grace
	l.Logger.Info("stopping", "grace", grace.String())
	l.stopping.Store(true)
	end := time.Now().Add(grace - stopReserve)
	ctx, cancel := context.WithTimeout(context.Background(), lastWork)
	defer cancel()
	if err := l.claimer.Release(ctx); err != nil {
		l.Logger.Info("lease not released", "step", savoryloft.StepLease, "error", err.Error())
	}
	l.linker.BroadcastStatus()
	time.Sleep(stopNotice)
	_ = l.listener.Close()
	for l.relayer.ActiveRequests() > 0 && time.Now().Before(end) {
		l.listener.CloseIdle()
		time.Sleep(pollStop)
	}
	l.listener.CloseIdle()
	l.linker.BroadcastStatus()
	time.Sleep(pollStop)
	l.Logger.Info("drained", "active", l.relayer.ActiveRequests())
}

const pollStop = 50 * time.Millisecond // Between looks at the running requests in a planned stop.
