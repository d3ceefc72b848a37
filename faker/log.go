// Package faker holds in-memory fakes of the platform's services for tests.
//
// # Usage
//
//	log := &faker.Log{}
//	log.SetDown(true)
//	err := log.Put(ctx, savoryloft.TopicRegistry, "u1", value) // ErrUnavailable
package faker

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
)

// pollInterval is the time between looks for records of a waiting read.
const pollInterval = 5 * time.Millisecond

// ErrLost is returned by an append whose answer was lost.
const ErrLost = errors.ConstError("answer was lost")

// Fate tells what happens to an append.
type Fate int

// Fates.
const (
	Acknowledged Fate = iota
	Lost              // Done, but not answered.
	Late              // Done after Delay if its condition still holds, and not answered.
	Refused           // Not done.
)

// Log is a record log in memory. The zero value is empty and well.
type Log struct {
	// Decide returns the fate of an append; all are acknowledged when nil.
	Decide func() Fate
	Delay  time.Duration // Of late appends.
	// Latency returns the time that a call takes; none when nil.
	Latency func() time.Duration

	mu     sync.Mutex
	down   bool
	topics map[savoryloft.Topic]*topic
	calls  int
}

type topic struct {
	records []savoryloft.KeyedRecord // By offset less first.
	first   int
	kept    map[string]savoryloft.KeyedRecord // Newest records of keys whose history was dropped.
}

func (t *topic) end() int { return t.first + len(t.records) }

// Calls returns the number of calls so far.
func (l *Log) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// SetDown starts or ends an outage.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Forget drops the history of a topic; the newest record of each key stays.
func (l *Log) Forget(t savoryloft.Topic) {
	l.mu.Lock()
	defer l.mu.Unlock()
	top := l.topic(t)
	top.first = top.end()
	top.kept = top.newest()
	top.records = nil
}

func (t *topic) newest() map[string]savoryloft.KeyedRecord {
	m := map[string]savoryloft.KeyedRecord{}
	for k, r := range t.kept {
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

// enter counts a call and tells whether the log is up.
func (l *Log) enter(ctx context.Context) error {
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
	if err := l.enter(ctx); err != nil {
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
	case from < top.first:
		return savoryloft.RecordPage{Next: top.first}, savoryloft.ErrExpired
	}
	page := savoryloft.RecordPage{Next: top.end(), End: top.end()}
	page.Records = append(page.Records, top.records[min(from-top.first, len(top.records)):]...)
	return page, nil
}

// Newest implements savoryloft.RecordLog.
func (l *Log) Newest(ctx context.Context, t savoryloft.Topic) (savoryloft.RecordPage, error) {
	if err := l.enter(ctx); err != nil {
		return savoryloft.RecordPage{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	top := l.topic(t)
	page := savoryloft.RecordPage{Next: top.end(), End: top.end()}
	for _, r := range top.newest() {
		page.Records = append(page.Records, r)
	}
	return page, nil
}

// AppendAt implements savoryloft.RecordLog.
func (l *Log) AppendAt(ctx context.Context, t savoryloft.Topic, at int, value []byte) error {
	if err := l.enter(ctx); err != nil {
		return err
	}
	fate := Acknowledged
	if l.Decide != nil {
		fate = l.Decide()
	}
	switch fate {
	case Refused:
		return savoryloft.ErrUnavailable
	case Late:
		time.AfterFunc(l.Delay, func() { _ = l.appendNow(t, at, value) })
		return ErrLost
	case Lost:
		_ = l.appendNow(t, at, value)
		return ErrLost
	}
	return l.appendNow(t, at, value)
}

func (l *Log) appendNow(t savoryloft.Topic, at int, value []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	top := l.topic(t)
	if top.end() != at {
		return savoryloft.ErrConflict
	}
	top.records = append(top.records, savoryloft.KeyedRecord{Offset: at, Value: value})
	return nil
}

// Put implements savoryloft.RecordLog.
func (l *Log) Put(ctx context.Context, t savoryloft.Topic, key string, value []byte) error {
	if err := l.enter(ctx); err != nil {
		return err
	}
	l.Set(t, key, value)
	return nil
}

// Set writes a record as the operator or an upstream would; no value drops the
// key.
func (l *Log) Set(t savoryloft.Topic, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	top := l.topic(t)
	if len(value) == 0 {
		value = nil
		delete(top.kept, key)
	}
	top.records = append(top.records, savoryloft.KeyedRecord{Key: key, Value: value, Offset: top.end()})
}

var _ savoryloft.RecordLog = (*Log)(nil)
