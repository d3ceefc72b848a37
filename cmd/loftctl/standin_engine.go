package main

import (
	"time"

	"github.com/spf13/cobra"

	"savoryloft.example/savoryloft/emulator"
)

const standinEngineUsage = `Engine is a stand-in for a model engine: chat completions as server-sent events
from a batch of limited size, priorities, cancelling by closing the connection
and resuming at a token index. Times double as the batch fills.

Example:

  loftctl standin engine --listen 127.0.0.1:9001 --name engine-1 --batch 16`

func standinEngineCommand() *cobra.Command {
	var address string
	e := &emulator.Engine{}
	c := &cobra.Command{
		Use:   "engine",
		Short: "Run a stand-in of a model engine",
		Long:  standinEngineUsage,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return serveStandin(address, e.Server())
		},
	}
	listenFlag(c, &address)
	c.Flags().StringVar(&e.Name, "name", "engine", "name of the engine")
	c.Flags().IntVar(&e.Batch, "batch", 16, "most requests in the batch")
	c.Flags().DurationVar(&e.FirstToken, "first-token", 30*time.Millisecond, "time to the first token when idle")
	c.Flags().DurationVar(&e.BetweenToken, "between-tokens", 10*time.Millisecond, "time between tokens when idle")
	return c
}
