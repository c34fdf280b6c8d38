package permits_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/wire"
)

var _ = Describe("An entry that has restarted", func() {
	// Guards against permits of an earlier process of the entry, or of one that was not asked.
	It("does not take the permit of an earlier process for that of its own ask", func() {
		before, m := newExchange()
		ask(before, 1, keyOwnedBy("b"), time.Second)
		old := m.asks("b")[0].Number
		e, _ := newExchange()
		reply := ask(e, 1, keyOwnedBy("b"), time.Second)
		e.Receive("b", &wire.Items{Permits: []wire.Permit{{Number: old, Granted: true}}})
		Consistently(reply).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
	})

	It("does not take the permit of an entry that it has not asked", func() {
		e, m := newExchange()
		reply := ask(e, 1, keyOwnedBy("b"), time.Second)
		e.Receive("c", &wire.Items{Permits: []wire.Permit{{Number: m.asks("b")[0].Number, Granted: true}}})
		Consistently(reply).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
	})
})
