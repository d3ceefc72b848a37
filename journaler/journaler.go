// Package journaler ensures that a non-idempotent call with an Idempotency-Key
// runs at most once, no matter which instances receive the call and its repeats.
// Before the first byte is sent to an upstream, a Started record must be in the
// journal stream and must have been read back as the first one for its key. A
// repeat at any instance finds this record and returns the outcome of the first
// call, or an error that says that the outcome is unknown.
//
// Calls with a key are rejected while records cannot be appended to the journal.
// docs/DESIGN.md compares this protocol with its alternatives.
//
// # Usage
//
//	ticket, response, err := j.Begin(ctx, journaler.KeyOf(account, route, key), requestHash)
//	switch {
//	case err != nil:
//		return err // Not run, key reused, still running, or outcome unknown.
//	case response != nil:
//		return replay(response)
//	}
//	// Send once, then:
//	j.Finish(ctx, ticket, journaler.Response{StatusCode: 200, Body: body})
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
	batchInterval      = 3 * time.Millisecond // Records that are queued within this time share an append.
	maxBatch           = 256
	readLimit          = 512
	readWait           = time.Second
	retryDelay         = 200 * time.Millisecond
	retryAfter         = 2 * time.Second
	maxBodyBytes       = 64 << 10 // Longer bodies are not stored for repeats.
	maxEntries         = 200_000
	maxAbandoned       = 100_000
	maxOutcomeAttempts = 600
	outcomeRetryDelay  = time.Second
)

// Response is the response to a call, stored for repeats.
type Response struct {
	StatusCode  int
	ContentType string
	Body        []byte
}

// Ticket permits its holder to run one call once.
type Ticket struct {
	Key string
	ID  string
}

// Journaler stores the state of calls by key. Set the exported fields before Run.
type Journaler struct {
	Log         savoryloft.Log
	Logger      logr.Logger
	Instance    string
	Incarnation int
	// Timeout limits each call of Begin and each attempt to record an outcome.
	Timeout time.Duration
	// IncarnationEnded reports whether an incarnation of an instance is known to have ended,
	// so that its unfinished calls can no longer finish. It may be nil.
	IncarnationEnded func(instance string, incarnation int) bool

	mu          sync.Mutex
	started     bool
	entries     map[string]*entry
	abandoned   map[string]bool // IDs of abandoned calls.
	order       []string        // Keys in the order of their Started records, oldest first.
	next        int             // Next offset to read.
	synced      bool
	endReadAt   time.Time // Time at which the last read that reached the end of the journal was sent.
	missing     bool      // Records before the first one read have expired.
	updated     chan struct{}
	appendQueue chan appendRequest
	once        sync.Once

	outcomeWriters sync.WaitGroup
	closed         chan struct{} // Closed when Run ends.
}

// entry is the state of one key: the call of its first Started record and, once
// recorded, the outcome of that call.
type entry struct {
	id          string
	requestHash string
	instance    string
	incarnation int
	finished    *savoryloft.JournalRecord
}

type appendRequest struct {
	data []byte
	done chan error
}

// KeyOf returns the journal key for an Idempotency-Key. Idempotency-Keys are
// scoped by client account and route.
func KeyOf(account, route, key string) string {
	return hash(account, route, key)
}

// RequestHash returns a hash that distinguishes a repeat from a different request
// with the same Idempotency-Key.
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
		j.updated = make(chan struct{})
		j.appendQueue = make(chan appendRequest, maxBatch)
		j.closed = make(chan struct{})
	})
}

// Run reads the journal and appends queued records until ctx is done. It returns
// nil.
func (j *Journaler) Run(ctx context.Context) error {
	j.init()
	done := make(chan struct{})
	go func() {
		defer close(done)
		j.appendBatches(ctx)
	}()
	for ctx.Err() == nil {
		if err := j.readOnce(ctx); err != nil {
			j.Logger.V(1).Info("cannot read journal; retrying", "step", savoryloft.StepJournal, "error", err.Error())
			savoryloft.Sleep(ctx, retryDelay)
		}
	}
	<-done
	close(j.closed)
	return nil
}

