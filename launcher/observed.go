package launcher

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/observer"
)

// instrumentedLog wraps a record log and records the number, outcome and
// duration of its calls as metrics.
type instrumentedLog struct {
	savoryloft.RecordLog
	registry metrics.Registry
}

func (o instrumentedLog) record(call string, t savoryloft.Topic, started time.Time, err error) {
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
	if call != "Read" { // The duration of a Read is dominated by its long poll.
		observer.ObserveMilliseconds(o.registry, "log_call_ms."+call, time.Since(started))
	}
}

// Read implements savoryloft.RecordLog.
func (o instrumentedLog) Read(ctx context.Context, t savoryloft.Topic, from int, wait time.Duration) (savoryloft.RecordPage, error) {
	started := time.Now()
	page, err := o.RecordLog.Read(ctx, t, from, wait)
	o.record("Read", t, started, err)
	return page, err
}

// Newest implements savoryloft.RecordLog.
func (o instrumentedLog) Newest(ctx context.Context, t savoryloft.Topic) (savoryloft.RecordPage, error) {
	started := time.Now()
	page, err := o.RecordLog.Newest(ctx, t)
	o.record("Newest", t, started, err)
	return page, err
}

// AppendAt implements savoryloft.RecordLog.
func (o instrumentedLog) AppendAt(ctx context.Context, t savoryloft.Topic, at int, value []byte) (era int, err error) {
	started := time.Now()
	era, err = o.RecordLog.AppendAt(ctx, t, at, value)
	o.record("Append", t, started, err)
	return era, err
}

// Put implements savoryloft.RecordLog.
func (o instrumentedLog) Put(ctx context.Context, t savoryloft.Topic, key string, value []byte) (era int, err error) {
	started := time.Now()
	era, err = o.RecordLog.Put(ctx, t, key, value)
	o.record("Put", t, started, err)
	return era, err
}

// logCounters regularly logs all counters, for operators who have access to the
// logs but not to the metrics page.
func (l *Launcher) logCounters(ctx context.Context) error {
	for ctx.Err() == nil {
		savoryloft.Sleep(ctx, counterLogInterval)
		var pairs []any
		l.registry.Each(func(name string, v any) {
			if c, ok := v.(metrics.Counter); ok && c.Count() > 0 {
				pairs = append(pairs, name, c.Count())
			}
		})
		sent, received := l.linker.Bytes()
		pairs = append(pairs, "link_bytes_sent", sent, "link_bytes_received", received,
			"position", l.linker.ReaderRank(), "members", l.linker.InstanceCount())
		l.Logger.Info("counters", pairs...)
	}
	return nil
}

const counterLogInterval = 10 * time.Second // Adds few lines compared with the one line per request.
