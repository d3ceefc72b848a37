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

  savoryloft settings check --settings entry.json --print`

func settingsCommand() *cobra.Command {
	c := &cobra.Command{Use: "settings", Short: "Work with settings files"}
	c.AddCommand(settingsCheckCommand())
	return c
}

func settingsCheckCommand() *cobra.Command {
	var file string
	var printAll bool
	c := &cobra.Command{
		Use:   "check",
		Short: "Check a settings file",
		Long:  settingsCheckUsage,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
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
	c.Flags().StringVar(&file, "settings", "", "settings file")
	c.Flags().BoolVar(&printAll, "print", false, "print the settings with all defaults")
	_ = c.MarkFlagRequired("settings")
	return c
}
