package experiment

import (
	"fmt"
	"math"
	"time"
)

const (
	// Requests per second at Zipf exponents 1.0 and 1.2. With the best fixed
	// set of adapters resident, these rates use about 80% of the load rate of
	// the weight store.
	rateZipf10 = 9
	rateZipf12 = 15
	// maxLoadsOverBest bounds the ratio of loads per completed request to those of the
	// best fixed set. maxBusiestRatio bounds the ratio of executions at the
	// busiest target to the mean.
	maxLoadsOverBest = 1.15
	maxBusiestRatio  = 1.3
	// maxRecoveryTime is the time after a shift of popularity within which
	// loads per request must be back under their bound.
	maxRecoveryTime = 60 * time.Second
	// recoveryWindow is the length of the windows over which loads per request
	// are taken to find the recovery: long enough for a few hundred requests.
	// A window starts every recoveryStep.
	recoveryWindow = 30 * time.Second
	recoveryStep   = 5 * time.Second
)

// measureLoads measures adapter loads at steady rates.
func measureLoads(o Options) ([]Row, error) {
	var rows []Row
	for _, c := range []struct{ zipf, rate float64 }{{1.0, rateZipf10}, {1.2, rateZipf12}} {
		trace := NewTrace(baseTrace(o, c.zipf, c.rate))
		name := fmt.Sprintf("loads, Zipf %.1f, %g/s", c.zipf, c.rate)
		naive, chosen, err := runBothPolicies(o, name, steadyConfig(o), trace)
		if err != nil {
			return nil, err
		}
		best := BestFixedSet(trace, warmUp, warmUp+o.Duration, DefaultTargets*DefaultSlots)
		rows = append(rows, adapterLoadRows(name, naive, chosen, best)...)
	}
	return rows, nil
}

// adapterLoadRows returns the rows of one steady rate. "Loads per answer" is the
// number of adapter loads divided by that of completed requests
// (Report.LoadsPerRequest).
func adapterLoadRows(name string, naive, chosen *Report, best float64) []Row {
	limit := best * maxLoadsOverBest
	return []Row{
		boundedRow(name+": loads per answer", naive.LoadsPerRequest(), chosen.LoadsPerRequest(),
			fmt.Sprintf("<= %.3f (best set %.3f +15%%)", limit, best), chosen.LoadsPerRequest() <= limit),
		boundedRow(name+": busiest target over mean", naive.BusiestRatio, chosen.BusiestRatio,
			fmt.Sprintf("<= %.1f", maxBusiestRatio), chosen.BusiestRatio <= maxBusiestRatio),
		boundedRow(name+": share of time waiting for adapter", naive.StallShare, chosen.StallShare,
			fmt.Sprintf("<= %.3f (naive/3)", naive.StallShare/3), chosen.StallShare <= naive.StallShare/3),
		unboundedRow(name+": loads a second", naive.LoadsPerSecond, chosen.LoadsPerSecond),
		storeLimitsRow(name, naive, chosen),
		unboundedRow(name+": answered within class", naive.AnsweredShare(), chosen.AnsweredShare()),
	}
}

// measureShift measures the recovery of loads per request after a shift of
// popularity.
func measureShift(o Options) ([]Row, error) {
	tc := baseTrace(o, 1.0, rateZipf10)
	tc.ShiftAt = warmUp + o.Duration/2
	trace := NewTrace(tc)
	name := fmt.Sprintf("shift, Zipf 1.0, %d/s", rateZipf10)
	naive, chosen, err := runBothPolicies(o, name, steadyConfig(o), trace)
	if err != nil {
		return nil, err
	}
	best := BestFixedSet(trace, tc.ShiftAt, tc.Length, DefaultTargets*DefaultSlots)
	limit := best * maxLoadsOverBest
	a, b := recovery(naive, tc, limit), recovery(chosen, tc, limit)
	return []Row{
		boundedRow(name+": seconds until loads per answer are back", a, b,
			fmt.Sprintf("<= %.0f (below %.3f)", maxRecoveryTime.Seconds(), limit), b <= maxRecoveryTime.Seconds()),
		storeLimitsRow(name, naive, chosen),
		unboundedRow(name+": answered within class", naive.AnsweredShare(), chosen.AnsweredShare()),
	}, nil
}

// recovery returns the seconds from the popularity shift to the start of the
// first window with at most limit loads per request, or infinity.
func recovery(r *Report, tc TraceConfig, limit float64) float64 {
	for from := tc.ShiftAt; from+recoveryWindow <= tc.Length; from += recoveryStep {
		if r.LoadsPerRequestIn(from, from+recoveryWindow) <= limit {
			return (from - tc.ShiftAt).Seconds()
		}
	}
	return math.Inf(1)
}
