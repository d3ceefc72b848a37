// Package faker provides in-memory fakes of the platform's APIs for tests.
//
// # Usage
//
//	log := &faker.Log{}
//	log.SetDown(true)
//	_, err := log.Put(ctx, savoryloft.TopicRegistry, "u1", value) // ErrUnavailable
//	copied := log.Copy()
//	log.Restore(copied) // Loses the records appended since, and starts a new era.
package faker

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
)

// pollInterval is the time between the checks for new records of a blocking
// read.
const pollInterval = 5 * time.Millisecond

// ErrLost is the error of an append whose response was lost: the record may or
// may not have been appended.
const ErrLost = errors.ConstError("answer was lost")

// AppendOutcome is the result of an append, which a test chooses with
// Log.ChooseOutcome.
type AppendOutcome int

// Outcomes of an append.
const (
	Acknowledged AppendOutcome = iota // Appended and acknowledged.
	ResponseLost                      // Appended, but the response is lost.
	Delayed                           // Appended after Delay if the offset still matches; the response is lost.
	Refused                           // Not appended; fails with ErrUnavailable.
)

// Log is an in-memory record log. The zero value is empty and available.
type Log struct {
	// ChooseOutcome returns the outcome of an append; always Acknowledged when
	// nil.
	ChooseOutcome func() AppendOutcome
	Delay         time.Duration // Delay of appends with the outcome Delayed.
	// Latency returns the duration of a call; zero when nil.
	Latency func() time.Duration

	mu       sync.Mutex
	down     bool
	topics   map[savoryloft.Topic]*topic
	calls    int
	restores int
}

// Copy is a copy of a log's records.
type Copy struct {
	topics map[savoryloft.Topic]topic
}

// Copy returns a copy of the present records.
func (l *Log) Copy() Copy {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Copy{topics: map[savoryloft.Topic]topic{}}
	for id, t := range l.topics {
		c.topics[id] = topic{slices.Clone(t.records), t.firstOffset, maps.Clone(t.retained)}
	}
	return c
}

// Restore replaces the records by those of a copy and starts a new era.
func (l *Log) Restore(c Copy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.topics = map[savoryloft.Topic]*topic{}
	for id, t := range c.topics {
		l.topics[id] = &topic{slices.Clone(t.records), t.firstOffset, maps.Clone(t.retained)}
	}
	l.restores++
}

// Era returns the log's era, which starts at 1.
func (l *Log) Era() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era()
}

func (l *Log) era() int { return 1 + l.restores }

type topic struct {
	records     []savoryloft.KeyedRecord // Indexed by offset minus firstOffset.
	firstOffset int
	retained    map[string]savoryloft.KeyedRecord // Newest record of each key at the last ExpireRecords.
}

func (t *topic) end() int { return t.firstOffset + len(t.records) }

// Calls returns the number of calls so far.
func (l *Log) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// SetDown starts or ends an outage, during which calls fail with
// ErrUnavailable.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// ExpireRecords expires the records of a topic. Newest still returns the newest record
// of each key.
func (l *Log) ExpireRecords(t savoryloft.Topic) {
	l.mu.Lock()
	defer l.mu.Unlock()
	top := l.topic(t)
	top.firstOffset = top.end()
	top.retained = top.newest()
	top.records = nil
}

func (t *topic) newest() map[string]savoryloft.KeyedRecord {
	m := map[string]savoryloft.KeyedRecord{}
	for k, r := range t.retained {
		m[k] = r
	}
	for _, r := range t.records {
		if r.Value == nil {
			delete(m, r.Key)
			continue
		}
		m[r.Key] = r
	}
	return m
}

func (l *Log) topic(t savoryloft.Topic) *topic {
	if l.topics == nil {
		l.topics = map[savoryloft.Topic]*topic{}
	}
	if l.topics[t] == nil {
		l.topics[t] = &topic{}
	}
	return l.topics[t]
}

