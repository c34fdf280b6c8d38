// Package edge implements the entry process on the users' platform: it receives
// callers' requests in the platform's protocol and forwards them to targets. The
// command `agate-entry platform` runs it; without the subcommand agate-entry runs
// package entry, whose configuration comes from a configuration service and a VM
// list instead of the platform's store.
//
// Model engines have a target process beside them, plain services have none.
// The root of the supervisor tree has one child, the broker, and the broker has
// one session for each target process. A failed session is restarted and
// connects again; a failed broker ends the process.
package edge

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/entry/broker"
	"agatelanding.example/agatelanding/entry/containment"
	"agatelanding.example/agatelanding/entry/peers"
	"agatelanding.example/agatelanding/entry/permits"
	"agatelanding.example/agatelanding/entry/quotas"
	"agatelanding.example/agatelanding/entry/session"
	"agatelanding.example/agatelanding/entry/streams"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/quota"
	"agatelanding.example/agatelanding/internal/decide/ratelimit"
	"agatelanding.example/agatelanding/internal/decide/recall"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/decide/serviceshare"
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
	// firstConfigTimeout bounds how long the server for callers waits for the
	// first configuration, which sets its limits.
	firstConfigTimeout = 1500 * time.Millisecond
	// quotaRedialInterval is the time between two attempts to connect to another entry in
	// the first seconds of an entry with quotas.
	quotaRedialInterval = 200 * time.Millisecond
	// shareBindTime is how long after a rejection by a plain service the entry keeps to its
	// share of it.
	shareBindTime = 30 * time.Second
	// minHeldTokens is the length of a held prompt prefix that saves more than predictions of
	// waits are wrong by, which rest on reports of up to 0.5 s.
	minHeldTokens = 1000
	// Limits of the HTTP servers where no configuration sets them.
	defaultMaxHeaderBytes = 16 << 10
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 60 * time.Second
)

// Edge is one entry process. It implements daemon.Process.
type Edge struct {
	settings platform.Settings
	metrics  *telemetry.Metrics
	log      *telemetry.Logger
	started  time.Time

	callerListener net.Listener
	readyListener  net.Listener
	admin          *telemetry.Admin
	peerListener   net.Listener
	system         *actor.ActorSystem
	broker         *broker.Broker
	mesh           *peers.Mesh
	stateWatcher   *stateWatcher
	guard          *containment.Guard
	streams        *streams.Registry
	permits        *permits.Exchange
	quotas         *quotas.Exchange
	leaving        containment.LeavingTargets
	retryBudget    *retry.SharedBudget
	server         atomic.Pointer[http.Server]
	callerConns    *callerConns
	bodies         *relay.Bodies
	shares         memoryShares
	// view is the published state in force: the configuration, the targets and
	// the adapter versions.
	view atomic.Pointer[catalog.View]
	// newestView is the newest view. It is stored before the broker gets the view, so that requests
	// which were granted a target earlier can be checked against it.
	newestView atomic.Pointer[catalog.View]
	// firstConfig is closed once a configuration is in force.
	firstConfig chan struct{}
	// openRequests is the number of callers' requests in progress.
	openRequests atomic.Int64
	// stopping is set when a planned stop begins and fails readiness.
	// refusesRequests is set drainDelay later and makes the entry refuse new
	// requests.
	stopping        atomic.Bool
	refusesRequests atomic.Bool
	// ending is cancelled by endRequests at the end of a planned stop. stopBegan is when the
	// stop began, nil before.
	ending      context.Context
	endRequests context.CancelFunc
	stopBegan   atomic.Pointer[time.Time]
	// gracePeriod is the time between the stop signal and the kill, in
	// nanoseconds.
	gracePeriod atomic.Int64
	cancel      context.CancelFunc
	closeOnce   sync.Once
	failed      chan error
}

