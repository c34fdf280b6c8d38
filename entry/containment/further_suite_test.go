package containment_test

import (
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/entry/containment"
	"agatelanding.example/agatelanding/entry/peers"
	"agatelanding.example/agatelanding/internal/decide/quarantine"
	"agatelanding.example/agatelanding/internal/relay"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/platform"
)

// longPrompt returns a request with n shared parts, one of which may be replaced, and one of its
// own.
func longPrompt(n, place int, id, own string) relay.Identity {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("a%x", i))
	}
	list[place] = id
	list = append(list, own)
	r := prompted(list...)
	r.PromptParts, r.AllParts = append(slices.Clone(list[:7]), own), slices.Values(list)
	return r
}

// crashMany lets target i crash under attempts at the first entry. They may be more than it gathers
// in time, so that it records the crash in several pieces.
func (m *mesh) crashMany(i int, requests []relay.Identity) {
	before := records(m.guards[0])
	m.skipped.Add(int64(time.Second))
	for _, r := range requests {
		m.guards[0].Broken(target(i), r, false, m.now())
	}
	EventuallyWithOffset(1, func() int { return records(m.guards[0]) }).Should(Equal(before + 1))
}

func blockedPrompt(m *mesh, r relay.Identity) func() []bool {
	return func() (list []bool) {
		for _, g := range m.guards {
			_, b := g.Blocked(r)
			list = append(list, b)
		}
		return list
	}
}

