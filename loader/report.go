package loader

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"savoryloft.example/savoryloft"
)

// outcome is what became of one request.
type outcome int

const (
	outcomeAnswered     outcome = iota // Whole and right.
	outcomeWrong                       // Not the answer to this request.
	outcomeRefused                     // Refused as not run.
	outcomeUnauthorized                // The key is not in force.
	outcomeUnknown                     // May have run.
	outcomeCutWithError                // A stream that ended in an error event.
	outcomeLost                        // No answer, or a truncated one without an error.
	outcomeUnreachable                 // No connection to the instance.
	outcomes
)

type sample struct {
	started time.Time
	outcome outcome
	first   time.Duration
	between time.Duration
}

// Report holds what was measured, by flow.
type Report struct {
	mu    sync.Mutex
	flows map[string]*FlowReport
	order []string
}

// FlowReport holds what was measured of one flow.
type FlowReport struct {
	Flow     savoryloft.Flow
	Counts   [outcomes]int
	OnTarget int
	first    []time.Duration
	between  []time.Duration
}

func newReport(p savoryloft.LoadPlan) *Report {
	r := &Report{flows: map[string]*FlowReport{}}
	for _, f := range p.Flows {
		r.flows[f.Name] = &FlowReport{Flow: f}
		r.order = append(r.order, f.Name)
	}
	return r
}

func (r *Report) add(flow string, s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[flow]
	f.Counts[s.outcome]++
	if s.outcome != outcomeAnswered {
		return
	}
	f.first = append(f.first, s.first)
	if s.between > 0 {
		f.between = append(f.between, s.between)
	}
	late := f.Flow.FirstToken > 0 && s.first > f.Flow.FirstToken.Std() ||
		f.Flow.BetweenTokens > 0 && s.between > f.Flow.BetweenTokens.Std()
	if !late {
		f.OnTarget++
	}
}

// Faults returns the number of answers that break a promise: wrong ones, and
// ones lost or truncated without an error.
func (r *Report) Faults() int {
	n := 0
	for _, f := range r.flows {
		n += f.Counts[outcomeWrong] + f.Counts[outcomeLost]
	}
	return n
}

// Answered returns the number of whole and right answers.
func (r *Report) Answered() int {
	n := 0
	for _, f := range r.flows {
		n += f.Counts[outcomeAnswered]
	}
	return n
}

// Unauthorized returns the number of requests refused for their key.
func (r *Report) Unauthorized() int {
	n := 0
	for _, f := range r.flows {
		n += f.Counts[outcomeUnauthorized]
	}
	return n
}

// Write prints one row for each flow.
func (r *Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "FLOW\tSENT\tANSWERED\tON TARGET\tFIRST P50\tP95\tP99\tBETWEEN P95\tREFUSED\tKEY\tUNKNOWN\tCUT\tWRONG\tLOST\tNO CONN")
	for _, name := range r.order {
		f := r.flows[name]
		sent := 0
		for _, n := range f.Counts {
			sent += n
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", name, sent, f.Counts[outcomeAnswered],
			percent(f.OnTarget, sent), quantile(f.first, 0.5), quantile(f.first, 0.95), quantile(f.first, 0.99),
			quantile(f.between, 0.95), f.Counts[outcomeRefused], f.Counts[outcomeUnauthorized], f.Counts[outcomeUnknown],
			f.Counts[outcomeCutWithError], f.Counts[outcomeWrong], f.Counts[outcomeLost], f.Counts[outcomeUnreachable])
	}
	return w.Flush()
}

func percent(n, of int) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(of))
}

func quantile(list []time.Duration, q float64) string {
	if len(list) == 0 {
		return "-"
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[int(q*float64(len(sorted)-1))].Round(10 * time.Microsecond).String()
}
