package soak_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"agatelanding.example/agatelanding/internal/fixture"
	"agatelanding.example/agatelanding/platform"
	"agatelanding.example/agatelanding/platform/standin"
)

// process is an entry or a target process. It is restarted whenever it ends, as
// the platform does.
type process struct {
	name string
	// program, settingsPath and logPath are paths of files.
	program      string
	settingsPath string
	logPath      string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	done    chan struct{}
}

// start runs the program in the background, again and again until stop is called.
func (p *process) start(t *testing.T) {
	p.done = make(chan struct{})
	go func() {
		defer close(p.done)
		for p.run(t) {
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

// run runs the program once and waits for its end. It returns false if the
// program must not be restarted.
func (p *process) run(t *testing.T) bool {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Error(err)
		return false
	}
	defer log.Close()
	p.mu.Lock()
	if p.stopped {
		p.mu.Unlock()
		return false
	}
	cmd := exec.Command(p.program, "platform")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	// A test process that is killed must not leave daemons at its addresses.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = cmd.Start()
	p.cmd = cmd
	p.mu.Unlock()
	if err != nil {
		t.Error(err)
		return false
	}
	_ = cmd.Wait()
	return true
}

// signal sends a signal to the running process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// stop kills the process for good and waits for its end.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// fleet is a small deployment: entries, engines with a target process beside
// each, and services. A proxy stands before each target, and before the store
// for each entry.
type fleet struct {
	t     *testing.T
	dir   string
	store *standin.Store
	// storeProxies are the proxies through which the entries reach the store.
	storeProxies []*proxy
	entries      []*process
	// frontAddresses are the addresses on which the entries accept callers'
	// connections, the listener front in the settings.
	frontAddresses []string
	// targetProcesses stand beside the engines, one beside each.
	targetProcesses               []*process
	engines                       []*standin.Replica
	engineServers, serviceServers []*standin.Server
	services                      []*standin.Replica
	targetProxies                 []*proxy
	// port is the first port of port_range in all settings files.
	port int
	// network is the third byte of the loopback addresses 127.2.x.y of the
	// engines and 127.3.x.y of the entries.
	network int
	// configVersion is the version of the last published configuration.
	configVersion int
	// keyNumber is the number of the rotated key in the present configuration.
	keyNumber atomic.Int64
	// registrations register the targets in the store.
	registrations []func()
}

const (
	entryCount   = 2
	engineCount  = 3
	serviceCount = 2
	// adapterSlots is the number of adapter slots of an engine.
	adapterSlots = 3
	// streamEvents is the number of events of a streamed answer.
	streamEvents = 12
	// Engines crash on crashingPart, services after crashTime of work on a request for
	// crashingPath. They are down for targetDownTime.
	crashingPart   = "bad0"
	crashingPath   = "/lookup/crash"
	crashTime      = 5 * time.Millisecond
	targetDownTime = 400 * time.Millisecond
	gracePeriod    = 4 * time.Second
)

// newFleet starts the stand-ins and prepares the processes, but does not start
// them. binDir holds the programs.
func newFleet(t *testing.T, binDir string, network int) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), store: standin.NewStore(), network: network}
	_, port, _ := net.SplitHostPort(fixture.FreeAddress())
	f.port, _ = strconv.Atoi(port)
	for i := range engineCount {
		r := standin.NewReplica(fmt.Sprintf("e-%d", i), "m", adapterSlots)
		r.SoftwareVersion = fmt.Sprint("v", i%2)
		r.Events, r.EventTime, r.PauseTime = streamEvents, 15*time.Millisecond, lateFirstEvent
		f.engines = append(f.engines, r)
		ip := fmt.Sprintf("127.2.%d.%d", network, i+1)
		server := f.serveTarget(ip, "llm", r)
		server.CrashOn(crashingPart)
		f.engineServers = append(f.engineServers, server)
		real := server.Address
		f.targetProcesses = append(f.targetProcesses, f.newProcess(binDir, "agate-target", fmt.Sprintf("vm-%d", i), f.settingsText(ip, real, f.directStoreAddress(), nil)))
	}
	for i := range serviceCount {
		r := standin.NewReplica(fmt.Sprintf("s-%d", i), "", 0)
		r.Slots, r.MaxRequests = serviceSlots, serviceSlots
		r.FullStatus = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[i%2]
		f.services = append(f.services, r)
		server := f.serveTarget("127.0.0.1", "ledger", r)
		server.CrashUnder(func(run standin.Run) bool { return run.URI == crashingPath }, crashTime)
		f.serviceServers = append(f.serviceServers, server)
	}
	f.keyNumber.Store(1)
	f.publishNextConfig()
	var peerAddresses []string
	for range entryCount {
		peerAddresses = append(peerAddresses, fixture.FreeAddress())
	}
	for i := range entryCount {
		storeProxy, err := newProxy("127.0.0.1", f.directStoreAddress())
		if err != nil {
			t.Fatal(err)
		}
		f.storeProxies = append(f.storeProxies, storeProxy)
		front := fixture.FreeAddress()
		f.frontAddresses = append(f.frontAddresses, front)
		listen := fmt.Sprintf("{front: %q, ready: %q, control: %q}", front, fixture.FreeAddress(), peerAddresses[i])
		f.entries = append(f.entries, f.newProcess(binDir, "agate-entry", fmt.Sprintf("entry-%d", i), f.settingsText(fmt.Sprintf("127.3.%d.%d", network, i+1), "", storeProxy.address(), peerAddresses, listen)))
	}
	return f
}

