package agent

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/internal/decide/engineagent"
	"agatelanding.example/agatelanding/internal/runtime"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
	"agatelanding.example/agatelanding/platform"
	"agatelanding.example/agatelanding/target/session"
)

const (
	// minReportInterval is the shortest time between two reports of the load.
	minReportInterval = 60 * time.Millisecond
	// minReportIntervalPerEntry is multiplied by the number of entries,
	// because each report goes to every entry. The product replaces
	// minReportInterval if it is longer, except for a report with changed
	// lists of adapters.
	minReportIntervalPerEntry = 8 * time.Millisecond
	// unchangedReportInterval is the time between two reports while the load
	// does not change.
	unchangedReportInterval = 300 * time.Millisecond
)

// tick triggers the work that depends on time. The pacer sends it.
type tick struct{}

// leave starts a planned stop.
type leave struct{}

// getStatus requests a status.
type getStatus struct{}

// status is the state of the process as it is reported to operators.
type status struct {
	// Running is the number of requests at the engine, Waiting that of the
	// requests that wait for admission.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Orders counts the orders that the engine accepted since its start.
	Orders uint64 `json:"orders"`
	// Models lists the base models of the engine, Held the adapters in its
	// slots, including those that it is loading.
	Models []string `json:"models"`
	Held   []string `json:"held"`
	// Slow is true while the engine works at a fraction of its usual pace.
	Slow bool `json:"slow"`
	// Unready is true while the engine does not answer or holds no model.
	Unready bool `json:"unready"`
}

// lookResult is the result of reading the engine's state.
type lookResult struct {
	look engineagent.Look
	err  error
}

// orderResult is the outcome of an order to the engine.
type orderResult struct {
	order   engineagent.Order
	outcome engineagent.OrderOutcome
}

// core is the actor that owns the state of the process. It passes messages to
// the engineagent.Agent as events and performs the actions that it returns.
type core struct {
	agent  *engineagent.Agent
	engine *platform.Engine
	// writers holds the actor that writes to the entry of each session.
	writers map[engineagent.SessionID]*actor.PID
	pacer   *runtime.Pacer
	log     *telemetry.Logger
	// reportedAt is when lastReport was sent to all entries.
	reportedAt time.Time
	lastReport wire.EngineReport
	// engineAnswers is false after a failed attempt to read the engine's
	// state.
	engineAnswers bool
}

func coreProps(a *engineagent.Agent, engine *platform.Engine) *actor.Props {
	return actor.PropsFromProducer(func() actor.Actor {
		return &core{
			agent: a, engine: engine, writers: make(map[engineagent.SessionID]*actor.PID),
			pacer: runtime.NewPacer(&tick{}), log: telemetry.For("core"), engineAnswers: true,
		}
	})
}

// Receive implements actor.Actor.
func (c *core) Receive(ctx actor.Context) {
	now := time.Now()
	switch m := ctx.Message().(type) {
	case *actor.Stopping:
		c.pacer.Stop()
		return
	case *actor.Started, *tick:
		c.perform(ctx, c.agent.Tick(now))
	case *getStatus:
		ctx.Respond(c.status())
	case *leave:
		c.perform(ctx, c.agent.Leave(now))
	case *session.Opened:
		id := engineagent.SessionID(m.ID)
		c.writers[id] = m.Writer
		c.log.With("peer", m.Peer.Process).Info("session open")
		ctx.Send(m.Writer, c.agent.Report(true))
	case *session.Closed:
		id := engineagent.SessionID(m.ID)
		delete(c.writers, id)
		c.log.With("session", m.ID).Info("session ended")
		c.perform(ctx, c.agent.SessionLost(now, id))
	case *session.Received:
		c.perform(ctx, c.receive(ctx, now, m))
	case *lookResult:
		c.logAvailability(m.err)
		if m.err != nil {
			c.perform(ctx, c.agent.LookFailed(now))
		} else {
			c.perform(ctx, c.agent.Looked(now, m.look))
		}
	case *orderResult:
		c.log.With("kind", m.order.Kind).With("adapter", m.order.Adapter).With("version", m.order.Version).
			With("after", m.order.After).With("fence", m.order.Fence).With("outcome", m.outcome).Info("order given")
		c.perform(ctx, c.agent.Ordered(now, m.outcome))
	}
	c.report(ctx, now)
	c.pacer.Within(ctx, now, c.agent.NextTick())
}

