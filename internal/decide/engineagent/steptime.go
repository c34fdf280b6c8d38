package engineagent

import (
	"slices"
	"time"
)

const (
	// slowFactor is the ratio of the current to the baseline time per step above
	// which an engine counts as slow.
	slowFactor = 1.5
	// stepTimeWindow is the time over which the current step time is measured.
	// Engines count tokens by events of several steps each, so that a shorter
	// window gives an inaccurate result.
	stepTimeWindow = 120 * time.Millisecond
	// fasterWeight and slowerWeight are the weights of a sample in the baseline
	// time per step if the sample is faster or slower than the baseline. The
	// baseline stays close to the fast samples, because an engine is slow only
	// for a small part of the time.
	fasterWeight = 0.1
	slowerWeight = 0.01
	// minSamples is the number of samples before an engine can count as slow.
	minSamples = 20
	// stepsPerPromptToken is the work of reading one prompt token, in engine
	// steps: a step takes about 6 ms, as long as reading 150 tokens.
	stepsPerPromptToken = 1.0 / 150
	// maxSampleInterval is the maximum time between the two polls of a sample.
	maxSampleInterval = 200 * time.Millisecond
)

// stepTimer measures the time per engine step by the tokens that the requests
// of the engine gain between two polls. It detects a slowdown caused by other work
// on the engine's host: if a step takes 2.5 times as long as before, within 200 ms.
type stepTimer struct {
	// lastPollStartedAt is when the last poll with a result was started.
	lastPollStartedAt time.Time
	// window holds the samples of the last stepTimeWindow.
	window []stepSample
	// baselineMS and stepMS are the baseline and the current time per engine
	// step in milliseconds.
	baselineMS float64
	stepMS     float64
	samples    int
}

// stepSample is the time between two polls and the work done in it, in engine
// steps.
type stepSample struct {
	elapsed time.Duration
	work    float64
}

// addSample adds the work between the results of two polls. The second poll was
// started at pollStartedAt.
func (p *stepTimer) addSample(pollStartedAt time.Time, before, after EngineStatus) {
	elapsed := pollStartedAt.Sub(p.lastPollStartedAt)
	p.lastPollStartedAt = pollStartedAt
	if elapsed <= 0 || elapsed > maxSampleInterval || before.StartedAtMS != after.StartedAtMS || len(before.BatchRequests) == 0 {
		p.window = p.window[:0]
		return
	}
	p.window = append(p.window, stepSample{elapsed: elapsed, work: workBetween(before.BatchRequests, after.BatchRequests)})
	span, work := time.Duration(0), 0.0
	first := len(p.window)
	for first > 0 && span < stepTimeWindow {
		first--
		span += p.window[first].elapsed
		work += p.window[first].work
	}
	p.window = slices.Delete(p.window, 0, first)
	if span < stepTimeWindow || work == 0 {
		return
	}
	p.update(float64(span) / float64(time.Millisecond) / work)
}

// update sets the current time per step and adapts the baseline.
func (p *stepTimer) update(stepMS float64) {
	p.stepMS = stepMS
	p.samples++
	if p.samples == 1 {
		p.baselineMS = stepMS
	}
	weight := slowerWeight
	if stepMS < p.baselineMS {
		weight = fasterWeight
	}
	p.baselineMS += weight * (stepMS - p.baselineMS)
}

// workBetween returns the work of the engine between two polls in engine steps,
// including the prompt tokens that it read.
func workBetween(before, after []BatchRequest) float64 {
	known := make(map[string]BatchRequest, len(before))
	for _, r := range before {
		known[r.ID] = r
	}
	steps, read := 0, 0
	for _, r := range after {
		old, ok := known[r.ID]
		switch {
		case ok && old.Events > 0:
			steps = max(steps, r.Tokens-old.Tokens)
		case ok:
			read += r.Tokens - old.Tokens
		default:
			read += r.Tokens
		}
	}
	return float64(steps) + stepsPerPromptToken*float64(max(0, read))
}

// slow reports whether the current time per step is more than slowFactor times the
// baseline.
func (p *stepTimer) slow() bool { return p.samples >= minSamples && p.stepMS > slowFactor*p.baselineMS }

const (
	// referenceStepMS is the time per step of the engines for which the limits of unread
	// prompt tokens are set.
	referenceStepMS = 6.0
	// minSpeed and maxSpeed bound what a measured time per step changes.
	minSpeed = 0.6
	maxSpeed = 1.25
)

// usualStep returns the time per step while nothing slows the engine down, 0 before it is
// known.
func (p *stepTimer) usualStep() time.Duration {
	if p.samples < minSamples {
		return 0
	}
	return time.Duration(p.baselineMS * float64(time.Millisecond))
}

// speed returns how fast the engine is, 1 for one with the reference time per step. A slow
// engine that is sent as many prompts as a fast one pauses its streams for longer.
func (p *stepTimer) speed() float64 {
	if p.samples < minSamples || p.baselineMS <= 0 {
		return 1
	}
	return min(max(referenceStepMS/p.baselineMS, minSpeed), maxSpeed)
}
