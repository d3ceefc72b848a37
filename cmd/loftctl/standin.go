package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft"
)

const standinUsage = `Standin runs emulators of the platform and of upstreams for tests. A running
emulator accepts faults to inject as JSON at the path /standin/faults.

Example:

  loftctl standin platform --listen 127.0.0.1:7000 --instances instances.json
  curl -d '{"LogDown": true}' 127.0.0.1:7000/standin/faults`

func standinCommand() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Run emulators of external systems", Long: standinUsage}
	c.AddCommand(standinPlatformCommand(), standinEngineCommand(), standinServiceCommand(), standinAskCommand())
	return c
}

func addListenFlag(c *cobra.Command, address *string) {
	c.Flags().StringVar(address, "listen", "", "address to listen on")
	_ = c.MarkFlagRequired("listen")
}

// serveUntilSignal serves until the process receives SIGTERM or SIGINT.
func serveUntilSignal(address string, server *fasthttp.Server) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Annotate(err, "--listen")
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		_ = l.Close()
	}()
	return errors.Annotatef(server.Serve(l), "serve on %s", address)
}

func readInstances(file string) ([]savoryloft.ListedInstance, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "read instance list")
	}
	var list savoryloft.InstanceList
	return list.Instances, errors.Annotate(json.Unmarshal(data, &list), file)
}

const standinAskUsage = `Ask sends a GET request to an emulator and prints the response. The paths are
/standin/orders and /standin/reports of a platform, /standin/served of an engine
and /standin/runs of a service.

Example:

  loftctl standin ask 127.0.0.1:9101 /standin/runs`

func standinAskCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "ask ADDRESS PATH",
		Short: "Print what an emulator has recorded",
		Long:  standinAskUsage,
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			body, err := httpGet(args[0], args[1])
			if err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), string(body))
			return nil
		},
	}
}
