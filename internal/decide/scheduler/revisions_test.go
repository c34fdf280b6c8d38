package scheduler

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Revisions known to a target", func() {
	type learned struct {
		at       time.Duration
		revision uint64
	}
	start := time.Unix(1000, 0)

	// A target without requests looked at its revisions only when the next
	// request came, and began the grace of the newest one then; it accepted
	// a stale route however long it had known a newer revision.
	DescribeTable("settle a grace after they were learned",
		func(at time.Duration, want uint64, list ...learned) {
			var r revisions
			for _, l := range list {
				r.learn(start.Add(l.at), l.revision)
			}
			Expect(r.settled(start.Add(at))).To(Equal(want))
		},
		Entry("one, within its grace", StaleGrace, uint64(0), learned{0, 1}),
		Entry("one, after its grace", StaleGrace+1, uint64(1), learned{0, 1}),
		Entry("two, the second within its grace", StaleGrace+1, uint64(1), learned{0, 1}, learned{time.Second, 2}),
		Entry("two, both long ago", time.Hour, uint64(2), learned{0, 1}, learned{time.Second, 2}),
		Entry("many in a row, then none", time.Hour, uint64(4), learned{0, 1}, learned{1, 2}, learned{2, 3}, learned{3, 4}),
		Entry("the same again does not begin the grace anew", StaleGrace+1, uint64(1), learned{0, 1}, learned{StaleGrace, 1}),
		Entry("an older one changes nothing", time.Hour, uint64(2), learned{0, 2}, learned{time.Second, 1}),
	)
})
