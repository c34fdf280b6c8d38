//go:build faults

package faults_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/procfleet"
)

// versionHistory records which adapter versions may answer a request while the
// tables change. A version is allowed from its publication until every entry has
// put a later one in force.
type versionHistory struct {
	mu      sync.Mutex
	periods []allowedPeriod
}

// allowedPeriod is the period in which a version is allowed; until is zero while
// the period has not ended.
type allowedPeriod struct {
	version     string
	from, until time.Time
}

// publish records that a version is published now.
func (h *versionHistory) publish(version string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.periods = append(h.periods, allowedPeriod{version: version, from: time.Now()})
}

// retire ends the periods of all versions but the last.
func (h *versionHistory) retire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.periods[:len(h.periods)-1] {
		if h.periods[i].until.IsZero() {
			h.periods[i].until = time.Now()
		}
	}
}

// allowed returns the names of the versions of a model that may answer a request
// that ran from started to ended.
func (h *versionHistory) allowed(model string, started, ended time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for _, p := range h.periods {
		if p.from.Before(ended) && (p.until.IsZero() || p.until.After(started)) {
			names = append(names, model+"@"+p.version)
		}
	}
	return names
}

var _ = Describe("Adapters and versions", func() {
	// All routes change their version several times under load, once back to an
	// earlier one. A request that starts after a change is in force everywhere
	// must be answered by the new version.
	DescribeTable("match the tables while the tables change",
		func(prepare func(f *procfleet.Fleet)) {
			f := startFleet(procfleet.Options{Entries: 3, Engines: 2, Adapters: 4, Slots: 8, OwnConfigs: true, Relays: true})
			h := &versionHistory{}
			h.publish("v1")
			o := loadOptions(f, 15, 0, 0)
			o.AllowedAnswers = h.allowed
			o.Workload.StreamShare, o.Workload.LongShare = 0.5, 0.2
			r := runLoadUntil(o, func() {
				prepare(f)
				for _, v := range []string{"v2", "v1", "v3"} {
					for i := range f.Routes.Routes {
						f.Routes.Routes[i].Version = v
					}
					h.publish(v)
					Expect(f.Publish()).To(Succeed())
					Eventually(func() []uint64 { return entryRevisions(f) }, 19*time.Second, 20*time.Millisecond).Should(HaveEach(f.Revision))
					h.retire()
					time.Sleep(time.Second)
				}
			})
			expectCorrectReports(r)
			expectNoEvictionInUse(f)
			Expect(r.Broken).To(BeZero(), "%v", r.Details)
			Expect(r.Right).To(BeNumerically(">=", r.Sent*9/10), "refused: %v", r.Refused)
		},
		Entry("without a fault", func(*procfleet.Fleet) {}),
		Entry("with the configuration service of one entry down", func(f *procfleet.Fleet) { post(f.Entries[1].ConfigURL + "/control?down=true") }),
		Entry("with the configuration service of one entry stale", func(f *procfleet.Fleet) { post(f.Entries[1].ConfigURL + "/control?stale=true") }),
		Entry("with one configuration service stale, one down and delayed data", func(f *procfleet.Fleet) {
			post(f.Entries[1].ConfigURL + "/control?stale=true")
			post(f.Entries[2].ConfigURL + "/control?down=true")
			post(f.Engines[0].RelayControlURL + "/delay?ms=100")
		}),
	)
})

