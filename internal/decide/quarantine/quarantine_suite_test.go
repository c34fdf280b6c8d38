package quarantine_test

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/quarantine"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

// step is a crash under requests, or a begin of one, a time after the start. Each
// request is a list of parts without its own one, which is made unique.
type step struct {
	ms    time.Duration
	crash []string
	begin string
}

func crash(ms time.Duration, requests ...string) step { return step{ms: ms, crash: requests} }
func begun(ms time.Duration, request string) step     { return step{ms: ms, begin: request} }

var serial int

// parseRequest returns the parts of "f.m" with a part of its own, and those of "f.m.own"
// as they are, like those of "own".
func parseRequest(s string) []part {
	if strings.Count(s, ".") == 1 {
		serial++
		s += fmt.Sprint(".own", serial)
	}
	var parts []part
	for _, p := range strings.Split(s, ".") {
		parts = append(parts, part(p))
	}
	return parts
}

func record(s step) quarantine.Crash {
	serial++
	c := quarantine.Crash{Incarnation: quarantine.Incarnation{Target: fmt.Sprint("t", serial)}, At: at(s.ms * time.Millisecond)}
	for _, r := range s.crash {
		c.Suspects = append(c.Suspects, quarantine.Suspect{Parts: parseRequest(r), SentAt: c.At.Add(-200 * time.Millisecond)})
	}
	return c
}

// play lets the steps happen, waits until their evidence has settled and returns the
// parts that are quarantined.
func play(q *quarantine.Quarantine, steps []step) (parts []string) {
	now := at(0)
	for _, s := range steps {
		now = at(s.ms * time.Millisecond)
		if s.begin != "" {
			q.RecordBegan(now, now, parseRequest(s.begin))
		} else {
			q.RecordCrash(now, record(s))
		}
	}
	q.Tick(now.Add(500 * time.Millisecond))
	for _, v := range q.Verdicts() {
		if v.Quarantined {
			parts = append(parts, string(v.Part))
		}
	}
	return parts
}

func repeat(n int, s func(i time.Duration) step) (list []step) {
	for i := range n {
		list = append(list, s(time.Duration(i)))
	}
	return list
}

// turns returns the crashes under requests of which each is sent twice. Another caller is
// served after each.
func turns(n int, request func(i int) string) (list []step) {
	for i := range time.Duration(n) {
		from := 1000 + i*4500
		list = append(list, crash(from, request(int(i))), crash(from+300, request(int(i))), begun(from+350, "wall.served"))
	}
	return list
}

