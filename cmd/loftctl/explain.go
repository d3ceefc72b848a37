package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
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
				more, err := readLines(file)
				if err != nil {
					return err
				}
				lines = append(lines, more...)
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

func readLines(file string) ([]string, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Annotate(err, "read log")
	}
	defer f.Close()
	var lines []string
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		lines = append(lines, s.Text())
	}
	return lines, errors.Annotate(s.Err(), file)
}

// explain returns the lines that tell a request's story, in order of time.
func explain(id string, lines []string) []string {
	own := linesWith(lines, "id", id)
	wanted := map[string]bool{}
	instances := map[string]bool{}
	for _, l := range own {
		if u := field(l, "upstream"); u != "" && u != `""` {
			wanted[u] = true
		}
		instances[field(l, "instance")] = true
	}
	version, end := "", ""
	if len(own) > 0 {
		last := own[len(own)-1]
		version, end = field(last, "version"), field(last, "time")
	}
	var story []string
	for _, l := range lines {
		here := instances[field(l, "instance")]
		message := field(l, "msg")
		switch {
		case field(l, "id") == id:
		case here && message == `"upstream changed"` && wanted[field(l, "upstream")]:
		case here && message == `"configuration in force"` && field(l, "version") == version:
		case here && field(l, "time") <= end && (message == `"log is not reachable"` || message == `"log is reachable again"`):
		default:
			continue
		}
		story = append(story, l)
	}
	slices.SortStableFunc(story, func(a, b string) int { return strings.Compare(field(a, "time"), field(b, "time")) })
	return story
}

func linesWith(lines []string, name, value string) []string {
	var found []string
	for _, l := range lines {
		if field(l, name) == value {
			found = append(found, l)
		}
	}
	return found
}

// field returns the value of a key in a line of key=value pairs, with its
// quotes; "" when there is none.
func field(line, name string) string {
	_, after, ok := strings.Cut(" "+line, " "+name+"=")
	if !ok {
		return ""
	}
	if strings.HasPrefix(after, `"`) {
		if end := strings.Index(after[1:], `"`); end >= 0 {
			return after[:end+2]
		}
	}
	value, _, _ := strings.Cut(after, " ")
	return value
}
