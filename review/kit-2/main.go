//go:build review2

package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func main() {
	name := flag.String("case", "", "the case to run")
	out := flag.String("out", ".", "the folder of record.txt")
	flag.Parse()
	// A case that hangs must not run for longer than two minutes.
	time.AfterFunc(115*time.Second, func() {
		fmt.Println("the case took too long")
		os.Exit(2)
	})
	r := newRecord(filepath.Join(*out, "record.txt"))
	trouble := os.Getenv("TROUBLE") != "0"
	d := newDeployment(r)
	var broken bool
	switch *name {
	case "crashing-request":
		broken = crashingRequest(d, trouble, os.Getenv("SAME_HEADER") == "1")
	case "crashing-part":
		position := 8
		if os.Getenv("EARLY_PART") == "1" {
			position = 4
		}
		broken = crashingPart(d, trouble, 10, position, false)
	case "crash-after-event":
		broken = crashingPart(d, trouble, 3, 1, true)
	case "crash-before-event":
		broken = crashingPart(d, trouble, 3, 1, false)
	case "store-moves":
		broken = storeMoves(d, trouble)
	case "key-taken":
		name := "kvoot-labs"
		if trouble {
			name = "Kvoot Labs"
		}
		broken = keyTaken(d, name)
	case "other-writer":
		broken = otherWriter(d, trouble)
	case "quota-after-kill":
		broken = quotaAfterKill(d, trouble)
	case "take-ups":
		attempts := 1
		if os.Getenv("ATTEMPTS") == "3" {
			attempts = 3
		}
		broken = takeUps(d, trouble, attempts)
	case "heads-grow":
		broken = headsGrow(d, trouble)
	default:
		d.stop()
		cannotRun(fmt.Errorf("no case %q", *name))
	}
	d.stop()
	if broken {
		r.say("the rule was broken")
		r.close()
		os.Exit(1)
	}
	r.say("the rule held")
	r.close()
}
