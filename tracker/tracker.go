// Package tracker records at which version of the upstreams' software each stream
// began. What two versions write does not fit together, so a stream may only be resumed
// at the version that sent its first event, at whichever instance its client takes it up.
//
// The version is that of the run that began the stream. It cannot be derived later from
// the ID of an upstream, which may have come back with another version by then.
//
// Each instance tells its peers where its streams begin, so that they outlive it.
//
// While all upstreams of a service have one version, a policy in the platform's log says
// so. New streams then begin at this version only, and the log holds no streams. Before
// streams begin at a second version, the policy is withdrawn. From then on one instance
// keeps the recent streams of all in the log, in a few records that it overwrites in turn,
// for the case that all instances are lost at once. An instance without peers keeps its
// own there, also under a policy. The policy returns when the other versions have been
// gone for longer than clients wait.
//
// An instance that does not know a stream asks its peers and reads the log. It takes the
// stream for one of the only version if the log and the registry, both read after the
// client has come, show that there is no other. A policy in memory is not enough: the
// instance may have been suspended or cut off when it was withdrawn.
//
// A stream whose origin is not known cannot be resumed.
//
// # Usage
//
//	t := &tracker.Tracker{Log: log, Services: services, Upstreams: watcher.Upstreams, ...}
//	go t.Run(ctx)
//	t.Begin(tracker.Key(account, attempt), tracker.Origin{Service: "assistants", Version: "v1"}, false)
//	origin, err := t.Find(ctx, tracker.Key(account, resumes), "assistants")
package tracker

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"savoryloft.example/savoryloft"
)

const (
	retention      = 32 * time.Second        // Clients give up long before: routes time out after at most some 12 s.
	sendDelay      = 10 * time.Millisecond   // Coalesces streams that begin into one frame.
	writeInterval  = 50 * time.Millisecond   // Between writes to the log; bounds the streams that are lost with all instances.
	retryInterval  = 500 * time.Millisecond  // After a failed call.
	observeEvery   = 100 * time.Millisecond  // Between looks at the registry.
	findTimeout    = 1500 * time.Millisecond // For an answer of a peer, or for a read of the registry that began after the request: at most two polls and a status later.
	findInterval   = 10 * time.Millisecond   // Between looks for an answer.
	askTimeout     = 150 * time.Millisecond  // For an answer of a peer, before the log is read.
	reloadInterval = 250 * time.Millisecond  // Between reads of the log by an instance that finds no origin.
	maxStreams     = 50_000                  // Kept at once; the rest is refused when its clients take it up.
	keyBytes       = 12
)

// ErrUnknown is returned by Find.
const ErrUnknown = errors.ConstError("the software version at which the stream began is not known")

// Origin is where a stream began.
type Origin struct {
	Service string
	Version string // Empty if it is not known.
}

// Tracker keeps the origins of streams. Set the exported fields before the first call.
type Tracker struct {
	Instance  string
	Log       savoryloft.RecordLog
	Services  func() []string // Services in force.
	Upstreams func(service string) []savoryloft.RegisteredUpstream
	// RegistryAge returns the age of this instance's copy of the registry.
	RegistryAge func() (age time.Duration, ok bool)
	Era         func() int // Latest known era of the log.
	// IsWriter reports whether this instance writes to the log for all.
	IsWriter func() bool
	// Isolated reports whether no peer that keeps origins can be reached.
	Isolated func() bool
	// Send tells the peers that keep the origins of all streams, as does SendBegun for
	// streams that the log need not hold. Broadcast tells all peers but one.
	Send      func(o savoryloft.StreamOrigins)
	SendBegun func(begun []savoryloft.OriginBatch)
	Broadcast func(o savoryloft.StreamOrigins, except string)
	// Reply tells one peer.
	Reply func(peer string, o savoryloft.StreamOrigins)
	// Now returns the wall clock time of the deployment.
	Now func() time.Time
	// NewDeployment is whether no instance has ever served requests before.
	NewDeployment bool
	Logger        logr.Logger
	Metrics       metrics.Registry

	reading sync.Mutex // Held while the log is read.

	mu          sync.Mutex
	startedAt   time.Duration // Uptime of the first call.
	streams     map[string]*stream
	services    map[string]*serviceState
	outbox      []string       // Keys of own streams that were not sent to peers yet.
	changed     chan struct{}  // Receives when outbox or dirty have got entries.
	dirty       map[int64]bool // Seconds of which the log lacks streams.
	loaded      bool           // The log has been read.
	foundEmpty  bool           // The log held nothing when it was read first.
	loadAt      time.Duration  // Uptime from which the log may be read again.
	confirmedAt time.Duration  // Uptime at which the last read of the policies in the log began that succeeded.
	once        sync.Once
}

// stream is a stream that has begun.
type stream struct {
	Origin
	own     bool          // It began at this instance.
	queued  bool          // It was put into the outbox.
	logged  bool          // The log has to hold it.
	at      time.Duration // Uptime at which it became known.
	second  int64         // Unix time at which it became known.
	written bool          // The log is known to hold it.
}

// serviceState is what is known of the upstreams of a service.
type serviceState struct {
	policy     savoryloft.VersionPolicy
	seen       map[string]time.Duration // Uptimes at which upstreams with a version were last registered.
	registered map[string]int           // Present upstreams that are not draining, by version.
	surcharges map[string]float64
	drainedAt  map[string]time.Duration // Uptimes at which upstreams with a version were last draining.
}

