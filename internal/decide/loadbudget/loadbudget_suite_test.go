package loadbudget_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatelanding.example/agatelanding/internal/decide/loadbudget"
	_ "agatelanding.example/agatelanding/internal/rapidseed"
)

func TestLoadBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadbudget")
}

const (
	rate = 4.0
	step = 50 * time.Millisecond
)

var (
	start   = time.Unix(1_700_000_000, 0)
	members = []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	period  = 2 * time.Second
)

func at(d time.Duration) time.Time { return start.Add(d) }

func budget(self string, list []string) *loadbudget.Budget {
	b := loadbudget.New(self)
	b.Configure(start, list, rate)
	return b
}

// mint calls Tick and reports whether b minted a token.
func mint(b *loadbudget.Budget, now time.Time) bool {
	before := b.Available(now)
	b.Tick(now)
	return b.Available(now) > before
}

// tick calls Tick every step from one time to another and returns the number of
// tokens that b mints.
func tick(b *loadbudget.Budget, from, to time.Duration) int {
	minted := 0
	for d := from; d < to; d += step {
		if mint(b, at(d)) {
			minted++
		}
	}
	return minted
}

var _ = Describe("Budget", func() {
	DescribeTable("accepts a passed token once and only before it expires",
		func(token loadbudget.Token, again time.Duration, want, wantAgain bool) {
			b := budget("a", members)
			Expect(b.Receive(start, token)).To(Equal(want))
			Expect(b.Receive(at(again), token)).To(Equal(wantAgain))
		},
		Entry("fresh, then duplicated", loadbudget.Token{Minter: "b", PeriodNumber: 1, ExpiresAt: at(time.Second)}, time.Millisecond, true, false),
		Entry("expired", loadbudget.Token{Minter: "b", PeriodNumber: 1, ExpiresAt: start}, time.Duration(0), false, false),
		Entry("duplicated after it expired", loadbudget.Token{Minter: "b", PeriodNumber: 1, ExpiresAt: at(time.Second)}, 2*time.Second, true, false),
		// A token from a clock that is far ahead would be valid for longer than
		// the rate allows for.
		Entry("expires too late", loadbudget.Token{Minter: "b", PeriodNumber: 1, ExpiresAt: at(2 * time.Second)}, time.Millisecond, false, false),
		// The minter may have used the token before a duplicate of it returns.
		Entry("minted by the receiver", loadbudget.Token{Minter: "a", PeriodNumber: 1, ExpiresAt: at(time.Second)}, time.Millisecond, false, false),
		Entry("duplicated after the clock was set back", loadbudget.Token{Minter: "b", PeriodNumber: 1, ExpiresAt: at(time.Second)}, -500*time.Millisecond, true, false),
	)

	// A token that was passed on and returns is valid again; only a duplicated
	// message of an earlier hop must be refused.
	It("accepts a token again on a later hop, and passes it on MaxHops times", func() {
		b := budget("a", members)
		token := loadbudget.Token{Minter: "b", PeriodNumber: 1, ExpiresAt: at(time.Second)}
		for hop := range uint8(loadbudget.MaxHops) {
			Expect(b.Receive(start, token)).To(BeTrue())
			Expect(b.Receive(start, token)).To(BeFalse())
			passed, ok := b.TakeSurplus(start)
			Expect(ok).To(BeTrue())
			Expect(passed.Hops).To(Equal(hop + 1))
			token = passed
		}
		Expect(b.Receive(start, token)).To(BeTrue())
		_, ok := b.TakeSurplus(start)
		Expect(ok).To(BeFalse())
		Expect(b.Take(start)).To(BeTrue())
	})

	// The expiry loses precision on the wire, so it must not distinguish tokens.
	It("detects a duplicate with another expiry", func() {
		b := budget("a", members)
		Expect(b.Receive(start, loadbudget.Token{Minter: "b", PeriodNumber: 1, ExpiresAt: at(time.Second)})).To(BeTrue())
		Expect(b.Receive(start, loadbudget.Token{Minter: "b", PeriodNumber: 1, ExpiresAt: at(time.Second - time.Microsecond)})).To(BeFalse())
	})

	It("uses the token that expires first and passes on the one that expires last", func() {
		b := budget("a", members)
		for i, life := range []time.Duration{700, 900, 300} {
			b.Receive(start, loadbudget.Token{Minter: "b", PeriodNumber: int64(i), ExpiresAt: at(life * time.Millisecond)})
		}
		last, _ := b.TakeSurplus(start)
		Expect(last.PeriodNumber).To(BeEquivalentTo(1))
		Expect(b.Take(start)).To(BeTrue())
		Expect(b.Available(at(400 * time.Millisecond))).To(Equal(1))
		Expect(b.Take(at(800 * time.Millisecond))).To(BeFalse())
	})

	It("refuses tokens beyond a bound from a faulty member", func() {
		b := budget("a", members)
		for i := range 10_000 {
			b.Receive(start, loadbudget.Token{Minter: "b", PeriodNumber: int64(i), ExpiresAt: at(time.Second)})
		}
		Expect(b.Available(start)).To(BeNumerically("<=", 256))
	})

	DescribeTable("mints one token per period",
		func(disturb func(*loadbudget.Budget), after time.Duration, low, high int) {
			b := budget("c", members)
			Expect(tick(b, 0, 10*period)).To(BeNumerically("~", 10, 1))
			disturb(b)
			Expect(tick(b, 10*period+after, 20*period+after)).To(And(BeNumerically(">=", low), BeNumerically("<=", high)))
		},
		Entry("undisturbed", func(*loadbudget.Budget) {}, time.Duration(0), 10, 10),
		Entry("after a pause, without catching up", func(*loadbudget.Budget) {}, time.Hour, 9, 11),
		// A clock that was an hour ahead must not stop minting for an hour.
		Entry("after the clock was set back", func(b *loadbudget.Budget) { tick(b, time.Hour, time.Hour+period) }, time.Duration(0), 9, 10),
		Entry("none after the member was removed from the list", func(b *loadbudget.Budget) { b.Configure(at(10*period), []string{"x"}, rate) }, time.Duration(0), 0, 0),
		Entry("none with a rate of 0", func(b *loadbudget.Budget) { b.Configure(at(10*period), members, 0) }, time.Duration(0), 0, 0),
	)

	// If periods were not numbered by the wall clock, each restart within a
	// period would mint another token.
	It("does not mint twice in a period when the process restarts", func() {
		minted := 0
		for i := range 100 {
			b := loadbudget.New("c")
			from := time.Duration(i) * 200 * time.Millisecond
			b.Configure(at(from), members, rate)
			minted += tick(b, from, from+200*time.Millisecond)
		}
		Expect(minted).To(BeNumerically("<=", 10))
	})

	// A change of the list moves the period boundaries. Without a minimum
	// distance the next boundary, and so the next token, could follow at once.
	It("keeps half a period between the last token of a list and the first of the next", func() {
		for change := 10 * period; change < 11*period; change += step {
			b := budget("c", members)
			var last time.Duration
			for now := time.Duration(0); now < 13*period; now += step {
				if now == change {
					b.Configure(at(now), members[:7], rate)
				}
				if mint(b, at(now)) {
					if last > 0 {
						Expect(now-last).To(BeNumerically(">=", 7*period/8/2), "list changed at %v", change)
					}
					last = now
				}
			}
		}
	})

	It("does not mint twice when the clock steps back over a boundary", func() {
		b := budget("c", members)
		boundary := 10*period + period/4
		Expect(tick(b, 0, boundary+step) + tick(b, boundary-step, boundary+period-step)).To(Equal(11))
	})

	It("keeps the rate during loss, duplication, delay, restarts, clock steps and list changes", func() { rapid.Check(GinkgoT(), fleetKeepsRate) })

	// With static shares, a member with high demand cannot use the shares of the
	// others. Without a budget, it exceeds the weight store's limit of 8 loads in
	// flight.
	It("serves a member with high demand better than static shares and within the limit of the weight store", func() {
		shared, sharedPeak := hotMember(true, false)
		static, _ := hotMember(false, false)
		unlimited, unlimitedPeak := hotMember(false, true)
		AddReportEntry(fmt.Sprintf("loads in 60 s and peak in flight: shared %d, %d; static %d; unlimited %d, %d",
			shared, sharedPeak, static, unlimited, unlimitedPeak))
		Expect(shared).To(BeNumerically(">=", 0.9*rate*60))
		Expect(shared).To(BeNumerically("<=", rate*60+rate))
		Expect(static).To(BeNumerically("<=", shared/6))
		Expect(sharedPeak).To(BeNumerically("<", 8))
		Expect(unlimitedPeak).To(BeNumerically(">", 8))
	})
})

