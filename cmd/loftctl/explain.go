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

const explainUsage = `Explain reads the logs of some instances and prints, in order of time, the
lines about one request and those about the upstreams that it was sent to, and
what the instance that took it believed at that time.

Example:

  loftctl explain 0898bf3ce8c5a6fe entry-1.log entry-2.log`

const maxLogLine = 1 << 20 // Bytes; far above the longest line that an instance writes.

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Print what the logs tell of a request",
		Long:  explainUsage,
		Args:  cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var lines []string
			for _, file := range args[1:] {
				if err := eachLine(file, func(l string) { lines = append(lines, l) }); err != nil {
					return err
				}
			}
			story := explain(args[0], lines)
			if len(story) == 0 {
				return errors.Errorf("no line names the request %s; are the logs of all instances here?", args[0])
			}
			for _, l := range story {
				fmt.Fprintln(c.OutOrStdout(), l)
			}
			return nil
		},
	}
}

// eachLine calls do with each line of a log.
func eachLine(file string, do func(line string)) error {
	f, err := os.Open(file)
	if err != nil {
		return errors.Annotate(err, "read log")
	}
	defer f.Close()
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		do(s.Text())
	}
	return errors.Annotate(s.Err(), file)
}

// explain returns the lines that tell a request's story, in order of time.
func explain(id string, lines []string) []string {
	own := linesWith(lines, "id", id)
	wanted := map[string]bool{}
	instances := map[string]bool{}
	for _, l := range own {
		if u := summarizer.Field(l, "upstream"); u != "" {
			wanted[u] = true
		}
		instances[summarizer.Field(l, "instance")] = true
	}
	version, end := "", ""
	if len(own) > 0 {
		last := own[len(own)-1]
		version, end = summarizer.Field(last, "version"), summarizer.Field(last, "time")
	}
	var story []string
	for _, l := range lines {
		here := instances[summarizer.Field(l, "instance")]
		message := summarizer.Field(l, "msg")
		switch {
		case summarizer.Field(l, "id") == id:
		case here && message == "upstream changed" && wanted[summarizer.Field(l, "upstream")]:
		case here && message == "configuration in force" && summarizer.Field(l, "version") == version:
		case here && summarizer.Field(l, "time") <= end && (message == "log is not reachable" || message == "log is reachable again"):
		default:
			continue
		}
		story = append(story, l)
	}
	slices.SortStableFunc(story, func(a, b string) int {
		return strings.Compare(summarizer.Field(a, "time"), summarizer.Field(b, "time"))
	})
	return story
}

func linesWith(lines []string, name, value string) []string {
	var found []string
	for _, l := range lines {
		if summarizer.Field(l, name) == value {
			found = append(found, l)
		}
	}
	return found
}
