package tracker

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
)

const (
	policyPrefix = "policy/"  // Of the keys of policies, before the service.
	streamPrefix = "streams/" // Of the keys of streams, before the ring and a second's place in it.
	ringSeconds  = int64(retention/time.Second) + 1
	// ringCount is the number of rings. Instances that have lost each other write at the
	// same time, usually to different ones.
	ringCount = 4
	// maxRegistryAge is the age of the registry up to which streams may be restricted to
	// one version.
	maxRegistryAge = 1500 * time.Millisecond
)

// Run reads the log, sends the streams that begin at this instance to its peers, and
// writes to the log while this instance is the writer, until ctx ends. It always returns
// nil.
func (t *Tracker) Run(ctx context.Context) error {
	t.init()
	tick := time.NewTicker(observeEvery)
	defer tick.Stop()
	var writeAt, loadAt time.Duration // Uptimes of the next calls.
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			t.prune()
			t.logIfIsolated()
		case <-t.changed:
			savoryloft.Sleep(ctx, sendDelay)
		}
		t.flush()
		now := savoryloft.Uptime()
		if now >= loadAt && !t.isLoaded() {
			if err := t.load(ctx); err != nil {
				t.Logger.V(1).Info("reading the origins of streams failed, retrying", "step", savoryloft.StepFollow, "error", err.Error())
				loadAt = now + retryInterval
			}
		}
		if now < writeAt || !t.IsWriter() {
			continue
		}
		writeAt = now + writeInterval
		if err := t.write(ctx); err != nil {
			t.Logger.V(1).Info("writing the origins of streams failed, retrying", "step", savoryloft.StepFollow, "error", err.Error())
			writeAt = now + retryInterval
		}
	}
	return nil
}

func (t *Tracker) isLoaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded
}

// prune forgets streams that no client can take up any more, and looks at the registry.
func (t *Tracker) prune() {
	services := t.Services()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, service := range services {
		t.observe(service)
	}
	now := savoryloft.Uptime()
	for key, s := range t.streams {
		if now-s.at > retention {
			delete(t.streams, key)
		}
	}
	oldest := t.Now().Unix() - ringSeconds
	maps.DeleteFunc(t.dirty, func(second int64, _ bool) bool { return second <= oldest })
}

// logIfIsolated makes the log hold the streams that began at this instance while no peer
// can be told.
func (t *Tracker) logIfIsolated() {
	if !t.Isolated() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.streams {
		if s.own && !s.logged {
			s.logged = true
			t.markDirty(s)
		}
	}
}

// flush sends the streams in the outbox to the peers.
func (t *Tracker) flush() {
	t.mu.Lock()
	batches, begun := t.batches(t.outbox)
	t.outbox = nil
	t.mu.Unlock()
	if len(batches) > 0 {
		t.Send(savoryloft.StreamOrigins{Batches: batches})
	}
	if len(begun) > 0 {
		t.SendBegun(begun)
	}
}

// batches groups the streams that are still kept by their origin: those that the log has
// to hold, and the others. The caller holds the lock.
func (t *Tracker) batches(keys []string) (logged, begun []savoryloft.OriginBatch) {
	index := map[bool]map[Origin]int{true: {}, false: {}}
	for _, key := range keys {
		s := t.streams[key]
		if s == nil {
			continue
		}
		list := &begun
		if s.logged {
			list = &logged
		}
		i, ok := index[s.logged][s.Origin]
		if !ok {
			i = len(*list)
			index[s.logged][s.Origin] = i
			*list = append(*list, savoryloft.OriginBatch{Service: s.Service, Version: s.Version})
		}
		(*list)[i].Streams = append((*list)[i].Streams, key)
	}
	return logged, begun
}

// Merge takes over what a peer has sent.
func (t *Tracker) Merge(peer string, o savoryloft.StreamOrigins) {
	t.init()
	t.mu.Lock()
	t.mergeBatches(o.Batches, false)
	news := t.mergePolicies(o.Policies)
	logged, begun := t.batches(o.Wanted)
	reply := append(logged, begun...)
	t.mu.Unlock()
	if len(news) > 0 {
		t.Broadcast(savoryloft.StreamOrigins{Policies: news}, peer)
	}
	if len(reply) > 0 {
		t.Reply(peer, savoryloft.StreamOrigins{Batches: reply})
	}
}

