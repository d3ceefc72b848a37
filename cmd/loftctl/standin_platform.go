package main

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/emulator"
)

const standinPlatformUsage = `Platform emulates the platform's service: the append-only log, the list of
instances, the failure domain interface and the usage-report interface. Ordered
upstreams run as engine emulators in the same process.

The orders and usage reports received are at /standin/orders and
/standin/reports.

Example:

  loftctl standin platform --listen 127.0.0.1:7000 --instances instances.json`

func standinPlatformCommand() *cobra.Command {
	var address, file string
	var retention int
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run an emulator of the platform's service",
		Long:  standinPlatformUsage,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			list, err := readInstances(file)
			if err != nil {
				return err
			}
			p := &emulator.Platform{Retention: retention, Start: startEngine}
			p.SetInstances(list)
			return serveUntilSignal(address, p.Server())
		},
	}
	addListenFlag(c, &address)
	c.Flags().StringVar(&file, "instances", "", "JSON file with the initial list of instances")
	c.Flags().IntVar(&retention, "retention", 0, "number of records retained in each stream; 0 retains all")
	return c
}

var engineCount atomic.Int64

// startEngine starts an engine emulator for an order.
func startEngine(o savoryloft.Order) (savoryloft.ListedInstance, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return savoryloft.ListedInstance{}, errors.Annotate(err, "start engine")
	}
	name := fmt.Sprintf("%s-%d", o.Pool, engineCount.Add(1))
	e := &emulator.Engine{Name: name, FirstToken: 30 * time.Millisecond, BetweenToken: 10 * time.Millisecond}
	go func() { _ = e.Serve(l) }()
	return savoryloft.ListedInstance{
		Name: name, Kind: savoryloft.ListedInstanceKindUpstream, Pool: o.Pool, Address: l.Addr().String(),
		FailureDomain: o.FailureDomain, State: savoryloft.ListedInstanceStateLive, Reclaimable: o.Reclaimable,
	}, nil
}
