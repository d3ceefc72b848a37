// Package recorder counts usage by client account and class and appends it to
// the usage stream. Each delta carries the instance, its incarnation and a
// sequence number, so that an append repeated after a lost answer counts once.
//
// # Usage
//
//	r := &recorder.Recorder{Log: client, Instance: "entry-1", Incarnation: 7,
//		Interval: time.Second, Window: time.Minute}
//	go r.Run(ctx)
//	r.Record("tsagaan", "quotes", recorder.Usage{Requests: 1, OutputTokens: 40})
package recorder

import (
	"cmp"
	"context"
	"encoding/json"
	"hash/maphash"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
)

const shards = 16

// Usage is what one request adds.
type Usage struct {
	Requests     int
	PromptTokens int
	OutputTokens int
	OnTarget     int
}

// Recorder collects usage. Set the exported fields before Run.
type Recorder struct {
	Log         savoryloft.Log
	Logger      logr.Logger
	Instance    string
	Incarnation int
	Interval    time.Duration
	Window      time.Duration

	shards   [shards]shard
	seed     maphash.Seed
	once     sync.Once
	turn     chan struct{} // Held by the flush under way, which owns the fields below.
	sequence int
	pending  [][]byte // Deltas whose append is not acknowledged.
}

type shard struct {
	mu      sync.Mutex
	figures map[figureKey]Usage
}

type figureKey struct {
	window  int
	account string
	class   string
}

func (r *Recorder) init() {
	r.once.Do(func() {
		r.seed = maphash.MakeSeed()
		r.turn = make(chan struct{}, 1)
	})
}

// WindowAt returns the start, in Unix seconds, of the window that t lies in.
func WindowAt(t time.Time, length time.Duration) int {
	return int(t.Truncate(length).Unix())
}

// Record adds usage to the present window.
func (r *Recorder) Record(account, class string, u Usage) {
	r.init()
	key := figureKey{WindowAt(time.Now(), r.Window), account, class}
	s := &r.shards[maphash.String(r.seed, account)%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.figures == nil {
		s.figures = map[figureKey]Usage{}
	}
	old := s.figures[key]
	s.figures[key] = Usage{
		Requests:     old.Requests + u.Requests,
		PromptTokens: old.PromptTokens + u.PromptTokens,
		OutputTokens: old.OutputTokens + u.OutputTokens,
		OnTarget:     old.OnTarget + u.OnTarget,
	}
}

// Run appends usage at each interval until ctx ends.
func (r *Recorder) Run(ctx context.Context) error {
	t := time.NewTicker(r.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			if err := r.Flush(ctx); err != nil {
				r.Logger.V(1).Info("usage not appended, will repeat", "step", savoryloft.StepReport, "error", err.Error())
			}
		}
	}
}

// Finish appends what is left, in a planned stop. While the log does not take
// it, it offers what is left to handOver, which gives it to a peer.
func (r *Recorder) Finish(ctx context.Context, handOver func(context.Context, []string) error) error {
	for {
		err := r.Flush(ctx)
		if err == nil {
			return nil
		}
		if handErr := handOver(ctx, r.unappended()); handErr == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Annotate(err, "append last usage")
		case <-time.After(r.Interval):
		}
	}
}

// unappended returns the deltas whose append is not acknowledged.
func (r *Recorder) unappended() []string {
	r.turn <- struct{}{}
	defer func() { <-r.turn }()
	list := make([]string, len(r.pending))
	for i, d := range r.pending {
		list[i] = string(d)
	}
	return list
}

// Adopt takes over deltas that a leaving instance could not append. They keep
// the sequence numbers of that instance, so that they count once even when its
// own append has taken effect after all.
func (r *Recorder) Adopt(deltas []string) {
	r.init()
	r.turn <- struct{}{}
	defer func() { <-r.turn }()
	for _, d := range deltas {
		r.pending = append(r.pending, []byte(d))
	}
}

// Flush appends the pending deltas, or the usage since the last one.
func (r *Recorder) Flush(ctx context.Context) error {
	r.init()
	select {
	case r.turn <- struct{}{}:
		defer func() { <-r.turn }()
	case <-ctx.Done():
		return errors.Annotate(context.Cause(ctx), "wait for an append under way")
	}
	if len(r.pending) > 0 {
		if err := r.appendPending(ctx); err != nil {
			return err
		}
	}
	if err := r.collect(); err != nil {
		return err
	}
	if len(r.pending) == 0 {
		return nil
	}
	return r.appendPending(ctx)
}

// appendPending appends the same bytes until an append is acknowledged. Later
// deltas wait, so that sequence numbers come into the log in order.
func (r *Recorder) appendPending(ctx context.Context) error {
	if _, err := r.Log.Append(ctx, savoryloft.StreamUsage, r.pending...); err != nil {
		return errors.Annotate(err, "append usage")
	}
	r.pending = nil
	return nil
}

func (r *Recorder) collect() error {
	byWindow := map[int][]savoryloft.UsageFigure{}
	for i := range r.shards {
		for k, u := range r.shards[i].take() {
			byWindow[k.window] = append(byWindow[k.window], savoryloft.UsageFigure{
				ClientAccount: k.account, Class: k.class, Requests: u.Requests,
				PromptTokens: u.PromptTokens, OutputTokens: u.OutputTokens, OnTarget: u.OnTarget,
			})
		}
	}
	for window, figures := range byWindow {
		slices.SortFunc(figures, func(a, b savoryloft.UsageFigure) int {
			return cmp.Or(cmp.Compare(a.ClientAccount, b.ClientAccount), cmp.Compare(a.Class, b.Class))
		})
		r.sequence++
		data, err := json.Marshal(savoryloft.UsageDelta{
			Instance: r.Instance, Incarnation: r.Incarnation, Sequence: r.sequence,
			Window: window, Figures: figures,
		})
		if err != nil {
			return errors.Annotate(err, "encode usage")
		}
		r.pending = append(r.pending, data)
	}
	return nil
}

func (s *shard) take() map[figureKey]Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.figures
	s.figures = nil
	return taken
}
