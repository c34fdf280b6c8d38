// Package router runs the dispatcher of an entry as an actor: it turns
// messages into events and performs the actions. Its children are the
// sessions, one for each target.
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

// Tick drives what depends on time.
type Tick struct{}

// Submit takes a new call.
type Submit struct {
	Call   *dispatch.Call
	Answer *Answer
}

// Abort ends a call whose caller is gone.
type Abort struct{ Number uint64 }

// InForce puts a snapshot in force.
type InForce struct{ Snapshot *tables.Snapshot }

// ListState passes on what the VM list says of targets.
type ListState struct{ Leaving map[string]bool }

// GetStatus asks for a Status.
type GetStatus struct{}

// Status is a view of the router for operators.
type Status struct {
	// InFlight is the number of open calls.
	InFlight int `json:"in_flight"`
	// Sessions is the number of targets with an open session, Connecting of
	// those without one.
	Sessions   int `json:"sessions"`
	Connecting int `json:"connecting"`
}

// Router is the actor.
type Router struct {
	dispatcher *dispatch.Dispatcher
	local      session.Local
	refresh    func(revision uint64)
	sessions   map[string]*actor.PID
	open       map[string]bool
	answers    map[uint64]*Answer
	pacer      *runtime.Pacer
	log        *telemetry.Logger
}

// Props returns the properties of the router. refresh asks the configuration
// watcher for a newer revision and must not block.
func Props(d *dispatch.Dispatcher, local session.Local, refresh func(revision uint64)) *actor.Props {
	return actor.PropsFromProducer(func() actor.Actor {
		return &Router{
			dispatcher: d, local: local, refresh: refresh,
			sessions: make(map[string]*actor.PID), open: make(map[string]bool), answers: make(map[uint64]*Answer),
			pacer: runtime.NewPacer(&Tick{}), log: telemetry.For("router"),
		}
	}, actor.WithSupervisor(runtime.RestartChildren()))
}

// Receive implements actor.Actor.
func (r *Router) Receive(ctx actor.Context) {
	now := time.Now()
	switch m := ctx.Message().(type) {
	case *actor.Stopping:
		r.pacer.Stop()
		return
	case *Tick:
		r.perform(ctx, now, r.dispatcher.Tick(now))
	case *Submit:
		r.answers[m.Call.Number] = m.Answer
		r.perform(ctx, now, r.dispatcher.Submit(now, m.Call))
	case *Abort:
		r.perform(ctx, now, r.dispatcher.Abort(now, m.Number))
	case *InForce:
		r.perform(ctx, now, r.dispatcher.SetSnapshot(now, m.Snapshot))
	case *ListState:
		for name, leaving := range m.Leaving {
			r.dispatcher.ListLeaving(name, leaving)
		}
	case *GetStatus:
		ctx.Respond(Status{
			InFlight: r.dispatcher.InFlight(), Sessions: len(r.open), Connecting: len(r.sessions) - len(r.open),
		})
	case *session.Up:
		r.open[m.Target] = true
		r.perform(ctx, now, r.dispatcher.SessionUp(now, m.Target, m.Peer))
	case *session.Down:
		delete(r.open, m.Target)
		r.perform(ctx, now, r.dispatcher.SessionDown(now, m.Target))
	case *session.Received:
		r.perform(ctx, now, r.dispatcher.Message(now, m.Target, m.Message))
	}
	r.pace(ctx, now)
}

func (r *Router) pace(ctx actor.Context, now time.Time) {
	interval := runtime.IdleTick
	if r.dispatcher.InFlight() > 0 {
		interval = runtime.BusyTick
	}
	r.pacer.Within(ctx, now, interval)
}

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
			if answer, ok := r.answers[a.Number]; ok {
				answer.discard()
			}
		case dispatch.Finish:
			r.finish(a)
		case dispatch.Connect:
			r.connect(ctx, a)
		case dispatch.Disconnect:
			r.disconnect(ctx, a.Target)
		case dispatch.Refresh:
			r.refresh(a.Revision)
		}
	}
}

func (r *Router) deliver(ctx actor.Context, now time.Time, a dispatch.Deliver) {
	answer, ok := r.answers[a.Number]
	if ok && !answer.deliver(a.Data) {
		r.log.With("request", a.Number).Warn("the caller does not read; ending its request")
		ctx.Send(ctx.Self(), &Abort{Number: a.Number})
	}
}

func (r *Router) finish(a dispatch.Finish) {
	if answer, ok := r.answers[a.Number]; ok {
		answer.finish(a.Outcome)
		delete(r.answers, a.Number)
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
		// Poison comes after the messages that were sent before, Stop would
		// overtake them.
		ctx.Poison(pid)
		delete(r.sessions, target)
	}
}
