package emulator

import (
	"context"
	"time"

	"savoryloft.example/savoryloft"
)

// Direct calls a platform stand-in without a network, with the same faults.
// It is for tests of a single duty.
type Direct struct {
	Platform *Platform
	// Unreachable makes this client's calls fail while others' go through.
	Unreachable func() bool
}

var (
	_ savoryloft.Log       = (*Direct)(nil)
	_ savoryloft.Platform  = (*Direct)(nil)
	_ savoryloft.UsageSink = (*Direct)(nil)
)

// before returns the error of a call that the faults keep from its effect.
func (d *Direct) before(ctx context.Context, log bool) error {
	d.Platform.mu.Lock()
	f := d.Platform.faults
	d.Platform.mu.Unlock()
	if f.Down || log && f.LogDown || d.Unreachable != nil && d.Unreachable() {
		return savoryloft.ErrUnavailable
	}
	if f.Delay > 0 {
		time.Sleep(f.Delay.Std())
	}
	return ctx.Err()
}

// after returns the error of a call whose answer is lost.
func (d *Direct) after() error {
	if d.Platform.loseAnswer() {
		return savoryloft.ErrUnknownOutcome
	}
	return nil
}

// Append implements savoryloft.Log.
func (d *Direct) Append(ctx context.Context, stream string, records ...[]byte) (int, error) {
	if err := d.before(ctx, true); err != nil {
		return 0, err
	}
	list := make([]string, len(records))
	for i, r := range records {
		list[i] = string(r)
	}
	offset := d.Platform.append(stream, list)
	return offset, d.after()
}

// Read implements savoryloft.Log.
func (d *Direct) Read(ctx context.Context, stream string, from, limit int, wait time.Duration) (savoryloft.ReadResult, error) {
	deadline := time.After(wait)
	for {
		if err := d.before(ctx, true); err != nil {
			return savoryloft.ReadResult{}, err
		}
		res, ok, grown := d.Platform.read(stream, from, limit)
		if !ok {
			return res, savoryloft.ErrExpired
		}
		if len(res.Records) > 0 || limit == 0 {
			return res, nil
		}
		select {
		case <-grown:
		case <-deadline:
			return res, d.before(ctx, true)
		case <-ctx.Done():
			return res, ctx.Err()
		}
	}
}

// Instances implements savoryloft.Platform.
func (d *Direct) Instances(ctx context.Context) ([]savoryloft.ListedInstance, error) {
	if err := d.before(ctx, false); err != nil {
		return nil, err
	}
	return d.Platform.laggingList(), nil
}

// PlaceOrder implements savoryloft.Platform.
func (d *Direct) PlaceOrder(ctx context.Context, o savoryloft.Order, guard func() error) (savoryloft.OrderResult, error) {
	if err := guard(); err != nil {
		return savoryloft.OrderResult{}, err
	}
	if err := d.before(ctx, false); err != nil {
		return savoryloft.OrderResult{}, err
	}
	upstream, err := d.Platform.placeOrder(o)
	if err != nil {
		return savoryloft.OrderResult{}, err
	}
	return savoryloft.OrderResult{Upstream: upstream}, d.after()
}

// FindOrder implements savoryloft.Platform.
func (d *Direct) FindOrder(ctx context.Context, _, id string) (savoryloft.OrderResult, error) {
	if err := d.before(ctx, false); err != nil {
		return savoryloft.OrderResult{}, err
	}
	for _, o := range d.Platform.Orders() {
		if o.Order.ID == id {
			return savoryloft.OrderResult{Upstream: o.Upstream}, nil
		}
	}
	return savoryloft.OrderResult{}, savoryloft.ErrNotFound
}

// SendReport implements savoryloft.UsageSink.
func (d *Direct) SendReport(ctx context.Context, window int, body []byte, fence int, guard func() error) error {
	if err := guard(); err != nil {
		return err
	}
	if err := d.before(ctx, false); err != nil {
		return err
	}
	d.Platform.addReport(ReceivedReport{Window: window, Fence: fence, Body: string(body)})
	return d.after()
}
