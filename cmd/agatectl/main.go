// Command agatectl checks, compares, explains and builds the tables, and shows
// the state of running processes.
package main

import (
	"os"

	"agatelanding.example/agatelanding/entry"
	"agatelanding.example/agatelanding/internal/ctl"
	"agatelanding.example/agatelanding/target"
)

// kinds are the settings files that agatectl checks, one line for each program.
var kinds = ctl.Kinds{
	"entry":  ctl.KindOf[entry.Settings](),
	"target": ctl.KindOf[target.Settings](),
}

func main() { os.Exit(ctl.Run(kinds, os.Args[1:], os.Stdout, os.Stderr)) }
