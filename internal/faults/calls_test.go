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
	ledgerFleet := procfleet.Options{Entries: 2, Services: 3, Relays: true, ServiceDelay: 30 * time.Millisecond}

	// Executions are counted at the plain services. Half of the calls are sent
	// three more times with the same key, through the entries in turn, so that
	// repetitions reach a target process that has restarted since.
	DescribeTable("run at most once and are reported correctly",
		func(fault func(f *procfleet.Fleet)) {
			f := startFleet(ledgerFleet)
			// A target process has no records of keys when it starts. So it does
			// not run a call whose key was created less than the clock margin
			// (5 s) plus home_grace_ms (1 s) after the start: the key may have
			// been executed before.
			time.Sleep(7 * time.Second)
			o := loadOptions(f, 40, 7*time.Second, 1)
			o.MaxRepetitions, o.RepeatDelay = 3, 700*time.Millisecond
			r := runLoadDuring(o, func() { fault(f) })
			expectCorrectReports(r)
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
					_ = procfleet.Post(u.RelayControlURL + "/cut")
				}
				time.Sleep(200 * time.Millisecond)
				for _, u := range f.Services {
					_ = procfleet.Post(u.RelayControlURL + "/heal")
				}
				time.Sleep(300 * time.Millisecond)
			}
		}),
		Entry("entry killed", func(f *procfleet.Fleet) { f.Entries[0].Process.Kill() }),
		Entry("entry killed and first target process frozen", func(f *procfleet.Fleet) {
			f.Entries[0].Process.Kill()
			f.Services[0].Process.Freeze(2 * time.Second)
		}),
		Entry("services break connections and a target process is restarted at once", func(f *procfleet.Fleet) {
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
			toggle(2, f.Services, "/cut", "/heal", 500*time.Millisecond)
			f.Services[0].Process.Signal(syscall.SIGCONT)
		}),
		Entry("a target is removed from the pool and added again while target processes restart", func(f *procfleet.Fleet) {
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
		Entry("all target processes killed and restarted", func(f *procfleet.Fleet) {
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

	// All data is delayed by 120 ms, so that faults occur between the frames
	// Reserve and Run of a call. Half of the calls are sent to all entries at
	// the same time with the same key.
	DescribeTable("are not run if they are reported as not run",
		func(fault func(f *procfleet.Fleet)) {
			f := startFleet(ledgerFleet)
			time.Sleep(7 * time.Second) // clock margin and home_grace_ms, as above
			for _, u := range f.Services {
				post(u.RelayControlURL + "/delay?ms=120")
			}
			o := loadOptions(f, 30, 6*time.Second, 1)
			o.RepeatConcurrently = true
			r := runLoadDuring(o, func() { fault(f) })
			expectCorrectReports(r)
			Expect(r.Right).To(BeNumerically(">", 0))
		},
		Entry("no fault", func(*procfleet.Fleet) {}),
		Entry("target processes killed and restarted in turn", func(f *procfleet.Fleet) {
			for _, u := range f.Services {
				restart(u)
				time.Sleep(700 * time.Millisecond)
			}
		}),
		Entry("target processes frozen in turn, longer than the lifetime of a reservation", func(f *procfleet.Fleet) {
			for _, u := range f.Services[:2] {
				u.Process.Freeze(2500 * time.Millisecond)
			}
		}),
		Entry("an entry frozen, longer than the lifetime of a reservation", func(f *procfleet.Fleet) {
			f.Entries[0].Process.Freeze(2500 * time.Millisecond)
		}),
		Entry("connections cut and healed six times", func(f *procfleet.Fleet) {
			toggle(6, f.Services, "/cut", "/heal", 250*time.Millisecond)
		}),
		Entry("connections cut and a target process killed and restarted", func(f *procfleet.Fleet) {
			toggle(2, f.Services, "/cut", "/heal", 250*time.Millisecond)
			restart(f.Services[2])
			toggle(2, f.Services, "/cut", "/heal", 250*time.Millisecond)
		}),
		Entry("entry killed and target process frozen", func(f *procfleet.Fleet) {
			f.Entries[1].Process.Kill()
			f.Services[1].Process.Freeze(2500 * time.Millisecond)
		}),
	)
})

// restart kills a target process and starts it again at once.
func restart(u *procfleet.Unit) {
	u.Process.Kill()
	Expect(u.Process.Start()).To(Succeed())
}
