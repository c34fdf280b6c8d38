package idempotency_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatelanding.example/agatelanding/internal/decide/idempotency"
)

func TestIdempotency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "idempotency")
}

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

const (
	life   = float64(idempotency.RecordLife / time.Second)
	margin = float64(idempotency.ClockMargin / time.Second)
)

func call(key string, created float64) idempotency.Call {
	return idempotency.Call{Key: key, Created: at(created), Digest: 1}
}

// begin returns only the verdict.
func begin(s *idempotency.Store, now float64, c idempotency.Call) idempotency.Verdict {
	verdict, _ := s.Begin(at(now), c)
	return verdict
}

// done returns a store that executed key "k", created at 100 s, at 100 s.
func done(limit int) *idempotency.Store {
	s := idempotency.New(start, limit)
	begin(s, 100, call("k", 100))
	s.Finish(at(100), "k", idempotency.Outcome{Status: 200, Body: []byte("gate opened")})
	return s
}

var _ = Describe("Store", func() {
	DescribeTable("decides about a key without a record",
		func(c idempotency.Call, now float64, want idempotency.Verdict) {
			Expect(begin(idempotency.New(start, 10), now, c)).To(Equal(want))
		},
		Entry("created well after the start", call("n", margin+1), margin+1, idempotency.Run),
		// The process before this one may have executed it.
		Entry("created before the start", call("n", -1), 100.0, idempotency.CannotKnow),
		Entry("created at the margin", call("n", margin), 100.0, idempotency.CannotKnow),
		Entry("created a little in the future", call("n", 102), 100.0, idempotency.Run),
		// Believed, it would still seem new after a restart that follows its execution.
		Entry("created in the future beyond the margin", call("n", 102.5), 100.0, idempotency.CannotKnow),
		Entry("created long ago, after the start", call("n", 100), 5000.0, idempotency.Run),
		Entry("without a time, soon after the start", idempotency.Call{Key: "n"}, life, idempotency.CannotKnow),
		Entry("without a time, a record life later", idempotency.Call{Key: "n"}, life+margin+1, idempotency.Run),
		Entry("created before this target became its home", idempotency.Call{Key: "n", Created: at(130), HomeSince: at(200)}, 210.0, idempotency.CannotKnow),
		Entry("created after this target became its home", idempotency.Call{Key: "n", Created: at(206), HomeSince: at(200)}, 210.0, idempotency.Run),
		Entry("home of the key since before the start", idempotency.Call{Key: "n", Created: at(3), HomeSince: at(-100)}, 10.0, idempotency.CannotKnow),
		Entry("without a time, soon after a change of home", idempotency.Call{Key: "n", HomeSince: at(5000)}, 5000+life, idempotency.CannotKnow),
	)

	DescribeTable("decides about a key that was used",
		func(disturb func(*idempotency.Store), now float64, c idempotency.Call, want idempotency.Verdict) {
			s := done(10)
			disturb(s)
			Expect(begin(s, now, c)).To(Equal(want))
		},
		Entry("repeated", func(*idempotency.Store) {}, 101.0, call("k", 100), idempotency.Replay),
		Entry("repeated with another body", func(*idempotency.Store) {}, 101.0, idempotency.Call{Key: "k", Created: at(100), Digest: 2}, idempotency.Mismatch),
		Entry("repeated after its home changed", func(*idempotency.Store) {}, 101.0, idempotency.Call{Key: "k", Created: at(100), Digest: 1, HomeSince: at(101)}, idempotency.Replay),
		// Abort after Finish must not open the key again.
		Entry("aborted after it was executed", func(s *idempotency.Store) { s.Abort("k") }, 101.0, call("k", 100), idempotency.Replay),
		Entry("record expired", func(s *idempotency.Store) { s.Expire(at(101 + life)) }, 101+life, call("k", 100), idempotency.CannotKnow),
		Entry("another key of the same age as an expired one", func(s *idempotency.Store) { s.Expire(at(101 + life)) }, 101+life, call("n", 100), idempotency.CannotKnow),
		Entry("a younger key after an expiry", func(s *idempotency.Store) { s.Expire(at(101 + life)) }, 101+life, call("n", 101), idempotency.Run),
		// The clock that was ahead dropped the record too early.
		Entry("record expired by a clock that was set back since", func(s *idempotency.Store) { s.Expire(at(5000)) }, 101.0, call("k", 100), idempotency.CannotKnow),
		Entry("finished twice", func(s *idempotency.Store) {
			s.Finish(at(200), "k", idempotency.Outcome{})
			s.Expire(at(101 + life))
		}, 101+life, call("k", 100), idempotency.CannotKnow),
	)

	It("returns the recorded outcome", func() {
		verdict, outcome := done(10).Begin(at(101), call("k", 100))
		Expect(verdict).To(Equal(idempotency.Replay))
		Expect(outcome).To(Equal(idempotency.Outcome{Status: 200, Body: []byte("gate opened")}))
	})

	It("runs an aborted key again and an open one not", func() {
		s := idempotency.New(start, 10)
		Expect(begin(s, 100, call("k", 100))).To(Equal(idempotency.Run))
		Expect(begin(s, 100+2*life, call("k", 100))).To(Equal(idempotency.InProgress))
		s.Abort("k")
		Expect(begin(s, 101, call("k", 100))).To(Equal(idempotency.Run))
	})

	It("refuses new keys when it is full and takes them when records have expired", func() {
		s := done(2)
		begin(s, 100, call("open", 100))
		Expect(begin(s, 101, call("n", 101))).To(Equal(idempotency.Full))
		Expect(begin(s, 101, call("k", 100))).To(Equal(idempotency.Replay))
		Expect(begin(s, 101+life, call("n", 101+life))).To(Equal(idempotency.Run))
	})

	// 50,000 records with bodies must not take the memory of the node.
	It("bounds the answers it keeps and says when one is dropped", func() {
		s := idempotency.New(start, 1000)
		for i := range 200 {
			key := fmt.Sprint(i)
			begin(s, 100, call(key, 100))
			s.Finish(at(100), key, idempotency.Outcome{Body: make([]byte, idempotency.MaxBody+i%2)})
			Expect(s.Bytes()).To(BeNumerically("<=", idempotency.MaxBytes))
		}
		for key, dropped := range map[string]bool{"0": false, "1": true, "198": true} {
			verdict, outcome := s.Begin(at(101), call(key, 100))
			Expect([]any{verdict, outcome.BodyDropped}).To(Equal([]any{idempotency.Replay, dropped}))
		}
		s.Expire(at(101 + life))
		Expect([]int{s.Len(), s.Bytes()}).To(Equal([]int{0, 0}))
	})

	// Expire runs on each tick; it must not visit all records.
	It("expires records without visiting the others", func() {
		s := idempotency.New(start, idempotency.MaxRecords)
		for i := range idempotency.MaxRecords {
			key := fmt.Sprint(i)
			begin(s, 100, call(key, 100))
			s.Finish(at(100), key, idempotency.Outcome{})
		}
		Expect(testing.AllocsPerRun(10, func() { s.Expire(at(200)) })).To(BeZero())
		began := time.Now()
		for range 100_000 {
			s.Expire(at(200))
		}
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})

	It("executes a key at most once over restarts, expiry, moves and clock errors", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			if most := newChain(t, true).run(t); most > 1 {
				t.Fatalf("a key was executed %d times", most)
			}
		})
	})

	It("executes keys twice without records", func() {
		worst := 0
		for seed := range 50 {
			most := rapid.Custom(func(t *rapid.T) int { return newChain(t, false).run(t) }).Example(seed)
			worst = max(worst, most)
		}
		Expect(worst).To(BeNumerically(">", 1))
	})
})

