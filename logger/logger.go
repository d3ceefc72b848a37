// Package logger writes structured logs, one line of key=value pairs for each
// event.
//
// # Usage
//
//	log := logger.New(os.Stderr, 0).WithValues("instance", "entry-1")
//	log.Info("lease acquired", "step", savoryloft.StepLease, "fence", 17)
package logger

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes events with a logr level of at most verbosity
// to w.
func New(w io.Writer, verbosity int) logr.Logger {
	h := slog.NewTextHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	return logr.FromSlogHandler(h)
}
