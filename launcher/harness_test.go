package launcher

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/faker"
	"savoryloft.example/savoryloft/platform"
	"savoryloft.example/savoryloft/platform/standin"
	"savoryloft.example/savoryloft/tracer"
)

const (
	host              = "h.example"
	eventuallyTimeout = 10 * time.Second // The awaited conditions normally hold within 1 or 2 s.
)

// cluster runs instances, engines and the platform's services in one process,
// connected by real sockets.
type cluster struct {
	t          *testing.T
	ip         string // Of the engines and the platform's services.
	log        *faker.Log
	logServer  *httptest.Server
	duties     *standin.DutyServer
	dutyServer *httptest.Server
	version    int
	keys       []string       // Of "account".
	otherKeys  []string       // Of "other".
	limits     map[string]any // Of the configuration.
	routes     []any          // Of the configuration; the usual ones when nil.
	queue      bool           // Requests wait for room.
	traits     map[string]any // Further ones of the engines.
	instances  []*instance
	engines    []*standin.Engine
	attempts   int
	slots      int  // Of each engine in the registry; 8 when zero.
	rank       *int // Of the accounts; that of the route when nil.

	membersDelay time.Duration // Of reads of the member list.
	bootstrap    bool          // The instances are the first ones of a new deployment.
	logger       logr.Logger   // Of the instances; the zero value discards.
	dutiesDelay  atomic.Int64  // Of appends of duty records, in ns.
	dutiesCalls  atomic.Int64  // Appends of duty records that wait for dutiesDelay.
}

// instance is one running Launcher.
type instance struct {
	launcher     *Launcher
	partition    *partition // Of the instance from the engines.
	cancel       context.CancelFunc
	done         chan error // Receives the result of Run.
	url          string
	readinessURL string
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, ip: instanceIP(), log: &faker.Log{}, duties: &standin.DutyServer{}, version: 1, keys: []string{"key-1", "key-2"}, otherKeys: []string{"other-key"}, limits: map[string]any{"max_body_bytes": 1 << 20}}
	c.logServer = c.serve(&standin.LogServer{Log: c.log})
	c.dutyServer = c.serve(c.duties)
	t.Cleanup(func() {
		for _, i := range c.instances {
			i.abort()
		}
		c.logServer.CloseClientConnections()
		c.logServer.Close()
		c.dutyServer.Close()
	})
	c.writeConfiguration()
	return c
}

// listen listens at a free port of the cluster's own address. A port of a shared address may
// have been one of another test, whose instances still send requests to it.
func (c *cluster) listen() net.Listener {
	l, err := net.Listen("tcp", net.JoinHostPort(c.ip, "0"))
	require.NoError(c.t, err)
	return l
}

func (c *cluster) serve(h http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(h)
	server.Listener = c.listen()
	server.Start()
	return server
}

// route returns a route of a configuration, whose prefix is its name.
func route(name, kind string, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": "/" + name + "/", "route_kind": kind, "timeout_ms": 5000,
		"goal_ms": 1000, "itl_target_ms": 500, "priority": 1, "service": "s", "max_attempts": attempts, "resumable": resumable,
	}
}

// writeConfiguration writes a configuration with the cluster's version and keys
// to the log.
func (c *cluster) writeConfiguration() {
	routes := c.routes
	if routes == nil {
		urgent := route("urgent", "streaming", 1, false)
		urgent["priority"] = 0
		routes = []any{
			urgent,
			route("stream", "streaming", 1, false), route("resume", "streaming", 3, true),
			route("once", "non_idempotent", 1, false), route("twice", "idempotent", 2, false),
		}
	}
	engine := map[string]any{"slots": 8, "kv_capacity": 100000}
	maps.Copy(engine, c.traits)
	accounts := []any{
		map[string]any{"name": "account", "api_keys": c.keys, "priority": c.rank},
		map[string]any{"name": "other", "api_keys": c.otherKeys, "priority": c.rank},
	}
	value, err := json.Marshal(map[string]any{
		"version":  c.version,
		"routes":   routes,
		"services": []any{map[string]any{"name": "s", "max_conns": 100, "inference_engine": engine}},
		"limits":   c.limits,
		"tenants":  accounts,
	})
	require.NoError(c.t, err)
	c.log.Set(savoryloft.TopicConfiguration, "config", value)
}

