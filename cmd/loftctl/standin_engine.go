package main

import (
	"time"

	"github.com/spf13/cobra"

	"savoryloft.example/savoryloft/emulator"
)

const standinEngineUsage = `Engine emulates a model engine: chat completions as server-sent events, batching
with a limited batch size, request priorities, cancellation by closing the
connection and resumption at a token index. Latencies rise with the size of the
batch; with a full batch they are twice those of an idle engine.

Example:

  loftctl standin engine --listen 127.0.0.1:9001 --name engine-1 --batch 16`

func standinEngineCommand() *cobra.Command {
	var address string
	e := &emulator.Engine{}
	c := &cobra.Command{
		Use:   "engine",
		Short: "Run an emulator of a model engine",
		Long:  standinEngineUsage,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return serveUntilSignal(address, e.Server())
		},
	}
	addListenFlag(c, &address)
	c.Flags().StringVar(&e.Name, "name", "engine", "name of the engine")
	c.Flags().IntVar(&e.Batch, "batch", 16, "maximum number of requests in the batch")
	c.Flags().DurationVar(&e.FirstToken, "first-token", 30*time.Millisecond, "time to the first token on an idle engine")
	c.Flags().DurationVar(&e.BetweenToken, "between-tokens", 10*time.Millisecond, "time between tokens on an idle engine")
	return c
}
