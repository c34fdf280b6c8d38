//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// run is one execution of a request at a replica.
type run struct {
	attempt, replica, service, version, from, path string
	header                                         http.Header
	// began is when the request arrived, working when the replica began to run it, and
	// ended when it stopped.
	began, working, ended time.Time
}

var (
	root    string
	started = time.Now()

	recordMu   sync.Mutex
	recordFile *os.File

	runsMu sync.Mutex
	runs   []run
)

// record writes a line to record.txt.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordFile, "%8.3f "+format+"\n", append([]any{time.Since(started).Seconds()}, args...)...)
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(2)
}

func addRun(x run) int {
	runsMu.Lock()
	defer runsMu.Unlock()
	runs = append(runs, x)
	record("%s reaches %s %s (%s), after event %q", x.attempt, x.service, x.replica, x.version, x.from)
	return len(runs) - 1
}

func beginRun(n int) {
	runsMu.Lock()
	defer runsMu.Unlock()
	runs[n].working = time.Now()
	record("%s is run by %s", runs[n].attempt, runs[n].replica)
}

func endRun(n int) {
	runsMu.Lock()
	defer runsMu.Unlock()
	runs[n].ended = time.Now()
	record("%s ends at %s", runs[n].attempt, runs[n].replica)
}

// allRuns returns all runs so far.
func allRuns() []run {
	runsMu.Lock()
	defer runsMu.Unlock()
	return append([]run(nil), runs...)
}

// cases play a case and report whether the rule was broken. Without trouble they leave the
// disruption out.
var cases = map[string]func(f *fleet, trouble bool) (broken bool){
	"take-up":        takeUpAfterKill,
	"two-runs":       twoRuns,
	"uploads":        uploadBodies,
	"part-session":   crashingPart(partCase{parts: 2, crashAfter: 80 * time.Millisecond, oneSession: true}),
	"part-many":      crashingPart(partCase{parts: 8, crashAfter: 80 * time.Millisecond}),
	"part-begun":     crashingPart(partCase{parts: 2, crashAfter: 110 * time.Millisecond}),
	"part-plain":     crashingPart(partCase{parts: 2, crashAfter: 80 * time.Millisecond}),
	"request-traced": crashingRequest(requestCase{traced: true}),
	"request-killed": crashingRequest(requestCase{killed: true}),
	"request-plain":  crashingRequest(requestCase{}),
	"request-late":   lateCrash,
	"part-noise":     partBesideCrashes,
	"request-queued": requestBehindQueues,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail(fmt.Errorf("usage: review-case CASE FOLDER"))
	}
	executable, err := os.Executable()
	if err != nil {
		fail(err)
	}
	// The program lies in target/bin.
	root = filepath.Dir(filepath.Dir(filepath.Dir(executable)))
	if recordFile, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fail(err)
	}
	for _, program := range []string{"agate-entry", "agate-target"} {
		if _, err := os.Stat(filepath.Join(root, "target", "bin", program)); err != nil {
			fail(err)
		}
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record("case %s, trouble %v", os.Args[1], trouble)
	f := newFleet()
	broken := cases[os.Args[1]](f, trouble)
	f.close()
	if broken {
		fmt.Println("the rule was broken; see record.txt")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

func lastOf(event string) int {
	n, _ := strconv.Atoi(event)
	return n
}
