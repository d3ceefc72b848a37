package launcher

import (
	"bytes"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/platform/standin"
)

// routeAt returns a route for a prefix.
func routeAt(prefix, kind string, attempts int, resumable bool) map[string]any {
	r := route("route-"+prefix, kind, attempts, resumable)
	r["path_prefix"] = prefix
	return r
}

// toService returns a copy of a route that sends its requests to services in proportion to
// weights.
func toService(r map[string]any, weights map[string]int) map[string]any {
	split := map[string]any{}
	for k, v := range r {
		split[k] = v
	}
	delete(split, "service")
	var shares []any
	for _, service := range []string{"other", "s"} {
		if w, ok := weights[service]; ok {
			shares = append(shares, map[string]any{"service": service, "weight": w})
		}
	}
	split["split"] = shares
	return split
}

// reconfiguration is a cluster whose configuration changes while upstreams run requests.
type reconfiguration struct {
	*cluster
	running chan struct{} // Receives when the first run of a request has begun.
	resume  chan struct{} // Closed when that run may go on.
	once    sync.Once
}

// decide holds the first run of a request until the configuration has changed.
func (c *reconfiguration) decide(first standin.Behaviour) func(r *http.Request) standin.Behaviour {
	return func(*http.Request) (b standin.Behaviour) {
		c.once.Do(func() {
			close(c.running)
			<-c.resume
			b = first
		})
		return b
	}
}

// change puts a new configuration into force.
func (c *reconfiguration) change(i *instance, routes []any, keys, otherKeys []string) {
	c.version++
	c.routes, c.keys, c.otherKeys = routes, keys, append([]string{"other-key"}, otherKeys...)
	c.writeConfiguration()
	require.Eventually(c.t, func() bool { return i.launcher.watcher.Version() == c.version }, eventuallyTimeout, time.Millisecond)
}

