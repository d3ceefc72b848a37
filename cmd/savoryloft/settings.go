package main

import (
	"encoding/json"
	"fmt"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

const settingsCheckUsage = `Check reads a settings file, validates every field and prints "ok", or one
line that names the invalid field. With --print it prints the effective settings
including all defaults.

Example:

  savoryloft settings check entry.json --print`

func settingsCommand() *cobra.Command {
	c := &cobra.Command{Use: "settings", Short: "Validate and print settings files"}
	c.AddCommand(settingsCheckCommand())
	return c
}

func settingsCheckCommand() *cobra.Command {
	var file string
	var printSettings bool
	c := &cobra.Command{
		Use:   "check [FILE]",
		Short: "Check a settings file",
		Long:  settingsCheckUsage,
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 1 {
				file = args[0]
			}
			if file == "" {
				return errors.New("no settings file given; run savoryloft settings check FILE")
			}
			settings, err := readSettings(file)
			if err != nil {
				return err
			}
			if !printSettings {
				fmt.Fprintln(c.OutOrStdout(), "ok")
				return nil
			}
			data, err := json.MarshalIndent(settings, "", "  ")
			if err != nil {
				return errors.Annotate(err, "print settings")
			}
			fmt.Fprintln(c.OutOrStdout(), string(data))
			return nil
		},
	}
	c.Flags().StringVar(&file, "settings", "", "path of the settings file, used when FILE is not given")
	c.Flags().BoolVar(&printSettings, "print", false, "print the settings including all defaults")
	return c
}
