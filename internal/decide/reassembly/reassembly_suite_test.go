package reassembly_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatelanding.example/agatelanding/internal/decide/reassembly"
	_ "agatelanding.example/agatelanding/internal/rapidseed"
)

func TestReassembly(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reassembly")
}

const (
	accept = reassembly.Accept
	drop   = reassembly.Drop
	gap    = reassembly.Gap
	whole  = reassembly.Complete
	cut    = reassembly.Incomplete
)

// data returns a chunk of an attempt. It is different for each attempt.
func data(attempt, sequence uint32) []byte { return []byte{byte(attempt), byte(sequence)} }

func sum(attempt, chunks uint32) (s uint32) {
	for i := range chunks {
		s = reassembly.Checksum(s, data(attempt, i))
	}
	return s
}

type event struct {
	do      func(a *reassembly.Answer) reassembly.Verdict
	verdict reassembly.Verdict
}

func chunk(attempt, sequence uint32, v reassembly.Verdict) event {
	return event{func(a *reassembly.Answer) reassembly.Verdict {
		return a.Chunk(attempt, sequence, data(attempt, sequence))
	}, v}
}

func end(attempt, chunks uint32, v reassembly.Verdict) event {
	return event{func(a *reassembly.Answer) reassembly.Verdict { return a.End(attempt, chunks, sum(attempt, chunks)) }, v}
}

// call is an event without a verdict.
func call(f func(a *reassembly.Answer)) event {
	return event{func(a *reassembly.Answer) reassembly.Verdict { f(a); return 0 }, 0}
}

// damaged is an end with a wrong checksum.
func damaged(attempt, chunks uint32) event {
	return event{func(a *reassembly.Answer) reassembly.Verdict { return a.End(attempt, chunks, 1) }, cut}
}

var (
	hedge   = call(func(a *reassembly.Answer) { a.AddAttempt(2) })
	resumed = call(func(a *reassembly.Answer) { a.ResumeRequested() })
	closed  = call(func(a *reassembly.Answer) { a.RemoveAttempt(1) })
)

var _ = Describe("Answer", func() {
	// Guards against lost, duplicated or mixed chunks in an answer, against
	// damaged answers that count as whole, and against endless requests for
	// chunks that a target cannot send.
	DescribeTable("decides about", func(events ...event) {
		a := reassembly.NewAnswer(1)
		for i, e := range events {
			Expect(e.do(a)).To(Equal(e.verdict), "event %d", i)
		}
	},
		Entry("a whole answer", chunk(1, 0, accept), chunk(1, 1, accept), end(1, 2, whole)),
		Entry("an empty answer", end(1, 0, whole)),
		Entry("a duplicated chunk", chunk(1, 0, accept), chunk(1, 0, drop), end(1, 1, whole)),
		Entry("frames of an attempt that is not open", chunk(2, 0, drop), chunk(1, 0, accept), end(2, 1, drop), end(1, 1, whole)),
		Entry("frames after the end", chunk(1, 0, accept), end(1, 1, whole), chunk(1, 1, drop), end(1, 1, drop)),
		Entry("a damaged answer", chunk(1, 0, accept), damaged(1, 1)),
		Entry("an end with fewer chunks than arrived", chunk(1, 0, accept), chunk(1, 1, accept), end(1, 1, cut)),
		Entry("a gap, requested once", chunk(1, 1, gap), chunk(1, 2, drop), chunk(1, 0, accept), chunk(1, 1, accept),
			chunk(1, 2, accept), end(1, 3, whole)),
		Entry("an end that arrives before a chunk", chunk(1, 0, accept), end(1, 2, gap), end(1, 2, drop),
			chunk(1, 1, accept), end(1, 2, whole)),
		Entry("a gap again after a new session", chunk(1, 1, gap), resumed, chunk(1, 1, gap)),
		Entry("chunks after a gap that is never filled", chunk(1, 1, gap), resumed, chunk(1, 1, gap), resumed,
			chunk(1, 1, gap), resumed, chunk(1, 1, drop)),
		Entry("chunks that never arrive", end(1, 1, gap), resumed, end(1, 1, gap), resumed, end(1, 1, gap), resumed, end(1, 1, cut)),
		Entry("the last request for missing chunks", end(1, 1, gap), resumed, end(1, 1, gap), resumed, end(1, 1, gap),
			end(1, 1, drop), chunk(1, 0, accept), end(1, 1, whole)),
		Entry("the first attempt winning", hedge, chunk(1, 0, accept), chunk(2, 0, drop), end(2, 1, drop), end(1, 1, whole)),
		Entry("the second attempt winning", hedge, chunk(2, 0, accept), chunk(1, 0, drop), end(1, 1, drop), end(2, 1, whole)),
		Entry("a second attempt opened too late", chunk(1, 0, accept), hedge, chunk(2, 1, drop), end(1, 1, whole)),
		Entry("a closed attempt", hedge, closed, chunk(1, 0, drop), end(1, 0, drop), chunk(2, 0, accept)),
	)

	// A caller must never get bytes of two attempts, nor an incomplete answer
	// that is reported as whole.
	It("accepts a prefix of one attempt, and all of it if the verdict is whole", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a := reassembly.NewAnswer(1)
			a.AddAttempt(2)
			lengths := map[uint32]uint32{1: rapid.Uint32Range(0, 4).Draw(t, "n1"), 2: rapid.Uint32Range(0, 4).Draw(t, "n2")}
			var got []byte
			for range rapid.IntRange(1, 40).Draw(t, "frames") {
				attempt := rapid.Uint32Range(1, 2).Draw(t, "attempt")
				n := lengths[attempt]
				if sequence := rapid.Uint32Range(0, n).Draw(t, "sequence"); sequence < n {
					if a.Chunk(attempt, sequence, data(attempt, sequence)) == accept {
						got = append(got, data(attempt, sequence)...)
					}
				} else if v := a.End(attempt, n, sum(attempt, n)); v == whole && uint32(len(got)) != 2*n {
					t.Fatalf("attempt %d was declared whole, but %v was accepted instead of all of its %d chunks", attempt, got, n)
				}
				for i, b := range got {
					if i%2 == 0 && uint32(b) != a.Winner() || i%2 == 1 && int(b) != i/2 {
						t.Fatalf("accepted %v, which is not a prefix of the chunks of the winning attempt %d", got, a.Winner())
					}
				}
			}
		})
	})
})
