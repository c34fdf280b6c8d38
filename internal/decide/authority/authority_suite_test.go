package authority_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatelanding.example/agatelanding/internal/decide/authority"
	_ "agatelanding.example/agatelanding/internal/rapidseed"
)

func TestAuthority(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "authority")
}

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func view(incarnation int64, fence uint64) authority.FenceState {
	return authority.FenceState{Incarnation: incarnation, Fence: fence, ChecksFence: true}
}

// guardWithAuthority returns a guard that holds authority with fencing number 5
// on engine incarnation 1.
func guardWithAuthority() *authority.Guard {
	g := authority.New(start)
	g.HandleProbe(g.StartProbe(), view(1, 4))
	g.FenceAccepted(view(1, 5), g.NextFence(view(1, 4)))
	return g
}

var _ = Describe("Guard", func() {
	It("has no authority before it has taken a fencing number", func() {
		g := authority.New(start)
		Expect(g.HoldsAuthority()).To(BeFalse())
		Expect(g.HandleProbe(g.StartProbe(), view(0, 0))).To(Equal(authority.NeedsFence))
		Expect(g.HoldsAuthority()).To(BeFalse())
		Expect(g.FenceAccepted(view(0, 1), g.NextFence(view(0, 0)))).To(BeTrue())
		Expect(g.HoldsAuthority()).To(BeTrue())
	})

	// The wall clock jumps forward over a suspension of the VM, and a backward
	// step can hide one. Small steps are ordinary clock corrections.
	DescribeTable("detects a pause",
		func(times []int, want bool) {
			g := guardWithAuthority()
			paused := false
			for _, ms := range times {
				paused = g.DetectPause(at(ms)) || paused
			}
			Expect([]bool{paused, g.HoldsAuthority()}).To(Equal([]bool{want, !want}))
		},
		Entry("regular ticks", []int{50, 100, 1100}, false),
		Entry("a long gap", []int{50, 1051}, true),
		Entry("a small step back", []int{500, 300, 1400}, false),
		Entry("a large step back", []int{5, -1500}, true),
		Entry("a gap before a small step back", []int{900, 0, 1901}, true),
	)

	DescribeTable("returns authority only with the result of a later probe",
		func(disturb func(*authority.Guard), seen authority.FenceState, change authority.ProbeOutcome, holds bool) {
			g := guardWithAuthority()
			earlierProbe := g.StartProbe()
			disturb(g)
			Expect(g.HoldsAuthority()).To(BeFalse())
			Expect(g.HandleProbe(earlierProbe, seen)).To(Or(Equal(authority.Outdated), Equal(authority.Superseded)))
			Expect(g.HoldsAuthority()).To(BeFalse())
			Expect(g.HandleProbe(g.StartProbe(), seen)).To(Equal(change))
			Expect(g.HoldsAuthority()).To(Equal(holds))
		},
		Entry("a pause", pause, view(1, 5), authority.Unchanged, true),
		Entry("a refused order that was sent with an old number", (*authority.Guard).OrderFenced, view(1, 5), authority.Unchanged, true),
		Entry("a refused order and a higher number", (*authority.Guard).OrderFenced, view(1, 6), authority.Superseded, false),
		Entry("a pause and a higher number", pause, view(1, 6), authority.Superseded, false),
		Entry("a pause and an engine restart", pause, view(2, 0), authority.NeedsFence, false),
		Entry("a pause and a higher number on a restarted engine", pause, view(2, 6), authority.NeedsFence, false),
		Entry("a pause at an engine that does not check fencing numbers", pause, authority.FenceState{Incarnation: 1, Fence: 9}, authority.Unchanged, true),
		Entry("two pauses", func(g *authority.Guard) { pause(g); g.DetectPause(at(20_000)) }, view(1, 5), authority.Unchanged, true),
		Entry("a pause while a new number is being taken", func(g *authority.Guard) {
			g.HandleProbe(g.StartProbe(), view(2, 0))
			pause(g)
			g.FenceAccepted(view(2, 6), g.NextFence(view(2, 0)))
		}, view(2, 6), authority.Unchanged, true),
	)

	DescribeTable("has no authority after it has taken a fencing number",
		func(prepare func(*authority.Guard), after authority.FenceState, superseded bool) {
			g := guardWithAuthority()
			prepare(g)
			g.NextFence(view(2, 0))
			Expect(g.FenceAccepted(after, 6)).To(BeFalse())
			Expect([]bool{g.HoldsAuthority(), g.Superseded()}).To(Equal([]bool{false, superseded}))
		},
		Entry("requested after a pause without a new probe", pause, view(2, 6), false),
		Entry("while another process has taken a higher one", func(*authority.Guard) {}, view(2, 7), true),
		Entry("after it was superseded", supersede, view(2, 6), true),
	)

	// Otherwise the old and the new process would take the engine from each other
	// again and again.
	DescribeTable("never takes authority again once superseded",
		func(seen authority.FenceState) {
			g := guardWithAuthority()
			supersede(g)
			Expect(g.HandleProbe(g.StartProbe(), seen)).To(Equal(authority.Superseded))
			Expect(g.FenceAccepted(seen, seen.Fence+1)).To(BeFalse())
			Expect(g.HoldsAuthority()).To(BeFalse())
		},
		Entry("same engine", view(1, 7)),
		Entry("after an engine restart", view(2, 0)),
		Entry("same engine without the higher number", view(1, 0)),
	)

	// If the reply to a request for a number is lost, the engine holds a higher
	// number although no other process took over.
	It("takes the next number if the reply to its own request was lost", func() {
		g := guardWithAuthority()
		g.NextFence(view(1, 5))
		Expect(g.HandleProbe(g.StartProbe(), view(1, 6))).To(Equal(authority.NeedsFence))
		Expect(g.NextFence(view(1, 6))).To(BeEquivalentTo(7))
	})

	It("holds authority only with a probe that was sent after its last pause", func() { rapid.Check(GinkgoT(), checkTwoProcesses) })
})

