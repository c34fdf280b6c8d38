// Package target implements the target process, which runs beside one model
// engine or plain service. All requests to that engine or service go through
// it. The command agate-target runs it; `agate-target platform` runs package agent,
// the target process on the users' platform.
//
// The supervisor tree has two children under the root: core, which owns all
// state, and sessions, which has one child for each connected entry. A failed
// session is stopped. A failed core ends the process, because its idempotency
// records cannot be rebuilt. A new process treats keys from before its start as
// possibly executed; a restarted core would not.
package target

import (
	"context"
	"math/rand"
	"net"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/internal/clients"
	"agatelanding.example/agatelanding/internal/decide/scheduler"
	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/runtime"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/trust"
	"agatelanding.example/agatelanding/internal/wire"
	"agatelanding.example/agatelanding/target/core"
	"agatelanding.example/agatelanding/target/driver"
	"agatelanding.example/agatelanding/target/session"
)

const (
	// idlePollInterval is the time between two checks for unfinished requests
	// during a planned stop.
	idlePollInterval = 20 * time.Millisecond
	// flushDelay leaves time to send the last frames before the sockets are
	// closed.
	flushDelay = 200 * time.Millisecond
)

// Target is one target process.
type Target struct {
	settings Settings
	metrics  *telemetry.Metrics
	log      *telemetry.Logger

	listener net.Listener
	admin    *telemetry.Admin
	system   *actor.ActorSystem
	core     *actor.PID
	sessions *actor.PID
	started  time.Time
	// lastStatus is the status that the core published last.
	lastStatus atomic.Pointer[scheduler.Status]
	failed     chan error
}

// New returns a target process that is not yet started.
func New(s Settings) *Target {
	t := &Target{
		settings: s, metrics: telemetry.NewMetrics(), log: telemetry.For("target"),
		failed: make(chan error, 1),
	}
	t.lastStatus.Store(&scheduler.Status{State: wire.StateStarting})
	return t
}

// Provision binds the listen addresses. It fails with AddressInUse if one of
// them cannot be bound.
func (t *Target) Provision() error {
	keys, err := trust.Load(t.settings.TLS)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", t.settings.Listen)
	if err != nil {
		return result.Wrap(result.AddressInUse, err)
	}
	t.listener = keys.Listener(listener)
	adminListener, err := net.Listen("tcp", t.settings.AdminListen)
	if err != nil {
		_ = t.listener.Close()
		return result.Wrap(result.AddressInUse, err)
	}
	t.admin = &telemetry.Admin{Ready: t.ready, Status: t.status, Metrics: t.metrics, Listener: adminListener}
	return nil
}

// Start creates the supervisor tree and begins to serve.
func (t *Target) Start() {
	t.started = time.Now()
	t.system = runtime.NewSystem()
	d := &driver.Driver{BaseModel: t.baseModel, Incarnation: t.started.UnixNano()}
	if t.settings.Kind == KindEngine {
		d.Engine = clients.NewEngine(t.settings.Backend)
	} else {
		d.Service = clients.NewService(t.settings.Backend)
	}
	s := scheduler.New(t.started, t.schedulerConfig(), t.metrics)
	root := t.system.Root.WithGuardian(runtime.FailProcess(t.onCoreFailure))
	t.core = root.Spawn(core.Props(s, d, func(status scheduler.Status) { t.lastStatus.Store(&status) }, t.stepDown))
	d.Bind(t.system, t.core)
	t.sessions = root.Spawn(session.Props(t.core, t.hello, session.IdleTimeout))
	go session.Accept(t.system, t.sessions, t.listener)
	t.admin.Serve()
	t.log.With("name", t.settings.Name).With("listen", t.listener.Addr()).Info("target process started")
}

func (t *Target) schedulerConfig() scheduler.Config {
	c := scheduler.Config{
		Name: t.settings.Name, FailureDomain: t.settings.FailureDomain,
		HomeGracePeriod: time.Duration(t.settings.HomeGraceMS) * time.Millisecond,
		Rand:            rand.New(rand.NewSource(t.started.UnixNano())),
	}
	if t.settings.SlotPolicy == "lru" {
		c.SlotPolicy = slots.LRU
	}
	c.FIFO = t.settings.QueuePolicy == "fifo"
	return c
}

func (t *Target) onCoreFailure(reason any) {
	t.reportFailure(result.Newf(result.Internal, "the core failed: %v", reason))
}

// stepDown finishes accepted requests and ends the process. The core calls it
// when another process has taken over the engine.
func (t *Target) stepDown() {
	go func() {
		t.Shutdown(context.Background())
		t.reportFailure(result.New(result.AuthorityLost, "another process has taken over the engine"))
	}()
}

// reportFailure makes Failed deliver err unless it already has an error.
func (t *Target) reportFailure(err error) {
	select {
	case t.failed <- err:
	default:
	}
}

// Failed returns a channel that receives an error when the process must end.
func (t *Target) Failed() <-chan error { return t.failed }

// Address returns the address for entries.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Metrics returns the metrics of the process.
func (t *Target) Metrics() *telemetry.Metrics { return t.metrics }

func (t *Target) baseModel() string { return t.lastStatus.Load().BaseModel }

// hello returns the message that opens each session with an entry.
func (t *Target) hello() wire.Hello {
	status := t.lastStatus.Load()
	return wire.Hello{
		Process: t.settings.Name, Role: wire.RoleTarget, Incarnation: t.started.UnixNano(),
		Revision: status.Revision, FailureDomain: t.settings.FailureDomain, State: status.State,
	}
}

// ready reports whether the process accepts requests: it serves, has the
// record of its pool in the pool table and, beside an engine, authority over
// the engine.
func (t *Target) ready() bool {
	status := t.lastStatus.Load()
	return status.State == wire.StateServing && status.Revision > 0 && status.Authority
}

func (t *Target) status() any {
	return struct {
		Name          string `json:"name"`
		Role          string `json:"role"`
		FailureDomain string `json:"failure_domain"`
		Ready         bool   `json:"ready"`
		scheduler.Status
		Refused map[string]int64 `json:"refused"`
	}{t.settings.Name, "target", t.settings.FailureDomain, t.ready(), *t.lastStatus.Load(), t.metrics.Refusals()}
}

// Shutdown is a planned stop: it stops accepting requests, waits for accepted ones
// up to the drain limit and stops all actors.
func (t *Target) Shutdown(ctx context.Context) {
	t.log.Info("planned stop begins")
	ctx, cancel := context.WithTimeout(ctx, t.settings.drainLimit())
	defer cancel()
	t.system.Root.Send(t.core, &core.Leave{})
	for !t.idle() && ctx.Err() == nil {
		time.Sleep(idlePollInterval)
	}
	time.Sleep(flushDelay)
	t.Close()
	t.log.Info("planned stop ends")
}

func (t *Target) idle() bool {
	reply, err := t.system.Root.RequestFuture(t.core, &core.GetIdle{}, time.Second).Result()
	idle, ok := reply.(bool)
	return err == nil && ok && idle
}

// Close closes the listeners and stops all actors at once.
func (t *Target) Close() {
	_ = t.listener.Close()
	t.admin.Close()
	_ = t.system.Root.StopFuture(t.sessions).Wait()
	_ = t.system.Root.StopFuture(t.core).Wait()
	t.system.Shutdown()
}
