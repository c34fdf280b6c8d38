package containment_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/entry/containment"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/recall"
	"agatelanding.example/agatelanding/internal/relay"
	"agatelanding.example/agatelanding/internal/telemetry"
)

func plain(digest string) relay.Identity {
	return relay.Identity{Digest: func() string { return digest }}
}

// crashUnder lets target i crash under whole requests at an entry.
func (m *mesh) crashUnder(entry, i int, digests ...string) {
	before, delivered := records(m.guards[entry]), m.deliveredOf(target(i).ID)
	m.skipped.Add(int64(time.Second))
	for _, d := range digests {
		m.guards[entry].Broken(target(i), plain(d), i%2 == 0, m.now())
	}
	EventuallyWithOffset(1, func() int { return records(m.guards[entry]) }).WithPolling(2 * time.Millisecond).Should(Equal(before + 1))
	EventuallyWithOffset(1, func() int { return m.deliveredOf(target(i).ID) }).WithPolling(2 * time.Millisecond).Should(BeNumerically(">", delivered))
}

func refused(g *containment.Guard, digest string) bool {
	_, b := g.Blocked(plain(digest))
	return b
}

var _ = Describe("A request under which targets crash", func() {
	// Steps as for parts. The answers had begun at every second crash.
	DescribeTable("is quarantined at all entries", func(steps string) {
		m := newMesh(3)
		for i, step := range strings.Fields(steps) {
			switch step {
			case "join":
				m.join()
			case "cut":
				m.cut(2)
			case "heal":
				m.heal()
			default:
				m.crashUnder(int(step[0]-'0'), i, "bad", "other"+step+string(rune('a'+i)))
				m.skipped.Add(int64(500 * time.Millisecond))
			}
		}
		for i, g := range m.guards {
			Eventually(func() bool { return refused(g, "bad") }).Within(time.Second).Should(BeTrue(), "entry %d", i)
			Expect(refused(g, "other")).To(BeFalse())
			Expect(m.metrics[i].Counter("requests_quarantined_total")).To(BeEquivalentTo(1))
			_, requests, _ := g.Status()
			Expect(requests).To(ConsistOf(And(HaveField("Part", "bad"), HaveField("Refused", BeNumerically(">", 0)))))
		}
	},
		Entry("after crashes of which one entry saw all", "0 0 0"),
		Entry("after crashes of which no entry saw two", "0 1 2"),
		Entry("of which some join late", "0 1 join 2 join"),
		Entry("although each side of a partition saw too few crashes", "cut 0 1 2 heal"),
	)

	It("ends where it waits, and is sound once it was answered", func() {
		m := newMesh(2)
		var ended atomic.Int64
		m.guards[1].Watch(plain("bad"), func(c relay.Cause) {
			if c.Digest == "bad" {
				ended.Add(1)
			}
		})
		m.guards[1].Watch(plain("sound"), func(relay.Cause) { ended.Add(100) })
		for i := range 3 {
			m.crashUnder(0, i, "bad", "sound")
			m.guards[1].Answered(plain("sound"))
		}
		Eventually(ended.Load).Should(BeEquivalentTo(1))
		Consistently(ended.Load).WithTimeout(300 * time.Millisecond).Should(BeEquivalentTo(1))
		Expect(refused(m.guards[0], "sound")).To(BeFalse())
	})

	// Guards against evidence that is lost because the address serves again when it is
	// dialled.
	DescribeTable("counts a target whose address accepts connections", func(replaced, leaving bool, crashes int) {
		var gone containment.LeavingTargets
		g := containment.New(containment.Config{
			Entry: "e", Leaving: gone.Has, Replaced: func(*catalog.Target) bool { return replaced },
			Dial: func(string, time.Duration) error { return nil }, Metrics: telemetry.NewMetrics(), Log: telemetry.For("quarantine"),
		})
		g.Broken(target(1), plain("bad"), false, time.Now())
		if leaving {
			gone.Add(target(1))
		}
		Eventually(func() int { return records(g) }).Within(800 * time.Millisecond).Should(Equal(crashes))
		Consistently(func() int { return records(g) }).WithTimeout(500 * time.Millisecond).Should(Equal(crashes))
	},
		Entry("once another incarnation is listed there", true, false, 1),
		Entry("but not while the same one is", false, false, 0),
		Entry("but not if it was about to leave", true, true, 0),
	)

	// Guards against a crash that is noticed late because a connection broke just before it
	// for another reason.
	It("is found at a target that crashes while an earlier break there is looked into", func() {
		var refuses atomic.Bool
		g := containment.New(containment.Config{
			Entry: "e", Replaced: func(*catalog.Target) bool { return false }, Metrics: telemetry.NewMetrics(), Log: telemetry.For("quarantine"),
			Dial: func(string, time.Duration) error {
				if refuses.Load() {
					return syscall.ECONNREFUSED
				}
				return nil
			},
		})
		g.Broken(target(1), plain("reset"), false, time.Now())
		time.Sleep(400 * time.Millisecond)
		refuses.Store(true)
		g.Broken(target(1), plain("bad"), false, time.Now())
		Eventually(func() int { return records(g) }).Within(300 * time.Millisecond).Should(Equal(1))
		Expect(g.Evidence().Crashes).To(ConsistOf(HaveField("Suspects", HaveLen(1))))
	})

	// Guards against a crash that counts against two suspects, because the earlier one runs for
	// longer than its turn.
	It("waits while another suspect is under way at the target of its turn", func() {
		g := containment.New(containment.Config{
			Entry: "e", Dial: func(string, time.Duration) error { return syscall.ECONNREFUSED }, Metrics: telemetry.NewMetrics(), Log: telemetry.For("quarantine"),
			Targets: func(string) []*catalog.Target { return []*catalog.Target{target(8), target(9)} },
		})
		for i := range 2 {
			g.Broken(target(i), plain("a"), false, time.Now())
			g.Broken(target(i), plain("b"), false, time.Now())
			Eventually(func() int { return records(g) }).Should(Equal(i + 1))
		}
		turn := g.Turn(plain("a"), "")
		Expect(turn.Target).NotTo(BeEmpty())
		done := g.Sent(plain("b"), turn.Target)
		Expect(g.Turn(plain("a"), "")).To(And(HaveField("Target", BeEmpty()), HaveField("Wait", BeTrue())))
		done()
		Expect(g.Turn(plain("a"), "")).To(HaveField("Wait", BeFalse()))
	})

	It("avoids the targets where another suspect is under way", func() {
		m := newMesh(1)
		g := m.guards[0]
		m.crashUnder(0, 1, "a", "b")
		Expect(g.Isolate(plain("a"))).To(BeEmpty())
		done := g.Sent(plain("a"), "i-2")
		Expect(g.Isolate(plain("b"))).To(ConsistOf("i-2"))
		Expect(g.Isolate(plain("a"))).To(BeEmpty())
		Expect(g.Isolate(plain("c"))).To(BeEmpty())
		done()
		Expect(g.Isolate(plain("b"))).To(BeEmpty())
	})
})

