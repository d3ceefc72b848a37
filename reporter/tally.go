package reporter

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"savoryloft.example/savoryloft"
)

// markMemory is the number of windows for which a silent incarnation's
// sequence number is kept.
const markMemory = 1440

// Tally folds usage deltas into the figures of one window. It is a pure
// function of the last close and the deltas in offset order.
type Tally struct {
	last    *savoryloft.WindowClose
	marks   map[producer]savoryloft.SequenceMark
	figures map[int]map[subject]savoryloft.UsageFigure // By window.
}

type producer struct {
	instance    string
	incarnation int
}

type subject struct {
	account string
	class   string
}

// NewTally starts from the last closed window, which may be nil.
func NewTally(last *savoryloft.WindowClose) *Tally {
	t := &Tally{
		last:    last,
		marks:   map[producer]savoryloft.SequenceMark{},
		figures: map[int]map[subject]savoryloft.UsageFigure{},
	}
	if last == nil {
		return t
	}
	for _, m := range last.Marks {
		t.marks[producer{m.Instance, m.Incarnation}] = m
	}
	for _, c := range last.Carry {
		t.add(c.Window, c.Figures)
	}
	return t
}

// From returns the first offset of the usage stream that counts.
func (t *Tally) From() int {
	if t.last == nil {
		return 0
	}
	return t.last.UpTo
}

// Add counts one usage record. A delta whose sequence number was counted
// before, and a record that can not be read, change nothing.
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
	t.add(d.Window, d.Figures)
}

func (t *Tally) add(window int, figures []savoryloft.UsageFigure) {
	w := t.figures[window]
	if w == nil {
		w = map[subject]savoryloft.UsageFigure{}
		t.figures[window] = w
	}
	for _, f := range figures {
		w[subject{f.ClientAccount, f.Class}] = plus(w[subject{f.ClientAccount, f.Class}], f)
	}
}

// Close returns the close of a window with everything added so far. Usage of
// earlier windows counts here as late; usage of later ones is carried.
func (t *Tally) Close(window, upTo int) savoryloft.WindowClose {
	c := savoryloft.WindowClose{Window: window, From: t.From(), UpTo: upTo}
	total := map[subject]savoryloft.UsageFigure{}
	for _, w := range slices.Sorted(maps.Keys(t.figures)) {
		if w > window {
			c.Carry = append(c.Carry, savoryloft.CarriedUsage{Window: w, Figures: sortedFigures(t.figures[w])})
			continue
		}
		for s, f := range t.figures[w] {
			if w < window {
				f.LateRequests = f.Requests
			}
			total[s] = plus(total[s], f)
		}
	}
	c.Figures = sortedFigures(total)
	c.Marks = t.sortedMarks(window)
	return c
}

func (t *Tally) sortedMarks(window int) []savoryloft.SequenceMark {
	length := 0
	if t.last != nil {
		length = window - t.last.Window
	}
	var list []savoryloft.SequenceMark
	for _, m := range t.marks {
		if window-m.Window <= markMemory*max(length, 1) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b savoryloft.SequenceMark) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

func sortedFigures(m map[subject]savoryloft.UsageFigure) []savoryloft.UsageFigure {
	return slices.SortedFunc(maps.Values(m), func(a, b savoryloft.UsageFigure) int {
		return cmp.Or(cmp.Compare(a.ClientAccount, b.ClientAccount), cmp.Compare(a.Class, b.Class))
	})
}

func plus(a, b savoryloft.UsageFigure) savoryloft.UsageFigure {
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
