package picker

import (
	"math"
	"time"
)

const (
	// MaxReportDelay is the largest expected delay of a load report.
	MaxReportDelay = 2 * time.Second
	// SlowStartDuration is the time from a restart until a target gets its full
	// share of the requests. It covers the adapter loads that fill the
	// target's slots within the fleet's load budget.
	SlowStartDuration = 10 * time.Second
	// recentTimeConstant is the time constant of the recent mean of the
	// entry's own requests. With one request at a target every two seconds, a
	// shorter one shows mostly noise.
	recentTimeConstant = 10 * time.Second
	// counterTimeConstant is the time constant of a DecayingCounter.
	counterTimeConstant = 60 * time.Second
	// latencyTimeConstant is the time constant of the decay of a latency peak.
	latencyTimeConstant = 10 * time.Second
)

// LoadEstimator estimates the number of requests at one target. The own
// requests are the open attempts of this entry, which it counts exactly. The
// requests of other entries are known from delayed reports only.
type LoadEstimator struct {
	// own is the number of open attempts of this entry.
	own int
	// ownMean is the mean of own, smoothed with the time constant MaxReportDelay.
	// A report is compared with it, because it shows the entry's own requests of
	// an earlier time.
	ownMean float64
	// updatedAt is the time of the last update of ownMean and ownRecent.
	updatedAt time.Time
	// others is the number of requests of other entries at this target,
	// smoothed over the reports with the time constant MaxReportDelay.
	others float64
	// reportedAt is the time of the last report.
	reportedAt time.Time
	// ownRecent is the mean of own, smoothed with the time constant
	// recentTimeConstant.
	ownRecent float64
}

// Add changes the number of open attempts of this entry by n.
func (l *LoadEstimator) Add(now time.Time, n int) {
	l.update(now)
	l.own += n
}

// Own returns the number of open attempts of this entry.
func (l *LoadEstimator) Own() int { return l.own }

// Others returns the smoothed number of requests of other entries.
func (l *LoadEstimator) Others() float64 { return l.others }

// update brings the smoothed values up to now.
func (l *LoadEstimator) update(now time.Time) {
	if now.After(l.updatedAt) {
		l.ownMean += (float64(l.own) - l.ownMean) * smoothingWeight(now.Sub(l.updatedAt), MaxReportDelay)
		l.ownRecent += (float64(l.own) - l.ownRecent) * smoothingWeight(now.Sub(l.updatedAt), recentTimeConstant)
		l.updatedAt = now
	}
}

// Report processes a load report; total is the number of all requests at the
// target.
func (l *LoadEstimator) Report(now time.Time, total int) {
	l.update(now)
	sample := max(0, float64(total)-l.ownMean)
	weight := 1.0
	if !l.reportedAt.IsZero() {
		weight = smoothingWeight(now.Sub(l.reportedAt), MaxReportDelay)
	}
	l.others += (sample - l.others) * weight
	l.reportedAt = now
}

// ResetReports discards the reports.
func (l *LoadEstimator) ResetReports() { l.others, l.reportedAt = 0, time.Time{} }

// Estimate returns the number of requests at the target, now and as a recent
// mean. Own requests count in full. meanOthers is the mean number of requests
// of other entries at a target of the pool. As the last report ages, the
// estimate for other entries falls back to meanOthers.
func (l *LoadEstimator) Estimate(now time.Time, meanOthers float64) (current, recent float64) {
	weight := 0.0
	if !l.reportedAt.IsZero() {
		weight = 1 - smoothingWeight(now.Sub(l.reportedAt), MaxReportDelay)
	}
	others := meanOthers + (l.others-meanOthers)*weight
	own := float64(l.own)
	return own + others, l.ownRecent + (own-l.ownRecent)*smoothingWeight(now.Sub(l.updatedAt), recentTimeConstant) + others
}

// smoothingWeight returns the weight of a new value in an exponential moving
// average, given the time since the last update.
func smoothingWeight(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-max(0, elapsed.Seconds())/timeConstant.Seconds())
}

// DecayingCounter counts the recent attempts of this entry, with exponential
// decay.
type DecayingCounter struct {
	value float64
	at    time.Time
}

// Add counts one attempt.
func (c *DecayingCounter) Add(now time.Time) {
	c.value = c.Read(now) + 1
	c.at = now
}

// Read returns the decayed count.
func (c *DecayingCounter) Read(now time.Time) float64 {
	if c.value == 0 {
		return 0
	}
	return c.value * (1 - smoothingWeight(now.Sub(c.at), counterTimeConstant))
}

// PeakLatency is a peak EWMA (exponentially weighted moving average): it
// follows a rise at once and a fall slowly.
type PeakLatency struct {
	value time.Duration
	at    time.Time
}

// Observe adds a sample.
func (l *PeakLatency) Observe(now time.Time, sample time.Duration) {
	current := l.Read(now)
	if sample < current {
		sample = current + (sample-current)/4
	}
	l.value, l.at = sample, now
}

// RaiseTo raises the latency to bound if it is below. The bound is the age of
// an attempt whose latency is not known yet.
func (l *PeakLatency) RaiseTo(now time.Time, bound time.Duration) {
	if bound > l.Read(now) {
		l.value, l.at = bound, now
	}
}

// Read returns the latency at a time. It decays, because a target that gets no
// requests after one high sample also gets no lower samples.
func (l *PeakLatency) Read(now time.Time) time.Duration {
	return time.Duration(float64(l.value) * (1 - smoothingWeight(now.Sub(l.at), latencyTimeConstant)))
}

// SlowStartShare returns the share of its usual load that a target gets after a
// restart. It grows to 1 within SlowStartDuration. A zero time means that no
// restart was seen.
func SlowStartShare(now, restarted time.Time) float64 {
	if restarted.IsZero() {
		return 1
	}
	return max(minSlowStartShare, min(1, now.Sub(restarted).Seconds()/SlowStartDuration.Seconds()))
}
