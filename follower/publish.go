package follower

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
)

// publishTimeout limits the wait for a record to be read back. A record whose
// append was lost never appears in the log.
const publishTimeout = 5 * time.Second

// Publish appends a record to the control stream and waits until the record has
// been read back, which confirms the append even if its response was lost. It
// returns the record's offset. It returns savoryloft.ErrUnavailable if the record
// was not appended; after any other error the record may still be appended.
func (f *Follower) Publish(ctx context.Context, r savoryloft.Record) (int, error) {
	f.init()
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	data, err := json.Marshal(r)
	if err != nil {
		return 0, errors.Annotate(err, "encode control record")
	}
	seen := f.addPublishWaiter(r.ID)
	defer f.removePublishWaiter(r.ID)
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

// addPublishWaiter returns a channel that receives the offset of the record with
// an ID once it has been applied.
func (f *Follower) addPublishWaiter(id string) <-chan int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.publishWaiters == nil {
		f.publishWaiters = map[string]chan int{}
	}
	ch := make(chan int, 1)
	f.publishWaiters[id] = ch
	return ch
}

func (f *Follower) removePublishWaiter(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.publishWaiters, id)
}

// notifyPublisher sends the offset of a record to the Publish call that waits for
// it. The caller holds f.mu.
func (f *Follower) notifyPublisher(offset int, r *savoryloft.Record) {
	if r == nil {
		return
	}
	if ch, ok := f.publishWaiters[r.ID]; ok {
		ch <- offset
		delete(f.publishWaiters, r.ID)
	}
}
