//go:build faults

package faults_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/procfleet"
)

// history tells which versions a request may be answered with while the tables
// change. A version counts from its publication until every entry has put a
// later one in force.
type history struct {
	mu    sync.Mutex
	spans []span
}

type span struct {
	version     string
	from, until time.Time
}

func (h *history) publish(version string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.spans = append(h.spans, span{version: version, from: time.Now()})
}

// retire ends all versions but the last.
func (h *history) retire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.spans[:len(h.spans)-1] {
		if h.spans[i].until.IsZero() {
			h.spans[i].until = time.Now()
		}
	}
}

func (h *history) allowed(model string, started, ended time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for _, s := range h.spans {
		if s.from.Before(ended) && (s.until.IsZero() || s.until.After(started)) {
			names = append(names, model+"@"+s.version)
		}
	}
	return names
}

var _ = Describe("Adapters and versions", func() {
	// Every route changes its version forth and back under load. A request
	// that starts after a change is in force everywhere must get the new one.
	DescribeTable("are the ones of the tables while the tables change",
		func(prepare func(f *procfleet.Fleet)) {
			f := start(procfleet.Options{Entries: 3, Engines: 2, Adapters: 4, Slots: 8, OwnConfigs: true, Relays: true})
			h := &history{}
			h.publish("v1")
			o := options(f, 15, 0, 0)
			o.Allowed = h.allowed
			o.Workload.StreamShare, o.Workload.LongShare = 0.5, 0.2
			r := until(o, func() {
				prepare(f)
				for _, v := range []string{"v2", "v1", "v3"} {
					for i := range f.Routes.Routes {
						f.Routes.Routes[i].Version = v
					}
					h.publish(v)
					Expect(f.Publish()).To(Succeed())
					Eventually(func() []uint64 { return revisions(f) }, 19*time.Second, 20*time.Millisecond).Should(HaveEach(f.Revision))
					h.retire()
					time.Sleep(time.Second)
				}
			})
			expectTruthful(r)
			expectNoEvictionInUse(f)
			Expect(r.Broken).To(BeZero(), "%v", r.Details)
			Expect(r.Right).To(BeNumerically(">=", r.Sent*9/10), "refused: %v", r.Refused)
		},
		Entry("at every entry", func(*procfleet.Fleet) {}),
		Entry("with one entry cut off from its service", func(f *procfleet.Fleet) { post(f.Entries[1].Config + "/control?down=true") }),
		Entry("with one entry beside a stale service", func(f *procfleet.Fleet) { post(f.Entries[1].Config + "/control?stale=true") }),
		Entry("with one entry stale, one cut off and late frames", func(f *procfleet.Fleet) {
			post(f.Entries[1].Config + "/control?stale=true")
			post(f.Entries[2].Config + "/control?down=true")
			post(f.Engines[0].RelayControl + "/delay?ms=100")
		}),
	)
})

var _ = Describe("Adapter slots", func() {
	// Few slots, many adapters and long answers: the slots change hands all
	// the time. The engine counts orders to unload an adapter in use.
	DescribeTable("are not taken from running requests",
		func(ignoreFence bool, fault func(f *procfleet.Fleet)) {
			f := start(procfleet.Options{Entries: 2, Engines: 2, Adapters: 8, Slots: 2, IgnoreFence: ignoreFence})
			o := options(f, 6, 6*time.Second, 0)
			o.Workload.LongShare, o.Workload.StreamShare = 0.5, 0.5
			r := during(o, func() { fault(f) })
			expectTruthful(r)
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
		Entry("every answer slow, then the engine empty", false, func(f *procfleet.Fleet) {
			post(f.Engines[0].BackendURL + "/control?slow=4")
			time.Sleep(time.Second)
			post(f.Engines[0].BackendURL + "/control?slow=1&restart=true")
		}),
	)

	// The engine goes on with the runs of a dead target process, which then
	// hold batch places and slots for callers that are long gone.
	It("are freed of the runs of a dead target process", func() {
		f := start(procfleet.Options{Entries: 1, Engines: 1, Adapters: 2, Slots: 2})
		post(f.Engines[0].BackendURL + "/control?slow=20")
		o := options(f, 4, 1500*time.Millisecond, 0)
		o.Timeout, o.Workload.Tokens = 3*time.Second, 2000
		during(o, func() {
			running := func() string { _, body := procfleet.Get(f.Engines[0].BackendURL + "/v1/state"); return body }
			Eventually(running, 3*time.Second).ShouldNot(ContainSubstring(`"running":[]`))
			f.Entries[0].Process.Kill()
			restartFirst(f)
			Eventually(running, 5*time.Second).Should(ContainSubstring(`"running":[]`))
		})
	})
})

// restartFirst kills the first target process beside an engine and starts it
// at once.
func restartFirst(f *procfleet.Fleet) { restart(f.Engines[0]) }

var _ = Describe("Streamed answers", func() {
	// One target after the other is cut off, so that others can serve.
	cut := func(f *procfleet.Fleet) {
		for i := range 6 {
			repeatedly(1, f.Engines[i%3:i%3+1], "/cut", "/heal", 250*time.Millisecond)
		}
	}

	DescribeTable("reach their own caller whole",
		func(share float64, fault func(f *procfleet.Fleet)) {
			f := start(procfleet.Options{Entries: 2, Engines: 3, Adapters: 9, Slots: 6, Relays: true})
			o := options(f, 12, 6*time.Second, 0)
			o.Workload.StreamShare, o.Workload.LongShare = 1, 0.5
			r := during(o, func() { fault(f) })
			expectTruthful(r)
			Expect(r.Broken).To(BeZero(), "%v", r.Details)
			Expect(float64(r.Right)).To(BeNumerically(">=", share*float64(r.Sent)), "refused: %v", r.Refused)
		},
		// While no target can be reached, requests are refused as not run.
		Entry("all connections cut at once, again and again", 0.5, func(f *procfleet.Fleet) {
			repeatedly(4, f.Engines, "/cut", "/heal", 300*time.Millisecond)
		}),
		Entry("connections cut in turn", 0.9, cut),
		Entry("frames late at one target", 0.9, func(f *procfleet.Fleet) { post(f.Engines[0].RelayControl + "/delay?ms=400") }),
		Entry("frames late by turns, so that hedges cross", 0.9, func(f *procfleet.Fleet) {
			for i := range 8 {
				post(f.Engines[i%3].RelayControl + "/delay?ms=500")
				time.Sleep(300 * time.Millisecond)
				post(f.Engines[i%3].RelayControl + "/delay?ms=0")
			}
		}),
		Entry("frames late and connections cut", 0.9, func(f *procfleet.Fleet) {
			post(f.Engines[1].RelayControl + "/delay?ms=200")
			cut(f)
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
			cut(f)
		}),
	)
})
