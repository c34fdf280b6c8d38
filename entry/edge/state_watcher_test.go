package edge

import (
	"context"
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
