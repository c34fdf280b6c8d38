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
	// reportInterval is the least time between two reports to an entry while
	// the load changes, quietInterval the time while it does not. Reports go
	// to every entry, so that the interval grows with their number.
	reportInterval = 60 * time.Millisecond
	reportPerEntry = 8 * time.Millisecond
	quietInterval  = 300 * time.Millisecond
)

// tick drives what depends on time.
type tick struct{}

// leave starts a planned stop.
type leave struct{}

// getStatus asks for what operators see.
type getStatus struct{}

// status is what operators see of the process.
type status struct {
	Running int      `json:"running"`
	Waiting int      `json:"waiting"`
	Orders  uint64   `json:"orders"`
	Models  []string `json:"models"`
	Held    []string `json:"held"`
	Slow    bool     `json:"slow"`
	Unready bool     `json:"unready"`
}

// looked is the result of a look at the engine.
type looked struct {
	look engineagent.Look
	err  error
}

// ordered is the outcome of an order.
type ordered struct {
	order   engineagent.Order
	outcome engineagent.OrderOutcome
}

// core owns the decisions.
type core struct {
	agent    *engineagent.Agent
	engine   *platform.Engine
	writers  map[engineagent.SessionID]*actor.PID
	pacer    *runtime.Pacer
	log      *telemetry.Logger
	reported time.Time
	last     wire.EngineReport
	lookOK   bool
}

func coreProps(a *engineagent.Agent, engine *platform.Engine) *actor.Props {
	return actor.PropsFromProducer(func() actor.Actor {
		return &core{
			agent: a, engine: engine, writers: make(map[engineagent.SessionID]*actor.PID),
			pacer: runtime.NewPacer(&tick{}), log: telemetry.For("core"), lookOK: true,
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
	case *looked:
		c.noteLook(m.err)
		if m.err != nil {
			c.perform(ctx, c.agent.LookFailed(now))
		} else {
			c.perform(ctx, c.agent.Looked(now, m.look))
		}
	case *ordered:
		c.log.With("kind", m.order.Kind).With("adapter", m.order.Adapter).With("version", m.order.Version).
			With("after", m.order.After).With("fence", m.order.Fence).With("outcome", m.outcome).Info("order given")
		c.perform(ctx, c.agent.Ordered(now, m.outcome))
	}
	c.report(ctx, now)
	c.pacer.Within(ctx, now, c.agent.NextTick())
}

// receive turns a message of an entry into an event.
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
	last, r := c.agent.Last(), c.agent.Report(true)
	return status{
		Running: r.Running, Waiting: r.Waiting, Orders: last.Orders, Models: last.Models, Held: r.Held, Slow: r.Slow, Unready: r.Unready,
	}
}

func (c *core) noteLook(err error) {
	if ok := err == nil; ok != c.lookOK {
		c.lookOK = ok
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
			go c.order(ctx.ActorSystem().Root, ctx.Self(), a.Order)
		case engineagent.TakeLook:
			go c.look(ctx.ActorSystem().Root, ctx.Self())
		}
	}
}

func (c *core) order(root *actor.RootContext, self *actor.PID, o engineagent.Order) {
	root.Send(self, &ordered{order: o, outcome: c.engine.Order(context.Background(), o)})
}

func (c *core) look(root *actor.RootContext, self *actor.PID) {
	look, err := c.engine.Look(context.Background())
	root.Send(self, &looked{look: look, err: err})
}

func (c *core) send(ctx actor.Context, id engineagent.SessionID, message any) {
	if writer, ok := c.writers[id]; ok {
		ctx.Send(writer, message)
	}
}

// report tells the entries of the load when it has changed, and in any case
// from time to time, which shows that the process is alive.
func (c *core) report(ctx actor.Context, now time.Time) {
	since := now.Sub(c.reported)
	interval := max(reportInterval, reportPerEntry*time.Duration(len(c.writers)))
	if since < interval && (c.agent.Listed() || since < reportInterval) {
		return
	}
	listed := c.agent.Listed()
	r := c.agent.Report(false)
	same := listed && r.Running == c.last.Running && r.Waiting == c.last.Waiting && r.Backlog == c.last.Backlog && r.Leaving == c.last.Leaving &&
		r.Slow == c.last.Slow && r.Unready == c.last.Unready
	if same && since < quietInterval {
		return
	}
	c.reported, c.last = now, *r
	for _, writer := range c.writers {
		ctx.Send(writer, r)
	}
}
