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
	platformVariable = "SAVORYLOFT_PLATFORM"
	readLimit        = 1000
	publishTimeout   = 30 * time.Second
	repeatDelay      = 200 * time.Millisecond
)

// platformFlag adds the flag for the platform's address.
func platformFlag(c *cobra.Command, address *string) {
	c.Flags().StringVar(address, "platform", os.Getenv(platformVariable),
		"address of the platform's service (or set "+platformVariable+")")
}

// openPlatform returns a client of the platform's service.
func openPlatform(address string) (*connector.Client, error) {
	if address == "" {
		return nil, errors.Errorf("name the platform's service with --platform or %s", platformVariable)
	}
	return &connector.Client{Address: address}, nil
}

// readControl folds the control stream to its present end.
func readControl(ctx context.Context, log savoryloft.Log) (*folder.State, error) {
	state := folder.New()
	from := 0
	for {
		res, err := log.Read(ctx, savoryloft.StreamControl, from, readLimit, 0)
		if errors.Is(err, savoryloft.ErrExpired) {
			state, err = readSnapshot(ctx, log)
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

// readSnapshot returns the state of the last snapshot that the log keeps.
func readSnapshot(ctx context.Context, log savoryloft.Log) (*folder.State, error) {
	bounds, err := log.Read(ctx, savoryloft.StreamControl, 0, 0, 0)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var last *folder.State
	for from := bounds.Earliest; from < bounds.Next; {
		res, err := log.Read(ctx, savoryloft.StreamControl, from, readLimit, 0)
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
		return nil, errors.New("the control stream has expired in part and keeps no snapshot")
	}
	return last, nil
}

// publishNote appends a note until its verdict is in the log. A repeat after a
// lost answer is recognised by the note's ID.
func publishNote(ctx context.Context, log savoryloft.Log, n savoryloft.Note) (savoryloft.AppliedNote, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	data, err := json.Marshal(savoryloft.Record{ID: "note-" + n.ID, Note: &n})
	if err != nil {
		return savoryloft.AppliedNote{}, errors.Annotate(err, "encode note")
	}
	for {
		_, err := log.Append(ctx, savoryloft.StreamControl, data)
		if state, readErr := readControl(ctx, log); readErr == nil {
			if v, ok := state.Verdict(n.ID); ok {
				return v, nil
			}
		}
		select {
		case <-ctx.Done():
			return savoryloft.AppliedNote{}, errors.Annotatef(err, "publish note %q; run the same command again, a repeat is harmless", n.ID)
		case <-time.After(repeatDelay):
		}
	}
}
