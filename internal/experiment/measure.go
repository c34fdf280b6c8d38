package experiment

import (
	"fmt"
	"math"
	"sync"
	"time"
)

// Options selects what is measured.
type Options struct {
	Seed int64
	// Duration is the measured time of the steady measures.
	Duration time.Duration
	// Observe is called after each run, for example to print a trace. Calls
	// do not overlap.
	Observe func(measure string, r *Report)
}

// Verdict says whether a bound is met.
type Verdict uint8

// Verdicts of a row.
const (
	// NoBound marks a row that only explains others.
	NoBound Verdict = iota
	Met
	Missed
)

// String returns the word that the table prints.
func (v Verdict) String() string {
	switch v {
	case Met:
		return "met"
	case Missed:
		return "MISSED"
	default:
		return "-"
	}
}

// Row is a row of the table.
type Row struct {
	Measure string
	// Naive and Chosen are NaN where a value does not exist.
	Naive  float64
	Chosen float64
	Bound  string
	Met    Verdict
}

// Ratio returns the chosen value over the naive one.
func (r Row) Ratio() float64 {
	if r.Naive == 0 {
		return math.NaN()
	}
	return r.Chosen / r.Naive
}

// info returns a row without a bound.
func info(measure string, naive, chosen float64) Row {
	return Row{Measure: measure, Naive: naive, Chosen: chosen, Bound: "-"}
}

func bounded(measure string, naive, chosen float64, bound string, met bool) Row {
	r := Row{Measure: measure, Naive: naive, Chosen: chosen, Bound: bound, Met: Missed}
	if met {
		r.Met = Met
	}
	return r
}

// Measure is one measure of the design page.
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

// warmUp is the time before the measured window. Filling 96 slots at 4.5
// loads a second takes 21 s, and ranks settle within a few half-lives of the
// slots' frequency.
const warmUp = 240 * time.Second

// Median lengths in tokens. With 5% long work the mean is about the 320 tokens
// a request that the design page gives for two years ahead.
const (
	shortPrompt, shortOutput = 150, 200
	longPrompt, longOutput   = 1500, 1500
)

// baseTrace returns the configuration of a trace with short work only.
func baseTrace(o Options, zipf, rate float64) TraceConfig {
	return TraceConfig{
		Seed: o.Seed, Length: warmUp + o.Duration, Adapters: DefaultAdapters, Zipf: zipf,
		Short:   Load{Rate: rate, Prompt: shortPrompt, Output: shortOutput},
		Entries: DefaultEntries,
	}
}

// steadyConfig measures everything after the warm-up.
func steadyConfig(o Options) Config {
	cfg := DefaultConfig(o.Seed)
	cfg.From, cfg.To = warmUp, warmUp+o.Duration
	return cfg
}

type job struct {
	name   string
	cfg    Config
	policy Policy
	trace  []Request
}

// parallelRuns bounds the runs that execute at once.
const parallelRuns = 3

// runAll executes independent runs and returns their reports in order. Each
// run has its own state, so running them at once does not change a result.
func runAll(o Options, jobs []job) ([]*Report, error) {
	reports := make([]*Report, len(jobs))
	errors := make([]error, len(jobs))
	gate := make(chan struct{}, parallelRuns)
	var wait sync.WaitGroup
	for i, j := range jobs {
		wait.Go(func() {
			gate <- struct{}{}
			defer func() { <-gate }()
			reports[i], errors[i] = Run(j.cfg, j.policy, j.trace)
		})
	}
	wait.Wait()
	for i, j := range jobs {
		if errors[i] != nil {
			return nil, errors[i]
		}
		if len(reports[i].Faults) > 0 {
			return nil, fmt.Errorf("%s, %s policy: %d faults, first: %s",
				j.name, j.policy.Name, len(reports[i].Faults), reports[i].Faults[0])
		}
		if o.Observe != nil {
			o.Observe(j.name, reports[i])
		}
	}
	return reports, nil
}

// pair runs both policies on one trace.
func pair(o Options, name string, cfg Config, trace []Request) (naive, chosen *Report, err error) {
	reports, err := runAll(o, []job{{name, cfg, Naive(), trace}, {name, cfg, Chosen(), trace}})
	if err != nil {
		return nil, nil, err
	}
	return reports[0], reports[1], nil
}

func storeRow(name string, naive, chosen *Report) Row {
	exceeded := func(r *Report) float64 {
		if r.StoreExceeded {
			return 1
		}
		return 0
	}
	return bounded(name+": weight store limits exceeded", exceeded(naive), exceeded(chosen), "0", !chosen.StoreExceeded)
}
