package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/connector"
	"savoryloft.example/savoryloft/folder"
	"savoryloft.example/savoryloft/parser"
)

const (
	platformVariable  = "SAVORYLOFT_PLATFORM"
	maxRecordsPerRead = 1000
	publishTimeout    = 30 * time.Second
	publishRetryDelay = 200 * time.Millisecond
)

// addPlatformFlag adds the flag for the address of the platform's service.
func addPlatformFlag(c *cobra.Command, address *string) {
	c.Flags().StringVar(address, "platform", os.Getenv(platformVariable),
		"address of the platform's service (or set "+platformVariable+")")
}

// newPlatformClient returns a client of the platform's service, or an error when
// the address is empty.
func newPlatformClient(address string) (*connector.Client, error) {
	if address == "" {
		return nil, errors.Errorf("no address of the platform's service; use --platform or set %s", platformVariable)
	}
	return &connector.Client{Address: address}, nil
}

// readControlState applies the control stream up to its current end and returns
// the resulting state. It starts from the latest snapshot when the first records
// have expired.
func readControlState(ctx context.Context, log savoryloft.Log) (*folder.State, error) {
	state := folder.New()
	from := 0
	for {
		res, err := log.Read(ctx, savoryloft.StreamControl, from, maxRecordsPerRead, 0)
		if errors.Is(err, savoryloft.ErrExpired) {
			state, err = readLatestSnapshot(ctx, log)
			if err == nil {
				from = state.Offset + 1
				continue
			}
		}
		if err != nil {
			return nil, errors.Annotate(err, "read the control stream")
		}
		for _, r := range res.Records {
			state.Apply(r.Offset, []byte(r.Data))
			from = r.Offset + 1
		}
		if from >= res.Next || len(res.Records) == 0 {
			return state, nil
		}
	}
}

// readLatestSnapshot returns the state of the latest valid snapshot in the control
// stream.
func readLatestSnapshot(ctx context.Context, log savoryloft.Log) (*folder.State, error) {
	bounds, err := log.Read(ctx, savoryloft.StreamControl, 0, 0, 0)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var last *folder.State
	for from := bounds.Earliest; from < bounds.Next; {
		res, err := log.Read(ctx, savoryloft.StreamControl, from, maxRecordsPerRead, 0)
		if err != nil {
			return nil, errors.Trace(err)
		}
		for _, r := range res.Records {
			from = r.Offset + 1
			record, err := parser.Record([]byte(r.Data))
			if err != nil || record.Snapshot == nil {
				continue
			}
			if s, err := folder.Restore(*record.Snapshot); err == nil {
				last = s
			}
		}
	}
	if last == nil {
		return nil, errors.New("the first records of the control stream have expired and it contains no valid snapshot")
	}
	return last, nil
}

// publishNote appends a note and repeats the append until the control stream
// contains the verdict. The note's ID makes a repeated append idempotent, so it is
// safe after a lost response. It gives up after publishTimeout.
func publishNote(ctx context.Context, log savoryloft.Log, n savoryloft.Note) (savoryloft.AppliedNote, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	data, err := json.Marshal(savoryloft.Record{ID: "note-" + n.ID, Note: &n})
	if err != nil {
		return savoryloft.AppliedNote{}, errors.Annotate(err, "encode note")
	}
	for {
		_, err := log.Append(ctx, savoryloft.StreamControl, data)
		if state, readErr := readControlState(ctx, log); readErr == nil {
			if v, ok := state.Verdict(n.ID); ok {
				return v, nil
			}
		}
		select {
		case <-ctx.Done():
			return savoryloft.AppliedNote{}, errors.Annotatef(err, "publish note %q; it is safe to run the same command again", n.ID)
		case <-time.After(publishRetryDelay):
		}
	}
}
