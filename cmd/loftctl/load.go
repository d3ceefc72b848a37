package main

import (
	"os"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"savoryloft.example/savoryloft/loader"
	"savoryloft.example/savoryloft/parser"
)

const loadUsage = `Load puts load on entry instances as a plan says, checks every answer and prints
what callers saw. It fails when an answer was wrong, or lost without an error.

Columns: ON TARGET is the part of the requests sent that were answered within
the flow's targets. REFUSED counts refusals that say "not run", KEY those for a
key that is not in force, UNKNOWN answers that say the outcome is unknown, CUT
streams that ended in an error event, WRONG and LOST broken promises.

Example of a plan:

  {
    "Duration": "10s",
    "Flows": [
      {"Name": "quotes", "Rate": 20, "Path": "/v1/chat/completions", "Model": "quotes",
       "Stream": true, "FirstToken": "390ms", "BetweenTokens": "67ms"},
      {"Name": "bookings", "Rate": 5, "Path": "/bookings", "Keyed": true, "FirstToken": "200ms"}
    ]
  }

Example:

  loftctl load --targets 127.0.0.1:8001,127.0.0.1:8002 --key KEY plan.json`

func loadCommand() *cobra.Command {
	var targets []string
	var key string
	var refusedOnly bool
	c := &cobra.Command{
		Use:   "load FILE",
		Short: "Put load on entry instances and measure what callers see",
		Long:  loadUsage,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return errors.Annotate(err, "read plan")
			}
			plan, err := parser.LoadPlan(args[0], data)
			if err != nil {
				return err
			}
			l := &loader.Loader{Plan: plan, Targets: targets, Key: key}
			report := l.Run(c.Context())
			if err := report.Write(c.OutOrStdout()); err != nil {
				return errors.Trace(err)
			}
			return checkReport(report, refusedOnly)
		},
	}
	c.Flags().StringSliceVar(&targets, "targets", nil, "callers' addresses of entry instances")
	c.Flags().StringVar(&key, "key", "", "caller's key for flows that name none")
	c.Flags().BoolVar(&refusedOnly, "expect-refused", false, "fail unless every request is refused for its key")
	_ = c.MarkFlagRequired("targets")
	return c
}

func checkReport(r *loader.Report, refusedOnly bool) error {
	if n := r.Faults(); n > 0 {
		return errors.Errorf("%d answers were wrong, or lost without an error", n)
	}
	if refusedOnly && (r.Answered() > 0 || r.Unauthorized() == 0) {
		return errors.Errorf("%d requests were answered, want all refused for their key", r.Answered())
	}
	if !refusedOnly && r.Answered() == 0 {
		return errors.New("no request was answered")
	}
	return nil
}
