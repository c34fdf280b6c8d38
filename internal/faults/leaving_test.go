//go:build faults

package faults_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/procfleet"
)

// A target leaves in one of three ways: the pool table marks it as draining, the VM
// list gives its VM the state leaving, or its process receives SIGTERM (a planned
// stop).
var _ = Describe("A leaving target", func() {
	// maxVMListDelay bounds the time from a change of the VM list until all
	// entries apply it: an entry reads the list every 5 s, and here readers see
	// a change after 500 ms.
	const maxVMListDelay = 8 * time.Second

	startedRuns := func(u *procfleet.Unit) func() float64 {
		return func() float64 { return engineStat(u, "started") }
	}

	// The engine counts the runs that it has started. The long answers that were
	// accepted before must still complete.
	DescribeTable("receives no new work after a few seconds",
		func(lag, wait time.Duration, leave, comeBack func(f *procfleet.Fleet)) {
			f := startFleet(procfleet.Options{Entries: 2, Engines: 2, Adapters: 4, Slots: 4, VMListLag: lag})
			o := loadOptions(f, 15, 0, 0)
			o.Workload.LongShare, o.Workload.StreamShare = 0.2, 0.5
			leaving := f.Engines[0]
			r := runLoadUntil(o, func() {
				Expect(engineStat(leaving, "started")).To(BeNumerically(">", 0))
				leave(f)
				time.Sleep(wait)
				Consistently(startedRuns(leaving), 2*time.Second, 100*time.Millisecond).Should(Equal(engineStat(leaving, "started")))
				if comeBack != nil {
					before := engineStat(leaving, "started")
					comeBack(f)
					Eventually(startedRuns(leaving), maxVMListDelay+5*time.Second, 100*time.Millisecond).Should(BeNumerically(">", before))
				}
			})
			expectCorrectReports(r)
			Expect(r.Broken).To(BeZero(), "%v", r.Details)
			Expect(r.Right).To(BeNumerically(">=", r.Sent*95/100), "refused: %v", r.Refused)
		},
		Entry("after SIGTERM, although the VM list never changes", time.Hour, 2*time.Second, func(f *procfleet.Fleet) {
			Expect(f.Engines[0].Process.Terminate(20 * time.Second)).To(BeTrue())
		}, nil),
		Entry("after the pool table marks it as draining, and receives work again after that ends", 500*time.Millisecond, 3*time.Second,
			func(f *procfleet.Fleet) { setDraining(f, true) }, func(f *procfleet.Fleet) { setDraining(f, false) }),
		Entry("after the pool table marks it as draining, although the VM list never changes", time.Hour, 3*time.Second,
			func(f *procfleet.Fleet) { setDraining(f, true) }, nil),
		Entry("after its state in the VM list is leaving, and receives work again once it is live", 500*time.Millisecond, maxVMListDelay,
			func(f *procfleet.Fleet) { setVMState(f, "leaving") }, func(f *procfleet.Fleet) { setVMState(f, "live") }),
		Entry("after SIGTERM, and receives work again after a restart that the VM list shows late", 3*time.Second, 2*time.Second,
			func(f *procfleet.Fleet) {
				setVMState(f, "leaving")
				Expect(f.Engines[0].Process.Terminate(20 * time.Second)).To(BeTrue())
			}, func(f *procfleet.Fleet) {
				Expect(f.Engines[0].Process.Start()).To(Succeed())
				setVMState(f, "live")
			}),
	)
})

