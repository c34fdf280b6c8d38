// Command agate-load sends load and runs experiments. It serves tests and the
// demo only.
package main

import (
	"github.com/spf13/cobra"

	"agatelanding.example/agatelanding/internal/capacity"
	"agatelanding.example/agatelanding/internal/daemon"
	"agatelanding.example/agatelanding/internal/load"
)

func main() {
	root := &cobra.Command{
		Use: "agate-load", Short: "Load and experiments", Version: daemon.Version,
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(load.RunCommand(), load.BenchCommand(), capacity.Command())
	daemon.Main(root)
}
