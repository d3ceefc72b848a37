// Package summarizer sums up the request lines of instances' logs: how many
// requests of each route ended how, how long their first byte or token took, and
// which upstreams failed.
//
// # Usage
//
//	s := summarizer.Summary{Interval: time.Second}
//	for lines.Scan() {
//		s.Add(lines.Text())
//	}
//	for _, r := range s.Routes() {
//		fmt.Println(r.Name, r.Requests, r.First(0.95))
//	}
package summarizer

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

const answered = "Answered" // Outcome of a request whose answer was passed on.

// Summary is what the lines added so far tell. Set Interval before the first
// line.
type Summary struct {
	Interval time.Duration // Length of the spans that times are summed up by.

	routes    map[string]*Route
	upstreams map[string]*Upstream
}

// Route sums up the requests of one route.
type Route struct {
	Name     string // Empty for requests that no route takes.
	Requests int
	Outcomes map[string]int // Requests by outcome and status.
	Spans    map[time.Time]*Span

	firsts []time.Duration
}

// Span sums up the requests of a route that ended in one interval.
type Span struct {
	Requests int
	Failed   int // Not answered, or with a server's error.

	firsts []time.Duration
}

// Upstream sums up the failed attempts at one upstream.
type Upstream struct {
	ID     string
	Failed int
	Errors map[string]int
}

// Add takes in one line. It returns false for a line that tells of no request
// and no attempt.
func (s *Summary) Add(line string) bool {
	switch Field(line, "msg") {
	case "request":
		return s.addRequest(line)
	case "attempt failed":
		s.addFailure(line)
		return true
	}
	return false
}

func (s *Summary) addRequest(line string) bool {
	at, err := time.Parse(time.RFC3339Nano, Field(line, "time"))
	if err != nil {
		return false
	}
	name, outcome, status := Field(line, "route"), Field(line, "outcome"), Field(line, "status")
	r := s.route(name)
	r.Requests++
	r.Outcomes[outcome+" "+status]++
	start := at.Truncate(s.Interval)
	span := r.Spans[start]
	if span == nil {
		span = &Span{}
		r.Spans[start] = span
	}
	span.Requests++
	if code, err := strconv.Atoi(status); outcome != answered || err != nil || code >= 500 {
		span.Failed++
		return true
	}
	if ms, err := strconv.Atoi(Field(line, "first")); err == nil {
		first := time.Duration(ms) * time.Millisecond
		r.firsts = append(r.firsts, first)
		span.firsts = append(span.firsts, first)
	}
	return true
}

func (s *Summary) route(name string) *Route {
	if s.routes == nil {
		s.routes = map[string]*Route{}
	}
	r := s.routes[name]
	if r == nil {
		r = &Route{Name: name, Outcomes: map[string]int{}, Spans: map[time.Time]*Span{}}
		s.routes[name] = r
	}
	return r
}

func (s *Summary) addFailure(line string) {
	if s.upstreams == nil {
		s.upstreams = map[string]*Upstream{}
	}
	id := Field(line, "upstream")
	u := s.upstreams[id]
	if u == nil {
		u = &Upstream{ID: id, Errors: map[string]int{}}
		s.upstreams[id] = u
	}
	u.Failed++
	u.Errors[Field(line, "error")]++
}

// Routes returns the routes, the one with the most requests first.
func (s *Summary) Routes() []*Route {
	return slices.SortedFunc(maps.Values(s.routes), func(a, b *Route) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Name, b.Name))
	})
}

// Upstreams returns the upstreams with failed attempts, the one with the most
// first.
func (s *Summary) Upstreams() []*Upstream {
	return slices.SortedFunc(maps.Values(s.upstreams), func(a, b *Upstream) int {
		return cmp.Or(cmp.Compare(b.Failed, a.Failed), cmp.Compare(a.ID, b.ID))
	})
}

// First returns a quantile of the times to the first byte or token of the
// answers; 0 when there are none.
func (r *Route) First(q float64) time.Duration { return quantile(r.firsts, q) }

// First is the same for one interval.
func (s *Span) First(q float64) time.Duration { return quantile(s.firsts, q) }

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Field returns the value of a key in a line of key=value pairs, without its
// quotes; "" when there is none.
func Field(line, key string) string {
	_, after, ok := strings.Cut(" "+line, " "+key+"=")
	if !ok {
		return ""
	}
	if quoted, err := strconv.QuotedPrefix(after); err == nil {
		value, _ := strconv.Unquote(quoted)
		return value
	}
	value, _, _ := strings.Cut(after, " ")
	return value
}
