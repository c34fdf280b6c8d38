package edge

import (
	"context"
	"sync/atomic"
	"time"

	"agatelanding.example/agatelanding/entry/peers"
	"agatelanding.example/agatelanding/internal/boottime"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/platform"
)

// listAgainInterval is the time between two lists of the store while items of it are not kept.
const listAgainInterval = 5 * time.Second

// keptItems tells whether the published state has all items of the store.
type keptItems struct {
	// incomplete is set from when an item was not kept until a list was kept whole.
	incomplete atomic.Bool
	// refusedTarget is set if the present update registered or removed a target that is not
	// kept.
	refusedTarget bool
	// refused counts the items of the present update that are not kept.
	refused int
	// listedAt is when followStore, which alone uses it, listed the store last because items
	// were not kept.
	listedAt time.Time
}

// limitMemory bounds what the items take in memory. It is called before the first update.
func (w *stateWatcher) limitMemory(bytes int64) {
	w.catalog.LimitMemory(bytes, func(key string) {
		delete(w.items, key)
		delete(w.malformed, key)
	})
}

// beginItems is called before the items of an update are applied, and endItems after.
func (w *stateWatcher) beginItems() {
	w.catalog.BeginUpdate()
	w.kept.refusedTarget, w.kept.refused = false, 0
}

func (w *stateWatcher) endItems(u update) {
	if u.fullList && w.kept.refused == 0 && w.kept.incomplete.CompareAndSwap(true, false) {
		w.log.With("items", len(u.items)).Info("all items are kept again")
	}
}

// itemNotKept records that an item exceeds the memory for the published state.
func (w *stateWatcher) itemNotKept(e platform.StoreItem) {
	w.kept.refused++
	w.kept.refusedTarget = w.kept.refusedTarget || platform.IsTarget(e.Key)
	w.metrics.Count("published_items_not_kept")
	if w.kept.incomplete.CompareAndSwap(false, true) {
		w.log.With("key", e.Key).With("era", e.Era).With("revision", e.Revision).With("items", len(w.items)).
			Warn("the items of the store exceed the memory for them; new ones are not kept")
	}
}

// keep keeps an item that was merged for other entries.
func (w *stateWatcher) keep(e platform.StoreItem, admission catalog.Admission) {
	if admission == catalog.AdmittedWithoutValue {
		delete(w.items, e.Key)
		w.catalog.KeepsValue(e.Key, 0)
		return
	}
	w.items[e.Key] = e
	w.catalog.KeepsValue(e.Key, len(e.Value))
}

// hasAllAfter reports whether the items tell all that changed after a position. A process that
// knows nothing yet needs no removals.
func (w *stateWatcher) hasAllAfter(after catalog.Position) bool {
	return !w.kept.incomplete.Load() && (after.Revision == 0 || !w.catalog.Forgotten().After(after))
}

// stateFor returns the items that changed after a position. The state has no position if some
// may be missing.
func (w *stateWatcher) stateFor(after catalog.Position) peers.State {
	s := peers.State{Items: w.collectItems(after), HasUnreadable: true}
	if after.Revision == 0 && w.formerConfig != nil {
		s.Items = append(s.Items, wireItem(*w.formerConfig))
	}
	if w.hasAllAfter(after) {
		s.Complete = w.complete
	}
	return s
}

// mayBeForgotten reports whether an item of another entry is older than a removal that is not
// remembered.
func (w *stateWatcher) mayBeForgotten(e platform.StoreItem) bool {
	at := e.Position()
	return w.catalog.Position(e.Key).Revision == 0 && !at.After(w.catalog.Forgotten()) && !at.After(w.complete)
}

// listAgain lists the store at an interval while items of it are not kept. After a failure the
// store is watched from the position as before.
func (w *stateWatcher) listAgain(ctx context.Context, position *catalog.Position) {
	if position.Revision == 0 || !w.kept.incomplete.Load() || time.Since(w.kept.listedAt) < listAgainInterval {
		return
	}
	w.kept.listedAt = time.Now()
	began, asked := time.Now(), boottime.Now()
	listed := catalog.Position{}
	u, err := w.read(ctx, &listed)
	if err != nil {
		w.log.With("reason", err).Info("the store could not be listed again")
		return
	}
	*position = listed
	u.asked, u.confirmedAt = asked, began.Sub(w.started)
	w.updates <- u
}
