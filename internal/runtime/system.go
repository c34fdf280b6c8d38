// Package runtime holds what the actor trees of the programs share: the actor
// system with its logs, the supervision strategies and the signal handling.
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

// NewSystem returns an actor system that logs through the project's logs.
func NewSystem() *actor.ActorSystem {
	logger := slog.New(telemetry.For("actor").SlogHandler())
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return logger }))
}

const (
	maxRestarts   = 10
	restartWindow = 10 * time.Second
)

// RestartChildren restarts a failed child that keeps no state of its own. A
// child that fails too often is stopped.
func RestartChildren() actor.SupervisorStrategy {
	return actor.NewOneForOneStrategy(maxRestarts, restartWindow, func(reason any) actor.Directive {
		telemetry.For("supervisor").With("reason", reason).Warn("restarting a failed actor")
		return actor.RestartDirective
	})
}

// StopChildren stops a failed child, for example the session of one peer.
func StopChildren() actor.SupervisorStrategy {
	return actor.NewOneForOneStrategy(0, 0, func(reason any) actor.Directive {
		telemetry.For("supervisor").With("reason", reason).Warn("stopping a failed actor")
		return actor.StopDirective
	})
}

// FailProcess ends the process when a child fails whose state cannot be
// rebuilt inside it, such as idempotency records. A new process is known to
// have lost them; a restarted actor would not be.
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

// Intervals of the tick that drives what depends on time. An idle process
// ticks slowly because a tick every 10 ms took 1.2% of a core, against a
// budget of 1.4% for all control work.
const (
	BusyTick = 10 * time.Millisecond
	IdleTick = 100 * time.Millisecond
)

// Pacer sends an actor its next tick. It is used by the actor only.
type Pacer struct {
	message any
	timer   *time.Timer
	due     time.Time
}

// NewPacer returns a pacer that sends message as the tick.
func NewPacer(message any) *Pacer { return &Pacer{message: message} }

// Within makes sure that a tick comes within d.
func (p *Pacer) Within(ctx actor.Context, now time.Time, d time.Duration) {
	due := now.Add(d)
	if now.Before(p.due) && !p.due.After(due) {
		return
	}
	p.due = due
	if p.timer != nil {
		p.timer.Reset(d)
		return
	}
	root, self, message := ctx.ActorSystem().Root, ctx.Self(), p.message
	p.timer = time.AfterFunc(d, func() { root.Send(self, message) })
}

// Stop ends the ticks.
func (p *Pacer) Stop() {
	if p.timer != nil {
		p.timer.Stop()
	}
}
