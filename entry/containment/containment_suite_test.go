package containment_test

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/entry/containment"
	"agatelanding.example/agatelanding/entry/peers"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/quarantine"
	"agatelanding.example/agatelanding/internal/relay"
	"agatelanding.example/agatelanding/internal/telemetry"
)

func TestContainment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "containment")
}

// contact is the time after which all entries must know of what has happened.
const contact = 3 * time.Second

var _ = BeforeSuite(func() {
	Expect(telemetry.SetupLogs(GinkgoWriter, "info")).To(Succeed())
	SetDefaultEventuallyTimeout(contact)
})

// mesh joins Guards in memory. Each is on a side of a partition.
type mesh struct {
	mu      sync.Mutex
	guards  []*containment.Guard
	metrics []*telemetry.Metrics
	side    []int
	// begins counts the begins that were broadcast, dials the targets that were dialed,
	// with the outcome dialErr.
	begins, dials int
	// delivered counts the broadcasts of the crash of each target that have reached the other
	// Guards.
	delivered map[string]int
	dialErr   error
	leaving   containment.LeavingTargets
	// tap gets what is broadcast, if it is not nil.
	tap func(peers.Evidence)
	// further are the further parts of each record that was broadcast while recordsFurther is set,
	// as in a message.
	recordsFurther bool
	further        []string
	// skipped is the time by which the clock of the Guards is ahead.
	skipped atomic.Int64
}

func newMesh(n int) *mesh {
	m := &mesh{delivered: make(map[string]int), dialErr: &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}}
	for range n {
		m.join()
	}
	return m
}

func (m *mesh) now() time.Time { return time.Now().Add(time.Duration(m.skipped.Load())) }

// join adds a Guard. It gets what the others have, as on a new connection.
func (m *mesh) join() {
	i, metrics := len(m.guards), telemetry.NewMetrics()
	g := containment.New(containment.Config{
		Entry: fmt.Sprint("entry-", i), Metrics: metrics, Log: telemetry.For("quarantine"), Leaving: m.leaving.Has, Now: m.now,
		Broadcast: func(e peers.Evidence) { m.broadcast(i, e) },
		Dial: func(string, time.Duration) error {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.dials++
			return m.dialErr
		},
	})
	m.mu.Lock()
	m.guards, m.side, m.metrics = append(m.guards, g), append(m.side, 0), append(m.metrics, metrics)
	m.mu.Unlock()
	for _, other := range m.guards[:i] {
		g.Receive(other.Evidence())
	}
}

