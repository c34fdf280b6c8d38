package picker

import (
	"slices"
	"time"
)

const (
	// ejectRatio is the latency relative to the pool's median from which a
	// target is ejected as a straggler, and admitRatio the one below which a
	// probe readmits it.
	ejectRatio = 3.0
	admitRatio = 1.5
	// overtakenRatio is the lowest latency, as a multiple of the median, that is
	// recorded for an attempt whose hedge answered first. Two in a row eject a
	// target that was at the median before.
	overtakenRatio = 5.0
	// minEjectSamples is the number of samples from which a target may be
	// ejected.
	minEjectSamples = 3
	// maxEjectedDivisor limits the ejected targets to a quarter of those with
	// an open session.
	maxEjectedDivisor = 4
	// minMedianTargets is the least number of targets for a median.
	minMedianTargets = 3
	// sampleTTL is the time since its last sample after which a target's
	// samples no longer count.
	sampleTTL = 30 * time.Second
	// minMedianInterval is the least time between two computations of the
	// median.
	minMedianInterval = 100 * time.Millisecond
	// minProbeDelay and maxProbeDelay bound the time until the next probe,
	// which doubles with each failed one.
	minProbeDelay = time.Second
	maxProbeDelay = 64 * time.Second
)

// OutlierDetector detects the stragglers of one pool, the targets that are much
// slower than its median, and ejects them. Its samples are latencies of this
// entry's own attempts, normalized so that the median of each kind of request
// has the same value. They come from first-token latencies and inter-chunk
// times.
type OutlierDetector struct {
	state map[string]*health
	// names lists the keys of targets in the order of their first samples.
	names []string
	// ejected and usable count the ejected targets and those with an open
	// session.
	ejected int
	usable  int
	median  time.Duration
	// medianAt is when the median was computed.
	medianAt time.Time
	scratch  []time.Duration
}

// health is the state of one target.
type health struct {
	// latency is the moving average of the samples.
	latency time.Duration
	samples int
	// sampledAt is the time of the last sample.
	sampledAt time.Time
	ejected   bool
	// probeAt is when the next probe is due, probeDelay the delay between
	// probes.
	probeAt    time.Time
	probeDelay time.Duration
	// probing is true from a probe until the first slow sample after it.
	// Samples of requests that were open at the ejection must not lengthen
	// the delay.
	probing bool
}

// NewOutlierDetector returns the state of a pool without targets.
func NewOutlierDetector() *OutlierDetector { return &OutlierDetector{state: make(map[string]*health)} }

// SetUsable sets the number of targets with an open session. At most a quarter
// of this number is ejected.
func (o *OutlierDetector) SetUsable(n int) { o.usable = n }

// Forget removes the samples and the ejection of a target, for example after a
// restart.
func (o *OutlierDetector) Forget(name string) {
	h, ok := o.state[name]
	if !ok {
		return
	}
	if h.ejected {
		o.ejected--
	}
	delete(o.state, name)
	o.names = slices.DeleteFunc(o.names, func(n string) bool { return n == name })
}

// Observe adds a sample of normalized latency. It reports whether the target
// was ejected or readmitted by it.
func (o *OutlierDetector) Observe(now time.Time, name string, sample time.Duration) bool {
	h, ok := o.state[name]
	if !ok {
		h = &health{}
		o.state[name] = h
		o.names = append(o.names, name)
	}
	if h.samples == 0 || now.Sub(h.sampledAt) > sampleTTL {
		h.samples, h.latency = 0, sample
	}
	h.samples++
	h.sampledAt = now
	h.latency += (sample - h.latency) / 3
	median := o.Median(now)
	if median == 0 {
		return false
	}
	if h.ejected {
		return o.readmitIfFast(now, h, sample, median)
	}
	return o.ejectIfSlow(now, h, median)
}

// ObserveOpenAttempt processes the age of an attempt without an answer, which
// is a lower bound of its latency. With it, a straggler is detected before its
// first answers arrive. It reports whether the target was ejected.
func (o *OutlierDetector) ObserveOpenAttempt(now time.Time, name string, age time.Duration) bool {
	h, ok := o.state[name]
	switch {
	case ok && h.ejected:
		// The age is only a lower bound of the latency, so it never readmits
		// the target, and it fails the probe only from admitRatio times the
		// median. A probe runs in parallel to another attempt, and if both
		// targets are healthy, the probe is overtaken in half of the cases.
		// If that lengthened the delay between probes, recovered targets
		// would stay ejected, and no other target could be ejected within
		// the quarter that maxEjectedDivisor allows.
		if median := o.Median(now); median > 0 && float64(age) >= admitRatio*float64(median) {
			o.probeFailed(now, h)
		}
		return false
	case ok && age <= h.latency:
		return false
	}
	return o.Observe(now, name, age)
}

