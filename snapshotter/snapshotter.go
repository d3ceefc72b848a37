// Package snapshotter appends snapshots of the control stream's state while
// this instance holds the lease, so that an instance can start after the first
// records have expired.
//
// # Usage
//
//	s := &snapshotter.Snapshotter{Follower: f, Holder: elector, Instance: "entry-1"}
//	go s.Run(ctx)
package snapshotter

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/follower"
)

const (
	interval        = time.Second
	defaultRecords  = 500              // Records between two snapshots.
	defaultInterval = 10 * time.Minute // Longest time between two snapshots while records come.
)

// Snapshotter appends snapshots. Set the exported fields before Run.
type Snapshotter struct {
	Follower *follower.Follower
	Holder   savoryloft.Holder
	Instance string
	Records  int // Records between two snapshots; 500 when zero.
	Logger   logr.Logger

	last time.Time
}

// Run appends snapshots while the lease is held, until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	s.last = time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			s.step(ctx)
		}
	}
}

func (s *Snapshotter) step(ctx context.Context) {
	if _, _, ok := s.Holder.Held(); !ok {
		return
	}
	every := s.Records
	if every == 0 {
		every = defaultRecords
	}
	since := s.Follower.SinceSnapshot()
	if since < every && (since <= 1 || time.Since(s.last) < defaultInterval) {
		return
	}
	snap := s.Follower.Snapshot()
	publishCtx, cancel := context.WithTimeout(ctx, defaultInterval)
	defer cancel()
	_, err := s.Follower.Publish(publishCtx, savoryloft.Record{
		ID: fmt.Sprintf("snapshot-%s-%d", s.Instance, snap.UpTo), Snapshot: &snap,
	})
	if err != nil {
		s.Logger.Info("snapshot not appended", "step", savoryloft.StepFollow, "error", err.Error())
		return
	}
	s.last = time.Now()
}
