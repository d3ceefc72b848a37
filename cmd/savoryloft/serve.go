package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/logger"
	"savoryloft.example/savoryloft/parser"
	"savoryloft.example/savoryloft/server"
	"savoryloft.example/savoryloft/tracer"
)

const serveUsage = `Serve runs an entry instance until it receives SIGTERM or SIGINT.

A shutdown interrupts no request: the readiness probe fails first, new requests
are accepted for Stop.Notice while the load balancer removes the instance, and
requests in flight finish within Stop.Grace. Finally the instance records its
usage and releases the lease.

Log events go to standard error, one line of key=value pairs each.

Example:

  savoryloft serve --settings /etc/savoryloft/entry.json`

func serveCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run an entry instance",
		Long:  serveUsage,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			settings, err := readSettings(file)
			if err != nil {
				return err
			}
			return runServer(settings)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "path of the settings file")
	_ = c.MarkFlagRequired("settings")
	return c
}

func runServer(settings savoryloft.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := logger.New(os.Stderr, settings.Log.Verbosity).WithValues("instance", settings.Instance)
	t, closeTracer, err := tracer.Open(settings.Trace.File, settings.Instance)
	if err != nil {
		return errors.Annotate(err, "Trace.File")
	}
	s := &server.Server{Settings: settings, Logger: log, Tracer: t}
	err = s.Run(ctx)
	if closeErr := closeTracer(context.Background()); err == nil {
		err = closeErr
	}
	return err
}

func readSettings(file string) (savoryloft.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return savoryloft.Settings{}, errors.Annotate(err, "read settings")
	}
	return parser.Settings(file, data)
}
