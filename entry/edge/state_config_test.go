package edge

import (
	"testing"
	"time"

	"agatelanding.example/agatelanding/entry/peers"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/viewtrust"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
	"agatelanding.example/agatelanding/platform"
)

const (
	keyedConfig      = `{"version":3,"routes":[],"tenants":[{"name":"w","api_keys":["k"]}]}`
	unreadableConfig = `{"version":4,"routes":[`
)

func newConfigWatcher() *stateWatcher {
	b := platform.Bounds{DrainTimeout: time.Second, ConfigApplyTimeout: time.Second, RevokeTimeout: time.Second}
	w := newStateWatcher(platform.NewStore("127.0.0.1:1"), b, telemetry.NewMetrics())
	w.publish, w.broadcast = func(*catalog.View) {}, func(peers.State) {}
	w.addPassing, w.changesMissed = func([]*catalog.Target) {}, func() {}
	return w
}

func configItem(at catalog.Position, text string) platform.StoreItem {
	return platform.StoreItem{Key: "op/config", Era: at.Era, Revision: at.Revision, Value: []byte(text)}
}

// Guards against keys that count as fresh by the word of the store or of a peer, though the
// newest configuration cannot be read, and against one that is not passed on to other entries.
func TestUnreadableConfigConfirmsNoKey(t *testing.T) {
	w := newConfigWatcher()
	at := func(revision uint64) catalog.Position { return catalog.Position{Era: 1, Revision: revision} }
	read := func(asked time.Duration, revision uint64, items ...platform.StoreItem) {
		w.applyUpdate(update{items: items, complete: at(revision), asked: asked})
	}
	confirmed := func() time.Duration {
		c, _ := w.trust.ConfirmedAt()
		return c
	}
	read(10*time.Second, 5, configItem(at(5), keyedConfig))
	read(11*time.Second, 6, configItem(at(6), unreadableConfig))
	read(12*time.Second, 7)
	w.confirmByPeer(viewtrust.Stamp{Echo: 13 * time.Second, Age: time.Millisecond, At: at(7)})
	if confirmed() != 10*time.Second {
		t.Errorf("the keys are confirmed at %s", confirmed())
	}
	if v := w.catalog.View(); v.Config.Version != 3 || v.UnreadableConfig != at(6) {
		t.Errorf("version %d is in force, unreadable is %v", v.Config.Version, v.UnreadableConfig)
	}
	peer := newConfigWatcher()
	passed := w.stateFor(catalog.Position{})
	for _, i := range passed.Items {
		peer.applyUpdate(update{items: []platform.StoreItem{{Key: i.Key, Era: i.Era, Revision: i.Revision, Value: i.Value}}, complete: passed.Complete, fromPeer: true})
	}
	if v := peer.catalog.View(); !passed.HasUnreadable || v.UnreadableConfig != at(6) {
		t.Errorf("another entry knows the unreadable configuration at %v", v.UnreadableConfig)
	}
	// An older version that arrives late does not end the doubt, a later one does.
	read(14*time.Second, 8, configItem(at(4), keyedConfig))
	if confirmed() != 10*time.Second {
		t.Errorf("the keys are confirmed at %s by an older version", confirmed())
	}
	read(15*time.Second, 9, configItem(at(9), `{"version":5.5,"routes":[]}`))
	if v := w.catalog.View(); confirmed() != 15*time.Second || v.Config.Version != 5 || v.UnreadableConfig.Revision != 0 {
		t.Errorf("confirmed at %s, version %d, unreadable %v", confirmed(), v.Config.Version, v.UnreadableConfig)
	}
	// Versions are compared without their fractions; the later one holds.
	read(16*time.Second, 10, configItem(at(10), `{"version":5.75,"routes":[],"tenants":[]}`))
	if v := w.catalog.View(); !v.Config.HasWorkspaces() {
		t.Error("a version that differs in its fraction is not in force")
	}
}

// Guards against a newer configuration that is lost for other entries when the store comes back
// from a copy with an older one, while the newest cannot be read.
func TestRestoreAfterAnUnreadableConfig(t *testing.T) {
	w := newConfigWatcher()
	at := func(era, revision uint64) catalog.Position {
		return catalog.Position{Era: era, Revision: revision}
	}
	for _, u := range []update{
		{items: []platform.StoreItem{configItem(at(1, 5), keyedConfig)}, complete: at(1, 5)},
		{items: []platform.StoreItem{configItem(at(1, 6), unreadableConfig)}, complete: at(1, 6)},
		{items: []platform.StoreItem{configItem(at(2, 3), `{"version":2,"routes":[]}`)}, complete: at(2, 4), fullList: true},
	} {
		w.applyUpdate(u)
	}
	if v := w.catalog.View(); v.Config.Version != 3 || v.UnreadableConfig.Revision != 0 {
		t.Errorf("version %d is in force, unreadable is %v", v.Config.Version, v.UnreadableConfig)
	}
	var passed []string
	for _, i := range w.stateFor(catalog.Position{}).Items {
		passed = append(passed, string(i.Value))
	}
	if len(passed) != 1 || passed[0] != keyedConfig {
		t.Errorf("other entries get %q", passed)
	}
}

// Guards against a position that a former build reports without the configuration that it could
// not decode: the entry would never read that.
func TestPositionOfAFormerBuild(t *testing.T) {
	w := newConfigWatcher()
	at := func(revision uint64) catalog.Position { return catalog.Position{Era: 1, Revision: revision} }
	w.applyUpdate(update{items: []platform.StoreItem{configItem(at(5), keyedConfig)}, complete: at(5), fullList: true})
	target := wire.Item{Key: "servers/a", Era: 1, Revision: 7, Value: []byte(`{"service":"s","address":"127.0.0.1:80","zone":"z","state":"ready"}`)}
	for _, step := range []struct {
		state    peers.State
		complete catalog.Position
	}{
		{peers.State{Items: []wire.Item{target}, Since: at(5), Complete: at(7)}, at(5)},
		{peers.State{Items: []wire.Item{target}, Complete: at(7)}, at(5)},
		{peers.State{Items: []wire.Item{target}, Since: at(5), Complete: at(7), HasUnreadable: true}, at(7)},
	} {
		w.receiveFromPeer(step.state)
		w.applyUpdate(<-w.updates)
		if w.complete != step.complete || len(w.catalog.View().Targets) != 1 {
			t.Errorf("complete up to %v, not %v, with %d targets", w.complete, step.complete, len(w.catalog.View().Targets))
		}
	}
}
