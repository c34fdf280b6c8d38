package edge_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A part far back in a long prompt under which engines crash", func() {
	// Guards against a part that is never found because of its place (review/10): only the first
	// seven were looked at, by entries, messages and the decision.
	DescribeTable("reaches three engines at most once it is known, and costs sound requests nothing", func(parts, place int) {
		const trouble = 9 * time.Second
		f := newCrashFleet(4, 30*time.Millisecond)
		shared := func(i int, id string) (list []string) {
			for n := range parts - 1 {
				list = append(list, fmt.Sprintf("a%x", n))
			}
			list[place] = id
			list[1] = callerPart(i)
			return list
		}
		sound := f.promptEvery(50*time.Millisecond, trouble, func(i int) []string { return shared(i, "5a5a") })
		crashing := f.promptEvery(250*time.Millisecond, trouble, func(i int) []string { return shared(i, crashingPart) })()
		list := sound()
		known := f.expectFewLateRuns(crashing)
		for _, p := range list {
			Expect(p.body).NotTo(ContainSubstring(quarantineCode))
		}
		Expect(servedRate(list, known, known.Add(2*time.Second))).To(BeNumerically(">", 10))
	},
		Entry("the ninth of ten", 10, 8),
		Entry("just before the last of 40", 40, 38),
		Entry("in the middle of 1,200", 1200, 600),
	)
})
