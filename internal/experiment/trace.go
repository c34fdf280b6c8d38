package experiment

import (
	"math"
	"math/rand"
	"sort"
	"time"
)

// Request is one arrival of a trace.
type Request struct {
	// At is the time of arrival since the start of the run.
	At      time.Duration
	Adapter int
	Long    bool
	// Prompt and Output are lengths in tokens.
	Prompt int
	Output int
	// Entry is the entry that the balancer chose.
	Entry int
}

// Load describes the arrivals of one class.
type Load struct {
	// Rate is the number of arrivals a second.
	Rate float64
	// Prompt and Output are median lengths in tokens.
	Prompt int
	Output int
}

// Step raises the arrival rate for a while.
type Step struct {
	From   time.Duration
	Ramp   time.Duration
	Length time.Duration
	Factor float64
}

// TraceConfig describes a trace.
type TraceConfig struct {
	Seed     int64
	Length   time.Duration
	Adapters int
	Zipf     float64
	Short    Load
	Long     Load
	// Step is optional.
	Step Step
	// ShiftAt permutes the popularity of all adapters at that time; 0 never.
	ShiftAt time.Duration
	Entries int
}

const (
	// outputSpread and promptSpread are the sigmas of the log-normal
	// lengths.
	outputSpread = 0.5
	promptSpread = 0.3
	// longSeed and shiftSeed keep the streams of random numbers apart, so
	// that long work can be added without changing the short arrivals.
	longSeed  = 7919
	shiftSeed = 104729
)

// NewTrace returns the arrivals in order of time.
func NewTrace(cfg TraceConfig) []Request {
	weights := zipfTable(cfg.Adapters, cfg.Zipf)
	before := rand.New(rand.NewSource(cfg.Seed)).Perm(cfg.Adapters)
	after := rand.New(rand.NewSource(cfg.Seed + shiftSeed)).Perm(cfg.Adapters)
	pick := func(rng *rand.Rand, at time.Duration) int {
		rank := min(sort.SearchFloat64s(weights, rng.Float64()), cfg.Adapters-1)
		if cfg.ShiftAt > 0 && at >= cfg.ShiftAt {
			return after[rank]
		}
		return before[rank]
	}
	trace := arrivals(cfg, cfg.Short, false, rand.New(rand.NewSource(cfg.Seed+1)), pick)
	trace = append(trace, arrivals(cfg, cfg.Long, true, rand.New(rand.NewSource(cfg.Seed+longSeed)), pick)...)
	sort.SliceStable(trace, func(i, j int) bool { return trace[i].At < trace[j].At })
	return trace
}

// arrivals draws a Poisson process with the step's rate by thinning.
func arrivals(cfg TraceConfig, load Load, long bool, rng *rand.Rand, pick func(*rand.Rand, time.Duration) int) []Request {
	if load.Rate <= 0 {
		return nil
	}
	peak := max(cfg.Step.Factor, 1)
	var list []Request
	for at := 0.0; ; {
		at += rng.ExpFloat64() / (load.Rate * peak)
		t := time.Duration(at * float64(time.Second))
		if t >= cfg.Length {
			return list
		}
		if rng.Float64()*peak > cfg.Step.factorAt(t) {
			continue
		}
		list = append(list, Request{
			At: t, Adapter: pick(rng, t), Long: long,
			Prompt: logNormal(rng, load.Prompt, promptSpread),
			Output: logNormal(rng, load.Output, outputSpread),
			Entry:  rng.Intn(max(cfg.Entries, 1)),
		})
	}
}

// factorAt returns the arrival rate at t relative to the base rate.
func (s Step) factorAt(t time.Duration) float64 {
	since := t - s.From
	if s.Factor == 0 || since < 0 || since >= s.Ramp+s.Length {
		return 1
	}
	if since < s.Ramp {
		return 1 + (s.Factor-1)*float64(since)/float64(s.Ramp)
	}
	return s.Factor
}

func logNormal(rng *rand.Rand, median int, sigma float64) int {
	return max(1, int(float64(median)*math.Exp(sigma*rng.NormFloat64())))
}

// zipfTable returns the cumulative probabilities of the ranks.
func zipfTable(n int, s float64) []float64 {
	table := make([]float64, n)
	sum := 0.0
	for i := range table {
		sum += math.Pow(float64(i+1), -s)
		table[i] = sum
	}
	for i := range table {
		table[i] /= sum
	}
	return table
}

// BestFixedSet returns the loads per request of the best fixed set of
// adapters for the arrivals of [from, to): the share of requests for adapters
// outside the slots most requested ones.
func BestFixedSet(trace []Request, from, to time.Duration, slots int) float64 {
	counts := make(map[int]int)
	total := 0
	for _, r := range trace {
		if r.At >= from && r.At < to {
			counts[r.Adapter]++
			total++
		}
	}
	list := make([]int, 0, len(counts))
	for _, n := range counts {
		list = append(list, n)
	}
	sort.Sort(sort.Reverse(sort.IntSlice(list)))
	missed := 0
	for _, n := range list[min(slots, len(list)):] {
		missed += n
	}
	return float64(missed) / float64(max(total, 1))
}
