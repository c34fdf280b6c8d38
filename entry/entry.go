// Package entry implements the entry process, which receives callers' requests and
// forwards them to targets. The command agate-entry runs it; `agate-entry platform`
// runs package edge, the entry process on the users' platform.
//
// The root of the supervisor tree has one child, the router, and the router has
// one session for each target process. A failed session is restarted and
// connects again. A failed router ends the process, so that callers get a broken
// connection instead of waiting for a response that never comes.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/entry/front"
	"agatelanding.example/agatelanding/entry/router"
	"agatelanding.example/agatelanding/entry/session"
	"agatelanding.example/agatelanding/entry/watcher"
	"agatelanding.example/agatelanding/internal/clients"
	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/decide/picker"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/runtime"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/trust"
	"agatelanding.example/agatelanding/internal/wire"
)

// Entry is one entry process.
type Entry struct {
	settings Settings
	metrics  *telemetry.Metrics
	log      *telemetry.Logger

	keys           *trust.Keys
	callerListener net.Listener
	peerListener   net.Listener
	admin          *telemetry.Admin
	system         *actor.ActorSystem
	router         *actor.PID
	front          *front.Front
	server         *http.Server
	watcher        *watcher.Watcher
	snapshot       atomic.Pointer[tables.Snapshot]
	// stopping is set when a planned stop begins and fails readiness.
	stopping atomic.Bool
	started  time.Time
	cancel   context.CancelFunc
	failed   chan error
}

// New returns an entry process that is not started yet.
func New(s Settings) *Entry {
	return &Entry{
		settings: s, metrics: telemetry.NewMetrics(), log: telemetry.For("entry"),
		started: time.Now(), failed: make(chan error, 1),
	}
}

// Provision loads the TLS keys and opens the listeners. It fails with AddressInUse
// when another process holds an address.
func (e *Entry) Provision() error {
	var err error
	if e.keys, err = trust.Load(e.settings.TLS); err != nil {
		return err
	}
	var adminListener net.Listener
	for _, l := range []struct {
		address string
		dest    *net.Listener
	}{{e.settings.Listen, &e.callerListener}, {e.settings.PeerListen, &e.peerListener}, {e.settings.AdminListen, &adminListener}} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			e.closeListeners()
			return result.Wrap(result.AddressInUse, err)
		}
		*l.dest = listener
	}
	e.peerListener = e.keys.Listener(e.peerListener)
	e.admin = &telemetry.Admin{Ready: e.ready, Status: e.status, Metrics: e.metrics, Listener: adminListener}
	return nil
}

