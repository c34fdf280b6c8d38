//go:build faults

package faults_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/procfleet"
)

var _ = Describe("A leaving target", func() {
	// listed is the time within which the VM list counts: an entry reads it
	// every 5 s and it shows a change after 500 ms here.
	const listed = 8 * time.Second

	started := func(u *procfleet.Unit) func() float64 {
		return func() float64 { return stat(u, "started") }
	}

	// The engine counts the runs that it has started. The long answers that
	// were accepted before must still end whole.
	DescribeTable("receives no new work after a few seconds",
		func(lag, within time.Duration, leave, back func(f *procfleet.Fleet)) {
			f := start(procfleet.Options{Entries: 2, Engines: 2, Adapters: 4, Slots: 4, VMLag: lag})
			o := options(f, 15, 0, 0)
			o.Workload.LongShare, o.Workload.StreamShare = 0.2, 0.5
			leaver := f.Engines[0]
			r := until(o, func() {
				Expect(stat(leaver, "started")).To(BeNumerically(">", 0))
				leave(f)
				time.Sleep(within)
				Consistently(started(leaver), 2*time.Second, 100*time.Millisecond).Should(Equal(stat(leaver, "started")))
				if back != nil {
					before := stat(leaver, "started")
					back(f)
					Eventually(started(leaver), listed+5*time.Second, 100*time.Millisecond).Should(BeNumerically(">", before))
				}
			})
			expectTruthful(r)
			Expect(r.Broken).To(BeZero(), "%v", r.Details)
			Expect(r.Right).To(BeNumerically(">=", r.Sent*95/100), "refused: %v", r.Refused)
		},
		Entry("after SIGTERM, with a list that never says so", time.Hour, 2*time.Second, func(f *procfleet.Fleet) {
			Expect(f.Engines[0].Process.Terminate(20 * time.Second)).To(BeTrue())
		}, nil),
		Entry("after the table says draining, and works again after", 500*time.Millisecond, 3*time.Second,
			func(f *procfleet.Fleet) { drain(f, true) }, func(f *procfleet.Fleet) { drain(f, false) }),
		Entry("after the table says draining while the service of the VM list is late", time.Hour, 3*time.Second,
			func(f *procfleet.Fleet) { drain(f, true) }, nil),
		Entry("after the VM list says leaving, and works again after", 500*time.Millisecond, listed,
			func(f *procfleet.Fleet) { list(f, "leaving") }, func(f *procfleet.Fleet) { list(f, "live") }),
		Entry("after SIGTERM, and works again after a new start that the list shows late", 3*time.Second, 2*time.Second,
			func(f *procfleet.Fleet) {
				list(f, "leaving")
				Expect(f.Engines[0].Process.Terminate(20 * time.Second)).To(BeTrue())
			}, func(f *procfleet.Fleet) {
				Expect(f.Engines[0].Process.Start()).To(Succeed())
				list(f, "live")
			}),
	)
})

var _ = Describe("A draining plain service", func() {
	// Calls that run once go to the home of their key only, so the homes must
	// move away from a target that drains.
	It("receives no new calls after a few seconds", func() {
		f := start(procfleet.Options{Entries: 2, Services: 3})
		time.Sleep(7 * time.Second) // keys are known after clock margin and home grace
		effects := func() int {
			_, body := procfleet.Get(f.Services[0].BackendURL + "/effects")
			return strings.Count(body, ":")
		}
		r := until(options(f, 30, 0, 1), func() {
			Expect(effects()).To(BeNumerically(">", 0))
			drain(f, true)
			time.Sleep(3 * time.Second)
			Consistently(effects, 2*time.Second, 100*time.Millisecond).Should(Equal(effects()))
		})
		expectTruthful(r)
		Expect(r.Broken).To(BeZero(), "%v", r.Details)
	})
})

func drain(f *procfleet.Fleet, draining bool) {
	f.Pools.Pools[0].Targets[0].Draining = draining
	Expect(f.Publish()).To(Succeed())
}

func list(f *procfleet.Fleet, state string) {
	f.Engines[0].VM.State = state
	Expect(f.ListVM(f.Engines[0].VM)).To(Succeed())
}

var _ = Describe("A planned stop", func() {
	// Each target process in turn stops and starts again while streamed and
	// long answers run; the rest of the pool takes over the new work.
	It("of every target process, one after the other, breaks no answer", func() {
		f := start(procfleet.Options{Entries: 2, Engines: 3, Adapters: 6, Slots: 6})
		o := options(f, 12, 0, 0)
		o.Workload.LongShare, o.Workload.StreamShare = 0.3, 0.7
		r := until(o, func() {
			for _, u := range f.Engines {
				Expect(u.Process.Terminate(20*time.Second)).To(BeTrue(), "%s did not end by itself", u.Row.Name)
				Expect(u.Process.Start()).To(Succeed())
				Expect(f.WaitReady(10 * time.Second)).To(Succeed())
			}
		})
		expectTruthful(r)
		Expect(r.Broken).To(BeZero(), "%v", r.Details)
		Expect(r.Refused).To(BeEmpty())
	})

	// The load ends just before the stop, so that only accepted requests are
	// open; a balancer would send no new ones.
	DescribeTable("of an entry breaks no answer that it has accepted",
		func(calls float64) {
			f := start(procfleet.Options{Entries: 1, Engines: 2, Services: 2, Adapters: 4, Slots: 4, ServiceDelay: time.Second})
			if calls > 0 {
				time.Sleep(7 * time.Second)
			}
			o := options(f, 15, 1500*time.Millisecond, calls)
			o.Workload.LongShare, o.Workload.StreamShare, o.Workload.RepeatShare = 0.5, 1, 0
			r := during(o, func() {
				time.Sleep(o.Workload.Duration * 3 / 4)
				Expect(f.Entries[0].Process.Terminate(20 * time.Second)).To(BeTrue())
			})
			expectTruthful(r)
			Expect(r.Broken).To(BeZero(), "%v", r.Details)
			Expect(r.Refused).To(BeEmpty())
		},
		Entry("streamed long answers", 0.0),
		Entry("calls that may not be repeated", 1.0),
	)

	It("of a target process ends the calls that it has accepted", func() {
		f := start(procfleet.Options{Entries: 2, Services: 2, ServiceDelay: time.Second})
		time.Sleep(7 * time.Second)
		o := options(f, 15, 4*time.Second, 1)
		r := during(o, func() { Expect(f.Services[0].Process.Terminate(20 * time.Second)).To(BeTrue()) })
		expectTruthful(r)
		Expect(r.Broken).To(BeZero(), "%v", r.Details)
		Expect(r.UnknownKeys()).To(BeZero(), "a planned stop left outcomes unknown")
	})
})
