// Package monitor answers operators over HTTP, on a listener of its own:
// probes, metrics and status.
//
// # Usage
//
//	m := &monitor.Monitor{Ready: ready, Status: status, Metrics: registry}
//	server := &fasthttp.Server{Handler: m.Handle}
//
// Paths are /livez, /readyz, /metrics (in the text form that Prometheus
// reads) and /status (JSON).
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

// Status describes an instance to operators.
type Status struct {
	Instance       string
	FailureDomain  string
	Incarnation    int
	Ready          bool
	NotReadyReason string `json:",omitempty"`
	Offset         int
	ConfirmedAgo   savoryloft.Duration
	Hash           string
	LeaseHolder    string
	HoldsLease     bool
	LastWindow     int
	UnsentWindows  int
	Members        []gossiper.Status
	Pools          []PoolStatus
	PeerBytesSent  int64
	PeerBytesRead  int64
}

// PoolStatus describes one pool of an instance.
type PoolStatus struct {
	Name      string
	Waiting   int
	Running   []int // By tier.
	Upstreams []UpstreamStatus
}

// UpstreamStatus describes one upstream of an instance.
type UpstreamStatus struct {
	Name          string
	FailureDomain string
	InFlight      int
	Allowance     int
	Limit         int
}

// Monitor answers operators. Set the exported fields before the first request.
type Monitor struct {
	Ready   func() error
	Status  func() Status
	Notes   func(id string) (savoryloft.AppliedNote, bool)
	Metrics metrics.Registry
}

// Handle answers one request.
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
		ctx.SetBodyString(Exposition(m.Metrics) + strings.Join(ProcessLines(), "\n") + "\n")
	case path == "/status":
		writeJSON(ctx, m.Status())
	case strings.HasPrefix(path, "/notes/"):
		v, ok := m.Notes(strings.TrimPrefix(path, "/notes/"))
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

// quantiles of histograms that are exposed.
var quantiles = []float64{0.5, 0.95, 0.99}

// histogramLines returns a histogram as a summary.
func histogramLines(metric, label string, h metrics.Histogram) []string {
	snapshot := h.Snapshot()
	lines := []string{fmt.Sprintf("%s_count{name=%q} %d", metric, label, snapshot.Count())}
	for i, v := range snapshot.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s{name=%q,quantile=%q} %.1f", metric, label, fmt.Sprint(quantiles[i]), v))
	}
	return lines
}

// Exposition returns a registry's counters, gauges and histograms in the text form that
// Prometheus reads. What follows the first dot of a metric's name becomes its
// label.
func Exposition(r metrics.Registry) string {
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
			lines = append(lines, histogramLines("savoryloft_"+base, label, x)...)
		}
	})
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}
