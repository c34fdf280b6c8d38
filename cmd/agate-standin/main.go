// Command agate-standin runs small stand-ins for the platform, the model engines and
// the plain services. It is for tests and the demo only.
package main

import (
	"agatelanding.example/agatelanding/internal/daemon"
	"agatelanding.example/agatelanding/internal/standin"
)

func main() { daemon.Main(standin.Command()) }
