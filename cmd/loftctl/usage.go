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

const usageShowUsage = `Show prints the figures of the closed windows that the control stream still
keeps, oldest first.

Example:

  loftctl usage show --platform 127.0.0.1:7000`

func usageShowCommand() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:   "show",
		Short: "Print the figures of closed windows",
		Long:  usageShowUsage,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log, err := openPlatform(address)
			if err != nil {
				return err
			}
			closes, err := readCloses(c.Context(), log)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "WINDOW\tACCOUNT\tCLASS\tREQUESTS\tON TARGET\tPROMPT\tOUTPUT\tLATE")
			for _, cl := range closes {
				start := time.Unix(int64(cl.Window), 0).UTC().Format(time.RFC3339)
				for _, f := range cl.Figures {
					fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n", start, f.ClientAccount, f.Class,
						f.Requests, f.OnTarget, f.PromptTokens, f.OutputTokens, f.LateRequests)
				}
			}
			return w.Flush()
		},
	}
	platformFlag(c, &address)
	return c
}

const usageVerifyUsage = `Verify folds the usage stream anew and compares the result with each closed
window, and fails at the first that differs.

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
			log, err := openPlatform(address)
			if err != nil {
				return err
			}
			closes, err := readCloses(c.Context(), log)
			if err != nil {
				return err
			}
			var last *savoryloft.WindowClose
			for i := range closes {
				if err := verifyClose(c.Context(), log, last, closes[i]); err != nil {
					return err
				}
				last = &closes[i]
			}
			fmt.Fprintf(c.OutOrStdout(), "%d windows agree with the usage stream\n", len(closes))
			return nil
		},
	}
	platformFlag(c, &address)
	return c
}

func verifyClose(ctx context.Context, log savoryloft.Log, last *savoryloft.WindowClose, want savoryloft.WindowClose) error {
	t := reporter.NewTally(last)
	for from := want.From; from < want.UpTo; {
		res, err := log.Read(ctx, savoryloft.StreamUsage, from, min(readLimit, want.UpTo-from), 0)
		if err != nil {
			return errors.Annotatef(err, "read usage of window %d", want.Window)
		}
		for _, r := range res.Records {
			t.Add([]byte(r.Data))
			from = r.Offset + 1
		}
	}
	got, err := reporter.EncodeReport(t.Close(want.Window, want.UpTo), time.Minute)
	if err != nil {
		return err
	}
	fixed, err := reporter.EncodeReport(want, time.Minute)
	if err != nil {
		return err
	}
	if string(got) != string(fixed) {
		return errors.Errorf("window %d: the usage stream gives %s, the close has %s", want.Window, got, fixed)
	}
	return nil
}

// readCloses returns the window closes in the control stream that stand.
func readCloses(ctx context.Context, log savoryloft.Log) ([]savoryloft.WindowClose, error) {
	bounds, err := log.Read(ctx, savoryloft.StreamControl, 0, 0, 0)
	if err != nil {
		return nil, errors.Annotate(err, "read the control stream")
	}
	var list []savoryloft.WindowClose
	for from := bounds.Earliest; from < bounds.Next; {
		res, err := log.Read(ctx, savoryloft.StreamControl, from, readLimit, 0)
		if err != nil {
			return nil, errors.Annotate(err, "read the control stream")
		}
		for _, r := range res.Records {
			from = r.Offset + 1
			list = appendClose(list, []byte(r.Data))
		}
	}
	return list, nil
}

// appendClose adds a record's close when it continues the last one, as the
// fold of the control stream does.
func appendClose(list []savoryloft.WindowClose, data []byte) []savoryloft.WindowClose {
	r, err := parser.Record(data)
	if err != nil || r.Close == nil {
		return list
	}
	if n := len(list); n > 0 && (r.Close.Window <= list[n-1].Window || r.Close.From != list[n-1].UpTo) {
		return list
	}
	return append(list, *r.Close)
}