// Begin decides whether the call id may run. It returns a ticket if the call may
// run now, the response to the first call if this is a repeat, or a
// savoryloft.Error.
func (j *Journaler) Begin(ctx context.Context, key, requestHash, id string) (*Ticket, *Response, error) {
	j.init()
	arrived := time.Now()
	ctx, cancel := context.WithTimeout(ctx, j.Timeout)
	defer cancel()
	if !j.isSynced() {
		return nil, nil, j.unavailableError(arrived, "the journal has not been read to its end")
	}
	if response, found, err := j.lookup(key, requestHash); found {
		return nil, response, err
	}
	err := j.append(ctx, savoryloft.JournalRecord{
		ID: id, Key: key, Request: requestHash, State: savoryloft.JournalRecordStateStarted,
		Instance: j.Instance, Incarnation: j.Incarnation,
	})
	if err != nil && errors.Is(err, savoryloft.ErrUnavailable) {
		return nil, nil, j.unavailableError(arrived, "the journal can not be written")
	}
	// After any other error the record may have been appended or may be appended
	// later, so wait to read it back from the log in either case.
	if !j.awaitEntry(ctx, key) {
		j.RecordWithRetry(func(ctx context.Context) error { return j.Abandon(ctx, &Ticket{Key: key, ID: id}) })
		return nil, nil, j.unavailableError(arrived, "the journal has not acknowledged the call")
	}
	j.mu.Lock()
	isFirst := j.entries[key] != nil && j.entries[key].id == id
	j.mu.Unlock()
	if isFirst {
		return &Ticket{Key: key, ID: id}, nil, nil
	}
	response, _, err := j.lookup(key, requestHash)
	return nil, response, err
}

// lookup returns the response or the error for a repeated key; found is false for
// a new key.
func (j *Journaler) lookup(key, requestHash string) (response *Response, found bool, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e, ok := j.entries[key]
	if !ok {
		return nil, false, nil
	}
	if e.requestHash != requestHash {
		return nil, true, &savoryloft.Error{
			Step: savoryloft.StepJournal, StatusCode: 422, Code: "KeyReused", Run: savoryloft.RunNotRun,
			Message: "the Idempotency-Key was used for another request",
		}
	}
	if e.finished != nil {
		response, err := decodeResponse(e.finished)
		return response, true, err
	}
	own := e.instance == j.Instance && e.incarnation == j.Incarnation
	if !own && j.IncarnationEnded != nil && j.IncarnationEnded(e.instance, e.incarnation) {
		return nil, true, unknownOutcomeError("the instance that ran the call is gone; its outcome is unknown")
	}
	return nil, true, &savoryloft.Error{
		Step: savoryloft.StepJournal, StatusCode: 409, Code: "StillRunning", Run: savoryloft.RunUnknown,
		Message: "a call with this Idempotency-Key is running", RetryAfter: retryAfter,
	}
}

// Finish records the response to a call for repeats. If the body exceeds
// maxBodyBytes, it records an unknown outcome.
func (j *Journaler) Finish(ctx context.Context, t *Ticket, a Response) error {
	r := savoryloft.JournalRecord{
		ID: t.ID, Key: t.Key, State: savoryloft.JournalRecordStateFinished,
		StatusCode: a.StatusCode, ContentType: a.ContentType,
	}
	if len(a.Body) <= maxBodyBytes {
		r.Body = base64.StdEncoding.EncodeToString(a.Body)
	} else {
		r.StatusCode = 0
	}
	return errors.Annotate(j.append(ctx, r), "record response")
}

// FinishUnknown records that a call may have run but its response is unknown.
func (j *Journaler) FinishUnknown(ctx context.Context, t *Ticket) error {
	r := savoryloft.JournalRecord{ID: t.ID, Key: t.Key, State: savoryloft.JournalRecordStateFinished}
	return errors.Annotate(j.append(ctx, r), "record unknown outcome")
}

// Abandon records that no byte of a call was sent, so that a repeat may run.
func (j *Journaler) Abandon(ctx context.Context, t *Ticket) error {
	r := savoryloft.JournalRecord{ID: t.ID, Key: t.Key, State: savoryloft.JournalRecordStateAbandoned}
	return errors.Annotate(j.append(ctx, r), "record abandoned call")
}

// RecordWithRetry calls record in the background until it succeeds, up to
// maxOutcomeAttempts times, or until Run has returned. It does not block; see Wait.
func (j *Journaler) RecordWithRetry(record func(ctx context.Context) error) {
	j.outcomeWriters.Add(1)
	go func() {
		defer j.outcomeWriters.Done()
		for range maxOutcomeAttempts {
			ctx, cancel := context.WithTimeout(context.Background(), j.Timeout)
			err := record(ctx)
			cancel()
			if err == nil {
				return
			}
			select {
			case <-time.After(outcomeRetryDelay):
			case <-j.closed:
				return
			}
		}
		j.Logger.Info("cannot record outcome of a call; it stays unknown to repeats", "step", savoryloft.StepJournal)
	}()
}

// Wait waits until the attempts of all RecordWithRetry calls have finished, or
// returns an error when ctx is done. Call it during a planned stop, after the last
// request.
func (j *Journaler) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		j.outcomeWriters.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Annotate(context.Cause(ctx), "wait for outcomes to be recorded")
	}
}

func (j *Journaler) isSynced() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.synced
}

// awaitEntry waits for an entry for a key and returns false when ctx is done.
func (j *Journaler) awaitEntry(ctx context.Context, key string) bool {
	for {
		j.mu.Lock()
		_, ok := j.entries[key]
		updated := j.updated
		j.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return false
		}
	}
}