// receive passes a message of an entry to the agent as an event.
func (c *core) receive(ctx actor.Context, now time.Time, r *session.Received) []engineagent.Action {
	id := engineagent.SessionID(r.ID)
	switch m := r.Message.(type) {
	case *wire.Reserve:
		return c.agent.Reserve(now, id, m)
	case *wire.Attach:
		return c.agent.Attach(now, id, m)
	case *wire.Started:
		return c.agent.Started(now, m)
	case *wire.Release:
		return c.agent.Release(now, m.ID)
	case *wire.EngineRow:
		return c.agent.SetRow(now, m)
	case *wire.Ping:
		c.send(ctx, id, &wire.Pong{Sequence: m.Sequence})
	default:
		c.log.Warn("unexpected message; closing the session")
		if writer, ok := c.writers[id]; ok {
			ctx.Stop(writer)
		}
	}
	return nil
}

func (c *core) status() status {
	look, r := c.agent.Last(), c.agent.Report(true)
	return status{
		Running: r.Running, Waiting: r.Waiting, Orders: look.Orders, Models: look.Models, Held: r.Held, Slow: r.Slow, Unready: r.Unready,
	}
}

// logAvailability logs when the engine stops answering and when it answers
// again.
func (c *core) logAvailability(err error) {
	if ok := err == nil; ok != c.engineAnswers {
		c.engineAnswers = ok
		if ok {
			c.log.Info("the engine answers again")
		} else {
			c.log.Error(err, "the engine does not answer")
		}
	}
}

func (c *core) perform(ctx actor.Context, actions []engineagent.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case engineagent.Grant:
			c.send(ctx, a.Session, &wire.Reserved{ID: a.ID, Version: a.Version})
		case engineagent.Refuse:
			c.log.With("entry", a.ID.Request.Entry).With("number", a.ID.Request.Number).With("code", int(a.Code)).
				With("reason", a.Code).With("waiting", c.agent.Waiting()).With("running", c.agent.Running()).
				With("loads_waiting", c.agent.LoadsWaiting()).With("after_ms", a.RetryAfter.Milliseconds()).Info("reservation refused")
			c.send(ctx, a.Session, &wire.Refused{ID: a.ID, Code: a.Code, RetryAfterMS: a.RetryAfter.Milliseconds()})
		case engineagent.GiveOrder:
			go c.sendOrder(ctx.ActorSystem().Root, ctx.Self(), a.Order)
		case engineagent.TakeLook:
			go c.readEngine(ctx.ActorSystem().Root, ctx.Self())
		}
	}
}

func (c *core) sendOrder(root *actor.RootContext, self *actor.PID, o engineagent.Order) {
	root.Send(self, &orderResult{order: o, outcome: c.engine.Order(context.Background(), o)})
}

func (c *core) readEngine(root *actor.RootContext, self *actor.PID) {
	look, err := c.engine.Look(context.Background())
	root.Send(self, &lookResult{look: look, err: err})
}

func (c *core) send(ctx actor.Context, id engineagent.SessionID, message any) {
	if writer, ok := c.writers[id]; ok {
		ctx.Send(writer, message)
	}
}

// report sends the load to the entries when it has changed. An unchanged load
// is sent after unchangedReportInterval, which shows that the process is alive.
func (c *core) report(ctx actor.Context, now time.Time) {
	elapsed := now.Sub(c.reportedAt)
	interval := max(minReportInterval, minReportIntervalPerEntry*time.Duration(len(c.writers)))
	if elapsed < interval && (c.agent.Listed() || elapsed < minReportInterval) {
		return
	}
	listsSent := c.agent.Listed()
	r := c.agent.Report(false)
	unchanged := listsSent && r.Running == c.lastReport.Running && r.Waiting == c.lastReport.Waiting && r.Backlog == c.lastReport.Backlog && r.Leaving == c.lastReport.Leaving &&
		r.Slow == c.lastReport.Slow && r.Unready == c.lastReport.Unready
	if unchanged && elapsed < unchangedReportInterval {
		return
	}
	c.reportedAt, c.lastReport = now, *r
	for _, writer := range c.writers {
		ctx.Send(writer, r)
	}
}
