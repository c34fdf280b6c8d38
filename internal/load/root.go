// Package load is the load and experiment tool.
package load

import "github.com/spf13/cobra"

// NewCommand returns the root command of agate-load.
func NewCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "agate-load",
		Short:         "Generate load and run experiments",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newBenchCommand())
	return root
}
