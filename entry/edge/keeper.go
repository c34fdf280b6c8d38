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
	// watchWait is how long a watch of the store waits for a change. It is
	// short, because only a missing answer shows a silent connection.
	watchWait = time.Second
	// paceShare is the part of the shortest bound on a change that a process
	// lets pass between two watches. Heartbeats end each watch at once, and
	// each call is priced.
	paceShare = 4
	// leastBackoff and mostBackoff bound the delay after a failed call.
	leastBackoff = 100 * time.Millisecond
	mostBackoff  = 500 * time.Millisecond
	// expireInterval is the time between two looks for lapsed targets.
	expireInterval = 200 * time.Millisecond
)

// keeper follows the published state: from the store, and from other entries.
type keeper struct {
	store   *platform.Store
	bounds  atomic.Pointer[platform.Bounds]
	metrics *telemetry.Metrics
	log     *telemetry.Logger
	// publish puts a view in force, share passes changes to other entries.
	publish func(*catalog.View)
	share   func([]wire.Item)

	changes chan change
	states  chan chan []wire.Item
	// heard is when the store last answered, as time since started.
	started time.Time
	heard   atomic.Int64

	// The rest belongs to run.
	catalog *catalog.Catalog
	entries map[string]platform.Entry
}

// change is news for the keeper.
type change struct {
	entries []platform.Entry
	// full is set for a complete list of the store at revision.
	full     bool
	revision uint64
	// lost and back report on the store; peer is set for news of an entry.
	lost, back, peer bool
}

func newKeeper(store *platform.Store, bounds platform.Bounds, metrics *telemetry.Metrics) *keeper {
	k := &keeper{
		store: store, metrics: metrics, log: telemetry.For("keeper"), started: time.Now(),
		changes: make(chan change, 64), states: make(chan chan []wire.Item),
		catalog: catalog.New(), entries: make(map[string]platform.Entry),
	}
	k.bounds.Store(&bounds)
	return k
}

// current tells whether the store was heard within the time in which a
// configuration must be in force.
func (k *keeper) current() bool {
	return time.Since(k.started)-time.Duration(k.heard.Load()) < k.bounds.Load().ConfigApply
}

// state returns all items, for another entry.
func (k *keeper) state() []wire.Item {
	reply := make(chan []wire.Item, 1)
	select {
	case k.states <- reply:
		return <-reply
	case <-time.After(time.Second):
		k.log.Warn("the state was not available for a peer")
		return nil
	}
}

// receive takes items of another entry.
func (k *keeper) receive(items []wire.Item) {
	entries := make([]platform.Entry, 0, len(items))
	for _, i := range items {
		entries = append(entries, platform.Entry{Key: i.Key, Revision: i.Revision, Removed: i.Removed, Value: i.Value})
	}
	k.changes <- change{entries: entries, peer: true}
}

// run owns the catalog until ctx ends.
func (k *keeper) run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case c := <-k.changes:
			k.take(c)
		case reply := <-k.states:
			reply <- k.items()
		case <-ticker.C:
			if k.catalog.Expire(time.Now()) {
				k.log.Warn("targets did not register again after an outage of the store")
				k.publish(k.catalog.View())
			}
		case <-ctx.Done():
			return
		}
	}
}

func (k *keeper) items() []wire.Item {
	items := make([]wire.Item, 0, len(k.entries))
	for _, e := range k.entries {
		items = append(items, wireItem(e))
	}
	return items
}

func wireItem(e platform.Entry) wire.Item {
	return wire.Item{Key: e.Key, Revision: e.Revision, Removed: e.Removed, Value: e.Value}
}

func (k *keeper) take(c change) {
	now := time.Now()
	switch {
	case c.lost:
		k.log.Warn("store lost")
		k.catalog.StoreLost()
		return
	case c.back:
		k.log.Info("store reached")
		k.catalog.StoreBack(now)
	}
	before := k.catalog.View()
	var news []wire.Item
	for _, e := range c.entries {
		if k.apply(now, e) {
			news = append(news, wireItem(e))
		}
	}
	if c.full {
		k.removeMissing(now, c)
	}
	view := k.catalog.View()
	if view == before {
		return
	}
	if view.Config != before.Config {
		k.log.With("version", view.Config.Version).With("routes", view.Config.RouteCount()).With("from_peer", c.peer).Info("configuration in force")
		k.metrics.Gauge("configuration_version", view.Config.Version)
	}
	k.publish(view)
	if len(news) > 0 {
		k.share(news)
	}
}

// apply takes one entry. It reports whether the published state changed.
func (k *keeper) apply(now time.Time, e platform.Entry) bool {
	item, err := platform.Decode(e)
	if err != nil {
		k.metrics.Count("published_items_malformed")
		k.log.With("key", e.Key).With("revision", e.Revision).Error(err, "an item cannot be read")
	}
	if !k.catalog.Apply(now, item) {
		return false
	}
	k.entries[e.Key] = e
	if item.Target != nil && item.Target.Draining {
		k.log.With("target", item.Target.ID).With("revision", e.Revision).Info("target is leaving")
	}
	return true
}

// removeMissing removes the targets that a complete list does not name.
func (k *keeper) removeMissing(now time.Time, c change) {
	listed := make(map[string]bool, len(c.entries))
	for _, e := range c.entries {
		listed[e.Key] = true
	}
	for _, item := range k.catalog.Missing(c.revision, listed, platform.IsTarget) {
		k.log.With("key", item.Key).Info("target is no longer listed")
		k.catalog.Apply(now, item)
	}
}

// follow reads the store and watches it until ctx ends.
func (k *keeper) follow(ctx context.Context) {
	backoff := leastBackoff
	lost := false
	revision := uint64(0)
	for ctx.Err() == nil {
		began := time.Now()
		c, err := k.read(ctx, &revision)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			k.log.With("revision", revision).Info("the history of the store is gone; reading it again")
			revision = 0
			continue
		case ctx.Err() != nil:
			return
		case err != nil:
			k.metrics.Count("store_failures")
			if !lost {
				k.log.Error(err, "the store does not answer")
				lost = true
				k.changes <- change{lost: true}
			}
			pause(ctx, backoff)
			backoff = min(2*backoff, mostBackoff)
			continue
		}
		k.heard.Store(int64(time.Since(k.started)))
		c.back, lost, backoff = lost, false, leastBackoff
		k.changes <- c
		pause(ctx, k.pace()-time.Since(began))
	}
}

// pace is the least time between two watches.
func (k *keeper) pace() time.Duration {
	b := k.bounds.Load()
	return min(b.Drain, b.ConfigApply) / paceShare
}

// read lists the store once and watches it from then on.
func (k *keeper) read(ctx context.Context, revision *uint64) (change, error) {
	if *revision == 0 {
		entries, at, err := k.store.List(ctx, "")
		if err != nil {
			return change{}, err
		}
		*revision = at
		return change{entries: entries, full: true, revision: at}, nil
	}
	entries, at, err := k.store.Watch(ctx, "", *revision, watchWait)
	if err != nil {
		return change{}, err
	}
	*revision = at
	return change{entries: entries}, nil
}

func pause(ctx context.Context, d time.Duration) {
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
