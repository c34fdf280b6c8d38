// Command agate-entry accepts callers' requests and forwards them to targets.
package main

import (
	"agatelanding.example/agatelanding/entry"
	"agatelanding.example/agatelanding/entry/edge"
	"agatelanding.example/agatelanding/internal/daemon"
	"agatelanding.example/agatelanding/internal/wire"
	"agatelanding.example/agatelanding/platform"
)

func main() {
	cmd := daemon.Command("agate-entry", "Accepts callers' requests and forwards them to targets",
		func(s *entry.Settings) string { return s.LogLevel },
		func(s entry.Settings) daemon.Process { return entry.New(s) })
	// The subcommand platform runs the implementation for the users' platform.
	cmd.AddCommand(daemon.PlatformCommand("Runs an entry on the users' platform", platform.LoadSettings,
		func(s platform.Settings) daemon.Process {
			daemon.LimitMemory(s.MemoryBytes)
			wire.LimitFrames(s.MemoryBytes)
			return edge.New(s)
		}))
	daemon.Main(cmd)
}
