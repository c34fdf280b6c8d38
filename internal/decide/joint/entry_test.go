package joint_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/steering"
	"agatelanding.example/agatelanding/internal/wire"
)

// entry is a simulated entry with its open requests.
type entry struct {
	process
	sim      *simulation
	name     string
	steering *steering.Steering
	// links holds the connections by target process number, targetByID these
	// numbers by engine ID.
	links      map[int]*link
	targetByID map[string]int
	// unreachable is true for the number of each target process that the entry
	// cannot connect to.
	unreachable [2]bool
	// viewNumber is the number of the latest view that was applied.
	viewNumber int
	// lastRequest is the number of the latest request.
	lastRequest uint64
	// open holds the requests that have not ended, by number.
	open map[uint64]*request
	// granted counts the requests that got a target.
	granted int
	// resumedAt is the end of the last pause.
	resumedAt time.Duration
}

// request is a request for which the steering was asked for a target.
type request struct {
	adapter  string
	deadline time.Duration
	// decisions counts the Granted and Refused actions; more than one is an
	// error.
	decisions int
	// tried lists the targets at which the request failed.
	tried []string
}

func (e *entry) boot() {
	e.steering = steering.New(steering.Config{Entry: e.name, Incarnation: int64(e.starts + 1), FailureDomain: "z"}, recorder{})
	e.links, e.targetByID, e.open = map[int]*link{}, map[string]int{}, map[uint64]*request{}
	e.start(25*time.Millisecond, func() {
		e.perform(e.steering.Tick(e.clock.now()))
		e.checkDeadlines()
	})
	e.viewNumber = 0
	e.applyView(e.sim.lastView, e.sim.view())
}

// stop kills the process. Its requests at engines end with their connections.
func (e *entry) stop() {
	for _, number := range slices.Sorted(maps.Keys(e.links)) {
		e.links[number].closeSession()
	}
	e.kill()
	for _, a := range e.sim.targetProcesses {
		maps.DeleteFunc(a.engine.runs, func(_ wire.AttemptID, r *run) bool { return r.entry == e })
	}
}

// applyView applies a view, unless a later one has been applied.
func (e *entry) applyView(number int, v *catalog.View) {
	if number < e.viewNumber {
		return
	}
	e.viewNumber = number
	e.perform(e.steering.SetView(e.clock.now(), v))
}

func (e *entry) receive(l *link, message any) {
	for _, id := range l.sortedIDs() {
		e.perform(e.steering.Message(e.clock.now(), id, message))
	}
}

func (e *entry) attemptID(number uint64) wire.AttemptID {
	return wire.AttemptID{Request: wire.RequestID{Entry: e.name, Incarnation: int64(e.incarnation), Number: number}, Attempt: 1}
}

// askForTarget asks the steering for a target. budget is the time until the
// deadline.
func (e *entry) askForTarget(adapter string, budget time.Duration, tried ...string) {
	if e.incarnation == 0 || e.pausedUntil > e.clock.elapsed {
		return
	}
	e.lastRequest++
	now := e.clock.now()
	e.open[e.lastRequest] = &request{adapter: adapter, deadline: e.clock.elapsed + budget, tried: tried}
	e.sim.logf("%s asks for a target for request %d, adapter %q", e.name, e.lastRequest, adapter)
	e.perform(e.steering.Acquire(now, steering.Request{
		Number: e.lastRequest, Pool: "p", Model: "m", Adapter: adapter, PromptTokens: 500, FirstEventDue: now.Add(300 * time.Millisecond), Deadline: now.Add(budget),
		ExcludedTargets: tried,
	}))
}

func (e *entry) perform(actions []steering.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case steering.Granted:
			e.countDecision(a.Number)
			e.granted++
			e.sendRequest(a.Number, a.Grant)
		case steering.Refused:
			e.sim.logf("%s refused request %d: %v", e.name, a.Number, a.Code)
			e.countDecision(a.Number)
			delete(e.open, a.Number)
		case steering.Send:
			if number, ok := e.targetByID[a.Target]; ok {
				e.links[number].sendToTargetProcess(a.Message)
			}
		case steering.Connect:
			e.connect(a.Target)
		case steering.Disconnect:
			e.disconnect(a.Target)
		}
	}
}

// countDecision counts a decision of the steering. After a second one, a request
// would run twice, or run although its caller got a refusal.
func (e *entry) countDecision(number uint64) {
	r, ok := e.open[number]
	if !ok {
		e.sim.failf("%s: a decision on request %d, which has ended", e.name, number)
	}
	if r.decisions++; r.decisions > 1 {
		e.sim.failf("%s: two decisions on request %d", e.name, number)
	}
}