func (t *Tracker) init() {
	t.once.Do(func() {
		t.startedAt = savoryloft.Uptime()
		t.streams, t.services, t.dirty = map[string]*stream{}, map[string]*serviceState{}, map[int64]bool{}
		t.changed = make(chan struct{}, 1)
	})
}

// Key returns the key of the stream that an attempt of a client of an account has begun.
// It names the account, so that no client can change the origin of another one's stream.
func Key(account, attempt string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(account), account, attempt))
	return base64.RawURLEncoding.EncodeToString(sum[:keyBytes])
}

// Begin records where a stream has begun. If the version is not known, the stream
// cannot be resumed. If several services may have begun it, the policy does not tell its
// origin, and the log has to hold it in any case.
func (t *Tracker) Begin(key string, o Origin, severalServices bool) {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.add(key, o)
	s.own = true
	s.logged = s.logged || severalServices || t.beyondPolicy(s)
	t.queue(key, s)
}

// beyondPolicy reports whether the policy does not tell where a stream began. The caller
// holds the lock.
func (t *Tracker) beyondPolicy(s *stream) bool {
	return s.Version == "" || t.validPolicy(s.Service) != s.Version
}

// add records a stream, and returns its record. Of a stream that is said to have begun
// at several versions none is known. The caller holds the lock.
func (t *Tracker) add(key string, o Origin) *stream {
	s := t.streams[key]
	switch {
	case s == nil && len(t.streams) >= maxStreams:
		return &stream{Origin: o}
	case s == nil:
		s = &stream{Origin: o, at: savoryloft.Uptime(), second: t.Now().Unix()}
		t.streams[key] = s
	case s.Origin != o && s.Version != "":
		s.Origin = Origin{Service: s.Service}
		s.written, s.queued, s.logged = false, false, true
	}
	return s
}

// queue makes a stream that began at this instance known to the peers, and to the log if
// that has to hold it. The caller holds the lock.
func (t *Tracker) queue(key string, s *stream) {
	if !s.queued {
		s.queued = true
		t.outbox = append(t.outbox, key)
	}
	t.markDirty(s)
}

// markDirty makes a stream known to the log if that has to hold it and this instance
// writes to it. The caller holds the lock.
func (t *Tracker) markDirty(s *stream) {
	if s.logged && !s.written {
		t.dirty[s.second] = true
	}
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Find returns where a stream began that a client takes up. It returns ErrUnknown if that
// is not known, after it has asked the peers and the log. service is the only one that may
// have begun it, or "".
func (t *Tracker) Find(ctx context.Context, key, service string) (Origin, error) {
	t.init()
	asked := savoryloft.Uptime()
	sent := false
	for ctx.Err() == nil {
		o, known, sole := t.lookUp(key, service, asked)
		switch {
		case known && o.Version == "":
			t.count("ambiguous")
			return Origin{}, ErrUnknown
		case known:
			t.count("recorded")
			return o, nil
		case sole:
			t.count("sole")
			return o, nil
		}
		waited := savoryloft.Uptime() - asked
		if waited >= findTimeout {
			break
		}
		if !sent {
			sent = true
			t.Send(savoryloft.StreamOrigins{Wanted: []string{key}})
		}
		if waited >= askTimeout {
			t.reload(ctx, asked, findTimeout-waited)
		}
		savoryloft.Sleep(ctx, findInterval)
	}
	t.count("unknown")
	return Origin{}, ErrUnknown
}

// lookUp returns the origin of a stream if it is known, or if the policy in the log and the
// registry show that streams have begun at one version only until an uptime.
func (t *Tracker) lookUp(key, service string, until time.Duration) (o Origin, known, sole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.streams[key]; s != nil {
		return s.Origin, true, false
	}
	version := t.validPolicy(service)
	if version == "" {
		return Origin{}, false, false
	}
	t.observe(service)
	age, ok := t.RegistryAge()
	now := savoryloft.Uptime()
	if !ok || now-age < until || t.confirmedAt < until || !t.onlySeen(service, version, now) {
		return Origin{}, false, false
	}
	return Origin{Service: service, Version: version}, false, true
}

func (t *Tracker) count(result string) {
	metrics.GetOrRegisterCounter("resumed_streams_total."+result, t.Metrics).Inc(1)
}

// validPolicy returns the only version at which streams of a service begin, or "" if
// there may be several. A policy from before a restore of the log may have been
// withdrawn since. The caller holds the lock.
func (t *Tracker) validPolicy(service string) string {
	s := t.services[service]
	if s == nil || s.policy.Era != t.Era() {
		return ""
	}
	return s.policy.Version
}

// SoleVersion returns the only version at which new streams of a service may begin while
// an upstream with it is eligible, or "" if there is no such restriction.
func (t *Tracker) SoleVersion(service string) string {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.validPolicy(service)
}

// state returns the state of a service. The caller holds the lock.
func (t *Tracker) state(service string) *serviceState {
	s := t.services[service]
	if s == nil {
		s = &serviceState{seen: map[string]time.Duration{}, drainedAt: map[string]time.Duration{}}
		t.services[service] = s
	}
	return s
}

// onlySeen reports whether upstreams with one version only have been registered within
// retention. The caller holds the lock.
func (t *Tracker) onlySeen(service, version string, now time.Duration) bool {
	for v, at := range t.state(service).seen {
		if v != version && now-at < retention {
			return false
		}
	}
	return true
}
