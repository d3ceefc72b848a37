package main

import (
	"os"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"savoryloft.example/savoryloft/loader"
	"savoryloft.example/savoryloft/parser"
)

const loadUsage = `Load sends the requests of a plan to entry instances, checks every response and
prints the results as callers observe them. It fails if a response was incorrect,
or lost without an error.

Columns: ON TARGET is the percentage of the requests sent that were answered
within the targets of the flow. KEY counts requests refused for an invalid or
withdrawn key, UNKNOWN error responses that report an unknown outcome, and REFUSED
all other error responses, which normally report a request as not run. CUT counts
streams that ended with an error event, WRONG incorrect responses, LOST responses
that are missing or truncated without an error, and NO CONN failed connections to
an instance.

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
	var expectRefused bool
	c := &cobra.Command{
		Use:   "load FILE",
		Short: "Generate load on entry instances and measure the responses",
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
			return checkReport(report, expectRefused)
		},
	}
	c.Flags().StringSliceVar(&targets, "targets", nil, "addresses for callers (Listen.Callers) of entry instances")
	c.Flags().StringVar(&key, "key", "", "API key for flows that define none")
	c.Flags().BoolVar(&expectRefused, "expect-refused", false, "expect every request to be refused as unauthorized")
	_ = c.MarkFlagRequired("targets")
	return c
}

// checkReport returns an error when the report does not meet the expectations.
func checkReport(r *loader.Report, expectRefused bool) error {
	if n := r.IncorrectOrLost(); n > 0 {
		return errors.Errorf("%d responses were incorrect, or lost without an error", n)
	}
	if expectRefused && (r.Answered() > 0 || r.Unauthorized() == 0) {
		return errors.Errorf("%d requests were answered, want all refused as unauthorized", r.Answered())
	}
	if !expectRefused && r.Answered() == 0 {
		return errors.New("no request was answered")
	}
	return nil
}
