package idempotency_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatelanding.example/agatelanding/internal/decide/idempotency"
	_ "agatelanding.example/agatelanding/internal/rapidseed"
)

func TestIdempotency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "idempotency")
}

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

const (
	recordLifeSeconds  = float64(idempotency.RecordTTL / time.Second)
	clockMarginSeconds = float64(idempotency.ClockMargin / time.Second)
)

func call(key string, created float64) idempotency.Call {
	return idempotency.Call{Key: key, KeyCreated: at(created), BodyDigest: 1}
}

// begin calls Begin and returns only the verdict.
func begin(s *idempotency.Store, now float64, c idempotency.Call) idempotency.Verdict {
	verdict, _ := s.Begin(at(now), c)
	return verdict
}

// storeWithRecord returns a store that has executed key "k" at 100 s. The key was
// created at 100 s as well.
func storeWithRecord(maxRecords int) *idempotency.Store {
	s := idempotency.New(start, maxRecords)
	begin(s, 100, call("k", 100))
	s.Finish(at(100), "k", idempotency.Outcome{Status: 200, Body: []byte("gate opened")})
	return s
}

var _ = Describe("Store", func() {
	DescribeTable("decides about a key without a record",
		func(c idempotency.Call, now float64, want idempotency.Verdict) {
			Expect(begin(idempotency.New(start, 10), now, c)).To(Equal(want))
		},
		Entry("created well after the start", call("n", clockMarginSeconds+1), clockMarginSeconds+1, idempotency.Execute),
		// The process before the restart may have executed it.
		Entry("created before the start", call("n", -1), 100.0, idempotency.PossiblyExecuted),
		Entry("created at the margin", call("n", clockMarginSeconds), 100.0, idempotency.PossiblyExecuted),
		Entry("created in the future within MaxCallerClockLead", call("n", 102), 100.0, idempotency.Execute),
		// It would still seem new after a restart that follows its execution.
		Entry("created in the future beyond MaxCallerClockLead", call("n", 102.5), 100.0, idempotency.PossiblyExecuted),
		Entry("created long ago, after the start", call("n", 100), 5000.0, idempotency.Execute),
		Entry("without a creation time, soon after the start", idempotency.Call{Key: "n"}, recordLifeSeconds, idempotency.PossiblyExecuted),
		Entry("without a creation time, RecordTTL after the start", idempotency.Call{Key: "n"}, recordLifeSeconds+clockMarginSeconds+1, idempotency.Execute),
		Entry("created before this target became its home", idempotency.Call{Key: "n", KeyCreated: at(130), HomeSince: at(200)}, 210.0, idempotency.PossiblyExecuted),
		Entry("created after this target became its home", idempotency.Call{Key: "n", KeyCreated: at(206), HomeSince: at(200)}, 210.0, idempotency.Execute),
		Entry("created soon after the start, home unchanged since before the start", idempotency.Call{Key: "n", KeyCreated: at(3), HomeSince: at(-100)}, 10.0, idempotency.PossiblyExecuted),
		Entry("without a creation time, soon after a change of home", idempotency.Call{Key: "n", HomeSince: at(5000)}, 5000+recordLifeSeconds, idempotency.PossiblyExecuted),
	)

	DescribeTable("decides about a call after key k was executed",
		func(disturb func(*idempotency.Store), now float64, c idempotency.Call, want idempotency.Verdict) {
			s := storeWithRecord(10)
			disturb(s)
			Expect(begin(s, now, c)).To(Equal(want))
		},
		Entry("repeated", func(*idempotency.Store) {}, 101.0, call("k", 100), idempotency.Replay),
		Entry("repeated with another body", func(*idempotency.Store) {}, 101.0, idempotency.Call{Key: "k", KeyCreated: at(100), BodyDigest: 2}, idempotency.Mismatch),
		Entry("repeated after its home changed", func(*idempotency.Store) {}, 101.0, idempotency.Call{Key: "k", KeyCreated: at(100), BodyDigest: 1, HomeSince: at(101)}, idempotency.Replay),
		// Abort after Finish must not make the key executable again.
		Entry("aborted after it was executed", func(s *idempotency.Store) { s.Abort("k") }, 101.0, call("k", 100), idempotency.Replay),
		Entry("record expired", func(s *idempotency.Store) { s.Expire(at(101 + recordLifeSeconds)) }, 101+recordLifeSeconds, call("k", 100), idempotency.PossiblyExecuted),
		Entry("another key created at the same time as an expired one", func(s *idempotency.Store) { s.Expire(at(101 + recordLifeSeconds)) }, 101+recordLifeSeconds, call("n", 100), idempotency.PossiblyExecuted),
		Entry("another key created after an expired one", func(s *idempotency.Store) { s.Expire(at(101 + recordLifeSeconds)) }, 101+recordLifeSeconds, call("n", 101), idempotency.Execute),
		// The clock was ahead, so the record expired too early.
		Entry("record expired by a clock that has been set back since", func(s *idempotency.Store) { s.Expire(at(5000)) }, 101.0, call("k", 100), idempotency.PossiblyExecuted),
		Entry("finished twice", func(s *idempotency.Store) {
			s.Finish(at(200), "k", idempotency.Outcome{})
			s.Expire(at(101 + recordLifeSeconds))
		}, 101+recordLifeSeconds, call("k", 100), idempotency.PossiblyExecuted),
	)

	It("returns the recorded outcome", func() {
		verdict, outcome := storeWithRecord(10).Begin(at(101), call("k", 100))
		Expect(verdict).To(Equal(idempotency.Replay))
		Expect(outcome).To(Equal(idempotency.Outcome{Status: 200, Body: []byte("gate opened")}))
	})

	It("runs an aborted key again, but not an open one", func() {
		s := idempotency.New(start, 10)
		Expect(begin(s, 100, call("k", 100))).To(Equal(idempotency.Execute))
		Expect(begin(s, 100+2*recordLifeSeconds, call("k", 100))).To(Equal(idempotency.InProgress))
		s.Abort("k")
		Expect(begin(s, 101, call("k", 100))).To(Equal(idempotency.Execute))
	})

	It("refuses new keys when it is full and takes them when records have expired", func() {
		s := storeWithRecord(2)
		begin(s, 100, call("open", 100))
		Expect(begin(s, 101, call("n", 101))).To(Equal(idempotency.Full))
		Expect(begin(s, 101, call("k", 100))).To(Equal(idempotency.Replay))
		Expect(begin(s, 101+recordLifeSeconds, call("n", 101+recordLifeSeconds))).To(Equal(idempotency.Execute))
	})

	// MaxRecords records with large bodies must not use up the memory of the VM.
	It("bounds the bodies it keeps and reports a dropped body", func() {
		s := idempotency.New(start, 1000)
		for i := range 200 {
			key := fmt.Sprint(i)
			begin(s, 100, call(key, 100))
			s.Finish(at(100), key, idempotency.Outcome{Body: make([]byte, idempotency.MaxBodyBytes+i%2)})
			Expect(s.BodyBytes()).To(BeNumerically("<=", idempotency.MaxStoreBytes))
		}
		for key, dropped := range map[string]bool{"0": false, "1": true, "198": true} {
			verdict, outcome := s.Begin(at(101), call(key, 100))
			Expect([]any{verdict, outcome.BodyDropped}).To(Equal([]any{idempotency.Replay, dropped}))
		}
		s.Expire(at(101 + recordLifeSeconds))
		Expect([]int{s.Len(), s.BodyBytes()}).To(Equal([]int{0, 0}))
	})

	// Expire runs on each tick, so it must not visit all records.
	It("expires records without visiting the others", func() {
		s := idempotency.New(start, idempotency.MaxRecords)
		for i := range idempotency.MaxRecords {
			begin(s, 100, call(fmt.Sprint(i), 100))
			s.Finish(at(100), fmt.Sprint(i), idempotency.Outcome{})
		}
		began := time.Now()
		for range 100_000 {
			s.Expire(at(200))
		}
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})

	It("executes a key at most once over restarts, expiry, changes of home and clock errors", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			if most := maxExecutions(t, true); most > 1 {
				t.Fatalf("a key was executed %d times", most)
			}
		})
	})

	// Shows that the random events of the spec above can lead to repeated
	// executions. If they could not, that spec would pass without any records.
	It("executes a key more than once without records", func() {
		naive := rapid.Custom(func(t *rapid.T) int { return maxExecutions(t, false) })
		Expect(naive.Filter(func(most int) bool { return most > 1 }).Example(1)).To(BeNumerically(">", 1))
	})
})

