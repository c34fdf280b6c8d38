package engineagent

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/wire"
)

// Report returns the utilization of the engine for entries. The adapter lists are
// included if they have changed since the last report, or if all is set;
// EngineReport.HasAdapterLists is true if this report includes them.
func (a *Agent) Report(now time.Time, all bool) *wire.EngineReport {
	r := &wire.EngineReport{
		Running: a.flow.running, Waiting: len(a.queue), Backlog: a.flow.unreadTokens + promptTokens(a.queue),
		StartedAtMS: a.status.StartedAtMS, Leaving: a.leaving, EngineLeaving: a.engineLeaving, Slow: a.stepTimer.slow(), NotReady: a.unready(),
		StepUS:              a.stepTimer.usualStep().Microseconds(),
		PredictedLoadWaitMS: a.loadLimiter.predictWait(a.countAbsentAdapters()).Milliseconds(),
		BoundsRate:          true, RateLimit: a.limiter.limit.Message(now), RateWaitMS: a.limiter.wait(now, len(a.queue)).Milliseconds(),
	}
	a.reportPrefixes(now, r, all)
	if all || !a.adaptersReported {
		// A report with all set goes to one new session; the other sessions still
		// need the lists.
		a.adaptersReported = a.adaptersReported || !all
		r.HasAdapterLists = true
		r.Held, r.Cached = a.adapterLists()
	}
	return r
}

// adapterLists returns the adapters in the engine's slots, sorted, and those that it is
// expected to load again without the weight store.
func (a *Agent) adapterLists() (held, cached []string) {
	for x := range a.status.Held {
		if x != a.unloading {
			held = append(held, x.String())
		}
	}
	for x := range a.status.Loading {
		held = append(held, x.String())
	}
	slices.Sort(held)
	for _, x := range a.cached {
		cached = append(cached, x.String())
	}
	return held, cached
}

// ReportedLists are the adapter lists that a group of entries has been sent last.
type ReportedLists struct{ held, cached map[string]bool }

// Next returns the changes to the lists of a report, and keeps those for the next call.
func (l *ReportedLists) Next(held, cached []string) *wire.AdapterChanges {
	var c wire.AdapterChanges
	l.held, c.HeldAdded, c.HeldRemoved = changes(l.held, held)
	l.cached, c.CachedAdded, c.CachedRemoved = changes(l.cached, cached)
	return &c
}

// changes returns the set of a list, and what was added to and removed from the set before.
func changes(before map[string]bool, list []string) (set map[string]bool, added, removed []string) {
	set = make(map[string]bool, len(list))
	for _, x := range list {
		if !before[x] && !set[x] {
			added = append(added, x)
		}
		set[x] = true
	}
	for x := range before {
		if !set[x] {
			removed = append(removed, x)
		}
	}
	slices.Sort(removed)
	return set, added, removed
}

// AdapterListsReported reports whether all entries have been sent the current
// adapter lists. EngineReport.HasAdapterLists describes a single report
// instead.
func (a *Agent) AdapterListsReported() bool { return a.adaptersReported }