// New returns an entry process that is not started yet.
func New(s platform.Settings) *Edge {
	e := &Edge{
		settings: s, metrics: telemetry.NewMetrics(), log: telemetry.For("entry"), started: time.Now(),
		shares: sharesOf(s), firstConfig: make(chan struct{}), failed: make(chan error, 1),
	}
	e.callerConns = newCallerConns(e.shares, e.metrics)
	e.bodies = relay.NewBodies(e.shares.bodies, e.metrics, telemetry.For("bodies"))
	e.callerConns.short = e.bodies.ConnsShort
	e.gracePeriod.Store(int64(s.Bounds.GracePeriod))
	e.ending, e.endRequests = context.WithCancel(context.Background())
	return e
}

// Provision opens the listeners. It fails with AddressInUse when another
// process holds an address.
func (e *Edge) Provision() error {
	if e.settings.Listen == "" || e.settings.ReadyListen == "" || e.settings.Store == "" {
		return result.New(result.SettingInvalid, "an entry needs the addresses for callers, for readiness and of the store")
	}
	for _, l := range []struct {
		address string
		dest    *net.Listener
	}{{e.settings.Listen, &e.callerListener}, {e.settings.ReadyListen, &e.readyListener}, {e.settings.PeerListen, &e.peerListener}} {
		if l.address == "" {
			continue
		}
		listen := listenInternal
		if l.dest == &e.callerListener {
			listen = listenForCallers
		}
		listener, err := listen(l.address)
		if err != nil {
			return result.Wrap(result.AddressInUse, err)
		}
		*l.dest = listener
	}
	return nil
}

// Start begins to serve and returns.
func (e *Edge) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.system = runtime.NewSystem()
	b := e.settings.Bounds
	e.retryBudget = retry.NewSharedBudget(time.Now(), b.RetryRatio, b.RetryAllowance, b.RetryWindow)
	e.stateWatcher = newStateWatcher(platform.NewStore(e.settings.Store).WithinMemory(e.settings.MemoryBytes), b, e.metrics)
	e.stateWatcher.limitMemory(e.shares.items)
	e.mesh = &peers.Mesh{
		Address: e.settings.PeerListen, Seeds: e.settings.Seeds, Hello: e.hello, StateAfter: e.stateWatcher.stateAfter, ReceiveState: e.stateWatcher.receiveFromPeer,
		ViewAge: e.stateWatcher.viewAge, ReceiveViewAge: e.stateWatcher.receiveViewAge,
		Log: telemetry.For("peers"),
	}
	if b.QuotaWindow > 0 {
		// Quotas have no owner until the entries have found each other.
		e.mesh.StartRedialInterval = quotaRedialInterval
	}
	e.guard = containment.New(containment.Config{
		Entry: e.settings.Name, OwnsTrial: containment.TrialOwner(e.settings.PeerListen, e.mesh.ConnectedAddresses, e.mesh.EntryCount),
		Leaving: e.leaving.Has, Replaced: e.isReplaced, Targets: e.listedTargets,
		AskPermit:  func(number uint64, a ratelimit.Ask, reply func(bool, time.Duration)) { e.permits.Ask(number, a, reply) },
		Remember:   func(f recall.Fact) { e.broker.Remember(f, nil) },
		EntryCount: e.mesh.EntryCount,
		Broadcast:  e.mesh.BroadcastEvidence, Metrics: e.metrics, Log: telemetry.For("quarantine"),
	})
	e.mesh.CurrentEvidence, e.mesh.ReceiveEvidence = e.guard.Evidence, e.guard.Receive
	e.streams = streams.New(e.metrics)
	e.permits = &permits.Exchange{
		Address: e.settings.PeerListen, Mesh: e.mesh, Metrics: e.metrics,
		ReceiveRateLimits: func(limits []wire.RateLimit) { e.broker.ReceiveRateLimits(limits) },
	}
	e.permits.Start()
	e.quotas = &quotas.Exchange{Address: e.settings.PeerListen, Mesh: e.mesh, QuotaOf: e.quotaOf, Bounds: quotaBounds(b), Metrics: e.metrics, Log: telemetry.For("quotas")}
	e.quotas.Start()
	e.startBroker()
	e.streams.Holders = e.broker
	e.mesh.ReceiveLimits, e.mesh.ReceiveQuotas = e.permits.Receive, e.quotas.Receive
	e.mesh.ReceiveDemands = e.broker.ReceiveDemands
	e.mesh.CurrentLimits = func() []wire.RateLimit { return e.permits.Limits(e.isListed) }
	e.stateWatcher.publish, e.stateWatcher.queryPeers = e.publish, e.mesh.QueryPeers
	e.streams.Confirm = e.stateWatcher.confirmNow
	e.stateWatcher.addPassing, e.stateWatcher.changesMissed = e.streams.AddPassing, e.streams.ChangesMissed
	e.stateWatcher.addHistory, e.stateWatcher.registrationInterval = e.streams.AddHistory, e.settings.RegistrationInterval
	e.stateWatcher.broadcast, e.stateWatcher.entries = e.mesh.Broadcast, e.mesh.EntryCount
	go e.stateWatcher.run(ctx)
	go e.stateWatcher.followStore(ctx)
	go e.maintainRetryBudget(ctx)
	go e.mesh.Run(ctx, e.peerListener)
	go e.quotas.Run(ctx)
	go e.serveReadiness()
	e.admin = telemetry.ServeMetrics(e.settings.MetricsAddress(), e.ready, e.status, e.metrics)
	go e.serveCallers(ctx)
	e.log.With("name", e.settings.Name).With("failure_domain", e.settings.FailureDomain).With("listen", e.settings.Listen).Info("entry started")
}

