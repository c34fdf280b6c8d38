package containment_test

import (
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/entry/containment"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/relay"
	"agatelanding.example/agatelanding/internal/telemetry"
)

func plain(digest string) relay.Identity {
	return relay.Identity{Digest: func() string { return digest }}
}

// crashUnder lets target i crash under whole requests at an entry.
func (m *mesh) crashUnder(entry, i int, digests ...string) {
	before := records(m.guards[entry])
	m.skipped.Add(int64(time.Second))
	for _, d := range digests {
		m.guards[entry].Broken(target(i), plain(d), i%2 == 0, m.now())
	}
	EventuallyWithOffset(1, func() int { return records(m.guards[entry]) }).WithPolling(2 * time.Millisecond).Should(Equal(before + 1))
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
