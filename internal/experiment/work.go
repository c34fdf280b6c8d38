package experiment

import (
	"fmt"
	"math"
	"time"
)

const (
	// batchLight is a load that the naive policy carries as well, so that
	// batches are compared at equal work; batchFull is above what it carries.
	batchLight = 4
	batchFull  = 15
	batchZipf  = 1.2
	// tokensBound is the least ratio of tokens a second.
	tokensBound = 1.3
)

func measureBatch(o Options) ([]Row, error) {
	var rows []Row
	for _, rate := range []float64{batchLight, batchFull} {
		tc := baseTrace(o, batchZipf, rate)
		name := fmt.Sprintf("batch, Zipf %.1f, %g/s", batchZipf, rate)
		naive, chosen, err := pair(o, name, steadyConfig(o), NewTrace(tc))
		if err != nil {
			return nil, err
		}
		rows = append(rows, info(name+": mean batch size", naive.MeanBatch, chosen.MeanBatch))
		if rate == batchLight {
			rows = append(rows,
				bounded(name+": distinct adapters in a batch", naive.MeanDistinct, chosen.MeanDistinct,
					fmt.Sprintf("< %.3f (naive)", naive.MeanDistinct), chosen.MeanDistinct < naive.MeanDistinct))
		} else {
			rows = append(rows,
				info(name+": distinct adapters in a batch", naive.MeanDistinct, chosen.MeanDistinct),
				bounded(name+": tokens a second", naive.TokensASecond, chosen.TokensASecond,
					fmt.Sprintf(">= %.0f (1.3 x naive)", tokensBound*naive.TokensASecond),
					chosen.TokensASecond >= tokensBound*naive.TokensASecond))
		}
		rows = append(rows, info(name+": answered within class", naive.AnsweredShare(), chosen.AnsweredShare()))
	}
	return rows, nil
}

const (
	peakRate   = 3
	peakFactor = 10
	peakRamp   = 2 * time.Second
	peakLength = 20 * time.Second
	// peakBound and goodputBound are the bounds of the design page.
	peakBound    = 2
	goodputBound = 0.9
	// capacityTime is the measured time of each steady rate.
	capacityTime = 60 * time.Second
)

func measurePeak(o Options) ([]Row, error) {
	capacity, err := measuredCapacity(o)
	if err != nil {
		return nil, err
	}
	tc := baseTrace(o, 1.0, peakRate)
	tc.Step = Step{From: warmUp, Ramp: peakRamp, Length: peakLength, Factor: peakFactor}
	tc.Length = warmUp + peakRamp + peakLength + 30*time.Second
	cfg := DefaultConfig(o.Seed)
	cfg.From, cfg.To = warmUp, warmUp+peakRamp+peakLength
	trace := NewTrace(tc)
	name := fmt.Sprintf("peak, Zipf 1.0, %d/s x %d", peakRate, peakFactor)
	naive, chosen, err := pair(o, name, cfg, trace)
	if err != nil {
		return nil, err
	}
	// The best set of the whole trace, because the peak alone is too short
	// to tell popularity from chance.
	best := BestFixedSet(trace, 0, tc.Length, DefaultTargets*DefaultSlots)
	ideal := idealGoodput(best, float64(chosen.Requests)/(cfg.To-cfg.From).Seconds())
	return []Row{
		bounded(name+": answered within class", naive.AnsweredShare(), chosen.AnsweredShare(),
			fmt.Sprintf(">= %.3f (2 x naive)", peakBound*naive.AnsweredShare()),
			chosen.AnsweredShare() >= peakBound*naive.AnsweredShare()),
		bounded(name+": goodput a second", naive.Goodput, chosen.Goodput,
			fmt.Sprintf(">= %.1f (90%% of capacity %.1f)", goodputBound*capacity, capacity),
			chosen.Goodput >= goodputBound*capacity),
		info(name+": goodput with the best fixed set resident", math.NaN(), ideal),
		storeRow(name, naive, chosen),
	}, nil
}

// idealGoodput is what the weight store allows at a rate when the best fixed
// set is resident: all hits, and a miss for each load.
func idealGoodput(best, rate float64) float64 { return min(rate, (1-best)*rate+StoreRate) }

