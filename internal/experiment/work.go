package experiment

import (
	"fmt"
	"math"
	"time"
)

const (
	// Requests per second. The naive policy sustains batchLightRate as well,
	// so that batches are compared at equal work. It does not sustain
	// batchHighRate.
	batchLightRate = 4
	batchHighRate  = 15
	batchZipf      = 1.2
	// minTokensRatio is the smallest accepted ratio of the chosen to the naive
	// tokens per second.
	minTokensRatio = 1.3
)

// measureBatch measures the batches of engines at two rates.
func measureBatch(o Options) ([]Row, error) {
	var rows []Row
	for _, rate := range []float64{batchLightRate, batchHighRate} {
		tc := baseTrace(o, batchZipf, rate)
		name := fmt.Sprintf("batch, Zipf %.1f, %g/s", batchZipf, rate)
		naive, chosen, err := runBothPolicies(o, name, steadyConfig(o), NewTrace(tc))
		if err != nil {
			return nil, err
		}
		rows = append(rows, unboundedRow(name+": mean batch size", naive.MeanBatch, chosen.MeanBatch))
		if rate == batchLightRate {
			rows = append(rows,
				boundedRow(name+": distinct adapters in a batch", naive.MeanDistinctAdapters, chosen.MeanDistinctAdapters,
					fmt.Sprintf("< %.3f (naive)", naive.MeanDistinctAdapters), chosen.MeanDistinctAdapters < naive.MeanDistinctAdapters))
		} else {
			rows = append(rows,
				unboundedRow(name+": distinct adapters in a batch", naive.MeanDistinctAdapters, chosen.MeanDistinctAdapters),
				boundedRow(name+": tokens a second", naive.TokensPerSecond, chosen.TokensPerSecond,
					fmt.Sprintf(">= %.0f (1.3 x naive)", minTokensRatio*naive.TokensPerSecond),
					chosen.TokensPerSecond >= minTokensRatio*naive.TokensPerSecond))
		}
		rows = append(rows, unboundedRow(name+": answered within class", naive.AnsweredShare(), chosen.AnsweredShare()))
	}
	return rows, nil
}

const (
	// peakRate is the rate before the peak in requests per second. During
	// peakRamp it rises to peakFactor times as much, and it stays there for
	// peakDuration.
	peakRate     = 3
	peakFactor   = 10
	peakRamp     = 2 * time.Second
	peakDuration = 20 * time.Second
	// minAnsweredRatio bounds the ratio of the chosen to the naive answered
	// share, minGoodputShare the ratio of goodput to the maximum goodput at
	// steady rates (docs/design.md).
	minAnsweredRatio = 2
	minGoodputShare  = 0.9
	// maxGoodputDuration is the length of the measured window at each steady
	// rate of measureMaxGoodput.
	maxGoodputDuration = 60 * time.Second
)

// measurePeak measures a peak of the arrival rate.
func measurePeak(o Options) ([]Row, error) {
	maxGoodput, err := measureMaxGoodput(o)
	if err != nil {
		return nil, err
	}
	tc := baseTrace(o, 1.0, peakRate)
	tc.RateStep = RateStep{From: warmUp, Ramp: peakRamp, Length: peakDuration, Factor: peakFactor}
	tc.Length = warmUp + peakRamp + peakDuration + 30*time.Second
	cfg := DefaultConfig(o.Seed)
	cfg.From, cfg.To = warmUp, warmUp+peakRamp+peakDuration
	trace := NewTrace(tc)
	name := fmt.Sprintf("peak, Zipf 1.0, %d/s x %d", peakRate, peakFactor)
	naive, chosen, err := runBothPolicies(o, name, cfg, trace)
	if err != nil {
		return nil, err
	}
	// The best fixed set is taken over the whole trace. The peak alone has too
	// few requests to separate popularity from chance.
	best := BestFixedSet(trace, 0, tc.Length, DefaultTargets*DefaultSlots)
	ideal := idealGoodput(best, float64(chosen.Requests)/(cfg.To-cfg.From).Seconds())
	return []Row{
		boundedRow(name+": answered within class", naive.AnsweredShare(), chosen.AnsweredShare(),
			fmt.Sprintf(">= %.3f (2 x naive)", minAnsweredRatio*naive.AnsweredShare()),
			chosen.AnsweredShare() >= minAnsweredRatio*naive.AnsweredShare()),
		boundedRow(name+": goodput a second", naive.Goodput, chosen.Goodput,
			fmt.Sprintf(">= %.1f (90%% of maximum goodput %.1f)", minGoodputShare*maxGoodput, maxGoodput),
			chosen.Goodput >= minGoodputShare*maxGoodput),
		unboundedRow(name+": goodput with the best fixed set resident", math.NaN(), ideal),
		storeLimitsRow(name, naive, chosen),
	}, nil
}

// idealGoodput returns the goodput that the weight store permits at a rate when
// the best fixed set is resident: all requests for resident adapters, and one
// other request per load. miss is the share of those others.
func idealGoodput(miss, rate float64) float64 { return min(rate, (1-miss)*rate+StoreLoadsPerSecond) }

// measureMaxGoodput returns the highest goodput of the chosen policy over steady
// rates up to the rate of the peak.
func measureMaxGoodput(o Options) (float64, error) {
	var jobs []job
	for _, factor := range []float64{1, 2, 4, 6, 8, 10} {
		tc := baseTrace(o, 1.0, peakRate*factor)
		tc.Length = warmUp + maxGoodputDuration
		cfg := DefaultConfig(o.Seed)
		cfg.From, cfg.To = warmUp, tc.Length
		jobs = append(jobs, job{fmt.Sprintf("maximum goodput, %g/s", peakRate*factor), cfg, Chosen(), NewTrace(tc)})
	}
	reports, err := runAll(o, jobs)
	if err != nil {
		return 0, err
	}
	best := 0.0
	for _, r := range reports {
		best = max(best, r.Goodput)
	}
	return best, nil
}

