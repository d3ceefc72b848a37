package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft/monitor"
)

const (
	statusTimeout = 2 * time.Second
	statusPoll    = 20 * time.Millisecond
)

const statusUsage = `Status asks instances for their status and prints a row for each. With --json it
prints the whole answers.

Example:

  loftctl status --instances 127.0.0.1:8101,127.0.0.1:8102`

func statusCommand() *cobra.Command {
	var instances []string
	var whole bool
	c := &cobra.Command{
		Use:   "status",
		Short: "Show the status of instances",
		Long:  statusUsage,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
			if !whole {
				fmt.Fprintln(w, "INSTANCE\tDOMAIN\tREADY\tOFFSET\tHASH\tLEASE\tMEMBERS\tRUNNING\tWAITING")
			}
			var failed error
			for _, address := range instances {
				s, err := fetchStatus(address)
				if err != nil {
					fmt.Fprintf(w, "%s\t%v\n", address, err)
					failed = errors.Errorf("instance at %s has no status", address)
					continue
				}
				if whole {
					data, _ := json.MarshalIndent(s, "", "  ")
					fmt.Fprintln(w, string(data))
					continue
				}
				fmt.Fprintln(w, statusRow(s))
			}
			if err := w.Flush(); err != nil {
				return errors.Trace(err)
			}
			return failed
		},
	}
	c.Flags().StringSliceVar(&instances, "instances", nil, "operators' addresses of instances")
	c.Flags().BoolVar(&whole, "json", false, "print the whole answers")
	_ = c.MarkFlagRequired("instances")
	return c
}

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

// fetch gets a path from an instance's operators' address.
func fetch(address, path string) ([]byte, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+path, statusTimeout)
	if err != nil {
		return nil, errors.Annotatef(err, "ask %s", address)
	}
	if status != fasthttp.StatusOK {
		return nil, errors.Errorf("%s answered status %d to %s: %.200s", address, status, path, body)
	}
	return body, nil
}

func fetchStatus(address string) (monitor.Status, error) {
	var s monitor.Status
	body, err := fetch(address, "/status")
	if err != nil {
		return s, err
	}
	return s, errors.Annotatef(json.Unmarshal(body, &s), "status of %s", address)
}

// awaitOffset waits until all instances have applied the control stream up to
// an offset, and returns how long that took.
func awaitOffset(instances []string, offset int, limit time.Duration) (time.Duration, error) {
	began := time.Now()
	for _, address := range instances {
		for {
			s, err := fetchStatus(address)
			if err == nil && s.Offset >= offset {
				break
			}
			if time.Since(began) > limit {
				return 0, errors.Errorf("instance at %s has not applied offset %d after %s", address, offset, limit)
			}
			time.Sleep(statusPoll)
		}
	}
	return time.Since(began), nil
}
