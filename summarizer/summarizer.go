// Package summarizer aggregates the log lines of instances: requests by route and
// outcome, the time to the first byte or token, and failed attempts by upstream.
//
// # Usage
//
//	s := summarizer.Summary{Interval: time.Second}
//	for lines.Scan() {
//		s.Add(lines.Text())
//	}
//	for _, r := range s.Routes() {
//		fmt.Println(r.Name, r.Requests, r.FirstByteQuantile(0.95))
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

const outcomeAnswered = "Answered" // Outcome of a request whose response was forwarded to the caller.

// Summary aggregates the lines added to it. Set Interval before the first call of
// Add.
type Summary struct {
	Interval time.Duration // Length of the interval of a Bucket.

	routes    map[string]*Route
	upstreams map[string]*Upstream
}

// Route aggregates the requests of one route.
type Route struct {
	Name     string // Empty for requests that match no route.
	Requests int
	Outcomes map[string]int        // Number of requests by outcome and status code, such as "Answered 200".
	Buckets  map[time.Time]*Bucket // By start of the interval.

	firstByteTimes []time.Duration
}

// Bucket aggregates the requests of a route that ended in one interval.
type Bucket struct {
	Requests int
	Failed   int // Outcome other than Answered, or a status code that is invalid or at least 500.

	firstByteTimes []time.Duration
}

// Upstream aggregates the failed attempts at one upstream.
type Upstream struct {
	ID     string
	Failed int
	Errors map[string]int // Number of failed attempts by error.
}

// Add adds a log line. It returns false if the line is neither that of a request with
// a valid time nor that of a failed attempt.
func (s *Summary) Add(line string) bool {
	switch Field(line, "msg") {
	case "request":
		return s.addRequest(line)
	case "attempt failed":
		s.addFailedAttempt(line)
		return true
	}
	return false
}

func (s *Summary) addRequest(line string) bool {
	endedAt, err := time.Parse(time.RFC3339Nano, Field(line, "time"))
	if err != nil {
		return false
	}
	name, outcome, status := Field(line, "route"), Field(line, "outcome"), Field(line, "status")
	r := s.routeSummary(name)
	r.Requests++
	r.Outcomes[outcome+" "+status]++
	start := endedAt.Truncate(s.Interval)
	bucket := r.Buckets[start]
	if bucket == nil {
		bucket = &Bucket{}
		r.Buckets[start] = bucket
	}
	bucket.Requests++
	if code, err := strconv.Atoi(status); outcome != outcomeAnswered || err != nil || code >= 500 {
		bucket.Failed++
		return true
	}
	if ms, err := strconv.Atoi(Field(line, "first")); err == nil {
		first := time.Duration(ms) * time.Millisecond
		r.firstByteTimes = append(r.firstByteTimes, first)
		bucket.firstByteTimes = append(bucket.firstByteTimes, first)
	}
	return true
}

func (s *Summary) routeSummary(name string) *Route {
	if s.routes == nil {
		s.routes = map[string]*Route{}
	}
	r := s.routes[name]
	if r == nil {
		r = &Route{Name: name, Outcomes: map[string]int{}, Buckets: map[time.Time]*Bucket{}}
		s.routes[name] = r
	}
	return r
}

func (s *Summary) addFailedAttempt(line string) {
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

// Routes returns the routes, sorted by descending number of requests.
func (s *Summary) Routes() []*Route {
	return slices.SortedFunc(maps.Values(s.routes), func(a, b *Route) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Name, b.Name))
	})
}

// Upstreams returns the upstreams with failed attempts, sorted by descending number
// of failed attempts.
func (s *Summary) Upstreams() []*Upstream {
	return slices.SortedFunc(maps.Values(s.upstreams), func(a, b *Upstream) int {
		return cmp.Or(cmp.Compare(b.Failed, a.Failed), cmp.Compare(a.ID, b.ID))
	})
}

// FirstByteQuantile returns the quantile q, from 0 to 1, of the time to the first byte
// or token over the requests that did not fail. It returns 0 if there are none.
func (r *Route) FirstByteQuantile(q float64) time.Duration { return quantile(r.firstByteTimes, q) }

// FirstByteQuantile returns the same quantile as Route.FirstByteQuantile for the
// requests of the interval.
func (b *Bucket) FirstByteQuantile(q float64) time.Duration { return quantile(b.firstByteTimes, q) }

func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Field returns the unquoted value of a key in a line of key=value pairs, or "" if the
// line does not contain the key.
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
