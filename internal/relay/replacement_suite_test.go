package relay

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/resend"
	"agatelanding.example/agatelanding/internal/decide/steering"
)

var _ = Describe("The search for a target that replaces a silent one", func() {
	var (
		r                         *replacement
		searches, released, ended atomic.Int32
		outcome                   chan openOutcome
	)
	// bounded returns a new search like r that bounds how long two targets have the request.
	bounded := func(r *replacement) *replacement {
		return &replacement{
			ctx: r.ctx, timeout: 200 * time.Millisecond, maxOverlap: 30 * time.Millisecond, mayReplace: r.mayReplace, open: r.open, release: r.release, endAttempt: r.endAttempt,
		}
	}
	other := &grantedTarget{grant: steering.Grant{Target: &catalog.Target{ID: "other"}}}
	BeforeEach(func() {
		searches.Store(0)
		released.Store(0)
		ended.Store(0)
		outcome = make(chan openOutcome, 1)
		r = &replacement{
			ctx: context.Background(), timeout: 20 * time.Millisecond,
			mayReplace: func(failed resend.Counts) bool {
				return failed.PossibleRuns == 0
			},
			open: func(ctx context.Context, _ string, _ []string, sent func()) openOutcome {
				sent()
				searches.Add(1)
				select {
				case o := <-outcome:
					return o
				case <-ctx.Done():
					return openOutcome{tried: "other", mayHaveRun: true}
				}
			},
			release: func(*grantedTarget) { released.Add(1) }, endAttempt: func() { ended.Add(1) },
		}
		r.await("")
		Eventually(searches.Load).Should(BeNumerically("==", 1))
	})
	AfterEach(func() { r.finish(false) })

	It("ends the attempt once the other target answers, and what arrives later is not used", func() {
		outcome <- openOutcome{target: other}
		Eventually(ended.Load).Should(BeNumerically("==", 1))
		Expect(r.arrived()).To(BeFalse())
		Expect(r.finish(true)).To(BeIdenticalTo(other))
		Expect(released.Load()).To(BeZero())
	})

	// Each of these must leave the attempt alone.
	It("goes on if no other target is granted or one fails that did not run the request", func() {
		outcome <- openOutcome{}
		Eventually(searches.Load).Should(BeNumerically("==", 2))
		outcome <- openOutcome{tried: "other"}
		Eventually(searches.Load).Should(BeNumerically("==", 3))
		Expect(ended.Load()).To(BeZero())
		Expect(r.arrived()).To(BeTrue())
	})

	It("ends for good when another target may have run the request", func() {
		outcome <- openOutcome{tried: "other", mayHaveRun: true}
		Consistently(searches.Load).WithTimeout(100 * time.Millisecond).Should(BeNumerically("==", 1))
		Expect(r.finish(true)).To(BeNil())
		Expect(r.failed).To(Equal(resend.Counts{Sends: 1, PossibleRuns: 1}))
		Expect(r.tried).To(Equal([]string{"other"}))
	})

	It("ends when the silent target sends something, and counts the send", func() {
		Expect(r.arrived()).To(BeTrue())
		r.await("")
		Expect(r.finish(true)).To(BeNil())
		Expect(ended.Load()).To(BeZero())
		Expect(r.failed).To(Equal(resend.Counts{Sends: 1, PossibleRuns: 1}))
	})

	// Guards against an attempt that fails and takes with it the one that was sent beside
	// it.
	It("goes on to its end when the attempt fails", func() {
		time.AfterFunc(50*time.Millisecond, func() { outcome <- openOutcome{target: other} })
		Expect(r.finish(true)).To(BeIdenticalTo(other))
		Expect(released.Load()).To(BeZero())
	})

	It("releases a target that answers when the answer is complete", func() {
		outcome <- openOutcome{target: other}
		Eventually(ended.Load).Should(BeNumerically("==", 1))
		Expect(r.finish(false)).To(BeNil())
		Expect(released.Load()).To(BeNumerically("==", 1))
	})

	// Guards against two targets that work on one stream.
	It("ends the attempt if the other target has the request for too long, and waits for that one", func() {
		r.finish(false)
		r = bounded(r)
		r.await("")
		Eventually(ended.Load).Should(BeNumerically("==", 1))
		Expect(r.arrived()).To(BeFalse())
		time.AfterFunc(20*time.Millisecond, func() { outcome <- openOutcome{target: other} })
		Expect(r.finish(true)).To(BeIdenticalTo(other))
		Expect(r.endedAttempt).To(BeTrue())
	})

	// Guards against a timer that fires late, after its search has ended.
	It("does nothing when the time is up after the search has ended", func() {
		r.finish(false)
		r = bounded(r)
		outcome <- openOutcome{tried: "other"}
		r.await("")
		Eventually(searches.Load).Should(BeNumerically("==", 2))
		r.searching.Wait()
		// The next search has begun and not sent the request yet.
		r.mu.Lock()
		r.cancelSearch = func() {}
		r.mu.Unlock()
		r.endOverlap()
		Expect(ended.Load()).To(BeZero())
		Expect(r.arrived()).To(BeTrue())
	})

	// Guards against a second target that is dropped after it may have begun the stream.
	It("ends the attempt if the silent target goes on once the other one has the request", func() {
		r.finish(false)
		r = bounded(r)
		r.maxOverlap = time.Second
		r.await("")
		Eventually(searches.Load).Should(BeNumerically("==", 2))
		Expect(r.arrived()).To(BeFalse())
		Expect(ended.Load()).To(BeNumerically("==", 1))
		outcome <- openOutcome{target: other}
		Expect(r.finish(true)).To(BeIdenticalTo(other))
	})

	It("leaves the attempt alone if the other target fails before that", func() {
		r.finish(false)
		r = bounded(r)
		outcome <- openOutcome{tried: "other"}
		r.await("")
		Eventually(searches.Load).Should(BeNumerically("==", 2))
		Consistently(ended.Load).WithTimeout(100 * time.Millisecond).Should(BeZero())
	})

	// Guards against a second silent target that keeps the stream until the deadline.
	It("ends the search if the other target is silent too", func() {
		r.finish(false)
		r = bounded(r)
		r.await("")
		Eventually(ended.Load).Should(BeNumerically("==", 1))
		Expect(r.finish(true)).To(BeNil())
		Expect(r.failed).To(Equal(resend.Counts{Sends: 1, PossibleRuns: 1}))
	})

	// Guards against a caller that reads slowly and counts as a silent target.
	It("does not begin while nothing is awaited", func() {
		Expect(r.arrived()).To(BeTrue())
		Consistently(searches.Load).WithTimeout(100 * time.Millisecond).Should(BeNumerically("==", 1))
	})
})
