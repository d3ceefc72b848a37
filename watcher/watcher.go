// Package watcher keeps the newest configuration and the registry of upstreams,
// with the time at which each is known to have been complete.
//
// A few instances read the platform's log and pass on what they read; the
// others take it from them and read for themselves when what they get is too
// old. The age of the configuration decides whether a key may still be
// trusted: a withdrawn key must stop working although this instance, or the
// one that it hears from, was cut off or suspended.
//
// # Usage
//
//	w := &watcher.Watcher{Log: store, Decoder: platform.Decoder{}, Logger: log,
//		Reader: members.IsReader, Changed: links.Send}
//	go w.Run(ctx)
//	table := w.Table()            // nil before the first configuration.
//	age, ok := w.Age(savoryloft.TopicConfiguration)
//	upstreams := w.Upstreams("assistants")
package watcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/router"
)

const (
	configurationWait = 400 * time.Millisecond  // Long poll; bounds the age of the configuration at a reader.
	registryPause     = 300 * time.Millisecond  // Between reads of the registry, to take heartbeats together.
	registryWait      = 300 * time.Millisecond  // Long poll; bounds the age of the registry at a reader, with the pause before it.
	stalePart         = 0.6                     // Part of the time for a change to be in force at which an instance reads for itself.
	leastStale        = 800 * time.Millisecond  // Below it relayed knowledge is always fresh enough.
	idlePause         = 100 * time.Millisecond  // Between checks of whether to read.
	leastBackoff      = 100 * time.Millisecond  // After a failed read.
	mostBackoff       = 800 * time.Millisecond  // Keeps calls few while the log is down and its return noticed soon.
	sweepInterval     = 200 * time.Millisecond  // Between looks for entries that stay missing.
	returnGrace       = 2 * time.Second         // Entries that lapsed in an outage are back within this time after it.
	outageAfter       = 1500 * time.Millisecond // Age of the registry from which a read counts as a return.
)

// Watcher follows the configuration and the registry. Set the exported fields
// before Run.
type Watcher struct {
	Log     savoryloft.RecordLog
	Decoder savoryloft.RecordDecoder
	Logger  logr.Logger
	// InForce is the time within which a change of a topic has to be in force.
	InForce [2]time.Duration
	// Reader tells whether this instance reads the log for others.
	Reader func() bool
	// Changed is called with records that this instance has applied, and the peer
	// that passed them on; empty when it read them from the log itself.
	Changed func(records []savoryloft.ControlRecord, from string)

	table    atomic.Pointer[router.Table]
	services atomic.Pointer[map[string][]savoryloft.RegisteredUpstream]

	mu            sync.Mutex
	logLost       bool                     // The last read of the configuration failed.
	configuration savoryloft.ControlRecord // Newest one that was applied.
	entries       map[string]*entry
	knownAt       [2]time.Duration // Uptime at which a topic is known to have been complete; 0 when never.
	registryTop   int              // Highest offset of a registry record that changed something.
	registryRead  int              // Offset up to which all such records are known.
	registryLost  bool             // A read of the registry failed since the last one that did not.
	returnedAt    time.Duration    // Uptime of the last return of the log; 0 when it was never away.
	malformed     map[string]int   // Offset of a malformed record by key, to log it once.
	once          sync.Once
}

func (w *Watcher) init() {
	w.once.Do(func() {
		w.entries = map[string]*entry{}
		w.malformed = map[string]int{}
		w.registryTop, w.registryRead = -1, -1
		w.configuration.Offset = -1
	})
}

// Table returns the configuration in force, or nil before the first one.
func (w *Watcher) Table() *router.Table { return w.table.Load() }

// Upstreams returns the registered upstreams of a service. The slice must not
// be changed.
func (w *Watcher) Upstreams(service string) []savoryloft.RegisteredUpstream {
	m := w.services.Load()
	if m == nil {
		return nil
	}
	return (*m)[service]
}

// Age returns the time since a topic is known to have been complete here. ok
// is false when that was never known.
func (w *Watcher) Age(t savoryloft.Topic) (age time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.knownAt[t] == 0 {
		return 0, false
	}
	return savoryloft.Uptime() - w.knownAt[t], true
}

// Confirm notes that a topic was known to be complete at an uptime. It is
// called for what a peer confirms, if this instance has all that the peer had.
func (w *Watcher) Confirm(t savoryloft.Topic, at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.knownAt[t] = max(w.knownAt[t], at)
}

// Version returns the version of the configuration in force; 0 before the first.
func (w *Watcher) Version() int {
	if t := w.Table(); t != nil {
		return t.Version
	}
	return 0
}

// RegistryOffsets returns the highest offset of a registry record that changed
// something, and the offset up to which all such records are known here; -1
// before the first.
func (w *Watcher) RegistryOffsets() (changed, read int) {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.registryTop, w.registryRead
}

// RecordsSince returns the records that an instance lacks which has a version
// of the configuration and the registry up to an offset.
func (w *Watcher) RecordsSince(version, registryRead int) []savoryloft.ControlRecord {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	var records []savoryloft.ControlRecord
	if w.Version() > version {
		records = append(records, w.configuration)
	}
	for key, e := range w.entries {
		if e.offset > registryRead {
			records = append(records, savoryloft.ControlRecord{
				Topic: int(savoryloft.TopicRegistry), Key: key, Value: string(e.value), Offset: e.offset,
			})
		}
	}
	return records
}

