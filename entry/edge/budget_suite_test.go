package edge_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/platform/standin"
)

var _ = Describe("The retry budget of a pool whose targets fail", func() {
	// Guards against entries that repeat as much again after they have lost power together.
	It("counts what the entries used before all of them restarted", func() {
		f := newFleet(3, 3)
		f.bounds.RetryRatio, f.bounds.RetryAllowance = 0, 40
		f.start()
		f.start()
		const calls = 40
		for _, s := range f.services {
			for range 4 * calls {
				s.InjectFaults(standin.Cut)
			}
		}
		first := time.Now()
		callAll := func() {
			for i := range calls {
				f.call(context.Background(), i%2, "GET", fmt.Sprintf("/lookup/%d", i), nil, "")
			}
		}
		callAll()
		time.Sleep(500 * time.Millisecond)
		f.restartEntries()
		time.Sleep(300 * time.Millisecond)
		callAll()
		repeats := -2 * calls
		for _, s := range f.services {
			repeats += len(s.Runs())
		}
		Expect(time.Since(first)).To(BeNumerically("<", f.bounds.RetryWindow))
		Expect(repeats).To(And(BeNumerically(">", 20), BeNumerically("<=", 40)))
	})
})
