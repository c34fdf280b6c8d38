// Command agatectl checks, compares, explains and builds the route and pool tables,
// checks settings files, and shows the state of running processes.
package main

import (
	"os"

	"agatelanding.example/agatelanding/entry"
	"agatelanding.example/agatelanding/internal/ctl"
	"agatelanding.example/agatelanding/target"
)

// settingsKinds are the kinds of settings files that agatectl checks, one for each
// program.
var settingsKinds = ctl.Kinds{
	"entry":  ctl.KindOf[entry.Settings](),
	"target": ctl.KindOf[target.Settings](),
}

func main() { os.Exit(ctl.Run(settingsKinds, os.Args[1:], os.Stdout, os.Stderr)) }
