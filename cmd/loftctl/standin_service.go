package main

import (
	"github.com/spf13/cobra"

	"savoryloft.example/savoryloft/emulator"
)

const standinServiceUsage = `Service is a stand-in for a plain service with calls that must not be repeated.
It counts the runs of each call by its X-Call-Id header; the counts are at
/standin/runs.

Example:

  loftctl standin service --listen 127.0.0.1:9101 --name booking-1`

func standinServiceCommand() *cobra.Command {
	var address string
	s := &emulator.Service{}
	c := &cobra.Command{
		Use:   "service",
		Short: "Run a stand-in of a plain service",
		Long:  standinServiceUsage,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return serveStandin(address, s.Server())
		},
	}
	listenFlag(c, &address)
	c.Flags().StringVar(&s.Name, "name", "service", "name of the service")
	c.Flags().BoolVar(&s.RememberKeys, "remember-keys", false, "run a request with a known Idempotency-Key only once")
	return c
}
