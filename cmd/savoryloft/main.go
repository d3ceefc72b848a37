// Command savoryloft runs an entry instance of the router.
//
// # Usage
//
//	savoryloft serve --settings entry.json
//	savoryloft edge
//	savoryloft settings check --settings entry.json [--print]
//	savoryloft version
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// version is set with -ldflags -X in release builds.
var version = "development"

func main() {
	root := &cobra.Command{
		Use:           "savoryloft",
		Short:         "Router for language-model traffic with service levels and priorities",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(serveCommand(), edgeCommand(), settingsCommand(), versionCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "savoryloft:", err)
		os.Exit(1)
	}
}
