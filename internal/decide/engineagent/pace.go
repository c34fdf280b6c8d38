package engineagent

import (
	"slices"
	"time"
)

const (
	// slowFactor is the multiple of its usual time per unit of work from which
	// an engine counts as slow.
	slowFactor = 1.5
	// paceSpan is the time over which the present pace is taken. Engines report
	// tokens by events of several steps each, so that a shorter one is coarse.
	paceSpan = 120 * time.Millisecond
	// fasterShare and slowerShare are the weights with which the usual pace
	// follows a faster and a slower one. It stays near the fast ones, because
	// an engine is slow for a small part of the time.
	fasterShare = 0.1
	slowerShare = 0.01
	// paceSamples is the number of samples before an engine is judged.
	paceSamples = 20
	// promptWeight is the work of reading a prompt token in engine steps: a
	// step of some 6 ms takes as long as reading 150 tokens.
	promptWeight = 1.0 / 150
	// longestSample bounds the time between two looks of one sample.
	longestSample = 200 * time.Millisecond
)

// pace follows how fast an engine works, by the tokens that its requests gain
// between two looks. A noisy neighbour of the engine's host shows in it within
// some 100 ms.
type pace struct {
	lookedAt time.Time
	// recent holds the samples of the last paceSpan.
	recent []paceSample
	// usual and present are milliseconds per unit of work.
	usual   float64
	present float64
	samples int
}

type paceSample struct {
	passed time.Duration
	work   float64
}

// observe takes a look that was asked for at a time.
func (p *pace) observe(asked time.Time, before, after Look) {
	passed := asked.Sub(p.lookedAt)
	p.lookedAt = asked
	if passed <= 0 || passed > longestSample || before.Incarnation != after.Incarnation || len(before.Runs) == 0 {
		p.recent = p.recent[:0]
		return
	}
	p.recent = append(p.recent, paceSample{passed: passed, work: workBetween(before.Runs, after.Runs)})
	span, work := time.Duration(0), 0.0
	first := len(p.recent)
	for first > 0 && span < paceSpan {
		first--
		span += p.recent[first].passed
		work += p.recent[first].work
	}
	p.recent = slices.Delete(p.recent, 0, first)
	if span < paceSpan || work == 0 {
		return
	}
	p.learn(float64(span) / float64(time.Millisecond) / work)
}

func (p *pace) learn(present float64) {
	p.present = present
	p.samples++
	if p.samples == 1 {
		p.usual = present
	}
	share := slowerShare
	if present < p.usual {
		share = fasterShare
	}
	p.usual += share * (present - p.usual)
}

// workBetween returns the steps of the engine between two looks, with what it
// read of prompts counted as steps.
func workBetween(before, after []Run) float64 {
	known := make(map[string]Run, len(before))
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
	return float64(steps) + promptWeight*float64(max(0, read))
}

// slow tells whether the engine works at a fraction of its usual pace.
func (p *pace) slow() bool { return p.samples >= paceSamples && p.present > slowFactor*p.usual }
