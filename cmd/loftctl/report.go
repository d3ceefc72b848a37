package main

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // Registers the SVG format.

	"savoryloft.example/savoryloft/summarizer"
)

const reportUsage = `Report reads the logs of instances and writes a self-contained HTML page with the
requests, outcomes and times to the first byte or token by route, plots over time,
and the upstreams with failed attempts.

Example:

  loftctl report --interval 10s entry-1.log entry-2.log > report.html`

const (
	plotWidth        = 22 * vg.Centimeter
	plotHeight       = 8 * vg.Centimeter
	maxPlottedRoutes = 7 // Routes with the most requests; more lines are hard to distinguish.
	maxListedErrors  = 3 // Most frequent errors listed for an upstream.
)

func reportCommand() *cobra.Command {
	interval := time.Second
	c := &cobra.Command{
		Use:   "report FILE...",
		Short: "Write an HTML report on the requests in logs",
		Long:  reportUsage,
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			if interval <= 0 {
				return errors.Errorf("interval %s is not positive", interval)
			}
			s := &summarizer.Summary{Interval: interval}
			requests := 0
			add := func(line string) {
				if s.Add(line) {
					requests++
				}
			}
			for _, file := range files {
				if err := eachLine(file, add); err != nil {
					return err
				}
			}
			if requests == 0 {
				return errors.New("no line tells of a request; are these the logs of entry instances?")
			}
			return writeReport(c.OutOrStdout(), s)
		},
	}
	c.Flags().DurationVar(&interval, "interval", interval, "aggregation interval of the plots")
	return c
}

// reportPage holds the values for the template.
type reportPage struct {
	Plots     []template.HTML
	Routes    []*summarizer.Route
	Upstreams []*summarizer.Upstream
}

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"first":  func(r *summarizer.Route, q float64) string { return r.FirstByteQuantile(q).String() },
	"counts": formatCounts,
	"listed": func() int { return maxListedErrors },
	"name": func(route string) string {
		if route == "" {
			return "(no route)"
		}
		return route
	},
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>savoryloft: requests</title>
<style>body{font-family:sans-serif;max-width:60em;margin:auto}td,th{padding:.2em .6em;text-align:left}td.n{text-align:right}</style>
</head><body>
<h1>Requests</h1>
{{range .Plots}}<div>{{.}}</div>
{{end}}<h2>Routes</h2>
<table><tr><th>Route</th><th>Requests</th><th>First, p50</th><th>p95</th><th>p99</th><th>Ended</th></tr>
{{range .Routes}}<tr><td>{{name .Name}}</td><td class="n">{{.Requests}}</td><td class="n">{{first . 0.5}}</td><td class="n">{{first . 0.95}}</td><td class="n">{{first . 0.99}}</td><td>{{counts .Outcomes 0}}</td></tr>
{{end}}</table>
<h2>Upstreams with failed attempts</h2>
<table><tr><th>Upstream</th><th>Failed</th><th>Errors</th></tr>
{{range .Upstreams}}<tr><td>{{.ID}}</td><td class="n">{{.Failed}}</td><td>{{counts .Errors listed}}</td></tr>
{{end}}</table>
</body></html>
`))

// formatCounts lists names with their counts, in descending order of the counts. A
// limit of 0 lists all of them.
func formatCounts(m map[string]int, limit int) string {
	names := slices.SortedFunc(maps.Keys(m), func(a, b string) int {
		if m[a] != m[b] {
			return m[b] - m[a]
		}
		return slices.Compare([]byte(a), []byte(b))
	})
	text := ""
	for i, n := range names {
		if limit > 0 && i == limit {
			return text + ", ..."
		}
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s: %d", n, m[n])
	}
	return text
}

// writeReport writes the HTML page of a summary.
func writeReport(w io.Writer, s *summarizer.Summary) error {
	p := reportPage{Routes: s.Routes(), Upstreams: s.Upstreams()}
	for _, metric := range []struct {
		title, unit string
		value       func(*summarizer.Bucket) float64
	}{
		{"Requests", "requests/s", func(x *summarizer.Bucket) float64 { return float64(x.Requests) / s.Interval.Seconds() }},
		{"Failed requests", "requests/s", func(x *summarizer.Bucket) float64 { return float64(x.Failed) / s.Interval.Seconds() }},
		{"Time to first byte or token, p95", "ms", func(x *summarizer.Bucket) float64 { return float64(x.FirstByteQuantile(0.95).Milliseconds()) }},
	} {
		svg, err := plotRoutes(metric.title, metric.unit, p.Routes, metric.value)
		if err != nil {
			return err
		}
		p.Plots = append(p.Plots, svg)
	}
	return errors.Annotate(pageTemplate.Execute(w, p), "write report")
}

// plotRoutes returns an SVG plot of a value of each route over time, in seconds
// since the first interval.
func plotRoutes(title, unit string, routes []*summarizer.Route, value func(*summarizer.Bucket) float64) (template.HTML, error) {
	var start time.Time
	for _, r := range routes {
		for at := range r.Buckets {
			if start.IsZero() || at.Before(start) {
				start = at
			}
		}
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text, p.Y.Min = title, "seconds", unit, 0
	p.Legend.Top = true
	var lines []any
	for _, r := range routes[:min(len(routes), maxPlottedRoutes)] {
		var points plotter.XYs
		for _, at := range slices.SortedFunc(maps.Keys(r.Buckets), time.Time.Compare) {
			points = append(points, plotter.XY{X: at.Sub(start).Seconds(), Y: value(r.Buckets[at])})
		}
		lines = append(lines, r.Name, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return "", errors.Annotate(err, "plot "+title)
	}
	drawing, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", errors.Annotate(err, "plot "+title)
	}
	var svg bytes.Buffer
	if _, err := drawing.WriteTo(&svg); err != nil {
		return "", errors.Annotate(err, "plot "+title)
	}
	// An XML declaration is not allowed inside an HTML page.
	if i := bytes.Index(svg.Bytes(), []byte("<svg")); i > 0 {
		svg.Next(i)
	}
	return template.HTML(svg.String()), nil //nolint:gosec // Generated above; the plot library escapes the names.
}
