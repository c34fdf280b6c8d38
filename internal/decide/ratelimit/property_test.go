package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "agatelanding.example/agatelanding/internal/rapidseed"
)

const (
	// A target names its rate from needBegins to the end of a run, which ends at calmEnds
	// if no entry changes.
	needBegins = 5 * time.Second
	calmEnds   = 22 * time.Second
	runEnds    = 32 * time.Second
)

// allowed returns the requests that a rate allows in a window.
func allowed(rate float64) int { return int(1.5*rate*window.Seconds()) + 5 }

// Guards against a sum over the entries that exceeds the rate, and a target without work.
func TestEntriesTogetherKeepTheRate(t *testing.T) {
	for _, rate := range []float64{0.3, 1.2, 20, 400} {
		for _, entries := range []int{1, 4, 32, 68} {
			for _, others := range []int{0, 1} {
				t.Run(fmt.Sprintf("%v a second at %d entries, %d other targets", rate, entries, others), func(t *testing.T) {
					t.Parallel()
					f := newSimFleet(1, entries, others)
					f.demand(max(20, 2*rate) * float64(1+others))
					f.after(needBegins, func() { f.rate = rate })
					f.run(calmEnds)
					if most := f.most(needBegins + contactTime); most > allowed(rate) {
						t.Errorf("%d requests in 4 s, %d are allowed", most, allowed(rate))
					}
					if fewest, want := f.fewest(needBegins+contactTime, calmEnds), int(0.8*10*rate); fewest < want {
						t.Errorf("%d requests in 10 s, at least %d are expected", fewest, want)
					}
				})
			}
		}
	}
}

// Guards against parts that add up to more than the rate while the views of entries differ.
func TestChangingEntriesTogetherKeepTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SampledFrom([]int{2, 4, 9}).Draw(t, "entries")
		rate := rapid.SampledFrom([]float64{0.3, 1.2, 5, 20}).Draw(t, "rate")
		f := newSimFleet(rapid.Int64().Draw(t, "seed"), entries, rapid.IntRange(0, 1).Draw(t, "others"))
		f.demand(max(20, 3*rate))
		f.after(needBegins, func() { f.rate = rate })
		for i := range rapid.IntRange(1, 6).Draw(t, "changes") {
			e := f.entries[rapid.IntRange(0, entries-1).Draw(t, fmt.Sprint("entry ", i))]
			at := time.Duration(rapid.IntRange(3000, 28000).Draw(t, fmt.Sprint("at ", i))) * time.Millisecond
			d := time.Duration(rapid.IntRange(200, 6000).Draw(t, fmt.Sprint("for ", i))) * time.Millisecond
			kind := rapid.IntRange(0, 2).Draw(t, fmt.Sprint("kind ", i))
			f.after(at, func() { []func(time.Duration){e.restart, e.freeze, e.cutOff}[kind](d) })
		}
		f.run(runEnds)
		if most := f.most(needBegins + contactTime); most > allowed(rate) {
			t.Fatalf("%d requests in 4 s, %d are allowed", most, allowed(rate))
		}
	})
}

// Guards against a target that is bounded by a rate which it has changed or ended.
func TestChangedRateIsKept(t *testing.T) {
	f := newSimFleet(1, 8, 0)
	f.demand(60)
	f.after(5*time.Second, func() { f.rate = 20 })
	f.after(12*time.Second, func() { f.rate = 0.3 })
	f.after(25*time.Second, func() { f.rate = 10 })
	f.after(40*time.Second, func() { f.rate = 0 })
	f.run(55 * time.Second)
	rest := f.arrivals
	count := func(from, to time.Duration) int {
		n := 0
		for _, a := range rest {
			if a.at >= from && a.at < to {
				n++
			}
		}
		return n
	}
	for _, c := range []struct {
		from, to   time.Duration
		least, max int
	}{{8 * time.Second, 12 * time.Second, 64, 125}, {15 * time.Second, 25 * time.Second, 2, 8}, {32 * time.Second, 40 * time.Second, 64, 130}, {43 * time.Second, 55 * time.Second, 600, 900}} {
		if n := count(c.from, c.to); n < c.least || n > c.max {
			t.Errorf("%d requests from %v to %v, %d to %d are expected", n, c.from, c.to, c.least, c.max)
		}
	}
}
