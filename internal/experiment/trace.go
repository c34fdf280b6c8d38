package experiment

import (
	"math"
	"math/rand"
	"sort"
	"time"
)

// Request is one request of a trace.
type Request struct {
	// At is the time of arrival since the start of the trace.
	At      time.Duration
	Adapter int
	Long    bool
	// Prompt and Output are lengths in tokens.
	Prompt int
	Output int
	// Entry is the index of the entry that the load balancer chose.
	Entry int
}

// Traffic describes the arrivals of one class.
type Traffic struct {
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Prompt and Output are median lengths in tokens.
	Prompt int
	Output int
}

// RateStep multiplies the arrival rate by Factor. The factor rises linearly from 1
// during Ramp, which starts at From, and stays for Length.
type RateStep struct {
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
	Short    Traffic
	Long     Traffic
	// RateStep is optional.
	RateStep RateStep
	// ShiftAt is the time at which the popularity ranks of all adapters are
	// permuted; 0 means never.
	ShiftAt time.Duration
	Entries int
}

const (
	// outputSpread and promptSpread are the sigma parameters of the
	// log-normal distributions of lengths.
	outputSpread = 0.5
	promptSpread = 0.3
	// longSeed and shiftSeed are added to the seed for separate streams of
	// random numbers, so that long requests can be added without changing the
	// short ones.
	longSeed  = 7919
	shiftSeed = 104729
)

// NewTrace returns the requests of a trace in order of arrival.
func NewTrace(cfg TraceConfig) []Request {
	weights := cumulativeZipf(cfg.Adapters, cfg.Zipf)
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

// arrivals draws the requests of one class: a Poisson process whose rate follows
// the rate step, drawn by thinning.
func arrivals(cfg TraceConfig, traffic Traffic, long bool, rng *rand.Rand, pick func(*rand.Rand, time.Duration) int) []Request {
	if traffic.Rate <= 0 {
		return nil
	}
	peak := max(cfg.RateStep.Factor, 1)
	var list []Request
	for at := 0.0; ; {
		at += rng.ExpFloat64() / (traffic.Rate * peak)
		t := time.Duration(at * float64(time.Second))
		if t >= cfg.Length {
			return list
		}
		if rng.Float64()*peak > cfg.RateStep.rateFactorAt(t) {
			continue
		}
		list = append(list, Request{
			At: t, Adapter: pick(rng, t), Long: long,
			Prompt: logNormal(rng, traffic.Prompt, promptSpread),
			Output: logNormal(rng, traffic.Output, outputSpread),
			Entry:  rng.Intn(max(cfg.Entries, 1)),
		})
	}
}

// rateFactorAt returns the arrival rate at t relative to the base rate.
func (s RateStep) rateFactorAt(t time.Duration) float64 {
	since := t - s.From
	if s.Factor == 0 || since < 0 || since >= s.Ramp+s.Length {
		return 1
	}
	if since < s.Ramp {
		return 1 + (s.Factor-1)*float64(since)/float64(s.Ramp)
	}
	return s.Factor
}

// logNormal draws a length of at least 1 with the given median.
func logNormal(rng *rand.Rand, median int, sigma float64) int {
	return max(1, int(float64(median)*math.Exp(sigma*rng.NormFloat64())))
}

// cumulativeZipf returns the cumulative probabilities of n ranks with Zipf
// exponent s.
func cumulativeZipf(n int, s float64) []float64 {
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

// BestFixedSet returns the loads per request when the best fixed set of adapters
// is resident during [from, to): the share of requests for adapters that are not
// among the most requested ones, of which there are as many as slots.
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
