package launcher

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
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
	host    = "h.example"
	patient = 10 * time.Second // Longest wait for what should happen within a second or two.
)

// site is a deployment of stand-ins and instances in one process, over real
// sockets.
type site struct {
	t         *testing.T
	log       *faker.Log
	store     *httptest.Server
	duties    *standin.Duties
	target    *httptest.Server
	version   int
	keys      []string
	instances []*instance
	engines   []*standin.Engine
	attempts  int
}

// instance is one running Launcher.
type instance struct {
	launcher *Launcher
	cancel   context.CancelFunc
	done     chan error
	url      string
	ready    string
}

func newSite(t *testing.T) *site {
	s := &site{t: t, log: &faker.Log{}, duties: &standin.Duties{}, version: 1, keys: []string{"key-1", "key-2"}}
	s.store = httptest.NewServer(&standin.Store{Log: s.log})
	s.target = httptest.NewServer(s.duties)
	t.Cleanup(func() {
		for _, i := range s.instances {
			i.kill()
		}
		s.store.CloseClientConnections()
		s.store.Close()
		s.target.Close()
	})
	s.configure()
	return s
}

// configure writes a configuration with the site's version and keys.
func (s *site) configure() {
	route := func(name, kind string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "route_kind": kind, "timeout_ms": 5000,
			"goal_ms": 1000, "itl_target_ms": 500, "priority": 1, "service": "s", "max_attempts": attempts, "resumable": resumable,
		}
	}
	urgent := route("urgent", "streaming", 1, false)
	urgent["priority"] = 0
	value, err := json.Marshal(map[string]any{
		"version": s.version,
		"routes": []any{
			urgent,
			route("stream", "streaming", 1, false), route("resume", "streaming", 3, true),
			route("once", "non_idempotent", 1, false), route("twice", "idempotent", 2, false),
		},
		"services": []any{map[string]any{"name": "s", "max_conns": 100, "inference_engine": map[string]any{"slots": 8, "kv_capacity": 100000}}},
		"limits":   map[string]any{"max_body_bytes": 1 << 20},
		"tenants":  []any{map[string]any{"name": "account", "api_keys": s.keys}},
	})
	require.NoError(s.t, err)
	s.log.Set(savoryloft.TopicConfiguration, "config", value)
}

// addEngine registers an engine.
func (s *site) addEngine(decide func(r *http.Request) standin.Behaviour) *standin.Engine {
	e := &standin.Engine{ID: fmt.Sprintf("i-%d", len(s.engines)), Events: 6, Pause: 5 * time.Millisecond, Decide: decide}
	server := httptest.NewServer(e)
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	s.engines = append(s.engines, e)
	s.register(e.ID, server.Listener.Addr().String(), "ready")
	return e
}

func (s *site) register(id, address, state string) {
	s.log.Set(savoryloft.TopicRegistry, id, []byte(fmt.Sprintf(
		`{"service":"s","address":%q,"zone":"a","slots":8,"state":%q,"seq_no":1}`, address, state)))
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// start starts an instance and waits until it is ready.
func (s *site) start(revocation time.Duration) *instance {
	d := savoryloft.Deployment{
		Instance: fmt.Sprintf("entry-%d", len(s.instances)), FailureDomain: "a",
		Listen: savoryloft.DeploymentListen{
			Callers: freeAddress(s.t), Readiness: freeAddress(s.t), Links: freeAddress(s.t), Metrics: freeAddress(s.t),
		},
		Bounds: savoryloft.DeploymentBounds{
			Revocation: revocation, ConfigurationInForce: 2 * time.Second, Drain: 2 * time.Second, Grace: 5 * time.Second,
			Lease: time.Second, UsageWindow: time.Second, RetryRatio: 1, RetryWindow: 10 * time.Second, RetrySlack: 100,
		},
		Duties: savoryloft.DeploymentDuties{UsageReports: true}, Heartbeat: time.Second,
	}
	if len(s.instances) > 0 {
		d.Seeds = []string{s.instances[0].launcher.Deployment.Listen.Links}
	}
	pool := &exchanger.Pool{Dial: exchanger.DialTCP}
	l := &Launcher{
		Deployment: d, Wire: platform.Wire{}, Decoder: platform.Decoder{},
		Log:    &platform.Store{Address: s.store.Listener.Addr().String(), Pool: pool},
		Target: &platform.DutyClient{Address: s.target.Listener.Addr().String(), Instance: d.Instance, Pool: pool, Timeout: time.Second},
		Pool:   pool, Logger: logr.Discard(), Tracer: tracer.Noop(),
		Readiness: platform.ReadinessPath, Metrics: platform.MetricsPath,
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{
		launcher: l, cancel: cancel, done: make(chan error, 1),
		url: "http://" + d.Listen.Callers, ready: "http://" + d.Listen.Readiness + platform.ReadinessPath,
	}
	go func() { i.done <- l.Run(ctx) }()
	s.instances = append(s.instances, i)
	require.Eventually(s.t, func() bool { return i.readiness() == http.StatusOK }, patient, 10*time.Millisecond)
	return i
}

// kill ends an instance without waiting for its planned stop.
func (i *instance) kill() {
	i.cancel()
	if i.launcher.listener != nil {
		_ = i.launcher.listener.Close()
	}
}

func (i *instance) readiness() int {
	resp, err := http.Get(i.ready)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// waitUpstreams waits until an instance knows some upstreams.
func (s *site) waitUpstreams(i *instance, n int) {
	require.Eventually(s.t, func() bool { return len(i.launcher.watcher.Upstreams("s")) == n }, patient, 10*time.Millisecond)
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // Of the body.
}

// request builds a request of the next attempt.
func (s *site) request(i *instance, route, key string) *http.Request {
	parts := ""
	if route == "stream" || route == "resume" {
		parts = "aa:60,bb:40"
	}
	return s.prompt(i, route, key, parts)
}

// prompt builds a request with some prompt parts.
func (s *site) prompt(i *instance, route, key, parts string) *http.Request {
	s.attempts++
	c := standin.Call{
		Address: strings.TrimPrefix(i.url, "http://"), Host: host, Route: route, ID: fmt.Sprintf("attempt-%d", s.attempts),
		Key: key, Patience: 4 * time.Second, Body: "the body", Parts: parts,
	}
	r, err := c.Request()
	require.NoError(s.t, err)
	return r
}

func (s *site) do(r *http.Request) answer {
	resp, err := http.DefaultClient.Do(r)
	require.NoError(s.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), err}
}

func (s *site) call(i *instance, route, key string) answer { return s.do(s.request(i, route, key)) }

// runs returns how many engines began to work on an attempt.
func (s *site) runs(id string) int {
	n := 0
	for _, e := range s.engines {
		for _, seen := range e.Requests() {
			if seen.ID == id && seen.Started {
				n++
			}
		}
	}
	return n
}

// wholeStream is the body of a stream of the engines.
func wholeStream(events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", n, n)
	}
	return b.String()
}

// raw sends bytes on a connection of its own and returns the status of each
// answer until the connection ends.
func raw(t *testing.T, i *instance, text string) []int {
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
