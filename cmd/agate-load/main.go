// Command agate-load generates load, runs experiments and measures capacity. It is
// for tests and the demo only.
package main

import (
	"github.com/spf13/cobra"

	"agatelanding.example/agatelanding/internal/capacity"
	"agatelanding.example/agatelanding/internal/daemon"
	"agatelanding.example/agatelanding/internal/load"
)

func main() {
	root := &cobra.Command{
		Use: "agate-load", Short: "Load generator, experiments and capacity measurements", Version: daemon.Version,
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(load.RunCommand(), load.BenchCommand(), capacity.Command())
	daemon.Main(root)
}
