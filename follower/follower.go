// Package follower keeps an instance's configuration up to date. It reads the
// control stream from the log, applies its records and publishes each new
// configuration through an atomic pointer. It also applies records that peers
// forward, so that the configuration stays up to date while the log is
// unreachable.
//
// # Usage
//
//	f := &follower.Follower{Log: client, Logger: log}
//	go f.Run(ctx)
//	config := f.Config() // Nil before the first state is available.
//
// The offset never decreases: records at or below the last applied offset are
// ignored, whether they come from the log or from a peer.
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
	readLimit               = 512
	readWait                = time.Second
	minBackoff              = 100 * time.Millisecond
	maxBackoff              = time.Second
	maxRecentRecords        = 4096 // Records buffered for peers that lag behind.
	maxPendingConfirmations = 64   // Confirmations of offsets that are not applied yet.
	probeInterval           = 500 * time.Millisecond
	probeAge                = time.Second // Probes are sent once the last confirmation is this old.
	maxProbes               = 8           // Concurrent probes.
)

// View is an immutable copy of the control stream's state at an offset.
type View struct {
	Config  *Config
	Offset  int
	Lease   savoryloft.LeaseState
	Intents map[string]savoryloft.OrderIntent
	Closed  *savoryloft.WindowClose
	Unsent  []savoryloft.WindowClose
}

// confirmation is an observation that the last record of the log had this offset
// at a time, given as the time since Follower.start.
type confirmation struct {
	offset int
	at     time.Duration
}

// Observer is called with each applied record and the view after it. The record is
// nil if it could not be parsed or if the view comes from a snapshot or from a
// peer's state. An Observer must not block.
type Observer func(offset int, record *savoryloft.Record, view *View)

// Follower reads and applies the control stream. Set the exported fields before
// Run.
type Follower struct {
	Log       savoryloft.Log
	Logger    logr.Logger
	Observers []Observer

	view      atomic.Pointer[View]
	confirmed atomic.Int64 // Time of the latest confirmation, in nanoseconds since start.
	start     time.Time
	once      sync.Once

	mu                   sync.Mutex
	state                *folder.State
	synced               bool // The end of the log has been reached once.
	recent               []savoryloft.PeerRecord
	pendingConfirmations []confirmation      // Confirmations whose offset is not applied yet.
	lastSnapshotOffset   int                 // Offset of the last snapshot record applied.
	publishWaiters       map[string]chan int // Receive the offsets of published records, by record ID.
}

// Config returns the current configuration, or nil before the first one is
// available.
func (f *Follower) Config() *Config {
	v := f.view.Load()
	if v == nil {
		return nil
	}
	return v.Config
}

// View returns the state after the last applied record, or nil before the first
// one is available.
func (f *Follower) View() *View { return f.view.Load() }

// Offset returns the offset of the last applied record, or -1 before the first
// one.
func (f *Follower) Offset() int {
	v := f.view.Load()
	if v == nil {
		return -1
	}
	return v.Offset
}

// SinceConfirmed returns the time since the applied records were last confirmed to
// include the last record of the log. It exceeds 24 h before the first
// confirmation.
func (f *Follower) SinceConfirmed() time.Duration {
	f.init()
	return time.Since(f.start) - time.Duration(f.confirmed.Load())
}

// Confirm records that the last record of the log had the given offset at a time
// that was ago before the call. It takes effect once that offset has been applied.
func (f *Follower) Confirm(offset int, ago time.Duration) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	c := confirmation{offset: offset, at: time.Since(f.start) - ago}
	if offset <= f.state.Offset {
		f.recordConfirmation(c)
		return
	}
	f.pendingConfirmations = append(f.pendingConfirmations, c)
	if len(f.pendingConfirmations) > maxPendingConfirmations {
		f.pendingConfirmations = slices.Clone(f.pendingConfirmations[1:])
	}
}

