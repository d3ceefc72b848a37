// Package snapshotter appends snapshots of the control state to the control stream
// while this instance holds the lease. Instances that start after the first
// records of the stream have expired begin with a snapshot.
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
	checkInterval             = time.Second
	defaultRecordsPerSnapshot = 500              // Records between consecutive snapshots.
	maxSnapshotInterval       = 10 * time.Minute // Between consecutive snapshots while records are appended.
)

// Snapshotter appends snapshots. Set the exported fields before Run.
type Snapshotter struct {
	Follower *follower.Follower
	Holder   savoryloft.Holder
	Instance string
	Records  int // Records between consecutive snapshots; 0 means 500.
	Logger   logr.Logger

	lastSnapshot time.Time
}

// Run appends snapshots while the lease is held, until ctx is done. It returns nil.
func (s *Snapshotter) Run(ctx context.Context) error {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	s.lastSnapshot = time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			s.snapshotIfDue(ctx)
		}
	}
}

// snapshotIfDue appends a snapshot if this instance holds the lease and enough
// records or time have passed since the last one. One record alone triggers no
// snapshot, however much time has passed.
func (s *Snapshotter) snapshotIfDue(ctx context.Context) {
	if _, _, ok := s.Holder.Held(); !ok {
		return
	}
	recordsPerSnapshot := s.Records
	if recordsPerSnapshot == 0 {
		recordsPerSnapshot = defaultRecordsPerSnapshot
	}
	since := s.Follower.RecordsSinceSnapshot()
	if since < recordsPerSnapshot && (since <= 1 || time.Since(s.lastSnapshot) < maxSnapshotInterval) {
		return
	}
	snap := s.Follower.Snapshot()
	publishCtx, cancel := context.WithTimeout(ctx, maxSnapshotInterval)
	defer cancel()
	_, err := s.Follower.Publish(publishCtx, savoryloft.Record{
		ID: fmt.Sprintf("snapshot-%s-%d", s.Instance, snap.UpTo), Snapshot: &snap,
	})
	if err != nil {
		s.Logger.Info("cannot append snapshot; retrying", "step", savoryloft.StepFollow, "error", err.Error())
		return
	}
	s.lastSnapshot = time.Now()
}
