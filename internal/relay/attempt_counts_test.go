package relay

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against IDs of ended requests that are kept.
func TestAttemptCountsHoldOpenRequestsOnly(t *testing.T) {
	g := NewWithT(t)
	var c attemptCounts
	g.Expect(c.add("a", 1)).To(Equal(1))
	g.Expect(c.add("a", 1)).To(Equal(2))
	g.Expect(c.add("b", 1)).To(Equal(1))
	g.Expect(c.add("a", -1)).To(Equal(1))
	g.Expect(c.add("a", -1)).To(BeZero())
	g.Expect(c.add("b", -1)).To(BeZero())
	g.Expect(c.open).To(BeEmpty())
}
