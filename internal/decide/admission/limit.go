package admission

import "time"

const (
	// tokenTarget is the time between tokens that most requests must keep.
	tokenTarget = 38 * time.Millisecond
	// lateShare is the share of slower requests in a window that lowers the
	// limit. It is half of the 5% that may be slower, because the windows
	// before a decrease are above it.
	lateShare = 0.025
	// calmShare of tokenTarget must not be passed on average before the
	// limit grows. The gap to the target keeps the limit from alternating
	// around it.
	calmShare = 0.9
	// backoff is the factor of a decrease.
	backoff = 0.9
	// minWindow is the least number of samples behind an increase: enough
	// to tell lateShare from one outlier.
	minWindow = 40
	// minTokens is the shortest answer that is a sample. In shorter ones the
	// time to the first token prevails.
	minTokens = 4
)

// limiter adapts the number of running items to what the engine sustains:
// additive increase, multiplicative decrease against tokenTarget.
type limiter struct {
	limit, lowest, highest int
	static                 bool
	// reached is set when the limit kept an item from starting; without it
	// the samples say nothing about a higher limit.
	reached bool
	// changed is the time of the last change. Items that started before ran
	// under another limit and are no samples.
	changed       time.Time
	samples, late int
	service       time.Duration
	tokens        int
}

func (l *limiter) configure(cfg Config) {
	wasHighest := l.limit == l.highest
	l.highest = cfg.MaxRunning
	l.lowest = cfg.MinRunning
	if l.lowest <= 0 {
		l.lowest = max(1, cfg.MaxRunning/4)
	}
	l.lowest = min(l.lowest, l.highest)
	l.static = cfg.StaticLimit || cfg.FIFO
	if wasHighest || l.static {
		l.limit = l.highest
	}
	l.limit = min(max(l.limit, l.lowest), l.highest)
}

// observe takes the service time of a finished item.
func (l *limiter) observe(now, started time.Time, service time.Duration, tokens int) {
	if l.static || tokens < minTokens || started.Before(l.changed) {
		return
	}
	l.samples++
	l.service += service
	l.tokens += tokens
	if service > time.Duration(tokens)*tokenTarget {
		l.late++
	}
	window := max(minWindow, l.limit)
	if float64(l.late) > lateShare*float64(window) {
		l.change(now, int(float64(l.limit)*backoff))
		return
	}
	if l.samples < window {
		return
	}
	mean := l.service / time.Duration(l.tokens)
	if l.reached && float64(mean) < calmShare*float64(tokenTarget) {
		l.change(now, l.limit+1)
		return
	}
	l.restart()
}

func (l *limiter) change(now time.Time, limit int) {
	limit = min(max(limit, l.lowest), l.highest)
	if limit != l.limit {
		l.limit = limit
		l.changed = now
	}
	l.restart()
}

func (l *limiter) restart() {
	l.samples, l.late, l.service, l.tokens = 0, 0, 0, 0
	l.reached = false
}