// recordPendingConfirmations records the pending confirmations whose offset has
// been applied. The caller holds f.mu.
func (f *Follower) recordPendingConfirmations() {
	left := f.pendingConfirmations[:0]
	for _, c := range f.pendingConfirmations {
		if c.offset <= f.state.Offset {
			f.recordConfirmation(c)
			continue
		}
		left = append(left, c)
	}
	f.pendingConfirmations = left
}

func (f *Follower) recordConfirmation(c confirmation) {
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

// Run reads and applies the control stream until ctx is done. It returns nil.
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	var probes sync.WaitGroup
	probes.Go(func() { f.probeLogEnd(ctx) })
	defer probes.Wait()
	backoff := minBackoff
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if err == nil {
			backoff = minBackoff
			continue
		}
		f.Logger.V(1).Info("cannot read control stream; retrying", "step", savoryloft.StepFollow, "error", err.Error())
		savoryloft.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// readOnce reads records from the log once and applies them.
func (f *Follower) readOnce(ctx context.Context) error {
	f.mu.Lock()
	next, wait := f.state.Offset+1, readWait
	if !f.synced {
		wait = 0
	}
	f.mu.Unlock()
	sentAt := time.Now()
	res, err := f.Log.Read(ctx, savoryloft.StreamControl, next, readLimit, wait)
	if errors.Is(err, savoryloft.ErrExpired) {
		return f.restoreFromSnapshot(ctx)
	}
	if err != nil {
		return errors.Trace(err)
	}
	for _, r := range res.Records {
		f.applyRecord(r.Offset, []byte(r.Data))
	}
	if f.Offset()+1 >= res.Next {
		f.markSynced()
		f.Confirm(res.Next-1, time.Since(confirmedAt(sentAt, wait, len(res.Records))))
	}
	return nil
}

// probeLogEnd requests the offset of the last record of the log while the latest
// confirmation is older than probeAge. Probes are sent concurrently, because the
// reads of a slow log alone would confirm the state too rarely.
func (f *Follower) probeLogEnd(ctx context.Context) {
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
			sentAt := time.Now()
			if res, err := f.Log.Read(ctx, savoryloft.StreamControl, 0, 0, 0); err == nil {
				f.Confirm(res.Next-1, time.Since(sentAt))
			}
			<-slots
		})
	}
}

// confirmedAt returns the latest time at which the log is certain to have had the
// end that a read returned. This is normally the time at which the read was sent.
// A read that returned no record after its full wait confirms the end of the log
// up to the end of the wait. If that were not counted, the state would appear
// outdated while the log is slow.
func confirmedAt(sentAt time.Time, wait time.Duration, records int) time.Time {
	if end := sentAt.Add(wait); records == 0 && !end.After(time.Now()) {
		return end
	}
	return sentAt
}

func (f *Follower) applyRecord(offset int, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset != f.state.Offset+1 {
		return
	}
	record := f.state.Apply(offset, data)
	f.bufferRecord(offset, data)
	if record != nil && record.Snapshot != nil {
		f.lastSnapshotOffset = offset
	}
	configChanged := record != nil && record.Note != nil
	view := f.updateView(configChanged)
	f.recordPendingConfirmations()
	f.notifyPublisher(offset, record)
	for _, o := range f.Observers {
		o(offset, record, view)
	}
}

// updateView publishes the current state. It compiles the configuration only if it
// has changed or there is none yet. The caller holds f.mu.
func (f *Follower) updateView(configChanged bool) *View {
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
		v.Config = compileConfig(f.state, oldConfig)
	}
	f.view.Store(v)
	if v.Config != oldConfig {
		cancelWithdrawnKeys(oldConfig, v.Config)
	}
	return v
}

func (f *Follower) bufferRecord(offset int, data []byte) {
	f.recent = append(f.recent, savoryloft.PeerRecord{Offset: offset, Data: string(data)})
	if len(f.recent) > maxRecentRecords {
		f.recent = slices.Clone(f.recent[maxRecentRecords/4:])
	}
}

