package loadbudget_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatelanding.example/agatelanding/internal/decide/loadbudget"
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

// mint ticks b and reports whether it minted a token.
func mint(b *loadbudget.Budget, now time.Time) bool {
	before := b.Available(now)
	b.Tick(now)
	return b.Available(now) > before
}

// tick counts the tokens that b mints between two times.
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
	DescribeTable("accepts a passed token once and only while it lives",
		func(token loadbudget.Token, again time.Duration, want, wantAgain bool) {
			b := budget("a", members)
			Expect(b.Receive(start, token)).To(Equal(want))
			Expect(b.Receive(at(again), token)).To(Equal(wantAgain))
		},
		Entry("fresh, then duplicated", loadbudget.Token{Minter: "b", Period: 1, Expires: at(time.Second)}, time.Millisecond, true, false),
		Entry("expired", loadbudget.Token{Minter: "b", Period: 1, Expires: start}, time.Duration(0), false, false),
		Entry("duplicated after it expired", loadbudget.Token{Minter: "b", Period: 1, Expires: at(time.Second)}, 2*time.Second, true, false),
		// A token from a clock that is far ahead would outlive its budget.
		Entry("lives too long", loadbudget.Token{Minter: "b", Period: 1, Expires: at(2 * time.Second)}, time.Millisecond, false, false),
		// The minter may have used it after a duplicated message.
		Entry("minted here", loadbudget.Token{Minter: "a", Period: 1, Expires: at(time.Second)}, time.Millisecond, false, false),
		// The expiry loses precision on the wire; it must not make a token new.
		Entry("a clock that is set back", loadbudget.Token{Minter: "b", Period: 1, Expires: at(time.Second)}, -500*time.Millisecond, true, false),
	)

	// Taking a token that comes back for a duplicate lost 12% of the rate.
	It("takes a token that comes back, but no duplicate of it", func() {
		b, other := loadbudget.New("a"), loadbudget.New("c")
		token := loadbudget.Token{Minter: "b", Period: 1, Expires: at(time.Second), Hops: 1}
		for hops := uint8(1); hops < loadbudget.MaxHops-1; hops += 2 {
			Expect(b.Receive(start, token)).To(BeTrue())
			Expect(b.Receive(start, token)).To(BeFalse())
			passed, _ := b.Surplus(start)
			Expect(passed.Hops).To(Equal(hops + 1))
			Expect(other.Receive(start, passed)).To(BeTrue())
			token, _ = other.Surplus(start)
		}
		token.Hops = loadbudget.MaxHops
		Expect(b.Receive(start, token)).To(BeTrue())
		_, ok := b.Surplus(start)
		Expect(ok).To(BeFalse(), "passed on without end")
		Expect(b.Take(start)).To(BeTrue())
		Expect(b.Take(start)).To(BeFalse())
	})

	It("recognizes a duplicate with another expiry", func() {
		b := budget("a", members)
		Expect(b.Receive(start, loadbudget.Token{Minter: "b", Period: 1, Expires: at(time.Second)})).To(BeTrue())
		Expect(b.Receive(start, loadbudget.Token{Minter: "b", Period: 1, Expires: at(time.Second - time.Microsecond)})).To(BeFalse())
	})

	It("uses the token that expires first and passes on the one that expires last", func() {
		b := budget("a", members)
		for i, life := range []time.Duration{700, 900, 300} {
			b.Receive(start, loadbudget.Token{Minter: "b", Period: int64(i), Expires: at(life * time.Millisecond)})
		}
		last, _ := b.Surplus(start)
		Expect(last.Period).To(BeEquivalentTo(1))
		Expect(b.Take(start)).To(BeTrue())
		Expect(b.Available(at(400 * time.Millisecond))).To(Equal(1))
		Expect(b.Take(at(800 * time.Millisecond))).To(BeFalse())
	})

	It("refuses tokens beyond a bound from a faulty peer", func() {
		b := budget("a", members)
		for i := range 10_000 {
			b.Receive(start, loadbudget.Token{Minter: "b", Period: int64(i), Expires: at(time.Second)})
		}
		Expect(b.Available(start)).To(BeNumerically("<=", 256))
	})

	DescribeTable("mints one token a period",
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
		Entry("not when it has left", func(b *loadbudget.Budget) { b.Configure(at(10*period), []string{"x"}, rate) }, time.Duration(0), 0, 0),
		Entry("not without a rate", func(b *loadbudget.Budget) { b.Configure(at(10*period), members, 0) }, time.Duration(0), 0, 0),
	)

	// Without the rule each restart within a period would mint anew.
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

	// Without the minimum distance each change could bring a boundary at once.
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

	It("keeps the rate over loss, duplication, delay, restarts, clock steps and list changes", func() {
		rapid.Check(GinkgoT(), fleetKeepsRate)
	})

	It("serves a hot member better than static shares and within the store's limit", func() {
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

// fleet is a set of members with their own clocks and a lossy network.
type fleet struct {
	now     time.Duration
	names   []string
	budgets []*loadbudget.Budget
	clocks  []time.Duration
	lists   [][]string
	mail    []mail
	mints   []time.Duration
	uses    []time.Duration
	// extra is the number of tokens that steps and changes may add.
	extra int
}

type mail struct {
	token loadbudget.Token
	to    int
	due   time.Duration
}

func (f *fleet) clock(i int) time.Time { return at(f.now + f.clocks[i]) }

func fleetKeepsRate(t *rapid.T) {
	f := &fleet{names: members}
	for _, name := range members {
		f.budgets = append(f.budgets, budget(name, members))
		f.clocks = append(f.clocks, 0)
		f.lists = append(f.lists, members)
	}
	for range rapid.IntRange(10, 300).Draw(t, "steps") {
		f.now += step
		f.disturb(t, rapid.IntRange(0, len(members)-1).Draw(t, "member"), rapid.IntRange(0, 40).Draw(t, "event"))
		f.deliver()
		for i, b := range f.budgets {
			if mint(b, f.clock(i)) {
				f.mints = append(f.mints, f.now)
			}
		}
	}
	check(t, "minted", f.mints, float64(f.extra)+1)
	check(t, "used", f.uses, float64(f.extra)+1+rate*loadbudget.TokenLife.Seconds())
}

func (f *fleet) disturb(t *rapid.T, i, event int) {
	switch {
	case event < 10:
		if f.budgets[i].Take(f.clock(i)) {
			f.uses = append(f.uses, f.now)
		}
	case event < 30:
		// Loss, delay and duplication; a token goes to one receiver only.
		token, ok := f.budgets[i].Surplus(f.clock(i))
		to := rapid.IntRange(0, len(f.names)-1).Draw(t, "to")
		for range rapid.IntRange(0, 2).Draw(t, "copies") {
			due := f.now + time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay"))*time.Millisecond
			if ok {
				f.mail = append(f.mail, mail{token, to, due})
			}
		}
	case event < 33:
		f.budgets[i] = loadbudget.New(f.names[i])
		f.budgets[i].Configure(f.clock(i), f.lists[i], rate)
	case event == 33:
		f.clocks[i] += time.Duration(rapid.IntRange(-20_000, 20_000).Draw(t, "clock")) * time.Millisecond
		f.extra += 2
	case event == 34:
		// Members learn of a change one by one, also over a partition.
		f.lists[i] = members[:rapid.IntRange(4, len(members)).Draw(t, "members")]
		f.budgets[i].Configure(f.clock(i), f.lists[i], rate)
		f.extra += len(members)
	}
}

func (f *fleet) deliver() {
	kept := f.mail[:0]
	for _, m := range f.mail {
		if m.due > f.now {
			kept = append(kept, m)
			continue
		}
		f.budgets[m.to].Receive(f.clock(m.to), m.token)
	}
	f.mail = kept
}

// check compares every window between two events with the rate.
func check(t *rapid.T, what string, times []time.Duration, slack float64) {
	for i := range times {
		for j := i; j < len(times); j++ {
			window := times[j] - times[i] + step
			if n := float64(j - i + 1); n > rate*window.Seconds()+slack {
				t.Fatalf("%s %v tokens in %v, allowed %.1f", what, n, window, rate*window.Seconds()+slack)
			}
		}
	}
}

// hotMember lets one member of eight need loads all the time and returns the
// loads it starts in 60 s and the most that are in flight at once.
func hotMember(pass, unlimited bool) (loads, peak int) {
	const loadTime = 250 * time.Millisecond
	var all []*loadbudget.Budget
	for _, name := range members {
		all = append(all, budget(name, members))
	}
	var running []time.Duration
	for now := time.Duration(0); now < time.Minute; now += step {
		for len(running) > 0 && running[0] <= now {
			running = running[1:]
		}
		for i, b := range all {
			b.Tick(at(now))
			if i == 0 || !pass {
				continue
			}
			if token, ok := b.Surplus(at(now)); ok {
				all[0].Receive(at(now), token)
			}
		}
		for all[0].Take(at(now)) || (unlimited && len(running) < 40) {
			loads++
			running = append(running, now+loadTime)
		}
		peak = max(peak, len(running))
	}
	return loads, peak
}
