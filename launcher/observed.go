package launcher

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"savoryloft.example/savoryloft"
)

// observedLog counts and times the calls to the platform's log.
type observedLog struct {
	savoryloft.RecordLog
	registry metrics.Registry
}

func (o observedLog) observe(call string, t savoryloft.Topic, started time.Time, err error) {
	outcome := "ok"
	switch {
	case err == nil:
	case errors.Is(err, savoryloft.ErrConflict):
		outcome = "conflict"
	case errors.Is(err, savoryloft.ErrExpired):
		outcome = "expired"
	default:
		outcome = "failed"
	}
	metrics.GetOrRegisterCounter("log_calls_total."+call+"."+t.String()+"."+outcome, o.registry).Inc(1)
	if call != "Read" { // A read waits for records.
		metrics.GetOrRegisterHistogram("log_call_ms."+call, o.registry, newSample()).Update(time.Since(started).Milliseconds())
	}
}

// Read implements savoryloft.RecordLog.
func (o observedLog) Read(ctx context.Context, t savoryloft.Topic, from int, wait time.Duration) (savoryloft.RecordPage, error) {
	started := time.Now()
	page, err := o.RecordLog.Read(ctx, t, from, wait)
	o.observe("Read", t, started, err)
	return page, err
}

// Newest implements savoryloft.RecordLog.
func (o observedLog) Newest(ctx context.Context, t savoryloft.Topic) (savoryloft.RecordPage, error) {
	started := time.Now()
	page, err := o.RecordLog.Newest(ctx, t)
	o.observe("Newest", t, started, err)
	return page, err
}

// AppendAt implements savoryloft.RecordLog.
func (o observedLog) AppendAt(ctx context.Context, t savoryloft.Topic, at int, value []byte) error {
	started := time.Now()
	err := o.RecordLog.AppendAt(ctx, t, at, value)
	o.observe("Append", t, started, err)
	return err
}

// Put implements savoryloft.RecordLog.
func (o observedLog) Put(ctx context.Context, t savoryloft.Topic, key string, value []byte) error {
	started := time.Now()
	err := o.RecordLog.Put(ctx, t, key, value)
	o.observe("Put", t, started, err)
	return err
}

const (
	sampleSize  = 1028  // Values that a histogram keeps, as its library suggests.
	sampleAlpha = 0.015 // Weight of newer values, as its library suggests.
)

func newSample() metrics.Sample { return metrics.NewExpDecaySample(sampleSize, sampleAlpha) }

// summarize logs the counters of calls to the log at an interval, since on call
// there may be only logs.
func (l *Launcher) summarize(ctx context.Context) error {
	for ctx.Err() == nil {
		savoryloft.Sleep(ctx, summaryEvery)
		var pairs []any
		l.registry.Each(func(name string, v any) {
			if c, ok := v.(metrics.Counter); ok && c.Count() > 0 {
				pairs = append(pairs, name, c.Count())
			}
		})
		sent, received := l.linker.Bytes()
		pairs = append(pairs, "link_bytes_sent", sent, "link_bytes_received", received,
			"position", l.linker.ReaderRank(), "members", l.instances())
		l.Logger.Info("counters", pairs...)
	}
	return nil
}

const summaryEvery = 10 * time.Second // Keeps the lines few beside one for each request.
