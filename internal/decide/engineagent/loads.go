package engineagent

import (
	"cmp"
	"slices"
	"time"
)

const (
	// mostComing is the number of adapters that may be on their way to one
	// engine, a figure of the platform.
	mostComing = 4
	// initialLoad is the time of an adapter load before any was measured.
	initialLoad = 250 * time.Millisecond
	// congestedFactor is the multiple of the shortest load time from which the
	// weight store counts as congested: it serves all loads of the fleet at
	// once, so that more of them take longer without any being gained.
	congestedFactor = 1.5
	// comingStep is what the number of parallel loads grows by after a load
	// that met no congestion; it is halved after one that did.
	comingStep = 0.5
)

// loads follows the adapter loads of one engine. Each process limits its own
// loads by how long they take, so that all processes together stay near what
// the weight store serves at full speed.
type loads struct {
	since map[Adapter]time.Time
	// shortest and present are the least and the mean time of a load.
	shortest time.Duration
	present  time.Duration
	// parallel is the number of loads that may be under way.
	parallel float64
}

func newLoads() loads {
	return loads{since: make(map[Adapter]time.Time), present: initialLoad, parallel: mostComing / 2}
}

// began records an accepted order for an adapter that the engine has to fetch.
func (l *loads) began(now time.Time, x Adapter) {
	if _, ok := l.since[x]; !ok {
		l.since[x] = now
	}
}

// looked takes a look: what is held has been loaded, what is neither held nor
// coming was dropped.
func (l *loads) looked(now time.Time, look Look, recent []Adapter) {
	for x, since := range l.since {
		_, coming := look.Coming[x]
		_, held := look.Held[x]
		if coming {
			continue
		}
		delete(l.since, x)
		if held && !slices.Contains(recent, x) {
			l.took(now.Sub(since))
		}
	}
}

func (l *loads) took(d time.Duration) {
	if l.shortest == 0 || d < l.shortest {
		l.shortest = d
	}
	l.present += time.Duration(loadShare * float64(d-l.present))
	if float64(d) > congestedFactor*float64(l.shortest) {
		l.parallel = max(1, l.parallel/2)
		return
	}
	l.parallel = min(mostComing, l.parallel+comingStep)
}

// loadShare is the weight of a load in the mean.
const loadShare = 0.3

// limit is the number of loads that may be under way now.
func (l *loads) limit() int { return int(l.parallel) }

// wait predicts how long the next load takes with a number of loads before it.
func (l *loads) wait(ahead int) time.Duration {
	return l.present + time.Duration(float64(l.present)*float64(ahead)/max(1, l.parallel))
}

// demand is the need of one adapter that the engine does not hold.
type demand struct {
	adapter Adapter
	want    int
	waiters int
	// timely counts the waiters that can still be on time.
	timely  int
	arrived time.Time
}

// demands returns the adapters that waiting requests need, the most useful load
// first: the one that serves the most requests on time, then the most at all.
func (a *Agent) demands(now time.Time) []demand {
	byAdapter := make(map[Adapter]*demand)
	var list []*demand
	for _, j := range a.queue {
		if j.adapter.Name == "" || !a.holdsModel(j.adapter.Model) {
			continue
		}
		if _, ok := a.ready(j); ok {
			continue
		}
		d, ok := byAdapter[j.adapter]
		if !ok {
			d = &demand{adapter: j.adapter, arrived: j.arrived}
			byAdapter[j.adapter] = d
			list = append(list, d)
		}
		d.want = max(d.want, j.want)
		d.waiters++
		if now.Add(a.loads.shortest + startMargin).Before(j.due) {
			d.timely++
		}
	}
	slices.SortStableFunc(list, func(x, y *demand) int {
		return cmp.Or(cmp.Compare(y.timely, x.timely), cmp.Compare(y.waiters, x.waiters), x.arrived.Compare(y.arrived))
	})
	sorted := make([]demand, 0, len(list))
	for _, d := range list {
		sorted = append(sorted, *d)
	}
	return sorted
}

// LoadsWaiting returns the number of adapters that wait for a load.
func (a *Agent) LoadsWaiting() int { return a.missing() }

// missing returns the number of adapters that wait for a load.
func (a *Agent) missing() int {
	seen := make(map[Adapter]bool)
	for _, j := range a.queue {
		_, held := a.look.Held[j.adapter]
		_, coming := a.look.Coming[j.adapter]
		if j.adapter.Name != "" && !held && !coming {
			seen[j.adapter] = true
		}
	}
	return len(seen)
}
