package relay

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The search for a target that replaces a silent one", func() {
	var (
		r                         *replacement
		searches, released, ended atomic.Int32
		answer                    chan *grantedTarget // nil refuses
		hasBudget                 bool
	)
	BeforeEach(func() {
		searches.Store(0)
		released.Store(0)
		ended.Store(0)
		answer, hasBudget = make(chan *grantedTarget, 1), true
		r = &replacement{
			timeout: 20 * time.Millisecond,
			acquire: func(ctx context.Context) (*grantedTarget, bool) {
				searches.Add(1)
				select {
				case g := <-answer:
					return g, g != nil
				case <-ctx.Done():
					return nil, false
				}
			},
			spend: func() bool { return hasBudget }, release: func(*grantedTarget) { released.Add(1) }, endAttempt: func() { ended.Add(1) },
		}
		r.start()
		Eventually(searches.Load).Should(BeNumerically("==", 1))
	})
	AfterEach(func() { r.end(false) })

	It("ends the attempt once a target is granted", func() {
		found := &grantedTarget{requestNumber: 7}
		answer <- found
		Eventually(ended.Load).Should(BeNumerically("==", 1))
		Expect(r.end(true)).To(BeIdenticalTo(found))
		Expect(released.Load()).To(BeZero())
	})

	// Each of these must leave the attempt alone.
	It("goes on after a refusal and with a spent retry budget", func() {
		answer <- nil
		Eventually(searches.Load).Should(BeNumerically("==", 2))
		hasBudget = false
		answer <- &grantedTarget{}
		Eventually(searches.Load).Should(BeNumerically("==", 3))
		Expect(released.Load()).To(BeNumerically("==", 1))
		Expect(ended.Load()).To(BeZero())
	})

	It("ends with an event of the silent target", func() {
		r.progressed()
		Eventually(searches.Load).Should(BeNumerically("==", 2))
		Expect(ended.Load()).To(BeZero())
	})

	It("releases a target that is granted when the answer is complete", func() {
		answer <- &grantedTarget{}
		Eventually(ended.Load).Should(BeNumerically("==", 1))
		Expect(r.end(false)).To(BeNil())
		Expect(released.Load()).To(BeNumerically("==", 1))
	})
})