func (e *entry) connect(t *catalog.Target) {
	var number int
	_, _ = fmt.Sscanf(t.Address, "10.0.0.%d:80", &number)
	l, ok := e.links[number]
	if !ok {
		l = &link{sim: e.sim, entry: e, targetProcess: e.sim.targetProcesses[number], ids: map[string]bool{}, entryIncarnation: e.incarnation}
		e.links[number] = l
		l.connect()
	}
	l.ids[t.ID] = true
	e.targetByID[t.ID] = number
	if l.session != 0 {
		e.perform(e.steering.SessionUp(e.clock.now(), t.ID))
	}
}

func (e *entry) disconnect(id string) {
	number, ok := e.targetByID[id]
	if !ok {
		return
	}
	delete(e.targetByID, id)
	l := e.links[number]
	delete(l.ids, id)
	if len(l.ids) == 0 {
		delete(e.links, number)
		l.closeSession()
	}
}

// sendRequest sends a request to its target and simulates its course until it
// ends.
func (e *entry) sendRequest(number uint64, g steering.Grant) {
	e.sim.logf("%s got target %s for request %d, direct %v", e.name, g.Target.ID, number, g.Unreserved)
	incarnation, r := e.incarnation, e.open[number]
	id := e.attemptID(number)
	var targetNumber int
	_, _ = fmt.Sscanf(g.Target.Address, "10.0.0.%d:80", &targetNumber)
	engine := e.sim.targetProcesses[targetNumber].engine
	e.clock.after(e.sim.delay(1, 20), func() {
		if e.incarnation != incarnation {
			return
		}
		// Another incarnation of the engine has the address.
		reason := "misdirected"
		if engine.id == g.Target.ID {
			reason = engine.startRequest(id, &run{adapter: r.adapter, entry: e, afterPause: e.clock.elapsed-e.resumedAt < maxDrainDelay})
		}
		if reason != "" {
			if !e.sim.faulty {
				e.sim.failf("%s: request %d at engine %v is %s", e.name, number, engine, reason)
			}
			e.do(incarnation, func() { e.retry(number, r, g.Target.ID, reason) })
			return
		}
		engineIncarnation := engine.incarnation
		e.clock.after(e.sim.delay(5, 100), func() {
			e.do(incarnation, func() { e.perform(e.steering.FirstEvent(number)) })
		})
		e.clock.after(e.sim.delay(100, 1500), func() {
			if e.incarnation != incarnation {
				return
			}
			outcome := steering.ResponseBroken
			if engine.incarnation == engineIncarnation {
				delete(engine.runs, id)
				outcome = steering.Answered
			}
			e.do(incarnation, func() { e.finish(number, outcome) })
		})
	})
}

func (e *entry) finish(number uint64, outcome steering.Outcome) {
	delete(e.open, number)
	e.perform(e.steering.Done(e.clock.now(), number, outcome))
}

// retry ends a request that did not run at its target and asks for another
// target, at most twice and only before the deadline.
func (e *entry) retry(number uint64, r *request, id, reason string) {
	outcome := steering.WrongIncarnation
	if reason == "unreached" {
		outcome = steering.Unreachable
	}
	e.finish(number, outcome)
	if left := r.deadline - e.clock.elapsed; left > 0 && len(r.tried) < 2 {
		e.askForTarget(r.adapter, left, append(slices.Clone(r.tried), id)...)
	}
}

// abandon ends a request that has no decision yet, as a caller that gives up does.
func (e *entry) abandon(number uint64) {
	if r, ok := e.open[number]; ok && r.decisions == 0 && e.incarnation != 0 && e.pausedUntil <= e.clock.elapsed {
		e.finish(number, steering.Abandoned)
	}
}

// decisionGrace is how long after its deadline a request may be without a
// decision. It covers the interval between two ticks and the work that a process
// has to catch up on after a pause.
const decisionGrace = 60 * time.Millisecond

// checkDeadlines fails the test if a request is without a decision for too long.
func (e *entry) checkDeadlines() {
	for _, number := range slices.Sorted(maps.Keys(e.open)) {
		r := e.open[number]
		if r.decisions == 0 && e.clock.elapsed > r.deadline+decisionGrace {
			e.sim.failf("%s: no decision on request %d, which was due at %v", e.name, number, r.deadline)
		}
	}
}
