package scheduler

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Minimum route revision", func() {
	type received struct {
		at       time.Duration
		revision uint64
	}
	start := time.Unix(1000, 0)

	// The grace must count from when a revision was received. If it counted
	// from the next request, a target without requests would accept a stale
	// route however long it had known a newer revision.
	DescribeTable("is a revision that was received StaleRouteGracePeriod ago",
		func(at time.Duration, want uint64, list ...received) {
			var r revisions
			for _, l := range list {
				r.add(start.Add(l.at), l.revision)
			}
			Expect(r.minRevisionAt(start.Add(at))).To(Equal(want))
		},
		Entry("one revision, within its grace", StaleRouteGracePeriod, uint64(0), received{0, 1}),
		Entry("one revision, after its grace", StaleRouteGracePeriod+1, uint64(1), received{0, 1}),
		Entry("two revisions, the second within its grace", StaleRouteGracePeriod+1, uint64(1), received{0, 1}, received{time.Second, 2}),
		Entry("two revisions, both after their grace", time.Hour, uint64(2), received{0, 1}, received{time.Second, 2}),
		Entry("several revisions within one grace, then none", time.Hour, uint64(4), received{0, 1}, received{1, 2}, received{2, 3}, received{3, 4}),
		Entry("a repeated revision does not restart the grace", StaleRouteGracePeriod+1, uint64(1), received{0, 1}, received{StaleRouteGracePeriod, 1}),
		Entry("an older revision changes nothing", time.Hour, uint64(2), received{0, 2}, received{time.Second, 1}),
	)
})
