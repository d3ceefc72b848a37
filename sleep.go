package savoryloft

import (
	"context"
	"time"
)

// Sleep blocks until d has passed or ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
