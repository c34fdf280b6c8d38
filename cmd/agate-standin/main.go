// Command agate-standin runs small stand-ins for the platform. It serves tests
// and the demo only.
package main

import (
	"agatelanding.example/agatelanding/internal/daemon"
	"agatelanding.example/agatelanding/internal/standin"
)

func main() { daemon.Main(standin.Command()) }
