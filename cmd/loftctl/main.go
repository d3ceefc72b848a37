// Command loftctl is the operators' program: release notes, keys, status and
// usage, and the stand-ins and the load generator for trials.
//
// # Usage
//
//	loftctl note check|publish|list|show
//	loftctl key issue|withdraw
//	loftctl status
//	loftctl usage show|verify
//	loftctl standin platform|engine|service
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
