package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/parser"
)

const noteUsage = `Release notes change the configuration. A note lists what is added, changed and
withdrawn; it is accepted whole or rejected whole, and all instances reach the
same verdict.

Example of a note:

  {
    "ID": "2026-12-04-quotes", // Repeating an ID changes nothing.
    "Base": -1,                // -1: the log's present end. Otherwise the offset last seen.
    "Changed": {"Classes": [{"Name": "quotes", "Tier": 1, "FirstToken": "800ms", "FloorPercent": 2}]},
    "Withdrawn": {"Keys": ["tsagaan-1"]}
  }`

func noteCommand() *cobra.Command {
	c := &cobra.Command{Use: "note", Short: "Check, publish and list release notes", Long: noteUsage}
	c.AddCommand(noteCheckCommand(), notePublishCommand(), noteListCommand(), noteShowCommand())
	return c
}

const noteCheckUsage = `Check parses a note and tells whether it would be accepted now.

Example:

  loftctl note check --platform 127.0.0.1:7000 quotes.json`

func noteCheckCommand() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Tell whether a note would be accepted now",
		Long:  noteCheckUsage,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			n, err := readNote(args[0])
			if err != nil {
				return err
			}
			log, err := openPlatform(address)
			if err != nil {
				return err
			}
			state, err := readControl(c.Context(), log)
			if err != nil {
				return err
			}
			if n.Base < 0 {
				n.Base = state.Offset
			}
			if reason := state.Check(n); reason != "" {
				return errors.Errorf("note %q would be rejected: %s", n.ID, reason)
			}
			fmt.Fprintf(c.OutOrStdout(), "note %q would be accepted on base %d\n", n.ID, n.Base)
			return nil
		},
	}
	platformFlag(c, &address)
	return c
}

const notePublishUsage = `Publish appends a note to the platform's log, waits for the verdict and prints
it. Running it again with the same file after a lost answer is harmless.

With --wait it also waits until each instance named has the note in force, and
fails when one has not after the time given.

Example:

  loftctl note publish --platform 127.0.0.1:7000 \
    --wait 127.0.0.1:8101,127.0.0.1:8102 quotes.json`

func notePublishCommand() *cobra.Command {
	var address string
	var wait []string
	var limit time.Duration
	c := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a note and print its verdict",
		Long:  notePublishUsage,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			n, err := readNote(args[0])
			if err != nil {
				return err
			}
			log, err := openPlatform(address)
			if err != nil {
				return err
			}
			return publishAndReport(c, log, n, wait, limit)
		},
	}
	platformFlag(c, &address)
	waitFlags(c, &wait, &limit)
	return c
}

// waitFlags adds the flags for waiting until a note is in force.
func waitFlags(c *cobra.Command, wait *[]string, limit *time.Duration) {
	c.Flags().StringSliceVar(wait, "wait", nil, "operators' addresses of instances to wait for")
	c.Flags().DurationVar(limit, "limit", 4*time.Second, "longest wait for the note to be in force")
}

// publishAndReport publishes a note on the log's present end unless it names a
// base, prints the verdict and waits for instances.
func publishAndReport(c *cobra.Command, log savoryloft.Log, n savoryloft.Note, wait []string, limit time.Duration) error {
	if n.Base < 0 {
		state, err := readControl(c.Context(), log)
		if err != nil {
			return err
		}
		n.Base = state.Offset
	}
	v, err := publishNote(c.Context(), log, n)
	if err != nil {
		return err
	}
	if v.Rejected != "" {
		return errors.Errorf("note %q at offset %d was rejected: %s", v.ID, v.Offset, v.Rejected)
	}
	fmt.Fprintf(c.OutOrStdout(), "note %q accepted at offset %d\n", v.ID, v.Offset)
	if len(wait) == 0 {
		return nil
	}
	took, err := awaitOffset(wait, v.Offset, limit)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "in force on %d instances after %s\n", len(wait), took.Round(time.Millisecond))
	return nil
}

const noteListUsage = `List prints the verdicts on the notes that the log still tells of.

Example:

  loftctl note list --platform 127.0.0.1:7000`

func noteListCommand() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:   "list",
		Short: "List notes and their verdicts",
		Long:  noteListUsage,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log, err := openPlatform(address)
			if err != nil {
				return err
			}
			state, err := readControl(c.Context(), log)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "OFFSET\tNOTE\tOPERATOR\tVERDICT")
			for _, v := range state.Notes() {
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", v.Offset, v.ID, v.Operator, verdictText(v))
			}
			return w.Flush()
		},
	}
	platformFlag(c, &address)
	return c
}

const noteShowUsage = `Show prints the verdict on one note.

Example:

  loftctl note show --platform 127.0.0.1:7000 2026-12-04-quotes`

func noteShowCommand() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:   "show ID",
		Short: "Print the verdict on one note",
		Long:  noteShowUsage,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			log, err := openPlatform(address)
			if err != nil {
				return err
			}
			state, err := readControl(c.Context(), log)
			if err != nil {
				return err
			}
			v, ok := state.Verdict(args[0])
			if !ok {
				return errors.Errorf("the log tells of no note %q", args[0])
			}
			fmt.Fprintf(c.OutOrStdout(), "note %q at offset %d: %s\n", v.ID, v.Offset, verdictText(v))
			return nil
		},
	}
	platformFlag(c, &address)
	return c
}

func verdictText(v savoryloft.AppliedNote) string {
	if v.Rejected != "" {
		return "rejected: " + v.Rejected
	}
	return "accepted"
}

func readNote(file string) (savoryloft.Note, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return savoryloft.Note{}, errors.Annotate(err, "read note")
	}
	n, err := parser.Note(file, data)
	if n.Operator == "" {
		n.Operator = os.Getenv("USER")
	}
	return n, err
}