// Guards against a request that is sent again, or not, as a later configuration says: it
// may have run under one that forbids that.
func TestRequestKeepsTheRouteUnderWhichItWasSent(t *testing.T) {
	const path = "/stock/book/"
	var (
		broad, narrow = "/stock/", "/stock/book/"
		keys          = []string{"key-1", "key-2"}
		idempotent    = func(at string) map[string]any { return routeAt(at, "idempotent", 3, false) }
		nonIdempotent = func(at string) map[string]any { return routeAt(at, "non_idempotent", 1, false) }
		resumable     = func(at string) map[string]any { return routeAt(at, "streaming", 3, true) }
		stream        = func(at string) map[string]any { return routeAt(at, "streaming", 1, false) }
		only          = func(service string) map[string]int { return map[string]int{service: 1} }
		whole         = fullStream(6)
	)
	for _, tt := range []struct {
		name          string
		before, after []any
		keys          []string // Of the account after the change.
		first         standin.Behaviour
		runs          int
		status        int // 0 for a broken response.
		body          string
		otherKeys     []string // Of another account after the change.
	}{
		{"non-idempotent, route removed", []any{idempotent(broad), nonIdempotent(narrow)}, []any{idempotent(broad)}, keys, standin.DropResponse, 1, 502, "", nil},
		{"non-idempotent, narrower route added", []any{nonIdempotent(broad)}, []any{nonIdempotent(broad), idempotent(narrow)}, keys, standin.DropResponse, 1, 502, "", nil},
		{"non-idempotent, becomes idempotent", []any{nonIdempotent(narrow)}, []any{idempotent(narrow)}, keys, standin.TruncateBody, 1, 502, "", nil},
		{"non-idempotent, becomes a stream", []any{nonIdempotent(narrow)}, []any{resumable(narrow)}, keys, standin.DropResponse, 1, 502, "", nil},
		{"non-idempotent, refused", []any{nonIdempotent(narrow)}, []any{idempotent(narrow)}, keys, standin.Reject, 1, 200, "", nil},
		{"stream, route removed", []any{resumable(broad), stream(narrow)}, []any{resumable(broad)}, keys, standin.DropResponse, 1, 502, "", nil},
		{"stream, broken after two events", []any{resumable(broad), stream(narrow)}, []any{resumable(broad)}, keys, standin.TruncateStream, 1, 0, "", nil},
		{"stream, narrower route added", []any{stream(broad)}, []any{stream(broad), resumable(narrow)}, keys, standin.TruncateStream, 1, 0, "", nil},
		{"stream, becomes idempotent", []any{stream(narrow)}, []any{idempotent(narrow)}, keys, standin.DropResponse, 1, 502, "", nil},
		{"fewer attempts allowed", []any{idempotent(narrow)}, []any{routeAt(narrow, "idempotent", 1, false)}, keys, standin.DropResponse, 2, 200, "", nil},
		{"more attempts allowed", []any{routeAt(narrow, "idempotent", 1, false)}, []any{idempotent(narrow)}, keys, standin.DropResponse, 1, 502, "", nil},
		{"idempotent, becomes non-idempotent", []any{idempotent(narrow)}, []any{nonIdempotent(narrow)}, keys, standin.DropResponse, 2, 200, "", nil},
		{"idempotent, route removed", []any{idempotent(narrow)}, []any{idempotent("/elsewhere/")}, keys, standin.DropResponse, 2, 200, "", nil},
		{"idempotent, moved to another service", []any{idempotent(narrow)}, []any{toService(idempotent(narrow), only("other"))}, keys, standin.DropResponse, 2, 200, "", nil},
		{"resumable, route removed", []any{resumable(narrow)}, []any{stream("/elsewhere/")}, keys, standin.TruncateStream, 2, 200, whole, nil},
		{"resumable, becomes a plain stream", []any{resumable(narrow)}, []any{stream(narrow)}, keys, standin.TruncateStream, 2, 200, whole, nil},
		{"resumable, becomes idempotent", []any{resumable(narrow)}, []any{idempotent(narrow)}, keys, standin.TruncateStream, 2, 200, whole, nil},
		{"resumable, moved to another service", []any{resumable(narrow)}, []any{toService(resumable(narrow), only("other"))}, keys, standin.TruncateStream, 2, 200, whole, nil},
		{
			"resumable, split moved",
			[]any{toService(resumable(narrow), map[string]int{"other": 0, "s": 1})},
			[]any{toService(resumable(narrow), map[string]int{"other": 1, "s": 0})},
			keys, standin.TruncateStream, 2, 200, whole, nil,
		},
		{"idempotent, key withdrawn", []any{idempotent(narrow)}, []any{idempotent(narrow)}, keys[1:], standin.DropResponse, 1, 502, "", nil},
		{"idempotent, key given to another account", []any{idempotent(narrow)}, []any{idempotent(narrow)}, keys[1:], standin.DropResponse, 1, 502, "", keys[:1]},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := &reconfiguration{cluster: newCluster(t), running: make(chan struct{}), resume: make(chan struct{})}
			for range 3 {
				c.addEngine(c.decide(tt.first))
			}
			c.addOtherService()
			c.routes = tt.before
			c.writeConfiguration()
			i := c.start(longRevocation)
			c.waitForUpstreams(i, 3)
			kind := tt.before[len(tt.before)-1].(map[string]any)["route_kind"]
			parts := ""
			if kind == "streaming" {
				parts = "aa:60"
			}
			r := c.requestWithParts(i, path[1:len(path)-1], "key-1", parts)
			responses := make(chan response, 1)
			go func() { responses <- doOnNewConnection(t, r) }()
			<-c.running
			c.change(i, tt.after, tt.keys, tt.otherKeys)
			close(c.resume)
			resp := <-responses
			require.Equal(t, tt.runs, c.startedRuns(standin.AttemptID(r)), "%+v", resp)
			if tt.status == 0 {
				require.Error(t, resp.err, "%+v", resp)
				return
			}
			require.NoError(t, resp.err)
			require.Equal(t, tt.status, resp.status, "%+v", resp)
			if tt.body != "" {
				require.Equal(t, tt.body, resp.body)
			}
		})
	}
}

// addOtherService starts an upstream of service "other".
func (c *reconfiguration) addOtherService() {
	e := &standin.Engine{ID: "i-other", EventCount: 6, EventInterval: 5 * time.Millisecond}
	server := c.serve(e)
	c.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	e.Start()
	entry := e.RegistryEntry(server.Listener.Addr().String(), "ready", 8)
	c.log.Set(savoryloft.TopicRegistry, e.ID, bytes.Replace(entry, []byte(`"service":"s"`), []byte(`"service":"other"`), 1))
}
