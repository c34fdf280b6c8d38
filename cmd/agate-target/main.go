// Command agate-target runs beside one model engine or plain service and is
// the only way into it.
package main

import (
	"agatelanding.example/agatelanding/internal/daemon"
	"agatelanding.example/agatelanding/platform"
	"agatelanding.example/agatelanding/target"
	"agatelanding.example/agatelanding/target/agent"
)

func main() {
	cmd := daemon.Command("agate-target", "Runs beside one model engine or plain service and is the only way into it",
		func(s *target.Settings) string { return s.LogLevel },
		func(s target.Settings) daemon.Process { return target.New(s) })
	cmd.AddCommand(daemon.PlatformCommand("Runs beside a model engine of the users' platform", platform.LoadSettings,
		func(s platform.Settings) daemon.Process { return agent.New(s) }))
	daemon.Main(cmd)
}
