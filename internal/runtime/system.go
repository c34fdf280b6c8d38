// Package runtime provides what the actor trees of the programs share: the actor
// system with its logger, the supervision strategies, the timer of the actors'
// ticks and the signal handling.
package runtime

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/internal/telemetry"
)

// NewSystem returns an actor system that logs through package telemetry.
func NewSystem() *actor.ActorSystem {
	logger := slog.New(telemetry.For("actor").SlogHandler())
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return logger }))
}

// A child that fails more than maxRestarts times within restartWindow is
// stopped.
const (
	maxRestarts   = 10
	restartWindow = 10 * time.Second
)

// RestartChildren returns a strategy that restarts a failed child, for children
// without state of their own. A child that fails too often is stopped.
func RestartChildren() actor.SupervisorStrategy {
	return actor.NewOneForOneStrategy(maxRestarts, restartWindow, func(reason any) actor.Directive {
		telemetry.For("supervisor").With("reason", reason).Warn("restarting a failed actor")
		return actor.RestartDirective
	})
}

// StopChildren returns a strategy that stops a failed child, for example the
// session of one peer.
func StopChildren() actor.SupervisorStrategy {
	return actor.NewOneForOneStrategy(0, 0, func(reason any) actor.Directive {
		telemetry.For("supervisor").With("reason", reason).Warn("stopping a failed actor")
		return actor.StopDirective
	})
}

// FailProcess returns a strategy that stops a failed child and calls failed,
// which must end the process. It is for children whose state cannot be rebuilt,
// such as idempotency records: a new process treats keys from before its start
// as possibly executed, a restarted actor would not.
func FailProcess(failed func(reason any)) actor.SupervisorStrategy {
	return actor.NewOneForOneStrategy(0, 0, func(reason any) actor.Directive {
		failed(reason)
		return actor.StopDirective
	})
}

// StopSignals returns a channel that receives SIGTERM and SIGINT.
func StopSignals() <-chan os.Signal {
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	return c
}

// ReloadSignals returns a channel that receives SIGHUP.
func ReloadSignals() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Intervals of the tick on which a state machine checks its deadlines and timers.
// An idle process ticks less often: a tick every 10 ms takes 1.2% of a core, and the
// budget for all control work is 1.4%.
const (
	BusyTickInterval = 10 * time.Millisecond
	IdleTickInterval = 100 * time.Millisecond
)

// TickTimer schedules the next tick of an actor. Only that actor may use it.
type TickTimer struct {
	message any
	timer   *time.Timer
	// dueAt is when the next tick is due.
	dueAt time.Time
}

// NewTickTimer returns a TickTimer that sends message as the tick.
func NewTickTimer(message any) *TickTimer { return &TickTimer{message: message} }

// ScheduleWithin makes the next tick come within d of now: it schedules a tick
// after d unless one is due earlier.
func (p *TickTimer) ScheduleWithin(ctx actor.Context, now time.Time, d time.Duration) {
	due := now.Add(d)
	if now.Before(p.dueAt) && !p.dueAt.After(due) {
		return
	}
	p.dueAt = due
	if p.timer != nil {
		p.timer.Reset(d)
		return
	}
	root, self, message := ctx.ActorSystem().Root, ctx.Self(), p.message
	p.timer = time.AfterFunc(d, func() { root.Send(self, message) })
}

// Stop cancels the scheduled tick.
func (p *TickTimer) Stop() {
	if p.timer != nil {
		p.timer.Stop()
	}
}
