package edge

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"agatelanding.example/agatelanding/entry/peers"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/platform"
	"agatelanding.example/agatelanding/platform/standin"
)

// Guards against take-ups that are refused because another entry passes on removals from before
// the first list, and against targets that came and went unseen.
func TestRemovalsOfUnknownTargets(t *testing.T) {
	w := newStateWatcher(platform.NewStore("127.0.0.1:1"), platform.Bounds{DrainTimeout: time.Second, ConfigApplyTimeout: time.Second}, telemetry.NewMetrics())
	missed := 0
	w.publish, w.broadcast = func(*catalog.View) {}, func(peers.State) {}
	w.addPassing, w.changesMissed = func([]*catalog.Target) {}, func() { missed++ }
	position := func(revision uint64) catalog.Position { return catalog.Position{Revision: revision} }
	target := platform.StoreItem{Key: "servers/a", Revision: 9, Value: []byte(`{"service":"s","address":"127.0.0.1:80","zone":"z","state":"ready"}`)}
	w.applyUpdate(update{items: []platform.StoreItem{target}, fullList: true, complete: position(10)})
	for _, step := range []struct {
		key      string
		revision uint64
		missed   int
	}{{"servers/b", 8, 0}, {"servers/a", 11, 0}, {"servers/c", 12, 1}} {
		w.applyUpdate(update{items: []platform.StoreItem{{Key: step.key, Revision: step.revision, Removed: true}}, complete: position(step.revision), fromPeer: true})
		if missed != step.missed {
			t.Errorf("after the removal of %s at %d: missed %d times", step.key, step.revision, missed)
		}
	}
}

// Guards against a list from before what is known, which counts as the present state.
func TestListsOfBefore(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	w := newStateWatcher(platform.NewStore(server.Listener.Addr().String()), platform.Bounds{DrainTimeout: time.Second, ConfigApplyTimeout: time.Second}, telemetry.NewMetrics())
	at := store.Put("op/config", 1)
	for _, step := range []struct {
		known catalog.Position
		taken bool
	}{
		{catalog.Position{Era: 1, Revision: at + 1}, false}, {catalog.Position{Era: 1, Revision: at}, true},
		{catalog.Position{Revision: at + 1}, true}, {catalog.Position{}, true},
	} {
		w.completeCopy.Store(&step.known)
		var position catalog.Position
		if _, err := w.read(context.Background(), &position); (err == nil) != step.taken {
			t.Errorf("known %v, store at %d: %v", step.known, at, err)
		}
	}
}

// Guards against an entry that passes on a state with gaps as whole, and against one that does
// not recover from items that it could not keep.
func TestItemsBeyondTheMemory(t *testing.T) {
	w := newStateWatcher(platform.NewStore("127.0.0.1:1"), platform.Bounds{DrainTimeout: time.Second, ConfigApplyTimeout: time.Second}, telemetry.NewMetrics())
	w.limitMemory(3 * 20_000)
	missed := 0
	w.publish, w.broadcast = func(*catalog.View) {}, func(peers.State) {}
	w.addPassing, w.changesMissed = func([]*catalog.Target) {}, func() { missed++ }
	revision := uint64(0)
	item := func(key, value string) platform.StoreItem {
		revision++
		return platform.StoreItem{Key: key, Revision: revision, Value: []byte(value)}
	}
	target := func(n int) platform.StoreItem {
		return item(fmt.Sprintf("servers/t%d", n), `{"service":"s","address":"127.0.0.1:80","zone":"z","state":"ready"}`)
	}
	read := func(fullList bool, items ...platform.StoreItem) {
		w.applyUpdate(update{items: items, fullList: fullList, complete: catalog.Position{Revision: revision}})
	}
	read(true, target(0))
	var more []platform.StoreItem
	for n := range 100 {
		more = append(more, target(n))
	}
	read(false, more...)
	if kept := len(w.catalog.View().Targets); kept == 100 || kept == 0 || missed == 0 || len(w.items) > kept {
		t.Errorf("%d targets and %d items kept, changes missed %d times", kept, len(w.items), missed)
	}
	if s := w.stateFor(catalog.Position{}); s.Complete.Revision != 0 {
		t.Errorf("a state with gaps is passed on as whole up to %d", s.Complete.Revision)
	}
	config := `{"version":3,"routes":[{"name":"r","hostname":"h","prefix":"/","service":"s"}]}`
	read(false, item("op/config", config))
	if c := w.catalog.View().Config; c == nil || c.Version != 3 {
		t.Error("the configuration is not in force")
	}

	// The first list makes room, the second one fills it.
	for range 2 {
		read(true, item("op/config", config), target(0), target(200), target(201))
	}
	if view := w.catalog.View(); len(view.Targets) != 3 || view.Targets["t200"] == nil {
		t.Errorf("%d targets after the store was listed again", len(view.Targets))
	}
	if s := w.stateFor(catalog.Position{}); s.Complete.Revision != revision {
		t.Errorf("the state is whole up to %d, not %d", s.Complete.Revision, revision)
	}
}

