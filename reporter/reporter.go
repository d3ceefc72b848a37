// Package reporter closes usage windows and sends their reports while this
// instance holds the lease. A window's figures are a function of the usage
// stream up to an offset, and the first close of a window in log order stands,
// so a window is never reported twice with different figures.
//
// # Usage
//
//	r := &reporter.Reporter{Log: client, Sink: client, Follower: f, Holder: elector,
//		Window: time.Minute, Grace: 5 * time.Second}
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
	interval     = 250 * time.Millisecond
	readLimit    = 1000
	reportMargin = 250 * time.Millisecond
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
	Grace    time.Duration // Time after a window's end in which its usage may still come in.
	Timeout  time.Duration // Longest wait for the answer to a report.
	Logger   logr.Logger

	counter int
}

// Run works while the lease is held, until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			if err := r.Step(ctx); err != nil {
				r.Logger.V(1).Info("usage window not reported, will repeat", "step", savoryloft.StepReport, "error", err.Error())
			}
		}
	}
}

// Step sends the oldest report that is due, or closes the next window.
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

// nextWindow returns the start of the next window to close.
func (r *Reporter) nextWindow(last *savoryloft.WindowClose, now time.Time) (window int, due bool) {
	seconds := int(r.Window / time.Second)
	ended := recorder.WindowAt(now.Add(-r.Grace), r.Window) - seconds
	if last == nil {
		return ended, true
	}
	next := last.Window + seconds
	return next, next <= ended
}

func (r *Reporter) close(ctx context.Context, fence int, last *savoryloft.WindowClose, window int) error {
	c, err := r.figures(ctx, last, window)
	if err != nil {
		return errors.Annotatef(err, "figures of window %d", window)
	}
	if held, _, ok := r.Holder.Held(); !ok || held != fence {
		return errors.Trace(savoryloft.ErrLeaseLost)
	}
	r.counter++
	_, err = r.Follower.Publish(ctx, savoryloft.Record{
		ID: fmt.Sprintf("close-%d-%s-%d-%d", window, r.Instance, fence, r.counter), Close: &c,
	})
	return errors.Annotatef(err, "close window %d", window)
}

// figures reads the usage stream from the last closed window to its end and
// folds it into the window's close.
func (r *Reporter) figures(ctx context.Context, last *savoryloft.WindowClose, window int) (savoryloft.WindowClose, error) {
	t := NewTally(last)
	next := t.From()
	for {
		res, err := r.Log.Read(ctx, savoryloft.StreamUsage, next, readLimit, 0)
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

func (r *Reporter) skipExpired(ctx context.Context, next int) (int, error) {
	res, err := r.Log.Read(ctx, savoryloft.StreamUsage, next, 0, 0)
	if err != nil {
		return next, errors.Trace(err)
	}
	r.Logger.Error(savoryloft.ErrExpired, "usage records were lost before they were counted",
		"step", savoryloft.StepReport, "from", next, "to", res.Earliest)
	return res.Earliest, nil
}

// send sends a closed window's report and records the acknowledgement. The
// body is the same on every try, whoever sends it.
func (r *Reporter) send(ctx context.Context, fence int, c savoryloft.WindowClose) error {
	body, err := Body(c, r.Window)
	if err != nil {
		return err
	}
	sendCtx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	err = r.Sink.SendReport(sendCtx, c.Window, body, fence, func() error {
		held, left, ok := r.Holder.Held()
		if !ok || held != fence || left < r.Timeout+reportMargin {
			return savoryloft.ErrLeaseLost
		}
		return nil
	})
	if err != nil {
		return errors.Annotatef(err, "send report of window %d", c.Window)
	}
	r.counter++
	_, err = r.Follower.Publish(ctx, savoryloft.Record{
		ID:   fmt.Sprintf("sent-%d-%s-%d-%d", c.Window, r.Instance, fence, r.counter),
		Sent: &savoryloft.WindowSent{Window: c.Window},
	})
	return errors.Annotatef(err, "record report of window %d", c.Window)
}

// Body returns the bytes that are sent for a closed window.
func Body(c savoryloft.WindowClose, length time.Duration) ([]byte, error) {
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
