// Package router runs the state machine of package dispatch as an actor. The
// actor passes its messages to the state machine as events and performs the
// actions that it returns. Its children are the sessions, one for each target.
package router

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/entry/session"
	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/runtime"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/telemetry"
)

// Tick makes the state machine check its deadlines and timers.
type Tick struct{}

// Submit starts a call: a caller's request, parsed and joined with its route.
// Response receives the data and the outcome.
type Submit struct {
	Call     *dispatch.Call
	Response *ResponseBuffer
}

// Abort ends a call whose caller has disconnected or does not read.
type Abort struct{ Number uint64 }

// SetSnapshot puts a snapshot of the configuration in force.
type SetSnapshot struct{ Snapshot *tables.Snapshot }

// SetLeavingTargets reports for each target of the VM list, by name, whether
// the list shows it as leaving.
type SetLeavingTargets struct{ Leaving map[string]bool }

// StatusRequest requests a Status.
type StatusRequest struct{}

// Status is a view of the router for operators.
type Status struct {
	// InFlight is the number of open calls.
	InFlight int `json:"in_flight"`
	// Sessions is the number of targets with an open session, Connecting the
	// number of targets whose session is not open.
	Sessions   int `json:"sessions"`
	Connecting int `json:"connecting"`
}

// Router is the actor that runs a dispatcher.
type Router struct {
	dispatcher *dispatch.Dispatcher
	local      session.Options
	refresh    func(revision uint64)
	// sessions and openSessions are by target, responses by call number. Log
	// lines have the call number in the field "request".
	sessions     map[string]*actor.PID
	openSessions map[string]bool
	responses    map[uint64]*ResponseBuffer
	tickTimer    *runtime.TickTimer
	log          *telemetry.Logger
}

// Props returns the actor properties of a router. refresh asks the configuration
// watcher for a newer revision and must not block.
func Props(d *dispatch.Dispatcher, local session.Options, refresh func(revision uint64)) *actor.Props {
	return actor.PropsFromProducer(func() actor.Actor {
		return &Router{
			dispatcher: d, local: local, refresh: refresh,
			sessions: make(map[string]*actor.PID), openSessions: make(map[string]bool), responses: make(map[uint64]*ResponseBuffer),
			tickTimer: runtime.NewTickTimer(&Tick{}), log: telemetry.For("router"),
		}
	}, actor.WithSupervisor(runtime.RestartChildren()))
}

// Receive implements actor.Actor.
func (r *Router) Receive(ctx actor.Context) {
	now := time.Now()
	switch m := ctx.Message().(type) {
	case *actor.Stopping:
		r.tickTimer.Stop()
		return
	case *Tick:
		r.perform(ctx, now, r.dispatcher.Tick(now))
	case *Submit:
		r.responses[m.Call.Number] = m.Response
		r.perform(ctx, now, r.dispatcher.Submit(now, m.Call))
	case *Abort:
		r.perform(ctx, now, r.dispatcher.Abort(now, m.Number))
	case *SetSnapshot:
		r.perform(ctx, now, r.dispatcher.SetSnapshot(now, m.Snapshot))
	case *SetLeavingTargets:
		for name, leaving := range m.Leaving {
			r.dispatcher.SetListedLeaving(name, leaving)
		}
	case *StatusRequest:
		ctx.Respond(Status{
			InFlight: r.dispatcher.OpenCalls(), Sessions: len(r.openSessions), Connecting: len(r.sessions) - len(r.openSessions),
		})
	case *session.Opened:
		r.openSessions[m.Target] = true
		r.perform(ctx, now, r.dispatcher.SessionUp(now, m.Target, m.Peer))
	case *session.Closed:
		delete(r.openSessions, m.Target)
		r.perform(ctx, now, r.dispatcher.SessionLost(now, m.Target))
	case *session.MessageReceived:
		r.perform(ctx, now, r.dispatcher.HandleMessage(now, m.Target, m.Message))
	}
	r.scheduleTick(ctx, now)
}

// scheduleTick requests the next tick, sooner while calls are open.
func (r *Router) scheduleTick(ctx actor.Context, now time.Time) {
	interval := runtime.IdleTickInterval
	if r.dispatcher.OpenCalls() > 0 {
		interval = runtime.BusyTickInterval
	}
	r.tickTimer.ScheduleWithin(ctx, now, interval)
}

// perform carries out the actions that the dispatcher returned.
func (r *Router) perform(ctx actor.Context, now time.Time, actions []dispatch.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Send:
			if pid, ok := r.sessions[a.Target]; ok {
				ctx.Send(pid, a.Message)
			}
		case dispatch.Deliver:
			r.deliver(ctx, now, a)
		case dispatch.Discard:
			if response, ok := r.responses[a.Number]; ok {
				response.discard()
			}
		case dispatch.Finish:
			r.finish(a)
		case dispatch.Connect:
			r.connect(ctx, a)
		case dispatch.Disconnect:
			r.disconnect(ctx, a.Target)
		case dispatch.RefreshConfiguration:
			r.refresh(a.Revision)
		}
	}
}

func (r *Router) deliver(ctx actor.Context, now time.Time, a dispatch.Deliver) {
	response, ok := r.responses[a.Number]
	if ok && !response.deliver(a.Data) {
		r.log.With("request", a.Number).Warn("the response buffer is full because the caller does not read; aborting the call")
		ctx.Send(ctx.Self(), &Abort{Number: a.Number})
	}
}

func (r *Router) finish(a dispatch.Finish) {
	if response, ok := r.responses[a.Number]; ok {
		response.finish(a.Outcome)
		delete(r.responses, a.Number)
	}
	if r.log.DebugEnabled() {
		r.log.With("request", a.Number).With("code", int(a.Outcome.Code)).With("reason", a.Outcome.Code).
			With("target", a.Outcome.Target).With("attempts", a.Outcome.Attempts).
			With("revision", r.local.Hello().Revision).Debug("request ended")
	}
}

func (r *Router) connect(ctx actor.Context, a dispatch.Connect) {
	r.disconnect(ctx, a.Target)
	r.sessions[a.Target] = ctx.Spawn(session.Props(a.Target, a.Address, ctx.Self(), r.local))
}

func (r *Router) disconnect(ctx actor.Context, target string) {
	if pid, ok := r.sessions[target]; ok {
		// Poison is handled after the messages already sent to the session; Stop
		// would overtake them.
		ctx.Poison(pid)
		delete(r.sessions, target)
	}
}