// Guards against targets that come back by an item of another entry that is older than their
// removal.
func TestForgottenRemovals(t *testing.T) {
	w := newStateWatcher(platform.NewStore("127.0.0.1:1"), platform.Bounds{DrainTimeout: time.Second, ConfigApplyTimeout: time.Second}, telemetry.NewMetrics())
	w.limitMemory(3 * 20_000)
	w.publish, w.broadcast = func(*catalog.View) {}, func(peers.State) {}
	w.addPassing, w.changesMissed = func([]*catalog.Target) {}, func() {}
	target := platform.StoreItem{Key: "servers/t", Revision: 1, Value: []byte(`{"service":"s","address":"127.0.0.1:80","zone":"z","state":"ready"}`)}
	read := func(fromPeer bool, revision uint64, items ...platform.StoreItem) {
		w.applyUpdate(update{items: items, fromPeer: fromPeer, complete: catalog.Position{Revision: revision}})
	}
	read(false, 1, target)
	read(false, 2, platform.StoreItem{Key: target.Key, Revision: 2, Removed: true})
	for revision := uint64(3); w.catalog.Position(target.Key).Revision > 0; revision++ {
		if revision > 1000 {
			t.Fatal("the removal is not forgotten")
		}
		read(false, revision, platform.StoreItem{Key: fmt.Sprintf("servers/x%d", revision), Revision: revision})
	}
	if read(true, 0, target); len(w.catalog.View().Targets) > 0 {
		t.Error("the removed target is back")
	}
	if s := w.stateFor(catalog.Position{Revision: 1}); s.Complete.Revision != 0 {
		t.Error("a state without the removal is passed on as whole")
	}
	if s := w.stateFor(catalog.Position{}); s.Complete != w.complete {
		t.Error("a process that knows nothing gets a state with gaps")
	}
	target.Revision = w.complete.Revision + 1
	if read(false, target.Revision, target); len(w.catalog.View().Targets) != 1 {
		t.Error("the target that registered again is not used")
	}
}

// Guards against a removal or a configuration that comes too late because one watch got no answer.
func TestOneWatchWithoutAnAnswerIsWithinTheBounds(t *testing.T) {
	// queues allows for the queues between the store's answer and the choice of targets.
	const queues = 250 * time.Millisecond
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		for _, b := range []platform.Bounds{{DrainTimeout: bound, ConfigApplyTimeout: 4 * time.Second}, {DrainTimeout: 4 * time.Second, ConfigApplyTimeout: bound}} {
			w := newStateWatcher(platform.NewStore("127.0.0.1:1"), b, telemetry.NewMetrics())
			if sum := w.watchWait() + platform.WatchGrace + minBackoff + checkInterval + queues; sum > bound {
				t.Errorf("a change that is lost with a watch is in force after %s of %s", sum, bound)
			}
		}
	}
}

// Guards against a removal that is put off because the broadcast that tells of it was read late, as
// by an entry that was suspended.
func TestLateBroadcastsAreNoOutage(t *testing.T) {
	w := newStateWatcher(platform.NewStore("127.0.0.1:1"), platform.Bounds{DrainTimeout: 2 * time.Second, ConfigApplyTimeout: 2 * time.Second}, telemetry.NewMetrics())
	w.started = time.Now().Add(-20 * time.Second)
	w.publish, w.broadcast = func(*catalog.View) {}, func(peers.State) {}
	w.addPassing, w.changesMissed = func([]*catalog.Target) {}, func() {}
	target := func(key string, revision uint64) platform.StoreItem {
		return platform.StoreItem{Key: key, Revision: revision, Value: []byte(`{"service":"s","address":"127.0.0.1:80","zone":"z","state":"ready"}`)}
	}
	position := func(revision uint64) catalog.Position { return catalog.Position{Revision: revision} }
	w.applyUpdate(update{items: []platform.StoreItem{target("servers/a", 5), target("servers/b", 6)}, complete: position(6), confirmedAt: 10 * time.Second, answeredAt: 10 * time.Second})
	w.applyUpdate(update{items: []platform.StoreItem{{Key: "servers/a", Revision: 7, Removed: true}}, complete: position(7), since: position(6), fromPeer: true, confirmedAt: 10500 * time.Millisecond, answeredAt: 10600 * time.Millisecond})
	if n := len(w.catalog.View().Targets); n != 1 {
		t.Errorf("%d targets after a late broadcast of a removal", n)
	}
	w.applyUpdate(update{items: []platform.StoreItem{{Key: "servers/b", Revision: 8, Removed: true}}, complete: position(8), since: position(7), fromPeer: true, confirmedAt: 19 * time.Second, answeredAt: 19 * time.Second})
	if n := len(w.catalog.View().Targets); n != 1 {
		t.Errorf("%d targets after an outage of the store", n)
	}
}
