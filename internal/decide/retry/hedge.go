package retry

import (
	"math"
	"time"
)

const (
	// hedgeSamples is the number of latencies before a quantile is used.
	hedgeSamples = 50
	// hedgeMedians bounds the delay of a hedge to a multiple of the median.
	// When a sixth of the targets are stragglers, the 95% quantile is the
	// stragglers' latency and a hedge at it would come too late.
	hedgeMedians = 3
	// bucketsPerOctave gives a resolution of 9%.
	bucketsPerOctave = 8
	buckets          = 17 * bucketsPerOctave
	// histogramLife is the number of samples after which all counts are
	// halved, so that the quantile follows a change within some hundred.
	histogramLife = 256
	// quantileEvery is the number of samples between two computations.
	quantileEvery = 16
)

// Kind groups requests whose latencies are alike.
type Kind struct {
	Class  string
	Stream bool
}

// Hedger decides when an attempt gets a second one in parallel.
type Hedger struct {
	cfg    Config
	budget float64
	kinds  map[Kind]*histogram
}

// NewHedger returns a hedger with a full budget.
func NewHedger(cfg Config) *Hedger {
	return &Hedger{cfg: cfg, budget: cfg.HedgeBurst, kinds: make(map[Kind]*histogram)}
}

// Admit earns budget for a new request.
func (h *Hedger) Admit() { h.budget = min(h.budget+h.cfg.HedgeRatio, h.cfg.HedgeBurst) }

// Observe takes the time from the start of an attempt to its first token.
func (h *Hedger) Observe(kind Kind, latency time.Duration) {
	g, ok := h.kinds[kind]
	if !ok {
		g = &histogram{}
		h.kinds[kind] = g
	}
	g.add(latency)
	if g.total >= hedgeSamples && g.added%quantileEvery == 0 {
		g.median = g.quantile(0.5)
		g.delay = min(g.quantile(h.cfg.HedgeQuantile), hedgeMedians*g.median)
	}
}

// Relative returns a latency as a multiple of the median of its kind, or
// false while there is no measure of it.
func (h *Hedger) Relative(kind Kind, latency time.Duration) (float64, bool) {
	median, ok := h.Median(kind)
	if !ok {
		return 0, false
	}
	return float64(latency) / float64(median), true
}

// Median returns the median of a kind, or false while there is no measure.
func (h *Hedger) Median(kind Kind) (time.Duration, bool) {
	g, ok := h.kinds[kind]
	if !ok || g.median == 0 {
		return 0, false
	}
	return g.median, true
}

// Delay returns how long an attempt runs before it is hedged, or false while
// there is no measure of it.
func (h *Hedger) Delay(kind Kind) (time.Duration, bool) {
	g, ok := h.kinds[kind]
	if !ok || h.cfg.HedgeQuantile <= 0 || g.delay == 0 {
		return 0, false
	}
	return g.delay, true
}

// Spend takes one hedge from the budget, if there is one.
func (h *Hedger) Spend() bool {
	if h.budget < 1 {
		return false
	}
	h.budget--
	return true
}

// histogram counts latencies in buckets of equal ratio from 1 ms.
type histogram struct {
	counts [buckets]float64
	total  float64
	added  int
	median time.Duration
	delay  time.Duration
}

func (g *histogram) add(latency time.Duration) {
	octaves := math.Log2(max(float64(latency)/float64(time.Millisecond), 1))
	g.counts[min(int(octaves*bucketsPerOctave), buckets-1)]++
	g.total++
	g.added++
	if g.total < histogramLife {
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
	return time.Duration(math.Exp2(buckets/bucketsPerOctave) * float64(time.Millisecond))
}
