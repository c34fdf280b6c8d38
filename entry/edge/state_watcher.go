package edge

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
	"agatelanding.example/agatelanding/platform"
)

const (
	// watchWait is how long the store holds a watch open while nothing
	// changes. It is short because a dead connection shows only by a missing
	// answer.
	watchWait = time.Second
	// minWatchInterval is the shorter of the bounds DrainTimeout and
	// ConfigApplyTimeout divided by watchIntervalDivisor. It limits the calls to
	// the store, each of which has a price, because every heartbeat of a target
	// ends a watch.
	watchIntervalDivisor = 4
	// minBackoff and maxBackoff bound the delay after a failed call to the
	// store.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// listBackoff replaces the growing delay while the whole state has yet to
	// be listed: before the first list this entry can serve no request.
	listBackoff = 150 * time.Millisecond
	// checkInterval is the time between two checks for a silent store and for
	// targets that did not register again.
	checkInterval = 200 * time.Millisecond
	// peerQueryDelay is how much longer than minWatchInterval the store may stay
	// silent before other entries are queried.
	peerQueryDelay = 250 * time.Millisecond
	// peerQueryInterval is the time between two queries to other entries, and
	// maxQueriedPeers the number of entries that get each query.
	peerQueryInterval = 300 * time.Millisecond
	maxQueriedPeers   = 2
)

// stateWatcher keeps the published state up to date: the configuration, the
// targets and the adapter versions. It reads the store and, while that is
// silent, queries other entries. Its log lines have the prefix "keeper", which
// operators' tools match.
type stateWatcher struct {
	store   *platform.Store
	bounds  atomic.Pointer[platform.Bounds]
	metrics *telemetry.Metrics
	log     *telemetry.Logger
	// publish puts a view in force. queryPeers queries up to count other
	// entries for the changes after a revision.
	publish    func(*catalog.View)
	queryPeers func(count int, after uint64)

	updates chan update
	queries chan itemsQuery
	// lastReply is when the store last answered, as the time since started.
	started   time.Time
	lastReply atomic.Int64

	// Only the goroutine of run uses the fields below.
	catalog *catalog.Catalog
	items   map[string]platform.StoreItem
	// completeRevision is the revision up to which all changes are known.
	completeRevision uint64
	lastPeerQuery    time.Time
}

// itemsQuery asks run for the items that changed after a revision.
type itemsQuery struct {
	after uint64
	reply chan itemsReply
}

// itemsReply answers an itemsQuery. No change up to completeRevision is missing.
type itemsReply struct {
	items            []wire.Item
	completeRevision uint64
}

// update carries changes of the published state, or of the reachability of the
// store, to run.
type update struct {
	items []platform.StoreItem
	// fullList is set if items is a list of the whole store.
	fullList bool
	// completeRevision is the revision up to which all changes are known after
	// this update, or 0 if the update does not determine it.
	completeRevision uint64
	// storeLost and storeReached report that the store stopped answering and
	// that it answers again. fromPeer is set if the items come from another
	// entry.
	storeLost, storeReached, fromPeer bool
}

func newStateWatcher(store *platform.Store, bounds platform.Bounds, metrics *telemetry.Metrics) *stateWatcher {
	w := &stateWatcher{
		store: store, metrics: metrics, log: telemetry.For("keeper"), started: time.Now(),
		updates: make(chan update, 64), queries: make(chan itemsQuery),
		catalog: catalog.New(), items: make(map[string]platform.StoreItem),
	}
	w.bounds.Store(&bounds)
	return w
}

// storeCurrent reports whether the store answered within the last
// ConfigApplyTimeout, the time in which a new configuration must be in force.
// While that is true, the configuration in force counts as the newest.
func (w *stateWatcher) storeCurrent() bool {
	return time.Since(w.started)-time.Duration(w.lastReply.Load()) < w.bounds.Load().ConfigApplyTimeout
}

// itemsAfter returns the items that changed after a revision, and the revision up
// to which they are complete. It returns nothing if run does not answer in time.
func (w *stateWatcher) itemsAfter(after uint64) ([]wire.Item, uint64) {
	q := itemsQuery{after: after, reply: make(chan itemsReply, 1)}
	select {
	case w.queries <- q:
		a := <-q.reply
		return a.items, a.completeRevision
	case <-time.After(time.Second):
		w.log.Warn("no reply to a peer: the published state was not available in time")
		return nil, 0
	}
}

// receiveFromPeer passes the items that another entry sent to run.
func (w *stateWatcher) receiveFromPeer(items []wire.Item, completeRevision uint64) {
	storeItems := make([]platform.StoreItem, 0, len(items))
	for _, i := range items {
		storeItems = append(storeItems, platform.StoreItem{Key: i.Key, Revision: i.Revision, Removed: i.Removed, Value: i.Value})
	}
	w.updates <- update{items: storeItems, completeRevision: completeRevision, fromPeer: true}
}

