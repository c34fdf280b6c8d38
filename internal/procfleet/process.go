// Package procfleet runs a fleet (entries, target processes and stand-ins for the
// platform) as separate processes on loopback, for fault runs and capacity
// measurements. It can kill, freeze and restart the processes and cut the
// connections between them. Fleet.Close ends every process that it started.
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

// startProcess starts a program of the folder bin. args holds the name of the
// program and its arguments.
func startProcess(bin, dir, name string, args ...string) (*Process, error) {
	p := &Process{Name: name, args: append([]string{filepath.Join(bin, args[0])}, args[1:]...), dir: dir}
	return p, p.Start()
}

// Start starts the process. It can be called again after the process has ended.
// Output is appended to the file NAME.log in the folder of the fleet.
func (p *Process) Start() error {
	log, err := os.OpenFile(filepath.Join(p.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.log = log
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The kernel kills the process when the test process ends, even if the
	// test process is killed.
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

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
	_ = p.log.Close()
}

// Freeze suspends the process with SIGSTOP for d and then resumes it.
func (p *Process) Freeze(d time.Duration) {
	p.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.Signal(syscall.SIGCONT)
}

// Terminate sends SIGTERM, which asks for a planned stop, and waits for the end
// of the process. It returns false if the process is still running after timeout.
func (p *Process) Terminate(timeout time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		_ = p.log.Close()
		return true
	case <-time.After(timeout):
		return false
	}
}

// Running reports whether the process is still running.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Post sends a control request, a POST without a body, to a stand-in.
func Post(url string) error {
	resp, err := http.Post(url, "", nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Put sends data to a URL of a stand-in with PUT.
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

// Get reads a URL and returns the status and the body. If the request fails, it
// returns status 0 and the text of the error.
func Get(url string) (int, string) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// WaitFor polls a condition until it is true or the timeout passes. The error
// names the description of the condition.
func WaitFor(timeout time.Duration, description string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if condition() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("waiting until %s: timed out after %s", description, timeout)
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }
