// Command agate-load generates load and runs experiments.
package main

import (
	"fmt"
	"os"

	"agatelanding.example/agatelanding/internal/load"
)

func main() {
	if err := load.NewCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "agate-load:", err)
		os.Exit(1)
	}
}
