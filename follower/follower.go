// Package follower keeps an instance's configuration current. It reads the
// control stream, folds it and publishes each new configuration through an
// atomic pointer. When the log can not be reached it applies records that
// peers pass on.
//
// # Usage
//
//	f := &follower.Follower{Log: client, Logger: log}
//	go f.Run(ctx)
//	config := f.Config() // nil until the first state is known
//
// The offset never goes back: a record at or below the offset applied is
// ignored, wherever it comes from.
package follower

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/folder"
	"savoryloft.example/savoryloft/parser"
)

const (
	readLimit     = 512
	readWait      = time.Second
	leastRetry    = 100 * time.Millisecond
	mostRetry     = time.Second
	recentRecords = 4096 // Records held for peers that fall behind.
	maxAwaited    = 64   // Confirmations held until their offset is applied.
	probeInterval = 500 * time.Millisecond
	probeAge      = time.Second // Age of the last confirmation from which probes are sent.
	maxProbes     = 8           // Probes under way at once.
)

// View is an immutable picture of the control stream's state.
type View struct {
	Config  *Config
	Offset  int
	Lease   savoryloft.LeaseState
	Intents map[string]savoryloft.OrderIntent
	Closed  *savoryloft.WindowClose
	Unsent  []savoryloft.WindowClose
}

// confirmation tells that the log ended at an offset at some time after start.
type confirmation struct {
	offset int
	at     time.Duration
}

// Observer is called with each record applied and the view after it. It must
// not block.
type Observer func(offset int, record *savoryloft.Record, view *View)

// Follower follows the control stream. Set the exported fields before Run.
type Follower struct {
	Log       savoryloft.Log
	Logger    logr.Logger
	Observers []Observer

	view      atomic.Pointer[View]
	confirmed atomic.Int64 // Time of the last confirmation, in nanoseconds since start.
	start     time.Time
	once      sync.Once

	mu       sync.Mutex
	state    *folder.State
	synced   bool // A state was reached from offset 0 or from a snapshot.
	recent   []savoryloft.PeerRecord
	awaited  []confirmation      // Confirmations whose offset is not applied yet.
	snapshot int                 // Offset of the last snapshot record seen.
	expected map[string]chan int // Records that Publish waits for, by ID.
}

// Config returns the configuration in force, or nil before the first one.
func (f *Follower) Config() *Config {
	v := f.view.Load()
	if v == nil {
		return nil
	}
	return v.Config
}

// View returns the state as of the last record applied, or nil before it is
// known.
func (f *Follower) View() *View { return f.view.Load() }

// Offset returns the offset of the last control record applied, or -1.
func (f *Follower) Offset() int {
	v := f.view.Load()
	if v == nil {
		return -1
	}
	return v.Offset
}

// SinceConfirmed returns the time since the control stream was last known to
// be read to its end.
func (f *Follower) SinceConfirmed() time.Duration {
	f.init()
	return time.Since(f.start) - time.Duration(f.confirmed.Load())
}

// Confirm notes that, ago before now, the log ended at an offset. It counts as
// soon as that offset has been applied.
func (f *Follower) Confirm(offset int, ago time.Duration) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	c := confirmation{offset: offset, at: time.Since(f.start) - ago}
	if offset <= f.state.Offset {
		f.count(c)
		return
	}
	f.awaited = append(f.awaited, c)
	if len(f.awaited) > maxAwaited {
		f.awaited = slices.Clone(f.awaited[1:])
	}
}

// countAwaited counts the confirmations whose offset has now been applied. The
// caller holds f.mu.
func (f *Follower) countAwaited() {
	left := f.awaited[:0]
	for _, c := range f.awaited {
		if c.offset <= f.state.Offset {
			f.count(c)
			continue
		}
		left = append(left, c)
	}
	f.awaited = left
}

