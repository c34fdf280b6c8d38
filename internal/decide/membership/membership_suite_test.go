package membership_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/membership"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

type event func(t *membership.Tracker, now time.Time)

func up(incarnation int64) event {
	return func(t *membership.Tracker, now time.Time) { t.SessionUp(now, "a", incarnation) }
}

func listed(leaving bool) event {
	return func(t *membership.Tracker, _ time.Time) { t.SetListedLeaving("a", leaving) }
}

func down(t *membership.Tracker, _ time.Time)            { t.SessionLost("a") }
func leaving(t *membership.Tracker, _ time.Time)         { t.SetLeaving("a") }
func connectFailed(t *membership.Tracker, now time.Time) { t.ConnectFailed(now, "a") }
func unanswered(t *membership.Tracker, now time.Time)    { t.MessageUnanswered(now, "a") }
func heard(t *membership.Tracker, _ time.Time)           { t.MessageReceived("a") }
func forget(t *membership.Tracker, _ time.Time)          { t.Retain(func(string) bool { return false }) }

var _ = Describe("Tracker", func() {
	const usable, unresponsive, reachable = 1, 2, 4
	// Guards against requests to a target that will stop or does not answer,
	// and against a usable target that gets none.
	//
	// Events are one second apart. stateNow is the expected state at the time
	// of the last event, stateLater that after a further wait. A state is the
	// sum of usable, unresponsive and reachable, as far as they apply.
	DescribeTable("takes", func(stateNow int, wait time.Duration, stateLater int, events ...event) {
		t, at := membership.New(), time.Unix(1_000_000, 0)
		for _, e := range events {
			at = at.Add(time.Second)
			e(t, at)
		}
		state := func(at time.Time) (s int) {
			if t.Usable(at, "a") {
				s += usable
			}
			if t.Unresponsive(at, "a") {
				s += unresponsive
			}
			if t.MayConnect(at, "a") {
				s += reachable
			}
			return s
		}
		Expect(state(at)).To(Equal(stateNow), "now")
		Expect(state(at.Add(wait))).To(Equal(stateLater), "later")
	},
		Entry("an unknown target", reachable, time.Hour, reachable),
		Entry("a session", usable+reachable, time.Hour, usable+reachable, up(1)),
		Entry("the loss of a session", reachable, time.Hour, reachable, up(1), down),
		Entry("an announced stop at once", 0, time.Hour, 0, up(1), leaving),
		Entry("an announced stop although the VM list shows the target as live", 0, time.Hour, 0, up(1), leaving, listed(false)),
		Entry("a new session of a process that announced its stop", 0, time.Hour, 0, up(1), leaving, down, up(1)),
		Entry("a new process after a stop", usable+reachable, time.Hour, usable+reachable, up(1), leaving, down, up(2)),
		Entry("a target that the VM list shows as leaving", 0, time.Hour, 0, up(1), listed(true)),
		Entry("a target that the VM list shows as live again", usable+reachable, time.Hour, usable+reachable, up(1), listed(true), listed(false)),
		Entry("a VM list that still shows the old process as leaving", usable+reachable, 14*time.Second, usable+reachable,
			up(1), listed(true), down, up(2)),
		Entry("a VM list that shows the new process as leaving too", usable+reachable, 15*time.Second, 0,
			up(1), listed(true), down, up(2)),
		Entry("a first session while the VM list shows the target as leaving", 0, time.Hour, 0, listed(true), up(1)),
		Entry("a target that does not answer", usable+unresponsive+reachable, 2*time.Second, usable+reachable, up(1), unanswered),
		Entry("a target that answers again", usable+reachable, time.Hour, usable+reachable, up(1), unanswered, heard),
		Entry("a new session of an unresponsive target", usable+reachable, time.Hour, usable+reachable, up(1), unanswered, down, up(1)),
		Entry("a failed connection", 0, 250*time.Millisecond, reachable, connectFailed),
		Entry("failed connections with a longer delay", 0, 999*time.Millisecond, 0, connectFailed, connectFailed, connectFailed),
		Entry("a session after failed connections", reachable, time.Hour, reachable, connectFailed, connectFailed, up(1), down),
		Entry("the same event twice", reachable, time.Hour, reachable, up(1), up(1), down, down),
		Entry("a forgotten target", reachable, time.Hour, reachable, up(1), leaving, forget),
	)

	// After a restart the target has lost its adapters and attempts. After a
	// mere reconnection it still has them.
	It("distinguishes a restart from a first session and from a reconnection", func() {
		t, now := membership.New(), time.Unix(1_000_000, 0)
		Expect(t.SessionUp(now, "a", 5)).To(BeFalse())
		t.SessionLost("a")
		Expect(t.SessionUp(now, "a", 5)).To(BeFalse())
		t.SessionLost("a")
		Expect(t.SessionUp(now, "a", 6)).To(BeTrue())
		Expect(t.Status("a").RestartedAt).To(Equal(now))
	})
})
