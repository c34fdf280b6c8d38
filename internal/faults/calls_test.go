//go:build faults

package faults_test

import (
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/procfleet"
)

var _ = Describe("Calls that may not be repeated", func() {
	ledger := procfleet.Options{Entries: 2, Services: 3, Relays: true, ServiceDelay: 30 * time.Millisecond}

	// Executions are counted at the plain services. Half of the calls are
	// sent again three times under one key through the entries in turn, so
	// that repetitions meet a target process that has restarted meanwhile.
	DescribeTable("run at most once and are reported truthfully",
		func(fault func(f *procfleet.Fleet)) {
			f := start(ledger)
			time.Sleep(7 * time.Second) // keys are known after clock margin and home grace
			o := options(f, 40, 7*time.Second, 1)
			o.Repeats, o.RepeatEvery = 3, 700*time.Millisecond
			r := during(o, func() { fault(f) })
			expectTruthful(r)
		},
		Entry("no fault", func(*procfleet.Fleet) {}),
		Entry("target process killed and restarted, twice", func(f *procfleet.Fleet) {
			for range 2 {
				f.Services[0].Process.Kill()
				time.Sleep(500 * time.Millisecond)
				_ = f.Services[0].Process.Start()
				time.Sleep(time.Second)
			}
		}),
		Entry("target process frozen", func(f *procfleet.Fleet) { f.Services[1].Process.Freeze(3 * time.Second) }),
		Entry("service breaks connections after execution", func(f *procfleet.Fleet) {
			for _, u := range f.Services {
				_ = procfleet.Post(u.BackendURL + "/control?cut_next=5")
			}
		}),
		Entry("connections cut and healed, repeatedly", func(f *procfleet.Fleet) {
			for range 5 {
				for _, u := range f.Services {
					_ = procfleet.Post(u.RelayControl + "/cut")
				}
				time.Sleep(200 * time.Millisecond)
				for _, u := range f.Services {
					_ = procfleet.Post(u.RelayControl + "/heal")
				}
				time.Sleep(300 * time.Millisecond)
			}
		}),
		Entry("entry killed", func(f *procfleet.Fleet) { f.Entries[0].Process.Kill() }),
		Entry("entry killed and target frozen", func(f *procfleet.Fleet) {
			f.Entries[0].Process.Kill()
			f.Services[0].Process.Freeze(2 * time.Second)
		}),
		Entry("service breaks connections and its target process restarts at once", func(f *procfleet.Fleet) {
			for range 2 {
				for _, u := range f.Services {
					post(u.BackendURL + "/control?cut_next=3")
				}
				restart(f.Services[0])
				time.Sleep(time.Second)
			}
		}),
		Entry("target process frozen and connections cut", func(f *procfleet.Fleet) {
			f.Services[0].Process.Signal(syscall.SIGSTOP)
			repeatedly(2, f.Services, "/cut", "/heal", 500*time.Millisecond)
			f.Services[0].Process.Signal(syscall.SIGCONT)
		}),
		Entry("pool list changes while a target process restarts", func(f *procfleet.Fleet) {
			pool := &f.Pools.Pools[0]
			all := pool.Targets
			pool.Targets = all[:2]
			Expect(f.Publish()).To(Succeed())
			restart(f.Services[0])
			time.Sleep(500 * time.Millisecond)
			pool.Targets = all
			Expect(f.Publish()).To(Succeed())
			restart(f.Services[1])
		}),
		Entry("all target processes restart at once", func(f *procfleet.Fleet) {
			for _, u := range f.Services {
				restart(u)
			}
		}),
		Entry("a target is added to the pool", func(f *procfleet.Fleet) {
			pool := &f.Pools.Pools[0]
			last := pool.Targets[2]
			pool.Targets = pool.Targets[:2]
			_ = f.Publish()
			time.Sleep(time.Second)
			pool.Targets = append(pool.Targets, last)
			_ = f.Publish()
		}),
	)

	// All frames are 120 ms late, so that each fault meets calls between
	// Reserve and Run. All callers send their key to every entry at once.
	DescribeTable("are not run when the caller is told so",
		func(fault func(f *procfleet.Fleet)) {
			f := start(ledger)
			time.Sleep(7 * time.Second)
			for _, u := range f.Services {
				post(u.RelayControl + "/delay?ms=120")
			}
			o := options(f, 30, 6*time.Second, 1)
			o.Together = true
			r := during(o, func() { fault(f) })
			expectTruthful(r)
			Expect(r.Right).To(BeNumerically(">", 0))
		},
		Entry("no fault", func(*procfleet.Fleet) {}),
		Entry("target processes killed in turn", func(f *procfleet.Fleet) {
			for _, u := range f.Services {
				restart(u)
				time.Sleep(700 * time.Millisecond)
			}
		}),
		Entry("target processes frozen in turn, longer than a reservation lives", func(f *procfleet.Fleet) {
			for _, u := range f.Services[:2] {
				u.Process.Freeze(2500 * time.Millisecond)
			}
		}),
		Entry("entries frozen, longer than a reservation lives", func(f *procfleet.Fleet) {
			f.Entries[0].Process.Freeze(2500 * time.Millisecond)
		}),
		Entry("connections cut again and again", func(f *procfleet.Fleet) {
			repeatedly(6, f.Services, "/cut", "/heal", 250*time.Millisecond)
		}),
		Entry("connections cut and a target process killed", func(f *procfleet.Fleet) {
			repeatedly(2, f.Services, "/cut", "/heal", 250*time.Millisecond)
			restart(f.Services[2])
			repeatedly(2, f.Services, "/cut", "/heal", 250*time.Millisecond)
		}),
		Entry("entry killed and target process frozen", func(f *procfleet.Fleet) {
			f.Entries[1].Process.Kill()
			f.Services[1].Process.Freeze(2500 * time.Millisecond)
		}),
	)
})

// restart kills a target process and starts it at once.
func restart(u *procfleet.Unit) {
	u.Process.Kill()
	Expect(u.Process.Start()).To(Succeed())
}
