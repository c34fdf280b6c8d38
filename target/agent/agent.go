// Package agent implements the target process that runs beside one model engine
// on the users' platform. It admits requests to the engine and alone orders it
// to load and unload adapters; entries send the requests to the engine directly.
// The command `agate-target platform` runs it; without the subcommand agate-target
// runs package target, through which the requests go.
//
// The supervisor tree has two children under the root: core, which owns all
// state, and sessions, which has one child for each connected entry. A failed
// session is stopped. A failed core ends the process, and the next process
// rebuilds the state from the engine and the entries.
package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/internal/decide/engineagent"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/runtime"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
	"agatelanding.example/agatelanding/platform"
	"agatelanding.example/agatelanding/target/session"
)

const (
	// sessionIdleTimeout ends the session of an entry that sends nothing.
	// Entries ping every second.
	sessionIdleTimeout = 3500 * time.Millisecond
	// flushDelay leaves time to send the last frames before the sockets are
	// closed.
	flushDelay = 50 * time.Millisecond
)

// Agent is one target process. It implements daemon.Process.
type Agent struct {
	settings     platform.Settings
	address      string
	metrics      *telemetry.Metrics
	log          *telemetry.Logger
	started      time.Time
	listener     net.Listener
	system       *actor.ActorSystem
	core         *actor.PID
	sessions     *actor.PID
	admin        *telemetry.Admin
	shutdownOnce sync.Once
	failed       chan error
}

// New returns a target process that is not yet started.
func New(s platform.Settings) *Agent {
	return &Agent{
		settings: s, address: s.InternalAddress(s.IP), metrics: telemetry.NewMetrics(), log: telemetry.For("agent"),
		started: time.Now(), failed: make(chan error, 1),
	}
}

// Provision binds the listen address.
func (a *Agent) Provision() error {
	if a.settings.Target == "" {
		return result.New(result.SettingInvalid, "a target process needs the address of its engine")
	}
	listener, err := net.Listen("tcp", a.address)
	if err != nil {
		return result.Wrap(result.AddressInUse, err)
	}
	a.listener = listener
	return nil
}

// Start begins to serve.
func (a *Agent) Start() {
	a.system = runtime.NewSystem()
	root := a.system.Root.WithGuardian(runtime.FailProcess(a.onCoreFailure))
	stateMachine := engineagent.New(a.started, a.metrics)
	engine := platform.NewEngine(a.settings.Target, a.settings.Name)
	a.core = root.Spawn(coreProps(stateMachine, engine, a.settings.FailureDomain))
	a.sessions = root.Spawn(session.Props(a.core, a.hello, sessionIdleTimeout))
	a.admin = telemetry.ServeMetrics(a.settings.MetricsAddress(), func() bool { return true }, a.status, a.metrics)
	go session.Accept(a.system, a.sessions, a.listener)
	a.log.With("name", a.settings.Name).With("engine", a.settings.Target).With("listen", a.address).Info("target process started")
}

// hello returns the message that opens each session with an entry.
func (a *Agent) hello() wire.Hello {
	return wire.Hello{
		Process: a.address, Role: wire.RoleTarget, Incarnation: a.started.UnixNano(),
		FailureDomain: a.settings.FailureDomain, State: wire.StateServing, Remembers: true,
	}
}

// status returns the status that the metrics address serves to operators.
func (a *Agent) status() any {
	reply, err := a.system.Root.RequestFuture(a.core, &getStatus{}, time.Second).Result()
	if err != nil {
		return map[string]string{"error": err.Error()}
	}
	return reply
}

func (a *Agent) onCoreFailure(reason any) {
	select {
	case a.failed <- result.Newf(result.Internal, "the core failed: %v", reason):
	default:
	}
}

// Failed implements daemon.Process.
func (a *Agent) Failed() <-chan error { return a.failed }

// Shutdown announces the stop to the entries and ends the process. The entries
// go on with the requests that run at the engine.
func (a *Agent) Shutdown(context.Context) { a.shutdownOnce.Do(a.shutdown) }

func (a *Agent) shutdown() {
	a.log.Info("planned stop begins")
	a.system.Root.Send(a.core, &beginStop{})
	time.Sleep(flushDelay)
	_ = a.listener.Close()
	a.admin.Close()
	_ = a.system.Root.StopFuture(a.sessions).Wait()
	_ = a.system.Root.StopFuture(a.core).Wait()
	a.system.Shutdown()
	a.log.Info("planned stop ends")
}