func (f *Follower) count(c confirmation) {
	if int64(c.at) > f.confirmed.Load() {
		f.confirmed.Store(int64(c.at))
	}
}

func (f *Follower) init() {
	f.once.Do(func() {
		f.start = time.Now()
		f.confirmed.Store(int64(-24 * time.Hour))
		f.state = folder.New()
	})
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	var probes sync.WaitGroup
	probes.Go(func() { f.probe(ctx) })
	defer probes.Wait()
	backoff := leastRetry
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			backoff = leastRetry
			continue
		}
		f.Logger.V(1).Info("control stream not read", "step", savoryloft.StepFollow, "error", err.Error())
		savoryloft.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, mostRetry)
	}
	return nil
}

// step reads once and applies what came.
func (f *Follower) step(ctx context.Context) error {
	f.mu.Lock()
	next, wait := f.state.Offset+1, readWait
	if !f.synced {
		wait = 0
	}
	f.mu.Unlock()
	asked := time.Now()
	res, err := f.Log.Read(ctx, savoryloft.StreamControl, next, readLimit, wait)
	if errors.Is(err, savoryloft.ErrExpired) {
		return f.restore(ctx)
	}
	if err != nil {
		return errors.Trace(err)
	}
	for _, r := range res.Records {
		f.apply(r.Offset, []byte(r.Data))
	}
	if f.Offset()+1 >= res.Next {
		f.markSynced()
		f.Confirm(res.Next-1, time.Since(confirmedAt(asked, wait, len(res.Records))))
	}
	return nil
}

// probe asks for the log's end while the last confirmation grows old. Reads of
// a slow log take so long that they alone would leave gaps between
// confirmations; probes overlap.
func (f *Follower) probe(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	slots := make(chan struct{}, maxProbes)
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if f.SinceConfirmed() < probeAge || len(slots) == maxProbes {
			continue
		}
		slots <- struct{}{}
		probes.Go(func() {
			asked := time.Now()
			if res, err := f.Log.Read(ctx, savoryloft.StreamControl, 0, 0, 0); err == nil {
				f.Confirm(res.Next-1, time.Since(asked))
			}
			<-slots
		})
	}
}

// confirmedAt returns the latest time at which the log is known to have ended
// where a read found its end. A read that waited in vain has seen the log to
// the end of its wait; without this, a slow log would look out of date.
func confirmedAt(asked time.Time, wait time.Duration, records int) time.Time {
	if end := asked.Add(wait); records == 0 && !end.After(time.Now()) {
		return end
	}
	return asked
}

func (f *Follower) apply(offset int, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset != f.state.Offset+1 {
		return
	}
	record := f.state.Apply(offset, data)
	f.remember(offset, data)
	if record != nil && record.Snapshot != nil {
		f.snapshot = offset
	}
	configChanged := record != nil && record.Note != nil
	view := f.publish(configChanged)
	f.countAwaited()
	f.settle(offset, record)
	for _, o := range f.Observers {
		o(offset, record, view)
	}
}

// publish makes the present state visible. The configuration is compiled anew
// only when a note came.
func (f *Follower) publish(configChanged bool) *View {
	old := f.view.Load()
	v := &View{
		Offset:  f.state.Offset,
		Lease:   f.state.Lease,
		Intents: maps.Clone(f.state.Intents),
		Closed:  f.state.Closed,
		Unsent:  slices.Clone(f.state.Unsent),
	}
	var oldConfig *Config
	if old != nil {
		oldConfig = old.Config
		v.Config = oldConfig
	}
	if configChanged || oldConfig == nil {
		v.Config = compile(f.state, oldConfig)
	}
	f.view.Store(v)
	if v.Config != oldConfig {
		withdrawMissing(oldConfig, v.Config)
	}
	return v
}

func (f *Follower) remember(offset int, data []byte) {
	f.recent = append(f.recent, savoryloft.PeerRecord{Offset: offset, Data: string(data)})
	if len(f.recent) > recentRecords {
		f.recent = slices.Clone(f.recent[recentRecords/4:])
	}
}

