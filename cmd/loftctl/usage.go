package main

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/parser"
	"savoryloft.example/savoryloft/reporter"
)

func usageCommand() *cobra.Command {
	c := &cobra.Command{Use: "usage", Short: "Show and verify usage windows"}
	c.AddCommand(usageShowCommand(), usageVerifyCommand())
	return c
}

const usageShowUsage = `Show prints the usage figures of the closed windows that the control stream
retains, oldest first.

Example:

  loftctl usage show --platform 127.0.0.1:7000`

func usageShowCommand() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:   "show",
		Short: "Print the usage figures of closed windows",
		Long:  usageShowUsage,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log, err := newPlatformClient(address)
			if err != nil {
				return err
			}
			windows, err := readClosedWindows(c.Context(), log)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "WINDOW\tACCOUNT\tCLASS\tREQUESTS\tON TARGET\tPROMPT\tOUTPUT\tLATE")
			for _, closed := range windows {
				start := time.Unix(int64(closed.Window), 0).UTC().Format(time.RFC3339)
				for _, f := range closed.Figures {
					fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n", start, f.ClientAccount, f.Class,
						f.Requests, f.OnTarget, f.PromptTokens, f.OutputTokens, f.LateRequests)
				}
			}
			return w.Flush()
		},
	}
	addPlatformFlag(c, &address)
	return c
}

const usageVerifyUsage = `Verify recomputes the figures of each closed window from the usage stream and
fails at the first window that differs.

Example:

  loftctl usage verify --platform 127.0.0.1:7000`

func usageVerifyCommand() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:   "verify",
		Short: "Compare closed windows with the usage stream",
		Long:  usageVerifyUsage,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log, err := newPlatformClient(address)
			if err != nil {
				return err
			}
			windows, err := readClosedWindows(c.Context(), log)
			if err != nil {
				return err
			}
			var previous *savoryloft.WindowClose
			for i := range windows {
				if err := verifyWindow(c.Context(), log, previous, windows[i]); err != nil {
					return err
				}
				previous = &windows[i]
			}
			fmt.Fprintf(c.OutOrStdout(), "%d windows match the usage stream\n", len(windows))
			return nil
		},
	}
	addPlatformFlag(c, &address)
	return c
}

// verifyWindow recomputes a window from the usage stream and compares the result
// with the recorded close. The previous window is nil for the first one.
func verifyWindow(ctx context.Context, log savoryloft.Log, previous *savoryloft.WindowClose, closed savoryloft.WindowClose) error {
	t := reporter.NewTally(previous)
	for from := closed.From; from < closed.UpTo; {
		res, err := log.Read(ctx, savoryloft.StreamUsage, from, min(maxRecordsPerRead, closed.UpTo-from), 0)
		if err != nil {
			return errors.Annotatef(err, "read usage of window %d", closed.Window)
		}
		for _, r := range res.Records {
			t.Add([]byte(r.Data))
			from = r.Offset + 1
		}
	}
	computed, err := reporter.EncodeReport(t.Close(closed.Window, closed.UpTo), time.Minute)
	if err != nil {
		return err
	}
	recorded, err := reporter.EncodeReport(closed, time.Minute)
	if err != nil {
		return err
	}
	if string(computed) != string(recorded) {
		return errors.Errorf("window %d: the usage stream yields %s, the closed window has %s", closed.Window, computed, recorded)
	}
	return nil
}

// readClosedWindows returns the closed windows that the control stream retains.
func readClosedWindows(ctx context.Context, log savoryloft.Log) ([]savoryloft.WindowClose, error) {
	bounds, err := log.Read(ctx, savoryloft.StreamControl, 0, 0, 0)
	if err != nil {
		return nil, errors.Annotate(err, "read the control stream")
	}
	var windows []savoryloft.WindowClose
	for from := bounds.Earliest; from < bounds.Next; {
		res, err := log.Read(ctx, savoryloft.StreamControl, from, maxRecordsPerRead, 0)
		if err != nil {
			return nil, errors.Annotate(err, "read the control stream")
		}
		for _, r := range res.Records {
			from = r.Offset + 1
			windows = appendClosedWindow(windows, []byte(r.Data))
		}
	}
	return windows, nil
}

// appendClosedWindow appends the window that a record closes. It ignores a window
// that does not continue the last one, as package folder does.
func appendClosedWindow(windows []savoryloft.WindowClose, data []byte) []savoryloft.WindowClose {
	r, err := parser.Record(data)
	if err != nil || r.Close == nil {
		return windows
	}
	if n := len(windows); n > 0 && (r.Close.Window <= windows[n-1].Window || r.Close.From != windows[n-1].UpTo) {
		return windows
	}
	return append(windows, *r.Close)
}
