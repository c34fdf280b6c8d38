package picker

import (
	"slices"
	"time"
)

const (
	// ejectRatio is the latency relative to the pool's median from which a
	// target is a straggler, and admitRatio the one below which a probe
	// brings it back.
	ejectRatio = 3.0
	admitRatio = 1.5
	// overtakenRatio is the latency that an overtaken attempt counts for.
	// Two in a row eject a target that was at the median before.
	overtakenRatio = 5.0
	// ejectSamples is the number of samples before a target is judged.
	ejectSamples = 3
	// ejectQuota is the largest share of a pool that is ejected: 1/4.
	ejectQuota = 4
	// minMedian is the least number of targets for a median.
	minMedian = 3
	// sampleLife is how long a target's samples count.
	sampleLife = 30 * time.Second
	// medianEvery bounds how often the median is computed.
	medianEvery = 100 * time.Millisecond
	// firstEject and longestEject bound the doubling time until a probe.
	firstEject   = time.Second
	longestEject = 64 * time.Second
)

// Outliers finds the stragglers of one pool by the entry's own first-token
// latencies.
type Outliers struct {
	targets map[string]*health
	names   []string
	ejected int
	usable  int
	median  time.Duration
	// medianAt is when the median was computed.
	medianAt time.Time
	scratch  []time.Duration
}

type health struct {
	latency time.Duration
	samples int
	at      time.Time
	ejected bool
	probeAt time.Time
	wait    time.Duration
	// probing is true from a probe until its first answer. Answers of
	// requests that were open at the ejection must not extend it.
	probing bool
}

// NewOutliers returns a pool without targets.
func NewOutliers() *Outliers { return &Outliers{targets: make(map[string]*health)} }

// SetUsable sets the number of targets that can take work; at most a quarter
// of them is ejected.
func (o *Outliers) SetUsable(n int) { o.usable = n }

// Forget drops what is known of a target, for example after a restart.
func (o *Outliers) Forget(name string) {
	h, ok := o.targets[name]
	if !ok {
		return
	}
	if h.ejected {
		o.ejected--
	}
	delete(o.targets, name)
	o.names = slices.DeleteFunc(o.names, func(n string) bool { return n == name })
}

// Observe takes a first-token latency. It reports whether the target's state
// changed.
func (o *Outliers) Observe(now time.Time, name string, sample time.Duration) bool {
	h, ok := o.targets[name]
	if !ok {
		h = &health{}
		o.targets[name] = h
		o.names = append(o.names, name)
	}
	if h.samples == 0 || now.Sub(h.at) > sampleLife {
		h.samples, h.latency = 0, sample
	}
	h.samples++
	h.at = now
	h.latency += (sample - h.latency) / 3
	median := o.Median(now)
	if median == 0 {
		return false
	}
	if h.ejected {
		return o.probed(now, h, sample, median)
	}
	return o.judge(now, h, median)
}

// Overdue takes the age of an attempt without an answer: a lower bound of its
// latency. It shows a straggler before its first answers do.
func (o *Outliers) Overdue(now time.Time, name string, age time.Duration) bool {
	h, ok := o.targets[name]
	switch {
	case ok && h.ejected:
		// A lower bound does not pass a probe, and a low one does not fail
		// it: a healthy target loses half of its races. A longer wait after
		// a lost race kept recovered targets out and the quota full.
		if median := o.Median(now); median > 0 && float64(age) >= admitRatio*float64(median) {
			o.probeFailed(now, h)
		}
		return false
	case ok && age <= h.latency:
		return false
	}
	return o.Observe(now, name, age)
}

// Overtaken takes the age of an attempt when a later one in parallel answered
// first. Its own answer is never seen, so the latency of a straggler whose
// requests are all hedged would otherwise seem to be just above the hedge's.
func (o *Outliers) Overtaken(now time.Time, name string, age time.Duration) bool {
	if h, ok := o.targets[name]; ok && h.ejected {
		return o.Overdue(now, name, age)
	}
	return o.Observe(now, name, max(age, time.Duration(overtakenRatio*float64(o.Median(now)))))
}

func (o *Outliers) probed(now time.Time, h *health, sample, median time.Duration) bool {
	if float64(sample) < admitRatio*float64(median) {
		o.ejected--
		*h = health{latency: sample, samples: 1, at: now}
		return true
	}
	o.probeFailed(now, h)
	return false
}

func (o *Outliers) probeFailed(now time.Time, h *health) {
	if h.probing {
		h.probing = false
		h.wait = min(2*h.wait, longestEject)
		h.probeAt = now.Add(h.wait)
	}
}

func (o *Outliers) judge(now time.Time, h *health, median time.Duration) bool {
	if h.samples < ejectSamples || float64(h.latency) < ejectRatio*float64(median) {
		return false
	}
	if o.ejected >= o.usable/ejectQuota {
		return false
	}
	o.ejected++
	h.ejected = true
	h.wait = firstEject
	h.probeAt = now.Add(h.wait)
	return true
}

// Ejected reports whether a target gets no requests but probes.
func (o *Outliers) Ejected(name string) bool {
	h, ok := o.targets[name]
	return ok && h.ejected
}

// ProbeDue reports whether an ejected target may get a probe.
func (o *Outliers) ProbeDue(now time.Time, name string) bool {
	h, ok := o.targets[name]
	return ok && h.ejected && !now.Before(h.probeAt)
}

// Probed records that a request went to a target. An ejected one then waits
// for the next probe; the probe's own latency may bring it back.
func (o *Outliers) Probed(now time.Time, name string) {
	if h, ok := o.targets[name]; ok && h.ejected {
		h.probing = true
		h.probeAt = now.Add(h.wait)
	}
}

// Count returns the number of ejected targets.
func (o *Outliers) Count() int { return o.ejected }

// Slowness returns a target's latency relative to the pool's median.
func (o *Outliers) Slowness(now time.Time, latency time.Duration) float64 {
	if median := o.Median(now); median > 0 {
		return float64(latency) / float64(median)
	}
	return 1
}

// Median returns the median latency of the targets with samples that count,
// or 0 if there are too few.
func (o *Outliers) Median(now time.Time) time.Duration {
	if !o.medianAt.IsZero() && now.Sub(o.medianAt) < medianEvery {
		return o.median
	}
	o.medianAt = now
	o.scratch = o.scratch[:0]
	for _, name := range o.names {
		if h := o.targets[name]; now.Sub(h.at) <= sampleLife {
			o.scratch = append(o.scratch, h.latency)
		}
	}
	o.median = 0
	if len(o.scratch) >= minMedian {
		slices.Sort(o.scratch)
		o.median = o.scratch[(len(o.scratch)-1)/2]
	}
	return o.median
}
