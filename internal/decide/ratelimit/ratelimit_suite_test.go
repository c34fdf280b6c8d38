package ratelimit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/ratelimit"
)

func TestRateLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ratelimit")
}

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

var _ = Describe("The rate that a target names", func() {
	It("is that of the answer that was received last", func() {
		var l ratelimit.Limit
		Expect(l.Named(at(100), 2, ratelimit.FromAnswer)).To(BeTrue())
		Expect(l.Named(at(50), 9, ratelimit.FromEntry)).To(BeFalse())
		Expect(l.Named(at(200), 2, ratelimit.FromAnswer)).To(BeFalse())
		Expect(l.Named(at(300), 0.5, ratelimit.FromEntry)).To(BeTrue())
		Expect(l.Rate).To(Equal(0.5))
		Expect(l.Since).To(Equal(at(100)))
	})

	// Guards against an answer that was under way when the need began and names no rate.
	It("ends with an answer without a rate to a request that was sent after the last naming", func() {
		var l ratelimit.Limit
		l.Named(at(100), 2, ratelimit.FromAnswer)
		Expect(l.Unnamed(at(90), at(500))).To(BeFalse())
		Expect(l.Unnamed(at(110), at(500))).To(BeTrue())
		Expect(l.Rate).To(BeZero())
		Expect(l.Named(at(400), 2, ratelimit.FromEntry)).To(BeFalse(), "older than the end")
		Expect(l.Named(at(600), 3, ratelimit.FromAnswer)).To(BeTrue())
		Expect(l.Since).To(Equal(at(600)))
		Expect(l.Ended(at(550))).To(BeFalse())
	})

	It("is bounded", func() {
		var l ratelimit.Limit
		l.Named(at(1), 1e300, ratelimit.FromAnswer)
		Expect(l.Rate).To(Equal(1e6))
		l.Named(at(2), 1e-300, ratelimit.FromAnswer)
		Expect(l.Rate).To(Equal(0.01))
	})
})

// sent counts the requests that a bucket lets pass when asked each millisecond.
func sent(b *ratelimit.Bucket, fromMS, toMS int) int {
	n := 0
	for ms := fromMS; ms < toMS; ms++ {
		for b.Take(at(ms)) {
			n++
		}
	}
	return n
}

var _ = Describe("A bucket", func() {
	DescribeTable("lets the rate pass", func(rate float64, seconds, requests int) {
		var b ratelimit.Bucket
		b.SetRate(start, rate)
		Expect(sent(&b, 0, 1000*seconds+1)).To(BeNumerically("~", requests, 1))
	},
		Entry("below one a second", 0.3, 20, 6), Entry("a few", 1.2, 10, 12), Entry("many", 400.0, 2, 800),
	)

	It("saves a quarter of a second at most, and one request", func() {
		var b ratelimit.Bucket
		b.SetRate(start, 0.3)
		Expect(sent(&b, 100_000, 100_001)).To(Equal(1))
		b.SetRate(at(100_001), 40)
		Expect(sent(&b, 200_000, 200_001)).To(Equal(10))
		b.SetRate(at(210_000), 40)
		b.SetRate(at(210_000), 0.3)
		Expect(sent(&b, 210_000, 210_001)).To(Equal(1))
	})

	It("says how long a request behind others waits", func() {
		var b ratelimit.Bucket
		b.SetRate(start, 2)
		Expect(b.Wait(start, 0)).To(Equal(500 * time.Millisecond))
		Expect(b.Wait(start, 3)).To(Equal(2 * time.Second))
		Expect(b.Wait(at(500), 0)).To(BeZero())
	})
})

func ask(number uint64, priority, deadlineMS int) ratelimit.Ask {
	return ratelimit.Ask{Key: ratelimit.Key{Target: "t"}, Rate: 1, Number: number, Priority: priority, Deadline: at(deadlineMS)}
}

func describe(replies []ratelimit.Reply) string {
	s := ""
	for _, r := range replies {
		s += fmt.Sprintf("%d:%v ", r.Ask.Number, r.Granted)
	}
	return s
}