// Run reads the log while this instance has to, until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.init()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		w.follow(ctx, savoryloft.TopicConfiguration, configurationWait, 0)
		return nil
	})
	group.Go(func() error {
		w.follow(ctx, savoryloft.TopicRegistry, registryWait, registryPause)
		return nil
	})
	group.Go(func() error {
		w.sweep(ctx)
		return nil
	})
	return group.Wait()
}

// follow reads one topic. It starts from the newest records whenever it has
// not read for a while, and goes on from offset to offset then.
func (w *Watcher) follow(ctx context.Context, t savoryloft.Topic, wait, pause time.Duration) {
	next := -1
	backoff := leastBackoff
	lost := false
	for ctx.Err() == nil {
		if !w.mustRead(t) {
			next = -1
			savoryloft.Sleep(ctx, idlePause)
			continue
		}
		page, err := w.readPage(ctx, t, next, wait)
		switch {
		case err == nil:
			next = page.Next
			backoff = leastBackoff
			if lost {
				lost = false
				w.Logger.Info("log is reachable again", "step", savoryloft.StepFollow, "topic", t.String(), "next", next)
			}
			savoryloft.Sleep(ctx, pause)
		case errors.Is(err, savoryloft.ErrExpired):
			w.Logger.Info("history is gone; reading the newest records", "step", savoryloft.StepFollow, "topic", t.String(), "from", next)
			next = -1
		default:
			if !lost && ctx.Err() == nil {
				lost = true
				w.noteFailure(t)
				w.Logger.Info("log is not reachable", "step", savoryloft.StepFollow, "topic", t.String(), "error", err.Error())
			}
			savoryloft.Sleep(ctx, backoff)
			backoff = min(2*backoff, mostBackoff)
		}
	}
}

// LogLost tells whether the last read of the log failed.
func (w *Watcher) LogLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.logLost
}

func (w *Watcher) mustRead(t savoryloft.Topic) bool {
	if w.Reader == nil || w.Reader() {
		return true
	}
	age, ok := w.Age(t)
	return !ok || age > max(time.Duration(stalePart*float64(w.InForce[t])), leastStale)
}

// readPage reads one page and applies it. A topic is known to be complete as
// of the moment before the call was sent.
func (w *Watcher) readPage(ctx context.Context, t savoryloft.Topic, next int, wait time.Duration) (savoryloft.RecordPage, error) {
	sent := savoryloft.Uptime()
	var page savoryloft.RecordPage
	var err error
	all := next < 0
	if all {
		page, err = w.Log.Newest(ctx, t)
	} else {
		page, err = w.Log.Read(ctx, t, next, wait)
	}
	if err != nil {
		return page, err
	}
	w.noteReturn(t)
	w.apply(t, page, all)
	if all || page.Next >= page.End {
		w.Confirm(t, sent)
	}
	return page, nil
}

// apply takes in records that were read from the log. When all is set they
// are all that the topic holds.
func (w *Watcher) apply(t savoryloft.Topic, page savoryloft.RecordPage, all bool) {
	var changed []savoryloft.ControlRecord
	for _, r := range page.Records {
		c := savoryloft.ControlRecord{Topic: int(t), Key: r.Key, Value: string(r.Value), Offset: r.Offset}
		if w.applyOne(c, true) {
			changed = append(changed, c)
		}
	}
	if t == savoryloft.TopicRegistry {
		if all {
			changed = append(changed, w.dropMissing(page)...)
		}
		w.mu.Lock()
		w.registryRead = max(w.registryRead, page.Next-1)
		w.mu.Unlock()
	}
	if len(changed) > 0 && w.Changed != nil {
		w.Changed(changed, "")
	}
}

// Take applies records that a peer has passed on.
func (w *Watcher) Take(from string, records []savoryloft.ControlRecord) {
	w.init()
	var changed []savoryloft.ControlRecord
	for _, r := range records {
		if w.applyOne(r, false) {
			changed = append(changed, r)
		}
	}
	if len(changed) > 0 && w.Changed != nil {
		w.Changed(changed, from)
	}
}

// applyOne applies one record and tells whether it changed anything. own tells
// whether this instance has read it from the log itself.
func (w *Watcher) applyOne(r savoryloft.ControlRecord, own bool) bool {
	switch savoryloft.Topic(r.Topic) {
	case savoryloft.TopicConfiguration:
		return r.Key == w.Decoder.ConfigurationKey() && r.Value != "" && w.applyConfiguration(r)
	case savoryloft.TopicRegistry:
		return r.Key != "" && w.applyEntry(r, own)
	}
	return false
}

func (w *Watcher) applyConfiguration(r savoryloft.ControlRecord) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Offset <= w.configuration.Offset {
		return false
	}
	c, err := w.Decoder.Configuration([]byte(r.Value))
	if err != nil {
		w.logMalformed(r, err)
		return false
	}
	if old := w.table.Load(); old != nil && c.Version <= old.Version {
		return false
	}
	w.configuration = r
	w.table.Store(router.New(c))
	w.Logger.Info("configuration in force", "step", savoryloft.StepFollow, "version", c.Version, "offset", r.Offset,
		"routes", len(c.Routes), "accounts", len(c.Accounts))
	return true
}

// logMalformed logs a record that can not be read once. The caller holds the lock.
func (w *Watcher) logMalformed(r savoryloft.ControlRecord, err error) {
	if at, ok := w.malformed[r.Key]; ok && (at == r.Offset || savoryloft.Topic(r.Topic) == savoryloft.TopicRegistry) {
		return
	}
	w.malformed[r.Key] = r.Offset
	w.Logger.Info("record left out", "step", savoryloft.StepFollow, "topic", savoryloft.Topic(r.Topic).String(),
		"key", r.Key, "offset", r.Offset, "error", err.Error())
}