// startBroker starts the actor that chooses targets for requests.
func (e *Edge) startBroker() {
	root := e.system.Root.WithGuardian(runtime.FailProcess(e.fail))
	s := steering.New(steering.Config{
		Entry: e.settings.Name, Address: e.settings.PeerListen, Incarnation: e.started.UnixNano(), FailureDomain: e.settings.FailureDomain, Random: rand.Float64,
		ShareBindTime: shareBindTime, MinHeldTokens: minHeldTokens,
	}, e.metrics)
	local := session.Options{Hello: e.hello, PingInterval: broker.PingInterval}
	// Every target process accepts sessions on the first internal port of its VM.
	e.broker = broker.Start(root, s, e.permits, e.mesh, knowledge{e.guard, e.streams, e.slackKeeper()}, local, fmt.Sprint(e.settings.InternalPorts[0]))
}

// fail reports the failure of the broker through Failed. Only the first failure
// is reported, because it ends the process.
func (e *Edge) fail(reason any) {
	select {
	case e.failed <- result.Newf(result.Internal, "the broker failed: %v", reason):
	default:
	}
}

// Reconfigure implements daemon.Reconfigurable. The listen addresses and the
// length of the retry budget's window stay as they are until the next start.
func (e *Edge) Reconfigure(s platform.Settings) {
	b := s.Bounds
	e.retryBudget.SetBounds(b.RetryRatio, b.RetryAllowance)
	e.stateWatcher.bounds.Store(&b)
	e.gracePeriod.Store(int64(b.GracePeriod))
	e.mesh.AddAddresses(s.Seeds)
	e.quotas.SetBounds(quotaBounds(b))
	e.log.With("seeds", len(s.Seeds)).Info("settings in force")
}

// Failed implements daemon.Process.
func (e *Edge) Failed() <-chan error { return e.failed }

// hello returns the message with which this entry opens a session.
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

// publish puts a view in force. Only the goroutine of stateWatcher.run calls it.
func (e *Edge) publish(v *catalog.View) {
	e.newestView.Store(v)
	// The broker gets the view before any request on a route that is new in it.
	e.broker.SetView(v)
	e.streams.SetView(v)
	previous := e.view.Swap(v)
	if v.Config != nil && (previous == nil || previous.Config == nil) {
		close(e.firstConfig)
	}
	for _, t := range v.Targets {
		if t.Draining {
			e.leaving.Add(t)
		}
	}
	e.retryBudget.SetEntries(e.mesh.EntryCount())
}

// noticeRecorder is a Broker that also records the targets that say that they leave.
type noticeRecorder struct {
	*broker.Broker
	leaving *containment.LeavingTargets
}

// Notified implements relay.Broker.
func (r noticeRecorder) Notified(target *catalog.Target, n steering.Notice) {
	if n.Leaving {
		r.leaving.Add(target)
	}
	r.Broker.Notified(target, n)
}

