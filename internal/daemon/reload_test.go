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

// tunable is a process that records the settings it was given.
type tunable struct {
	mu     sync.Mutex
	got    []string
	failed chan error
}

func (t *tunable) Provision() error         { return nil }
func (t *tunable) Start()                   {}
func (t *tunable) Shutdown(context.Context) {}
func (t *tunable) Failed() <-chan error     { return t.failed }

func (t *tunable) Reconfigure(s string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.got = append(t.got, s)
}

func (t *tunable) settings() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.got...)
}

var _ = Describe("A daemon that gets SIGHUP", func() {
	// Hunt dd4b1bd9, norte-replate trouble-3: SIGHUP ended the processes, and
	// with them the requests that were open.
	It("goes on, takes changed settings and refuses invalid ones", func() {
		var mu sync.Mutex
		value, fault := "first", error(nil)
		set := func(v string, err error) {
			mu.Lock()
			defer mu.Unlock()
			value, fault = v, err
		}
		load := func() (string, error) {
			mu.Lock()
			defer mu.Unlock()
			return value, fault
		}
		p := &tunable{failed: make(chan error, 1)}
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