var _ = Describe("The evidence that target processes keep", func() {
	// start returns the Guard of an entry that has started with nothing, and a function that
	// returns what target processes keep of it.
	start := func() (*containment.Guard, func(recall.Kind) []recall.Fact) {
		var mu sync.Mutex
		memory := recall.NewMemory()
		return containment.New(containment.Config{
				Entry: "e", Metrics: telemetry.NewMetrics(), Log: telemetry.For("quarantine"),
				Dial: func(string, time.Duration) error { return syscall.ECONNREFUSED },
				Remember: func(f recall.Fact) {
					mu.Lock()
					defer mu.Unlock()
					memory.Put(time.Now(), f)
				},
			}), func(k recall.Kind) []recall.Fact {
				mu.Lock()
				defer mu.Unlock()
				return memory.List(time.Now(), k)
			}
	}
	crash := func(g *containment.Guard, i int, digests ...string) {
		before := records(g)
		for _, d := range digests {
			g.Broken(target(i), plain(d), false, time.Now())
		}
		Eventually(func() int { return records(g) }).Should(Equal(before + 1))
	}

	// Guards against a verdict on a sound request because its crashes become known before its
	// answers, from other target processes.
	It("quarantines no request that was answered between its crashes", func() {
		g, kept := start()
		for i := range 3 {
			crash(g, i, "sound")
			time.Sleep(300 * time.Millisecond)
			g.Answered(plain("sound"))
		}
		Eventually(func() int { return len(kept(recall.Crash)) }).Should(Equal(3))
		crashes, begins := kept(recall.Crash), kept(recall.Begin)
		// A pause of this process would let the crashes settle before the begins arrive.
		for inTime := false; !inTime; {
			g, _ = start()
			received := time.Now()
			g.ReceiveFacts(crashes)
			time.Sleep(200 * time.Millisecond)
			g.ReceiveFacts(begins)
			inTime = time.Since(received) < 400*time.Millisecond
		}
		Consistently(func() bool { return refused(g, "sound") }).WithTimeout(time.Second).Should(BeFalse())
		Expect(records(g)).To(Equal(3))
	})

	// Guards against crashes that all entries forget at once.
	It("tells a crashing request from sound ones after all entries have lost power", func() {
		g, kept := start()
		crash(g, 1, "bad", "sound")
		crash(g, 2, "bad", "sound")
		// Times of begins are taken to be late by the transit of a message.
		time.Sleep(300 * time.Millisecond)
		g.Answered(plain("sound"))
		Eventually(func() int { return len(kept(recall.Begin)) }).Should(Equal(1))
		Eventually(func() int { return len(kept(recall.Crash)) }).Should(Equal(2))
		crashes, begins := kept(recall.Crash), kept(recall.Begin)

		g, _ = start()
		g.ReceiveFacts(crashes)
		crash(g, 3, "bad", "sound")
		time.Sleep(200 * time.Millisecond)
		g.ReceiveFacts(begins)
		Eventually(func() bool { return refused(g, "bad") }).Should(BeTrue())
		Consistently(func() bool { return refused(g, "sound") }).WithTimeout(500 * time.Millisecond).Should(BeFalse())
		Expect(g.Facts()).To(ContainElements(HaveField("Kind", recall.Crash), HaveField("Kind", recall.Begin), HaveField("Kind", recall.Verdict)))
	})

	It("holds every request under way at a crash, in facts within their bounds", func() {
		g, kept := start()
		var digests []string
		for i := range 80 {
			digests = append(digests, fmt.Sprintf("%022d", i))
		}
		crash(g, 1, digests...)
		Eventually(func() int { return len(kept(recall.Crash)) }).Should(BeNumerically(">", 1))
		again, _ := start()
		again.ReceiveFacts(kept(recall.Crash))
		Eventually(func() int { return suspects(again) }).Should(Equal(80))
	})

	// Guards against a crash that is dropped because a request was sent after the first
	// connection broke and before the crash was known.
	It("holds requests that were sent just after the first connection broke", func() {
		g, kept := start()
		g.Broken(target(1), plain("first"), false, time.Now())
		g.Broken(target(1), plain("later"), false, time.Now().Add(20*time.Millisecond))
		Eventually(func() int { return len(kept(recall.Crash)) }).Should(Equal(1))
		again, _ := start()
		again.ReceiveFacts(kept(recall.Crash))
		Eventually(func() int { return suspects(again) }).Should(Equal(2))
	})

	DescribeTable("is ignored if it is malformed", func(f recall.Fact) {
		g, _ := start()
		f.At, f.TTL = time.Now(), time.Minute
		g.ReceiveFacts([]recall.Fact{f})
		Consistently(func() int { return records(g) }).WithTimeout(700 * time.Millisecond).Should(BeZero())
	},
		Entry("no crash", recall.Fact{Kind: recall.Crash, Key: "k", Value: []byte("x")}),
		Entry("a crash of no target", recall.Fact{Kind: recall.Crash, Key: "k", Value: []byte("\x80")}),
		Entry("a suspect without parts", recall.Fact{Kind: recall.Crash, Key: "k", Value: []byte("\x82\xa1t\xa1x\xa1s\x91\x80")}),
	)
})

// suspects returns the number of requests in the crash records of a Guard.
func suspects(g *containment.Guard) (n int) {
	for _, c := range g.Evidence().Crashes {
		n += len(c.Suspects)
	}
	return n
}
