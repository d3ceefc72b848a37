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

const noteUsage = `Release notes change the configuration. A note lists the entities that are added,
changed and withdrawn. It is accepted or rejected as a whole, and all instances
reach the same verdict.

Example of a note:

  {
    "ID": "2026-12-04-quotes", // Publishing the same ID again has no effect.
    "Base": -1,                // Offset that the changes are based on; -1 for the end of the log.
    "Changed": {"Classes": [{"Name": "quotes", "Tier": 1, "FirstToken": "800ms", "FloorPercent": 2}]},
    "Withdrawn": {"Keys": ["tsagaan-1"]}
  }`

func noteCommand() *cobra.Command {
	c := &cobra.Command{Use: "note", Short: "Check, publish and list release notes", Long: noteUsage}
	c.AddCommand(noteCheckCommand(), notePublishCommand(), noteListCommand(), noteShowCommand())
	return c
}

const noteCheckUsage = `Check parses a note and reports whether it would be accepted now.

Example:

  loftctl note check --platform 127.0.0.1:7000 quotes.json`

func noteCheckCommand() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Check whether a note would be accepted now",
		Long:  noteCheckUsage,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			n, err := readNote(args[0])
			if err != nil {
				return err
			}
			log, err := newPlatformClient(address)
			if err != nil {
				return err
			}
			state, err := readControlState(c.Context(), log)
			if err != nil {
				return err
			}
			if n.Base < 0 {
				n.Base = state.Offset
			}
			if reason := state.Check(n); reason != "" {
				return errors.Errorf("note %q would be rejected: %s", n.ID, reason)
			}
			fmt.Fprintf(c.OutOrStdout(), "note %q would be accepted with base %d\n", n.ID, n.Base)
			return nil
		},
	}
	addPlatformFlag(c, &address)
	return c
}

const notePublishUsage = `Publish appends a note to the platform's log, waits for the verdict and prints
it. After a lost response it is safe to run the command again with the same file.

With --wait it also waits until the given instances have applied the note, and
fails if one of them has not applied it within --limit.

Example:

  loftctl note publish --platform 127.0.0.1:7000 \
    --wait 127.0.0.1:8101,127.0.0.1:8102 quotes.json`

func notePublishCommand() *cobra.Command {
	var address string
	var wait []string
	var timeout time.Duration
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
			log, err := newPlatformClient(address)
			if err != nil {
				return err
			}
			return publishAndWait(c, log, n, wait, timeout)
		},
	}
	addPlatformFlag(c, &address)
	addWaitFlags(c, &wait, &timeout)
	return c
}

// addWaitFlags adds the flags for waiting until instances have applied a note.
func addWaitFlags(c *cobra.Command, wait *[]string, timeout *time.Duration) {
	c.Flags().StringSliceVar(wait, "wait", nil, "addresses for operators (Listen.Operators) of the instances to wait for")
	c.Flags().DurationVar(timeout, "limit", 4*time.Second, "maximum time to wait until the instances have applied the note")
}

// publishAndWait publishes a note, prints the verdict and waits until the given
// instances have applied it. A negative base is replaced by the current end of the
// log.
func publishAndWait(c *cobra.Command, log savoryloft.Log, n savoryloft.Note, wait []string, timeout time.Duration) error {
	if n.Base < 0 {
		state, err := readControlState(c.Context(), log)
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
	elapsed, err := awaitOffset(wait, v.Offset, timeout)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "applied by %d instances after %s\n", len(wait), elapsed.Round(time.Millisecond))
	return nil
}

const noteListUsage = `List prints the retained verdicts on notes in the order of the log.

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
			log, err := newPlatformClient(address)
			if err != nil {
				return err
			}
			state, err := readControlState(c.Context(), log)
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
	addPlatformFlag(c, &address)
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
			log, err := newPlatformClient(address)
			if err != nil {
				return err
			}
			state, err := readControlState(c.Context(), log)
			if err != nil {
				return err
			}
			v, ok := state.Verdict(args[0])
			if !ok {
				return errors.Errorf("no verdict on note %q in the log", args[0])
			}
			fmt.Fprintf(c.OutOrStdout(), "note %q at offset %d: %s\n", v.ID, v.Offset, verdictText(v))
			return nil
		},
	}
	addPlatformFlag(c, &address)
	return c
}

func verdictText(v savoryloft.AppliedNote) string {
	if v.Rejected != "" {
		return "rejected: " + v.Rejected
	}
	return "accepted"
}

// readNote parses a note file. The operator defaults to the current user.
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
