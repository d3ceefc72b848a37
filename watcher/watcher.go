// Package watcher follows the configuration and the registry of upstreams in the
// platform's log and tracks when its copy of each was last known to be up to
// date.
//
// Two instances, the readers, read the log and relay the records; the second one
// is a standby that polls less often. The other instances apply relayed records and
// read the log themselves when their copy becomes too old. While their readers
// report that they cannot read the log, the others read it once, since it may refuse the
// readers only, and then probe it from time to time, so that an outage does not multiply the
// calls by the size of the fleet. The age of the configuration determines whether API keys may
// still be accepted: a revoked key must stop working even if this instance, or the peer that
// relays records to it, was partitioned or suspended.
//
// The log may be restored from an older copy, which starts a new era. Records are
// ordered by era and offset. What was known before a restore holds until it is
// written again: the copy is not a newer truth. Reads of the restored log confirm the
// configuration only once the version in force has been seen there and the operator
// has had time to write later ones again.
//
// The operator may evacuate failure domains. Evacuations are records of the
// configuration's topic and are relayed like it, and to every peer whose link comes up.
//
// # Usage
//
//	w := &watcher.Watcher{Log: store, Decoder: platform.Decoder{}, Logger: log,
//		ReaderRank: links.ReaderRank, OnChange: links.BroadcastRecords}
//	go w.Run(ctx)
//	table := w.Table()            // nil before the first configuration.
//	age, ok := w.Age(savoryloft.TopicConfiguration)
//	upstreams := w.Upstreams("assistants")
package watcher

import (
	"context"
	"math/rand/v2"
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
	configurationPollTimeout = 400 * time.Millisecond  // Long poll; bounds the age of the configuration at a reader.
	registryPollTimeout      = 300 * time.Millisecond  // Long poll; with registryReadPause, bounds the age of the registry at a reader.
	registryReadPause        = 300 * time.Millisecond  // Between reads of the registry, to batch heartbeats.
	staleFraction            = 0.6                     // Of a topic's propagation limit; an instance whose copy is older reads the log itself.
	minStaleAge              = 800 * time.Millisecond  // Lower bound of the age at which an instance reads the log itself.
	readerCount              = 2                       // Instances that read the log for the others.
	standbyPollFactor        = 3                       // Long polls of the standby reader, as a multiple of those of the first reader.
	probeInterval            = 5 * time.Second         // Mean time between reads by an instance whose readers cannot read the log.
	firstProbeSpread         = 300 * time.Millisecond  // Time within which all such instances read for the first time.
	readCheckInterval        = 100 * time.Millisecond  // Between checks of whether to read.
	minBackoff               = 100 * time.Millisecond  // After a failed read.
	maxBackoff               = 800 * time.Millisecond  // Limits calls while the log is down, yet detects its recovery soon.
	removalCheckInterval     = 200 * time.Millisecond  // Between checks for entries that are still missing.
	recoveryGrace            = 2 * time.Second         // Upstreams renew entries that expired in an outage within this time of the recovery.
	maxLoggedError           = 500                     // Bytes of an error in a log line.
	outageThreshold          = 1500 * time.Millisecond // A successful read counts as a recovery of the log if reads have not brought the registry up to date for this long.
)