// append queues a record and waits until it has been appended. It returns
// ErrUnavailable if the record was not appended; after any other error it may have
// been appended or may be appended later.
func (j *Journaler) append(ctx context.Context, r savoryloft.JournalRecord) error {
	data, err := json.Marshal(r)
	if err != nil {
		return errors.Annotate(err, "encode journal record")
	}
	a := appendRequest{data: data, done: make(chan error, 1)}
	select {
	case j.appendQueue <- a:
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

// appendBatches appends queued records in batches until ctx is done.
func (j *Journaler) appendBatches(ctx context.Context) {
	for {
		var batch []appendRequest
		select {
		case <-ctx.Done():
			return
		case a := <-j.appendQueue:
			batch = append(batch, a)
		}
		batch = j.fillBatch(batch)
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

// fillBatch adds records that are queued within batchInterval, up to maxBatch.
func (j *Journaler) fillBatch(batch []appendRequest) []appendRequest {
	deadline := time.After(batchInterval)
	for len(batch) < maxBatch {
		select {
		case a := <-j.appendQueue:
			batch = append(batch, a)
		case <-deadline:
			return batch
		}
	}
	return batch
}

// readOnce reads records from the journal once and applies them. If the next
// records have expired, it skips to the earliest one that is left.
func (j *Journaler) readOnce(ctx context.Context) error {
	wait := readWait
	if !j.isSynced() {
		wait = 0 // Calls with a key are rejected until the end is reached.
	}
	sentAt := time.Now()
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
		j.endReadAt = sentAt
	}
	close(j.updated)
	j.updated = make(chan struct{})
	return nil
}

// apply applies one record. The first Started record of a key determines its entry
// until the call is abandoned; records of other calls do not change the entry.
func (j *Journaler) apply(data []byte) {
	var r savoryloft.JournalRecord
	if json.Unmarshal(data, &r) != nil {
		return
	}
	e, ok := j.entries[r.Key]
	switch r.State {
	case savoryloft.JournalRecordStateStarted:
		if !ok && !j.abandoned[r.ID] {
			j.entries[r.Key] = &entry{id: r.ID, requestHash: r.Request, instance: r.Instance, incarnation: r.Incarnation}
			j.order = append(j.order, r.Key)
			j.evictOldest()
		}
	case savoryloft.JournalRecordStateAbandoned:
		if ok && e.id == r.ID && e.finished == nil {
			delete(j.entries, r.Key)
		}
		j.storeAbandoned(r.ID)
	case savoryloft.JournalRecordStateFinished:
		if ok && e.id == r.ID && e.finished == nil {
			e.finished = &r
		}
	}
}

// storeAbandoned stores the ID of an abandoned call, since a delayed append can put
// its Started record after its Abandoned record in the log. To limit memory, it
// removes all stored IDs once there are maxAbandoned.
func (j *Journaler) storeAbandoned(id string) {
	if len(j.abandoned) >= maxAbandoned {
		clear(j.abandoned)
	}
	j.abandoned[id] = true
}

// evictOldest removes the oldest keys beyond maxEntries, to limit memory.
func (j *Journaler) evictOldest() {
	for len(j.order) > maxEntries {
		delete(j.entries, j.order[0])
		j.order = j.order[1:]
	}
}

func decodeResponse(r *savoryloft.JournalRecord) (*Response, error) {
	if r.StatusCode == 0 {
		return nil, unknownOutcomeError("the call may have run; its answer is not known")
	}
	body, err := base64.StdEncoding.DecodeString(r.Body)
	if err != nil {
		return nil, unknownOutcomeError(fmt.Sprintf("the kept answer can not be read: %v", err))
	}
	return &Response{StatusCode: r.StatusCode, ContentType: r.ContentType, Body: body}, nil
}

// unavailableError returns the error for a call that this instance has not sent to
// an upstream. The error says that the call has not run only if a read that was
// sent after the call arrived has reached the end of the journal; otherwise an
// earlier call with the same key may have run on another instance.
func (j *Journaler) unavailableError(arrived time.Time, message string) *savoryloft.Error {
	j.mu.Lock()
	defer j.mu.Unlock()
	run := savoryloft.RunUnknown
	if j.endReadAt.After(arrived) {
		run = savoryloft.RunNotRun
	}
	return &savoryloft.Error{
		Step: savoryloft.StepJournal, StatusCode: 503, Code: "JournalUnavailable",
		Message: message, Run: run, RetryAfter: retryAfter,
	}
}

func unknownOutcomeError(message string) *savoryloft.Error {
	return &savoryloft.Error{
		Step: savoryloft.StepJournal, StatusCode: 504, Code: "OutcomeUnknown",
		Message: message, Run: savoryloft.RunUnknown,
	}
}
