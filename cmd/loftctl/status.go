package main

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft/exchanger"
	"savoryloft.example/savoryloft/monitor"
)

const (
	statusTimeout      = 2 * time.Second
	statusPollInterval = 20 * time.Millisecond
	maxPageBytes       = 16 << 20 // Of the pages of an instance and of stand-ins.
)

const statusUsage = `Status queries the status of instances and prints one row for each. With --json
it prints the full responses.

Example:

  loftctl status --instances 127.0.0.1:8101,127.0.0.1:8102`

func statusCommand() *cobra.Command {
	var instances []string
	var jsonOutput bool
	c := &cobra.Command{
		Use:   "status",
		Short: "Show the status of instances",
		Long:  statusUsage,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
			if !jsonOutput {
				fmt.Fprintln(w, "INSTANCE\tDOMAIN\tREADY\tOFFSET\tHASH\tLEASE\tMEMBERS\tRUNNING\tWAITING")
			}
			var statusErr error
			for _, address := range instances {
				s, err := fetchStatus(address)
				if err != nil {
					fmt.Fprintf(w, "%s\t%v\n", address, err)
					statusErr = errors.Errorf("status of the instance at %s is not available", address)
					continue
				}
				if jsonOutput {
					data, _ := json.MarshalIndent(s, "", "  ")
					fmt.Fprintln(w, string(data))
					continue
				}
				fmt.Fprintln(w, statusRow(s))
			}
			if err := w.Flush(); err != nil {
				return errors.Trace(err)
			}
			return statusErr
		},
	}
	c.Flags().StringSliceVar(&instances, "instances", nil, "addresses for operators (Listen.Operators) of instances")
	c.Flags().BoolVar(&jsonOutput, "json", false, "print the full responses as JSON")
	_ = c.MarkFlagRequired("instances")
	return c
}

// statusRow formats the status of an instance as a table row.
func statusRow(s monitor.Status) string {
	ready := "yes"
	if !s.Ready {
		ready = s.NotReadyReason
	}
	running, waiting := 0, 0
	for _, p := range s.Pools {
		waiting += p.Waiting
		for _, n := range p.Running {
			running += n
		}
	}
	lease := s.LeaseHolder
	if s.HoldsLease {
		lease += " (here)"
	}
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%.8s\t%s\t%d\t%d\t%d", s.Instance, s.FailureDomain, ready, s.Offset,
		s.Hash, lease, len(s.Members)+1, running, waiting)
}

// httpGet returns the body of the response to a GET request. It returns an error
// when the status is not 200.
func httpGet(address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	conn, err := (&exchanger.Pool{Dial: exchanger.DialTCP}).Get(ctx, address, exchanger.Fresh)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = conn.Close() }()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + address + path)
	if err := conn.Exchange(ctx, req, resp, statusTimeout); err != nil {
		return nil, errors.Trace(err)
	}
	body, err := conn.ReadBody(ctx, resp, maxPageBytes)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Errorf("%s returned status %d for %s: %.200s", address, resp.StatusCode(), path, body)
	}
	return body, nil
}

func fetchStatus(address string) (monitor.Status, error) {
	var s monitor.Status
	body, err := httpGet(address, "/status")
	if err != nil {
		return s, err
	}
	return s, errors.Annotatef(json.Unmarshal(body, &s), "status of %s", address)
}

// awaitOffset waits until all instances have applied the control stream up to
// an offset, and returns the time waited. It returns an error when the timeout
// expires.
func awaitOffset(instances []string, offset int, timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	for _, address := range instances {
		for {
			s, err := fetchStatus(address)
			if err == nil && s.Offset >= offset {
				break
			}
			if time.Since(start) > timeout {
				return 0, errors.Errorf("instance at %s has not applied offset %d after %s", address, offset, timeout)
			}
			time.Sleep(statusPollInterval)
		}
	}
	return time.Since(start), nil
}
