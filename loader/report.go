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

// outcome classifies the result of a request.
type outcome int

const (
	outcomeAnswered     outcome = iota // Complete and correct.
	outcomeIncorrect                   // Incorrect, such as the response to another request.
	outcomeRefused                     // Refused as not run, or any other error status.
	outcomeUnauthorized                // The key is invalid or withdrawn.
	outcomeUnknown                     // The request may have run.
	outcomeStreamError                 // The stream ended with an error event.
	outcomeLost                        // No response, or a response truncated without an error.
	outcomeUnreachable                 // The connection to the instance failed.
	outcomeCount
)

// measurement is the result of one request.
type measurement struct {
	started           time.Time
	outcome           outcome
	timeToFirst       time.Duration // To the first token, or to the end of a response that is not streamed.
	timeBetweenTokens time.Duration // Mean of a stream; 0 with fewer than two tokens.
}

// Report holds the measurements by flow.
type Report struct {
	mu        sync.Mutex
	flows     map[string]*FlowReport
	flowNames []string // In the order of the plan.
}

// FlowReport holds the measurements of one flow.
type FlowReport struct {
	Flow               savoryloft.Flow
	Counts             [outcomeCount]int
	OnTarget           int // Requests answered within the targets of the flow.
	timesToFirst       []time.Duration
	timesBetweenTokens []time.Duration
}

func newReport(p savoryloft.LoadPlan) *Report {
	r := &Report{flows: map[string]*FlowReport{}}
	for _, f := range p.Flows {
		r.flows[f.Name] = &FlowReport{Flow: f}
		r.flowNames = append(r.flowNames, f.Name)
	}
	return r
}

func (r *Report) add(flow string, m measurement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[flow]
	f.Counts[m.outcome]++
	if m.outcome != outcomeAnswered {
		return
	}
	f.timesToFirst = append(f.timesToFirst, m.timeToFirst)
	if m.timeBetweenTokens > 0 {
		f.timesBetweenTokens = append(f.timesBetweenTokens, m.timeBetweenTokens)
	}
	late := f.Flow.FirstToken > 0 && m.timeToFirst > f.Flow.FirstToken.Std() ||
		f.Flow.BetweenTokens > 0 && m.timeBetweenTokens > f.Flow.BetweenTokens.Std()
	if !late {
		f.OnTarget++
	}
}

// IncorrectOrLost returns the number of responses that are incorrect, or lost or
// truncated without an error.
func (r *Report) IncorrectOrLost() int {
	n := 0
	for _, f := range r.flows {
		n += f.Counts[outcomeIncorrect] + f.Counts[outcomeLost]
	}
	return n
}

// Answered returns the number of complete and correct responses.
func (r *Report) Answered() int {
	n := 0
	for _, f := range r.flows {
		n += f.Counts[outcomeAnswered]
	}
	return n
}

// Unauthorized returns the number of requests refused because of their key.
func (r *Report) Unauthorized() int {
	n := 0
	for _, f := range r.flows {
		n += f.Counts[outcomeUnauthorized]
	}
	return n
}

// Write prints a table with one row for each flow.
func (r *Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "FLOW\tSENT\tANSWERED\tON TARGET\tFIRST P50\tP95\tP99\tBETWEEN P95\tREFUSED\tKEY\tUNKNOWN\tCUT\tWRONG\tLOST\tNO CONN")
	for _, name := range r.flowNames {
		f := r.flows[name]
		sent := 0
		for _, n := range f.Counts {
			sent += n
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", name, sent, f.Counts[outcomeAnswered],
			percent(f.OnTarget, sent), quantile(f.timesToFirst, 0.5), quantile(f.timesToFirst, 0.95), quantile(f.timesToFirst, 0.99),
			quantile(f.timesBetweenTokens, 0.95), f.Counts[outcomeRefused], f.Counts[outcomeUnauthorized], f.Counts[outcomeUnknown],
			f.Counts[outcomeStreamError], f.Counts[outcomeIncorrect], f.Counts[outcomeLost], f.Counts[outcomeUnreachable])
	}
	return w.Flush()
}

// percent formats n as a percentage of total, or returns "-" when total is 0.
func percent(n, total int) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(total))
}

// quantile formats the q-quantile of durations, rounded to 10 µs, or returns "-"
// when there are none.
func quantile(durations []time.Duration, q float64) string {
	if len(durations) == 0 {
		return "-"
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[int(q*float64(len(sorted)-1))].Round(10 * time.Microsecond).String()
}