func (f *Follower) markSynced() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.synced = true
	if f.view.Load() == nil {
		f.updateView(true)
	}
}

// restoreFromSnapshot replaces the state with the earliest valid snapshot in the
// log that is ahead of it.
func (f *Follower) restoreFromSnapshot(ctx context.Context) error {
	res, err := f.Log.Read(ctx, savoryloft.StreamControl, 0, 0, 0)
	if err != nil && !errors.Is(err, savoryloft.ErrExpired) {
		return errors.Trace(err)
	}
	from := res.Earliest
	for {
		res, err = f.Log.Read(ctx, savoryloft.StreamControl, from, readLimit, 0)
		if err != nil {
			return errors.Annotate(err, "search for a snapshot")
		}
		if len(res.Records) == 0 {
			return errors.Errorf("log contains no usable snapshot at or after offset %d", from)
		}
		for _, r := range res.Records {
			if f.applySnapshot(r) {
				return nil
			}
		}
		from = res.Records[len(res.Records)-1].Offset + 1
	}
}

// applySnapshot replaces the state with the snapshot in r. It returns false if r
// contains no valid snapshot or one that is not ahead of the state.
func (f *Follower) applySnapshot(r savoryloft.LogRecord) bool {
	record, err := parser.Record([]byte(r.Data))
	if err != nil || record.Snapshot == nil {
		return false
	}
	state, err := folder.Restore(*record.Snapshot)
	if err != nil {
		f.Logger.Error(err, "skipping invalid snapshot", "step", savoryloft.StepFollow, "offset", r.Offset)
		return false
	}
	return f.replaceState(state)
}

// replaceState replaces the state if the given one is ahead of it, and reports
// whether it did so.
func (f *Follower) replaceState(state *folder.State) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state.Offset <= f.state.Offset {
		return false
	}
	f.state = state
	f.recent = nil
	view := f.updateView(true)
	f.recordPendingConfirmations()
	for _, o := range f.Observers {
		o(state.Offset, nil, view)
	}
	return true
}

// ApplyTail applies records or a state from a peer and returns the last applied
// offset. It returns an error if the state cannot be decoded.
func (f *Follower) ApplyTail(t savoryloft.Tail) (int, error) {
	f.init()
	if t.State != "" {
		var c savoryloft.ControlState
		if err := json.Unmarshal([]byte(t.State), &c); err != nil {
			return f.Offset(), errors.Annotate(err, "decode control state from peer")
		}
		f.replaceState(folder.Import(c))
	}
	for _, r := range t.Records {
		f.applyRecord(r.Offset, []byte(r.Data))
	}
	return f.Offset(), nil
}

// Tail returns buffered records starting at an offset, at most readLimit of them,
// or the whole state if the record at that offset is no longer buffered.
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
		f.Logger.Error(err, "cannot encode control state for peer", "step", savoryloft.StepPeer)
		return savoryloft.Tail{}
	}
	return savoryloft.Tail{State: string(data)}
}

// Snapshot returns a snapshot of the current state.
func (f *Follower) Snapshot() savoryloft.Snapshot {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Snapshot()
}

// RecordsSinceSnapshot returns the number of records since the last snapshot record.
func (f *Follower) RecordsSinceSnapshot() int {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Offset - f.lastSnapshotOffset
}

// Verdict returns the verdict on a note.
func (f *Follower) Verdict(noteID string) (savoryloft.AppliedNote, bool) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Verdict(noteID)
}

// Hash returns the hash of the current state and its offset.
func (f *Follower) Hash() (hash string, offset int) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Hash(), f.state.Offset
}

// routedModels returns the sorted names of the models in routes.
func routedModels(s *folder.State) []string {
	set := map[string]bool{}
	for _, r := range s.Routes {
		if r.Model != "" {
			set[r.Model] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}
