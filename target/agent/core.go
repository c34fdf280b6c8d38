package agent

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/internal/decide/engineagent"
	"agatelanding.example/agatelanding/internal/decide/ratelimit"
	"agatelanding.example/agatelanding/internal/decide/recall"
	"agatelanding.example/agatelanding/internal/runtime"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
	"agatelanding.example/agatelanding/platform"
	"agatelanding.example/agatelanding/target/session"
)

// tick makes the state machine check its deadlines and timers. The tick timer
// sends it.
type tick struct{}

// beginStop starts a planned stop, in which the state machine refuses new requests
// and those that wait.
type beginStop struct{}

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
	// RatePerSecond is the rate that the engine names, 0 if it names none; RateSinceMS
	// is the time since it first did, and RateSource how that was learnt.
	RatePerSecond float64 `json:"rate_per_second"`
	RateSinceMS   int64   `json:"rate_since_ms,omitempty"`
	RateSource    string  `json:"rate_source,omitempty"`
}

// pollResult is the result of a poll of the engine's status.
type pollResult struct {
	sentAt       time.Time
	engineStatus engineagent.EngineStatus
	notice       engineagent.Notice
	err          error
}

// orderResult is the outcome of an order to the engine.
type orderResult struct {
	order   engineagent.Order
	outcome engineagent.OrderOutcome
	notice  engineagent.Notice
}

// core is the actor that owns the state of the process. It passes messages to
// the state machine, an engineagent.Agent, as events and performs the actions
// that it returns.
type core struct {
	stateMachine *engineagent.Agent
	engine       *platform.Engine
	// memory holds what entries keep here.
	memory *recall.Memory
	// writers holds the actor that writes to the entry of each session.
	writers map[engineagent.SessionID]*actor.PID
	// reports are those to the entries.
	reports   *reports
	tickTimer *runtime.TickTimer
	log       *telemetry.Logger
	// engineAnswers is false after a failed poll of the engine's status.
	engineAnswers bool
}

func coreProps(stateMachine *engineagent.Agent, engine *platform.Engine, failureDomain string) *actor.Props {
	return actor.PropsFromProducer(func() actor.Actor {
		return &core{
			stateMachine: stateMachine, engine: engine, memory: recall.NewMemory(), writers: make(map[engineagent.SessionID]*actor.PID), reports: newReports(failureDomain),
			tickTimer: runtime.NewTickTimer(&tick{}), log: telemetry.For("core"), engineAnswers: true,
		}
	})
}

// Receive implements actor.Actor.
func (c *core) Receive(ctx actor.Context) {
	now := time.Now()
	switch m := ctx.Message().(type) {
	case *actor.Stopping:
		c.tickTimer.Stop()
		return
	case *actor.Started, *tick:
		c.perform(ctx, c.stateMachine.Tick(now))
	case *getStatus:
		ctx.Respond(c.status())
	case *beginStop:
		c.perform(ctx, c.stateMachine.Leave(now))
	case *session.Opened:
		id := engineagent.SessionID(m.ID)
		c.sendLists(ctx, now)
		c.writers[id] = m.Writer
		c.reports.add(id, m.Peer.FailureDomain)
		c.log.With("peer", m.Peer.Process).Info("session open")
		c.stateMachine.SetEntries(c.reports.prefixEntries())
		first := c.stateMachine.Report(time.Now(), true)
		if !c.reports.takesPrefixes(c.reports.audienceOf[id]) {
			first.HeldPrefixes, first.AllHeldPrefixes = nil, false
		}
		ctx.Send(m.Writer, first)
	case *session.Closed:
		id := engineagent.SessionID(m.ID)
		delete(c.writers, id)
		c.reports.remove(id)
		c.stateMachine.SetEntries(c.reports.prefixEntries())
		c.log.With("session", m.ID).Info("session ended")
		c.perform(ctx, c.stateMachine.SessionLost(now, id))
	case *session.Received:
		c.perform(ctx, c.receive(ctx, now, m))
	case *pollResult:
		c.logAvailability(m.err)
		believed := m.err != nil || c.stateMachine.Believes(m.engineStatus)
		if !believed {
			c.log.With("started_at_ms", m.engineStatus.StartedAtMS).With("accepted_orders", m.engineStatus.AcceptedOrders).Warn("dropped a report of the engine: it is older than what is known")
		}
		if m.err != nil {
			c.perform(ctx, c.stateMachine.PollFailed(now))
		} else {
			c.perform(ctx, c.stateMachine.PollSucceeded(now, m.engineStatus))
		}
		if !believed {
			break
		}
		c.notified(ctx, now, m.notice)
		if n := m.notice; m.err == nil && n.RateLimit == 0 && !n.MalformedRateLimit && c.stateMachine.PollNamedNoRate(now, m.sentAt) {
			c.log.Info("the engine names no rate limit any more")
		}
	case *orderResult:
		// This line is logged when the outcome of the order arrives.
		c.log.With("kind", m.order.Kind).With("adapter", m.order.Adapter).With("version", m.order.Version).
			With("after", m.order.ExpectedOrders).With("fence", m.order.Fence).With("outcome", m.outcome).Info("order given")
		c.notified(ctx, now, m.notice)
		c.perform(ctx, c.stateMachine.OrderCompleted(now, m.outcome))
	}
	c.report(ctx, now)
	c.tickTimer.ScheduleWithin(ctx, now, c.stateMachine.NextTick())
}

