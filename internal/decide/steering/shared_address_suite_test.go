package steering_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/wire"
)

var _ = Describe("Two incarnations of an engine at one address", func() {
	// Guards against the release of a reservation that was granted: the target process of both
	// answers on one session, and the broker passes its messages on for each incarnation.
	It("keep the reservation of a granted request", func() {
		list := targets(2)
		list[1].Address = list[0].Address
		e := newEntry(engines(), list...)
		e.connect("t0", "t1")
		e.want(1, "a7")
		Expect(e.reserves(1)).To(HaveLen(1))
		for _, id := range []string{"t0", "t1"} {
			e.accept(1, id, 5)
		}
		Expect(e.granted).To(HaveKey(uint64(1)))
		for _, s := range e.sent {
			Expect(s.Message).NotTo(BeAssignableToTypeOf(&wire.Release{}), "sent to %s", s.Target)
		}
	})

	// Guards against a reservation that is kept for a request which another process has.
	It("release the reservation of a request that waits at another address", func() {
		list := targets(2)
		e := newEntry(engines(), list...)
		e.connect("t0", "t1")
		e.want(1, "a7")
		first := e.reserves(1)
		Expect(first).To(HaveLen(1))
		other := "t0"
		if first[0] == other {
			other = "t1"
		}
		e.accept(1, other, 5)
		Expect(e.sent[len(e.sent)-1].Message).To(BeAssignableToTypeOf(&wire.Release{}))
		Expect(e.sent[len(e.sent)-1].Target).To(Equal(other))
	})
})
