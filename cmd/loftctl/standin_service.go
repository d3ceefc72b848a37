package main

import (
	"github.com/spf13/cobra"

	"savoryloft.example/savoryloft/emulator"
)

const standinServiceUsage = `Service emulates a plain service with non-idempotent calls. It counts the
executions of each call by its X-Call-Id header; the counts are at /standin/runs.

Example:

  loftctl standin service --listen 127.0.0.1:9101 --name booking-1`

func standinServiceCommand() *cobra.Command {
	var address string
	s := &emulator.Service{}
	c := &cobra.Command{
		Use:   "service",
		Short: "Run an emulator of a plain service",
		Long:  standinServiceUsage,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return serveUntilSignal(address, s.Server())
		},
	}
	addListenFlag(c, &address)
	c.Flags().StringVar(&s.Name, "name", "service", "name of the service")
	c.Flags().BoolVar(&s.RememberKeys, "remember-keys", false, "execute requests with the same Idempotency-Key only once")
	return c
}
