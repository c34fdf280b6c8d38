package experiment

import (
	"fmt"
	"math"
	"time"
)

const (
	// Arrivals a second of the load measures: about 80% of what the weight
	// store can carry with the best fixed set.
	rateZipf10 = 9
	rateZipf12 = 15
	// steadyMargin is how far loads per request may be above the best fixed
	// set, busiestBound bounds the busiest target over the mean.
	steadyMargin = 1.15
	busiestBound = 1.3
	// shiftBound is the time in which loads per request must be back after
	// a shift of popularity.
	shiftBound = 60 * time.Second
	// shiftWindow is the length of the windows in which recovery is sought:
	// long enough for a few hundred requests.
	shiftWindow = 30 * time.Second
	shiftStep   = 5 * time.Second
)

func measureLoads(o Options) ([]Row, error) {
	var rows []Row
	for _, c := range []struct{ zipf, rate float64 }{{1.0, rateZipf10}, {1.2, rateZipf12}} {
		trace := NewTrace(baseTrace(o, c.zipf, c.rate))
		name := fmt.Sprintf("loads, Zipf %.1f, %g/s", c.zipf, c.rate)
		naive, chosen, err := pair(o, name, steadyConfig(o), trace)
		if err != nil {
			return nil, err
		}
		best := BestFixedSet(trace, warmUp, warmUp+o.Duration, DefaultTargets*DefaultSlots)
		rows = append(rows, loadRows(name, naive, chosen, best)...)
	}
	return rows, nil
}

func loadRows(name string, naive, chosen *Report, best float64) []Row {
	limit := best * steadyMargin
	return []Row{
		bounded(name+": loads per answer", naive.LoadsPerRequest(), chosen.LoadsPerRequest(),
			fmt.Sprintf("<= %.3f (best set %.3f +15%%)", limit, best), chosen.LoadsPerRequest() <= limit),
		bounded(name+": busiest target over mean", naive.Busiest, chosen.Busiest,
			fmt.Sprintf("<= %.1f", busiestBound), chosen.Busiest <= busiestBound),
		bounded(name+": share of time waiting for adapter", naive.StallShare, chosen.StallShare,
			fmt.Sprintf("<= %.3f (naive/3)", naive.StallShare/3), chosen.StallShare <= naive.StallShare/3),
		info(name+": loads a second", naive.LoadsASecond, chosen.LoadsASecond),
		storeRow(name, naive, chosen),
		info(name+": answered within class", naive.AnsweredShare(), chosen.AnsweredShare()),
	}
}

func measureShift(o Options) ([]Row, error) {
	tc := baseTrace(o, 1.0, rateZipf10)
	tc.ShiftAt = warmUp + o.Duration/2
	trace := NewTrace(tc)
	name := fmt.Sprintf("shift, Zipf 1.0, %d/s", rateZipf10)
	naive, chosen, err := pair(o, name, steadyConfig(o), trace)
	if err != nil {
		return nil, err
	}
	best := BestFixedSet(trace, tc.ShiftAt, tc.Length, DefaultTargets*DefaultSlots)
	limit := best * steadyMargin
	a, b := recovery(naive, tc, limit), recovery(chosen, tc, limit)
	return []Row{
		bounded(name+": seconds until loads per answer are back", a, b,
			fmt.Sprintf("<= %.0f (below %.3f)", shiftBound.Seconds(), limit), b <= shiftBound.Seconds()),
		storeRow(name, naive, chosen),
		info(name+": answered within class", naive.AnsweredShare(), chosen.AnsweredShare()),
	}, nil
}

// recovery returns the seconds from the shift to the start of the first
// window with at most limit loads per request, or infinity.
func recovery(r *Report, tc TraceConfig, limit float64) float64 {
	for from := tc.ShiftAt; from+shiftWindow <= tc.Length; from += shiftStep {
		if r.LoadsPerRequestIn(from, from+shiftWindow) <= limit {
			return (from - tc.ShiftAt).Seconds()
		}
	}
	return math.Inf(1)
}
