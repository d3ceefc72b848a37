// Package recorder counts usage by client account and class and appends the counts
// as deltas to the usage stream. Each delta contains the instance, its incarnation
// and a sequence number, so that a delta that is appended again after a lost
// response is counted once.
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

const shardCount = 16

// Usage is the usage of one or more requests.
type Usage struct {
	Requests     int
	PromptTokens int
	OutputTokens int
	OnTarget     int
}

// Recorder counts usage and appends it. Set the exported fields before Run.
type Recorder struct {
	Log         savoryloft.Log
	Logger      logr.Logger
	Instance    string
	Incarnation int
	Interval    time.Duration
	Window      time.Duration

	shards    [shardCount]shard
	seed      maphash.Seed
	once      sync.Once
	flushSlot chan struct{} // Semaphore that guards the fields below.
	sequence  int
	pending   [][]byte // Encoded deltas without an acknowledged append.
}

type shard struct {
	mu      sync.Mutex
	figures map[usageKey]Usage
}

type usageKey struct {
	window  int
	account string
	class   string
}

func (r *Recorder) init() {
	r.once.Do(func() {
		r.seed = maphash.MakeSeed()
		r.flushSlot = make(chan struct{}, 1)
	})
}

// WindowAt returns the start of the window that contains t, in Unix seconds.
func WindowAt(t time.Time, length time.Duration) int {
	return int(t.Truncate(length).Unix())
}

// Record adds usage to the current window.
func (r *Recorder) Record(account, class string, u Usage) {
	r.init()
	key := usageKey{WindowAt(time.Now(), r.Window), account, class}
	s := &r.shards[maphash.String(r.seed, account)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.figures == nil {
		s.figures = map[usageKey]Usage{}
	}
	old := s.figures[key]
	s.figures[key] = Usage{
		Requests:     old.Requests + u.Requests,
		PromptTokens: old.PromptTokens + u.PromptTokens,
		OutputTokens: old.OutputTokens + u.OutputTokens,
		OnTarget:     old.OnTarget + u.OnTarget,
	}
}

// Run appends usage at each interval until ctx is done. It returns nil.
func (r *Recorder) Run(ctx context.Context) error {
	t := time.NewTicker(r.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			if err := r.Flush(ctx); err != nil {
				r.Logger.V(1).Info("cannot append usage; retrying", "step", savoryloft.StepReport, "error", err.Error())
			}
		}
	}
}

// Finish appends the remaining usage during a planned stop. After each failed
// append it calls handOver, which sends the pending deltas to a peer. It retries
// until either succeeds, and returns an error when ctx is done.
func (r *Recorder) Finish(ctx context.Context, handOver func(context.Context, []string) error) error {
	for {
		err := r.Flush(ctx)
		if err == nil {
			return nil
		}
		deltas, encodeErr := r.encodePending()
		if encodeErr != nil {
			return encodeErr
		}
		if handErr := handOver(ctx, deltas); handErr == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Annotate(err, "append remaining usage")
		case <-time.After(r.Interval):
		}
	}
}

// encodePending encodes the recorded usage and returns all deltas without an
// acknowledged append.
func (r *Recorder) encodePending() ([]string, error) {
	r.flushSlot <- struct{}{}
	defer func() { <-r.flushSlot }()
	if err := r.encodeDeltas(); err != nil {
		return nil, err
	}
	list := make([]string, len(r.pending))
	for i, d := range r.pending {
		list[i] = string(d)
	}
	return list, nil
}

// AddPending queues deltas that a stopping instance could not append. They keep the
// sequence numbers of that instance, so that they are counted once even if one of
// its own appends took effect.
func (r *Recorder) AddPending(deltas []string) {
	r.init()
	r.flushSlot <- struct{}{}
	defer func() { <-r.flushSlot }()
	for _, d := range deltas {
		r.pending = append(r.pending, []byte(d))
	}
}

// Flush appends the pending deltas and then the usage recorded since they were
// encoded.
func (r *Recorder) Flush(ctx context.Context) error {
	r.init()
	select {
	case r.flushSlot <- struct{}{}:
		defer func() { <-r.flushSlot }()
	case <-ctx.Done():
		return errors.Annotate(context.Cause(ctx), "wait for the previous append")
	}
	if len(r.pending) > 0 {
		if err := r.appendPending(ctx); err != nil {
			return err
		}
	}
	if err := r.encodeDeltas(); err != nil {
		return err
	}
	if len(r.pending) == 0 {
		return nil
	}
	return r.appendPending(ctx)
}

// appendPending appends the pending deltas. After an error they stay pending and
// are appended again unchanged before any later delta, so that the sequence
// numbers in the log are in order.
func (r *Recorder) appendPending(ctx context.Context) error {
	if _, err := r.Log.Append(ctx, savoryloft.StreamUsage, r.pending...); err != nil {
		return errors.Annotate(err, "append usage")
	}
	r.pending = nil
	return nil
}

// encodeDeltas moves the recorded usage into pending deltas, one for each window.
func (r *Recorder) encodeDeltas() error {
	byWindow := map[int][]savoryloft.UsageFigure{}
	for i := range r.shards {
		for k, u := range r.shards[i].drain() {
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

// drain returns the usage in the shard and removes it.
func (s *shard) drain() map[usageKey]Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.figures
	s.figures = nil
	return taken
}