// MergeBegun takes over streams from a peer that the log need not hold, as far as the peer
// knows.
func (t *Tracker) MergeBegun(begun []savoryloft.OriginBatch) {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range begun {
		for _, key := range b.Streams {
			s := t.add(key, Origin{b.Service, b.Version})
			s.logged = s.logged || t.beyondPolicy(s)
			t.markDirty(s)
		}
	}
}

// mergeBatches takes over streams that the log has to hold. fromLog is whether it does.
// The caller holds the lock.
func (t *Tracker) mergeBatches(list []savoryloft.OriginBatch, fromLog bool) {
	for _, b := range list {
		for _, key := range b.Streams {
			s := t.add(key, Origin{b.Service, b.Version})
			s.logged, s.written = true, s.written || fromLog
			t.markDirty(s)
		}
	}
}

// mergePolicies takes over the policies that are newer than the known ones, and returns
// these. The caller holds the lock.
func (t *Tracker) mergePolicies(list []savoryloft.VersionPolicy) (news []savoryloft.VersionPolicy) {
	for _, p := range list {
		s := t.state(p.Service)
		if !replaces(p, s.policy) {
			continue
		}
		s.policy = p
		news = append(news, p)
		t.Logger.Info("version policy changed", "step", savoryloft.StepFollow, "service", p.Service, "sole_version", p.Version, "revision", p.Revision, "era", p.Era)
		t.logRecent(p)
	}
	return news
}

// replaces reports whether a policy replaces another one. Of two with the same revision,
// by two writers, the one that claims less is valid.
func replaces(p, old savoryloft.VersionPolicy) bool {
	if p.Era != old.Era {
		return p.Era > old.Era
	}
	return p.Revision > old.Revision || p.Revision == old.Revision && p.Version == "" && old.Version != ""
}

// logRecent makes the log hold the streams that an earlier policy spared that. Those that
// began at this instance are sent to the peers again: the ones of an earlier build have
// passed over them. The caller holds the lock.
func (t *Tracker) logRecent(p savoryloft.VersionPolicy) {
	for key, s := range t.streams {
		if s.Service != p.Service || s.Version == p.Version || s.logged {
			continue
		}
		s.logged = true
		if s.own {
			s.queued = false
			t.queue(key, s)
		}
		t.markDirty(s)
	}
}

// Known returns the policies and the streams, for a peer whose link comes up. The log need
// not hold those in begun.
func (t *Tracker) Known() (o savoryloft.StreamOrigins, begun []savoryloft.OriginBatch) {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		if s.policy.Revision > 0 {
			o.Policies = append(o.Policies, s.policy)
		}
	}
	o.Batches, begun = t.batches(slices.Collect(maps.Keys(t.streams)))
	return o, begun
}

// storedOrigins is the value of a record in the log.
type storedOrigins struct {
	savoryloft.StreamOrigins
	Second int64 `json:",omitempty"` // Unix time at which the streams became known; 0 in records of earlier builds.
}

// maxClockError is the difference between the clocks of the writer and the reader of a
// record up to which it is taken over.
const maxClockError = 30 * time.Second

// isStale reports whether the record is left from a writer that has stopped to write: no
// client can take up its streams any more.
func (o storedOrigins) isStale(now time.Time) bool {
	return o.Second != 0 && now.Sub(time.Unix(o.Second, 0)).Abs() > retention+maxClockError
}

// load reads what the log holds.
func (t *Tracker) load(ctx context.Context) error {
	sent := savoryloft.Uptime()
	page, err := t.Log.Newest(ctx, savoryloft.TopicOrigins)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range page.Records {
		var o storedOrigins
		if err := json.Unmarshal(r.Value, &o); err != nil {
			t.Logger.Info("skipped malformed origins of streams", "step", savoryloft.StepFollow, "key", r.Key, "error", err.Error())
			continue
		}
		if !o.isStale(t.Now()) {
			t.mergeBatches(o.Batches, true)
		}
		_ = t.mergePolicies(o.Policies) // Peers read the log themselves.
	}
	if !t.loaded {
		t.loaded, t.foundEmpty = true, len(page.Records) == 0
	}
	if page.Era == 0 || page.Era == t.Era() {
		t.confirmedAt = max(t.confirmedAt, sent)
	}
	return nil
}

