//go:build review3

// Command kit-3 runs the scripted cases of the third review: it starts the stand-ins of a case in
// this process and the programs of the repository as processes of their own, all on loopback
// addresses.
//
//	kit-3 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 0 if the rule held, 1 if it was broken and 2 if the
// case could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseFunc plays a case and reports whether the rule was broken.
type caseFunc func(d *deployment, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"models":   playModels,
	"silence":  playSilence,
	"restart":  playRestart,
	"crashing": playCrashing,
	"begun":    playBegun,
}

// maxCaseTime ends a case that hangs.
const maxCaseTime = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit-3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play caseFunc, folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("trouble=%v", trouble)
	d, err := newDeployment(r)
	if err != nil {
		r.line("not run: %v", err)
		return exitNotRun
	}
	defer d.stop()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(d, trouble)
		done <- outcome{broken, err}
	}()
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			r.line("not run: %v", o.err)
			return exitNotRun
		case o.broken:
			r.line("result: the rule was broken")
			return exitBroken
		}
		r.line("result: the rule held")
		return exitHeld
	case <-time.After(maxCaseTime):
		r.line("not run: the case took too long")
		return exitNotRun
	}
}
