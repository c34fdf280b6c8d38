// Command agatectl checks, compares, explains and builds the tables, and shows
// the state of running processes.
package main

import (
	"os"

	"agatelanding.example/agatelanding/internal/ctl"
)

// kinds are the settings files that agatectl checks, one line for each
// program: "entry": ctl.KindOf[entry.Settings]().
var kinds = ctl.Kinds{}

func main() { os.Exit(ctl.Run(kinds, os.Args[1:], os.Stdout, os.Stderr)) }