// beginCall waits for the latency and counts the call. It returns
// ErrUnavailable during an outage, and otherwise the error of ctx.
func (l *Log) beginCall(ctx context.Context) error {
	if l.Latency != nil {
		savoryloft.Sleep(ctx, l.Latency())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.down {
		return savoryloft.ErrUnavailable
	}
	return ctx.Err()
}

// Read implements savoryloft.RecordLog.
func (l *Log) Read(ctx context.Context, t savoryloft.Topic, from int, wait time.Duration) (savoryloft.RecordPage, error) {
	if err := l.beginCall(ctx); err != nil {
		return savoryloft.RecordPage{}, err
	}
	for end := time.Now().Add(wait); ; {
		page, err := l.readNow(t, from)
		if err != nil || ctx.Err() != nil || len(page.Records) > 0 || !time.Now().Before(end) {
			return page, err
		}
		savoryloft.Sleep(ctx, pollInterval)
	}
}

func (l *Log) readNow(t savoryloft.Topic, from int) (savoryloft.RecordPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	top := l.topic(t)
	switch {
	case l.down:
		return savoryloft.RecordPage{}, savoryloft.ErrUnavailable
	case from < top.firstOffset || from > top.end():
		return savoryloft.RecordPage{Next: top.firstOffset, Era: l.era()}, savoryloft.ErrExpired
	}
	page := savoryloft.RecordPage{Next: top.end(), End: top.end(), Era: l.era()}
	page.Records = append(page.Records, top.records[min(from-top.firstOffset, len(top.records)):]...)
	return page, nil
}

// Newest implements savoryloft.RecordLog.
func (l *Log) Newest(ctx context.Context, t savoryloft.Topic) (savoryloft.RecordPage, error) {
	if err := l.beginCall(ctx); err != nil {
		return savoryloft.RecordPage{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	top := l.topic(t)
	page := savoryloft.RecordPage{Next: top.end(), End: top.end(), Era: l.era()}
	for _, r := range top.newest() {
		page.Records = append(page.Records, r)
	}
	return page, nil
}

// AppendAt implements savoryloft.RecordLog.
func (l *Log) AppendAt(ctx context.Context, t savoryloft.Topic, at int, value []byte) (era int, err error) {
	if err := l.beginCall(ctx); err != nil {
		return 0, err
	}
	outcome := Acknowledged
	if l.ChooseOutcome != nil {
		outcome = l.ChooseOutcome()
	}
	switch outcome {
	case Refused:
		return 0, savoryloft.ErrUnavailable
	case Delayed:
		time.AfterFunc(l.Delay, func() { _, _ = l.appendNow(t, at, value) })
		return 0, ErrLost
	case ResponseLost:
		_, _ = l.appendNow(t, at, value)
		return 0, ErrLost
	}
	return l.appendNow(t, at, value)
}

func (l *Log) appendNow(t savoryloft.Topic, at int, value []byte) (era int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	top := l.topic(t)
	if top.end() != at {
		return l.era(), savoryloft.ErrConflict
	}
	top.records = append(top.records, savoryloft.KeyedRecord{Offset: at, Value: value})
	return l.era(), nil
}

// Put implements savoryloft.RecordLog.
func (l *Log) Put(ctx context.Context, t savoryloft.Topic, key string, value []byte) (era int, err error) {
	if err := l.beginCall(ctx); err != nil {
		return 0, err
	}
	l.Set(t, key, value)
	return l.Era(), nil
}

// Set writes a record as an operator or an upstream does, regardless of outages.
// An empty value deletes the key.
func (l *Log) Set(t savoryloft.Topic, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	top := l.topic(t)
	if len(value) == 0 {
		value = nil
		delete(top.retained, key)
	}
	top.records = append(top.records, savoryloft.KeyedRecord{Key: key, Value: value, Offset: top.end()})
}

var _ savoryloft.RecordLog = (*Log)(nil)