func (m *mesh) broadcast(from int, e peers.Evidence) {
	m.mu.Lock()
	m.begins += len(e.Begins)
	if m.tap != nil {
		defer m.tap(e)
	}
	for _, c := range e.Further {
		if !m.recordsFurther {
			break
		}
		m.further = append(m.further, quarantine.FormatFurther(c.Suspects[0].Further))
	}
	var to []*containment.Guard
	for i, g := range m.guards {
		if i != from && m.side[i] == m.side[from] {
			to = append(to, g)
		}
	}
	m.mu.Unlock()
	for _, g := range to {
		g.Receive(e)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range e.Crashes {
		m.delivered[c.Target]++
	}
}

// deliveredOf returns the number of broadcasts of the crash of a target.
func (m *mesh) deliveredOf(target string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.delivered[target]
}

// cut puts a Guard on the other side of a partition.
func (m *mesh) cut(i int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.side[i] = 1
}

// heal ends a partition: connections are opened again.
func (m *mesh) heal() {
	m.mu.Lock()
	clear(m.side)
	m.mu.Unlock()
	for _, a := range m.guards {
		for _, b := range m.guards {
			b.Receive(a.Evidence())
		}
	}
}

// crash lets target i crash under requests with these parts at an entry, and waits until
// the entry has recorded it.
func (m *mesh) crash(entry, i int, requests ...string) {
	var identities []relay.Identity
	for _, r := range requests {
		identities = append(identities, prompted(strings.Split(r, ",")...))
	}
	m.crashPrompts(entry, i, identities...)
}

// crashPrompts lets target i crash under attempts at an entry, like crash.
func (m *mesh) crashPrompts(entry, i int, requests ...relay.Identity) {
	before, delivered := records(m.guards[entry]), m.deliveredOf(target(i).ID)
	m.skipped.Add(int64(time.Second))
	for _, r := range requests {
		m.guards[entry].Broken(target(i), r, false, m.now())
	}
	EventuallyWithOffset(2, func() int { return records(m.guards[entry]) }).WithPolling(2 * time.Millisecond).Should(Equal(before + 1))
	// The others must not hear of this crash during the next one.
	EventuallyWithOffset(2, func() int { return m.deliveredOf(target(i).ID) }).WithPolling(2 * time.Millisecond).Should(BeNumerically(">", delivered))
}

// counts returns the begins that were broadcast and the targets that were dialed.
func (m *mesh) counts() (begins, dials int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.begins, m.dials
}

var lastDigest atomic.Int64

// prompted returns an attempt at a request with these parts in its prompt, which determine
// its content. It has a header of its own, so that its digest differs from all others.
func prompted(parts ...string) relay.Identity { return withContent(strings.Join(parts, ","), parts...) }

// withContent returns an attempt at a request with this content.
func withContent(content string, parts ...string) relay.Identity {
	digest := fmt.Sprint("digest", lastDigest.Add(1))
	return relay.Identity{PromptParts: parts, Digest: func() string { return digest }, Content: func() string { return content }}
}

func target(i int) *catalog.Target { return &catalog.Target{ID: fmt.Sprint("i-", i), StartedAtMS: 5} }

func records(g *containment.Guard) int {
	_, _, n := g.Status()
	return n
}

func blocked(g *containment.Guard, parts ...string) bool {
	_, b := g.Blocked(prompted(parts...))
	return b
}

var _ = Describe("A part under which engines crash", func() {
	// A step is the entry that sees the next crash, "join", "cut" (of entry 2) or
	// "heal".
	DescribeTable("is quarantined at all entries", func(steps string) {
		m := newMesh(3)
		for i, step := range strings.Fields(steps) {
			switch step {
			case "join":
				m.join()
			case "cut":
				m.cut(2)
			case "heal":
				Expect(blocked(m.guards[2], "bad", "own")).To(BeFalse())
				m.heal()
			default:
				m.crash(int(step[0]-'0'), i, fmt.Sprint("wall,bad,own", i), fmt.Sprint("other", i, ",own"))
				m.skipped.Add(int64(500 * time.Millisecond))
				m.guards[0].Began(prompted("wall", "served"))
			}
		}
		for i, g := range m.guards {
			Eventually(func() bool { return blocked(g, "wall", "bad", "own") }).Within(time.Second).Should(BeTrue(), "entry %d", i)
			Expect(blocked(g, "wall", "own")).To(BeFalse())
			Expect(m.metrics[i].Counter("parts_quarantined_total")).To(BeEquivalentTo(1))
			parts, _, _ := g.Status()
			Expect(parts).To(ConsistOf(And(HaveField("Part", "bad"), HaveField("Crashes", 3), HaveField("Refused", BeNumerically(">", 0)))))
		}
	},
		Entry("after crashes of which one entry saw all", "0 0 0"),
		Entry("after crashes of which no entry saw two", "0 1 2"),
		Entry("of which some join late", "0 1 join 2 join"),
		Entry("although each side of a partition saw too few crashes", "cut 0 1 2 heal"),
		Entry("although one was cut off during all crashes", "cut 0 1 0 heal"),
	)

	// Guards against a part that is never found because all requests with it have the last
	// part of one session.
	DescribeTable("is quarantined if the turns of a session are the only requests with it", func(sessions int, turn func(i int) relay.Identity) {
		m := newMesh(2)
		for i := range 2 + sessions {
			m.crashPrompts(i%2, 2*i, turn(i))
			m.crashPrompts(i%2, 2*i+1, turn(i))
			m.guards[0].Began(prompted("wall", "served"))
		}
		for i, g := range m.guards {
			Eventually(func() bool { return blocked(g, "wall", "bad", "another") }).Within(time.Second).Should(BeTrue(), "entry %d", i)
			Expect(blocked(g, "wall", "session0")).To(BeFalse(), "the last part is never quarantined")
			parts, _, _ := g.Status()
			Expect(parts).To(ConsistOf(HaveField("Part", "bad")))
		}
	},
		Entry("with another part and body in each", 1, func(i int) relay.Identity { return prompted("wall", "bad", fmt.Sprint("turn", i), "session0") }),
		Entry("with another body only", 1, func(i int) relay.Identity { return withContent(fmt.Sprint("body", i), "wall", "bad", "session0") }),
		Entry("of two sessions", 2, func(i int) relay.Identity {
			return prompted("wall", "bad", fmt.Sprint("turn", i), fmt.Sprint("session", i%2))
		}),
	)

	// Guards against a verdict on the evidence of a single request.
	It("is not quarantined if one request is sent again and again, also with headers of its own", func() {
		m := newMesh(2)
		for i := range 6 {
			m.crash(i%2, i, "wall,sound,own")
			m.guards[0].Began(prompted("wall", "served"))
		}
		for _, g := range m.guards {
			Consistently(func() bool { return blocked(g, "wall", "sound", "another") }).WithTimeout(600 * time.Millisecond).Should(BeFalse())
		}
	})

	It("is released at all entries if an engine begins to answer the one request that tries it", func() {
		m := newMesh(2)
		for i := range 3 {
			m.crash(0, i, fmt.Sprint("bad,", i))
		}
		Eventually(func() bool { return blocked(m.guards[1], "bad", "own") }).Should(BeTrue())
		m.skipped.Add(int64(11 * time.Minute))
		Expect(blocked(m.guards[0], "bad", "trial")).To(BeFalse())
		Expect(blocked(m.guards[0], "bad", "own")).To(BeTrue())
		m.guards[0].Began(prompted("bad", "trial"))
		for i, g := range m.guards {
			Expect(blocked(g, "bad", "own")).To(BeFalse())
			Expect(m.metrics[i].Counter("parts_released_total")).To(BeEquivalentTo(1))
		}
	})

	DescribeTable("is not suspected if a connection breaks", func(err error, prepare func(m *mesh, t *catalog.Target)) {
		m, t := newMesh(2), target(1)
		if err != nil {
			m.dialErr = err
		}
		prepare(m, t)
		for range 3 {
			m.guards[0].Broken(t, prompted("a", "own"), false, m.now())
		}
		Consistently(func() int { return records(m.guards[0]) + records(m.guards[1]) }).WithTimeout(200 * time.Millisecond).Should(BeZero())
	},
		Entry("and the target accepts connections", nil, func(m *mesh, _ *catalog.Target) { m.dialErr = nil }),
		Entry("and the target does not answer", os.ErrDeadlineExceeded, func(*mesh, *catalog.Target) {}),
		Entry("and the network is unreachable", syscall.EHOSTUNREACH, func(*mesh, *catalog.Target) {}),
		Entry("at a draining target", nil, func(_ *mesh, t *catalog.Target) { t.Draining = true }),
		Entry("at a target that leaves", nil, func(m *mesh, t *catalog.Target) { m.leaving.Add(t) }),
	)

	// Many requests break at once, and all are suspects of one crash. The incarnation
	// that has left is an earlier one.
	It("costs one dial and one record for all requests of an incarnation", func() {
		m := newMesh(1)
		m.leaving.Add(&catalog.Target{ID: target(1).ID, StartedAtMS: 4})
		m.crash(0, 1, "a,1", "b,2", "c,3", "own")
		_, dials := m.counts()
		Expect(dials).To(Equal(1))
		Expect(m.guards[0].Evidence().Crashes).To(ConsistOf(HaveField("Suspects", HaveLen(3)), HaveField("Suspects", HaveLen(4))), "by parts and by digests")
	})

	It("stops the requests that wait, once each, but none that has ended", func() {
		m := newMesh(2)
		var calls, others atomic.Int64
		for _, g := range m.guards {
			g.Watch(prompted("wall", "bad", "w"), func(cause relay.Cause) {
				if cause.Part == "bad" {
					calls.Add(1)
				}
			})
			g.Watch(prompted("wall", "bad"), func(relay.Cause) { others.Add(1) })
			g.Watch(prompted("wall", "bad", "v"), func(relay.Cause) { others.Add(1) })()
		}
		for i := range 4 {
			m.crash(0, i, fmt.Sprint("bad,", i))
		}
		Eventually(calls.Load).Should(BeEquivalentTo(2))
		Consistently(calls.Load).WithTimeout(100 * time.Millisecond).Should(BeEquivalentTo(2))
		Expect(others.Load()).To(BeZero())
		Expect(m.metrics[1].Counter("quarantine_refusals_total")).To(BeEquivalentTo(1))
	})
})

var _ = Describe("A part that engines serve", func() {
	It("is freed at all entries by a begin at one of them", func() {
		m := newMesh(3)
		m.crash(0, 1, "wall,a")
		m.crash(1, 2, "wall,b")
		m.skipped.Add(int64(time.Second))
		m.guards[2].Began(prompted("wall", "c"))
		m.crash(0, 3, "wall,d")
		m.crash(1, 4, "wall,e")
		for _, g := range m.guards {
			Consistently(func() bool { return blocked(g, "wall", "f") }).WithTimeout(600 * time.Millisecond).Should(BeFalse())
		}
	})

	It("costs messages only if it was a suspect, a few after each crash", func() {
		m := newMesh(2)
		begins := func() int {
			for i := range 100 {
				m.guards[i%2].Began(prompted("wall", "a"))
			}
			begins, _ := m.counts()
			return begins
		}
		Expect(begins()).To(BeZero())
		for i := range 2 {
			m.crash(0, i, "wall,b")
			// Each entry may tell its last begin before the crash and one after it.
			sent := begins()
			Expect(sent).To(And(BeNumerically(">", i), BeNumerically("<=", 4*(i+1))))
			Expect(begins()).To(Equal(sent))
		}
	})
})

var _ = Describe("A Guard", func() {
	It("keeps long lists and IDs of parts apart and within the bounds", func() {
		m, long := newMesh(1), strings.Repeat("x", 40)
		for i, list := range []string{long + "1,2,3,4,5,6,7,8,9,own", long + "1,own2", "," + long + "1,,own3"} {
			m.crash(0, i, list)
		}
		Eventually(func() bool { return blocked(m.guards[0], long+"1", "c") }).Should(BeTrue())
		Expect(blocked(m.guards[0], long+"2", "c")).To(BeFalse())
		Expect(blocked(m.guards[0], "c", long+"1")).To(BeFalse(), "the last part is the request's own")
		var ids []quarantine.Part
		for _, c := range m.guards[0].Evidence().Crashes {
			parts := c.Suspects[0].Parts
			if strings.HasPrefix(string(parts[0]), "@") {
				// A record of whole requests.
				continue
			}
			Expect(len(parts)).To(BeNumerically("<=", 8))
			Expect(parts[0]).To(HaveLen(32))
			Expect(string(parts[len(parts)-1])).To(HaveLen(25), "the ID of the request")
			Expect(ids).NotTo(ContainElement(parts[len(parts)-1]))
			ids = append(ids, parts[len(parts)-1])
		}
	})

	// A trial on each side of a partition would cost two engines.
	DescribeTable("sends trials from one entry only", func(sides string, known, owners int) {
		for p := range 20 {
			n := 0
			for _, side := range strings.Fields(sides) {
				for _, self := range strings.Split(side, "") {
					if containment.TrialOwner(self, func() []string { return strings.Split(side, "") }, func() int { return known })(fmt.Sprint("part", p)) {
						n++
					}
				}
			}
			Expect(n).To(Equal(owners))
		}
	},
		Entry("of all", "abcd", 4, 1),
		Entry("of the larger side", "abc d", 4, 1),
		Entry("of none of two equal sides", "ab cd", 4, 0),
		Entry("which is alone", "a", 1, 1),
	)
})

// The cost of the guard for one request without a suspected part.
func BenchmarkRequest(b *testing.B) {
	g := containment.New(containment.Config{Metrics: telemetry.NewMetrics(), Log: telemetry.For("quarantine")})
	for i := range b.N {
		parts := []string{fmt.Sprint("route", i%30), fmt.Sprint("caller", i%5000), "own"}
		r := prompted(parts...)
		stop := g.Watch(r, func(relay.Cause) {})
		g.Blocked(r)
		g.Began(r)
		g.Answered(r)
		stop()
	}
}