// tailRates are the requests per second of the measures of p99: a light rate and
// one that needs about half of the weight store's load rate. At 10/s, which needs
// 80% of it, more than 1% of requests wait for a load for longer than their
// budget, so that there is no finite p99.
var tailRates = []float64{2, 6}

const (
	tailZipf = 1.2
	// longFraction is the share of long requests in the mixed trace.
	longFraction = 0.05
	// maxBlockingP99Ratio and maxStragglersP99Ratio are the largest accepted
	// ratios of the p99 of short requests with a disturbance to the p99
	// without it.
	maxBlockingP99Ratio   = 1.3
	slowTargets           = 2
	slowFactor            = 5
	stragglerReportLag    = 2 * time.Second
	maxStragglersP99Ratio = 1.5
)

// measureBlocking measures how much long requests slow down short ones.
func measureBlocking(o Options) ([]Row, error) {
	var rows []Row
	for _, rate := range tailRates {
		short := baseTrace(o, tailZipf, rate)
		mixed := short
		mixed.Long = Traffic{Rate: rate * longFraction / (1 - longFraction), Prompt: longPrompt, Output: longOutput}
		cfg := steadyConfig(o)
		more, err := tailComparison{
			name: fmt.Sprintf("blocking, Zipf %.1f, %g/s", tailZipf, rate), disturbance: "5% long requests", bound: maxBlockingP99Ratio,
			undisturbed: cfg, undisturbedTrace: NewTrace(short), disturbed: cfg, disturbedTrace: NewTrace(mixed),
		}.run(o)
		if err != nil {
			return nil, err
		}
		rows = append(rows, more...)
	}
	return rows, nil
}

// measureStragglers measures how much slow targets slow down short requests.
func measureStragglers(o Options) ([]Row, error) {
	var rows []Row
	for _, rate := range tailRates {
		trace := NewTrace(baseTrace(o, tailZipf, rate))
		undisturbed := steadyConfig(o)
		disturbed := undisturbed
		disturbed.ReportLag = stragglerReportLag
		disturbed.SlowTargets, disturbed.SlowFactor, disturbed.SlowFrom = slowTargets, slowFactor, warmUp
		more, err := tailComparison{
			name: fmt.Sprintf("stragglers, Zipf %.1f, %g/s", tailZipf, rate), disturbance: "2 slow targets", bound: maxStragglersP99Ratio,
			undisturbed: undisturbed, undisturbedTrace: trace, disturbed: disturbed, disturbedTrace: trace,
		}.run(o)
		if err != nil {
			return nil, err
		}
		rows = append(rows, more...)
		disturbed.LagLoadTokens = true
		name := fmt.Sprintf("stragglers, Zipf %.1f, %g/s, with 2 slow targets, load token requests also delayed", tailZipf, rate)
		naive, chosen, err := runBothPolicies(o, name, disturbed, trace)
		if err != nil {
			return nil, err
		}
		rows = append(rows, unboundedRow(name+": answered within class", naive.AnsweredShare(), chosen.AnsweredShare()))
	}
	return rows, nil
}

// tailComparison compares the p99 of short requests with and without a
// disturbance.
type tailComparison struct {
	name, disturbance                string
	bound                            float64
	undisturbed, disturbed           Config
	undisturbedTrace, disturbedTrace []Request
}

func (t tailComparison) run(o Options) ([]Row, error) {
	undisturbedName, disturbedName := t.name+", without "+t.disturbance, t.name+", with "+t.disturbance
	r, err := runAll(o, []job{
		{undisturbedName, t.undisturbed, Naive(), t.undisturbedTrace}, {disturbedName, t.disturbed, Naive(), t.disturbedTrace},
		{undisturbedName, t.undisturbed, Chosen(), t.undisturbedTrace}, {disturbedName, t.disturbed, Chosen(), t.disturbedTrace},
	})
	if err != nil {
		return nil, err
	}
	// If the p99 with the disturbance is infinite, the ratio is +Inf or NaN
	// and the bound is missed.
	naive, chosen := r[1].ShortP99/r[0].ShortP99, r[3].ShortP99/r[2].ShortP99
	return []Row{
		boundedRow(t.name+": short p99 with "+t.disturbance+" over without", naive, chosen,
			fmt.Sprintf("<= %.1f", t.bound), chosen <= t.bound),
		unboundedRow(undisturbedName+": short p99 (s)", r[0].ShortP99, r[2].ShortP99),
		unboundedRow(disturbedName+": short p99 (s)", r[1].ShortP99, r[3].ShortP99),
		unboundedRow(undisturbedName+": short first-token p99 (s)", r[0].ShortFirstToken.P99.Seconds(), r[2].ShortFirstToken.P99.Seconds()),
		unboundedRow(disturbedName+": short first-token p99 (s)", r[1].ShortFirstToken.P99.Seconds(), r[3].ShortFirstToken.P99.Seconds()),
		unboundedRow(undisturbedName+": answered within class", r[0].AnsweredShare(), r[2].AnsweredShare()),
		unboundedRow(disturbedName+": answered within class", r[1].AnsweredShare(), r[3].AnsweredShare()),
	}, nil
}