// fleetMember is a target with its own clock offset and its own copy of the
// member list.
type fleetMember struct {
	*loadbudget.Budget
	clock time.Duration
	list  []string
}

// message is a token in transit to another member.
type message struct {
	token loadbudget.Token
	to    *fleetMember
	due   time.Duration
}

// fleetKeepsRate applies random faults to a fleet and compares the tokens minted
// and used in each window with the rate. A clock step may add one token of its
// member before it and one after it; a change of the list may add one of each
// member.
func fleetKeepsRate(t *rapid.T) {
	var now time.Duration
	var inTransit []message
	var mints, uses []time.Duration
	allowance := 1.0
	fleet := make([]*fleetMember, len(members))
	for i, name := range members {
		fleet[i] = &fleetMember{budget(name, members), 0, members}
	}
	draw := func(low, high int, label string) int { return rapid.IntRange(low, high).Draw(t, label) }
	for range draw(10, 300, "steps") {
		now += step
		i := draw(0, len(members)-1, "member")
		m := fleet[i]
		local := at(now + m.clock)
		switch event := draw(0, 40, "event"); {
		case event < 10:
			if m.Take(local) {
				uses = append(uses, now)
			}
		case event < 30:
			// Loss, delay and duplication; all copies go to one receiver.
			token, ok := m.TakeSurplus(local)
			to := fleet[draw(0, len(members)-1, "to")]
			for range draw(0, 2, "copies") {
				if due := now + time.Duration(draw(0, 1500, "delay"))*time.Millisecond; ok {
					inTransit = append(inTransit, message{token, to, due})
				}
			}
		case event < 33:
			m.Budget = loadbudget.New(members[i])
			m.Configure(local, m.list, rate)
		case event == 33:
			m.clock += time.Duration(draw(-20_000, 20_000, "clock")) * time.Millisecond
			allowance += 2
		case event == 34:
			// The members apply a change one by one, as in a network partition.
			m.list = members[:draw(4, len(members), "members")]
			m.Configure(local, m.list, rate)
			allowance += float64(len(members))
		}
		inTransit = slices.DeleteFunc(inTransit, func(msg message) bool {
			if msg.due <= now {
				msg.to.Receive(at(now+msg.to.clock), msg.token)
			}
			return msg.due <= now
		})
		for _, m := range fleet {
			if mint(m.Budget, at(now+m.clock)) {
				mints = append(mints, now)
			}
		}
	}
	checkRate(t, "minted", mints, allowance)
	checkRate(t, "used", uses, allowance+rate*loadbudget.TokenTTL.Seconds())
}

