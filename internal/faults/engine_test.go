//go:build faults

package faults_test

import (
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/procfleet"
)

var _ = Describe("Completions", func() {
	smallFleet := procfleet.Options{Entries: 2, Engines: 3, Adapters: 12, Slots: 6, Relays: true}

	// Each table entry injects faults into one or two processes or connections
	// under load. The requests are not streamed. No answer may be wrong or
	// broken; where needed, another target runs the request.
	DescribeTable("are answered correctly despite faults",
		func(fault func(f *procfleet.Fleet)) {
			f := startFleet(smallFleet)
			o := loadOptions(f, 10, 8*time.Second, 0)
			r := runLoadDuring(o, func() { fault(f) })
			expectCorrectReports(r)
			Expect(r.Broken).To(BeZero(), "%v", r.Details)
			Expect(r.Right).To(BeNumerically(">=", r.Sent*95/100), "refused: %v", r.Refused)
		},
		Entry("no fault", func(*procfleet.Fleet) {}),
		Entry("target process killed and restarted", func(f *procfleet.Fleet) {
			f.Engines[0].Process.Kill()
			time.Sleep(time.Second)
			Expect(f.Engines[0].Process.Start()).To(Succeed())
		}),
		Entry("engine restarts empty", func(f *procfleet.Fleet) {
			Expect(procfleet.Post(f.Engines[1].BackendURL + "/control?restart=true")).To(Succeed())
		}),
		Entry("engine restarts empty twice", func(f *procfleet.Fleet) {
			for range 2 {
				Expect(procfleet.Post(f.Engines[1].BackendURL + "/control?restart=true")).To(Succeed())
				time.Sleep(time.Second)
			}
		}),
		Entry("target process frozen for 3 s", func(f *procfleet.Fleet) {
			f.Engines[2].Process.Freeze(3 * time.Second)
		}),
		Entry("connection to a target cut for 2 s", func(f *procfleet.Fleet) {
			Expect(procfleet.Post(f.Engines[0].RelayControlURL + "/cut")).To(Succeed())
			time.Sleep(2 * time.Second)
			Expect(procfleet.Post(f.Engines[0].RelayControlURL + "/heal")).To(Succeed())
		}),
		Entry("adapter loads fail", func(f *procfleet.Fleet) {
			Expect(procfleet.Post(f.WeightStoreURL + "/control?fail_next=2")).To(Succeed())
		}),
		Entry("configuration service down, target process killed and restarted", func(f *procfleet.Fleet) {
			Expect(procfleet.Post(f.ConfigURL + "/control?down=true")).To(Succeed())
			f.Engines[0].Process.Kill()
			Expect(f.Engines[0].Process.Start()).To(Succeed())
		}),
		Entry("engine restarts empty while its target process is frozen", func(f *procfleet.Fleet) {
			f.Engines[0].Process.Signal(syscall.SIGSTOP)
			Expect(procfleet.Post(f.Engines[0].BackendURL + "/control?restart=true")).To(Succeed())
			time.Sleep(2 * time.Second)
			f.Engines[0].Process.Signal(syscall.SIGCONT)
		}),
	)

	// A planned stop must not break any answer, streamed or not.
	DescribeTable("are not broken by a planned stop",
		func(stop func(f *procfleet.Fleet) *procfleet.Process) {
			f := startFleet(smallFleet)
			o := loadOptions(f, 10, 6*time.Second, 0)
			o.Workload.StreamShare, o.Workload.LongShare = 0.5, 0.2
			var ended bool
			r := runLoadDuring(o, func() { ended = stop(f).Terminate(20 * time.Second) })
			Expect(ended).To(BeTrue(), "the process did not end by itself")
			expectCorrectReports(r)
			Expect(r.Broken).To(BeZero(), "%v", r.Details)
			Expect(r.Refused).To(BeEmpty())
		},
		Entry("of a target process", func(f *procfleet.Fleet) *procfleet.Process { return f.Engines[0].Process }),
	)

	It("are completed by an entry during its planned stop", func() {
		f := startFleet(smallFleet)
		o := loadOptions(f, 10, 2*time.Second, 0)
		o.Entries = o.Entries[:1]
		o.Workload.LongShare = 0.5
		r := runLoadDuring(o, func() {
			time.Sleep(1500 * time.Millisecond)
			Expect(f.Entries[0].Process.Terminate(20 * time.Second)).To(BeTrue())
		})
		expectCorrectReports(r)
		Expect(r.Broken).To(BeZero(), "%v", r.Details)
	})
})
