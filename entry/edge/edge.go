// Package edge is the entry on the users' platform: it takes callers' requests
// as the platform speaks them and carries them to replicas.
//
// The supervisor tree has the broker under the root, with one session under it
// for each process beside an engine. A failed session is restarted and
// connects again; a failed broker ends the process.
package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/entry/broker"
	"agatelanding.example/agatelanding/entry/peers"
	"agatelanding.example/agatelanding/entry/session"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/decide/steering"
	"agatelanding.example/agatelanding/internal/relay"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/runtime"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/upstream"
	"agatelanding.example/agatelanding/internal/wire"
	"agatelanding.example/agatelanding/platform"
)

const (
	// balancerNotice is how long after a stop signal new connections may
	// still arrive: the balancer asks once a second and acts on two misses.
	balancerNotice = 2500 * time.Millisecond
	// killMargin is the time before the kill at which open answers are cut.
	killMargin = 400 * time.Millisecond
	// idlePoll is how often a planned stop looks whether work is left.
	idlePoll = 20 * time.Millisecond
	// configWait is how long the callers' address waits for the limits of
	// the first configuration.
	configWait = 1500 * time.Millisecond
	// Limits before the first configuration.
	firstHeaderBytes   = 16 << 10
	firstHeaderTimeout = 3 * time.Second
	firstIdleTimeout   = 60 * time.Second
)

// Edge is one entry process. It implements daemon.Process.
type Edge struct {
	settings platform.Settings
	metrics  *telemetry.Metrics
	log      *telemetry.Logger
	started  time.Time

	callers net.Listener
	ready   net.Listener
	admin   *telemetry.Admin
	control net.Listener
	system  *actor.ActorSystem
	broker  *broker.Broker
	mesh    *peers.Mesh
	keeper  *keeper
	budget  *retry.Window
	server  atomic.Pointer[http.Server]
	view    atomic.Pointer[catalog.View]
	first   chan struct{}
	open    atomic.Int64
	// stopping fails readiness, leaving refuses new requests.
	stopping atomic.Bool
	leaving  atomic.Bool
	// grace is the time between the stop signal and the kill.
	grace   atomic.Int64
	cancel  context.CancelFunc
	closing sync.Once
	failed  chan error
}

// New returns an entry that is not yet started.
func New(s platform.Settings) *Edge {
	e := &Edge{
		settings: s, metrics: telemetry.NewMetrics(), log: telemetry.For("entry"), started: time.Now(),
		first: make(chan struct{}), failed: make(chan error, 1),
	}
	e.grace.Store(int64(s.Bounds.Grace))
	return e
}

// Provision takes the listen addresses.
func (e *Edge) Provision() error {
	if e.settings.Listen == "" || e.settings.Ready == "" || e.settings.Store == "" {
		return result.New(result.SettingInvalid, "an entry needs addresses for callers, readiness and the store")
	}
	for _, l := range []struct {
		address string
		into    *net.Listener
	}{{e.settings.Listen, &e.callers}, {e.settings.Ready, &e.ready}, {e.settings.Peers, &e.control}} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return result.Wrap(result.AddressInUse, err)
		}
		*l.into = listener
	}
	return nil
}

// Start begins to serve.
func (e *Edge) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.system = runtime.NewSystem()
	b := e.settings.Bounds
	e.budget = retry.NewWindow(b.RetryRatio, b.RetrySlack, b.RetryWindow)
	e.startBroker()
	e.keeper = newKeeper(platform.NewStore(e.settings.Store), b, e.metrics)
	e.mesh = &peers.Mesh{
		Address: e.settings.Peers, Seeds: e.settings.Seeds, Hello: e.hello, Changes: e.keeper.since, Receive: e.keeper.receive,
		Log: telemetry.For("peers"),
	}
	e.keeper.publish, e.keeper.ask = e.publish, e.mesh.Ask
	go e.keeper.run(ctx)
	go e.keeper.follow(ctx)
	go e.mesh.Run(ctx, e.control)
	go e.serveReady()
	e.admin = telemetry.ServeMetrics(e.settings.MetricsAddress(), e.takesWork, e.status, e.metrics)
	go e.serveCallers(ctx)
	e.log.With("name", e.settings.Name).With("failure_domain", e.settings.FailureDomain).With("listen", e.settings.Listen).Info("entry started")
}

func (e *Edge) startBroker() {
	root := e.system.Root.WithGuardian(runtime.FailProcess(e.fail))
	s := steering.New(steering.Config{
		Entry: e.settings.Name, Incarnation: e.started.UnixNano(), FailureDomain: e.settings.FailureDomain,
	}, e.metrics)
	local := session.Local{Hello: e.hello, PingInterval: broker.PingInterval}
	e.broker = broker.Start(root, s, local, fmt.Sprint(e.settings.InternalPorts[0]))
}

func (e *Edge) fail(reason any) {
	select {
	case e.failed <- result.Newf(result.Internal, "the broker failed: %v", reason):
	default:
	}
}

