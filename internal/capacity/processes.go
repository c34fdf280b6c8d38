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

// clockTicksPerSecond is the number of clock ticks per second, the unit of CPU
// times in /proc.
const clockTicksPerSecond = 100

// usage is the CPU time that a process has used and its resident memory in bytes.
type usage struct {
	cpu      time.Duration
	rssBytes float64
}

// usageOf reads the usage of a process from /proc.
func usageOf(p *procfleet.Process) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return usage{}, err
	}
	// The command name in parentheses may contain spaces. The fields after it
	// do not.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return usage{
		cpu:      time.Duration((user + system) / clockTicksPerSecond * float64(time.Second)),
		rssBytes: pages * float64(os.Getpagesize()),
	}, nil
}

// coresUsed returns the mean number of CPU cores that a process uses while work
// runs.
func coresUsed(p *procfleet.Process, work func()) (float64, error) {
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

// idleDuration is how long the CPU use of an idle process is measured.
const idleDuration = 10 * time.Second

// MeasureSessions measures the cost of idle sessions at an entry and at a target
// process.
func MeasureSessions(bin string, sizes []int) ([]Series, error) {
	entryRSS := Series{Quantity: "idle entry: resident memory", Size: "target sessions", Unit: "bytes"}
	entryCPU := Series{Quantity: "idle entry: processor", Size: "target sessions", Unit: "share of a core"}
	targetRSS := Series{Quantity: "idle target process: resident memory", Size: "entry sessions", Unit: "bytes"}
	targetCPU := Series{Quantity: "idle target process: processor", Size: "entry sessions", Unit: "share of a core"}
	for _, n := range sizes {
		if err := measureIdle(bin, procfleet.Options{Entries: 1, Services: n}, n, &entryRSS, &entryCPU, true); err != nil {
			return nil, err
		}
		if err := measureIdle(bin, procfleet.Options{Entries: n, Services: 1}, n, &targetRSS, &targetCPU, false); err != nil {
			return nil, err
		}
	}
	return []Series{entryRSS, entryCPU, targetRSS, targetCPU}, nil
}

// measureIdle starts a fleet and measures its first entry or its first service's
// target process while no requests arrive.
func measureIdle(bin string, o procfleet.Options, n int, rss, cpu *Series, ofEntry bool) error {
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
	used, err := coresUsed(p, func() { time.Sleep(idleDuration) })
	if err != nil {
		return err
	}
	u, err := usageOf(p)
	rss.add(n, u.rssBytes)
	cpu.add(n, used)
	return err
}

// loadDuration is how long requests are sent at each rate.
const loadDuration = 8 * time.Second

// MeasureCalls measures the cost of calls per second at an entry and at a target
// process. The calls go to a plain service, so that they do not wait for an engine.
func MeasureCalls(bin string, rates []int) ([]Series, error) {
	entryCPU := Series{Quantity: "entry: processor", Size: "calls/s", Unit: "share of a core"}
	targetCPU := Series{Quantity: "target process: processor", Size: "calls/s", Unit: "share of a core"}
	f, err := startFleet(bin, procfleet.Options{Entries: 1, Services: 1, ServiceDelay: time.Millisecond})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	// A target process executes calls with an idempotency key only after its home
	// grace period (1 s in procfleet) and the clock margin
	// (idempotency.ClockMargin, 5 s).
	time.Sleep(7 * time.Second)
	for _, rate := range rates {
		o := load.Options{Entries: []string{f.Entries[0].URL}, RequestTimeout: 10 * time.Second, Workload: load.Workload{
			Seed: 1, Rate: float64(rate), Duration: loadDuration, CallShare: 1, CallPath: "/ledger/release", Models: []string{"none"},
		}}
		if err := measureRate(f, o, f.Services[0], rate, &entryCPU, &targetCPU); err != nil {
			return nil, err
		}
	}
	return []Series{entryCPU, targetCPU}, nil
}

// MeasureTokens measures the cost of streamed tokens per second at an entry and at
// a target process.
func MeasureTokens(bin string, rates []int) ([]Series, error) {
	entryCPU := Series{Quantity: "entry: processor", Size: "streamed tokens/s", Unit: "share of a core"}
	targetCPU := Series{Quantity: "target process: processor", Size: "streamed tokens/s", Unit: "share of a core"}
	f, err := startFleet(bin, procfleet.Options{Entries: 1, Engines: 1, Adapters: 2, Slots: 4})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	expected := map[string]string{"plot-0": "plot-0@v1"}
	for _, rate := range rates {
		const tokens = 50
		o := load.Options{Entries: []string{f.Entries[0].URL}, RequestTimeout: 30 * time.Second, ExpectedAdapters: expected, Workload: load.Workload{
			Seed: 1, Rate: float64(rate) / tokens, Duration: loadDuration, Tokens: tokens, StreamShare: 1, Models: []string{"plot-0"},
		}}
		if err := measureRate(f, o, f.Engines[0], rate, &entryCPU, &targetCPU); err != nil {
			return nil, err
		}
	}
	return []Series{entryCPU, targetCPU}, nil
}

// measureRate runs the load and adds the CPU use of the first entry and of the
// unit's target process to the series. A unit is a target process with the engine
// or service beside it. size is the rate in calls or tokens per second. measureRate
// fails if less than 90% of the answers were right.
func measureRate(f *procfleet.Fleet, o load.Options, unit *procfleet.Unit, size int, entryCPU, targetCPU *Series) error {
	var report *load.Report
	var targetUsed float64
	var runErr, targetErr error
	used, err := coresUsed(f.Entries[0].Process, func() {
		targetUsed, targetErr = coresUsed(unit.Process, func() { report, runErr = load.Run(context.Background(), o) })
	})
	for _, e := range []error{err, runErr, targetErr} {
		if e != nil {
			return e
		}
	}
	if report.Right < report.Sent*9/10 {
		return fmt.Errorf("at a rate of %d per second: %d of %d answers were right, refused by result code: %v", size, report.Right, report.Sent, report.Refused)
	}
	entryCPU.add(size, used)
	targetCPU.add(size, targetUsed)
	return nil
}
