package reporter

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"savoryloft.example/savoryloft"
)

// markRetentionWindows is the number of windows for which the sequence number of
// an incarnation is kept after its last usage.
const markRetentionWindows = 1440

// Tally aggregates usage deltas into the figures of one window. Its result
// depends only on the last close and on the deltas in offset order.
type Tally struct {
	last    *savoryloft.WindowClose
	marks   map[producer]savoryloft.SequenceMark         // Highest sequence numbers counted.
	figures map[int]map[figureKey]savoryloft.UsageFigure // By start of the window, in Unix seconds.
}

// producer identifies an incarnation of an instance.
type producer struct {
	instance    string
	incarnation int
}

// figureKey identifies a figure within a window.
type figureKey struct {
	account string
	class   string
}

// NewTally returns a Tally that continues the last close, which is nil before the
// first one.
func NewTally(last *savoryloft.WindowClose) *Tally {
	t := &Tally{
		last:    last,
		marks:   map[producer]savoryloft.SequenceMark{},
		figures: map[int]map[figureKey]savoryloft.UsageFigure{},
	}
	if last == nil {
		return t
	}
	for _, m := range last.Marks {
		t.marks[producer{m.Instance, m.Incarnation}] = m
	}
	for _, c := range last.Carry {
		t.addFigures(c.Window, c.Figures)
	}
	return t
}

// StartOffset returns the offset of the usage stream from which to add records.
func (t *Tally) StartOffset() int {
	if t.last == nil {
		return 0
	}
	return t.last.UpTo
}

// Add adds one usage record. It ignores a repeated delta, whose sequence number
// was counted before, and a record that cannot be decoded.
func (t *Tally) Add(data []byte) {
	var d savoryloft.UsageDelta
	if json.Unmarshal(data, &d) != nil {
		return
	}
	p := producer{d.Instance, d.Incarnation}
	m, ok := t.marks[p]
	if ok && d.Sequence <= m.Sequence {
		return
	}
	t.marks[p] = savoryloft.SequenceMark{
		Instance: d.Instance, Incarnation: d.Incarnation,
		Sequence: d.Sequence, Window: max(m.Window, d.Window),
	}
	t.addFigures(d.Window, d.Figures)
}

// addFigures adds figures to those of a window.
func (t *Tally) addFigures(window int, figures []savoryloft.UsageFigure) {
	w := t.figures[window]
	if w == nil {
		w = map[figureKey]savoryloft.UsageFigure{}
		t.figures[window] = w
	}
	for _, f := range figures {
		w[figureKey{f.ClientAccount, f.Class}] = sum(w[figureKey{f.ClientAccount, f.Class}], f)
	}
}

// Close returns the close of a window with all usage added so far. window is its
// start in Unix seconds, upTo the offset after the last usage record read. Usage
// of earlier windows is included as late requests, usage of later windows is
// carried forward.
func (t *Tally) Close(window, upTo int) savoryloft.WindowClose {
	c := savoryloft.WindowClose{Window: window, From: t.StartOffset(), UpTo: upTo}
	total := map[figureKey]savoryloft.UsageFigure{}
	for _, w := range slices.Sorted(maps.Keys(t.figures)) {
		if w > window {
			c.Carry = append(c.Carry, savoryloft.CarriedUsage{Window: w, Figures: sortedFigures(t.figures[w])})
			continue
		}
		for key, f := range t.figures[w] {
			if w < window {
				f.LateRequests = f.Requests
			}
			total[key] = sum(total[key], f)
		}
	}
	c.Figures = sortedFigures(total)
	c.Marks = t.retainedMarks(window)
	return c
}

// retainedMarks returns the marks whose last usage lies at most
// markRetentionWindows before a window, sorted by instance and incarnation.
func (t *Tally) retainedMarks(window int) []savoryloft.SequenceMark {
	length := 0
	if t.last != nil {
		length = window - t.last.Window
	}
	var list []savoryloft.SequenceMark
	for _, m := range t.marks {
		if window-m.Window <= markRetentionWindows*max(length, 1) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b savoryloft.SequenceMark) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// sortedFigures returns the figures of m, sorted by account and class.
func sortedFigures(m map[figureKey]savoryloft.UsageFigure) []savoryloft.UsageFigure {
	return slices.SortedFunc(maps.Values(m), func(a, b savoryloft.UsageFigure) int {
		return cmp.Or(cmp.Compare(a.ClientAccount, b.ClientAccount), cmp.Compare(a.Class, b.Class))
	})
}

// sum returns the sum of two figures with the account and class of b.
func sum(a, b savoryloft.UsageFigure) savoryloft.UsageFigure {
	return savoryloft.UsageFigure{
		ClientAccount: b.ClientAccount,
		Class:         b.Class,
		Requests:      a.Requests + b.Requests,
		PromptTokens:  a.PromptTokens + b.PromptTokens,
		OutputTokens:  a.OutputTokens + b.OutputTokens,
		LateRequests:  a.LateRequests + b.LateRequests,
		OnTarget:      a.OnTarget + b.OnTarget,
	}
}
