// Package journaler makes a non-idempotent call with an Idempotency-Key run at
// most once, whichever instances it and its repeats reach. A Started record is
// in the journal stream, and read back as the first one for its key, before
// the first byte leaves for an upstream. A repeat at any instance finds the
// record and gets the first outcome, or learns that the outcome is unknown.
//
// While an append can not be acknowledged, calls with a key are refused as not
// run. docs/DESIGN.md tells which other ways were weighed.
//
// # Usage
//
//	ticket, answer, err := j.Begin(ctx, journaler.KeyOf(account, route, key), requestHash)
//	switch {
//	case err != nil:
//		return err // Not run, still running elsewhere, or outcome unknown.
//	case answer != nil:
//		return replay(answer)
//	}
//	// Send once, then:
//	j.Finish(ctx, ticket, journaler.Answer{StatusCode: 200, Body: body})
package journaler

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
)

const (
	batchInterval  = 3 * time.Millisecond // Records that come within it share an append.
	maxBatch       = 256
	readLimit      = 512
	readWait       = time.Second
	retryDelay     = 200 * time.Millisecond
	retryAfter     = 2 * time.Second
	maxAnswerBytes = 64 << 10 // Longer answers are not kept for repeats.
	maxEntries     = 200_000
	maxAbandoned   = 100_000
	settleTries    = 600
	settleDelay    = time.Second
)

// Answer is the outcome of a call, kept for repeats.
type Answer struct {
	StatusCode  int
	ContentType string
	Body        []byte
}

// Ticket is the permission to run one call once.
type Ticket struct {
	Key string
	ID  string
}

// Journaler keeps the state of calls by key. Set the exported fields before
// Run.
type Journaler struct {
	Log         savoryloft.Log
	Logger      logr.Logger
	Instance    string
	Incarnation int
	// Timeout bounds the wait for a Started record to be read back.
	Timeout time.Duration
	// Gone tells whether an incarnation of an instance is known to have ended,
	// so that its unfinished calls will never finish.
	Gone func(instance string, incarnation int) bool

	mu        sync.Mutex
	started   bool
	entries   map[string]*entry
	abandoned map[string]bool // IDs of abandoned attempts.
	order     []string        // Keys in order of their first record, oldest first.
	next      int             // Next offset to read.
	synced    bool
	readAt    time.Time // When the last read was sent that found the journal's end.
	missing   bool      // Records before the first one read have expired.
	grown     chan struct{}
	batches   chan queuedAppend
	once      sync.Once

	settling sync.WaitGroup
	closed   chan struct{} // Closed when Run ends.
}

// entry is the journal's state of one key: the record that decides and, once
// known, the outcome.
type entry struct {
	id          string
	request     string
	instance    string
	incarnation int
	finished    *savoryloft.JournalRecord
}

type queuedAppend struct {
	data []byte
	done chan error
}

// KeyOf returns the journal's key for a caller's Idempotency-Key. The same key
// of another client account or route is another key.
func KeyOf(account, route, key string) string {
	return hash(account, route, key)
}

// RequestHash returns a hash by which a repeat is told from another request
// under the same key.
func RequestHash(method, uri string, body []byte) string {
	return hash(method, uri, string(body))
}

func hash(parts ...string) string {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return hex.EncodeToString(sum[:16])
}

func (j *Journaler) init() {
	j.once.Do(func() {
		j.entries = map[string]*entry{}
		j.abandoned = map[string]bool{}
		j.grown = make(chan struct{})
		j.batches = make(chan queuedAppend, maxBatch)
		j.closed = make(chan struct{})
	})
}

// Run follows the journal and appends records until ctx ends.
func (j *Journaler) Run(ctx context.Context) error {
	j.init()
	done := make(chan struct{})
	go func() {
		defer close(done)
		j.write(ctx)
	}()
	for ctx.Err() == nil {
		if err := j.read(ctx); err != nil {
			j.Logger.V(1).Info("journal not read", "step", savoryloft.StepJournal, "error", err.Error())
			savoryloft.Sleep(ctx, retryDelay)
		}
	}
	<-done
	close(j.closed)
	return nil
}

