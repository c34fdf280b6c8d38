package experiment

import (
	"fmt"
	"time"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/decide/scheduler"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// messageDelay is the one-way delay between an entry and a target.
	messageDelay = time.Millisecond
	// tickInterval is the interval between the ticks of a process.
	tickInterval = 20 * time.Millisecond
	// pongInterval is the interval between the load reports on an idle session.
	// The model has no pings: target processes send pongs on their own timer.
	pongInterval = time.Second
)

// entryNode runs the dispatcher of one entry.
type entryNode struct {
	fleet *fleet
	index int
	core  *dispatch.Dispatcher
}

// perform carries out the actions that the dispatcher decided.
func (n *entryNode) perform(actions []dispatch.Action) {
	f := n.fleet
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			t := f.targetByName[a.Target]
			f.loop.after(messageDelay, func() { t.receive(n.session(), a.Message) })
		case dispatch.Deliver:
			f.deliver(a.Number, a.Data)
		case dispatch.Discard:
			f.discard(a.Number)
		case dispatch.Finish:
			f.finish(a.Number, a.Outcome)
		case dispatch.Connect:
			n.connect(f.targetByName[a.Target])
		}
	}
}

// session returns the ID of this entry's session, which is the same at every
// target.
func (n *entryNode) session() scheduler.SessionID { return scheduler.SessionID(n.index + 1) }

func (n *entryNode) connect(t *targetNode) {
	n.fleet.loop.after(messageDelay, func() {
		now := n.fleet.loop.now
		t.perform(t.core.SessionUp(now, n.session()))
		n.perform(n.core.SessionUp(now, t.name, &wire.Hello{
			Protocol: wire.ProtocolVersion, Process: t.name, Role: wire.RoleTarget, Incarnation: 1,
			Revision: revision, State: wire.StateServing,
		}))
	})
}

// targetNode runs the scheduler of one target process and its engine.
type targetNode struct {
	fleet  *fleet
	name   string
	core   *scheduler.Scheduler
	engine *engine
	// reports holds the load reports that are still needed for ReportLag.
	reports []timedReport
	// executed counts the executions of requests that arrived in the
	// measured window.
	executed int
}

// timedReport is a load report and its time of creation.
type timedReport struct {
	at   time.Time
	load wire.LoadReport
}

func (t *targetNode) receive(session scheduler.SessionID, message any) {
	now := t.fleet.loop.now
	switch m := message.(type) {
	case *wire.Reserve:
		t.fleet.reserveReceived(t, m)
		t.perform(t.core.Reserve(now, session, m))
	case *wire.Run:
		t.perform(t.core.Run(now, session, m))
	case *wire.Cancel:
		t.perform(t.core.Cancel(now, session, m))
	case *wire.Resume:
		t.perform(t.core.Resume(now, session, m))
	case *wire.PoolUpdate:
		t.perform(t.core.PoolUpdate(now, session, m))
	case *wire.LoadGrant:
		t.perform(t.core.HandleLoadGrant(now, m))
	default:
		panic(fmt.Sprintf("experiment: no handler for message %T", m))
	}
}

// perform carries out the actions that the scheduler decided.
func (t *targetNode) perform(actions []scheduler.Action) {
	l := t.fleet.loop
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.ToSession:
			t.sendToEntry(a.Session, a.Message)
		case scheduler.LoadAdapter:
			t.fleet.loadStarted(t, a.Adapter)
			t.engine.load(a.Adapter, func(err error) {
				t.fleet.adapterLoaded(t, a.Adapter)
				t.perform(t.core.AdapterLoaded(l.now, a.Adapter, err))
			})
		case scheduler.UnloadAdapter:
			t.engine.unload(a.Adapter, func(err error) { t.perform(t.core.AdapterUnloaded(l.now, a.Adapter, err)) })
		case scheduler.Execute:
			t.execute(a)
		case scheduler.CancelExecution:
			l.after(orderLatency, func() { t.engine.cancel(a.ID) })
		case scheduler.ProbeEngine:
			l.after(orderLatency, func() { t.perform(t.core.EngineProbed(l.now, t.engine.state())) })
		case scheduler.SetFence:
			l.after(orderLatency, func() {
				t.engine.fence = a.Fence
				t.perform(t.core.FenceSet(l.now, t.engine.state(), a.Fence))
			})
		default:
			panic(fmt.Sprintf("experiment: no handler for action %T", a))
		}
	}
}

func (t *targetNode) sendToEntry(session scheduler.SessionID, message any) {
	entry := t.fleet.entries[session-1]
	message = t.withLaggedReport(message)
	t.fleet.loop.after(messageDelay, func() {
		entry.perform(entry.core.HandleMessage(t.fleet.loop.now, t.name, message))
	})
}

func (t *targetNode) execute(a scheduler.Execute) {
	r := t.fleet.executionStarted(t, a.ID)
	t.engine.execute(&sequence{
		id: a.ID, key: a.Adapter, priority: a.Priority, prefill: r.Prompt, output: r.Output,
	})
}

// chunk implements engineEvents.
func (t *targetNode) chunk(id wire.AttemptID, data string) {
	t.perform(t.core.ExecutionChunk(t.fleet.loop.now, id, []byte(data)))
}

// ended implements engineEvents.
func (t *targetNode) ended(c scheduler.Completion) {
	t.perform(t.core.ExecutionEnded(t.fleet.loop.now, c))
}

// sendPong sends a load report to every entry. It stands for the replies to the
// entries' pings, which the model leaves out.
func (t *targetNode) sendPong() {
	for _, e := range t.fleet.entries {
		t.sendToEntry(e.session(), &wire.Pong{Load: t.core.LoadReport()})
	}
}

// withLaggedReport returns the message with its load report, if any, replaced by
// one that is ReportLag old.
func (t *targetNode) withLaggedReport(message any) any {
	if t.fleet.cfg.ReportLag == 0 {
		return message
	}
	switch m := message.(type) {
	case *wire.Reserved:
		c := *m
		c.Load = t.laggedReport(m.Load)
		return &c
	case *wire.Refused:
		c := *m
		c.Load = t.laggedReport(m.Load)
		return &c
	case *wire.End:
		c := *m
		c.Load = t.laggedReport(m.Load)
		return &c
	case *wire.Pong:
		c := *m
		c.Load = t.laggedReport(m.Load)
		return &c
	}
	return message
}

// laggedReport returns the report from ReportLag ago. The fields that ask for load
// tokens stay current unless LagLoadTokens is set: they are a request of the
// target process to the entries and not a measurement of its load.
func (t *targetNode) laggedReport(load wire.LoadReport) wire.LoadReport {
	now := t.fleet.loop.now
	t.reports = append(t.reports, timedReport{at: now, load: load})
	cutoff := now.Add(-t.fleet.cfg.ReportLag)
	for len(t.reports) > 1 && !t.reports[1].at.After(cutoff) {
		t.reports = t.reports[1:]
	}
	lagged := t.reports[0].load
	if !t.fleet.cfg.LagLoadTokens {
		lagged.AdapterLoadsWaiting, lagged.AdapterLoadUrgency = load.AdapterLoadsWaiting, load.AdapterLoadUrgency
	}
	return lagged
}
