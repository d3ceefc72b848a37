package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"savoryloft.example/savoryloft/summarizer"
)

const explainUsage = `Explain reads the logs of instances and prints the lines that relate to one
request, ordered by time: those of the request itself, and those of the instance
that received it about the upstreams used, the configuration version and outages
of the platform's log.

Example:

  loftctl explain 0898bf3ce8c5a6fe entry-1.log entry-2.log`

const maxLogLineBytes = 1 << 20 // Far more than the longest line that an instance writes.

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Print the log lines that relate to a request",
		Long:  explainUsage,
		Args:  cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var lines []string
			for _, file := range args[1:] {
				if err := eachLine(file, func(l string) { lines = append(lines, l) }); err != nil {
					return err
				}
			}
			related := explain(args[0], lines)
			if len(related) == 0 {
				return errors.Errorf("no log line of request %s; pass the logs of all instances", args[0])
			}
			for _, l := range related {
				fmt.Fprintln(c.OutOrStdout(), l)
			}
			return nil
		},
	}
}

// eachLine calls visit with each line of a log.
func eachLine(file string, visit func(line string)) error {
	f, err := os.Open(file)
	if err != nil {
		return errors.Annotate(err, "read log")
	}
	defer f.Close()
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		visit(s.Text())
	}
	return errors.Annotate(s.Err(), file)
}

// explain returns the lines that relate to a request, ordered by time: its own
// lines, and those of the same instances about the upstreams used, about the
// configuration version of the request and about outages of the platform's log up
// to the last line of the request.
func explain(id string, lines []string) []string {
	requestLines := linesWith(lines, "id", id)
	upstreams := map[string]bool{}
	instances := map[string]bool{}
	for _, l := range requestLines {
		if u := summarizer.Field(l, "upstream"); u != "" {
			upstreams[u] = true
		}
		instances[summarizer.Field(l, "instance")] = true
	}
	version, end := "", ""
	if len(requestLines) > 0 {
		last := requestLines[len(requestLines)-1]
		version, end = summarizer.Field(last, "version"), summarizer.Field(last, "time")
	}
	var related []string
	for _, l := range lines {
		sameInstance := instances[summarizer.Field(l, "instance")]
		message := summarizer.Field(l, "msg")
		switch {
		case summarizer.Field(l, "id") == id:
		case sameInstance && message == "upstream changed" && upstreams[summarizer.Field(l, "upstream")]:
		case sameInstance && message == "configuration in force" && summarizer.Field(l, "version") == version:
		case sameInstance && summarizer.Field(l, "time") <= end && (message == "log is not reachable" || message == "log is reachable again"):
		default:
			continue
		}
		related = append(related, l)
	}
	slices.SortStableFunc(related, func(a, b string) int {
		return strings.Compare(summarizer.Field(a, "time"), summarizer.Field(b, "time"))
	})
	return related
}

// linesWith returns the lines in which a field has the given value.
func linesWith(lines []string, name, value string) []string {
	var found []string
	for _, l := range lines {
		if summarizer.Field(l, name) == value {
			found = append(found, l)
		}
	}
	return found
}
