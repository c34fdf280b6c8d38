package scheduler

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/slots"
)

const (
	// loadIntervalSmoothing is the divisor of the exponential moving average:
	// a new sample has the weight 1/loadIntervalSmoothing.
	loadIntervalSmoothing = 4
	// initialLoadInterval is the estimate before the first sample.
	initialLoadInterval = 400 * time.Millisecond
)

// loadInterval estimates the time between two load starts while adapters wait.
// It includes everything that delays a load: missing load tokens, pinned slots
// and unloads.
type loadInterval struct {
	estimate time.Duration
	// sampleStart is when the last load started or, if later, when adapters
	// began to wait; zero while none waits.
	sampleStart time.Time
}

// setWaiting records whether adapters wait for a load.
func (l *loadInterval) setWaiting(now time.Time, anyWaiting bool) {
	if !anyWaiting {
		l.sampleStart = time.Time{}
	} else if l.sampleStart.IsZero() {
		l.sampleStart = now
	}
}

// loadStarted records the start of a load. A load that did not wait gives no
// sample.
func (l *loadInterval) loadStarted(now time.Time) {
	if sample := now.Sub(l.sampleStart); !l.sampleStart.IsZero() && sample > 0 {
		l.estimate += (sample - l.estimate) / loadIntervalSmoothing
	}
	l.sampleStart = now
}

// adapterDelay predicts how long it takes until an adapter is resident.
func (s *Scheduler) adapterDelay(now time.Time, key slots.Key) time.Duration {
	if key.Adapter == "" {
		return 0
	}
	switch s.components.slots.State(key) {
	case slots.Resident:
		return 0
	case slots.Loading:
		return s.loadTime()
	}
	list := s.loadDemands()
	ahead := slices.IndexFunc(list, func(d loadDemand) bool { return d.key == key })
	if ahead < 0 {
		ahead = len(list)
	}
	ahead = max(0, ahead-s.components.loadBudget.Available(now))
	// The most urgent adapter is predicted to wait only for its load. If its
	// requests were refused, no adapter would wait, and the target would
	// request no load tokens and get no new samples of the interval.
	return s.loadTime() + time.Duration(ahead)*s.loadInterval.estimate
}