var _ = Describe("The decision", func() {
	// The numbers are those of the cases that the design is held against.
	DescribeTable("quarantines the part that crashes engines and no other",
		func(steps []step, want ...string) {
			Expect(play(quarantine.New(quarantine.Config{}), steps)).To(ConsistOf(want))
		},
		Entry("3, 5: a middle part", append(repeat(3, func(i time.Duration) step { return crash(i*700, fmt.Sprintf("f%d.bad", i), fmt.Sprintf("f7.c%d", i)) }), begun(1450, "f7.c9")), "bad"),
		Entry("3: a first part", repeat(3, func(i time.Duration) step { return crash(i*700, fmt.Sprintf("bad.c%d", i)) }), "bad"),
		Entry("two crashes do not suffice", repeat(2, func(i time.Duration) step { return crash(i*700, fmt.Sprintf("f%d.bad", i)) })),
		Entry("1: a sound part shared an engine with a crashing one three times",
			repeat(4, func(i time.Duration) step {
				return crash(i*700, fmt.Sprintf("f%d.bad", i), []string{"f7.sound", "f8.sound", "f7.sound", "f6.c1"}[i])
			}), "bad"),
		Entry("1: a part was begun after the crashes", append(repeat(3, func(i time.Duration) step { return crash(i*700, fmt.Sprintf("f%d.sound", i)) }), begun(1450, "f9.sound"))),
		Entry("1: a part was begun between the crashes",
			[]step{crash(0, "f1.sound"), crash(700, "f2.sound"), begun(900, "f3.sound"), crash(1400, "f4.sound"), crash(2100, "f5.sound")}),
		Entry("2: engines that lose power together", repeat(12, func(i time.Duration) step { return crash(i*10, "f1.c1", fmt.Sprintf("f2.c%d", i%4)) })),
		Entry("2: engines that crash whatever they serve",
			repeat(30, func(i time.Duration) step { return crash(i*300, fmt.Sprintf("f%d.c%d", i, i%9)) })),
		Entry("2: a sound request that is repeated on engines that crash",
			repeat(6, func(i time.Duration) step { return crash(i*700, "f1.c1.own") })),
		Entry("4: two parts, on two routes",
			repeat(8, func(i time.Duration) step { return crash(i*400, fmt.Sprintf("f%d.bad%d", i, i%2)) }), "bad0", "bad1"),
		Entry("4: two parts, also in one request",
			repeat(9, func(i time.Duration) step {
				return crash(i*400, []string{fmt.Sprintf("bad0.c%d", i), fmt.Sprintf("f%d.bad1", i), "bad0.bad1"}[i%3])
			}), "bad0", "bad1"),
		Entry("6: a part that was served well before",
			append(repeat(5, func(i time.Duration) step { return begun(i*100, "f1.bad") }), repeat(3, func(i time.Duration) step { return crash(1000+i*700, fmt.Sprintf("f%d.bad", i)) })...), "bad"),
		Entry("9: requests without shared parts", repeat(6, func(i time.Duration) step { return crash(i*700, "x") })),
		Entry("while others crash, more hits are needed",
			repeat(12, func(i time.Duration) step { return crash(i*500, []string{"f1.c", "f2.x", "f3.y", "f4.z"}[i%4]) })),
	)

	// Guards against crashing parts of sessions that are found late, or taken for one of
	// the sound parts that only these sessions have. Each turn crashes two engines.
	DescribeTable("finds a part that sessions send",
		func(steps []step, want ...string) {
			Expect(play(quarantine.New(quarantine.Config{}), steps)).To(ConsistOf(want))
		},
		Entry("beside parts that all turns have", turns(3, func(i int) string { return fmt.Sprintf("wall.bad.a.b.s/%d", i) }), "b"),
		Entry("with one more part in each turn", turns(3, func(i int) string {
			return "wall.bad.h1" + []string{"", ".h2", ".h2.h3"}[i] + fmt.Sprint(".s/", i)
		}), "h1"),
		Entry("in a session that sent sound turns before", append([]step{begun(0, "wall.a.b.s/0"), begun(100, "wall.a.b.s/1")},
			turns(3, func(i int) string { return fmt.Sprintf("wall.bad.a.b.s/%d", 2+i) })...), "bad"),
		Entry("in one session after the other", turns(4, func(i int) string { return fmt.Sprintf("wall.bad.a%d.s%d/%d", i/3, i/3, i) }), "a0", "bad"),
		Entry("in ten sessions at once", turns(3, func(i int) string { return fmt.Sprintf("wall.bad.a%d.s%d/%d", i, i, i) }), "bad"),
		Entry("while a sound session is under way at each crash", repeat(8, func(i time.Duration) step {
			if i%2 == 1 {
				return begun(1000+i*700, "wall.served")
			}
			return crash(1000+i*700, fmt.Sprintf("wall.bad.s%d/%d", i/2%2, i), fmt.Sprintf("wall.a.b.s9/%d", i))
		}), "bad"),
	)

	// Records of 4 entries hold different suspects of one crash.
	It("7: merges records of one crash, whatever their order and number", func() {
		q := quarantine.New(quarantine.Config{})
		for n := range 3 {
			c := record(crash(time.Duration(n)*700, "f1.bad", "f2.c2"))
			for _, i := range []int{1, 0, 1, 0} {
				q.RecordCrash(c.At.Add(100*time.Millisecond), quarantine.Crash{Incarnation: c.Incarnation, At: c.At.Add(time.Duration(i)), Suspects: c.Suspects[i : i+1]})
			}
		}
		crashes := q.Crashes(at(1500 * time.Millisecond))
		Expect(crashes).To(HaveLen(3))
		Expect(crashes[0].Suspects).To(HaveLen(2))
	})
})

// quarantinedBad returns a Quarantine in which the part "bad" has been quarantined.
func quarantinedBad(cfg quarantine.Config) *quarantine.Quarantine {
	q := quarantine.New(cfg)
	Expect(play(q, repeat(3, func(i time.Duration) step { return crash(i*700, fmt.Sprintf("f%d.bad", i)) }))).To(Equal([]string{"bad"}))
	return q
}

func blocked(q *quarantine.Quarantine, d time.Duration) bool {
	_, b := q.Check(at(d), parseRequest("f1.bad"))
	return b
}

