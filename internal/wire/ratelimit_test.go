package wire_test

import (
	"math"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"agatelanding.example/agatelanding/internal/wire"
)

func rateLimit(i int) wire.RateLimit {
	return wire.RateLimit{Target: "i-e1c302c684", StartedAtMS: int64(1796391000000 + i), PerSecond: 1.2, AgeMS: 100, SinceMS: 3000}
}

var _ = Describe("Messages about rate limits", func() {
	It("are dropped beyond their bounds or if they are malformed", func() {
		x := &wire.Items{}
		for i := range 2000 {
			x.RateLimits = append(x.RateLimits, rateLimit(i))
			x.PermitAsks = append(x.PermitAsks, wire.PermitAsk{Number: uint64(i), Target: "t", PerSecond: 1})
			x.Permits = append(x.Permits, wire.Permit{Number: uint64(i)})
		}
		x.BoundRateLimits()
		Expect(x.RateLimits).To(HaveLen(wire.MaxRateLimits))
		Expect(x.PermitAsks).To(HaveLen(wire.MaxPermitAsks))
		Expect(x.Permits).To(HaveLen(wire.MaxPermitAsks))
		bad := &wire.Items{
			RateLimits: []wire.RateLimit{{PerSecond: 1}, {Target: "t", PerSecond: math.NaN()}, {Target: "t", PerSecond: -1}, {Target: "t", PerSecond: math.Inf(1)}, {Target: "t", AgeMS: -1},
				{Target: strings.Repeat("t", 1000), PerSecond: 1}},
			PermitAsks: []wire.PermitAsk{{Target: "t"}, {Target: "t", PerSecond: math.Inf(1)}, {Target: "t", PerSecond: 1, WaitMS: -1}, {Target: "t", PerSecond: 1, Priority: -1}, {PerSecond: 1}},
			Permits:    []wire.Permit{{RetryAfterMS: -1}},
		}
		bad.BoundRateLimits()
		Expect(bad.HasRateLimits()).To(BeFalse())
	})

	// Guards against former builds that close the connection.
	It("are keep-alive messages to a former build", func() {
		data, err := msgpack.Marshal(&wire.Items{RateLimits: []wire.RateLimit{rateLimit(1)}, PermitAsks: []wire.PermitAsk{{Number: 1, Target: "t", PerSecond: 1}}})
		Expect(err).NotTo(HaveOccurred())
		var former formerItems
		Expect(msgpack.Unmarshal(data, &former)).To(Succeed())
		Expect(former).To(Equal(formerItems{}))
	})

	// The sizes stand behind docs/CAPACITY.md.
	It("have the sizes on the capacity page", func() {
		size := func(x any) int {
			data, err := msgpack.Marshal(x)
			Expect(err).NotTo(HaveOccurred())
			return len(data) + 5
		}
		Expect(size(&wire.Items{RateLimits: []wire.RateLimit{rateLimit(1)}})).To(BeNumerically("<=", 80))
		Expect(size(&wire.Items{PermitAsks: []wire.PermitAsk{{Number: 1000, Target: "i-e1c302c684", StartedAtMS: 1796391000000, PerSecond: 1.2, Priority: 1, WaitMS: 900}}})).To(BeNumerically("<=", 80))
		Expect(size(&wire.Items{Permits: []wire.Permit{{Number: 1000, RetryAfterMS: 900}}})).To(BeNumerically("<=", 40))
	})
})
