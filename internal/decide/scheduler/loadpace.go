package scheduler

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/slots"
)

const (
	// paceSmoothing divides a new sample of the time between loads.
	paceSmoothing = 4
	// initialPace is assumed before two loads have followed each other.
	initialPace = 400 * time.Millisecond
)

// loadPace learns the time between two load starts while adapters wait. It
// covers all that delays a load: tokens, pinned slots and unloads.
type loadPace struct {
	interval time.Duration
	// from is when the last load started or, if later, when adapters began
	// to wait; zero while none waits.
	from time.Time
}

// waiting records whether adapters wait for a load.
func (p *loadPace) waiting(now time.Time, some bool) {
	if !some {
		p.from = time.Time{}
	} else if p.from.IsZero() {
		p.from = now
	}
}

// started records the start of a load. A load that did not have to wait says
// nothing about the pace.
func (p *loadPace) started(now time.Time) {
	if sample := now.Sub(p.from); !p.from.IsZero() && sample > 0 {
		p.interval += (sample - p.interval) / paceSmoothing
	}
	p.from = now
}

// adapterDelay predicts when an adapter is resident.
func (s *Scheduler) adapterDelay(now time.Time, key slots.Key) time.Duration {
	if key.Adapter == "" {
		return 0
	}
	switch s.parts.slots.State(key) {
	case slots.Resident:
		return 0
	case slots.Loading:
		return s.loadTime()
	}
	list := s.demands()
	ahead := slices.IndexFunc(list, func(d demand) bool { return d.key == key })
	if ahead < 0 {
		ahead = len(list)
	}
	ahead = max(0, ahead-s.parts.budget.Available(now))
	// The first in line is always expected in time. If it were refused, the
	// target would ask for no tokens and learn no better pace.
	return s.loadTime() + time.Duration(ahead)*s.pace.interval
}
