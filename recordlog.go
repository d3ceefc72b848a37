package savoryloft

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Topic is a topic of the platform's record log.
type Topic int

// Topics.
const (
	TopicConfiguration Topic = iota // Keyed; the newest configuration.
	TopicRegistry                   // Keyed; upstreams by ID.
	TopicMembers                    // Keyed; instances of this deployment by name.
	TopicDuties                     // Lease and usage windows, see DutyRecord.
)

// String returns the topic for logs.
func (t Topic) String() string {
	names := [...]string{"Configuration", "Registry", "Members", "Duties"}
	if t < 0 || int(t) >= len(names) {
		return fmt.Sprintf("Topic(%d)", int(t))
	}
	return names[t]
}

// KeyedRecord is a record of a topic. Value is nil when the key was deleted.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset int
}

// RecordPage is a range of the records of a topic.
type RecordPage struct {
	Records []KeyedRecord // In topics without keys, Key is empty.
	Next    int           // Offset at which the next read starts.
	End     int           // Offset of the next record to be appended.
}

// RecordLog is the platform's log of topics with conditional appends.
type RecordLog interface {
	// Read returns records, starting at the offset from. It waits up to wait for
	// the first one. When the records at from are no longer retained, it returns
	// ErrExpired and a page whose Next is the first retained offset.
	Read(ctx context.Context, topic Topic, from int, wait time.Duration) (RecordPage, error)
	// Newest returns the newest record of each key and the offset at which the
	// next read starts.
	Newest(ctx context.Context, topic Topic) (RecordPage, error)
	// AppendAt appends a record if the topic ends at the offset at. It returns
	// ErrConflict when the topic ends at another offset, ErrUnavailable when
	// nothing was appended, and any other error when the record may have been
	// appended or may still be.
	AppendAt(ctx context.Context, topic Topic, at int, value []byte) error
	// Put appends a record of a keyed topic.
	Put(ctx context.Context, topic Topic, key string, value []byte) error
}

// ErrConflict means that a topic does not end at the offset of a conditional
// append.
const ErrConflict = errors.ConstError("topic does not end at the given offset")

// RecordDecoder decodes the values of keyed topics.
type RecordDecoder interface {
	Configuration(value []byte) (Configuration, error)
	Upstream(id string, value []byte) (RegisteredUpstream, error)
	// ConfigurationKey returns the key of the configuration in its topic.
	ConfigurationKey() string
}

// ScaleOrder requests a number of upstreams of a service in a failure domain.
type ScaleOrder struct {
	Service       string
	FailureDomain string
	Count         int
	Reclaimable   bool
}

// DutyTarget receives orders and usage reports. Both return ErrFenced when the
// target has seen a higher fencing token, ErrUnavailable when the call had no
// effect and any other error when it may have had one.
type DutyTarget interface {
	PlaceScaleOrder(ctx context.Context, fence int, o ScaleOrder) error
	ReportUsage(ctx context.Context, fence int, window int, counts map[string]int) error
}
