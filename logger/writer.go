package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	queuedLines  = 4096                   // Lines that wait to be written; a burst of a second at a busy instance.
	noteInterval = time.Second            // Between lines that tell how many were left out.
	flushLimit   = 500 * time.Millisecond // Longest wait for queued lines at the end of the process.
)

// Writer passes lines on from one goroutine, so that a slow reader never holds
// up the caller. Lines that find the queue full are left out and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never waits.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what is queued and ends the Writer. Nothing may be written
// after it.
func (w *Writer) Close() {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(flushLimit):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	noted := time.Now()
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1)
			continue
		}
		if now := time.Now(); now.Sub(noted) > noteInterval {
			noted = now
			if n := w.dropped.Swap(0); n > 0 {
				fmt.Fprintf(w.out, "time=%s level=INFO msg=\"log lines left out\" count=%d\n", now.Format(time.RFC3339Nano), n)
			}
		}
	}
}