// Begin decides whether a call may run. It returns a ticket for a call that
// may run now, the first answer for a repeat, or an error.
func (j *Journaler) Begin(ctx context.Context, key, request, id string) (*Ticket, *Answer, error) {
	j.init()
	arrived := time.Now()
	ctx, cancel := context.WithTimeout(ctx, j.Timeout)
	defer cancel()
	if !j.isSynced() {
		return nil, nil, j.refused(arrived, "the journal has not been read to its end")
	}
	if answer, found, err := j.lookUp(key, request); found {
		return nil, answer, err
	}
	err := j.append(ctx, savoryloft.JournalRecord{
		ID: id, Key: key, Request: request, State: savoryloft.JournalRecordStateStarted,
		Instance: j.Instance, Incarnation: j.Incarnation,
	})
	if err != nil && errors.Is(err, savoryloft.ErrUnavailable) {
		return nil, nil, j.refused(arrived, "the journal can not be written")
	}
	// After a lost answer the record may be in the log or come into it late.
	// Only the log tells, so the record is awaited either way.
	if !j.await(ctx, key) {
		j.Settle(func(ctx context.Context) error { return j.Abandon(ctx, &Ticket{Key: key, ID: id}) })
		return nil, nil, j.refused(arrived, "the journal has not acknowledged the call")
	}
	j.mu.Lock()
	mine := j.entries[key] != nil && j.entries[key].id == id
	j.mu.Unlock()
	if mine {
		return &Ticket{Key: key, ID: id}, nil, nil
	}
	answer, _, err := j.lookUp(key, request)
	return nil, answer, err
}

// lookUp returns what a repeat of a key gets; found is false for a new key.
func (j *Journaler) lookUp(key, request string) (answer *Answer, found bool, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e, ok := j.entries[key]
	if !ok {
		return nil, false, nil
	}
	if e.request != request {
		return nil, true, &savoryloft.Error{
			Step: savoryloft.StepJournal, StatusCode: 422, Code: "KeyReused", Run: savoryloft.RunNotRun,
			Message: "the Idempotency-Key was used for another request",
		}
	}
	if e.finished != nil {
		answer, err := decodeAnswer(e.finished)
		return answer, true, err
	}
	own := e.instance == j.Instance && e.incarnation == j.Incarnation
	if !own && j.Gone != nil && j.Gone(e.instance, e.incarnation) {
		return nil, true, unknown("the instance that ran the call is gone; its outcome is unknown")
	}
	return nil, true, &savoryloft.Error{
		Step: savoryloft.StepJournal, StatusCode: 409, Code: "StillRunning", Run: savoryloft.RunUnknown,
		Message: "a call with this Idempotency-Key is running", RetryAfter: retryAfter,
	}
}

// Finish records a call's outcome for repeats.
func (j *Journaler) Finish(ctx context.Context, t *Ticket, a Answer) error {
	r := savoryloft.JournalRecord{
		ID: t.ID, Key: t.Key, State: savoryloft.JournalRecordStateFinished,
		StatusCode: a.StatusCode, ContentType: a.ContentType,
	}
	if len(a.Body) <= maxAnswerBytes {
		r.Body = base64.StdEncoding.EncodeToString(a.Body)
	} else {
		r.StatusCode = 0
	}
	return errors.Annotate(j.append(ctx, r), "record outcome")
}

// FinishUnknown records that a call may have run without a known answer.
func (j *Journaler) FinishUnknown(ctx context.Context, t *Ticket) error {
	r := savoryloft.JournalRecord{ID: t.ID, Key: t.Key, State: savoryloft.JournalRecordStateFinished}
	return errors.Annotate(j.append(ctx, r), "record unknown outcome")
}

// Abandon records that no byte of a call has left, so that a repeat may run.
func (j *Journaler) Abandon(ctx context.Context, t *Ticket) error {
	r := savoryloft.JournalRecord{ID: t.ID, Key: t.Key, State: savoryloft.JournalRecordStateAbandoned}
	return errors.Annotate(j.append(ctx, r), "abandon call")
}

// Settle runs an append that records an outcome, and repeats it until the log
// takes it. It returns at once. Wait waits for all of them.
func (j *Journaler) Settle(record func(ctx context.Context) error) {
	j.settling.Add(1)
	go func() {
		defer j.settling.Done()
		for range settleTries {
			ctx, cancel := context.WithTimeout(context.Background(), j.Timeout)
			err := record(ctx)
			cancel()
			if err == nil {
				return
			}
			select {
			case <-time.After(settleDelay):
			case <-j.closed:
				return
			}
		}
		j.Logger.Info("outcome of a call not recorded; its repeats are told unknown", "step", savoryloft.StepJournal)
	}()
}

// Wait waits until all outcomes are recorded, or ctx ends. It belongs to a
// planned stop, after the last request.
func (j *Journaler) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		j.settling.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Annotate(context.Cause(ctx), "wait for outcomes of calls")
	}
}

func (j *Journaler) isSynced() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.synced
}

// await waits until the journal holds a record that decides on a key.
func (j *Journaler) await(ctx context.Context, key string) bool {
	for {
		j.mu.Lock()
		_, ok := j.entries[key]
		grown := j.grown
		j.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return false
		}
	}
}

// append hands a record to the writer and waits for its append.
func (j *Journaler) append(ctx context.Context, r savoryloft.JournalRecord) error {
	data, err := json.Marshal(r)
	if err != nil {
		return errors.Annotate(err, "encode journal record")
	}
	a := queuedAppend{data: data, done: make(chan error, 1)}
	select {
	case j.batches <- a:
	case <-ctx.Done():
		return errors.WithType(context.Cause(ctx), savoryloft.ErrUnavailable)
	}
	select {
	case err := <-a.done:
		return err
	case <-ctx.Done():
		return errors.WithType(context.Cause(ctx), savoryloft.ErrUnknownOutcome)
	}
}

