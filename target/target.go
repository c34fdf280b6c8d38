// Package target is the library of the target process, which runs beside one
// model engine or plain service and is the only way into it.
//
// The supervisor tree has two children under the root: core, which owns all
// state, and sessions, which has one child for each connected entry. A failed
// session is stopped; a failed core ends the process, because its idempotency
// records cannot be rebuilt and a new process is known to have lost them.
package target

import (
	"context"
	"math/rand"
	"net"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/internal/decide/scheduler"
	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/platform"
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
	// idlePoll is how often a planned stop looks whether work is left.
	idlePoll = 20 * time.Millisecond
	// flushTime lets the last frames leave before the sockets close.
	flushTime = 200 * time.Millisecond
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
	view     atomic.Pointer[scheduler.Status]
	failed   chan error
}

// New returns a target process that is not yet started.
func New(s Settings) *Target {
	t := &Target{
		settings: s, metrics: telemetry.NewMetrics(), log: telemetry.For("target"),
		failed: make(chan error, 1),
	}
	t.view.Store(&scheduler.Status{State: wire.StateStarting})
	return t
}

// Provision takes the listen addresses. It fails with AddressInUse when
// another process holds one.
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

// Start builds the supervisor tree and begins to serve.
func (t *Target) Start() {
	t.started = time.Now()
	t.system = runtime.NewSystem()
	d := &driver.Driver{BaseModel: t.baseModel, Incarnation: t.started.UnixNano()}
	if t.settings.Kind == KindEngine {
		d.Engine = platform.NewEngine(t.settings.Backend)
	} else {
		d.Service = platform.NewService(t.settings.Backend)
	}
	s := scheduler.New(t.started, t.schedulerConfig(), t.metrics)
	root := t.system.Root.WithGuardian(runtime.FailProcess(t.fail))
	t.core = root.Spawn(core.Props(s, d, func(v scheduler.Status) { t.view.Store(&v) }, t.stepDown))
	d.Bind(t.system, t.core)
	t.sessions = root.Spawn(session.Props(t.core, t.hello, session.IdleTimeout))
	go session.Accept(t.system, t.sessions, t.listener)
	t.admin.Serve()
	t.log.With("name", t.settings.Name).With("listen", t.listener.Addr()).Info("target process started")
}

func (t *Target) schedulerConfig() scheduler.Config {
	c := scheduler.Config{
		Name: t.settings.Name, FailureDomain: t.settings.FailureDomain,
		HomeGrace: time.Duration(t.settings.HomeGraceMS) * time.Millisecond,
		Rand:      rand.New(rand.NewSource(t.started.UnixNano())),
	}
	if t.settings.SlotPolicy == "lru" {
		c.SlotPolicy = slots.LRU
	}
	c.FIFO = t.settings.QueuePolicy == "fifo"
	return c
}

func (t *Target) fail(reason any) {
	t.end(result.Newf(result.Internal, "the core failed: %v", reason))
}

// stepDown finishes what runs and ends the process, because another process
// has taken over the engine.
func (t *Target) stepDown() {
	go func() {
		t.Shutdown(context.Background())
		t.end(result.New(result.AuthorityLost, "another process has taken over the engine"))
	}()
}

func (t *Target) end(err error) {
	select {
	case t.failed <- err:
	default:
	}
}

// Failed receives an error when the process must end.
func (t *Target) Failed() <-chan error { return t.failed }

// Address returns the address for entries.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Metrics returns the metrics of the process.
func (t *Target) Metrics() *telemetry.Metrics { return t.metrics }

func (t *Target) baseModel() string { return t.view.Load().BaseModel }

func (t *Target) hello() wire.Hello {
	view := t.view.Load()
	return wire.Hello{
		Process: t.settings.Name, Role: wire.RoleTarget, Incarnation: t.started.UnixNano(),
		Revision: view.Revision, FailureDomain: t.settings.FailureDomain, State: view.State,
	}
}

func (t *Target) ready() bool {
	view := t.view.Load()
	return view.State == wire.StateServing && view.Revision > 0 && view.Authority
}

func (t *Target) status() any {
	return struct {
		Name          string `json:"name"`
		Role          string `json:"role"`
		FailureDomain string `json:"failure_domain"`
		Ready         bool   `json:"ready"`
		scheduler.Status
		Refused map[string]int64 `json:"refused"`
	}{t.settings.Name, "target", t.settings.FailureDomain, t.ready(), *t.view.Load(), t.metrics.Refusals()}
}

// Shutdown takes no new work, waits until everything accepted is finished and
// ends the process's tree.
func (t *Target) Shutdown(ctx context.Context) {
	t.log.Info("planned stop begins")
	ctx, cancel := context.WithTimeout(ctx, t.settings.drainLimit())
	defer cancel()
	t.system.Root.Send(t.core, &core.Leave{})
	for !t.idle() && ctx.Err() == nil {
		time.Sleep(idlePoll)
	}
	time.Sleep(flushTime)
	t.Close()
	t.log.Info("planned stop ends")
}

func (t *Target) idle() bool {
	reply, err := t.system.Root.RequestFuture(t.core, &core.GetIdle{}, time.Second).Result()
	idle, ok := reply.(bool)
	return err == nil && ok && idle
}

// Close ends the process's tree at once.
func (t *Target) Close() {
	_ = t.listener.Close()
	t.admin.Close()
	_ = t.system.Root.StopFuture(t.sessions).Wait()
	_ = t.system.Root.StopFuture(t.core).Wait()
	t.system.Shutdown()
}