var _ = Describe("Adapter slots", func() {
	// With few slots, many adapters and long answers, adapters are loaded and
	// unloaded all the time. The engine counts orders to unload an adapter in
	// use.
	DescribeTable("are not taken from running requests",
		func(ignoreFence bool, fault func(f *procfleet.Fleet)) {
			f := startFleet(procfleet.Options{Entries: 2, Engines: 2, Adapters: 8, Slots: 2, IgnoreFence: ignoreFence})
			o := loadOptions(f, 6, 6*time.Second, 0)
			o.Workload.LongShare, o.Workload.StreamShare = 0.5, 0.5
			r := runLoadDuring(o, func() { fault(f) })
			expectCorrectReports(r)
			expectNoEvictionInUse(f)
			Expect(r.Right).To(BeNumerically(">=", r.Sent/2), "refused: %v, %v", r.Refused, r.Details)
		},
		Entry("no fault", false, func(*procfleet.Fleet) {}),
		Entry("no fault, engines ignore fencing", true, func(*procfleet.Fleet) {}),
		Entry("target process frozen", false, func(f *procfleet.Fleet) { f.Engines[0].Process.Freeze(2 * time.Second) }),
		Entry("target process frozen, engines ignore fencing", true, func(f *procfleet.Fleet) { f.Engines[0].Process.Freeze(2 * time.Second) }),
		Entry("target process restarted at once", false, restartFirst),
		Entry("target process restarted at once, engines ignore fencing", true, restartFirst),
		Entry("target process frozen, then restarted", true, func(f *procfleet.Fleet) {
			f.Engines[0].Process.Freeze(1500 * time.Millisecond)
			restartFirst(f)
		}),
		Entry("engine slow, then restarted empty", false, func(f *procfleet.Fleet) {
			post(f.Engines[0].BackendURL + "/control?slow=4")
			time.Sleep(time.Second)
			post(f.Engines[0].BackendURL + "/control?slow=1&restart=true")
		}),
	)

	// An engine continues the runs of a killed target process. They occupy the
	// batch and adapter slots for callers that no longer wait.
	It("are freed of the runs of a killed target process", func() {
		f := startFleet(procfleet.Options{Entries: 1, Engines: 1, Adapters: 2, Slots: 2})
		post(f.Engines[0].BackendURL + "/control?slow=20")
		o := loadOptions(f, 4, 1500*time.Millisecond, 0)
		o.RequestTimeout, o.Workload.Tokens = 3*time.Second, 2000
		runLoadDuring(o, func() {
			engineState := func() string { _, body := procfleet.Get(f.Engines[0].BackendURL + "/v1/state"); return body }
			Eventually(engineState, 3*time.Second).ShouldNot(ContainSubstring(`"running":[]`))
			f.Entries[0].Process.Kill()
			restartFirst(f)
			Eventually(engineState, 5*time.Second).Should(ContainSubstring(`"running":[]`))
		})
	})
})

// restartFirst kills the target process of the first engine and starts it again at
// once.
func restartFirst(f *procfleet.Fleet) { restart(f.Engines[0]) }

var _ = Describe("Streamed answers", func() {
	// cutInTurn cuts the connections of one target at a time, so that the others
	// can serve.
	cutInTurn := func(f *procfleet.Fleet) {
		for i := range 6 {
			toggle(1, f.Engines[i%3:i%3+1], "/cut", "/heal", 250*time.Millisecond)
		}
	}

	DescribeTable("reach their own caller completely",
		func(minRightShare float64, fault func(f *procfleet.Fleet)) {
			f := startFleet(procfleet.Options{Entries: 2, Engines: 3, Adapters: 9, Slots: 6, Relays: true})
			o := loadOptions(f, 12, 6*time.Second, 0)
			o.Workload.StreamShare, o.Workload.LongShare = 1, 0.5
			r := runLoadDuring(o, func() { fault(f) })
			expectCorrectReports(r)
			Expect(r.Broken).To(BeZero(), "%v", r.Details)
			Expect(float64(r.Right)).To(BeNumerically(">=", minRightShare*float64(r.Sent)), "refused: %v", r.Refused)
		},
		// While no target can be reached, requests are refused as not run, so
		// that a smaller share is answered.
		Entry("all connections cut at the same time, four times", 0.5, func(f *procfleet.Fleet) {
			toggle(4, f.Engines, "/cut", "/heal", 300*time.Millisecond)
		}),
		Entry("connections cut in turn", 0.9, cutInTurn),
		Entry("data of one target delayed", 0.9, func(f *procfleet.Fleet) { post(f.Engines[0].RelayControlURL + "/delay?ms=400") }),
		Entry("data of each target delayed in turn, so that hedged attempts overlap", 0.9, func(f *procfleet.Fleet) {
			for i := range 8 {
				post(f.Engines[i%3].RelayControlURL + "/delay?ms=500")
				time.Sleep(300 * time.Millisecond)
				post(f.Engines[i%3].RelayControlURL + "/delay?ms=0")
			}
		}),
		Entry("data of one target delayed and connections cut in turn", 0.9, func(f *procfleet.Fleet) {
			post(f.Engines[1].RelayControlURL + "/delay?ms=200")
			cutInTurn(f)
		}),
		Entry("engine streams cut", 0.9, func(f *procfleet.Fleet) {
			for _, u := range f.Engines {
				post(u.BackendURL + "/control?cut_next=4")
			}
		}),
		Entry("engine streams and connections cut", 0.9, func(f *procfleet.Fleet) {
			for _, u := range f.Engines {
				post(u.BackendURL + "/control?cut_next=4")
			}
			cutInTurn(f)
		}),
	)
})