// ObserveHedgeWon processes the age of an attempt at the target name, at the time
// when a later parallel attempt (a hedge) at another target answered first. The latency of the overtaken
// attempt is never known. If its age were the sample, a straggler whose
// requests are all hedged would seem only slightly slower than the hedges. It
// reports whether the target was ejected.
func (o *OutlierDetector) ObserveHedgeWon(now time.Time, name string, age time.Duration) bool {
	if h, ok := o.state[name]; ok && h.ejected {
		return o.ObserveOpenAttempt(now, name, age)
	}
	return o.Observe(now, name, max(age, time.Duration(overtakenRatio*float64(o.Median(now)))))
}

// readmitIfFast decides about an ejected target by a sample.
func (o *OutlierDetector) readmitIfFast(now time.Time, h *health, sample, median time.Duration) bool {
	if float64(sample) < admitRatio*float64(median) {
		o.ejected--
		*h = health{latency: sample, samples: 1, sampledAt: now}
		return true
	}
	o.probeFailed(now, h)
	return false
}

// probeFailed doubles the delay between probes, once for each probe.
func (o *OutlierDetector) probeFailed(now time.Time, h *health) {
	if h.probing {
		h.probing = false
		h.probeDelay = min(2*h.probeDelay, maxProbeDelay)
		h.probeAt = now.Add(h.probeDelay)
	}
}

// ejectIfSlow ejects a target if it is too slow and maxEjectedDivisor allows
// another ejected target.
func (o *OutlierDetector) ejectIfSlow(now time.Time, h *health, median time.Duration) bool {
	if h.samples < minEjectSamples || float64(h.latency) < ejectRatio*float64(median) {
		return false
	}
	if o.ejected >= o.usable/maxEjectedDivisor {
		return false
	}
	o.ejected++
	h.ejected = true
	h.probeDelay = minProbeDelay
	h.probeAt = now.Add(h.probeDelay)
	return true
}

// Ejected reports whether a target is ejected. Requests avoid it if they can.
func (o *OutlierDetector) Ejected(name string) bool {
	h, ok := o.state[name]
	return ok && h.ejected
}

// ProbeDue reports whether an ejected target may get a probe now.
func (o *OutlierDetector) ProbeDue(now time.Time, name string) bool {
	h, ok := o.state[name]
	return ok && h.ejected && !now.Before(h.probeAt)
}

// RequestSent records that an attempt was started at a target. It is called for
// every attempt and changes nothing if the target is not ejected. If the target
// is ejected, the attempt counts as a probe: its latency may readmit the
// target, and the next probe is due after the delay between probes.
func (o *OutlierDetector) RequestSent(now time.Time, name string) {
	if h, ok := o.state[name]; ok && h.ejected {
		h.probing = true
		h.probeAt = now.Add(h.probeDelay)
	}
}

// EjectedCount returns the number of ejected targets.
func (o *OutlierDetector) EjectedCount() int { return o.ejected }

// LatencyRatio returns a target's latency relative to the pool's median.
func (o *OutlierDetector) LatencyRatio(now time.Time, latency time.Duration) float64 {
	if median := o.Median(now); median > 0 {
		return float64(latency) / float64(median)
	}
	return 1
}

// Median returns the median latency of the targets with recent samples, or 0 if
// there are too few of them.
func (o *OutlierDetector) Median(now time.Time) time.Duration {
	if !o.medianAt.IsZero() && now.Sub(o.medianAt) < minMedianInterval {
		return o.median
	}
	o.medianAt = now
	o.scratch = o.scratch[:0]
	for _, name := range o.names {
		if h := o.state[name]; now.Sub(h.sampledAt) <= sampleTTL {
			o.scratch = append(o.scratch, h.latency)
		}
	}
	o.median = 0
	if len(o.scratch) >= minMedianTargets {
		slices.Sort(o.scratch)
		o.median = o.scratch[(len(o.scratch)-1)/2]
	}
	return o.median
}
