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

// Ticker sends a message to an actor at an interval until stop is closed.
func Ticker(system *actor.ActorSystem, pid *actor.PID, interval time.Duration, message any, stop <-chan struct{}) {
	ticker := time.NewTicker(interval)
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				system.Root.Send(pid, message)
			case <-stop:
				return
			}
		}
	}()
}