// Watcher maintains a copy of the configuration and the registry. Set the exported
// fields before calling Run.
type Watcher struct {
	Log     savoryloft.RecordLog
	Decoder savoryloft.RecordDecoder
	Logger  logr.Logger
	// PropagationLimits is the time, by topic, within which a change must take
	// effect.
	PropagationLimits [2]time.Duration
	// ReaderRank returns the rank of this instance among those that can read the log
	// for the others, starting at 0. If nil, the rank is 0.
	ReaderRank func() int
	// ReadersFail reports whether the instances that read the log for this one say
	// that they cannot read it. If nil, they never do.
	ReadersFail func() bool
	// RelayPatience is the time after the start that this instance waits for a first
	// copy from a reader before it reads the log itself.
	RelayPatience time.Duration
	// OnChange is called with newly applied records and the peer that relayed them,
	// which is empty if this instance read them from the log. It may be nil.
	OnChange func(records []savoryloft.ControlRecord, from string)
	// OnEvacuation is called with the newest records of all evacuations when one has
	// started or ended, and the peer that relayed it, as for OnChange. It may be nil.
	OnEvacuation func(records []savoryloft.ControlRecord, from string)
	// OnEra is called when this instance learns of a new era of the log. It may be nil.
	OnEra func(era int)

	table     atomic.Pointer[router.Table]
	services  atomic.Pointer[map[string][]savoryloft.RegisteredUpstream]
	evacuated atomic.Pointer[map[string]bool] // The failure domains that are evacuated.

	mu                 sync.Mutex
	era                int                      // Latest era of the log that this instance has received; 0 for none.
	eraSeenAt          time.Duration            // Uptime at which it received that era; 0 if none can have preceded it.
	registryEraEnd     int                      // End of the registry at the first own read in that era; -1 before.
	heardVersion       int                      // Highest version of the configuration that a peer has had.
	logUnreachable     bool                     // Whether the last read of the configuration failed.
	configuration      savoryloft.ControlRecord // Newest applied configuration record.
	entries            map[string]*entry
	upToDateAt         [2]time.Duration       // Latest uptime, by topic, at which the copy was known to be up to date; 0 if never.
	registryChanged    int                    // Highest position of a registry record that changed an entry.
	registryRead       int                    // Position of the latest such record that has been read or received.
	registryListed     int                    // Position up to which this instance has read all of them itself; -1 before.
	registryDigest     int                    // Sum of the digests of the usable entries.
	registryOutageAt   time.Duration          // Uptime of the last sign that the registry cannot be read; 0 once it has been read since, by this instance or a peer.
	registryReadsSince time.Duration          // Uptime at which this instance began to read the registry continuously.
	recoveredAt        time.Duration          // Uptime of the log's last recovery from an outage; 0 if there was none.
	first              chan struct{}          // Closed when the first configuration is in force.
	leaving            map[string]int         // Start times, by ID, of the upstreams that have said that they leave.
	leavingAdded       int                    // Number of additions to leaving.
	leavingOrder       []string               // IDs in leaving, in the order in which they became known.
	evacuations        map[string]*evacuation // By failure domain.
	malformedPositions map[string]int         // Positions of malformed records by key, to log each only once.
	once               sync.Once
}

func (w *Watcher) init() {
	w.once.Do(func() {
		w.entries = map[string]*entry{}
		w.malformedPositions = map[string]int{}
		w.leaving = map[string]int{}
		w.evacuations = map[string]*evacuation{}
		w.first = make(chan struct{})
		w.registryChanged, w.registryRead, w.registryListed, w.registryEraEnd = -1, -1, -1, -1
		w.configuration.Position = -1
	})
}

// Table returns the configuration in force, or nil before the first one.
func (w *Watcher) Table() *router.Table { return w.table.Load() }

// AwaitTable returns the configuration in force. It waits up to d for the first one,
// and returns nil if there is none then.
func (w *Watcher) AwaitTable(ctx context.Context, d time.Duration) *router.Table {
	if t := w.Table(); t != nil {
		return t
	}
	w.init()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-w.first:
	case <-timer.C:
	case <-ctx.Done():
	}
	return w.Table()
}

// Upstreams returns the registered upstreams of a service, sorted by ID. The slice
// must not be modified.
func (w *Watcher) Upstreams(service string) []savoryloft.RegisteredUpstream {
	m := w.services.Load()
	if m == nil {
		return nil
	}
	return (*m)[service]
}

// AllUpstreams returns the registered upstreams of all services.
func (w *Watcher) AllUpstreams() []savoryloft.RegisteredUpstream {
	var all []savoryloft.RegisteredUpstream
	if m := w.services.Load(); m != nil {
		for _, list := range *m {
			all = append(all, list...)
		}
	}
	return all
}