// storeAddresses maps each *fleet to the address of its store.
var storeAddresses sync.Map

// directStoreAddress returns the address of the store itself, without a proxy. The
// first call starts the store.
func (f *fleet) directStoreAddress() string {
	if a, ok := storeAddresses.Load(f); ok {
		return a.(string)
	}
	a := f.serve("127.0.0.1", f.store)
	storeAddresses.Store(f, a)
	return a
}

// serve starts an HTTP server on a free port of ip and returns its address.
func (f *fleet) serve(ip string, h http.Handler) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	f.t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// serveTarget starts a target of a pool with a proxy before it, which refuses connections
// while the target is down after a crash.
func (f *fleet) serveTarget(ip, pool string, r *standin.Replica) *standin.Server {
	server, err := standin.Serve(ip+":0", r)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(server.Close)
	f.register(r, pool, ip, server.Address)
	i := len(f.targetProxies) - 1
	server.OnCrash(f.targetProxies[i].goDown)
	server.RestartAfter(targetDownTime, nil, func() {
		f.targetProxies[i].goUp()
		f.registrations[i]()
	})
	return server
}

// register starts a proxy before a target, on the given IP address, and lists the
// target in the store with the address of the proxy. real is the address of the
// target itself.
func (f *fleet) register(r *standin.Replica, pool, ip, real string) {
	targetProxy, err := newProxy(ip, real)
	if err != nil {
		f.t.Fatal(err)
	}
	f.targetProxies = append(f.targetProxies, targetProxy)
	f.registrations = append(f.registrations, func() {
		f.store.Register(r, pool, targetProxy.address(), "z1", "ready")
	})
	f.registrations[len(f.registrations)-1]()
}

// restoreStore brings the store back from a copy. Targets and operator then write
// again what they wrote before.
func (f *fleet) restoreStore(c standin.Copy) {
	f.store.Restore(c)
	f.store.Refuse(false)
	for _, register := range f.registrations {
		register()
	}
	f.publishConfig()
}

// settingsText returns the settings file of a process. app is the address of the
// engine beside a target process, store the address of the store, peerAddresses
// the addresses of the entries for their peers, and listen the listeners.
func (f *fleet) settingsText(ip, app, store string, peerAddresses []string, listen ...string) string {
	text := fmt.Sprintf("ip: %q\nzone: z1\nport_range: [%d, %d]\nprovider: {address: %q}\n", ip, f.port, f.port+1, store)
	text += fmt.Sprintf("bounds: {drain_ms: 600, config_apply_ms: 600, grace_s: %v, retry_budget_ratio: 0.2, budget_slack: 500, budget_window_s: 10, "+
		"strict_revoke: true, revoke_ms: %d, quota_window_s: %v, quota_overage: %v, quota_slack: %v}\n",
		gracePeriod.Seconds(), revokeTime.Milliseconds(), quotaWindow.Seconds(), quotaOverage, quotaSlack)
	if app != "" {
		text += fmt.Sprintf("app: %q\n", app)
	}
	for _, l := range listen {
		text += "listen: " + l + "\n"
	}
	text += "seeds:\n"
	for _, s := range peerAddresses {
		text += fmt.Sprintf("  - %q\n", s)
	}
	return text
}

// newProcess writes the settings file of a process.
func (f *fleet) newProcess(binDir, program, name, settings string) *process {
	settingsPath := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(settingsPath, []byte(fmt.Sprintf("node: %q\n", name)+settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return &process{name: name, program: filepath.Join(binDir, program), settingsPath: settingsPath, logPath: filepath.Join(f.dir, name+".log")}
}

// procs returns the processes of the entries and the target processes.
func (f *fleet) procs() []*process {
	return append(append([]*process(nil), f.entries...), f.targetProcesses...)
}

// unreadableEvery is the number of versions of which one follows a value that cannot be read.
const unreadableEvery = 4

// publishNextConfig publishes the next version of the configuration. One route has
// the version in its prefix, so that a request shows which version is in force.
func (f *fleet) publishNextConfig() {
	f.configVersion++
	if f.configVersion%unreadableEvery == 0 {
		f.store.PutRaw("op/config", []byte(`{"version":`))
	}
	f.publishConfig()
}

// publishConfig publishes the present version of the configuration.
func (f *fleet) publishConfig() {
	route := func(name, prefix, kind, pool string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": "h.example", "prefix": prefix, "kind": kind, "timeout_ms": 2500, "target_latency_ms": 300,
			"service": pool, "max_attempts": attempts, "resumable": resumable, "gap_aim_ms": 300,
		}
	}
	f.store.Put("op/config", map[string]any{
		"version": f.configVersion,
		"tenants": f.workspaces(),
		"routes": []map[string]any{
			route("query", "/query/", "stream", "llm", 2, true), route("brief", "/brief/", "stream", "llm", 1, false),
			route("release", "/release/", "non_idempotent", "ledger", 1, false), route("lookup", "/lookup/", "idempotent", "ledger", 2, false),
			route("version", fmt.Sprintf("/v%d/", f.configVersion), "idempotent", "ledger", 2, false),
			route("odd", "/odd/", "of an unknown kind", "ledger", 2, false),
		},
		"services": []map[string]any{
			{"name": "llm", "max_connections": 100, "engine": map[string]any{
				"slots": 16, "kv_capacity": 100000, "stride": 1, "weights_mb": 100, "adapter_slots": adapterSlots,
				"models": []map[string]any{{"name": "m", "weights_mb": 50, "adapter_mb": 1}},
			}},
			{"name": "ledger", "max_connections": 100},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}
