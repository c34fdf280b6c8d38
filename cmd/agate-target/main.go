// Command agate-target runs beside one model engine or plain service and is
// the only way into it.
package main

import (
	"agatelanding.example/agatelanding/internal/daemon"
	"agatelanding.example/agatelanding/target"
)

func main() {
	daemon.Main(daemon.Command("agate-target", "Runs beside one model engine or plain service and is the only way into it",
		func(s *target.Settings) string { return s.LogLevel },
		func(s target.Settings) daemon.Process { return target.New(s) }))
}
