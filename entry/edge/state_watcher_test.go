package edge

import (
	"testing"
	"time"

	"agatelanding.example/agatelanding/entry/peers"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/platform"
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