// measuredCapacity returns the best goodput of the chosen policy at steady
// rates up to the rate of the peak.
func measuredCapacity(o Options) (float64, error) {
	var jobs []job
	for _, factor := range []float64{1, 2, 4, 6, 8, 10} {
		tc := baseTrace(o, 1.0, peakRate*factor)
		tc.Length = warmUp + capacityTime
		cfg := DefaultConfig(o.Seed)
		cfg.From, cfg.To = warmUp, tc.Length
		jobs = append(jobs, job{fmt.Sprintf("capacity, %g/s", peakRate*factor), cfg, Chosen(), NewTrace(tc)})
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

// The tail measures run at a light rate and at one that needs about half of the
// weight store. At 10/s, which needs 80% of it, more than 1% of requests wait
// for a load for longer than their budget, so that no p99 exists.
var tailRates = []float64{2, 6}

const (
	tailZipf        = 1.2
	longFraction    = 0.05
	blockingBound   = 1.3
	slowTargets     = 2
	slowFactor      = 5
	stragglerLag    = 2 * time.Second
	stragglersBound = 1.5
)

func measureBlocking(o Options) ([]Row, error) {
	var rows []Row
	for _, rate := range tailRates {
		short := baseTrace(o, tailZipf, rate)
		mixed := short
		mixed.Long = Load{Rate: rate * longFraction / (1 - longFraction), Prompt: longPrompt, Output: longOutput}
		cfg := steadyConfig(o)
		more, err := tail{
			name: fmt.Sprintf("blocking, Zipf %.1f, %g/s", tailZipf, rate), what: "5% long", bound: blockingBound,
			calm: cfg, calmTrace: NewTrace(short), disturbed: cfg, disturbedTrace: NewTrace(mixed),
		}.run(o)
		if err != nil {
			return nil, err
		}
		rows = append(rows, more...)
	}
	return rows, nil
}

func measureStragglers(o Options) ([]Row, error) {
	var rows []Row
	for _, rate := range tailRates {
		trace := NewTrace(baseTrace(o, tailZipf, rate))
		calm := steadyConfig(o)
		slow := calm
		slow.ReportLag = stragglerLag
		slow.SlowTargets, slow.SlowFactor, slow.SlowFrom = slowTargets, slowFactor, warmUp
		more, err := tail{
			name: fmt.Sprintf("stragglers, Zipf %.1f, %g/s", tailZipf, rate), what: "2 slow", bound: stragglersBound,
			calm: calm, calmTrace: trace, disturbed: slow, disturbedTrace: trace,
		}.run(o)
		if err != nil {
			return nil, err
		}
		rows = append(rows, more...)
		slow.LagTokens = true
		name := fmt.Sprintf("stragglers, Zipf %.1f, %g/s, with 2 slow, needs for load tokens also late", tailZipf, rate)
		naive, chosen, err := pair(o, name, slow, trace)
		if err != nil {
			return nil, err
		}
		rows = append(rows, info(name+": answered within class", naive.AnsweredShare(), chosen.AnsweredShare()))
	}
	return rows, nil
}

// tail compares the p99 of short requests with and without a disturbance.
type tail struct {
	name, what                string
	bound                     float64
	calm, disturbed           Config
	calmTrace, disturbedTrace []Request
}

func (t tail) run(o Options) ([]Row, error) {
	none, some := t.name+", without "+t.what, t.name+", with "+t.what
	r, err := runAll(o, []job{
		{none, t.calm, Naive(), t.calmTrace}, {some, t.disturbed, Naive(), t.disturbedTrace},
		{none, t.calm, Chosen(), t.calmTrace}, {some, t.disturbed, Chosen(), t.disturbedTrace},
	})
	if err != nil {
		return nil, err
	}
	// Without a finite p99 on both sides there is no ratio, and the bound
	// is missed.
	naive, chosen := r[1].ShortP99/r[0].ShortP99, r[3].ShortP99/r[2].ShortP99
	return []Row{
		bounded(t.name+": short p99 with "+t.what+" over without", naive, chosen,
			fmt.Sprintf("<= %.1f", t.bound), chosen <= t.bound),
		info(none+": short p99 (s)", r[0].ShortP99, r[2].ShortP99),
		info(some+": short p99 (s)", r[1].ShortP99, r[3].ShortP99),
		info(none+": short first-token p99 (s)", r[0].ShortFirst.P99.Seconds(), r[2].ShortFirst.P99.Seconds()),
		info(some+": short first-token p99 (s)", r[1].ShortFirst.P99.Seconds(), r[3].ShortFirst.P99.Seconds()),
		info(none+": answered within class", r[0].AnsweredShare(), r[2].AnsweredShare()),
		info(some+": answered within class", r[1].AnsweredShare(), r[3].AnsweredShare()),
	}, nil
}