// checkRate compares the number of events in every window between two of them
// with the rate.
func checkRate(t *rapid.T, what string, times []time.Duration, allowance float64) {
	for i := range times {
		for j := i; j < len(times); j++ {
			window := times[j] - times[i] + step
			if n := float64(j - i + 1); n > rate*window.Seconds()+allowance {
				t.Fatalf("%s %v tokens in %v, allowed %.1f", what, n, window, rate*window.Seconds()+allowance)
			}
		}
	}
}

// hotMember simulates eight members of which one always needs loads. It returns
// the number of loads that this member starts in 60 s and the maximum number in
// flight at once. The others pass their tokens on to it if passTokens is set; it
// also starts loads without a token if unlimited is set.
func hotMember(passTokens, unlimited bool) (loads, peak int) {
	budgets := make([]*loadbudget.Budget, len(members))
	var running []time.Duration
	for now := time.Duration(0); now < time.Minute; now += step {
		running = slices.DeleteFunc(running, func(end time.Duration) bool { return end <= now })
		for i, name := range members {
			if budgets[i] == nil {
				budgets[i] = budget(name, members)
			}
			budgets[i].Tick(at(now))
			if i > 0 && passTokens {
				if token, ok := budgets[i].TakeSurplus(at(now)); ok {
					budgets[0].Receive(at(now), token)
				}
			}
		}
		for budgets[0].Take(at(now)) || (unlimited && len(running) < 40) {
			loads++
			running = append(running, now+250*time.Millisecond)
		}
		peak = max(peak, len(running))
	}
	return loads, peak
}
