// Command agate-target runs a target process. It stands beside one model engine or
// plain service, and all requests to that target pass through it.
package main

import (
	"agatelanding.example/agatelanding/internal/daemon"
	"agatelanding.example/agatelanding/internal/wire"
	"agatelanding.example/agatelanding/platform"
	"agatelanding.example/agatelanding/target"
	"agatelanding.example/agatelanding/target/agent"
)

func main() {
	cmd := daemon.Command("agate-target", "Runs beside one model engine or plain service and passes all requests to it",
		func(s *target.Settings) string { return s.LogLevel },
		func(s target.Settings) daemon.Process { return target.New(s) })
	// The subcommand platform runs the implementation for the users' platform.
	cmd.AddCommand(daemon.PlatformCommand("Runs beside a model engine on the users' platform", platform.LoadSettings,
		func(s platform.Settings) daemon.Process {
			daemon.LimitMemory(s.MemoryBytes)
			wire.LimitFrames(s.MemoryBytes)
			return agent.New(s)
		}))
	daemon.Main(cmd)
}
