package emulator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
)

// Direct calls the methods of a Platform in process, without a network, and
// applies the same faults. Tests of a single component use it as their client.
type Direct struct {
	Platform *Platform
	// Unreachable reports whether this client's calls fail with ErrUnavailable;
	// other clients are not affected. A nil function means never.
	Unreachable func() bool
}

var (
	_ savoryloft.Log       = (*Direct)(nil)
	_ savoryloft.Platform  = (*Direct)(nil)
	_ savoryloft.UsageSink = (*Direct)(nil)
)

// checkAvailable returns ErrUnavailable if the present faults reject a call. The
// argument log is true for calls to the log.
func (d *Direct) checkAvailable(log bool) error {
	f := d.faults()
	if f.Down || log && f.LogDown || d.Unreachable != nil && d.Unreachable() {
		return savoryloft.ErrUnavailable
	}
	return nil
}

func (d *Direct) faults() PlatformFaults {
	d.Platform.mu.Lock()
	defer d.Platform.mu.Unlock()
	return d.Platform.faults
}

// applyDelayed applies a call's effect after the configured delay, even if ctx
// ends earlier; it then returns ErrUnknownOutcome.
func (d *Direct) applyDelayed(ctx context.Context, effect func() error) error {
	done := make(chan error, 1)
	delay := d.faults().Delay.Std()
	if delay == 0 {
		return effect()
	}
	time.AfterFunc(delay, func() { done <- effect() })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return savoryloft.ErrUnknownOutcome
	}
}

// write applies the effect of a call that changes state. It returns
// ErrUnknownOutcome if a fault loses the call or its response.
func (d *Direct) write(ctx context.Context, log bool, effect func() error) error {
	if err := d.checkAvailable(log); err != nil {
		return err
	}
	if d.Platform.loseCall() {
		return savoryloft.ErrUnknownOutcome
	}
	if err := d.applyDelayed(ctx, effect); err != nil {
		return err
	}
	if d.Platform.loseAnswer() {
		return savoryloft.ErrUnknownOutcome
	}
	return nil
}

// Append implements savoryloft.Log.
func (d *Direct) Append(ctx context.Context, stream string, records ...[]byte) (int, error) {
	list := make([]string, len(records))
	for i, r := range records {
		list[i] = string(r)
	}
	var offset atomic.Int64
	err := d.write(ctx, true, func() error {
		offset.Store(int64(d.Platform.append(stream, list)))
		return nil
	})
	return int(offset.Load()), err
}

// Read implements savoryloft.Log.
func (d *Direct) Read(ctx context.Context, stream string, from, limit int, wait time.Duration) (savoryloft.ReadResult, error) {
	deadline := time.After(wait)
	for {
		if err := d.checkAvailable(true); err != nil {
			return savoryloft.ReadResult{}, err
		}
		if err := d.applyDelayed(ctx, func() error { return nil }); err != nil {
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
			return res, d.checkAvailable(true)
		case <-ctx.Done():
			return res, ctx.Err()
		}
	}
}

// Instances implements savoryloft.Platform.
func (d *Direct) Instances(context.Context) ([]savoryloft.ListedInstance, error) {
	if err := d.checkAvailable(false); err != nil {
		return nil, err
	}
	return d.Platform.delayedList(), nil
}

// PlaceOrder implements savoryloft.Platform.
func (d *Direct) PlaceOrder(ctx context.Context, o savoryloft.Order, guard func() error) (savoryloft.OrderResult, error) {
	if err := guard(); err != nil {
		return savoryloft.OrderResult{}, errors.WithType(err, savoryloft.ErrUnavailable)
	}
	var upstream atomic.Value
	err := d.write(ctx, false, func() error {
		u, err := d.Platform.placeOrder(o)
		upstream.Store(u)
		return err
	})
	name, _ := upstream.Load().(string)
	return savoryloft.OrderResult{Upstream: name}, err
}

// FindOrder implements savoryloft.Platform.
func (d *Direct) FindOrder(_ context.Context, _, id string) (savoryloft.OrderResult, error) {
	if err := d.checkAvailable(false); err != nil {
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
		return errors.WithType(err, savoryloft.ErrUnavailable)
	}
	return d.write(ctx, false, func() error {
		d.Platform.addReport(ReceivedReport{Window: window, Fence: fence, Body: string(body)})
		return nil
	})
}
