package edge

import (
	"cmp"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/outage"
	"agatelanding.example/agatelanding/platform"
)

// observeStore finds out, before the items of an update are applied, whether the store was away
// for so long that the registrations which they lack may have expired.
func (w *stateWatcher) observeStore(now time.Time, u update) {
	a := outage.Answer{Answered: cmp.Or(u.answeredAt, now.Sub(w.started)), Asked: u.confirmedAt, At: u.complete, Targets: len(w.catalog.View().Targets)}
	if a.At.Revision == 0 {
		// Changes before the items are missing, so that they confirm no time.
		a.Asked = 0
	}
	for _, e := range u.items {
		if e.Position().After(a.At) {
			a.At = e.Position()
		}
		if e.Removed && w.catalog.HasTarget(e.Key) {
			a.Removals++
		}
	}
	if u.fullList {
		a.Removals = len(w.unlisted(u))
	}
	o, away := w.outages.Observe(a)
	if !away {
		return
	}
	w.catalog.OutageEnded(now)
	w.metrics.Count("store_outages")
	w.log.With("source", u.source()).With("silent_ms", o.Silence.Milliseconds()).With("idle_ms", o.Idle.Milliseconds()).With("changes", o.Changes).
		With("targets", a.Targets).With("removals", a.Removals).Warn("the store was away; registrations may have expired")
}

// unlisted returns the removals of the targets that a list of the whole store lacks.
func (w *stateWatcher) unlisted(u update) []catalog.Item {
	listed := make(map[string]bool, len(u.items))
	for _, e := range u.items {
		listed[e.Key] = true
	}
	return w.catalog.RemovalsFor(u.complete, listed, platform.IsTarget)
}

// applyRemovals removes targets. Other entries get the removals as well, because a
// list is not repeated for them.
func (w *stateWatcher) applyRemovals(now time.Time, removals []catalog.Item, source string) {
	for _, item := range removals {
		w.catalog.Apply(now, item)
		w.logRemoval(now, item.Key, source)
		w.keep(platform.StoreItem{Key: item.Key, Era: item.Era, Revision: item.Revision, Removed: true}, catalog.Admitted)
	}
}

// logRemoval writes a line for the removal of a target that was listed, after it was merged.
func (w *stateWatcher) logRemoval(now time.Time, key, source string) {
	at := w.catalog.Position(key)
	line := w.log.With("key", key).With("era", at.Era).With("revision", at.Revision).With("source", source).With("view_age_ms", w.age().Milliseconds())
	if d, ok := w.catalog.Deferral(key); ok {
		w.metrics.Count("removals_deferred")
		line = line.With("deferred_ms", d.Until.Sub(now).Milliseconds())
	}
	line.Info("target is no longer listed")
}

// endDeferrals puts in force the removals whose targets had time to register again. While the
// store is silent they cannot.
func (w *stateWatcher) endDeferrals(now time.Time) {
	if w.outages.Silent(now.Sub(w.started)) {
		return
	}
	deferrals := w.catalog.Deferrals()
	if !w.catalog.RemoveUnregistered(now) {
		return
	}
	for _, d := range deferrals {
		if !w.catalog.HasTarget(d.Key) {
			w.log.With("key", d.Key).With("era", d.Position.Era).With("revision", d.Position.Revision).With("since_ms", now.Sub(d.Since).Milliseconds()).
				Warn("removed a target that did not register again after an outage of the store")
		}
	}
	w.publish(w.catalog.View())
}