// takesRequests reports whether the newest published state lists an incarnation of a target, and
// neither that nor an answer has said that it leaves.
func (e *Edge) takesRequests(t *catalog.Target) bool {
	listed, ok := e.newestView.Load().Targets[t.ID]
	return ok && listed.StartedAtMS == t.StartedAtMS && listed.Address == t.Address && !listed.Draining && !e.leaving.Has(listed)
}

// isReplaced reports whether the published state has another incarnation at the address of
// a target.
func (e *Edge) isReplaced(t *catalog.Target) bool {
	v := e.view.Load()
	if v == nil {
		return false
	}
	for _, listed := range v.Targets {
		if listed.Address == t.Address && (listed.ID != t.ID || listed.StartedAtMS > t.StartedAtMS) {
			return true
		}
	}
	return false
}

// listedTargets returns the targets that the published state lists in a pool.
func (e *Edge) listedTargets(pool string) []*catalog.Target {
	if v := e.view.Load(); v != nil {
		return v.Pools[pool]
	}
	return nil
}

// isListed reports whether an incarnation of a target is in the published state.
func (e *Edge) isListed(k ratelimit.Key) bool {
	v := e.view.Load()
	if v == nil {
		return false
	}
	t, ok := v.Targets[k.Target]
	return ok && t.StartedAtMS == k.StartedAtMS
}

// configured reports whether a configuration is in force.
func (e *Edge) configured() bool {
	v := e.view.Load()
	return v != nil && v.Config != nil
}

// ready reports whether readiness probes succeed. An entry that may not use the keys which it
// knows leaves callers to the others.
func (e *Edge) ready() bool {
	return !e.stopping.Load() && e.configured() && (!e.view.Load().Config.HasWorkspaces() || e.stateWatcher.keysTrusted())
}

// status returns the status that the metrics address shows to operators.
func (e *Edge) status() any {
	s := struct {
		Name          string `json:"name"`
		FailureDomain string `json:"failure_domain"`
		Version       int64  `json:"configuration_version"`
		// StoredVersion is the version of the newest configuration of the store, 0 if that cannot
		// be read. ConfigLagMS is for how long the store has had a configuration that cannot be read,
		// 0 if it has none, and UnreadableRevision the revision of that configuration.
		StoredVersion      int64  `json:"configuration_stored_version"`
		ConfigLagMS        int64  `json:"configuration_lag_ms"`
		UnreadableRevision uint64 `json:"configuration_unreadable_revision"`
		// ClosedItems are the first items that cannot be used of the configuration in force,
		// and ClosedItemCount is the number of all.
		ClosedItems     []catalog.ClosedItem `json:"closed_items"`
		ClosedItemCount int                  `json:"configuration_items_closed"`
		Era             uint64               `json:"era"`
		StoreRevision   uint64               `json:"store_revision"`
		StateAgeMS      int64                `json:"state_age_ms"`
		Targets         int                  `json:"targets"`
		Ready           int                  `json:"targets_ready"`
		Draining        int                  `json:"targets_draining"`
		Entries         int                  `json:"entries"`
		Open            int64                `json:"open"`
		StoreCurrent    bool                 `json:"store_current"`
		Refused         map[string]int64     `json:"refused"`
		Retried         map[string]int64     `json:"retried"`
		// Quarantined and QuarantinedRequests are the parts of prompts and the whole
		// requests that are kept from targets, and CrashRecords the crashes behind
		// present suspicions.
		Quarantined         []containment.PartStatus `json:"quarantined_parts"`
		QuarantinedRequests []containment.PartStatus `json:"quarantined_requests"`
		CrashRecords        int                      `json:"crash_records"`
		// RateLimits are the targets that name the requests a second which they take.
		RateLimits []steering.RateLimitStatus `json:"rate_limits"`
		// ServiceShares are the shares of this entry of the plain services, and their use.
		ServiceShares []serviceshare.Status `json:"service_shares"`
		// Quotas are the workspaces with the most demand at this entry.
		Quotas []quota.Status `json:"quotas"`
	}{
		Name: e.settings.Name, FailureDomain: e.settings.FailureDomain, Entries: e.mesh.EntryCount(), Open: e.openRequests.Load(),
		StoreCurrent: e.stateWatcher.storeCurrent(), Refused: e.metrics.Refusals(), Retried: e.metrics.Retries(),
		StateAgeMS: e.stateWatcher.age().Milliseconds(), Quotas: e.quotas.Status(), ConfigLagMS: e.stateWatcher.configLag().Milliseconds(),
		StoredVersion: e.stateWatcher.storedVersion.Load(),
	}
	s.Quarantined, s.QuarantinedRequests, s.CrashRecords = e.guard.Status()
	if limits, err := e.broker.RateLimits(); err != nil {
		e.log.With("error", err).Warn("the broker does not report its rate limits")
	} else {
		s.RateLimits = limits
	}
	if shares, err := e.broker.ServiceShares(); err != nil {
		e.log.With("error", err).Warn("the broker does not report its shares of services")
	} else {
		s.ServiceShares = shares
	}
	if v := e.view.Load(); v != nil {
		s.UnreadableRevision = v.UnreadableConfig.Revision
	}
	if v := e.view.Load(); v != nil && v.Config != nil {
		s.ClosedItems, s.ClosedItemCount = v.Config.Closed.List, v.Config.Closed.Count
		s.Version, s.Targets = v.Config.Version, len(v.Targets)
		for _, t := range v.Targets {
			if t.Draining {
				s.Draining++
			} else {
				s.Ready++
			}
		}
	}
	if p := e.stateWatcher.completeCopy.Load(); p != nil {
		s.Era, s.StoreRevision = p.Era, p.Revision
	}
	return s
}

