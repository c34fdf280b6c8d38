package joint_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "agatelanding.example/agatelanding/internal/rapidseed"
)

// Guards against decisions that are right on each side and wrong together:
//   - an order that exceeds the adapter slots of an engine,
//   - two decisions of the steering on one request, or none by its deadline,
//   - a request that reaches an engine long after it began to drain,
//   - after the faults: a request that is left at an entry or a target process, or
//     an adapter that is not served.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runRandomFaults(t, true) })
}

// As TestRandomFaults, with engines that accept any fencing number. An order with a
// lower number than an earlier one then fails the test.
func TestRandomFaultsWithoutFencing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runRandomFaults(t, false) })
}

// Without faults, stricter rules hold: no request reaches an engine that is down or
// lacks its adapter, no engine runs more requests than its limit, and no adapter is
// unloaded while a request uses it.
func TestWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, true)
		for range 80 {
			sim.clock.run(sim.delay(0, 200))
			sim.sendRandomRequest()
		}
		sim.checkRecovery()
	})
}

// sendRandomRequest sends a request with a random adapter from a random entry.
func (sim *simulation) sendRandomRequest() {
	e := sim.entries[sim.randomInt(1)]
	adapter := []string{"", "a", "b", "c", "d", "e"}[sim.randomInt(5)]
	e.askForTarget(adapter, sim.delay(50, 3000))
}

// runRandomFaults mixes requests with random faults.
func runRandomFaults(t *rapid.T, checksFence bool) {
	sim := newSimulation(t, checksFence)
	sim.faulty, sim.lossy = true, true
	for range 80 {
		sim.clock.run(sim.delay(0, 200))
		e, a := sim.entries[sim.randomInt(1)], sim.targetProcesses[sim.randomInt(1)]
		switch sim.randomInt(19) {
		case 0:
			sim.logf("target process %d restarts", a.number)
			a.restart(sim.delay(0, 500))
		case 1:
			sim.logf("%s restarts", e.name)
			e.stop()
			sim.clock.after(sim.delay(0, 500), func() {
				if e.incarnation == 0 {
					e.boot()
				}
			})
		case 2:
			sim.logf("%s loses its connection to target process %d", e.name, a.number)
			e.unreachable[a.number] = true
			if l, ok := e.links[a.number]; ok {
				l.closeSession()
			}
		case 3:
			e.unreachable[a.number] = false
		case 4:
			sim.logf("target process %d pauses", a.number)
			a.pause(sim.delay(50, 3000))
		case 5:
			sim.logf("%s pauses", e.name)
			d := sim.delay(50, 2000)
			e.pause(d)
			e.resumedAt = sim.clock.elapsed + d
		case 6:
			sim.restartEngine(a)
		case 7:
			sim.logf("%s starts or stops draining", a.engine.id)
			a.engine.draining, a.engine.drainingSince = !a.engine.draining, sim.clock.elapsed
			sim.publish()
		case 8:
			if numbers := slices.Sorted(maps.Keys(e.open)); len(numbers) > 0 {
				e.abandon(numbers[sim.randomInt(len(numbers)-1)])
			}
		default:
			sim.sendRandomRequest()
		}
	}
	sim.checkRecovery()
}

// restart kills the process and starts it again after down.
func (a *targetProcess) restart(down time.Duration) {
	for _, session := range slices.Sorted(maps.Keys(a.links)) {
		if l := a.links[session]; l.session == session {
			l.closeSession()
		}
	}
	a.kill()
	a.clock.after(down, func() {
		if a.incarnation == 0 {
			a.boot()
		}
	})
}

// restartEngine restarts an engine under the same ID or a new one.
func (sim *simulation) restartEngine(a *targetProcess) {
	e := a.engine
	if e.incarnation == 0 {
		return
	}
	id := e.id
	if sim.randomInt(1) == 1 {
		id = fmt.Sprintf("i%d-%d", a.number, sim.clock.elapsed.Milliseconds())
	}
	sim.logf("engine %s restarts as %s", e.id, id)
	e.incarnation = 0
	clear(e.runs)
	sim.clock.after(sim.delay(20, 800), func() {
		e.start(id)
		sim.publish()
	})
}

// checkRecovery ends all faults and lets time pass. It then checks that no
// request is left at an entry or target process and that each adapter is served again.
func (sim *simulation) checkRecovery() {
	sim.logf("all faults end")
	sim.lossy = false
	for _, e := range sim.entries {
		e.unreachable = [2]bool{}
	}
	for _, a := range sim.targetProcesses {
		a.engine.draining = false
	}
	sim.publish()
	sim.clock.run(15 * time.Second)
	for _, a := range sim.targetProcesses {
		if a.agent.Running() != 0 || a.agent.Waiting() != 0 {
			sim.failf("target process %d counts %d running and %d waiting requests, want none", a.number, a.agent.Running(), a.agent.Waiting())
		}
	}
	for _, e := range sim.entries {
		if e.steering.InFlight() != 0 || len(e.open) != 0 {
			sim.failf("%s: the steering holds %d requests and %d requests of callers are open, want none", e.name, e.steering.InFlight(), len(e.open))
		}
		for _, adapter := range []string{"a", "b", "c", "d", "e"} {
			before := e.granted
			e.askForTarget(adapter, 3*time.Second)
			sim.clock.run(4 * time.Second)
			if e.granted == before {
				sim.failf("%s: no target was granted for adapter %s after all faults had ended", e.name, adapter)
			}
		}
	}
}
