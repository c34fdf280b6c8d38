package edge

import "time"

// storeReached records that the store answers, by its own word or that of a peer.
func (w *stateWatcher) storeReached(now time.Time, by string) {
	if w.catalog.StoreReached(now) {
		w.log.With("by", by).With("view_age_ms", w.age().Milliseconds()).Info("store reached")
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

// endDeferrals puts in force the removals whose targets had time to register again.
func (w *stateWatcher) endDeferrals(now time.Time) {
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
