package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/daemon"
)

// stopHelper is set in the environment of the process that TestRepeatedStopSignals starts.
const stopHelper = "DAEMON_STOP_HELPER"

// slowStop is a process whose planned stop takes stopTime.
type slowStop struct{}

const stopTime = 600 * time.Millisecond

func (slowStop) Provision() error         { return nil }
func (slowStop) Start()                   { fmt.Println("started") }
func (slowStop) Failed() <-chan error     { return nil }
func (slowStop) Shutdown(context.Context) { time.Sleep(stopTime) }

// TestStopHelper runs a daemon until a signal ends it, in a process of its own.
func TestStopHelper(t *testing.T) {
	if os.Getenv(stopHelper) == "" {
		return
	}
	cmd := daemon.PlatformCommand("test", func() (string, error) { return "", nil }, func(string) daemon.Process { return slowStop{} })
	cmd.SetArgs(nil)
	if err := cmd.ExecuteContext(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// Guards against open requests that a repeated SIGTERM cuts.
func TestRepeatedStopSignals(t *testing.T) {
	for _, c := range []struct {
		second syscall.Signal
		code   int
	}{{syscall.SIGTERM, daemon.ExitOK}, {syscall.SIGINT, daemon.ExitInterrupted}} {
		g := NewWithT(t)
		helper := exec.Command(os.Args[0], "-test.run=^TestStopHelper$")
		helper.Env = append(os.Environ(), stopHelper+"=1")
		out, err := helper.StdoutPipe()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(helper.Start()).To(Succeed())
		line, _ := bufio.NewReader(out).ReadString('\n')
		g.Expect(line).To(Equal("started\n"))
		for _, s := range []syscall.Signal{syscall.SIGTERM, c.second, c.second} {
			_ = helper.Process.Signal(s)
			time.Sleep(100 * time.Millisecond)
		}
		_ = helper.Wait()
		g.Expect(helper.ProcessState.ExitCode()).To(Equal(c.code), c.second.String())
	}
}
