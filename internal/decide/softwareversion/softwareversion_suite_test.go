package softwareversion_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	sv "agatelanding.example/agatelanding/internal/decide/softwareversion"
)

func TestSoftwareVersion(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "softwareversion")
}

var start = time.Unix(1000, 0)

var _ = Describe("A request that takes a stream up", func() {
	DescribeTable("may use", func(t sv.TakeUp, want sv.Decision, version string) {
		decision, got := sv.Decide(t)
		Expect(decision).To(Equal(want))
		Expect(got).To(Equal(version))
	},
		Entry("the version that began it", sv.TakeUp{Known: true, SamePool: true, Version: "v1", Versions: []string{"v1", "v2"}, Complete: true}, sv.Only, "v1"),
		Entry("the version that began it, though it is not listed", sv.TakeUp{Known: true, SamePool: true, Version: "v1", Versions: []string{"v2"}, Complete: true}, sv.Only, "v1"),
		Entry("a version without a name", sv.TakeUp{Known: true, SamePool: true, Version: "", Versions: []string{"", "v2"}, Complete: true}, sv.Only, ""),
		Entry("any of another pool", sv.TakeUp{Known: true, Version: "v1", Versions: []string{"v1"}, Complete: true}, sv.Any, ""),
		Entry("the only version of the past", sv.TakeUp{Versions: []string{"v1"}, Complete: true}, sv.Only, "v1"),
		Entry("none of several without knowledge", sv.TakeUp{Versions: []string{"v1", "v2"}, Complete: true}, sv.None, ""),
		Entry("none if one is listed but another may have left", sv.TakeUp{Versions: []string{"v1"}}, sv.None, ""),
		Entry("none if nothing is listed", sv.TakeUp{Complete: true}, sv.None, ""),
	)
})

var _ = Describe("The versions that a pool had", func() {
	It("are complete once the entry has seen, or read, enough of the past", func() {
		s := sv.NewSeen(start)
		Expect(s.Add(start, "p", "v1", start)).To(BeTrue())
		Expect(s.Add(start.Add(time.Second), "p", "v1", start.Add(time.Second))).To(BeFalse())
		_, complete := s.Versions(start.Add(sv.Needed-time.Millisecond), "p")
		Expect(complete).To(BeFalse())
		versions, complete := s.Versions(start.Add(sv.Needed), "p")
		Expect(versions).To(Equal([]string{"v1"}))
		Expect(complete).To(BeTrue())

		read := sv.NewSeen(start)
		read.Cover(start.Add(-sv.Needed))
		_, complete = read.Versions(start, "p")
		Expect(complete).To(BeTrue())
	})

	It("include one that has left lately and one that others have seen, of this pool only", func() {
		s := sv.NewSeen(start)
		s.Add(start, "p", "v1", start)
		now := start.Add(60 * time.Second)
		s.Add(now, "p", "v2", now)
		s.Add(now, "q", "v9", now)
		s.Add(now, "p", "v0", now.Add(-10*time.Second))
		s.Add(now, "p", "old", now.Add(-2*time.Minute))
		versions, _ := s.Versions(now, "p")
		Expect(versions).To(Equal([]string{"v0", "v1", "v2"}))
		versions, _ = s.Versions(start.Add(100*time.Second), "p")
		Expect(versions).To(Equal([]string{"v0", "v2"}))
	})

	// Guards against growth without bound, and against a conclusion from a part.
	It("are bounded, and not complete where there was no room", func() {
		s := sv.NewSeen(start)
		now := start.Add(sv.Needed)
		for i := range 10_000 {
			s.Add(now, "p", fmt.Sprint("v", i), now)
		}
		versions, complete := s.Versions(now, "p")
		Expect(len(versions)).To(BeNumerically("<=", 1024))
		Expect(complete).To(BeFalse())
		later := now.Add(2 * time.Minute)
		Expect(s.Add(later, "p", "v", later)).To(BeTrue(), "old ones make room")
	})
})
