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
	TopicOrigins                    // Keyed; where streams began, see package tracker.
)

// String returns the topic for logs.
func (t Topic) String() string {
	names := [...]string{"Configuration", "Registry", "Members", "Duties", "Origins"}
	if t < 0 || int(t) >= len(names) {
		return fmt.Sprintf("Topic(%d)", int(t))
	}
	return names[t]
}

// eraShift is the number of bits of a position that hold the offset.
const eraShift = 40

// Position combines an era of the log and an offset. After the log has been
// restored from an older copy, which starts a new era, it gives out offsets again.
// Positions of a later era are greater than those of an earlier one. Up to 2^12
// eras, a position fits into the 53 bits that JSON numbers hold exactly.
func Position(era, offset int) int { return era<<eraShift + offset }

// SplitPosition returns the era and the offset of a position.
func SplitPosition(position int) (era, offset int) {
	era = position >> eraShift
	return era, position - era<<eraShift
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
	Era     int           // Era of the log that responded; 0 when it sent none.
}

// RecordLog is the platform's log of topics with conditional appends. When it is
// restored from an older copy, it loses the records appended since, gives out their
// offsets again, and its era rises by one. At other times it loses no record that
// it has acknowledged.
type RecordLog interface {
	// Read returns records, starting at the offset from. It waits up to wait for
	// the first one. When there is no record at from, because it is no longer
	// retained or lies beyond the end of a restored topic, it returns ErrExpired and a
	// page whose Next is the first retained offset.
	Read(ctx context.Context, topic Topic, from int, wait time.Duration) (RecordPage, error)
	// Newest returns the newest record of each key and the offset at which the
	// next read starts.
	Newest(ctx context.Context, topic Topic) (RecordPage, error)
	// AppendAt appends a record if the topic ends at the offset at. It returns
	// ErrConflict when the topic ends at another offset, ErrUnavailable when
	// nothing was appended, and any other error when the record may have been
	// appended or may still be. era is that of the log that answered, also with an
	// error; 0 when it sent none.
	AppendAt(ctx context.Context, topic Topic, at int, value []byte) (era int, err error)
	// Put appends a record of a keyed topic. It returns the era of the log that
	// responded; 0 when it sent none.
	Put(ctx context.Context, topic Topic, key string, value []byte) (era int, err error)
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
	// EvacuatedDomain returns the failure domain whose evacuation a key of the
	// configuration's topic stands for; ok is false for other keys.
	EvacuatedDomain(key string) (domain string, ok bool)
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
