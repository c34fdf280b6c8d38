package crowd_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"agatelanding.example/agatelanding/internal/fixture"
	"agatelanding.example/agatelanding/platform"
	"agatelanding.example/agatelanding/platform/standin"
)

// The limits of the settings and of the configuration are lower than those of any site,
// so that few callers exceed them.
const (
	memoryMB       = 64
	maxDescriptors = 700
	maxBodyBytes   = 1 << 20
	headerTimeout  = 3 * time.Second
	routeTimeout   = 30 * time.Second
	startTime      = 20 * time.Second
)

// entry is a running entry process with one target, which is part of the test process.
type entry struct {
	t     *testing.T
	front string
	// faulty is the address of the second target, empty without one.
	faulty string
	// peers is the address at which the process accepts connections of other processes.
	peers string
	pid   int
	// ended is closed when the process has ended.
	ended chan struct{}
	// peakMemory and peakDescriptors are the highest values that watch has seen.
	peakMemory, peakDescriptors atomic.Int64
	requests                    atomic.Int64
}

// start starts an entry and waits until it answers.
func start(t *testing.T, binDir string, target http.Handler) *entry {
	return startBeside(t, binDir, target, "")
}

// startBeside starts an entry with a second target at an address, of a service of its own.
func startBeside(t *testing.T, binDir string, target http.Handler, faulty string) *entry {
	store := standin.NewStore()
	return startWith(t, binDir, store, target, faulty, serve(t, store))
}

// startWith starts an entry that reads a store at an address.
func startWith(t *testing.T, binDir string, store *standin.Store, target http.Handler, faulty, storeAddress string) *entry {
	store.RegisterAddress("s-0", serve(t, target), 1000)
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "h.example", "prefix": prefix, "kind": kind, "timeout_ms": routeTimeout.Milliseconds(),
			"target_latency_ms": 1000, "service": service, "max_attempts": attempts,
		}
	}
	routes, services := []map[string]any{route("call", "/", "idempotent", "raw", 2)}, []map[string]any{{"name": "raw", "max_connections": 1000}}
	if faulty != "" {
		store.Put("servers/s-1", map[string]any{"service": "faulty", "address": faulty, "zone": "z1", "slots": 1000, "state": "ready", "born": 5, "seq": 1})
		routes = append(routes, route("faulty", callPath, "idempotent", "faulty", 1), route("stream", streamPath, "stream", "faulty", 1))
		services = append(services, map[string]any{"name": "faulty", "max_connections": 1000})
	}
	store.Put("op/config", map[string]any{
		"version": 1, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": headerTimeout.Milliseconds(), "idle_timeout_ms": 60000},
	})
	e := &entry{t: t, front: fixture.FreeAddress(), faulty: faulty, peers: fixture.FreeAddress(), ended: make(chan struct{})}
	_, port, _ := net.SplitHostPort(fixture.FreeAddress())
	first, _ := strconv.Atoi(port)
	e.launch(binDir, "agate-entry",
		fmt.Sprintf("node: entry\nip: 127.0.0.1\nzone: z1\nport_range: [%d, %d]\nprovider: {address: %q}\n", first, first+1, storeAddress)+
			fmt.Sprintf("listen: {front: %q, ready: %q, control: %q}\n", e.front, fixture.FreeAddress(), e.peers)+limits)
	for deadline := time.Now().Add(startTime); e.request(3) != http.StatusOK; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the entry does not answer")
		}
	}
	go e.watch()
	return e
}

// limits is the part of the settings that limits a process.
var limits = fmt.Sprintf("limits: {memory_mb: %d, max_fds: %d}\n", memoryMB, maxDescriptors) +
	"bounds: {drain_ms: 600, config_apply_ms: 600, grace_s: 4, retry_budget_ratio: 0.2, budget_slack: 500, budget_window_s: 10}\n"

// launch starts a program with the text of its settings.
func (e *entry) launch(binDir, program, text string) {
	t, dir := e.t, e.t.TempDir()
	path := filepath.Join(dir, "settings.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binDir, program), "platform")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = log, log
	// A test process that is killed must not leave a program behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	e.pid = cmd.Process.Pid
	go func() {
		_ = cmd.Wait()
		close(e.ended)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-e.ended
		_ = log.Close()
		if data, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("the end of the log:\n%s", data[max(0, len(data)-4000):])
		}
	})
}

// serve starts an HTTP server of the test process and returns its address.
func serve(t *testing.T, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// watch records what the process uses until it ends.
func (e *entry) watch() {
	for {
		select {
		case <-e.ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		e.peakMemory.Store(max(e.peakMemory.Load(), e.residentBytes()+e.unreadBytes()))
		if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.pid)); err == nil {
			e.peakDescriptors.Store(max(e.peakDescriptors.Load(), int64(len(files))))
		}
	}
}

// residentBytes returns the resident memory of the process, 0 once it has ended.
func (e *entry) residentBytes() int64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", e.pid))
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// unreadBytes returns the bytes that callers and the second target have sent and the process
// has not read, which the platform counts toward its memory.
func (e *entry) unreadBytes() int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	front, faulty, total := procAddress(e.front), procAddress(e.faulty), int64(0)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		// The receive queue of a listener holds connections, not bytes; its state is 0A.
		if len(fields) < 5 || fields[1] != front && fields[2] != faulty || fields[3] == "0A" {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		unread, _ := strconv.ParseInt(queue, 16, 64)
		total += unread
	}
	return total
}

// procAddress returns a loopback address as /proc/net/tcp has it.
func procAddress(address string) string {
	_, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	return fmt.Sprintf("0100007F:%04X", number)
}

// head returns the head of a request with further header lines.
func (e *entry) head(lines string) string {
	return fmt.Sprintf("POST /call HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: crowd-%d\r\nDeadline-Ms: %d\r\n%s", e.requests.Add(1), routeTimeout.Milliseconds(), lines)
}

// request sends an ordinary request with a body of a length on a connection of its own
// and returns the status, 0 without a whole answer.
func (e *entry) request(length int) int {
	c, err := net.DialTimeout("tcp", e.front, routeTimeout)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(routeTimeout))
	_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", e.head(""), length, strings.Repeat("x", length))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
