// Package logger writes log events as one line of key=value pairs each.
//
// # Usage
//
//	log := logger.New(os.Stderr, 0).WithValues("instance", "entry-1")
//	log.Info("lease taken", "step", savoryloft.StepLease, "fence", 17)
package logger

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes events up to a logr level.
func New(w io.Writer, verbosity int) logr.Logger {
	h := slog.NewTextHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	return logr.FromSlogHandler(h)
}
