package follower

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
)

// publishTimeout bounds the wait for a record to be read back. A call that was
// lost before it took effect would be waited for without end.
const publishTimeout = 5 * time.Second

// Publish appends a record to the control stream and waits until it is read
// back, which settles an append whose answer was lost. It returns the record's
// offset. After an error the record may still come into the log, unless the
// error is savoryloft.ErrUnavailable.
func (f *Follower) Publish(ctx context.Context, r savoryloft.Record) (int, error) {
	f.init()
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	data, err := json.Marshal(r)
	if err != nil {
		return 0, errors.Annotate(err, "encode control record")
	}
	seen := f.expect(r.ID)
	defer f.forget(r.ID)
	_, err = f.Log.Append(ctx, savoryloft.StreamControl, data)
	if errors.Is(err, savoryloft.ErrUnavailable) {
		return 0, errors.Annotate(err, "append control record")
	}
	select {
	case offset := <-seen:
		return offset, nil
	case <-ctx.Done():
		return 0, errors.WithType(context.Cause(ctx), savoryloft.ErrUnknownOutcome)
	}
}

func (f *Follower) expect(id string) <-chan int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.expected == nil {
		f.expected = map[string]chan int{}
	}
	ch := make(chan int, 1)
	f.expected[id] = ch
	return ch
}

func (f *Follower) forget(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.expected, id)
}

// settle tells Publish that its record has been read back. The caller holds
// f.mu.
func (f *Follower) settle(offset int, r *savoryloft.Record) {
	if r == nil {
		return
	}
	if ch, ok := f.expected[r.ID]; ok {
		ch <- offset
		delete(f.expected, r.ID)
	}
}