// Reconfigure implements daemon.Reconfigurable. Addresses stay as they are until
// the next start.
func (e *Edge) Reconfigure(s platform.Settings) {
	b := s.Bounds
	e.budget.SetBounds(b.RetryRatio, b.RetrySlack)
	e.keeper.bounds.Store(&b)
	e.grace.Store(int64(b.Grace))
	e.mesh.Learn(s.Seeds)
	e.log.With("seeds", len(s.Seeds)).Info("settings in force")
}

// Failed implements daemon.Process.
func (e *Edge) Failed() <-chan error { return e.failed }

func (e *Edge) hello() wire.Hello {
	h := wire.Hello{
		Process: e.settings.Name, Role: wire.RoleEntry, Incarnation: e.started.UnixNano(),
		FailureDomain: e.settings.FailureDomain, State: wire.StateServing,
	}
	if v := e.view.Load(); v != nil && v.Config != nil {
		h.Revision = uint64(v.Config.Version)
	}
	return h
}

// publish puts a view in force. It is called by the keeper only.
func (e *Edge) publish(v *catalog.View) {
	before := e.view.Swap(v)
	if v.Config != nil && (before == nil || before.Config == nil) {
		close(e.first)
	}
	e.budget.SetEntries(e.mesh.Entries())
	e.broker.SetView(v)
}

func (e *Edge) configured() bool {
	v := e.view.Load()
	return v != nil && v.Config != nil
}

func (e *Edge) takesWork() bool { return !e.stopping.Load() && e.configured() }

// status is what the metrics address shows to operators.
func (e *Edge) status() any {
	s := struct {
		Name          string           `json:"name"`
		FailureDomain string           `json:"failure_domain"`
		Version       int64            `json:"configuration_version"`
		Targets       int              `json:"targets"`
		Entries       int              `json:"entries"`
		Open          int64            `json:"open"`
		StoreCurrent  bool             `json:"store_current"`
		Refused       map[string]int64 `json:"refused"`
	}{
		Name: e.settings.Name, FailureDomain: e.settings.FailureDomain, Entries: e.mesh.Entries(), Open: e.open.Load(),
		StoreCurrent: e.keeper.current(), Refused: e.metrics.Refusals(),
	}
	if v := e.view.Load(); v != nil && v.Config != nil {
		s.Version, s.Targets = v.Config.Version, len(v.Targets)
	}
	return s
}

// serveReady answers the balancer.
func (e *Edge) serveReady() {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPattern, func(w http.ResponseWriter, _ *http.Request) {
		if !e.takesWork() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: firstHeaderTimeout, IdleTimeout: firstIdleTimeout}
	_ = server.Serve(e.ready)
}

// serveCallers opens the callers' address once the limits are known, or after
// configWait, from when on requests are refused until they are.
func (e *Edge) serveCallers(ctx context.Context) {
	select {
	case <-e.first:
	case <-time.After(configWait):
	case <-ctx.Done():
		return
	}
	server := &http.Server{
		Handler: e.handler(), ReadHeaderTimeout: firstHeaderTimeout, IdleTimeout: firstIdleTimeout, MaxHeaderBytes: firstHeaderBytes,
	}
	if v := e.view.Load(); v != nil && v.Config != nil {
		limits := v.Config.Limits
		if limits.IdleTimeout > 0 {
			server.IdleTimeout = limits.IdleTimeout
		}
		if limits.HeaderTimeout > 0 {
			server.ReadHeaderTimeout = limits.HeaderTimeout
		}
		if limits.MaxHeaderBytes > 0 {
			server.MaxHeaderBytes = limits.MaxHeaderBytes
		}
	}
	e.server.Store(server)
	_ = server.Serve(e.callers)
}

func (e *Edge) handler() http.Handler {
	h := &relay.Handler{
		View: e.view.Load, Dialect: platform.Dialect{}, Broker: e.broker, Targets: upstream.NewPool(e.metrics),
		Budget: e.budget, Metrics: e.metrics, Log: telemetry.For("relay"), Entry: e.settings.Name, Current: e.keeper.current, Leaving: e.leaving.Load,
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.open.Add(1)
		defer e.open.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// Shutdown fails readiness, gives the balancer time to notice, answers every
// open request and ends.
func (e *Edge) Shutdown(ctx context.Context) {
	begun := time.Now()
	e.log.With("open", e.open.Load()).Info("planned stop begins")
	e.stopping.Store(true)
	if server := e.server.Load(); server != nil {
		server.SetKeepAlivesEnabled(false)
	}
	pause(ctx, balancerNotice)
	e.leaving.Store(true)
	end := begun.Add(time.Duration(e.grace.Load()) - killMargin)
	for e.open.Load() > 0 && time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(idlePoll)
	}
	e.log.With("open", e.open.Load()).Info("planned stop ends")
	e.Close()
}

// Close ends the process's parts at once.
func (e *Edge) Close() { e.closing.Do(e.close) }

func (e *Edge) close() {
	e.cancel()
	if server := e.server.Load(); server != nil {
		_ = server.Close()
	}
	for _, l := range []net.Listener{e.callers, e.ready, e.control} {
		if l != nil {
			_ = l.Close()
		}
	}
	e.admin.Close()
	e.broker.Stop()
	e.system.Shutdown()
}