// Age returns the time since the copy of a topic was last known to be up to date.
// ok is false if it never was.
func (w *Watcher) Age(t savoryloft.Topic) (age time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.upToDateAt[t] == 0 {
		return 0, false
	}
	return savoryloft.Uptime() - w.upToDateAt[t], true
}

// MarkUpToDate records that the copy of a topic was up to date at an uptime. Call
// it for a peer's status only if the copies agree.
func (w *Watcher) MarkUpToDate(t savoryloft.Topic, at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upToDateAt[t] = max(w.upToDateAt[t], at)
	if t == savoryloft.TopicRegistry && w.registryOutageAt > 0 && at > w.registryOutageAt {
		w.endOutage()
	}
}

// Version returns the version of the configuration in force, or 0 before the
// first one.
func (w *Watcher) Version() int {
	if t := w.Table(); t != nil {
		return t.Version
	}
	return 0
}

// RegistryDigest returns a number that is equal for instances whose copies of the registry
// name the same upstreams.
func (w *Watcher) RegistryDigest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.registryDigest
}

// RegistryPositions returns the highest position of a registry record that changed
// an entry, and that of the latest record that was read or received. Each is -1 before the
// first record. Earlier records may be missing, so only instances whose peers do not send
// digests compare their copies by position.
func (w *Watcher) RegistryPositions() (changed, read int) {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.registryChanged, w.registryRead
}

// RecordsSince returns the records that an instance may lack that has the given
// configuration version and the registry up to the given position, which is -1 for all of it.
func (w *Watcher) RecordsSince(version, registryRead int) []savoryloft.ControlRecord {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	var records []savoryloft.ControlRecord
	if w.Version() > version {
		records = append(records, w.configuration)
	}
	for key, e := range w.entries {
		if e.position > registryRead {
			records = append(records, savoryloft.ControlRecord{
				Topic: int(savoryloft.TopicRegistry), Key: key, Value: string(e.value), Position: e.position,
			})
		}
	}
	return records
}

// Run reads the log whenever this instance is a reader or its copy is too old,
// until ctx ends. It always returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	w.init()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		w.follow(ctx, savoryloft.TopicConfiguration, configurationPollTimeout, 0)
		return nil
	})
	group.Go(func() error {
		w.follow(ctx, savoryloft.TopicRegistry, registryPollTimeout, registryReadPause)
		return nil
	})
	group.Go(func() error {
		w.removeMissingLoop(ctx)
		return nil
	})
	return group.Wait()
}

