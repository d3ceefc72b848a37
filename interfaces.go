package savoryloft

import (
	"context"
	"time"
)

// Streams of the platform's log.
const (
	StreamControl = "control" // Release notes, lease, orders, window closes, snapshots.
	StreamUsage   = "usage"   // Usage deltas.
	StreamJournal = "journal" // Calls with an Idempotency-Key.
)

// Log is the platform's append-only log service.
type Log interface {
	// Append appends records atomically and returns the offset of the first. After
	// ErrUnavailable nothing was appended; after any other error the records may
	// have been.
	Append(ctx context.Context, stream string, records ...[]byte) (int, error)
	// Read returns up to limit records, starting at the offset from. It waits up to
	// wait for the first one. It returns ErrExpired when from is below the offset of
	// the earliest retained record.
	Read(ctx context.Context, stream string, from, limit int, wait time.Duration) (ReadResult, error)
}

// Platform is the platform's interface for its list of instances and for the
// orders to its failure domains.
type Platform interface {
	// Instances returns the platform's list of instances, which may be out of date.
	Instances(ctx context.Context) ([]ListedInstance, error)
	// PlaceOrder opens a connection, calls guard and, when guard returns nil,
	// writes the order once. It returns ErrUnavailable when nothing was sent and
	// ErrUnknownOutcome when the answer was lost.
	PlaceOrder(ctx context.Context, order Order, guard func() error) (OrderResult, error)
	// FindOrder returns the result of an order. It returns ErrNotFound when the
	// order has not taken effect.
	FindOrder(ctx context.Context, domain, id string) (OrderResult, error)
}

// UsageSink is the platform's usage-report interface.
type UsageSink interface {
	// SendReport opens a connection, calls guard and, when guard returns nil,
	// sends the body for a window.
	SendReport(ctx context.Context, window int, body []byte, fence int, guard func() error) error
}

// Holder reports whether this instance holds the lease.
type Holder interface {
	// Held returns the fencing number and the time left on the lease; ok is false
	// when the lease is not held.
	Held() (fence int, left time.Duration, ok bool)
}

// Room is the capacity that the upstreams of a service have for one request, where the
// upstreams' slots are not the admitter's to assign.
type Room interface {
	// Take takes room for the request to start now, or reports why there is none. last
	// is set if the request is refused otherwise.
	Take(last bool) RoomReply
}

// RoomReply is the result of Room.Take.
type RoomReply struct {
	Taken    bool          // The request must start.
	Hopeless bool          // The request can not meet its objective, however long it waits.
	Wait     time.Duration // Time until there may be room, if no other request takes it.
}
