//go:build review3

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"agatelanding.example/agatelanding/platform/standin"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }

// process is one process of the repository's programs, which the platform starts again when it
// ends.
type process struct {
	name, program, settings, log string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	done    chan struct{}
}

func (p *process) start() {
	p.done = make(chan struct{})
	go func() {
		defer close(p.done)
		for p.run() {
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

func (p *process) run() (again bool) {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return false
	}
	defer log.Close()
	p.mu.Lock()
	if p.stopped {
		p.mu.Unlock()
		return false
	}
	cmd := exec.Command(p.program, "platform")
	cmd.Env = append(os.Environ(), "AGATELANDING_BOOT="+p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = cmd.Start()
	p.cmd = cmd
	p.mu.Unlock()
	if err != nil {
		return false
	}
	_ = cmd.Wait()
	return true
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) end() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// deployment is a small deployment with the bounds of kkawa-rota.
type deployment struct {
	*record
	dir, bin string
	// net is the third byte of the loopback addresses of this run, and port the first internal
	// port on all of them.
	net, port int
	store     *standin.Store
	storeAddr string
	entries   []*process
	fronts    []string
	targets   []*process
	stops     []func()
	// entryMB and targetMB are the memory of the machines.
	entryMB, targetMB int
}

func newDeployment(r *record) (*deployment, error) {
	bin, err := filepath.Abs("target/bin")
	if err != nil {
		return nil, err
	}
	for _, program := range []string{"agate-entry", "agate-target"} {
		if _, err := os.Stat(filepath.Join(bin, program)); err != nil {
			return nil, err
		}
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, dir: dir, bin: bin, net: 1 + os.Getpid()%250, store: standin.NewStore(), entryMB: 284, targetMB: 216}
	if d.port, err = freePort(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAddr = l.Addr().String()
	d.serve(l, d.store)
	return d, nil
}

// freePort returns a port below the ephemeral ones that is free on 127.0.0.1.
func freePort() (int, error) {
	for port := 20000 + os.Getpid()%9000; port < 32000; port += 16 {
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			_ = l.Close()
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

// serve serves HTTP until the deployment stops.
func (d *deployment) serve(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	d.stops = append(d.stops, func() { _ = server.Close() })
}

// settings writes the settings file of a process.
func (d *deployment) settings(name, class, ip, zone, app string, memoryMB int, listen map[string]string, seeds []string) (string, error) {
	text := fmt.Sprintf("node: %q\nrole: %q\nmachine_class: %q\nip: %q\nzone: %q\nregion: \"kvemo-kartli\"\n", name, class, class, ip, zone)
	text += "listen:\n"
	for _, k := range []string{"front", "ready", "control"} {
		if listen[k] != "" {
			text += fmt.Sprintf("  %s: %q\n", k, listen[k])
		}
	}
	text += fmt.Sprintf("port_range:\n  - %d\n  - %d\nseeds:\n", d.port, d.port+15)
	for _, s := range seeds {
		text += fmt.Sprintf("  - %q\n", s)
	}
	text += fmt.Sprintf("bootstrap: true\nlimits:\n  cpu_share: 0.3\n  cores: 1\n  memory_mb: %d\n  max_fds: 4100\n  link_mbps: 1000.0\n", memoryMB)
	if app != "" {
		text += fmt.Sprintf("app: %q\n", app)
	}
	text += "heartbeat_ms: 1200\nbounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 8\n" +
		"  loss_slack_ms: 200\n  config_apply_ms: 2000\n  rollback_slack_ms: 250\n  max_skew_ms: 5000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n" +
		"  budget_slack: 54\n  recovery_s: 12\n  pass_ms: 120\n  retry_after_s: 0\n  fencing: true\n  lease_ms: 3000\n  thaw_slack_ms: 300\n  version_ms: 5000\n"
	text += fmt.Sprintf("provider:\n  address: %q\n  form: \"read\"\n  history_s: 20\n", d.storeAddr)
	path := filepath.Join(d.dir, name+".yaml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// publish writes a configuration with one route for streams and one service with engines.
func (d *deployment) publish(models []model, timeoutMS, aimMS, attempts int, resumable bool) {
	d.store.Put("op/config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-brief", "hostname": "ficu95.example", "prefix": "/brief/", "kind": "stream", "timeout_ms": timeoutMS, "target_latency_ms": aimMS, "priority": 0,
			"service": "assistant", "max_attempts": attempts, "sticky": true, "resumable": resumable, "gap_aim_ms": 300,
		}},
		"services": []map[string]any{{
			"name": "assistant", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity": 134670, "stride": 5, "weights_mb": memoryMB, "adapter_slots": adapterSlots, "loads_per_s": 4.5, "models": models},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// startEntries starts entries, each in a zone of its own, and waits until they are ready.
func (d *deployment) startEntries(count int) error {
	var control []string
	for i := range count {
		control = append(control, fmt.Sprintf("127.3.%d.%d:%d", d.net, i+1, d.port+2))
	}
	var ready []string
	for i := range count {
		ip := fmt.Sprintf("127.3.%d.%d", d.net, i+1)
		listen := map[string]string{"front": fmt.Sprintf("%s:%d", ip, d.port+3), "ready": fmt.Sprintf("%s:%d", ip, d.port+4), "control": control[i]}
		name := fmt.Sprintf("front-%d", i+1)
		path, err := d.settings(name, "front", ip, fmt.Sprintf("z%d", i+1), "", d.entryMB, listen, control)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, d.launch(name, "agate-entry", path))
		d.fronts = append(d.fronts, listen["front"])
		ready = append(ready, "http://"+listen["ready"]+"/readiness")
	}
	for _, url := range ready {
		if err := awaitOK(url); err != nil {
			return err
		}
	}
	return nil
}

// startTarget starts the target process beside the engine at an address.
func (d *deployment) startTarget(ip, zone, app string) error {
	name := fmt.Sprintf("side-%d", len(d.targets)+1)
	path, err := d.settings(name, "side", ip, zone, app, d.targetMB, nil, nil)
	if err == nil {
		d.targets = append(d.targets, d.launch(name, "agate-target", path))
	}
	return err
}

func (d *deployment) launch(name, program, settings string) *process {
	p := &process{name: name, program: filepath.Join(d.bin, program), settings: settings, log: filepath.Join(d.dir, name+".log")}
	p.start()
	return p
}

func awaitOK(url string) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(url)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", url)
}

// stop ends all processes and stand-ins. The logs stay if KEEP is set.
func (d *deployment) stop() {
	for _, p := range append(d.entries, d.targets...) {
		p.end()
	}
	for _, stop := range d.stops {
		stop()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println(d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}