var _ = Describe("A draining plain service", func() {
	// The home of a key is the one target that runs the calls with the key. A call
	// that may not be repeated goes only there, so the homes must move away from a
	// draining target.
	It("receives no new calls after a few seconds", func() {
		f := startFleet(procfleet.Options{Entries: 2, Services: 3})
		// A target process has no records of keys when it starts. So it does not
		// run a call whose key was created less than the clock margin (5 s) plus
		// home_grace_ms (1 s) after the start: the key may have been executed before.
		time.Sleep(7 * time.Second)
		executedKeys := func() int {
			_, body := procfleet.Get(f.Services[0].BackendURL + "/effects")
			return strings.Count(body, ":")
		}
		r := runLoadUntil(loadOptions(f, 30, 0, 1), func() {
			Expect(executedKeys()).To(BeNumerically(">", 0))
			setDraining(f, true)
			time.Sleep(3 * time.Second)
			Consistently(executedKeys, 2*time.Second, 100*time.Millisecond).Should(Equal(executedKeys()))
		})
		expectCorrectReports(r)
		Expect(r.Broken).To(BeZero(), "%v", r.Details)
	})
})

// setDraining publishes whether the first target of the first pool is draining.
func setDraining(f *procfleet.Fleet, draining bool) {
	f.Pools.Pools[0].Targets[0].Draining = draining
	Expect(f.Publish()).To(Succeed())
}

// setVMState sets the state of the VM of the first engine in the VM list.
func setVMState(f *procfleet.Fleet, state string) {
	f.Engines[0].VM.State = state
	Expect(f.ListVM(f.Engines[0].VM)).To(Succeed())
}

var _ = Describe("A planned stop", func() {
	// Each target process in turn stops and starts again while streamed and long
	// answers run. The rest of the pool receives the new requests meanwhile.
	It("of every target process, one after the other, breaks no answer", func() {
		f := startFleet(procfleet.Options{Entries: 2, Engines: 3, Adapters: 6, Slots: 6})
		o := loadOptions(f, 12, 0, 0)
		o.Workload.LongShare, o.Workload.StreamShare = 0.3, 0.7
		r := runLoadUntil(o, func() {
			for _, u := range f.Engines {
				Expect(u.Process.Terminate(20*time.Second)).To(BeTrue(), "%s did not end by itself", u.Row.Name)
				Expect(u.Process.Start()).To(Succeed())
				Expect(f.WaitReady(10 * time.Second)).To(Succeed())
			}
		})
		expectCorrectReports(r)
		Expect(r.Broken).To(BeZero(), "%v", r.Details)
		Expect(r.Refused).To(BeEmpty())
	})

	// The load ends just before the stop, so that only accepted requests are
	// open. In operation, a load balancer would send no new ones.
	DescribeTable("of an entry breaks no answer to an accepted request",
		func(callShare float64) {
			f := startFleet(procfleet.Options{Entries: 1, Engines: 2, Services: 2, Adapters: 4, Slots: 4, ServiceDelay: time.Second})
			if callShare > 0 {
				time.Sleep(7 * time.Second) // clock margin and home_grace_ms, see above
			}
			o := loadOptions(f, 15, 1500*time.Millisecond, callShare)
			o.Workload.LongShare, o.Workload.StreamShare, o.Workload.RepeatShare = 0.5, 1, 0
			r := runLoadDuring(o, func() {
				time.Sleep(o.Workload.Duration * 3 / 4)
				Expect(f.Entries[0].Process.Terminate(20 * time.Second)).To(BeTrue())
			})
			expectCorrectReports(r)
			Expect(r.Broken).To(BeZero(), "%v", r.Details)
			Expect(r.Refused).To(BeEmpty())
		},
		Entry("streamed long answers", 0.0),
		Entry("calls that may not be repeated", 1.0),
	)

	It("of a target process completes the calls that it has accepted", func() {
		f := startFleet(procfleet.Options{Entries: 2, Services: 2, ServiceDelay: time.Second})
		time.Sleep(7 * time.Second) // clock margin and home_grace_ms, see above
		o := loadOptions(f, 15, 4*time.Second, 1)
		r := runLoadDuring(o, func() { Expect(f.Services[0].Process.Terminate(20 * time.Second)).To(BeTrue()) })
		expectCorrectReports(r)
		Expect(r.Broken).To(BeZero(), "%v", r.Details)
		Expect(r.UnknownKeys()).To(BeZero(), "a planned stop left outcomes unknown")
	})
})
