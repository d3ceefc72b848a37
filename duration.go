package savoryloft

import (
	"encoding"
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as Go duration text, such as
// "250ms", in settings, notes and records.
type Duration time.Duration

var (
	_ encoding.TextMarshaler   = Duration(0)
	_ encoding.TextUnmarshaler = (*Duration)(nil)
)

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d as Go duration text.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration; write it like 250ms or 1m30s", text)
	}
	*d = Duration(v)
	return nil
}
