package engineagent

import (
	"cmp"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/result"
)

const (
	// maxParallelLoads is the maximum number of adapters that one engine loads
	// at once, as specified by the platform.
	maxParallelLoads = 4
	// initialLoadTime is the assumed duration of an adapter load before one has
	// finished.
	initialLoadTime = 250 * time.Millisecond
	// congestedFactor is the ratio to the shortest load time above which the
	// weight store counts as congested. All engines share the store; beyond its
	// capacity more parallel loads only take longer.
	congestedFactor = 1.5
	// parallelLoadsStep is added to the number of parallel loads after a load
	// without congestion; the number is halved after a load with congestion.
	parallelLoadsStep = 0.5
)

// loadLimiter limits the adapter loads of one engine by how long they take, so that
// all target processes together stay close to the load rate that the weight store
// serves at full speed.
type loadLimiter struct {
	startedAt map[Adapter]time.Time
	// minLoadTime and meanLoadTime are the shortest and the mean duration of a
	// load.
	minLoadTime  time.Duration
	meanLoadTime time.Duration
	// parallelLoads is the number of loads that may run at once.
	parallelLoads float64
}

func newLoadLimiter() loadLimiter {
	return loadLimiter{startedAt: make(map[Adapter]time.Time), meanLoadTime: initialLoadTime, parallelLoads: maxParallelLoads / 2}
}

// loadStarted records that the engine has accepted the order to load an adapter.
func (l *loadLimiter) loadStarted(now time.Time, x Adapter) {
	if _, ok := l.startedAt[x]; !ok {
		l.startedAt[x] = now
	}
}

// update applies the status of the engine. A load is over when the adapter is no
// longer being loaded; it succeeded if the adapter is resident. Loads of
// cached adapters are not measured, because they do not use the weight store.
func (l *loadLimiter) update(now time.Time, status EngineStatus, cached []Adapter) {
	for x, startedAt := range l.startedAt {
		_, loading := status.Loading[x]
		_, resident := status.Held[x]
		if loading {
			continue
		}
		delete(l.startedAt, x)
		if resident && !slices.Contains(cached, x) {
			l.recordLoadTime(now.Sub(startedAt))
		}
	}
}

func (l *loadLimiter) recordLoadTime(d time.Duration) {
	if l.minLoadTime == 0 || d < l.minLoadTime {
		l.minLoadTime = d
	}
	l.meanLoadTime += time.Duration(loadTimeWeight * float64(d-l.meanLoadTime))
	if float64(d) > congestedFactor*float64(l.minLoadTime) {
		l.parallelLoads = max(1, l.parallelLoads/2)
		return
	}
	l.parallelLoads = min(maxParallelLoads, l.parallelLoads+parallelLoadsStep)
}

// loadTimeWeight is the weight of a new sample in the mean load time.
const loadTimeWeight = 0.3

// maxLoads returns the number of loads that may run at once now.
func (l *loadLimiter) maxLoads() int { return int(l.parallelLoads) }

// predictWait predicts the time until an adapter is loaded if a number of loads
// wait before it.
func (l *loadLimiter) predictWait(ahead int) time.Duration {
	return l.meanLoadTime + time.Duration(float64(l.meanLoadTime)*float64(ahead)/max(1, l.parallelLoads))
}

// demand is an adapter that waiting requests need and that is not resident in a
// sufficient version.
type demand struct {
	adapter    Adapter
	minVersion int
	requests   int
	// onTime counts the requests whose first event can still be on time.
	onTime          int
	firstReservedAt time.Time
}

// demands returns the adapters that waiting requests need, ordered by the number of
// requests that can be on time, then by all requests, then by the oldest request.
func (a *Agent) demands(now time.Time) []demand {
	byAdapter := make(map[Adapter]*demand)
	var list []*demand
	for _, r := range a.queue {
		if r.adapter.Name == "" || !a.holdsModel(r.adapter.Model) {
			continue
		}
		if _, ok := a.ready(r); ok {
			continue
		}
		d, ok := byAdapter[r.adapter]
		if !ok {
			d = &demand{adapter: r.adapter, firstReservedAt: r.reservedAt}
			byAdapter[r.adapter] = d
			list = append(list, d)
		}
		d.minVersion = max(d.minVersion, r.minVersion)
		d.requests++
		if now.Add(a.loadLimiter.minLoadTime + expectedFirstEventDelay).Before(r.firstEventDue) {
			d.onTime++
		}
	}
	slices.SortStableFunc(list, func(x, y *demand) int {
		return cmp.Or(cmp.Compare(y.onTime, x.onTime), cmp.Compare(y.requests, x.requests), x.firstReservedAt.Compare(y.firstReservedAt))
	})
	sorted := make([]demand, 0, len(list))
	for _, d := range list {
		sorted = append(sorted, *d)
	}
	return sorted
}

// refuseStarved refuses the waiting requests whose first event is late and whose
// adapter does not load, while requests that can be on time wait for more adapters than
// may load at once. Loads for those come first, so that the others would wait until
// their deadline and still be refused.
func (a *Agent) refuseStarved(now time.Time) {
	onTime := 0
	starved := make(map[Adapter]bool)
	for _, d := range a.demands(now) {
		if _, loading := a.status.Loading[d.adapter]; loading {
			continue
		}
		if d.onTime > 0 {
			onTime++
		} else {
			starved[d.adapter] = true
		}
	}
	if onTime <= a.loadLimiter.maxLoads() {
		return
	}
	retryAfter := a.loadLimiter.predictWait(onTime)
	for _, r := range slices.Clone(a.queue) {
		if starved[r.adapter] && now.Add(expectedFirstEventDelay).After(r.firstEventDue) {
			a.rec.Count("starved_loads")
			a.refuse(r, result.BudgetExceeded, retryAfter)
			a.removeReservation(now, r)
		}
	}
}

// AbsentAdapters returns the number of adapters that wait for the start of a
// load.
func (a *Agent) AbsentAdapters() int { return a.countAbsentAdapters() }

// countAbsentAdapters returns the number of adapters that waiting requests need and
// that are neither resident nor being loaded.
func (a *Agent) countAbsentAdapters() int {
	seen := make(map[Adapter]bool)
	for _, r := range a.queue {
		_, resident := a.status.Held[r.adapter]
		_, loading := a.status.Loading[r.adapter]
		if r.adapter.Name != "" && !resident && !loading {
			seen[r.adapter] = true
		}
	}
	return len(seen)
}