var _ = Describe("A granter", func() {
	It("serves waiting asks by priority and deadline, not by arrival", func() {
		g := ratelimit.NewGranter()
		Expect(g.Ask(start, ask(1, 3, 9000))).To(BeEmpty())
		Expect(g.Ask(start, ask(2, 1, 9000))).To(BeEmpty())
		Expect(g.Ask(start, ask(3, 1, 8000))).To(BeEmpty())
		order := ""
		for ms := 0; ms <= 4000; ms += 10 {
			order += describe(g.Tick(at(ms)))
		}
		Expect(order).To(Equal("3:true 2:true 1:true "))
	})

	It("refuses at once what cannot be sent by its deadline, with the time of the next room", func() {
		g := ratelimit.NewGranter()
		g.Ask(start, ask(1, 1, 1400))
		replies := g.Ask(start, ask(2, 1, 1500))
		Expect(replies).To(HaveLen(1))
		Expect(replies[0].Ask.Number).To(BeEquivalentTo(2))
		Expect(replies[0].RetryAfter).To(Equal(2 * time.Second))
		// A more urgent ask takes the place of one that can't wait longer.
		Expect(describe(g.Ask(start, ask(3, 1, 2500)))).To(BeEmpty())
		Expect(describe(g.Ask(start, ask(4, 0, 2500)))).To(Equal("1:false "))
	})

	// Guards against permits that are used up by requests which have ended.
	It("gives no permit to an ask that was withdrawn", func() {
		g := ratelimit.NewGranter()
		g.Ask(start, ask(1, 0, 9000))
		g.Ask(start, ask(2, 1, 9000))
		g.Withdraw(ratelimit.Key{Target: "t"}, "another entry", 1)
		g.Withdraw(ratelimit.Key{Target: "t"}, "", 1)
		Expect(describe(g.Tick(at(1000)))).To(Equal("2:true "))
	})

	It("keeps no more than its bounds", func() {
		g := ratelimit.NewGranter()
		refused := 0
		for i := range 2000 {
			refused += len(g.Ask(start, ask(uint64(i), 1, 1e7)))
		}
		Expect(refused).To(Equal(2000 - 256))
		for i := range 10_000 {
			a := ask(0, 1, 0)
			a.Key.StartedAtMS = int64(i)
			Expect(g.Ask(start, a)).To(HaveLen(1))
		}
	})
})

var _ = Describe("The ownership of a target", func() {
	key := ratelimit.Key{Target: "t", StartedAtMS: 7}
	members := []string{"a", "b", "c", "d"}

	It("is the same in the same view, and granted only after the view has settled", func() {
		owners := map[string]bool{}
		for _, self := range members {
			o := ratelimit.NewOwnership(start, self)
			o.SetMembers(start, members, 4)
			owners[o.Owner(key)] = true
			early, wait := o.Grants(at(1000), key)
			Expect(early).To(BeFalse())
			Expect(wait).To(BeNumerically(">", 0))
			late, _ := o.Grants(at(2000), key)
			Expect(late).To(Equal(o.Owner(key) == self))
		}
		Expect(owners).To(HaveLen(1))
	})

	It("stays with an owner while others come and go", func() {
		o := ratelimit.NewOwnership(start, "a")
		o.SetMembers(start, members, 4)
		self := o.Owner(key)
		o = ratelimit.NewOwnership(start, self)
		o.SetMembers(start, members, 4)
		o.Grants(at(2000), key)
		for _, gone := range members {
			if gone == self {
				continue
			}
			rest := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == gone })
			Expect(o.SetMembers(at(3000), rest, 4)).To(BeEmpty())
			granted, _ := o.Grants(at(3000), key)
			Expect(granted).To(BeTrue())
		}
		Expect(o.SetMembers(at(4000), []string{self}, 4)).To(ConsistOf(key))
	})

	It("is an equal part for an entry that reaches half of the others or fewer", func() {
		o := ratelimit.NewOwnership(start, "a")
		o.SetMembers(start, []string{"a", "b"}, 4)
		Expect(o.Owner(key)).To(Equal("a"))
		Expect(o.Share()).To(Equal(0.25))
		o.SetMembers(start, []string{"a", "b", "c"}, 4)
		Expect(o.Share()).To(Equal(1.0))
	})
})
