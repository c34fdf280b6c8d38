package joint_test

import (
	"fmt"
	"maps"
	"time"

	"agatelanding.example/agatelanding/internal/decide/engineagent"
	"agatelanding.example/agatelanding/internal/wire"
)

// engine simulates a model engine. It fails the test if an order or a request
// that it receives breaks an invariant.
type engine struct {
	sim *simulation
	id  string
	// incarnation is the start of the engine in Unix milliseconds, 0 while it
	// is down.
	incarnation int64
	draining    bool
	// drainingSince is when draining last changed.
	drainingSince time.Duration
	// slots is the number of adapters that the engine has room for.
	slots int
	// checksFence is false for engines that accept any fencing number.
	checksFence bool

	// accepted counts the accepted orders; fence is the latest fencing number.
	accepted, fence uint64
	// modelLoaded is true while the base model is loaded.
	modelLoaded bool
	// loaded and loading map the names of loaded and loading adapters to their
	// versions.
	loaded  map[string]int
	loading map[string]int
	runs    map[wire.AttemptID]*run
}

// run is a request that runs at the engine.
type run struct {
	adapter string
	entry   *entry
	// afterPause is true if the entry was paused shortly before, so that it may
	// not have received the latest view.
	afterPause bool
}

func (e *engine) start(id string) {
	e.id, e.incarnation, e.draining = id, e.sim.clock.now().UnixMilli(), false
	e.accepted, e.fence, e.modelLoaded = 0, 0, true
	e.loaded, e.loading, e.runs = map[string]int{}, map[string]int{}, map[wire.AttemptID]*run{}
}

func (e *engine) state() engineagent.EngineStatus {
	l := engineagent.EngineStatus{
		StartedAtMS: e.incarnation, AcceptedOrders: e.accepted, Held: map[engineagent.Adapter]int{}, Loading: map[engineagent.Adapter]int{}, Running: len(e.runs),
	}
	if e.modelLoaded {
		l.Models = []string{"m"}
	}
	for name, v := range e.loaded {
		l.Held[engineagent.Adapter{Model: "m", Name: name}] = v
	}
	for name, v := range e.loading {
		l.Loading[engineagent.Adapter{Model: "m", Name: name}] = v
	}
	return l
}

func (e *engine) handleOrder(o engineagent.Order) engineagent.OrderOutcome {
	switch {
	case o.IncarnationID != "" && o.IncarnationID != e.id:
		return engineagent.OrderMisdirected
	case o.Fence < e.fence && e.checksFence:
		return engineagent.OrderFenced
	case o.Fence < e.fence:
		e.sim.failf("%s received an order with fencing number %d after one with %d", e.id, o.Fence, e.fence)
	case o.ExpectedOrders != e.accepted:
		e.fence = o.Fence
		return engineagent.OrderConflict
	}
	e.fence = o.Fence
	e.accepted++
	name := o.Adapter.Name
	switch {
	case name == "":
		e.modelLoaded = true
	case o.Kind == engineagent.Unload:
		e.unload(name)
	default:
		e.load(name, max(1, o.Version))
	}
	return engineagent.OrderAccepted
}

func (e *engine) unload(name string) {
	for id, r := range e.runs {
		if r.adapter == name && !e.sim.faulty {
			e.sim.failf("%s received an order to unload %s, which request %v uses", e.id, name, id)
		}
	}
	delete(e.loaded, name)
}

func (e *engine) load(name string, version int) {
	if _, loaded := e.loaded[name]; !loaded && len(e.occupiedSlots()) >= e.slots && e.loading[name] == 0 {
		e.sim.failf("%s received an order to load %s although its slots hold %v", e.id, name, e.occupiedSlots())
	}
	e.loading[name] = version
	incarnation := e.incarnation
	e.sim.clock.after(e.sim.delay(50, 2000), func() {
		if e.incarnation == incarnation && e.loading[name] == version {
			delete(e.loading, name)
			e.loaded[name] = version
		}
	})
}

func (e *engine) occupiedSlots() map[string]int {
	all := maps.Clone(e.loaded)
	maps.Copy(all, e.loading)
	return all
}

// startRequest starts a request. If it cannot, it returns the reason, otherwise "".
// The reason is "misdirected" if the adapter is not loaded. sendRequest uses the same
// reason if another incarnation has the address, because an entry handles both alike.
func (e *engine) startRequest(id wire.AttemptID, r *run) string {
	if since := e.sim.clock.elapsed - e.drainingSince; e.draining && since > maxDrainDelay && !r.afterPause {
		e.sim.failf("a request reached %s %v after it began to drain, later than maxDrainDelay", e.id, since)
	}
	switch {
	case e.incarnation == 0:
		return "unreached"
	case r.adapter != "" && e.loaded[r.adapter] == 0:
		return "misdirected"
	}
	e.runs[id] = r
	if len(e.runs) > e.slots*requestsPerSlot && !e.sim.faulty {
		e.sim.failf("%s runs %d requests, more than its limit", e.id, len(e.runs))
	}
	return ""
}

func (e *engine) String() string { return fmt.Sprint(e.id, e.loaded, e.loading, len(e.runs)) }

// requestsPerSlot is the number of requests per adapter slot in the model.
const requestsPerSlot = 2

// maxDrainDelay is how long after an engine began to drain a request may still
// reach it: the longest delay of a view to the entries plus that of
// a request to the engine.
const maxDrainDelay = 700 * time.Millisecond

// orderTimeout is how long a target process waits for the answer to an order.
const orderTimeout = 800 * time.Millisecond
