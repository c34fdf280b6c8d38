//go:build faults

package faults_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"

	"agatelanding.example/agatelanding/internal/procfleet"
)

var _ = Describe("Calls that may not be repeated", func() {
	ledger := procfleet.Options{Entries: 2, Services: 3, Relays: true, ServiceDelay: 30 * time.Millisecond}

	// Executions are counted at the plain services. Half of the calls are
	// sent twice under one key, by another entry.
	DescribeTable("run at most once and are reported truthfully",
		func(fault func(f *procfleet.Fleet)) {
			f := start(ledger)
			time.Sleep(7 * time.Second) // keys are known after clock margin and home grace
			r := during(options(f, 40, 8*time.Second, 1), func() { fault(f) })
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
})