// run applies updates to the catalog and answers queries until ctx ends. It is the
// only goroutine that uses the catalog.
func (w *stateWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case u := <-w.updates:
			w.applyUpdate(u)
		case q := <-w.queries:
			q.reply <- itemsReply{items: w.collectItems(q.after), completeRevision: w.completeRevision}
		case <-ticker.C:
			w.queryPeersIfSilent()
			if w.catalog.RemoveUnregistered(time.Now()) {
				w.log.Warn("removed targets that did not register again after an outage of the store")
				w.publish(w.catalog.View())
			}
		case <-ctx.Done():
			return
		}
	}
}

// queryPeersIfSilent queries other entries for changes while the store is silent.
func (w *stateWatcher) queryPeersIfSilent() {
	silence := time.Since(w.started) - time.Duration(w.lastReply.Load())
	if silence > w.minWatchInterval()+peerQueryDelay && time.Since(w.lastPeerQuery) >= peerQueryInterval {
		w.lastPeerQuery = time.Now()
		w.queryPeers(maxQueriedPeers, w.completeRevision)
	}
}

// collectItems returns the known items that changed after a revision.
func (w *stateWatcher) collectItems(after uint64) []wire.Item {
	var items []wire.Item
	for _, e := range w.items {
		if e.Revision > after {
			items = append(items, wireItem(e))
		}
	}
	return items
}

func wireItem(e platform.StoreItem) wire.Item {
	return wire.Item{Key: e.Key, Revision: e.Revision, Removed: e.Removed, Value: e.Value}
}

// applyUpdate applies an update and publishes the view if it has changed.
func (w *stateWatcher) applyUpdate(u update) {
	now := time.Now()
	switch {
	case u.storeLost:
		w.log.Warn("store lost")
		w.catalog.StoreLost()
		return
	case u.storeReached:
		w.log.Info("store reached")
		w.catalog.StoreReached(now)
	}
	previous := w.catalog.View()
	for _, e := range u.items {
		w.applyItem(now, e)
	}
	w.completeRevision = max(w.completeRevision, u.completeRevision)
	if u.fullList {
		w.removeUnlisted(now, u)
	}
	view := w.catalog.View()
	if view == previous {
		return
	}
	if view.Config != previous.Config {
		w.log.With("version", view.Config.Version).With("routes", view.Config.RouteCount()).With("from_peer", u.fromPeer).Info("configuration in force")
		w.metrics.Gauge("configuration_version", view.Config.Version)
	}
	w.publish(view)
}

// applyItem applies one item. An item that cannot be decoded removes the target
// that its key described before.
func (w *stateWatcher) applyItem(now time.Time, e platform.StoreItem) {
	item, err := platform.Decode(e)
	if err != nil {
		w.metrics.Count("published_items_malformed")
		w.log.With("key", e.Key).With("revision", e.Revision).Error(err, "an item cannot be read")
	}
	if !w.catalog.Apply(now, item) {
		return
	}
	w.items[e.Key] = e
	// A draining target must get no new requests.
	if item.Target != nil && item.Target.Draining {
		w.log.With("target", item.Target.ID).With("revision", e.Revision).Info("target is leaving")
	}
}

// removeUnlisted removes the targets that a list of the whole store lacks.
func (w *stateWatcher) removeUnlisted(now time.Time, u update) {
	listed := make(map[string]bool, len(u.items))
	for _, e := range u.items {
		listed[e.Key] = true
	}
	for _, item := range w.catalog.RemovalsFor(u.completeRevision, listed, platform.IsTarget) {
		w.log.With("key", item.Key).Info("target is no longer listed")
		w.catalog.Apply(now, item)
	}
}

// followStore lists the store and watches it until ctx ends.
func (w *stateWatcher) followStore(ctx context.Context) {
	backoff := minBackoff
	lost := false
	revision := uint64(0)
	for ctx.Err() == nil {
		began := time.Now()
		u, err := w.read(ctx, &revision)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			w.log.With("revision", revision).Info("the store no longer has the changes after this revision; listing the whole state")
			revision = 0
			continue
		case ctx.Err() != nil:
			return
		case err != nil:
			w.metrics.Count("store_failures")
			if !lost {
				w.log.Error(err, "the store does not answer")
				lost = true
				w.updates <- update{storeLost: true}
			}
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			if revision == 0 {
				backoff = listBackoff
			}
			continue
		}
		w.lastReply.Store(int64(time.Since(w.started)))
		u.storeReached, lost, backoff = lost, false, minBackoff
		w.updates <- u
		sleep(ctx, w.minWatchInterval()-time.Since(began))
	}
}

// minWatchInterval returns the shortest time between the starts of two watches.
func (w *stateWatcher) minWatchInterval() time.Duration {
	b := w.bounds.Load()
	return min(b.DrainTimeout, b.ConfigApplyTimeout) / watchIntervalDivisor
}

// read lists the whole store if *revision is 0, and otherwise waits for the
// changes after *revision. It sets *revision to the one to continue from.
func (w *stateWatcher) read(ctx context.Context, revision *uint64) (update, error) {
	if *revision == 0 {
		items, next, err := w.store.List(ctx, "")
		if err != nil {
			return update{}, err
		}
		*revision = next
		return update{items: items, fullList: true, completeRevision: next}, nil
	}
	items, next, err := w.store.Watch(ctx, "", *revision, watchWait)
	if err != nil {
		return update{}, err
	}
	*revision = next
	return update{items: items, completeRevision: next}, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
