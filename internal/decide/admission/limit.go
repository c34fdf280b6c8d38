package admission

import "time"

const (
	// maxTimePerToken bounds the service time of a request divided by the
	// tokens of its answer. At most 5% of the requests may exceed it.
	maxTimePerToken = 38 * time.Millisecond
	// maxSlowFraction is the fraction of requests above maxTimePerToken in a
	// window from which the limit is lowered. It is half of the permitted 5%,
	// because the windows that lead to a decrease exceed the fraction.
	maxSlowFraction = 0.025
	// increaseThreshold is the fraction of maxTimePerToken below which the mean
	// time per token must be before the limit is raised. If the limit were
	// raised up to maxTimePerToken, it would oscillate.
	increaseThreshold = 0.9
	// decreaseFactor is the factor by which the limit is lowered.
	decreaseFactor = 0.9
	// minWindowSamples is the minimum number of samples before an increase:
	// enough to distinguish maxSlowFraction from one outlier.
	minWindowSamples = 40
	// minSampleTokens is the length of the shortest answer that is a sample.
	// The service time of a shorter one is mostly the time to its first token.
	minSampleTokens = 4
)

// limiter adapts the maximum number of running items to what the engine
// sustains: additive increase and multiplicative decrease (AIMD), driven by the
// time per token relative to maxTimePerToken.
type limiter struct {
	limit, minLimit, maxLimit int
	static                    bool
	// limitReached is set when the limit prevented an item from starting.
	// Otherwise the samples are no evidence that a higher limit would help.
	limitReached bool
	// changedAt is the time of the last change. Items that started before it
	// ran under another limit and are no samples.
	changedAt            time.Time
	samples, slowSamples int
	totalServiceTime     time.Duration
	totalTokens          int
}

func (l *limiter) configure(cfg Config) {
	wasAtMax := l.limit == l.maxLimit
	l.maxLimit = cfg.MaxRunning
	l.minLimit = cfg.MinRunning
	if l.minLimit <= 0 {
		l.minLimit = max(1, cfg.MaxRunning/4)
	}
	l.minLimit = min(l.minLimit, l.maxLimit)
	l.static = cfg.StaticLimit || cfg.FIFO
	if wasAtMax || l.static {
		l.limit = l.maxLimit
	}
	l.limit = min(max(l.limit, l.minLimit), l.maxLimit)
}

// observe adds a finished item as a sample and changes the limit if the samples
// since the last decision require it.
func (l *limiter) observe(now, startedAt time.Time, serviceTime time.Duration, tokens int) {
	if l.static || tokens < minSampleTokens || startedAt.Before(l.changedAt) {
		return
	}
	l.samples++
	l.totalServiceTime += serviceTime
	l.totalTokens += tokens
	if serviceTime > time.Duration(tokens)*maxTimePerToken {
		l.slowSamples++
	}
	window := max(minWindowSamples, l.limit)
	if float64(l.slowSamples) > maxSlowFraction*float64(window) {
		l.setLimit(now, int(float64(l.limit)*decreaseFactor))
		return
	}
	if l.samples < window {
		return
	}
	mean := l.totalServiceTime / time.Duration(l.totalTokens)
	if l.limitReached && float64(mean) < increaseThreshold*float64(maxTimePerToken) {
		l.setLimit(now, l.limit+1)
		return
	}
	l.resetWindow()
}

func (l *limiter) setLimit(now time.Time, limit int) {
	limit = min(max(limit, l.minLimit), l.maxLimit)
	if limit != l.limit {
		l.limit = limit
		l.changedAt = now
	}
	l.resetWindow()
}

func (l *limiter) resetWindow() {
	l.samples, l.slowSamples, l.totalServiceTime, l.totalTokens = 0, 0, 0, 0
	l.limitReached = false
}