func pause(g *authority.Guard) { g.DetectPause(at(10_000)) }

func supersede(g *authority.Guard) { g.HandleProbe(g.StartProbe(), view(1, 6)) }

// checkTwoProcesses lets two guards take over one engine in random order with
// delayed probe results. A guard must not hold authority by the result of a probe
// that was sent before its last pause.
func checkTwoProcesses(t *rapid.T) {
	type probeResult struct {
		number uint64
		view   authority.FenceState
	}
	type process struct {
		*authority.Guard
		now                   time.Time
		lastProbe, pauseProbe uint64
		results               []probeResult
	}
	engine := view(1, 0)
	processes := []*process{{Guard: authority.New(start), now: start}, {Guard: authority.New(start), now: start}}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		p := processes[rapid.IntRange(0, 1).Draw(t, "process")]
		switch step := rapid.IntRange(0, 5).Draw(t, "step"); {
		case step == 0:
			p.now = p.now.Add(time.Duration(rapid.SampledFrom([]int{50, 5000}).Draw(t, "gap")) * time.Millisecond)
			if p.DetectPause(p.now) {
				p.pauseProbe = p.lastProbe
			}
		case step == 1:
			p.lastProbe = p.StartProbe()
			p.results = append(p.results, probeResult{p.lastProbe, engine})
		case step == 4:
			engine = view(engine.Incarnation+1, 0)
		case step == 5 && p.HoldsAuthority() && p.Fence() < engine.Fence:
			p.OrderFenced()
		case len(p.results) > 0:
			seen := p.results[0]
			p.results = p.results[1:]
			if p.HandleProbe(seen.number, seen.view) == authority.NeedsFence {
				if fence := p.NextFence(seen.view); fence > engine.Fence {
					engine.Fence = fence
					p.FenceAccepted(engine, fence)
				}
			}
			if p.HoldsAuthority() && seen.number <= p.pauseProbe {
				t.Fatalf("authority by probe %d, sent before the pause that followed probe %d", seen.number, p.pauseProbe)
			}
		}
	}
}
