// Command loftctl is the command line client for operators. It publishes release
// notes, issues and withdraws keys, shows status and usage, evaluates logs, and
// runs the emulators and the load generator for tests.
//
// # Usage
//
//	loftctl note check|publish|list|show
//	loftctl key issue|withdraw
//	loftctl status
//	loftctl usage show|verify
//	loftctl standin platform|engine|service|ask
//	loftctl load
//	loftctl explain
//	loftctl report
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "loftctl",
		Short:         "Operate savoryloft",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(noteCommand(), keyCommand(), statusCommand(), usageCommand(), standinCommand(), loadCommand(), explainCommand(), reportCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "loftctl:", err)
		os.Exit(1)
	}
}
