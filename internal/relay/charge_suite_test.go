package relay

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/resend"
)

var _ = Describe("A request that was charged to a quota", func() {
	// Guards against a refund of a request that ran while its target wrote an earlier refusal again.
	DescribeTable("is refunded", func(want bool, addresses ...string) {
		refunded := false
		x := &callerRequest{refund: func() { refunded = true }, sends: resend.New(resend.Policy{Repeatable: true, MaxAttempts: 3})}
		for _, address := range addresses {
			x.sends.Begin(address, address)
			x.sends.End(resend.NamedRefusal)
		}
		x.settleCharge()
		Expect(refunded).To(Equal(want))
	},
		Entry("if it was not sent", true),
		Entry("if each target has refused it once", true, "a", "b"),
		Entry("not if a target had it twice", false, "a", "b", "a"),
	)
})