// reload reads the log for a stream that no peer knows, unless it has been read since the
// stream was asked for, or is being read.
func (t *Tracker) reload(ctx context.Context, asked, timeout time.Duration) {
	if !t.reading.TryLock() {
		return
	}
	defer t.reading.Unlock()
	now := savoryloft.Uptime()
	t.mu.Lock()
	due := t.confirmedAt < asked && now >= t.loadAt
	if due {
		t.loadAt = now + reloadInterval
	}
	t.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := t.load(ctx); err != nil {
		t.Logger.V(1).Info("reading the origins of streams failed", "step", savoryloft.StepFollow, "error", err.Error())
	}
}

// write writes to the log what it lacks: policies, and streams that began under none.
func (t *Tracker) write(ctx context.Context) error {
	if !t.isLoaded() {
		return nil
	}
	for _, p := range t.duePolicies() {
		era, err := t.put(ctx, policyPrefix+p.Service, storedOrigins{StreamOrigins: savoryloft.StreamOrigins{Policies: []savoryloft.VersionPolicy{p}}})
		if err != nil {
			return err
		}
		if era != 0 && era != p.Era {
			return errors.Errorf("log is in era %d, want %d", era, p.Era)
		}
		t.mu.Lock()
		news := t.mergePolicies([]savoryloft.VersionPolicy{p})
		t.mu.Unlock()
		t.Broadcast(savoryloft.StreamOrigins{Policies: news}, "")
	}
	for _, second := range t.dirtySeconds() {
		if err := t.writeSecond(ctx, second); err != nil {
			return err
		}
	}
	return nil
}

func (t *Tracker) dirtySeconds() []int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.dirty))
}

// writeSecond writes the streams that became known in a second.
func (t *Tracker) writeSecond(ctx context.Context, second int64) error {
	t.mu.Lock()
	delete(t.dirty, second)
	var keys []string
	complete := true
	for key, s := range t.streams {
		if s.second != second || !s.logged {
			continue
		}
		keys = append(keys, key)
		complete = complete && s.written
	}
	batches, _ := t.batches(keys)
	t.mu.Unlock()
	if complete {
		return nil
	}
	record := storedOrigins{savoryloft.StreamOrigins{Batches: batches}, second}
	if _, err := t.put(ctx, t.streamKey(second), record); err != nil {
		t.mu.Lock()
		t.dirty[second] = true
		t.mu.Unlock()
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys {
		if s := t.streams[key]; s != nil {
			s.written = true
		}
	}
	return nil
}

// streamKey returns the key of the record of a second in this instance's ring.
func (t *Tracker) streamKey(second int64) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.Instance))
	return fmt.Sprintf("%s%d/%d", streamPrefix, h.Sum32()%ringCount, second%ringSeconds)
}

func (t *Tracker) put(ctx context.Context, key string, o storedOrigins) (era int, err error) {
	value, err := json.Marshal(o)
	if err != nil {
		return 0, errors.Annotate(err, "encode origins of streams")
	}
	return t.Log.Put(ctx, savoryloft.TopicOrigins, key, value)
}

// duePolicies returns the policies that have to change.
func (t *Tracker) duePolicies() (list []savoryloft.VersionPolicy) {
	services := t.Services()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, service := range services {
		t.observe(service)
		s := t.state(service)
		want, ok := t.duePolicy(service)
		if !ok {
			continue
		}
		list = append(list, savoryloft.VersionPolicy{Service: service, Version: want, Revision: s.policy.Revision + 1, Era: t.Era()})
	}
	return list
}

// duePolicy returns the only version at which streams of a service should begin, and
// whether that differs from the policy. The caller holds the lock.
func (t *Tracker) duePolicy(service string) (version string, changed bool) {
	seen := slices.Collect(maps.Keys(t.state(service).seen))
	if current := t.validPolicy(service); current != "" {
		return "", slices.ContainsFunc(seen, func(v string) bool { return v != current })
	}
	if len(seen) != 1 || !t.canRestrict(service, seen[0]) {
		return "", false
	}
	return seen[0], true
}

// canRestrict reports whether no stream that its client may still take up can have begun
// at another version. The caller holds the lock.
func (t *Tracker) canRestrict(service, version string) bool {
	if version == "" {
		return false // Not registered, so it may be several.
	}
	isNew := t.NewDeployment && t.foundEmpty && t.state(service).policy.Revision == 0
	if !isNew && savoryloft.Uptime()-t.startedAt < retention {
		return false
	}
	if age, ok := t.RegistryAge(); !ok || age > maxRegistryAge {
		return false
	}
	for _, s := range t.streams {
		if s.Service == service && s.Version != version {
			return false
		}
	}
	return true
}
