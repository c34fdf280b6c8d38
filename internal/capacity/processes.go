package capacity

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"agatelanding.example/agatelanding/internal/load"
	"agatelanding.example/agatelanding/internal/procfleet"
)

// ticksPerSecond is the unit of processor times in /proc.
const ticksPerSecond = 100

// usage is what a process has used.
type usage struct {
	cpu time.Duration
	rss float64
}

func usageOf(p *procfleet.Process) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return usage{}, err
	}
	// The name in parentheses may hold spaces; the fields after it are fixed.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return usage{
		cpu: time.Duration((user + system) / ticksPerSecond * float64(time.Second)),
		rss: pages * float64(os.Getpagesize()),
	}, nil
}

// cores returns the mean number of cores that a process uses while work runs.
func cores(p *procfleet.Process, work func()) (float64, error) {
	before, err := usageOf(p)
	if err != nil {
		return 0, err
	}
	started := time.Now()
	work()
	after, err := usageOf(p)
	return float64(after.cpu-before.cpu) / float64(time.Since(started)), err
}

func startFleet(bin string, o procfleet.Options) (*procfleet.Fleet, error) {
	dir, err := os.MkdirTemp("", "agate-capacity")
	if err != nil {
		return nil, err
	}
	f, err := procfleet.Start(bin, dir, o)
	if err == nil {
		err = f.WaitReady(20 * time.Second)
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// idleTime is how long an idle process is watched.
const idleTime = 10 * time.Second

// Sessions measures what idle sessions cost an entry and a target process.
func Sessions(bin string, sizes []int) ([]Series, error) {
	entryRSS := Series{What: "idle entry: resident memory", Size: "target sessions", Unit: "bytes"}
	entryCPU := Series{What: "idle entry: processor", Size: "target sessions", Unit: "share of a core"}
	targetRSS := Series{What: "idle target process: resident memory", Size: "entry sessions", Unit: "bytes"}
	targetCPU := Series{What: "idle target process: processor", Size: "entry sessions", Unit: "share of a core"}
	for _, n := range sizes {
		if err := idle(bin, procfleet.Options{Entries: 1, Services: n}, n, &entryRSS, &entryCPU, true); err != nil {
			return nil, err
		}
		if err := idle(bin, procfleet.Options{Entries: n, Services: 1}, n, &targetRSS, &targetCPU, false); err != nil {
			return nil, err
		}
	}
	return []Series{entryRSS, entryCPU, targetRSS, targetCPU}, nil
}

func idle(bin string, o procfleet.Options, n int, rss, cpu *Series, ofEntry bool) error {
	f, err := startFleet(bin, o)
	if err != nil {
		return err
	}
	defer f.Close()
	p := f.Services[0].Process
	if ofEntry {
		p = f.Entries[0].Process
	}
	time.Sleep(2 * time.Second)
	used, err := cores(p, func() { time.Sleep(idleTime) })
	if err != nil {
		return err
	}
	u, err := usageOf(p)
	rss.add(n, u.rss)
	cpu.add(n, used)
	return err
}

// loadTime is how long each rate of requests runs.
const loadTime = 8 * time.Second

// Requests measures what requests a second cost an entry and a target process.
// The calls go to plain services, so that no engine time is waited for.
func Requests(bin string, rates []int) ([]Series, error) {
	entryCPU := Series{What: "entry: processor", Size: "calls/s", Unit: "share of a core"}
	targetCPU := Series{What: "target process: processor", Size: "calls/s", Unit: "share of a core"}
	f, err := startFleet(bin, procfleet.Options{Entries: 1, Services: 1, ServiceDelay: time.Millisecond})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	time.Sleep(7 * time.Second) // keys are known after clock margin and home grace
	for _, rate := range rates {
		o := load.Options{Entries: []string{f.Entries[0].URL}, Timeout: 10 * time.Second, Workload: load.Workload{
			Seed: 1, Rate: float64(rate), Duration: loadTime, CallShare: 1, CallPath: "/ledger/release", Models: []string{"none"},
		}}
		if err := measure(f, o, f.Services[0], rate, &entryCPU, &targetCPU); err != nil {
			return nil, err
		}
	}
	return []Series{entryCPU, targetCPU}, nil
}

// Tokens measures what streamed tokens a second cost an entry and a target
// process.
func Tokens(bin string, rates []int) ([]Series, error) {
	entryCPU := Series{What: "entry: processor", Size: "streamed tokens/s", Unit: "share of a core"}
	targetCPU := Series{What: "target process: processor", Size: "streamed tokens/s", Unit: "share of a core"}
	f, err := startFleet(bin, procfleet.Options{Entries: 1, Engines: 1, Adapters: 2, Slots: 4})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	expected := map[string]string{"plot-0": "plot-0@v1"}
	for _, rate := range rates {
		const tokens = 50
		o := load.Options{Entries: []string{f.Entries[0].URL}, Timeout: 30 * time.Second, Expected: expected, Workload: load.Workload{
			Seed: 1, Rate: float64(rate) / tokens, Duration: loadTime, Tokens: tokens, StreamShare: 1, Models: []string{"plot-0"},
		}}
		if err := measure(f, o, f.Engines[0], rate, &entryCPU, &targetCPU); err != nil {
			return nil, err
		}
	}
	return []Series{entryCPU, targetCPU}, nil
}

func measure(f *procfleet.Fleet, o load.Options, unit *procfleet.Unit, size int, entryCPU, targetCPU *Series) error {
	var report *load.Report
	var targetUsed float64
	var runErr, targetErr error
	used, err := cores(f.Entries[0].Process, func() {
		targetUsed, targetErr = cores(unit.Process, func() { report, runErr = load.Run(context.Background(), o) })
	})
	for _, e := range []error{err, runErr, targetErr} {
		if e != nil {
			return e
		}
	}
	if report.Right < report.Sent*9/10 {
		return fmt.Errorf("at %d: %d of %d answers were right, refused %v", size, report.Right, report.Sent, report.Refused)
	}
	entryCPU.add(size, used)
	targetCPU.add(size, targetUsed)
	return nil
}