func (f *Follower) markSynced() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.synced = true
	if f.view.Load() == nil {
		f.publish(true)
	}
}

// restore starts from the earliest snapshot that the log still keeps.
func (f *Follower) restore(ctx context.Context) error {
	res, err := f.Log.Read(ctx, savoryloft.StreamControl, 0, 0, 0)
	if err != nil && !errors.Is(err, savoryloft.ErrExpired) {
		return errors.Trace(err)
	}
	from := res.Earliest
	for {
		res, err = f.Log.Read(ctx, savoryloft.StreamControl, from, readLimit, 0)
		if err != nil {
			return errors.Annotate(err, "look for a snapshot")
		}
		if len(res.Records) == 0 {
			return errors.Errorf("the log keeps no snapshot from offset %d on", from)
		}
		for _, r := range res.Records {
			if f.adoptSnapshot(r) {
				return nil
			}
		}
		from = res.Records[len(res.Records)-1].Offset + 1
	}
}

func (f *Follower) adoptSnapshot(r savoryloft.LogRecord) bool {
	record, err := parser.Record([]byte(r.Data))
	if err != nil || record.Snapshot == nil {
		return false
	}
	state, err := folder.Restore(*record.Snapshot)
	if err != nil {
		f.Logger.Error(err, "snapshot skipped", "step", savoryloft.StepFollow, "offset", r.Offset)
		return false
	}
	return f.adopt(state)
}

// adopt replaces the state by one that is ahead of it.
func (f *Follower) adopt(state *folder.State) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state.Offset <= f.state.Offset {
		return false
	}
	f.state = state
	f.recent = nil
	view := f.publish(true)
	f.countAwaited()
	for _, o := range f.Observers {
		o(state.Offset, nil, view)
	}
	return true
}

// Offer applies what a peer has passed on and returns the offset reached.
func (f *Follower) Offer(t savoryloft.Tail) (int, error) {
	f.init()
	if t.State != "" {
		var c savoryloft.ControlState
		if err := json.Unmarshal([]byte(t.State), &c); err != nil {
			return f.Offset(), errors.Annotate(err, "state from a peer")
		}
		f.adopt(folder.Import(c))
	}
	for _, r := range t.Records {
		f.apply(r.Offset, []byte(r.Data))
	}
	return f.Offset(), nil
}

// Tail returns the records from an offset on, or the whole state when they are
// no longer held.
func (f *Follower) Tail(from int) savoryloft.Tail {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	if from > f.state.Offset {
		return savoryloft.Tail{}
	}
	if len(f.recent) > 0 && f.recent[0].Offset <= from {
		first := from - f.recent[0].Offset
		last := min(first+readLimit, len(f.recent))
		return savoryloft.Tail{Records: slices.Clone(f.recent[first:last])}
	}
	data, err := json.Marshal(f.state.Export())
	if err != nil {
		f.Logger.Error(err, "state not encoded", "step", savoryloft.StepPeer)
		return savoryloft.Tail{}
	}
	return savoryloft.Tail{State: string(data)}
}

// Snapshot returns the present state as a snapshot.
func (f *Follower) Snapshot() savoryloft.Snapshot {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Snapshot()
}

// SinceSnapshot returns the number of records since the last snapshot record.
func (f *Follower) SinceSnapshot() int {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Offset - f.snapshot
}

// Verdict returns the verdict on a note.
func (f *Follower) Verdict(noteID string) (savoryloft.AppliedNote, bool) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Verdict(noteID)
}

// Hash returns the hash of the present state and its offset.
func (f *Follower) Hash() (hash string, offset int) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Hash(), f.state.Offset
}

func modelsOf(s *folder.State) []string {
	set := map[string]bool{}
	for _, r := range s.Routes {
		if r.Model != "" {
			set[r.Model] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}
