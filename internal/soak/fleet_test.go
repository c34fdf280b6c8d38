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
	"syscall"
	"testing"
	"time"

	"agatelanding.example/agatelanding/internal/fixture"
	"agatelanding.example/agatelanding/platform"
	"agatelanding.example/agatelanding/platform/standin"
)

// process is one of our programs. It is started again when it ends, as the
// platform does.
type process struct {
	name    string
	program string
	boot    string
	log     string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	done    chan struct{}
}

func (p *process) start(t *testing.T) {
	p.done = make(chan struct{})
	go func() {
		defer close(p.done)
		for p.run(t) {
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

// run runs the program once. It returns false when it is not to be started
// again.
func (p *process) run(t *testing.T) bool {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.boot)
	cmd.Stdout, cmd.Stderr = log, log
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

// signal sends a signal to the process that runs now, by its id.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// fleet is a small deployment: entries, engines with processes beside them,
// and services, all targets and the store behind proxies.
type fleet struct {
	t        *testing.T
	dir      string
	store    *standin.Store
	storeGw  []*proxy
	entries  []*process
	fronts   []string
	agents   []*process
	engines  []*standin.Replica
	services []*standin.Replica
	gates    []*proxy
	port     int
	net      int
	version  int
}

const (
	entryCount   = 2
	engineCount  = 3
	serviceCount = 2
	engineSlots  = 3
	streamEvents = 12
)

func newFleet(t *testing.T, bin string, network int) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), store: standin.NewStore(), net: network}
	_, port, _ := net.SplitHostPort(fixture.FreeAddress())
	f.port, _ = strconv.Atoi(port)
	for i := range engineCount {
		r := standin.NewReplica(fmt.Sprintf("e-%d", i), "m", engineSlots)
		r.Events, r.EventTime = streamEvents, 15*time.Millisecond
		f.engines = append(f.engines, r)
		ip := fmt.Sprintf("127.2.%d.%d", network, i+1)
		real := f.serve(ip, r)
		f.register(r, "llm", ip, real)
		f.agents = append(f.agents, f.process(bin, "agate-target", fmt.Sprintf("vm-%d", i), f.settings(ip, real, f.direct(), nil)))
	}
	for i := range serviceCount {
		r := standin.NewReplica(fmt.Sprintf("s-%d", i), "", 0)
		f.services = append(f.services, r)
		f.register(r, "ledger", "127.0.0.1", f.serve("127.0.0.1", r))
	}
	f.configure()
	var peers []string
	for range entryCount {
		peers = append(peers, fixture.FreeAddress())
	}
	for i := range entryCount {
		gw, err := newProxy("127.0.0.1", f.direct())
		if err != nil {
			t.Fatal(err)
		}
		f.storeGw = append(f.storeGw, gw)
		front := fixture.FreeAddress()
		f.fronts = append(f.fronts, front)
		listen := fmt.Sprintf("{front: %q, ready: %q, control: %q}", front, fixture.FreeAddress(), peers[i])
		f.entries = append(f.entries, f.process(bin, "agate-entry", fmt.Sprintf("entry-%d", i), f.settings(fmt.Sprintf("127.3.%d.%d", network, i+1), "", gw.address(), peers, listen)))
	}
	return f
}

var storeAddress sync.Map

// direct is the address of the store without a proxy.
func (f *fleet) direct() string {
	if a, ok := storeAddress.Load(f); ok {
		return a.(string)
	}
	a := f.serve("127.0.0.1", f.store)
	storeAddress.Store(f, a)
	return a
}

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

// register puts a target into the store, behind a proxy on its own IP.
func (f *fleet) register(r *standin.Replica, pool, ip, real string) {
	gate, err := newProxy(ip, real)
	if err != nil {
		f.t.Fatal(err)
	}
	f.gates = append(f.gates, gate)
	f.store.Put("servers/"+r.ID, r.Describe(pool, gate.address(), "z1", "ready"))
}

func (f *fleet) settings(ip, app, store string, seeds []string, listen ...string) string {
	text := fmt.Sprintf("ip: %q\nzone: z1\nport_range: [%d, %d]\nprovider: {address: %q}\n", ip, f.port, f.port+1, store)
	text += "bounds: {drain_ms: 600, config_apply_ms: 600, grace_s: 4, retry_budget_ratio: 0.2, budget_slack: 500, budget_window_s: 10}\n"
	if app != "" {
		text += fmt.Sprintf("app: %q\n", app)
	}
	for _, l := range listen {
		text += "listen: " + l + "\n"
	}
	text += "seeds:\n"
	for _, s := range seeds {
		text += fmt.Sprintf("  - %q\n", s)
	}
	return text
}

func (f *fleet) process(bin, program, name, settings string) *process {
	boot := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(boot, []byte(fmt.Sprintf("node: %q\n", name)+settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return &process{name: name, program: filepath.Join(bin, program), boot: boot, log: filepath.Join(f.dir, name+".log")}
}

func (f *fleet) all() []*process { return append(append([]*process(nil), f.entries...), f.agents...) }

// configure publishes the next version, with a route that names it.
func (f *fleet) configure() {
	f.version++
	route := func(name, prefix, kind, pool string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": "h.example", "prefix": prefix, "kind": kind, "timeout_ms": 2500, "target_latency_ms": 300,
			"service": pool, "max_attempts": attempts, "resumable": resumable, "gap_aim_ms": 300,
		}
	}
	f.store.Put("op/config", map[string]any{
		"version": f.version,
		"routes": []map[string]any{
			route("query", "/query/", "stream", "llm", 2, true), route("brief", "/brief/", "stream", "llm", 1, false),
			route("release", "/release/", "non_idempotent", "ledger", 1, false), route("lookup", "/lookup/", "idempotent", "ledger", 2, false),
			route("version", fmt.Sprintf("/v%d/", f.version), "idempotent", "ledger", 2, false),
		},
		"services": []map[string]any{
			{"name": "llm", "max_connections": 100, "engine": map[string]any{
				"slots": 16, "kv_capacity": 100000, "stride": 1, "weights_mb": 100, "adapter_slots": engineSlots,
				"models": []map[string]any{{"name": "m", "weights_mb": 50, "adapter_mb": 1}},
			}},
			{"name": "ledger", "max_connections": 100},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}
