// Package core runs the scheduler of a target process as an actor. The actor
// owns all state: it passes messages to the scheduler as events and performs
// the actions that the scheduler returns.
package core

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/internal/decide/scheduler"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/runtime"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
	"agatelanding.example/agatelanding/target/driver"
	"agatelanding.example/agatelanding/target/session"
)

// Tick makes the scheduler check its deadlines and timers. The tick timer sends
// it.
type Tick struct{}

// Leave starts a planned stop: the scheduler refuses new requests and reports the
// stop to the entries. A target that is set to draining in the pool table does not
// stop.
type Leave struct{}

// GetStatus requests a scheduler.Status.
type GetStatus struct{}

// GetIdle requests a bool: whether every accepted request has ended.
type GetIdle struct{}

// Core is the actor that runs the scheduler.
type Core struct {
	scheduler *scheduler.Scheduler
	driver    *driver.Driver
	// publishStatus makes a status visible outside the actor: to the sessions'
	// handshakes, the readiness check and the status page.
	publishStatus func(scheduler.Status)
	// stepDown starts a planned stop of the process, because another process has
	// taken over the engine. It must not block.
	stepDown func()
	// writers holds the actor that writes to the entry of each session.
	writers map[scheduler.SessionID]*actor.PID
	log     *telemetry.Logger
	// engineAnswers is false after a failed probe of the engine.
	engineAnswers bool
	tickTimer     *runtime.TickTimer
}

// Props returns the properties of the actor.
func Props(s *scheduler.Scheduler, d *driver.Driver, publishStatus func(scheduler.Status), stepDown func()) *actor.Props {
	return actor.PropsFromProducer(func() actor.Actor {
		return &Core{
			scheduler: s, driver: d, publishStatus: publishStatus, stepDown: stepDown,
			writers: make(map[scheduler.SessionID]*actor.PID), log: telemetry.For("core"), engineAnswers: true,
			tickTimer: runtime.NewTickTimer(&Tick{}),
		}
	})
}

// Receive implements actor.Actor.
func (c *Core) Receive(ctx actor.Context) {
	now := time.Now()
	switch m := ctx.Message().(type) {
	case *actor.Stopping:
		c.tickTimer.Stop()
		return
	case *Tick:
		c.perform(ctx, c.scheduler.Tick(now))
		c.publishStatus(c.scheduler.Status(now))
	case *Leave:
		c.perform(ctx, c.scheduler.Leave(now))
		c.publishStatus(c.scheduler.Status(now))
	case *GetStatus:
		ctx.Respond(c.scheduler.Status(now))
	case *GetIdle:
		ctx.Respond(c.scheduler.Idle())
	case *session.Opened:
		c.writers[m.ID] = m.Writer
		c.log.With("peer", m.Peer.Process).Debug("session open")
		c.perform(ctx, c.scheduler.SessionUp(now, m.ID))
	case *session.Closed:
		delete(c.writers, m.ID)
		c.perform(ctx, c.scheduler.SessionLost(now, m.ID))
	case *session.Received:
		c.perform(ctx, c.receive(ctx, now, m))
	default:
		c.perform(ctx, c.receiveResult(now, m))
	}
	c.scheduleTick(ctx, now)
}

// scheduleTick requests the next tick, sooner while requests are in progress.
func (c *Core) scheduleTick(ctx actor.Context, now time.Time) {
	interval := runtime.IdleTickInterval
	if !c.scheduler.Idle() {
		interval = runtime.BusyTickInterval
	}
	c.tickTimer.ScheduleWithin(ctx, now, interval)
}

// receive passes a message of an entry to the scheduler as an event.
func (c *Core) receive(ctx actor.Context, now time.Time, r *session.Received) []scheduler.Action {
	switch m := r.Message.(type) {
	case *wire.Reserve:
		return c.scheduler.Reserve(now, r.ID, m)
	case *wire.Run:
		return c.scheduler.Run(now, r.ID, m)
	case *wire.Cancel:
		return c.scheduler.Cancel(now, r.ID, m)
	case *wire.Resume:
		return c.scheduler.Resume(now, r.ID, m)
	case *wire.PoolUpdate:
		before := c.scheduler.Status(now).Revision
		actions := c.scheduler.PoolUpdate(now, r.ID, m)
		if after := c.scheduler.Status(now); after.Revision != before {
			// The pool row is the record of this target's pool in the pool table.
			c.log.With("revision", after.Revision).Info("pool row in force")
			c.publishStatus(after)
		}
		return actions
	case *wire.LoadGrant:
		return c.scheduler.HandleLoadGrant(now, m)
	case *wire.Ping:
		c.send(ctx, r.ID, &wire.Pong{Sequence: m.Sequence, Load: c.scheduler.LoadReport()})
	case *wire.RevisionQuery:
		c.send(ctx, r.ID, &wire.RevisionReply{Revision: c.scheduler.Status(now).Revision})
	default:
		c.log.Warn("unexpected message of an entry; closing the session")
		c.closeSession(ctx, r.ID)
	}
	return nil
}

// receiveResult passes a result of the driver to the scheduler as an event.
func (c *Core) receiveResult(now time.Time, message any) []scheduler.Action {
	switch m := message.(type) {
	case *driver.ProbeResult:
		c.logAvailability(m.Err)
		if m.Err == nil {
			return c.scheduler.EngineProbed(now, m.State)
		}
	case *driver.FenceResult:
		if m.Err == nil {
			c.log.With("fence", m.Fence).Info("authority over the engine taken")
			return c.scheduler.FenceSet(now, m.State, m.Fence)
		}
		c.log.Error(m.Err, "taking authority over the engine failed")
	case *driver.LoadResult:
		if result.CodeOf(m.Err) == result.AuthorityLost {
			return append(c.scheduler.OrderFenced(now), c.scheduler.AdapterLoaded(now, m.Key, m.Err)...)
		}
		return c.scheduler.AdapterLoaded(now, m.Key, m.Err)
	case *driver.UnloadResult:
		if result.CodeOf(m.Err) == result.AuthorityLost {
			return append(c.scheduler.OrderFenced(now), c.scheduler.AdapterUnloaded(now, m.Key, m.Err)...)
		}
		return c.scheduler.AdapterUnloaded(now, m.Key, m.Err)
	case *driver.Chunk:
		return c.scheduler.ExecutionChunk(now, m.ID, m.Data)
	case *scheduler.Completion:
		return c.scheduler.ExecutionEnded(now, *m)
	}
	return nil
}

// logAvailability logs when the engine stops answering and when it answers
// again.
func (c *Core) logAvailability(err error) {
	ok := err == nil
	if ok != c.engineAnswers {
		c.engineAnswers = ok
		if ok {
			c.log.Info("the engine answers again")
		} else {
			c.log.Error(err, "the engine does not answer")
		}
	}
}

func (c *Core) perform(ctx actor.Context, actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.ToSession:
			c.send(ctx, a.Session, a.Message)
		case scheduler.Exit:
			c.log.Warn("another process has taken over the engine; stopping")
			c.stepDown()
		default:
			c.driver.Perform(action)
		}
	}
}

func (c *Core) send(ctx actor.Context, id scheduler.SessionID, message any) {
	if writer, ok := c.writers[id]; ok {
		ctx.Send(writer, message)
	}
}

func (c *Core) closeSession(ctx actor.Context, id scheduler.SessionID) {
	if writer, ok := c.writers[id]; ok {
		ctx.Stop(writer)
	}
}
