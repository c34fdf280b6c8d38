package retry

import (
	"math"
	"time"
)

const (
	// minHedgeSamples is the least number of samples of a kind, after halving
	// of old ones, from which quantiles are computed.
	minHedgeSamples = 50
	// maxDelayOverMedian bounds the delay of a hedge to a multiple of the
	// median. If a sixth of the targets are stragglers, the 95% quantile is
	// the latency of the stragglers, and a hedge after it would come too late.
	maxDelayOverMedian = 3
	// bucketsPerOctave gives a resolution of 9%.
	bucketsPerOctave = 8
	// bucketCount covers latencies from 1 ms to 131 s (17 octaves).
	bucketCount = 17 * bucketsPerOctave
	// maxHistogramTotal is the sum of the counts at which all of them are
	// halved, so that a quantile follows a change within a few hundred
	// samples.
	maxHistogramTotal = 256
	// samplesPerQuantile is the number of samples between two computations of
	// the quantiles.
	samplesPerQuantile = 16
)

// Kind is a group of samples with similar values: those of requests of one
// class that are all streamed or all not streamed.
type Kind struct {
	// Class is the name of the class. First-token latencies and inter-chunk
	// times of a class have different names here, so that they are apart.
	Class  string
	Stream bool
}

// Hedger decides when an attempt gets a second one in parallel, and holds the
// budget of such hedges for one pool at one entry. It also holds the latency
// statistics of the pool that this needs, by kind: Median and LatencyRatio
// return them, whether or not hedges are on.
type Hedger struct {
	cfg    Config
	budget float64
	kinds  map[Kind]*histogram
}

// NewHedger returns a hedger with a full budget.
func NewHedger(cfg Config) *Hedger {
	return &Hedger{cfg: cfg, budget: cfg.HedgeBurst, kinds: make(map[Kind]*histogram)}
}

// CountRequest adds to the budget for a new request.
func (h *Hedger) CountRequest() { h.budget = min(h.budget+h.cfg.HedgeRatio, h.cfg.HedgeBurst) }

// Observe adds a sample of a kind: the first-token latency of an attempt, from
// its start, or the duration of some consecutive chunks of an answer.
func (h *Hedger) Observe(kind Kind, latency time.Duration) {
	g, ok := h.kinds[kind]
	if !ok {
		g = &histogram{}
		h.kinds[kind] = g
	}
	g.add(latency)
	if g.total >= minHedgeSamples && g.added%samplesPerQuantile == 0 {
		g.median = g.quantile(0.5)
		g.delay = min(g.quantile(h.cfg.HedgeQuantile), maxDelayOverMedian*g.median)
	}
}

// LatencyRatio returns a sample as a multiple of the median of its kind, or
// false while there are too few samples of that kind.
func (h *Hedger) LatencyRatio(kind Kind, latency time.Duration) (float64, bool) {
	median, ok := h.Median(kind)
	if !ok {
		return 0, false
	}
	return float64(latency) / float64(median), true
}

// Median returns the median sample of a kind, or false while there are too few
// samples of it.
func (h *Hedger) Median(kind Kind) (time.Duration, bool) {
	g, ok := h.kinds[kind]
	if !ok || g.median == 0 {
		return 0, false
	}
	return g.median, true
}

// HedgeDelay returns how long an attempt runs before it is hedged. It returns
// false if hedges are off or there are too few samples of the kind.
func (h *Hedger) HedgeDelay(kind Kind) (time.Duration, bool) {
	g, ok := h.kinds[kind]
	if !ok || h.cfg.HedgeQuantile <= 0 || g.delay == 0 {
		return 0, false
	}
	return g.delay, true
}

// Spend takes one hedge from the budget. It reports whether there was one.
func (h *Hedger) Spend() bool {
	if h.budget < 1 {
		return false
	}
	h.budget--
	return true
}

// histogram counts latencies in logarithmic buckets from 1 ms, with halving of
// old counts.
type histogram struct {
	counts [bucketCount]float64
	// total is the sum of counts, added the number of samples ever added.
	total float64
	added int
	// median and delay are the results of the last computation; 0 before it.
	median time.Duration
	delay  time.Duration
}

func (g *histogram) add(latency time.Duration) {
	octaves := math.Log2(max(float64(latency)/float64(time.Millisecond), 1))
	g.counts[min(int(octaves*bucketsPerOctave), bucketCount-1)]++
	g.total++
	g.added++
	if g.total < maxHistogramTotal {
		return
	}
	g.total = 0
	for i := range g.counts {
		g.counts[i] /= 2
		g.total += g.counts[i]
	}
}

// quantile returns the upper bound of the bucket that holds the quantile.
func (g *histogram) quantile(q float64) time.Duration {
	rest := q * g.total
	for i, count := range g.counts {
		if rest -= count; rest <= 0 {
			return time.Duration(math.Exp2(float64(i+1)/bucketsPerOctave) * float64(time.Millisecond))
		}
	}
	return time.Duration(math.Exp2(bucketCount/bucketsPerOctave) * float64(time.Millisecond))
}
