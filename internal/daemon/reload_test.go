package daemon_test

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/daemon"
)

// reconfigurable is a process that records the settings passed to it.
type reconfigurable struct {
	mu       sync.Mutex
	received []string
	failed   chan error
}

func (t *reconfigurable) Provision() error         { return nil }
func (t *reconfigurable) Start()                   {}
func (t *reconfigurable) Shutdown(context.Context) {}
func (t *reconfigurable) Failed() <-chan error     { return t.failed }

func (t *reconfigurable) Reconfigure(s string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received = append(t.received, s)
}

func (t *reconfigurable) settings() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.received...)
}

var _ = Describe("A daemon that receives SIGHUP", func() {
	// An unhandled SIGHUP would end the process and its open requests.
	It("goes on, applies changed settings and refuses invalid ones", func() {
		var mu sync.Mutex
		value, loadErr := "first", error(nil)
		set := func(v string, err error) {
			mu.Lock()
			defer mu.Unlock()
			value, loadErr = v, err
		}
		load := func() (string, error) {
			mu.Lock()
			defer mu.Unlock()
			return value, loadErr
		}
		p := &reconfigurable{failed: make(chan error, 1)}
		cmd := daemon.PlatformCommand("test", load, func(string) daemon.Process { return p })
		cmd.SetArgs(nil)
		ended := make(chan error, 1)
		go func() { ended <- cmd.ExecuteContext(context.Background()) }()
		time.Sleep(100 * time.Millisecond)

		set("second", nil)
		Expect(syscall.Kill(syscall.Getpid(), syscall.SIGHUP)).To(Succeed())
		Eventually(p.settings).Within(500 * time.Millisecond).Should(Equal([]string{"second"}))

		set("", errors.New("invalid"))
		Expect(syscall.Kill(syscall.Getpid(), syscall.SIGHUP)).To(Succeed())
		Consistently(p.settings, 300*time.Millisecond).Should(Equal([]string{"second"}))

		By("a change without a signal")
		set("third", nil)
		Eventually(p.settings).Within(3 * time.Second).Should(Equal([]string{"second", "third"}))

		p.failed <- errors.New("end of the test")
		Eventually(ended).Should(Receive(MatchError("end of the test")))
	})
})
