package acceptance_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatelanding.example/agatelanding/internal/decide/acceptance"
	_ "agatelanding.example/agatelanding/internal/rapidseed"
	"agatelanding.example/agatelanding/internal/result"
)

func TestAcceptance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "acceptance")
}

var start = time.Unix(1_700_000_000, 0)

// step is an offer after a time since the start, or a claim if peer is set.
type step struct {
	at       time.Duration
	peer     string
	revision uint64
	digest   uint64
	want     result.Code
}

func offer(revision, digest uint64, want result.Code) step {
	return step{revision: revision, digest: digest, want: want}
}

func claim(peer string, revision uint64) step { return step{peer: peer, revision: revision} }

func (s step) after(d time.Duration) step {
	s.at = d
	return s
}

var _ = Describe("Gate", func() {
	const claimWait = acceptance.SingleClaimTimeout

	// Guards against a return to an old configuration, also after a restart,
	// and against wrong claims of peers that keep a process without one.
	DescribeTable("accepts", func(conflicts int, steps ...step) {
		var g acceptance.Gate
		for i, s := range steps {
			if s.peer != "" {
				g.RecordClaim(s.peer, s.revision)
				continue
			}
			got := g.Offer(start.Add(s.at), acceptance.Version{Revision: s.revision, Digest: s.digest})
			Expect(got).To(Equal(s.want), fmt.Sprintf("result of the offer in step %d", i))
		}
		Expect(g.Conflicts()).To(Equal(conflicts))
	},
		Entry("rising revisions", 0, offer(1, 9, result.OK), offer(5, 1, result.OK)),
		Entry("not an older one from a stale service", 0, offer(5, 1, result.OK), offer(4, 9, result.RevisionTooLow), offer(5, 1, result.OK)),
		Entry("the same one twice without a conflict", 0, offer(5, 1, result.OK), offer(5, 1, result.OK)),
		Entry("the higher digest of two with one revision", 1, offer(5, 1, result.OK), offer(5, 2, result.OK), offer(5, 1, result.RevisionConflict)),
		Entry("and counts a repeated conflict once", 1, offer(5, 2, result.OK), offer(5, 1, result.RevisionConflict), offer(5, 1, result.RevisionConflict)),
		Entry("and counts the conflicts of each revision", 2, offer(5, 2, result.OK), offer(5, 1, result.RevisionConflict), offer(6, 2, result.OK), offer(6, 1, result.RevisionConflict)),
		Entry("never revision 0", 0, offer(0, 0, result.RevisionTooLow), offer(0, 9, result.RevisionTooLow)),
		Entry("no first snapshot below the claim of a peer", 0, claim("a", 7), offer(6, 1, result.RevisionTooLow), offer(7, 1, result.OK)),
		Entry("no first snapshot below the second-highest claim, however late", 0, claim("a", 7), claim("b", 8),
			offer(6, 1, result.RevisionTooLow), offer(6, 1, result.RevisionTooLow).after(100*claimWait), offer(7, 1, result.OK).after(100*claimWait)),
		Entry("a first snapshot after SingleClaimTimeout, despite the wrong claim of one peer", 0, claim("a", 9000), claim("a", 9001),
			offer(6, 1, result.RevisionTooLow), offer(6, 1, result.RevisionTooLow).after(claimWait-1), offer(6, 1, result.OK).after(claimWait)),
		Entry("a first snapshot at once, despite implausible claims of many peers", 0, claim("a", math.MaxUint64), claim("b", math.MaxUint64), claim("c", 6+acceptance.MaxClaimDistance+1), offer(6, 1, result.OK)),
		Entry("no first snapshot below a plausible claim, even next to an implausible one", 0, claim("a", math.MaxUint64), claim("b", 7), offer(6, 1, result.RevisionTooLow)),
		Entry("a first snapshot after the peers made lower claims", 0, claim("a", 7), claim("b", 7), offer(6, 1, result.RevisionTooLow), claim("a", 5), claim("b", 5), offer(6, 1, result.OK)),
		Entry("a higher revision below a claim once a snapshot is in force", 0, offer(5, 1, result.OK), claim("a", 9), claim("b", 9), offer(8, 1, result.OK)),
		Entry("the largest revision", 0, claim("a", math.MaxUint64), offer(math.MaxUint64, 1, result.OK), claim("a", 1)),
	)

	// Each report asks the process to request a newer snapshot.
	It("reports a newer snapshot once for each higher claim and never for an implausible one", func() {
		var g acceptance.Gate
		g.Offer(start, acceptance.Version{Revision: 5})
		Expect(g.RecordClaim("a", 5)).To(BeFalse())
		Expect(g.RecordClaim("a", 6)).To(BeTrue())
		Expect(g.RecordClaim("b", 6)).To(BeFalse())
		Expect(g.NewerClaimed()).To(BeTrue())
		Expect(g.RecordClaim("c", math.MaxUint64)).To(BeFalse())
		Expect(g.IgnoredClaims()).To(Equal(1))
		g.Offer(start, acceptance.Version{Revision: 6})
		Expect(g.NewerClaimed()).To(BeFalse())
	})

	// Otherwise a process that received an implausible claim before its first
	// snapshot would request that revision for ever.
	It("discards an implausible claim with the first snapshot", func() {
		var g acceptance.Gate
		g.RecordClaim("a", math.MaxUint64)
		g.Offer(start, acceptance.Version{Revision: 5})
		Expect(g.NewerClaimed()).To(BeFalse())
		Expect(g.IgnoredClaims()).To(Equal(1))
	})

	// Without this time, a process whose first snapshot was refused would not
	// offer it again.
	It("returns when a refused first snapshot may be offered again", func() {
		var g acceptance.Gate
		Expect(g.OfferAgainAt().IsZero()).To(BeTrue())
		g.RecordClaim("a", 9)
		g.Offer(start, acceptance.Version{Revision: 5})
		Expect(g.OfferAgainAt()).To(Equal(start.Add(claimWait)))
		Expect(g.Offer(g.OfferAgainAt(), acceptance.Version{Revision: 5})).To(Equal(result.OK))
		Expect(g.OfferAgainAt().IsZero()).To(BeTrue())
	})

	// Without the bound, claims of ever new peers would use unlimited memory.
	It("keeps a bounded number of claims", func() {
		var g acceptance.Gate
		for i := range acceptance.MaxClaims {
			g.RecordClaim(fmt.Sprint("peer", i), 1)
		}
		g.RecordClaim("one more", 9)
		Expect(g.MinRevision(start, 5)).To(Equal(uint64(1)))
		g.RemoveClaim("peer0")
		g.RecordClaim("one more", 9)
		Expect(g.MinRevision(start, 5)).To(Equal(uint64(9)))
	})

	// Each process gets the snapshots in a random order and repeatedly, after
	// claims of which those of one faulty peer may be wrong. The expected
	// result is the last of all snapshots in sorted order.
	It("ends with the same snapshot everywhere and never goes back", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			versions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) acceptance.Version {
				return acceptance.Version{Revision: rapid.Uint64Range(1, 6).Draw(t, "revision"), Digest: rapid.Uint64Range(1, 4).Draw(t, "digest")}
			}), 1, 8).Draw(t, "versions")
			sorted := slices.SortedFunc(slices.Values(versions), func(a, b acceptance.Version) int {
				return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Digest, b.Digest))
			})
			want := sorted[len(sorted)-1]
			for range 3 {
				if got := run(t, versions, want.Revision); got != want {
					t.Fatalf("a process ended with version %v in force, want %v", got, want)
				}
			}
		})
	})
})

// run offers all versions to one process three times, in a random order. It
// checks that the process never returns to an older version.
func run(t *rapid.T, versions []acceptance.Version, highest uint64) acceptance.Version {
	var g acceptance.Gate
	for range rapid.IntRange(0, 4).Draw(t, "claims") {
		g.RecordClaim(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "peer"), rapid.Uint64Range(0, highest).Draw(t, "claim"))
	}
	if rapid.Bool().Draw(t, "liar") {
		g.RecordClaim("liar", rapid.Uint64().Draw(t, "lie"))
	}
	now := start
	for range 3 {
		for _, v := range rapid.Permutation(versions).Draw(t, "order") {
			before := g.Current()
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond)
			code := g.Offer(now, v)
			if g.Current().Less(before) {
				t.Fatalf("the version in force went back from %v to %v", before, g.Current())
			}
			if (code == result.OK) != (g.Current() == v) {
				t.Fatalf("the offer of %v returned %v, but %v is in force", v, code, g.Current())
			}
		}
		if at := g.OfferAgainAt(); at.After(now) {
			now = at
		}
	}
	return g.Current()
}
