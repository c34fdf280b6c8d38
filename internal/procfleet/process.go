// Package procfleet runs a fleet as separate processes on loopback, for fault
// runs: it kills, freezes, cuts and restarts them and ends everything that it
// started.
package procfleet

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"agatelanding.example/agatelanding/internal/result"
)

// Process is one process of a fleet.
type Process struct {
	Name string
	args []string
	dir  string
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

// startProcess starts a program from the fleet's binaries.
func startProcess(bin, dir, name string, args ...string) (*Process, error) {
	p := &Process{Name: name, args: append([]string{filepath.Join(bin, args[0])}, args[1:]...), dir: dir}
	return p, p.Start()
}

// Start starts the process, again after it has ended.
func (p *Process) Start() error {
	log, err := os.OpenFile(filepath.Join(p.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.log = log
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The process dies with the test process, also when that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	return nil
}

// Signal sends a signal to the process by its id.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
	_ = p.log.Close()
}

// Freeze stops the process for a while and wakes it.
func (p *Process) Freeze(d time.Duration) {
	p.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.Signal(syscall.SIGCONT)
}

// Terminate asks for a planned stop and waits up to limit. It returns false if
// the process did not end by itself.
func (p *Process) Terminate(limit time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		_ = p.log.Close()
		return true
	case <-time.After(limit):
		return false
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Post sends a control request to a stand-in.
func Post(url string) error {
	resp, err := http.Post(url, "", nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Put writes a value to a stand-in.
func Put(url string, data string) error {
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return result.Newf(result.PlatformUnreached, "%s answered %d", url, resp.StatusCode)
	}
	return nil
}

// Get reads a URL and returns status and body.
func Get(url string) (int, string) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// WaitFor polls a condition until it holds or the limit passes.
func WaitFor(limit time.Duration, what string, holds func() bool) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if holds() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s: not within %s", what, limit)
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }
