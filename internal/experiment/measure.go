package experiment

import (
	"fmt"
	"math"
	"sync"
	"time"
)

// Options holds the settings of the measures.
type Options struct {
	Seed int64
	// Duration is the length of the measured window of the measures at a
	// steady rate.
	Duration time.Duration
	// Observe is called with the report of each run. Calls do not overlap.
	Observe func(measure string, r *Report)
}

// BoundStatus is whether a measured value meets its bound.
type BoundStatus uint8

// Values of BoundStatus.
const (
	// NoBound marks a row without a bound, which helps to read the others.
	NoBound BoundStatus = iota
	Met
	Missed
)

// String returns the text for the table.
func (v BoundStatus) String() string {
	switch v {
	case Met:
		return "met"
	case Missed:
		return "MISSED"
	default:
		return "-"
	}
}

// Row is a row of the table of results.
type Row struct {
	// Measure names the measure, its parameters and the value in this row.
	Measure string
	// Naive and Chosen are the values of the two policies, NaN if a value
	// does not exist.
	Naive  float64
	Chosen float64
	Bound  string
	Status BoundStatus
}

// Ratio returns Chosen divided by Naive, or NaN if Naive is 0.
func (r Row) Ratio() float64 {
	if r.Naive == 0 {
		return math.NaN()
	}
	return r.Chosen / r.Naive
}

// unboundedRow returns a row without a bound.
func unboundedRow(measure string, naive, chosen float64) Row {
	return Row{Measure: measure, Naive: naive, Chosen: chosen, Bound: "-"}
}

// boundedRow returns a row with a bound and whether it is met.
func boundedRow(measure string, naive, chosen float64, bound string, met bool) Row {
	r := Row{Measure: measure, Naive: naive, Chosen: chosen, Bound: bound, Status: Missed}
	if met {
		r.Status = Met
	}
	return r
}

// Measure is one of the measures in docs/design.md. Run runs its traces with the
// policies and returns its rows of the table.
type Measure struct {
	Name string
	Run  func(Options) ([]Row, error)
}

// Measures returns all measures in the order of the table.
func Measures() []Measure {
	return []Measure{
		{"loads", measureLoads},
		{"shift", measureShift},
		{"batch", measureBatch},
		{"peak", measurePeak},
		{"blocking", measureBlocking},
		{"stragglers", measureStragglers},
	}
}

// warmUp is the time before the measured window. Filling 96 slots at 4.5 loads a
// second takes 21 s. The ranks of adapters settle within a few half-lives of the
// request frequencies that the slot policy tracks.
const warmUp = 240 * time.Second

// Median lengths in tokens. With 5% long requests the mean is about 320 tokens a
// request, which docs/design.md expects in two years.
const (
	shortPrompt, shortOutput = 150, 200
	longPrompt, longOutput   = 1500, 1500
)

// baseTrace returns the configuration of a trace with short requests only.
func baseTrace(o Options, zipf, rate float64) TraceConfig {
	return TraceConfig{
		Seed: o.Seed, Length: warmUp + o.Duration, Adapters: DefaultAdapters, Zipf: zipf,
		Short:   Traffic{Rate: rate, Prompt: shortPrompt, Output: shortOutput},
		Entries: DefaultEntries,
	}
}

// steadyConfig returns a configuration that measures everything after the
// warm-up.
func steadyConfig(o Options) Config {
	cfg := DefaultConfig(o.Seed)
	cfg.From, cfg.To = warmUp, warmUp+o.Duration
	return cfg
}

// job is a run to execute.
type job struct {
	name   string
	cfg    Config
	policy Policy
	trace  []Request
}

// parallelRuns is the largest number of concurrent runs.
const parallelRuns = 3

// runAll executes runs concurrently and returns their reports in the order of
// jobs. Runs share no state, so concurrency does not change the results.
func runAll(o Options, jobs []job) ([]*Report, error) {
	reports := make([]*Report, len(jobs))
	errs := make([]error, len(jobs))
	semaphore := make(chan struct{}, parallelRuns)
	var wg sync.WaitGroup
	for i, j := range jobs {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			reports[i], errs[i] = Run(j.cfg, j.policy, j.trace)
		})
	}
	wg.Wait()
	for i, j := range jobs {
		if errs[i] != nil {
			return nil, errs[i]
		}
		if len(reports[i].Violations) > 0 {
			return nil, fmt.Errorf("%s, %s policy: %d violations, first: %s",
				j.name, j.policy.Name, len(reports[i].Violations), reports[i].Violations[0])
		}
		if o.Observe != nil {
			o.Observe(j.name, reports[i])
		}
	}
	return reports, nil
}

// runBothPolicies runs the naive and the chosen policies on one trace.
func runBothPolicies(o Options, name string, cfg Config, trace []Request) (naive, chosen *Report, err error) {
	reports, err := runAll(o, []job{{name, cfg, Naive(), trace}, {name, cfg, Chosen(), trace}})
	if err != nil {
		return nil, nil, err
	}
	return reports[0], reports[1], nil
}

// storeLimitsRow returns a row with 1 for a policy that exceeded the limits of
// the weight store and 0 otherwise.
func storeLimitsRow(name string, naive, chosen *Report) Row {
	exceeded := func(r *Report) float64 {
		if r.StoreLimitsExceeded {
			return 1
		}
		return 0
	}
	return boundedRow(name+": weight store limits exceeded", exceeded(naive), exceeded(chosen), "0", !chosen.StoreLimitsExceeded)
}