// addEngine starts an engine and adds it to the registry.
func (c *cluster) addEngine(decide func(r *http.Request) standin.Behaviour) *standin.Engine {
	e := &standin.Engine{ID: fmt.Sprintf("i-%d", len(c.engines)), EventCount: 6, EventInterval: 5 * time.Millisecond, Decide: decide}
	c.serveEngine(e, e)
	return e
}

// addSlottedEngine starts an engine with so many slots and places in its queue and adds it
// to the registry.
func (c *cluster) addSlottedEngine(slots, queue int, interval time.Duration) *standin.SlottedEngine {
	e := &standin.Engine{ID: fmt.Sprintf("i-%d", len(c.engines)), EventCount: 6, EventInterval: interval}
	slotted := &standin.SlottedEngine{Engine: e, Slots: slots, Queue: queue}
	c.slots = slots
	c.serveEngine(e, slotted)
	return slotted
}

// serveEngine starts an engine that a handler serves and adds it to the registry.
func (c *cluster) serveEngine(e *standin.Engine, h http.Handler) {
	server := c.serve(h)
	c.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	e.Start()
	c.engines = append(c.engines, e)
	c.register(e.ID, server.Listener.Addr().String(), "ready")
}

// register writes an upstream's registry entry to the log.
func (c *cluster) register(id, address, state string) {
	e := &standin.Engine{ID: id}
	if n := slices.IndexFunc(c.engines, func(e *standin.Engine) bool { return e.ID == id }); n >= 0 {
		e = c.engines[n]
	}
	c.log.Set(savoryloft.TopicRegistry, id, e.RegistryEntry(address, state, cmp.Or(c.slots, 8)))
}

// instanceIP returns a loopback address that nothing else in this test process, or in
// others that run at the same time, has. A port of a shared address that is free now may be
// in use a moment later.
func instanceIP() string {
	n := lastIP.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, os.Getpid()/100%25*10+int(n/250%10), n%250+1)
}

var lastIP atomic.Int64

