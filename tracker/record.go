package tracker

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
)

const (
	policyPrefix = "policy/"  // Of the keys of policies, before the service.
	streamPrefix = "streams/" // Of the keys of streams, before a second's place in the ring.
	ringSeconds  = int64(retention/time.Second) + 1
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

// flush sends the streams in the outbox to the peers.
func (t *Tracker) flush() {
	t.mu.Lock()
	var list []string
	for _, key := range t.outbox {
		if t.streams[key] != nil {
			list = append(list, key)
		}
	}
	t.outbox = nil
	batches := t.batches(list)
	t.mu.Unlock()
	if len(batches) > 0 {
		t.Send(savoryloft.StreamOrigins{Batches: batches})
	}
}

// batches groups streams by their origin. The caller holds the lock.
func (t *Tracker) batches(keys []string) []savoryloft.OriginBatch {
	var list []savoryloft.OriginBatch
	index := map[Origin]int{}
	for _, key := range keys {
		s := t.streams[key]
		i, ok := index[s.Origin]
		if !ok {
			i = len(list)
			index[s.Origin] = i
			list = append(list, savoryloft.OriginBatch{Service: s.Service, Version: s.Version})
		}
		list[i].Streams = append(list[i].Streams, key)
	}
	return list
}

// Merge takes over what a peer has sent.
func (t *Tracker) Merge(peer string, o savoryloft.StreamOrigins) {
	t.init()
	t.mu.Lock()
	t.mergeBatches(o.Batches, false)
	news := t.mergePolicies(o.Policies)
	var found []string
	for _, key := range o.Wanted {
		if t.streams[key] != nil {
			found = append(found, key)
		}
	}
	reply := t.batches(found)
	t.mu.Unlock()
	if len(news) > 0 {
		t.Broadcast(savoryloft.StreamOrigins{Policies: news}, peer)
	}
	if len(reply) > 0 {
		t.Reply(peer, savoryloft.StreamOrigins{Batches: reply})
	}
}

// mergeBatches takes over streams. fromLog is whether the log holds them. The caller
// holds the lock.
func (t *Tracker) mergeBatches(list []savoryloft.OriginBatch, fromLog bool) {
	for _, b := range list {
		for _, key := range b.Streams {
			s := t.add(key, Origin{b.Service, b.Version})
			s.written = s.written || fromLog
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
		t.queueRecent(p)
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

// queueRecent makes the streams known that began at this instance while an earlier policy
// spared that. The caller holds the lock.
func (t *Tracker) queueRecent(p savoryloft.VersionPolicy) {
	for key, s := range t.streams {
		if s.own && s.Service == p.Service && s.Version != p.Version {
			t.queue(key, s)
		}
	}
}

// Known returns the policies and the recorded streams, for a peer whose link comes up.
func (t *Tracker) Known() savoryloft.StreamOrigins {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	var o savoryloft.StreamOrigins
	for _, s := range t.services {
		if s.policy.Revision > 0 {
			o.Policies = append(o.Policies, s.policy)
		}
	}
	var keys []string
	for key, s := range t.streams {
		if s.queued || !s.own {
			keys = append(keys, key)
		}
	}
	o.Batches = t.batches(keys)
	return o
}

// load reads what the log holds.
func (t *Tracker) load(ctx context.Context) error {
	page, err := t.Log.Newest(ctx, savoryloft.TopicOrigins)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range page.Records {
		var o savoryloft.StreamOrigins
		if err := json.Unmarshal(r.Value, &o); err != nil {
			t.Logger.Info("skipped malformed origins of streams", "step", savoryloft.StepFollow, "key", r.Key, "error", err.Error())
			continue
		}
		t.mergeBatches(o.Batches, true)
		_ = t.mergePolicies(o.Policies) // Peers read the log themselves.
	}
	if !t.loaded {
		t.loaded, t.foundEmpty = true, len(page.Records) == 0
	}
	return nil
}

// reload reads the log again for a stream that no peer knows, unless it was read lately.
func (t *Tracker) reload(ctx context.Context) {
	t.mu.Lock()
	now := savoryloft.Uptime()
	due := t.reloadedAt == 0 || now-t.reloadedAt > reloadInterval
	if due {
		t.reloadedAt = now
	}
	t.mu.Unlock()
	if !due {
		return
	}
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
		era, err := t.put(ctx, policyPrefix+p.Service, savoryloft.StreamOrigins{Policies: []savoryloft.VersionPolicy{p}})
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
		if s.second != second || s.own && !s.queued {
			continue
		}
		keys = append(keys, key)
		complete = complete && s.written
	}
	batches := t.batches(keys)
	t.mu.Unlock()
	if complete {
		return nil
	}
	if _, err := t.put(ctx, fmt.Sprintf("%s%d", streamPrefix, second%ringSeconds), savoryloft.StreamOrigins{Batches: batches}); err != nil {
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

func (t *Tracker) put(ctx context.Context, key string, o savoryloft.StreamOrigins) (era int, err error) {
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
