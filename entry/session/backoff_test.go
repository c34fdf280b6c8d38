package session

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
)

func TestSession(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "session")
}

var _ = Describe("Backoff", func() {
	seededRandom := func(seed int64) func(time.Duration) time.Duration {
		r := rand.New(rand.NewSource(seed))
		return func(limit time.Duration) time.Duration { return time.Duration(r.Int63n(int64(limit) + 1)) }
	}
	start := time.Unix(1_700_000_000, 0)

	// Guards against streams that break off on a link which fails and works in
	// turn: an attempt to connect must fall into a time at which the link works
	// before dispatch.ResumeTimeout is over. Here the link fails for 300 ms four
	// times, with 300 ms of working between.
	It("connects over an intermittent link before a waiting stream breaks off", func() {
		const phase = 300 * time.Millisecond
		late := 0
		for seed := range int64(10_000) {
			var b backoff
			b.sessionOpened()
			b.sessionEnded(start)
			now, random := start, seededRandom(seed)
			for {
				now = now.Add(b.nextDelay(now, random))
				elapsed := now.Sub(start)
				if works := elapsed/phase%2 == 1 || elapsed > 7*phase; works {
					break
				}
			}
			if now.Sub(start) >= dispatch.ResumeTimeout {
				late++
			}
		}
		Expect(late).To(BeZero())
	})

	// The shorter delays after the end of a session must not add many attempts at
	// a target process that is gone.
	It("reaches the longest delay at a target process that stays unreachable", func() {
		var b backoff
		b.sessionOpened()
		b.sessionEnded(start)
		now, random, attempts := start, seededRandom(1), 0
		for ; now.Sub(start) < time.Minute; attempts++ {
			now = now.Add(b.nextDelay(now, random))
		}
		Expect(attempts).To(BeNumerically("<", 70))
		Expect(b.nextDelay(now, random)).To(BeNumerically(">=", maxBackoff/2))
	})
})