func (e *Entry) closeListeners() {
	for _, l := range []net.Listener{e.callerListener, e.peerListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Start starts the supervisor tree, begins to serve and returns.
func (e *Entry) Start() {
	e.system = runtime.NewSystem()
	root := e.system.Root.WithGuardian(runtime.FailProcess(e.fail))
	e.watcher = e.newWatcher()
	e.watcher.Provision()
	d := dispatch.New(e.dispatchConfig(), e.metrics)
	e.router = root.Spawn(router.Props(d, session.Options{Hello: e.hello, Keys: e.keys}, e.watcher.Refresh))

	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go e.watcher.Run(ctx)
	peerServer := &watcher.PeerServer{Hello: e.hello, Snapshot: e.snapshot.Load}
	go peerServer.Serve(e.peerListener)

	e.front = &front.Front{
		Snapshot: e.snapshot.Load, MaxBodyBytes: e.settings.MaxBodyBytes, MaxOpenRequests: e.settings.MaxOpen,
		WriteTimeout: front.DefaultWriteTimeout,
		System:       e.system, Router: e.router, Metrics: e.metrics,
	}
	e.server = e.front.Server()
	go func() { _ = e.server.Serve(e.callerListener) }()
	e.admin.Serve()
	e.log.With("name", e.settings.Name).With("listen", e.callerListener.Addr()).Info("entry started")
}

func (e *Entry) dispatchConfig() dispatch.Config {
	c := dispatch.Config{
		Entry: e.settings.Name, Incarnation: e.started.UnixNano(), Retry: retry.DefaultConfig(), Seed: e.started.UnixNano(),
	}
	if e.settings.PickPolicy == "random" {
		c.PickStrategy = picker.Random
	}
	c.Retry.Unlimited = e.settings.RetryPolicy == "unlimited"
	return c
}

func (e *Entry) newWatcher() *watcher.Watcher {
	return &watcher.Watcher{
		Name: e.settings.Name, Config: clients.NewConfigClient(e.settings.ConfigService), VMs: clients.NewVMList(e.settings.VMList),
		Peers: watcher.PeerClient{Hello: e.hello, Keys: e.keys}, Metrics: e.metrics, Publish: e.publish,
		SetLeaving: func(leaving map[string]bool) {
			e.system.Root.Send(e.router, &router.SetLeavingTargets{Leaving: leaving})
		},
	}
}

// publish puts a snapshot in force for new requests.
func (e *Entry) publish(s *tables.Snapshot) {
	e.snapshot.Store(s)
	e.system.Root.Send(e.router, &router.SetSnapshot{Snapshot: s})
}

// fail reports the failure of the router through Failed. Only the first failure is
// reported, because it ends the process.
func (e *Entry) fail(reason any) {
	select {
	case e.failed <- result.Newf(result.Internal, "the router failed: %v", reason):
	default:
	}
}

// Failed implements daemon.Process.
func (e *Entry) Failed() <-chan error { return e.failed }

// Address returns the address at which the entry accepts callers.
func (e *Entry) Address() string { return e.callerListener.Addr().String() }

// Metrics returns the metrics of the process.
func (e *Entry) Metrics() *telemetry.Metrics { return e.metrics }

// revision returns the revision of the snapshot in force, 0 if there is none.
func (e *Entry) revision() uint64 {
	if s := e.snapshot.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// hello returns the message with which this entry opens a session.
func (e *Entry) hello() wire.Hello {
	state := wire.StateServing
	if e.stopping.Load() {
		state = wire.StateLeaving
	}
	return wire.Hello{
		Process: e.settings.Name, Role: wire.RoleEntry, Incarnation: e.started.UnixNano(),
		Revision: e.revision(), FailureDomain: e.settings.FailureDomain, State: state,
	}
}

// ready reports whether readiness probes succeed.
func (e *Entry) ready() bool { return !e.stopping.Load() && e.revision() > 0 }

// status returns the status that the admin address shows to operators.
func (e *Entry) status() any {
	return struct {
		Name          string `json:"name"`
		Role          string `json:"role"`
		FailureDomain string `json:"failure_domain"`
		Revision      uint64 `json:"revision"`
		Ready         bool   `json:"ready"`
		router.Status
		Refused map[string]int64 `json:"refused"`
	}{e.settings.Name, "entry", e.settings.FailureDomain, e.revision(), e.ready(), e.routerStatus(), e.metrics.Refusals()}
}

// routerStatus asks the router for its status. It returns the zero Status if the
// router does not reply in time.
func (e *Entry) routerStatus() router.Status {
	reply, err := e.system.Root.RequestFuture(e.router, &router.StatusRequest{}, time.Second).Result()
	status, ok := reply.(router.Status)
	if err != nil || !ok {
		return router.Status{}
	}
	return status
}

// Shutdown fails readiness, waits DrainDelayMS for the load balancer to notice and
// then accepts no new connections from callers. It closes the process when no
// request is open, or after DrainLimitMS.
func (e *Entry) Shutdown(ctx context.Context) {
	e.log.Info("planned stop begins")
	e.stopping.Store(true)
	time.Sleep(millis(e.settings.DrainDelayMS))
	ctx, cancel := context.WithTimeout(ctx, millis(e.settings.DrainLimitMS))
	defer cancel()
	_ = e.server.Shutdown(ctx)
	e.Close()
	e.log.Info("planned stop ends")
}

// Close closes connections and listeners and stops the actors at once.
func (e *Entry) Close() {
	e.cancel()
	_ = e.server.Close()
	e.closeListeners()
	e.admin.Close()
	_ = e.system.Root.StopFuture(e.router).Wait()
	e.system.Shutdown()
}