// homeGrace is the time in seconds for which an entry may use the previous home
// after a change.
const homeGrace = 20

// home is one of several targets that are home of the same keys one after the
// other. Each has its own clock and loses its records at a restart.
type home struct {
	*idempotency.Store
	// skew is the deviation of the target's clock in seconds. since is the
	// Call.HomeSince of its keys by that clock, in seconds after start.
	skew, since float64
}

// maxExecutions runs random events and returns the highest number of executions
// of one key. Callers have their own clocks, repeat keys and may send them to the
// previous home for homeGrace after a change. After a restart a target does not
// know the previous target list, so it counts as home only after homeGrace.
func maxExecutions(t *rapid.T, records bool) (most int) {
	now, changed := 1000.0, 0.0
	homes := make([]home, 3)
	restart := func(i int) {
		homes[i].Store = idempotency.New(at(now+homes[i].skew), 20)
		homes[i].since = now + homes[i].skew + homeGrace
	}
	for i := range homes {
		// Two clocks differ by at most MaxTargetClockSkew.
		homes[i].skew = rapid.Float64Range(-1.5, 1.5).Draw(t, "skew")
		restart(i)
	}
	var keys []idempotency.Call
	runs := map[string]int{}
	current, previous := 0, 0
	for range rapid.IntRange(1, 120).Draw(t, "steps") {
		now += rapid.SampledFrom([]float64{0, 0.5, 3, 8, 30, recordLifeSeconds / 2}).Draw(t, "wait")
		switch event := rapid.IntRange(0, 9).Draw(t, "event"); {
		case event == 0:
			restart(current)
			continue
		case event == 1:
			if next := rapid.IntRange(0, 2).Draw(t, "home"); next != current {
				previous, current, changed = current, next, now
				homes[next].since = now + homes[next].skew + homeGrace
			}
			continue
		case event < 5 || len(keys) == 0:
			ahead := rapid.SampledFrom([]float64{0, -1, 1.9, -30, 60, 4}).Draw(t, "caller clock")
			keys = append(keys, call(fmt.Sprint("k", len(keys)), now+ahead))
		}
		k := keys[len(keys)-1]
		if rapid.Bool().Draw(t, "repeat") {
			k = rapid.SampledFrom(keys).Draw(t, "key")
		}
		h := homes[current]
		if now < changed+homeGrace && rapid.Bool().Draw(t, "stale entry") {
			h = homes[previous]
		}
		k.HomeSince = at(h.since)
		if records && begin(h.Store, now+h.skew, k) != idempotency.Execute {
			continue
		}
		switch rapid.IntRange(0, 3).Draw(t, "end") {
		case 0:
			h.Abort(k.Key)
			continue
		case 1:
			// The process may die after the call has left and before its end.
		default:
			h.Finish(at(now+h.skew), k.Key, idempotency.Outcome{})
		}
		runs[k.Key]++
		most = max(most, runs[k.Key])
	}
	return most
}
