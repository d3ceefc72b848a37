package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	queueCapacity      = 4096                   // Lines; enough for a one-second burst at a busy instance.
	dropReportInterval = time.Second            // Minimum time between two reports of dropped lines.
	closeTimeout       = 500 * time.Millisecond // Maximum time that Close waits for queued lines.
)

// Writer writes lines to an underlying writer asynchronously, so that slow output
// never blocks the caller. Lines are dropped when the queue is full or a write
// fails. Their number is logged with a later line, at most once a second.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a Writer that writes to out from a goroutine that ends on
// Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of line, or drops line if the queue is full. It never blocks
// and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and ends the goroutine. It returns after 500 ms
// even if lines are left. Write must not be called after Close.
func (w *Writer) Close() {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	reportedAt := time.Now()
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1)
			continue
		}
		if now := time.Now(); now.Sub(reportedAt) > dropReportInterval {
			reportedAt = now
			if n := w.dropped.Swap(0); n > 0 {
				fmt.Fprintf(w.out, "time=%s level=INFO msg=\"log lines left out\" count=%d\n", now.Format(time.RFC3339Nano), n)
			}
		}
	}
}