// write appends records in batches.
func (j *Journaler) write(ctx context.Context) {
	for {
		var batch []queuedAppend
		select {
		case <-ctx.Done():
			return
		case a := <-j.batches:
			batch = append(batch, a)
		}
		batch = j.fill(batch)
		data := make([][]byte, len(batch))
		for i, a := range batch {
			data[i] = a.data
		}
		_, err := j.Log.Append(ctx, savoryloft.StreamJournal, data...)
		for _, a := range batch {
			a.done <- err
		}
	}
}

func (j *Journaler) fill(batch []queuedAppend) []queuedAppend {
	full := time.After(batchInterval)
	for len(batch) < maxBatch {
		select {
		case a := <-j.batches:
			batch = append(batch, a)
		case <-full:
			return batch
		}
	}
	return batch
}

// read reads the journal once and applies what came.
func (j *Journaler) read(ctx context.Context) error {
	wait := readWait
	if !j.isSynced() {
		wait = 0 // Until then, calls with a key are refused.
	}
	asked := time.Now()
	res, err := j.Log.Read(ctx, savoryloft.StreamJournal, j.next, readLimit, wait)
	if errors.Is(err, savoryloft.ErrExpired) {
		res, err = j.Log.Read(ctx, savoryloft.StreamJournal, 0, 0, 0)
		if err == nil {
			j.next = res.Earliest
		}
		return errors.Trace(err)
	}
	if err != nil {
		return errors.Trace(err)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range res.Records {
		j.apply([]byte(r.Data))
		j.next = r.Offset + 1
	}
	if j.next >= res.Next {
		j.synced = true
		j.readAt = asked
	}
	close(j.grown)
	j.grown = make(chan struct{})
	return nil
}

// apply folds one record. The first Started record of a key decides until it
// is abandoned; records of other attempts change nothing.
func (j *Journaler) apply(data []byte) {
	var r savoryloft.JournalRecord
	if json.Unmarshal(data, &r) != nil {
		return
	}
	e, ok := j.entries[r.Key]
	switch r.State {
	case savoryloft.JournalRecordStateStarted:
		if !ok && !j.abandoned[r.ID] {
			j.entries[r.Key] = &entry{id: r.ID, request: r.Request, instance: r.Instance, incarnation: r.Incarnation}
			j.order = append(j.order, r.Key)
			j.forget()
		}
	case savoryloft.JournalRecordStateAbandoned:
		if ok && e.id == r.ID && e.finished == nil {
			delete(j.entries, r.Key)
		}
		j.rememberAbandoned(r.ID)
	case savoryloft.JournalRecordStateFinished:
		if ok && e.id == r.ID && e.finished == nil {
			e.finished = &r
		}
	}
}

// rememberAbandoned keeps an attempt's ID, since a slow append of its Started
// record may come into the log after the Abandoned one.
func (j *Journaler) rememberAbandoned(id string) {
	if len(j.abandoned) >= maxAbandoned {
		clear(j.abandoned)
	}
	j.abandoned[id] = true
}

// forget drops the oldest keys beyond the bound on memory.
func (j *Journaler) forget() {
	for len(j.order) > maxEntries {
		delete(j.entries, j.order[0])
		j.order = j.order[1:]
	}
}

func decodeAnswer(r *savoryloft.JournalRecord) (*Answer, error) {
	if r.StatusCode == 0 {
		return nil, unknown("the call may have run; its answer is not known")
	}
	body, err := base64.StdEncoding.DecodeString(r.Body)
	if err != nil {
		return nil, unknown(fmt.Sprintf("the kept answer can not be read: %v", err))
	}
	return &Answer{StatusCode: r.StatusCode, ContentType: r.ContentType, Body: body}, nil
}

// refused returns the error of a call that this instance has not sent. It says
// "not run" only when the journal was read to its end after the call arrived:
// otherwise an earlier call with the same key may have run elsewhere.
func (j *Journaler) refused(arrived time.Time, message string) *savoryloft.Error {
	j.mu.Lock()
	defer j.mu.Unlock()
	run := savoryloft.RunUnknown
	if j.readAt.After(arrived) {
		run = savoryloft.RunNotRun
	}
	return &savoryloft.Error{
		Step: savoryloft.StepJournal, StatusCode: 503, Code: "JournalUnavailable",
		Message: message, Run: run, RetryAfter: retryAfter,
	}
}

func unknown(message string) *savoryloft.Error {
	return &savoryloft.Error{
		Step: savoryloft.StepJournal, StatusCode: 504, Code: "OutcomeUnknown",
		Message: message, Run: savoryloft.RunUnknown,
	}
}
