package watcher

import (
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
)

// rewriteTime is the time after a restore of the log within which operators and
// upstreams have written again what it has lost.
const rewriteTime = recoveryGrace

// errEarlierEra is returned for a response that the log made before a restore that
// this instance has already received.
const errEarlierEra = errors.ConstError("response is from an earlier era of the log")

// ObserveEra processes an era of the log that this instance has received.
func (w *Watcher) ObserveEra(era int) {
	w.init()
	w.mu.Lock()
	restored := w.observeEra(era)
	w.mu.Unlock()
	if restored && w.OnEra != nil {
		w.OnEra(era)
	}
}

// observePage processes the era of a response, and reports whether the log has been
// restored since the response was made.
func (w *Watcher) observePage(page savoryloft.RecordPage) (stale bool) {
	if page.Era == 0 {
		return false
	}
	w.ObserveEra(page.Era)
	return page.Era < w.Era()
}

// observeEra processes an era and reports whether it is new. Entries that the log
// has lost are kept for recoveryGrace, like those that expired in an outage. The
// caller holds the lock.
func (w *Watcher) observeEra(era int) bool {
	if era <= w.era {
		return false
	}
	now := savoryloft.Uptime()
	if before := w.era; before > 0 {
		w.recoveredAt = now
		w.Logger.Info("log was restored", "step", savoryloft.StepFollow, "era", era, "before", before,
			"version", w.Version(), "entries", len(w.entries))
	}
	if w.era > 0 || era > 1 {
		w.eraSeenAt = now
	}
	w.era, w.registryEraEnd = era, -1
	return true
}

// Era returns the latest era of the log that this instance has received, or 0 when
// it has received none.
func (w *Watcher) Era() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.era
}

// ObserveVersion records a version of the configuration that a peer has. As long as
// this instance has a lower one, its own reads do not confirm it.
func (w *Watcher) ObserveVersion(version int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heardVersion = max(w.heardVersion, version)
}

// confirms reports whether a read of a topic to its end, sent at an uptime, shows
// that the copy is up to date. After a restore, the log may lack a configuration
// that was accepted before. That is excluded once the log has the version in force,
// and no later one can be missing there any more.
func (w *Watcher) confirms(t savoryloft.Topic, sent time.Duration) bool {
	if t != savoryloft.TopicConfiguration {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	era, _ := savoryloft.SplitPosition(w.configuration.Position)
	switch {
	case w.Version() < w.heardVersion:
		return false
	case w.eraSeenAt == 0:
		return true
	}
	return era == w.era && sent >= w.eraSeenAt+rewriteTime
}

// inRewriteTime reports whether the log has been restored so recently that the operator
// may still write again what it has lost. The caller holds the lock.
func (w *Watcher) inRewriteTime() bool {
	return w.eraSeenAt > 0 && savoryloft.Uptime() < w.eraSeenAt+rewriteTime
}

// isCopied reports whether a record that was read at a position in a restored log may
// be one that was copied there and that is not newer than the record known from an
// earlier era. The caller holds the lock.
func (w *Watcher) isCopied(position, known int) bool {
	era, offset := savoryloft.SplitPosition(position)
	knownEra, knownOffset := savoryloft.SplitPosition(known)
	return knownEra < era && offset <= knownOffset && offset < w.registryEraEnd
}
