// Package monitor serves liveness and readiness probes, metrics and status to
// operators over HTTP.
//
// # Usage
//
//	m := &monitor.Monitor{Ready: ready, Status: status, Metrics: registry}
//	server := &fasthttp.Server{Handler: m.Handle}
//
// The endpoints are:
//
//	/livez     200 while the process serves HTTP
//	/readyz    200 if the instance is ready, 503 with the reason if not
//	/metrics   metrics in the Prometheus text exposition format
//	/status    status of the instance as JSON
//	/notes/ID  verdict on a release note as JSON, 404 if there is none
package monitor

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/gossiper"
)

// Status is the status of an instance, as served at /status.
type Status struct {
	Instance       string
	FailureDomain  string
	Incarnation    int
	Ready          bool
	NotReadyReason string              `json:",omitempty"`
	Offset         int                 // Offset of the last control record applied.
	ConfirmedAgo   savoryloft.Duration // Time since the control stream was last known to be read to its end.
	Hash           string              // Hash of the control stream's state at Offset.
	LeaseHolder    string              // Holder of the lease as of the last control record applied.
	HoldsLease     bool                // This instance holds the lease.
	LastWindow     int                 // Last closed usage window.
	UnsentWindows  int                 // Closed usage windows not yet reported to the platform.
	Members        []gossiper.Status
	Pools          []PoolStatus
	PeerBytesSent  int64 // Sent on links to other instances.
	PeerBytesRead  int64 // Received on links from other instances.
}

// PoolStatus is the status of one pool, counting the requests of this instance.
type PoolStatus struct {
	Name      string
	Waiting   int
	Running   []int // Indexed by tier.
	Upstreams []UpstreamStatus
}

// UpstreamStatus is the status of one upstream, counting the requests of this
// instance.
type UpstreamStatus struct {
	Name          string
	FailureDomain string
	InFlight      int // Requests running.
	Allowance     int // Requests that this instance may run at the same time.
	Limit         int // Estimated number of requests that the upstream can run within the latency targets, for all instances.
}

// Monitor serves the operators' endpoints. Set the exported fields before the
// first request.
type Monitor struct {
	// Ready returns an error with the reason if the instance is not ready.
	Ready  func() error
	Status func() Status
	// LookupNote returns the verdict on a release note by its ID; ok is false if there
	// is none.
	LookupNote func(id string) (note savoryloft.AppliedNote, ok bool)
	Metrics    metrics.Registry
}

// Handle serves one HTTP request.
func (m *Monitor) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/livez":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		if err := m.Ready(); err != nil {
			ctx.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
			return
		}
		ctx.SetBodyString("ok\n")
	case path == "/metrics":
		ctx.SetContentType("text/plain; version=0.0.4")
		ctx.SetBodyString(FormatMetrics(m.Metrics) + strings.Join(ProcessMetrics(), "\n") + "\n")
	case path == "/status":
		writeJSON(ctx, m.Status())
	case strings.HasPrefix(path, "/notes/"):
		v, ok := m.LookupNote(strings.TrimPrefix(path, "/notes/"))
		if !ok {
			ctx.Error("no verdict on this note\n", fasthttp.StatusNotFound)
			return
		}
		writeJSON(ctx, v)
	default:
		ctx.Error("paths are /livez, /readyz, /metrics, /status and /notes/ID\n", fasthttp.StatusNotFound)
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}

var summaryQuantiles = []float64{0.5, 0.95, 0.99}

// summaryLines formats a histogram as a Prometheus summary.
func summaryLines(metric, label string, h metrics.Histogram) []string {
	snapshot := h.Snapshot()
	lines := []string{fmt.Sprintf("%s_count{name=%q} %d", metric, label, snapshot.Count())}
	for i, v := range snapshot.Percentiles(summaryQuantiles) {
		lines = append(lines, fmt.Sprintf("%s{name=%q,quantile=%q} %.1f", metric, label, fmt.Sprint(summaryQuantiles[i]), v))
	}
	return lines
}

// FormatMetrics formats the counters, gauges and histograms of a registry in the
// Prometheus text exposition format. In a registry name, the part before the first
// dot is the metric name and the rest is the value of the label "name".
func FormatMetrics(r metrics.Registry) string {
	var lines []string
	r.Each(func(name string, v any) {
		base, label, ok := strings.Cut(name, ".")
		metric := "savoryloft_" + base
		if ok {
			metric += fmt.Sprintf("{name=%q}", label)
		}
		switch x := v.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", metric, x.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", metric, x.Value()))
		case metrics.Histogram:
			lines = append(lines, summaryLines("savoryloft_"+base, label, x)...)
		}
	})
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}