// follow reads one topic until ctx ends. When it starts or resumes reading, it
// reads the newest record of each key and then continues page by page.
func (w *Watcher) follow(ctx context.Context, t savoryloft.Topic, pollTimeout, pause time.Duration) {
	next, era := -1, 0 // Offset of the next read, and the era that it belongs to.
	backoff := minBackoff
	unreachable, reading := false, false
	own := ownReads{startedAt: savoryloft.Uptime()}
	for ctx.Err() == nil {
		rank := w.readerRank()
		if rank >= readerCount && !w.mustReadItself(t, &own) {
			next = -1
			if unreachable {
				unreachable = false
				w.forgetReadFailure(t)
			}
			reading = false
			savoryloft.Sleep(ctx, readCheckInterval)
			continue
		}
		if !reading {
			reading = true
			w.handleReadsStart(t)
		}
		timeout := pollTimeout
		if rank > 0 {
			timeout *= standbyPollFactor
		}
		page, err := w.readPage(ctx, t, next, era, timeout)
		switch {
		case err == nil:
			next, era = page.Next, page.Era
			backoff = minBackoff
			own.succeededAt = savoryloft.Uptime()
			if unreachable {
				unreachable = false
				w.Logger.Info("log is reachable again", "step", savoryloft.StepFollow, "topic", t.String(), "next", next)
			}
			savoryloft.Sleep(ctx, pause)
		case errors.Is(err, errEarlierEra):
			next = -1
			savoryloft.Sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		case errors.Is(err, savoryloft.ErrExpired):
			w.Logger.Info("records have expired; reading the newest record of each key", "step", savoryloft.StepFollow, "topic", t.String(), "from", next)
			next = -1
		default:
			if !unreachable && ctx.Err() == nil {
				unreachable = true
				w.handleReadFailure(t)
				w.Logger.Info("log is not reachable", "step", savoryloft.StepFollow, "topic", t.String(), "error", err.Error())
			}
			savoryloft.Sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// LogUnreachable reports whether the last read of the configuration from the log
// failed.
func (w *Watcher) LogUnreachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.logUnreachable
}

func (w *Watcher) readerRank() int {
	if w.ReaderRank == nil {
		return 0
	}
	return w.ReaderRank()
}

// ownReads is the state that decides when an instance that is no reader reads a
// topic. Times are uptimes; 0 for never.
type ownReads struct {
	startedAt   time.Duration
	succeededAt time.Duration // Last successful read.
	probeAt     time.Duration // Next probe while the readers fail; 0 while they do not.
}

// mustReadItself reports whether this instance, which is no reader, has to read a
// topic because its copy is too old.
func (w *Watcher) mustReadItself(t savoryloft.Topic, own *ownReads) bool {
	age, ok := w.Age(t)
	now := savoryloft.Uptime()
	switch {
	case !ok:
		return now-own.startedAt >= w.RelayPatience
	case age <= max(time.Duration(staleFraction*float64(w.PropagationLimits[t])), minStaleAge):
		own.probeAt = 0
		return false
	case w.ReadersFail == nil || !w.ReadersFail():
		return true
	case own.succeededAt > 0 && now-own.succeededAt < 2*probeInterval:
		return true // The log serves this instance, though not its readers.
	case own.probeAt == 0:
		// At once, since the log may refuse only the readers.
		own.probeAt = now + time.Duration(rand.Float64()*float64(firstProbeSpread))
		return false
	case now < own.probeAt:
		return false
	}
	own.probeAt = now + time.Duration((0.5+rand.Float64())*float64(probeInterval))
	return true
}

// readPage reads one page and applies it. If next is negative, it reads the newest
// record of each key; otherwise next is an offset of the given era. Once the end of
// the topic is reached, the copy counts as up to date as of the time before the call
// was sent.
func (w *Watcher) readPage(ctx context.Context, t savoryloft.Topic, next, era int, wait time.Duration) (savoryloft.RecordPage, error) {
	sent := savoryloft.Uptime()
	var page savoryloft.RecordPage
	var err error
	all := next < 0
	if all {
		page, err = w.Log.Newest(ctx, t)
	} else {
		page, err = w.Log.Read(ctx, t, next, wait)
	}
	stale := w.observePage(page)
	switch {
	case err != nil:
		return page, err
	case stale:
		return page, errEarlierEra
	case !all && page.Era != era:
		return page, errors.Annotate(savoryloft.ErrExpired, "the log was restored")
	}
	w.handleReadSuccess(t)
	w.applyPage(t, page, all)
	if (all || page.Next >= page.End) && w.confirms(t, sent) {
		w.MarkUpToDate(t, sent)
	}
	return page, nil
}

// applyPage applies records read from the log. all is whether page holds the
// newest record of every key.
func (w *Watcher) applyPage(t savoryloft.Topic, page savoryloft.RecordPage, all bool) {
	if t == savoryloft.TopicRegistry {
		w.mu.Lock()
		if w.registryEraEnd < 0 {
			w.registryEraEnd = page.End
		}
		w.mu.Unlock()
	}
	records := make([]savoryloft.ControlRecord, 0, len(page.Records))
	for _, r := range page.Records {
		records = append(records, savoryloft.ControlRecord{
			Topic: int(t), Key: r.Key, Value: string(r.Value), Position: savoryloft.Position(page.Era, r.Offset),
		})
	}
	// First, since requests may be sent as soon as the first configuration is in force.
	evacuationsChanged := w.applyEvacuations(records, true)
	if all && t == savoryloft.TopicConfiguration {
		evacuationsChanged = w.endUnlistedEvacuations(page) || evacuationsChanged
	}
	if evacuationsChanged {
		w.notifyEvacuations("")
	}
	var changed []savoryloft.ControlRecord
	for _, r := range records {
		if w.applyRecord(r, true) {
			changed = append(changed, r)
		}
	}
	if t == savoryloft.TopicRegistry {
		if all {
			changed = append(changed, w.removeUnlisted(page)...)
		}
		w.mu.Lock()
		w.registryListed = max(w.registryListed, savoryloft.Position(page.Era, page.Next)-1)
		w.registryRead = max(w.registryRead, w.registryListed)
		w.mu.Unlock()
	}
	if len(changed) > 0 && w.OnChange != nil {
		w.OnChange(changed, "")
	}
}

// ApplyRelayed applies records relayed by the peer from.
func (w *Watcher) ApplyRelayed(from string, records []savoryloft.ControlRecord) {
	w.init()
	if w.applyEvacuations(records, false) {
		w.notifyEvacuations(from)
	}
	var changed []savoryloft.ControlRecord
	for _, r := range records {
		if w.applyRecord(r, false) {
			changed = append(changed, r)
		}
	}
	if len(changed) > 0 && w.OnChange != nil {
		w.OnChange(changed, from)
	}
}

// applyRecord applies one record and reports whether it changed anything. fromLog
// is whether this instance read the record from the log itself.
func (w *Watcher) applyRecord(r savoryloft.ControlRecord, fromLog bool) bool {
	switch savoryloft.Topic(r.Topic) {
	case savoryloft.TopicConfiguration:
		return r.Key == w.Decoder.ConfigurationKey() && r.Value != "" && w.applyConfiguration(r)
	case savoryloft.TopicRegistry:
		return r.Key != "" && w.applyEntry(r, fromLog)
	}
	return false
}

// applyConfiguration puts a configuration into force and reports whether it did. It
// skips malformed records and those whose position or version is not newer than that
// of the configuration in force. If only the position is, the log still has the
// configuration in force.
func (w *Watcher) applyConfiguration(r savoryloft.ControlRecord) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Position <= w.configuration.Position {
		return false
	}
	c, err := w.Decoder.Configuration([]byte(r.Value))
	if err != nil {
		w.logMalformed(r, err)
		return false
	}
	if old := w.table.Load(); old != nil && c.Version <= old.Version {
		if c.Version == old.Version {
			w.configuration = r
		}
		return false
	}
	w.configuration = r
	if w.table.Swap(router.New(c)) == nil {
		close(w.first)
	}
	w.Logger.Info("configuration in force", "step", savoryloft.StepFollow, "version", c.Version, "position", r.Position,
		"routes", len(c.Routes), "accounts", len(c.Accounts))
	return true
}

// logMalformed logs a malformed record: once for each key of the registry and once
// for each position of the configuration. The caller holds the lock.
func (w *Watcher) logMalformed(r savoryloft.ControlRecord, err error) {
	if at, ok := w.malformedPositions[r.Key]; ok && (at == r.Position || savoryloft.Topic(r.Topic) == savoryloft.TopicRegistry) {
		return
	}
	w.malformedPositions[r.Key] = r.Position
	message := err.Error() // May quote the record.
	if len(message) > maxLoggedError {
		message = message[:maxLoggedError] + "..."
	}
	w.Logger.Info("malformed record skipped", "step", savoryloft.StepFollow, "topic", savoryloft.Topic(r.Topic).String(),
		"key", r.Key, "position", r.Position, "error", message)
}