var _ = Describe("Prompts of many parts", func() {
	// Guards against a crashing part that no entry finds because of its place (review/10): each
	// of the crashes is seen by another entry.
	DescribeTable("do not hide a part that crashes targets", func(n, place int) {
		m := newMesh(3)
		for i := range 4 {
			m.crashPrompts(i%3, i, longPrompt(n, place, "bad", fmt.Sprint("own", i)), longPrompt(n, place, "c1", fmt.Sprint("sound", i)))
			for _, g := range m.guards {
				g.Began(longPrompt(n, place, "c1", fmt.Sprint("served", i)))
			}
		}
		Eventually(blockedPrompt(m, longPrompt(n, place, "bad", "next"))).Should(Equal([]bool{true, true, true}))
		Expect(blockedPrompt(m, longPrompt(n, place, "c1", "next"))()).To(Equal([]bool{false, false, false}))
		Expect(blockedPrompt(m, prompted("bad", "own"))()).To(Equal([]bool{true, true, true}), "in a short prompt")
	},
		Entry("the eighth of ten", 9, 7),
		Entry("the ninth of ten", 9, 8),
		Entry("in the middle of 300", 300, 150),
		Entry("just before the last of 1,200", 1199, 1198),
	)

	It("are ended while they are open when a verdict comes", func() {
		m := newMesh(1)
		ended := make(chan relay.Cause, 2)
		stop := m.guards[0].Watch(longPrompt(40, 30, "bad", "open"), func(c relay.Cause) { ended <- c })
		defer stop()
		defer m.guards[0].Watch(longPrompt(40, 30, "c1", "bad"), func(c relay.Cause) { ended <- c })()
		for i := range 4 {
			m.crashPrompts(0, i, longPrompt(40, 30, "bad", fmt.Sprint("own", i)))
			m.guards[0].Began(longPrompt(40, 30, "c1", "served"))
		}
		Eventually(ended).Should(Receive(Equal(relay.Cause{Part: "bad"})))
		Consistently(ended, "200ms").ShouldNot(Receive())
	})

	// Guards against evidence of short prompts that is lost between builds: the former one takes
	// the first parts and the last one of each suspect.
	It("leave the evidence that a former build takes as it was", func() {
		m := newMesh(1)
		m.crashPrompts(0, 1, longPrompt(40, 30, "bad", "own"), prompted("f0", "c1", "own2"))
		e := m.guards[0].Evidence()
		for _, c := range e.Crashes {
			for _, s := range c.Suspects {
				Expect(s.Further).To(BeEmpty())
				Expect(len(s.Parts)).To(BeNumerically("<=", 8))
			}
		}
		Expect(fmt.Sprint(e.Crashes)).To(And(ContainSubstring("f0 c1"), ContainSubstring("a0 a1 a2 a3 a4 a5 a6")))
		Expect(fmt.Sprint(e.Further)).To(ContainSubstring("bad"))

		// The other way round: records without further parts.
		former := newMesh(1)
		for i := range 3 {
			m.crashPrompts(0, 10+i, prompted("f0", "worse", fmt.Sprint("own", i)))
		}
		e = m.guards[0].Evidence()
		former.skipped.Store(m.skipped.Load())
		former.guards[0].Receive(peers.Evidence{Crashes: e.Crashes, Verdicts: e.Verdicts})
		Eventually(func() bool { return blocked(former.guards[0], "f0", "worse", "next") }).Should(BeTrue())
	})

	// Guards against sound parts that an entry quarantines which knows the crashes without the
	// further part that explains them: one that starts, or one of the former build.
	It("do not count against their sound parts at an entry that has not got the further ones", func() {
		m := newMesh(2)
		others := newMesh(2)
		former, late := others.guards[0], others.guards[1]
		others.cut(0)
		m.mu.Lock()
		m.tap = func(e peers.Evidence) {
			others.skipped.Store(m.skipped.Load())
			former.Receive(peers.Evidence{Crashes: e.Crashes, Begins: e.Begins, Verdicts: e.Verdicts})
		}
		m.mu.Unlock()
		crash := func(i int) {
			m.crashPrompts(i%2, i, longPrompt(300, 200, "bad", fmt.Sprint("own", i)))
		}
		for i := range 3 {
			crash(i)
			m.guards[i%2].Began(longPrompt(300, 200, "c1", fmt.Sprint("served", i)))
		}
		crash(3)
		Eventually(blockedPrompt(m, longPrompt(300, 200, "bad", "next"))).Should(Equal([]bool{true, true}))
		// Requests that were under way crash some more.
		for i := range 3 {
			crash(4 + i)
		}
		others.skipped.Store(m.skipped.Load() + int64(time.Second))
		e := m.guards[0].Evidence()
		late.Receive(peers.Evidence{Crashes: e.Crashes, Begins: e.Begins, Verdicts: e.Verdicts})
		for _, g := range []*containment.Guard{late, former} {
			Consistently(func() bool {
				_, b := g.Blocked(longPrompt(300, 200, "c1", "next"))
				return b
			}, "700ms").Should(BeFalse())
			_, b := g.Blocked(prompted("bad", "own"))
			Expect(b).To(BeTrue())
		}
	})

	// Guards against memory that grows with what clients send: long prompts of ever new parts, of
	// which many are under way at each crash.
	It("take a bounded memory", func() {
		heap := func() int64 {
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return int64(m.HeapAlloc)
		}
		before := heap()
		m := newMesh(1)
		for i := range 24 {
			var list []relay.Identity
			for s := range 32 {
				var parts []string
				for p := range 2400 {
					parts = append(parts, fmt.Sprintf("%08x", (i*32+s)<<12+p))
				}
				r := prompted(parts...)
				r.PromptParts, r.AllParts = parts[:7:7], slices.Values(parts)
				list = append(list, r)
			}
			m.crashMany(i, list)
		}
		used := heap() - before
		GinkgoWriter.Println(used, "bytes")
		// The 4 MB of short prompts, and as much again twice for further parts.
		Expect(used).To(BeNumerically("<", 12<<20))
		runtime.KeepAlive(m)
	})

	// Guards against bytes that grow with what clients send: many long prompts at each crash.
	It("cost a bounded number of bytes between entries", func() {
		m := newMesh(2)
		m.recordsFurther = true
		var sent, pieces int
		for i := range 8 {
			var list []relay.Identity
			for s := range 8 {
				r := longPrompt(2400, 2000, fmt.Sprintf("bad%d", i), fmt.Sprintf("own%d-%d", i, s))
				junk := fmt.Sprintf("%x%x", i, s)
				parts := r.Parts()
				for i := range parts {
					parts[i] += junk
				}
				r.AllParts = slices.Values(parts)
				list = append(list, r)
			}
			m.crashMany(i, list)
		}
		m.mu.Lock()
		for _, e := range m.further {
			pieces++
			sent += len(e)
		}
		m.recordsFurther, m.further = false, nil
		m.mu.Unlock()
		Expect(pieces).To(BeNumerically(">", 0))
		// A burst, and what 9 s of the Guards' clock allow two entries.
		Expect(sent).To(BeNumerically("<=", 32<<10+9*128<<10+pieces*16))
		var logged strings.Builder
		for _, g := range m.guards {
			logged.WriteString(fmt.Sprint(g.Evidence().Crashes))
		}
		Expect(logged.String()).To(ContainSubstring("a0"))
	})
})

// The cost of the guard for one request with a long prompt, without a suspected part and while one
// is quarantined.
func BenchmarkLongRequest(b *testing.B) {
	for _, parts := range []int{40, 1200} {
		for _, quarantined := range []bool{false, true} {
			b.Run(fmt.Sprint(parts, quarantined), func(b *testing.B) {
				g := containment.New(containment.Config{Metrics: telemetry.NewMetrics(), Log: telemetry.For("quarantine")})
				if quarantined {
					g.Receive(peers.Evidence{Verdicts: []quarantine.Verdict{{Part: "bad", Generation: 1, Quarantined: true, Since: time.Now()}}})
				}
				var pairs []string
				for i := range parts {
					pairs = append(pairs, fmt.Sprintf("%08x:40", i))
				}
				header := http.Header{"Prompt-Prefix": {strings.Join(pairs, ",")}}
				for b.Loop() {
					m := platform.HeaderCodec{}.ParseRequest(header)
					r := relay.Identity{PromptParts: m.PromptParts, AllParts: m.AllParts, Digest: func() string { return "d" }}
					stop := g.Watch(r, func(relay.Cause) {})
					g.Blocked(r)
					g.Began(r)
					stop()
				}
			})
		}
	}
}
