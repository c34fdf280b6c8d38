// Command agate-entry takes callers' requests and carries them to targets.
package main

import (
	"agatelanding.example/agatelanding/entry"
	"agatelanding.example/agatelanding/internal/daemon"
)

func main() {
	daemon.Main(daemon.Command("agate-entry", "Takes callers' requests and carries them to targets",
		func(s *entry.Settings) string { return s.LogLevel },
		func(s entry.Settings) daemon.Process { return entry.New(s) }))
}
