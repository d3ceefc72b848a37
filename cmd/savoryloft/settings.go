package main

import (
	"encoding/json"
	"fmt"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

const settingsCheckUsage = `Check reads a settings file, checks every field and prints "ok", or one line
that names the field that is wrong. With --print it writes the settings in
force, with all defaults filled in.

Example:

  savoryloft settings check entry.json --print`

func settingsCommand() *cobra.Command {
	c := &cobra.Command{Use: "settings", Short: "Work with settings files"}
	c.AddCommand(settingsCheckCommand())
	return c
}

func settingsCheckCommand() *cobra.Command {
	var file string
	var printAll bool
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
				return errors.New("name the settings file: savoryloft settings check FILE")
			}
			settings, err := readSettings(file)
			if err != nil {
				return err
			}
			if !printAll {
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
	c.Flags().StringVar(&file, "settings", "", "settings file, instead of the argument")
	c.Flags().BoolVar(&printAll, "print", false, "print the settings with all defaults")
	return c
}
