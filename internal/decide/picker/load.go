package picker

import (
	"math"
	"time"
)

const (
	// ReportLag is how late a load report may be.
	ReportLag = 2 * time.Second
	// SlowStart is how long a restarted target gets less than its share. It
	// covers the loads that fill its slots within the fleet's load budget.
	SlowStart = 10 * time.Second
	// balanceWindow is the time constant of the recent mean of own requests.
	// With a request at a target every other second, a shorter one mostly
	// holds chance.
	balanceWindow = 10 * time.Second
	// shareWindow is the time constant of a target's share of the requests.
	shareWindow = 60 * time.Second
	// latencyDecay is the time constant with which an old peak is forgotten.
	latencyDecay = 10 * time.Second
)

// Load estimates the requests at one target: the entry's own, which it counts
// exactly, and those of other entries, which only late reports show.
type Load struct {
	own int
	// ownMean follows own with the lag of the reports, so that a report is
	// compared with what the entry had there at that time.
	ownMean float64
	ownAt   time.Time
	others  float64
	// reported is the time of the last report.
	reported time.Time
	// recent is the mean of own over balanceWindow.
	recent float64
}

// Add changes the entry's own requests by n.
func (l *Load) Add(now time.Time, n int) {
	l.settle(now)
	l.own += n
}

// Own returns the entry's own requests.
func (l *Load) Own() int { return l.own }

// Others returns the smoothed number of requests of other entries.
func (l *Load) Others() float64 { return l.others }

func (l *Load) settle(now time.Time) {
	if now.After(l.ownAt) {
		l.ownMean += (float64(l.own) - l.ownMean) * share(now.Sub(l.ownAt), ReportLag)
		l.recent += (float64(l.own) - l.recent) * share(now.Sub(l.ownAt), balanceWindow)
		l.ownAt = now
	}
}

// Report takes a load report with the number of all requests at the target.
func (l *Load) Report(now time.Time, total int) {
	l.settle(now)
	sample := max(0, float64(total)-l.ownMean)
	weight := 1.0
	if !l.reported.IsZero() {
		weight = share(now.Sub(l.reported), ReportLag)
	}
	l.others += (sample - l.others) * weight
	l.reported = now
}

// Forget drops what was reported.
func (l *Load) Forget() { l.others, l.reported = 0, time.Time{} }

// Estimate returns the requests at the target, and their recent mean. Own
// requests count in full; what a report says beyond the mean of the pool
// counts less with its age.
func (l *Load) Estimate(now time.Time, meanOthers float64) (current, recent float64) {
	trust := 0.0
	if !l.reported.IsZero() {
		trust = 1 - share(now.Sub(l.reported), ReportLag)
	}
	others := meanOthers + (l.others-meanOthers)*trust
	own := float64(l.own)
	return own + others, l.recent + (own-l.recent)*share(now.Sub(l.ownAt), balanceWindow) + others
}

// share is the part of a difference that is made up after some time.
func share(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-max(0, elapsed.Seconds())/constant.Seconds())
}

// Counter counts requests with exponential decay over shareWindow.
type Counter struct {
	value float64
	at    time.Time
}

// Add counts one request.
func (c *Counter) Add(now time.Time) {
	c.value = c.Read(now) + 1
	c.at = now
}

// Read returns the decayed count.
func (c *Counter) Read(now time.Time) float64 {
	if c.value == 0 {
		return 0
	}
	return c.value * (1 - share(now.Sub(c.at), shareWindow))
}

// Latency is a peak-EWMA: it follows a rise at once and a fall slowly.
type Latency struct {
	value time.Duration
	at    time.Time
}

// Observe takes a sample.
func (l *Latency) Observe(now time.Time, sample time.Duration) {
	current := l.Read(now)
	if sample < current {
		sample = current + (sample-current)/4
	}
	l.value, l.at = sample, now
}

// AtLeast takes a lower bound of a sample.
func (l *Latency) AtLeast(now time.Time, bound time.Duration) {
	if bound > l.Read(now) {
		l.value, l.at = bound, now
	}
}

// Read returns the latency now. It decays, so that one bad sample does not
// keep requests away for ever from a target that then gets no more samples.
func (l *Latency) Read(now time.Time) time.Duration {
	return time.Duration(float64(l.value) * (1 - share(now.Sub(l.at), latencyDecay)))
}

// Warmth returns the share of its usual load that a target gets after it
// restarted. A zero time means that no restart was seen.
func Warmth(now, restarted time.Time) float64 {
	if restarted.IsZero() {
		return 1
	}
	return max(minWarmth, min(1, now.Sub(restarted).Seconds()/SlowStart.Seconds()))
}