// serveReadiness answers the load balancer's readiness probes.
func (e *Edge) serveReadiness() {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPattern, func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: defaultMaxHeaderBytes}
	_ = server.Serve(e.readyListener)
}

// serveCallers serves callers once the first configuration is in force, with its
// limits. After firstConfigTimeout it serves with the default limits, and
// requests are refused until a configuration is in force.
func (e *Edge) serveCallers(ctx context.Context) {
	select {
	case <-e.firstConfig:
	case <-time.After(firstConfigTimeout):
	case <-ctx.Done():
		return
	}
	server := &http.Server{
		Handler: e.handler(), ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: defaultMaxHeaderBytes,
		ConnState: e.callerConns.stateChanged,
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
	_ = server.Serve(boundedListener{e.callerListener, e.callerConns})
}

// handler returns the handler of callers' requests, which counts those that are
// open.
func (e *Edge) handler() http.Handler {
	h := &relay.Handler{
		View: e.view.Load, Dialect: platform.HeaderCodec{}, Broker: noticeRecorder{e.broker, &e.leaving}, Upstream: upstream.NewPool(e.metrics).WithHeadRoom(e.shares.answerHeads),
		RetryBudget: e.retryBudget, Containment: e.guard, StreamVersions: e.streams, Buffers: relay.NewBufferPool(e.shares.answers, e.metrics), Bodies: e.bodies, Metrics: e.metrics, Log: telemetry.For("relay"), EntryName: e.settings.Name, ConfigCurrent: e.stateWatcher.storeCurrent, ViewAge: e.stateWatcher.viewAge, TakesRequests: e.takesRequests, KeysTrusted: e.stateWatcher.keysTrusted, Quotas: e.quotas, Stopping: e.refusesRequests.Load,
		Ending: e.ending, EndsAt: e.stopEnd,
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.openRequests.Add(1)
		defer e.openRequests.Add(-1)
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Close closes connections and listeners and stops the actors at once.
func (e *Edge) Close() { e.closeOnce.Do(e.close) }

func (e *Edge) close() {
	e.cancel()
	if server := e.server.Load(); server != nil {
		_ = server.Close()
	}
	for _, l := range []net.Listener{e.callerListener, e.readyListener, e.peerListener} {
		if l != nil {
			_ = l.Close()
		}
	}
	e.admin.Close()
	e.broker.Stop()
	e.system.Shutdown()
}
