package recall_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/recall"
)

func TestRecall(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "recall")
}

var start = time.Unix(1000, 0)

func fact(kind recall.Kind, key, value string, order uint64, at time.Time) recall.Fact {
	return recall.Fact{Kind: kind, Key: key, Value: []byte(value), Order: order, At: at, TTL: time.Minute}
}

var _ = Describe("A memory", func() {
	// Guards against an older fact that replaces a newer one: messages of two entries or
	// connections overtake each other.
	It("keeps the fact with the highest order, of equal ones the newer", func() {
		m := recall.NewMemory()
		for _, f := range []recall.Fact{
			fact(recall.Stream, "a", "v1", 1, start), fact(recall.Stream, "a", "v3", 3, start.Add(time.Second)),
			fact(recall.Stream, "a", "v2", 2, start.Add(2*time.Second)), fact(recall.Stream, "a", "late", 3, start),
		} {
			m.Put(start.Add(3*time.Second), f)
		}
		got, ok := m.Get(start.Add(3*time.Second), recall.Stream, "a")
		Expect(ok).To(BeTrue())
		Expect(string(got.Value)).To(Equal("v3"))
		_, ok = m.Get(start.Add(3*time.Second), recall.Verdict, "a")
		Expect(ok).To(BeFalse(), "another kind")
		_, ok = m.Get(start.Add(62*time.Second), recall.Stream, "a")
		Expect(ok).To(BeFalse(), "expired")
		Expect(m.List(start.Add(62*time.Second), recall.Stream)).To(BeEmpty())
	})

	DescribeTable("does not keep", func(f recall.Fact) {
		Expect(recall.NewMemory().Put(start, f)).To(BeFalse())
	},
		Entry("an unknown kind", fact(99, "a", "v", 0, start)),
		Entry("no key", fact(recall.Stream, "", "v", 0, start)),
		Entry("a long key", fact(recall.Stream, string(make([]byte, recall.MaxKeyBytes+1)), "v", 0, start)),
		Entry("a long value", fact(recall.Stream, "a", string(make([]byte, recall.MaxValueBytes+1)), 0, start)),
		Entry("an expired fact", fact(recall.Stream, "a", "v", 0, start.Add(-time.Minute))),
	)

	It("is bounded by kind, so that streams evict no verdict", func() {
		m := recall.NewMemory()
		m.Put(start, recall.Fact{Kind: recall.Verdict, Key: "bad", At: start, TTL: 24 * time.Hour})
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range 1_000_000 {
			m.Put(start.Add(time.Duration(i)*time.Microsecond), fact(recall.Stream, fmt.Sprintf("%022d", i), "v1.2", 1, start.Add(time.Duration(i)*time.Microsecond)))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		now := start.Add(time.Second)
		Expect(m.List(now, recall.Verdict)).To(HaveLen(1))
		_, newest := m.Get(now, recall.Stream, fmt.Sprintf("%022d", 999_999))
		Expect(newest).To(BeTrue())
		used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
		AddReportEntry(fmt.Sprintf("%d bytes for %d streams", used, len(m.List(now, recall.Stream))))
		Expect(used).To(BeNumerically("<", 8<<20))
		runtime.KeepAlive(m)
	})
})

var _ = Describe("The holders of a fact", func() {
	holders := func(without string) *recall.Holders {
		var list []recall.Holder
		for i := range 12 {
			if name := fmt.Sprint("vm", i); name != without {
				list = append(list, recall.Holder{Name: name, FailureDomain: fmt.Sprint("z", i%4)})
			}
		}
		return recall.NewHolders(list)
	}

	// Guards against a fact that is lost with one failure domain.
	It("are in different failure domains, and those left are asked after one has gone", func() {
		for i := range 200 {
			key := fmt.Sprint("stream", i)
			names := holders("").Of(key, 3)
			domains := make(map[string]bool)
			for _, name := range names {
				var n int
				_, _ = fmt.Sscanf(name, "vm%d", &n)
				domains[fmt.Sprint("z", n%4)] = true
			}
			Expect(domains).To(HaveLen(3))
			asked := holders(names[0]).Of(key, 12)
			for _, name := range names[1:] {
				Expect(slices.Contains(asked, name)).To(BeTrue())
			}
		}
	})

	It("are none without holders", func() {
		Expect(recall.NewHolders(nil).Of("a", 3)).To(BeEmpty())
	})
})