// receive passes a message of an entry to the state machine as an event.
func (c *core) receive(ctx actor.Context, now time.Time, r *session.Received) []engineagent.Action {
	id := engineagent.SessionID(r.ID)
	switch m := r.Message.(type) {
	case *wire.Reserve:
		return c.stateMachine.Reserve(now, id, m)
	case *wire.Attach:
		return c.stateMachine.Attach(now, id, m)
	case *wire.Started:
		return c.stateMachine.FirstEvent(now, m)
	case *wire.Release:
		return c.stateMachine.Release(now, m.ID)
	case *wire.EngineSettings:
		// The row is the configuration of the engine's pool.
		c.reports.takesChanges[id] = m.TakesChanges
		before := c.stateMachine.RateLimit().Rate
		actions := c.stateMachine.SetSettings(now, m)
		if after := c.stateMachine.RateLimit().Rate; after != before {
			c.log.With("per_second", after).With("before", before).With("by", ratelimit.FromEntry).Info("the engine's rate limit has changed")
		}
		return actions
	case *wire.Ping:
		c.send(ctx, id, &wire.Pong{Sequence: m.Sequence})
	case *wire.Remember:
		c.remember(ctx, now, id, m)
	case *wire.Recall:
		c.recall(ctx, now, id, m)
	default:
		c.log.Warn("unexpected message of an entry; closing the session")
		if writer, ok := c.writers[id]; ok {
			ctx.Stop(writer)
		}
	}
	return nil
}

func (c *core) status() status {
	engineStatus, r := c.stateMachine.Status(), c.stateMachine.Report(time.Now(), true)
	s := status{
		Running: r.Running, Waiting: r.Waiting, Orders: engineStatus.AcceptedOrders, Models: engineStatus.Models, Held: r.Held, Slow: r.Slow, Unready: r.NotReady,
	}
	if l := c.stateMachine.RateLimit(); l.Rate > 0 {
		s.RatePerSecond, s.RateSinceMS, s.RateSource = l.Rate, time.Since(l.Since).Milliseconds(), string(l.Source)
	}
	return s
}

// notified passes on what the engine says of itself in an answer.
func (c *core) notified(ctx actor.Context, now time.Time, n engineagent.Notice) {
	if n == (engineagent.Notice{}) {
		return
	}
	actions, isNew := c.stateMachine.Notified(now, n)
	if isNew && (n.Leaving || n.RetryAfter > 0) {
		c.log.With("leaving", n.Leaving).With("retry_after_ms", n.RetryAfter.Milliseconds()).Info("the engine wants no new requests")
	}
	if n.ExtraAnswer {
		c.log.Warn("the engine has sent an answer that belongs to no request")
	}
	if isNew && n.RateLimit > 0 {
		c.log.With("per_second", n.RateLimit).With("by", ratelimit.FromPoll).Info("the engine names a rate limit")
	}
	c.perform(ctx, actions)
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
				With("reason", a.Code).With("waiting", c.stateMachine.Waiting()).With("running", c.stateMachine.Running()).
				With("loads_waiting", c.stateMachine.AbsentAdapters()).With("after_ms", a.RetryAfter.Milliseconds()).Info("reservation refused")
			c.send(ctx, a.Session, &wire.Refused{
				ID: a.ID, Code: a.Code, RetryAfterMS: a.RetryAfter.Milliseconds(),
				Load: wire.LoadReport{Running: c.stateMachine.Running(), Queued: c.stateMachine.Waiting(), StartDelayMS: int(a.RetryAfter.Milliseconds())},
			})
		case engineagent.SendOrder:
			go sendOrder(ctx.ActorSystem().Root, ctx.Self(), c.connection(a.NewConnection), a.Order)
		case engineagent.PollEngine:
			go pollEngine(ctx.ActorSystem().Root, ctx.Self(), c.connection(a.NewConnection))
		}
	}
}

// connection returns the engine's client, one that opens a connection for each call if
// isNew is true.
func (c *core) connection(isNew bool) *platform.Engine {
	if isNew {
		return c.engine.OnNewConnections()
	}
	return c.engine
}

func sendOrder(root *actor.RootContext, self *actor.PID, engine *platform.Engine, o engineagent.Order) {
	outcome, notice := engine.Order(context.Background(), o)
	root.Send(self, &orderResult{order: o, outcome: outcome, notice: notice})
}

func pollEngine(root *actor.RootContext, self *actor.PID, engine *platform.Engine) {
	sentAt := time.Now()
	engineStatus, notice, err := engine.ReadStatus(context.Background())
	root.Send(self, &pollResult{sentAt: sentAt, engineStatus: engineStatus, notice: notice, err: err})
}

func (c *core) send(ctx actor.Context, id engineagent.SessionID, message any) {
	if writer, ok := c.writers[id]; ok {
		ctx.Send(writer, message)
	}
}