var _ = Describe("Trials", func() {
	// Each request of a trial may end an engine.
	It("6: send one request, double the time when it crashes an engine, and end after two", func() {
		q := quarantinedBad(quarantine.Config{Entry: "e"})
		Expect(blocked(q, 9*time.Minute)).To(BeTrue())
		for trial, d := range []time.Duration{11 * time.Minute, 32 * time.Minute} {
			Expect(blocked(q, d)).To(BeFalse())
			Expect(blocked(q, d+time.Second)).To(BeTrue(), "while its outcome is awaited")
			c := record(crash(0, "f1.bad"))
			c.At, c.Suspects[0].SentAt = at(d+time.Second), at(d)
			Expect(q.RecordCrash(c.At, c)).To(HaveExactElements(And(HaveField("Trials", trial+1), HaveField("Quarantined", true))))
		}
		Expect(blocked(q, 80*time.Minute)).To(BeTrue())
		Expect(blocked(q, 139*time.Minute)).To(BeTrue())
	})

	It("6: release a part that is begun, at all entries", func() {
		q, other := quarantinedBad(quarantine.Config{}), quarantinedBad(quarantine.Config{OwnsTrial: func(part) bool { return false }})
		Expect(blocked(other, 11*time.Minute)).To(BeTrue())
		Expect(blocked(q, 11*time.Minute)).To(BeFalse())
		_, changed := q.RecordBegan(at(11*time.Minute+time.Second), at(11*time.Minute+time.Second), parseRequest("f1.bad"))
		Expect(changed).To(HaveExactElements(And(HaveField("Generation", uint64(2)), HaveField("Quarantined", false))))
		Expect(other.Merge(at(12*time.Minute), changed)).To(HaveLen(1))
		Expect(blocked(q, 12*time.Minute) || blocked(other, 12*time.Minute)).To(BeFalse())
		Expect(other.Merge(at(12*time.Minute), quarantinedBad(quarantine.Config{}).Verdicts())).To(BeEmpty(), "an older generation")
	})

	It("are repeated without an outcome, three sends in all", func() {
		q := quarantinedBad(quarantine.Config{})
		sent := 0
		for d := 11 * time.Minute; d < 30*time.Minute; d += 10 * time.Second {
			if !blocked(q, d) {
				sent++
			}
		}
		Expect(sent).To(Equal(3))
	})

	It("are not made with a request that has two quarantined parts", func() {
		q := quarantinedBad(quarantine.Config{})
		q.Merge(at(2*time.Second), []quarantine.Verdict{{Part: "worse", Generation: 1, Quarantined: true, Since: at(0)}})
		_, b := q.Check(at(11*time.Minute), []part{"worse", "bad", "own"})
		Expect(b).To(BeTrue())
	})

	It("a part is forgotten an hour after the last request for it", func() {
		q := quarantinedBad(quarantine.Config{OwnsTrial: func(part) bool { return false }})
		Expect(blocked(q, 50*time.Minute)).To(BeTrue())
		q.Tick(at(109 * time.Minute))
		Expect(q.Verdicts()).To(HaveLen(1))
		q.Tick(at(111 * time.Minute))
		Expect(q.Verdicts()).To(BeEmpty())
	})
})

var _ = Describe("Begins of suspected parts", func() {
	// Without it another entry quarantines a part of which it has not seen a begin.
	It("7: are told once, also if the crash becomes known after the begin", func() {
		q, other := quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})
		suspected, _ := q.RecordBegan(at(0), at(0), parseRequest("f1.c1"))
		Expect(suspected).To(BeEmpty())
		q.RecordCrash(at(100*time.Millisecond), record(crash(-50, "f2.c1")))
		begins := q.TakeBegins(at(100 * time.Millisecond))
		Expect(begins).To(Equal([]quarantine.Begin{{Part: "c1", At: at(0)}}))
		Expect(q.TakeBegins(at(100 * time.Millisecond))).To(BeEmpty())
		suspected, _ = q.RecordBegan(at(200*time.Millisecond), at(200*time.Millisecond), parseRequest("f2.c9"))
		Expect(suspected).To(Equal([]part{"f2"}))
		other.MergeBegins(at(300*time.Millisecond), begins)
		other.RecordCrash(at(300*time.Millisecond), record(crash(-50, "f2.c1")))
		Expect(other.Begins()).To(HaveLen(1))
	})
})

var _ = Describe("State", func() {
	// A caller chooses the IDs of parts.
	It("9: a million distinct parts cost less than 4 MB and evict no quarantined part", func() {
		q := quarantinedBad(quarantine.Config{})
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := 0; i < 1_000_000; i += 8 {
			now := at(2*time.Second + time.Duration(i)*10*time.Microsecond)
			var parts []part
			for n := range 8 {
				parts = append(parts, part(strings.Repeat("x", 25)+strconv.Itoa(1_000_000+i+n)))
			}
			switch i % 16_000 {
			case 0:
				c := record(crash(0))
				c.At = now
				for n := range 40 {
					c.Suspects = append(c.Suspects, quarantine.Suspect{Parts: append([]part{part(fmt.Sprintf("%030d%02d", i, n))}, parts...)})
				}
				q.RecordCrash(now, c)
			case 8:
				q.Merge(now, []quarantine.Verdict{{Part: parts[0], Generation: 1, Quarantined: i%32_000 == 8, Since: now}})
			default:
				q.RecordBegan(now, now, parts)
				q.Check(now, parts)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		bytes := int64(after.HeapAlloc) - int64(before.HeapAlloc)
		AddReportEntry(fmt.Sprintf("%d bytes", bytes))
		Expect(bytes).To(BeNumerically("<", 4<<20))
		Expect(blocked(q, time.Minute)).To(BeTrue())
		Expect(len(q.Verdicts())).To(BeNumerically("<=", 512))
	})

	DescribeTable("9: malformed lists of parts change nothing",
		func(parts ...part) {
			q := quarantinedBad(quarantine.Config{})
			q.RecordCrash(at(3*time.Second), quarantine.Crash{At: at(3 * time.Second), Suspects: []quarantine.Suspect{{Parts: parts}}})
			suspected, changed := q.RecordBegan(at(3*time.Second), at(3*time.Second), parts)
			_, b := q.Check(at(3*time.Second), parts)
			Expect(b || len(suspected)+len(changed) > 0).To(BeFalse())
		},
		Entry("none"),
		Entry("one only", part("bad")),
		Entry("an empty ID", part(""), part("own")),
		Entry("a long ID", part(strings.Repeat("x", 33)), part("own")),
	)
})