// start starts an instance and waits until it is ready.
func (c *cluster) start(revocation time.Duration) *instance {
	ip := instanceIP()
	d := savoryloft.Deployment{
		Instance: fmt.Sprintf("entry-%d", len(c.instances)), FailureDomain: "a", Bootstrap: c.bootstrap,
		Listen: savoryloft.DeploymentListen{
			Callers: ip + ":7101", Readiness: ip + ":7102", Links: ip + ":7103", Metrics: ip + ":7104", Detours: ip + ":7105",
		},
		Bounds: savoryloft.DeploymentBounds{
			Revocation: revocation, ConfigurationInForce: 2 * time.Second, Drain: 2 * time.Second, Grace: 5 * time.Second,
			LeaseTTL: time.Second, UsageWindow: time.Second, RetryRatio: 1, RetryWindow: 10 * time.Second, RetrySlack: 100,
		},
		Duties: savoryloft.DeploymentDuties{UsageReports: true}, Heartbeat: time.Second,
	}
	if len(c.instances) > 0 {
		d.Seeds = []string{c.instances[0].launcher.Deployment.Listen.Links}
	}
	cut := &partition{isUpstream: c.isEngine}
	pool := &exchanger.Pool{Dial: cut.dial}
	l := &Launcher{
		Deployment: d, Wire: platform.Wire{}, Decoder: platform.Decoder{},
		Log:        &delayedLog{&platform.LogClient{Address: c.logServer.Listener.Addr().String(), Pool: pool}, c, c.membersDelay},
		DutyTarget: &platform.DutyClient{Address: c.dutyServer.Listener.Addr().String(), Instance: d.Instance, Pool: pool, Timeout: time.Second},
		Pool:       pool, QueueRequests: c.queue, Logger: c.logger, Tracer: tracer.Noop(),
		ReadinessPath: platform.ReadinessPath, MetricsPath: platform.MetricsPath,
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{
		launcher: l, cancel: cancel, done: make(chan error, 1), partition: cut,
		url: "http://" + d.Listen.Callers, readinessURL: "http://" + d.Listen.Readiness + platform.ReadinessPath,
	}
	go func() { i.done <- l.Run(ctx) }()
	c.instances = append(c.instances, i)
	require.Eventually(c.t, func() bool {
		select {
		case err := <-i.done:
			require.FailNow(c.t, "instance has ended", "%v", err)
		default:
		}
		return i.readiness() == http.StatusOK
	}, eventuallyTimeout, 10*time.Millisecond)
	return i
}

// abort stops an instance without waiting for its graceful shutdown.
func (i *instance) abort() {
	i.cancel()
	if i.launcher.listener != nil {
		_ = i.launcher.listener.Close()
	}
}

// readiness returns the status code of the readiness probe, or 0 when the
// instance does not respond.
func (i *instance) readiness() int {
	resp, err := http.Get(i.readinessURL)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// waitForUpstreams waits until an instance has n upstreams.
func (c *cluster) waitForUpstreams(i *instance, n int) {
	require.Eventually(c.t, func() bool { return len(i.launcher.watcher.Upstreams("s")) == n }, eventuallyTimeout, 10*time.Millisecond)
}

// response is a response as a client receives it.
type response struct {
	status int
	header http.Header
	body   string
	err    error // Error of reading the body.
}

// request builds a request with a new attempt ID, and with prompt parts on the
// streaming routes.
func (c *cluster) request(i *instance, route, key string) *http.Request {
	parts := ""
	if route == "stream" || route == "resume" {
		parts = "aa:60,bb:40"
	}
	return c.requestWithParts(i, route, key, parts)
}

// requestWithParts builds a request with a new attempt ID, a body of its own and the
// given prompt parts.
func (c *cluster) requestWithParts(i *instance, route, key, parts string) *http.Request {
	c.attempts++
	id := fmt.Sprintf("attempt-%d", c.attempts)
	call := standin.Call{
		Address: strings.TrimPrefix(i.url, "http://"), Host: host, Route: route, ID: id,
		APIKey: key, Timeout: 4 * time.Second, Body: "body of " + id, PromptParts: parts,
	}
	r, err := call.Request()
	require.NoError(c.t, err)
	return r
}

// repeat builds a request once more, with the ID that it had.
func (c *cluster) repeat(r *http.Request) *http.Request {
	again := r.Clone(context.Background())
	body, err := r.GetBody()
	require.NoError(c.t, err)
	again.Body = body
	return again
}

func (c *cluster) do(r *http.Request) response {
	resp, err := http.DefaultClient.Do(r)
	require.NoError(c.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(body), err}
}

func (c *cluster) call(i *instance, route, key string) response {
	return c.do(c.request(i, route, key))
}

// delayedLog is a log whose member list is read, and whose duty records are appended,
// with a delay.
type delayedLog struct {
	savoryloft.RecordLog
	cluster *cluster
	delay   time.Duration
}

func (l *delayedLog) AppendAt(ctx context.Context, t savoryloft.Topic, at int, value []byte) (era int, err error) {
	if d := time.Duration(l.cluster.dutiesDelay.Load()); t == savoryloft.TopicDuties && d > 0 {
		l.cluster.dutiesCalls.Add(1)
		savoryloft.Sleep(ctx, d)
		l.cluster.dutiesCalls.Add(-1)
	}
	return l.RecordLog.AppendAt(ctx, t, at, value)
}

func (l *delayedLog) Newest(ctx context.Context, t savoryloft.Topic) (savoryloft.RecordPage, error) {
	if t == savoryloft.TopicMembers {
		savoryloft.Sleep(ctx, l.delay)
	}
	return l.RecordLog.Newest(ctx, t)
}

// startedRuns returns the number of times that engines started to process an
// attempt.
func (c *cluster) startedRuns(id string) int {
	n := 0
	for _, e := range c.engines {
		for _, r := range e.Requests() {
			if r.ID == id && r.Started {
				n++
			}
		}
	}
	return n
}

// fullStream returns the body of an engine's complete event stream.
func fullStream(events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", n, n)
	}
	return b.String()
}

// sendRaw sends text on a new connection and returns the status codes of the
// responses until the connection is closed or 2 s have passed.
func sendRaw(t *testing.T, i *instance, text string) []int {
	conn, err := net.Dial("tcp", strings.TrimPrefix(i.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte(text))
	require.NoError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	var statuses []int
	for reader := bufio.NewReader(conn); ; {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		statuses = append(statuses, resp.StatusCode)
	}
}
