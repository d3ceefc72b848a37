// Package reporter closes usage windows and sends their reports while this
// instance holds the lease. The figures of a window, its requests and tokens by
// account and class, depend only on the records of the usage stream up to an
// offset. They are published as a close record to the control stream, in which
// only the first close of a window is valid. A window is therefore never reported
// with different figures, whichever instance reports it. Reports go to a
// savoryloft.UsageSink; package biller reports to a savoryloft.DutyTarget.
//
// # Usage
//
//	r := &reporter.Reporter{Log: client, Sink: client, Follower: f, Holder: elector,
//		Instance: "entry-1", Window: time.Minute, Grace: 5 * time.Second,
//		Timeout: 2 * time.Second, Logger: log}
//	go r.Run(ctx)
package reporter

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/follower"
	"savoryloft.example/savoryloft/recorder"
)

const (
	pollInterval      = 250 * time.Millisecond
	maxRecordsPerRead = 1000                   // Records in one read of the usage stream.
	leaseMargin       = 250 * time.Millisecond // Lease time that must be left after the timeout of a report.
)

// Reporter closes windows and sends reports. Set the exported fields before
// Run.
type Reporter struct {
	Log      savoryloft.Log
	Sink     savoryloft.UsageSink
	Follower *follower.Follower
	Holder   savoryloft.Holder
	Instance string
	Window   time.Duration
	Grace    time.Duration // Delay from the end of a window to its close, for late usage.
	Timeout  time.Duration // Of one report.
	Logger   logr.Logger

	recordCount int // Control records created, for unique IDs.
}

// Run calls Step at an interval until ctx ends. It always returns nil.
func (r *Reporter) Run(ctx context.Context) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			if err := r.Step(ctx); err != nil {
				r.Logger.V(1).Info("closing or reporting a usage window failed; will retry", "step", savoryloft.StepReport, "error", err.Error())
			}
		}
	}
}

// Step sends the oldest report that is due or, when there is none, closes the
// next window that has ended. It does nothing while this instance does not hold
// the lease. After an error, the next call retries the failed operation.
func (r *Reporter) Step(ctx context.Context) error {
	fence, _, ok := r.Holder.Held()
	v := r.Follower.View()
	if !ok || v == nil {
		return nil
	}
	if len(v.Unsent) > 0 {
		return r.send(ctx, fence, v.Unsent[0])
	}
	window, due := r.nextWindow(v.Closed, time.Now())
	if !due {
		return nil
	}
	return r.close(ctx, fence, v.Closed, window)
}

// nextWindow returns the start of the next window to close, in Unix seconds; due
// is false when that window has not ended. Without a closed window, the next one
// is the latest that has ended.
func (r *Reporter) nextWindow(last *savoryloft.WindowClose, now time.Time) (window int, due bool) {
	seconds := int(r.Window / time.Second)
	ended := recorder.WindowAt(now.Add(-r.Grace), r.Window) - seconds
	if last == nil {
		return ended, true
	}
	next := last.Window + seconds
	return next, next <= ended
}

// close computes the figures of a window and publishes its close.
func (r *Reporter) close(ctx context.Context, fence int, last *savoryloft.WindowClose, window int) error {
	c, err := r.computeClose(ctx, last, window)
	if err != nil {
		return errors.Annotatef(err, "compute figures of window %d", window)
	}
	if held, _, ok := r.Holder.Held(); !ok || held != fence {
		return errors.Trace(savoryloft.ErrLeaseLost)
	}
	r.recordCount++
	_, err = r.Follower.Publish(ctx, savoryloft.Record{
		ID: fmt.Sprintf("close-%d-%s-%d-%d", window, r.Instance, fence, r.recordCount), Close: &c,
	})
	return errors.Annotatef(err, "close window %d", window)
}

// computeClose returns the close of a window from the usage records between the
// last close and the end of the usage stream.
func (r *Reporter) computeClose(ctx context.Context, last *savoryloft.WindowClose, window int) (savoryloft.WindowClose, error) {
	t := NewTally(last)
	next := t.StartOffset()
	for {
		res, err := r.Log.Read(ctx, savoryloft.StreamUsage, next, maxRecordsPerRead, 0)
		if errors.Is(err, savoryloft.ErrExpired) {
			next, err = r.skipExpired(ctx, next)
			if err != nil {
				return savoryloft.WindowClose{}, err
			}
			continue
		}
		if err != nil {
			return savoryloft.WindowClose{}, errors.Trace(err)
		}
		for _, rec := range res.Records {
			t.Add([]byte(rec.Data))
			next = rec.Offset + 1
		}
		if next >= res.Next || len(res.Records) == 0 {
			return t.Close(window, next), nil
		}
	}
}

// skipExpired returns the offset of the earliest record that the usage stream
// still has. The usage in the expired records is lost.
func (r *Reporter) skipExpired(ctx context.Context, next int) (int, error) {
	res, err := r.Log.Read(ctx, savoryloft.StreamUsage, next, 0, 0)
	if err != nil {
		return next, errors.Trace(err)
	}
	r.Logger.Error(savoryloft.ErrExpired, "usage records expired before they were counted",
		"step", savoryloft.StepReport, "from", next, "to", res.Earliest)
	return res.Earliest, nil
}

// send sends the report of a closed window and publishes its acceptance.
// The body of the report is the same in every attempt, also by another instance.
func (r *Reporter) send(ctx context.Context, fence int, c savoryloft.WindowClose) error {
	body, err := EncodeReport(c, r.Window)
	if err != nil {
		return err
	}
	sendCtx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	err = r.Sink.SendReport(sendCtx, c.Window, body, fence, func() error {
		held, left, ok := r.Holder.Held()
		if !ok || held != fence || left < r.Timeout+leaseMargin {
			return savoryloft.ErrLeaseLost
		}
		return nil
	})
	if err != nil {
		return errors.Annotatef(err, "send usage report of window %d", c.Window)
	}
	r.recordCount++
	_, err = r.Follower.Publish(ctx, savoryloft.Record{
		ID:   fmt.Sprintf("sent-%d-%s-%d-%d", c.Window, r.Instance, fence, r.recordCount),
		Sent: &savoryloft.WindowSent{Window: c.Window},
	})
	return errors.Annotatef(err, "publish that window %d was reported", c.Window)
}

// EncodeReport returns the report of a closed window as JSON. length is the
// duration of the window.
func EncodeReport(c savoryloft.WindowClose, length time.Duration) ([]byte, error) {
	report := savoryloft.UsageReport{Window: c.Window, Seconds: int(length / time.Second)}
	for _, f := range c.Figures {
		report.Figures = append(report.Figures, savoryloft.ReportFigure{
			ClientAccount: f.ClientAccount, Class: f.Class, Requests: f.Requests,
			PromptTokens: f.PromptTokens, OutputTokens: f.OutputTokens, LateRequests: f.LateRequests,
		})
	}
	body, err := json.Marshal(report)
	return body, errors.Annotate(err, "encode report")
}