// chain is a row of targets that are home of the same keys one after the
// other. Each has its own clock and loses its records at a restart. Callers
// have clocks of their own and repeat keys as they like.
type chain struct {
	now    float64
	stores []*idempotency.Store
	skew   []float64
	home   int
	since  []float64
	// previous is the home until changed; entries may follow it for grace.
	previous int
	changed  float64
	keys     []idempotency.Call
	runs     map[string]int
	naive    bool
}

const grace = 20

func newChain(t *rapid.T, records bool) *chain {
	c := &chain{now: 1000, runs: map[string]int{}, naive: !records}
	for range 3 {
		// Two clocks differ by at most MaxTargetSkew.
		c.skew = append(c.skew, rapid.Float64Range(-1.5, 1.5).Draw(t, "skew"))
		c.stores = append(c.stores, nil)
		c.since = append(c.since, 0)
	}
	for i := range c.stores {
		c.restart(i)
	}
	return c
}

func (c *chain) clock(i int) float64 { return c.now + c.skew[i] }

func (c *chain) restart(i int) {
	c.stores[i] = idempotency.New(at(c.clock(i)), 20)
	// A new process does not know the list before; it waits out the grace.
	c.since[i] = c.clock(i) + grace
}

// run lets random events happen and returns the most executions of one key.
func (c *chain) run(t *rapid.T) int {
	for range rapid.IntRange(1, 120).Draw(t, "steps") {
		c.now += rapid.SampledFrom([]float64{0, 0.5, 3, 8, 30, life / 2}).Draw(t, "wait")
		i := c.home
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0:
			c.restart(i)
		case 1:
			c.home = rapid.IntRange(0, 2).Draw(t, "home")
			if c.home != i {
				c.since[c.home] = c.clock(c.home) + grace
				c.previous, c.changed = i, c.now
			}
		case 2, 3, 4:
			ahead := rapid.SampledFrom([]float64{0, -1, 1.9, -30, 60, 4}).Draw(t, "caller clock")
			key := fmt.Sprint("k", len(c.keys))
			c.keys = append(c.keys, call(key, c.now+ahead))
			c.submit(t, i, c.keys[len(c.keys)-1])
		default:
			if len(c.keys) > 0 {
				c.submit(t, i, rapid.SampledFrom(c.keys).Draw(t, "repeated"))
			}
		}
	}
	most := 0
	for _, n := range c.runs {
		most = max(most, n)
	}
	return most
}

// submit sends a key to a home. During the grace an entry with the old list
// may still send it to the previous one.
func (c *chain) submit(t *rapid.T, i int, k idempotency.Call) {
	if c.now < c.changed+grace && rapid.Bool().Draw(t, "stale entry") {
		i = c.previous
	}
	k.HomeSince = at(c.since[i])
	if c.naive {
		c.runs[k.Key]++
		return
	}
	s := c.stores[i]
	if begin(s, c.clock(i), k) != idempotency.Run {
		return
	}
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		s.Abort(k.Key)
	case 1:
		// The process may die after the call has left and before its end.
		c.runs[k.Key]++
	default:
		c.runs[k.Key]++
		s.Finish(at(c.clock(i)), k.Key, idempotency.Outcome{})
	}
}
