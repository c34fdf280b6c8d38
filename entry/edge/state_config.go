package edge

import (
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/platform"
)

// reportConfig logs and counts what has changed of the configuration from one view to the next.
func (w *stateWatcher) reportConfig(view, previous *catalog.View, fromPeer bool) {
	if c := view.Config; c != previous.Config {
		w.log.With("version", c.Version).With("routes", c.RouteCount()).With("closed", c.Closed.Count).With("from_peer", fromPeer).Info("configuration in force")
		w.metrics.Gauge("configuration_version", c.Version)
		w.metrics.Gauge("configuration_items_closed", int64(c.Closed.Count))
		if c.Closed.Count > 0 {
			w.log.With("version", c.Version).With("closed", c.Closed.Count).With("items", c.Closed.List).Warn("items of the configuration cannot be used and are closed")
		}
	}
	if view.UnreadableConfig == previous.UnreadableConfig {
		return
	}
	unreadable := view.UnreadableConfig.Revision > 0
	switch {
	case !unreadable:
		w.unreadableSince.Store(0)
	case previous.UnreadableConfig.Revision == 0:
		w.unreadableSince.Store(int64(time.Since(w.started)))
	}
	w.metrics.Gauge("configuration_unreadable", gaugeOf(unreadable))
}

// recordStoredConfig records the version of a configuration of the store, unless a newer one is
// known.
func (w *stateWatcher) recordStoredConfig(item catalog.Item) {
	if item.Config == nil && !item.UnreadableConfig || w.storedConfigAt.After(item.Position()) {
		return
	}
	version := int64(0)
	if item.Config != nil {
		version = item.Config.Version
	}
	w.storedConfigAt = item.Position()
	w.storedVersion.Store(version)
	w.metrics.Gauge("configuration_stored_version", version)
}

func gaugeOf(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

// configLag returns for how long the newest configuration of the store could not be put in
// force because it cannot be read, 0 if it is in force.
func (w *stateWatcher) configLag() time.Duration {
	since := time.Duration(w.unreadableSince.Load())
	if since == 0 {
		return 0
	}
	return time.Since(w.started) - since
}

// viewConfirms reports whether the published view says which keys are in force: a configuration
// that cannot be read may have withdrawn some.
func (w *stateWatcher) viewConfirms() bool { return w.catalog.View().UnreadableConfig.Revision == 0 }

// needsFormerConfig reports whether the only known configuration cannot be read.
func (w *stateWatcher) needsFormerConfig() bool {
	v := w.catalog.View()
	return v.Config == nil && v.UnreadableConfig.Revision > 0
}

// keepConfig keeps an item of the configuration that was merged for other entries: that of the
// configuration in force, and a newer one that cannot be read.
func (w *stateWatcher) keepConfig(e platform.StoreItem, item catalog.Item, admission catalog.Admission) {
	view := w.catalog.View()
	inForce := item.Config != nil && item.Config == view.Config
	known, ok := w.items[e.Key]
	switch {
	case view.UnreadableConfig.Revision == 0:
		if former := w.formerConfig; former != nil && !inForce {
			// The store was restored from a copy with an older version.
			e = *former
		}
		w.formerConfig = nil
	case inForce:
		w.formerConfig = &e
		return
	case w.formerConfig == nil && ok:
		w.formerConfig = &known
	}
	w.keep(e, admission)
}
