package resend_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/resend"
)

func TestResend(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "resend")
}

var (
	once       = resend.Policy{MaxAttempts: 1}
	repeatable = resend.Policy{Repeatable: true, MaxAttempts: 2}
)

// after returns the record of a request that was sent to a new target for each piece of
// evidence.
func after(policy resend.Policy, sends ...resend.Evidence) *resend.Sends {
	s := resend.New(policy)
	for i, e := range sends {
		s.Begin(fmt.Sprint("target-", i), fmt.Sprint("address-", i))
		s.End(e)
	}
	return &s
}

var _ = Describe("A request", func() {
	// A wrong result either runs a request twice or gives up one that has not run.
	DescribeTable("may be sent again", func(policy resend.Policy, want bool, sends ...resend.Evidence) {
		Expect(after(policy, sends...).MaySendAgain(time.Second)).To(Equal(want))
	},
		Entry("never if it may run once and may have run", once, false, resend.Inconclusive),
		Entry("if it may run once and was refused by name", once, true, resend.NamedRefusal),
		Entry("not if it may run once and the refusal names no request", once, false, resend.UnnamedRefusal),
		Entry("if it may run once and nothing was written", once, true, resend.NotWritten),
		Entry("not after two more refused sends than the route's attempts", once, false, resend.NamedRefusal, resend.NamedRefusal, resend.NamedRefusal),
		Entry("not if it may run once and may have run before it was refused", resend.Policy{MaxAttempts: 5}, false, resend.Inconclusive, resend.NamedRefusal),
		Entry("if it is repeatable and failed", repeatable, true, resend.Inconclusive),
		Entry("if it is repeatable and the refusal names no request", repeatable, true, resend.UnnamedRefusal),
		Entry("not beyond the route's attempts if refusals name no request", repeatable, false, resend.UnnamedRefusal, resend.UnnamedRefusal),
		Entry("not beyond the route's attempts", repeatable, false, resend.Inconclusive, resend.Inconclusive),
	)

	// Guards against a log that gives a reason which did not decide.
	DescribeTable("is not sent again for the reason", func(policy resend.Policy, remaining time.Duration, want string, sends ...resend.Evidence) {
		s := after(policy, sends...)
		Expect(s.Stop(remaining)).To(Equal(want))
		Expect(s.MaySendAgain(remaining)).To(Equal(want == ""))
	},
		Entry("none after a refusal", once, time.Second, "", resend.NamedRefusal),
		Entry("that it may have run", once, time.Second, "may_have_run", resend.Inconclusive),
		Entry("that it may have run in an earlier send", once, time.Second, "may_have_run", resend.Inconclusive, resend.NamedRefusal),
		Entry("of the deadline", once, time.Millisecond, "no_time", resend.NamedRefusal),
		Entry("of the route's attempts", repeatable, time.Second, "attempts_used", resend.Inconclusive, resend.Inconclusive),
		Entry("of the bound on sends", once, time.Second, "sends_used", resend.NamedRefusal, resend.NamedRefusal, resend.NamedRefusal),
	)

	It("is not sent again because targets broke", func() {
		s := resend.New(resend.Policy{Repeatable: true, MaxAttempts: 5})
		for range 2 {
			s.Begin("a", "a:1")
			s.BrokeBeforeBegin()
		}
		Expect(s.Stop(time.Second)).To(Equal("targets_broke"))
	})

	// Guards against a second run by a target that writes its refusal of the first send again.
	DescribeTable("that a target has refused may go back to it", func(policy resend.Policy, want bool) {
		s := resend.New(policy)
		s.Begin("a", "a:1")
		s.End(resend.NamedRefusal)
		s.Rejected()
		Expect(s.Excluded()).To(Equal([]string{"a"}))
		if want {
			Expect(s.Returnable()).To(Equal([]string{"a"}))
		} else {
			Expect(s.Returnable()).To(BeEmpty())
		}
		s.Begin("a", "a:1")
		Expect(s.Returnable()).To(BeEmpty())
		Expect(s.End(resend.NamedRefusal)).To(Equal(!want))
	},
		Entry("if it is repeatable", repeatable, true),
		Entry("not if it may run once", resend.Policy{MaxAttempts: 5}, false),
	)

	// Guards against more targets than the route's attempts, and against a refund of a run, by a
	// target that writes its refusal of the first send again on another connection.
	It("that one target has refused twice counts as one attempt, and is refused to its caller", func() {
		s := resend.New(resend.Policy{Repeatable: true, MaxAttempts: 1})
		s.Begin("a", "a:1")
		Expect(s.End(resend.NamedRefusal)).To(BeFalse())
		s.Rejected()
		Expect(s.ProvenNotRun()).To(BeTrue())
		Expect(s.MaySendAgain(time.Second)).To(BeTrue())
		s.Begin("a", "a:1")
		Expect(s.End(resend.NamedRefusal)).To(BeFalse())
		s.Rejected()
		Expect(s.Stop(time.Second)).To(Equal("attempts_used"))
		Expect(s.MayHaveRun()).To(BeFalse())
		Expect(s.ProvenNotRun()).To(BeFalse())
	})

	// Guards against a second run of a request whose route has become one that may run once.
	DescribeTable("that no longer may run again", func(prepare func(s *resend.Sends), again bool, toFirst, toOther bool) {
		s := resend.New(resend.Policy{Repeatable: true, MaxAttempts: 5})
		s.Begin("a", "a:1")
		prepare(&s)
		s.ForbidRepeats()
		Expect(s.MaySendAgain(time.Second)).To(Equal(again))
		Expect(s.MayHaveRun()).To(Equal(!again))
		Expect(s.MaySendTo("a")).To(Equal(toFirst))
		Expect(s.MaySendTo("b")).To(Equal(toOther))
		Expect(s.Returnable()).To(BeEmpty())
		Expect(s.MayReturn(time.Second)).To(BeFalse())
	},
		Entry("goes nowhere while it may run", func(s *resend.Sends) { s.Silent() }, false, false, false),
		Entry("goes to another target after a refusal", func(s *resend.Sends) {
			s.End(resend.NamedRefusal)
			s.Rejected()
		}, true, false, true),
		Entry("goes nowhere after two refusals by one target", func(s *resend.Sends) {
			s.End(resend.NamedRefusal)
			s.Begin("a", "a:1")
			s.End(resend.NamedRefusal)
			s.Rejected()
		}, false, false, false),
	)

	// Guards against a request that ends engine after engine because its route allows
	// many attempts.
	It("may not be sent again after two targets ended the connection before the first event", func() {
		s := resend.New(resend.Policy{Repeatable: true, MaxAttempts: 5})
		for n, want := range []bool{true, false} {
			s.Begin(fmt.Sprint(n), fmt.Sprint(n))
			s.BrokeBeforeBegin()
			Expect(s.MaySendAgain(time.Second)).To(Equal(want))
		}
	})

	It("may not be sent again with too little time left", func() {
		s := resend.New(repeatable)
		Expect(s.MaySendAgain(10 * time.Millisecond)).To(BeFalse())
	})

	It("that may run once is not sent elsewhere during a send", func() {
		s := resend.New(resend.Policy{MaxAttempts: 5})
		s.Begin("a", "a:1")
		Expect(s.MayReplace(time.Second, resend.Counts{})).To(BeFalse())
	})

	It("that is repeatable is sent elsewhere during a send up to the route's attempts", func() {
		s := resend.New(repeatable)
		s.Begin("a", "a:1")
		Expect(s.MayReplace(time.Second, resend.Counts{})).To(BeTrue())
		Expect(s.MayReplace(time.Second, resend.Counts{Sends: 1, PossibleRuns: 1})).To(BeFalse())
	})

	// Guards against a stream that is lost because its silent target was given up for one that
	// failed, and against a target that gets a stream again and again.
	DescribeTable("may return to its silent target", func(policy resend.Policy, change func(s *resend.Sends), remaining time.Duration, want bool) {
		s := resend.New(policy)
		s.Begin("a", "a:1")
		change(&s)
		Expect(s.MayReturn(remaining)).To(Equal(want))
	},
		Entry("after its send was ended", repeatable, func(s *resend.Sends) { s.Silent() }, time.Second, true),
		Entry("not if no send was ended", repeatable, func(*resend.Sends) {}, time.Second, false),
		Entry("not twice", repeatable, func(s *resend.Sends) {
			s.Silent()
			Expect(s.Return()).To(Equal("a"))
		}, time.Second, false),
		Entry("not with too little time left", repeatable, func(s *resend.Sends) { s.Silent() }, 10*time.Millisecond, false),
		Entry("not after two targets ended the connection", repeatable, func(s *resend.Sends) {
			s.Silent()
			s.BrokeBeforeBegin()
			s.BrokeBeforeBegin()
		}, time.Second, false),
		Entry("not if it may run once", once, func(s *resend.Sends) { s.Silent() }, time.Second, false),
	)
})

var _ = Describe("The refusals of a connection", func() {
	It("keep it from carrying a refused request again", func() {
		var r resend.Refusals
		Expect(r.MayCarry("a")).To(BeTrue())
		Expect(r.Received("a", resend.ThisRequest, true)).To(Equal(resend.Accept))
		Expect(r.MayCarry("a")).To(BeFalse())
		Expect(r.MayCarry("b")).To(BeTrue())
	})

	It("do not count answers", func() {
		var r resend.Refusals
		Expect(r.Received("a", resend.ThisRequest, false)).To(Equal(resend.Accept))
		Expect(r.MayCarry("a")).To(BeTrue())
	})

	It("are bounded, by an end of the connection's use", func() {
		var r resend.Refusals
		for i := range 10 * resend.MaxRefusals {
			r.Received(fmt.Sprint(i), resend.ThisRequest, true)
			Expect(r.Full()).To(Equal(i >= resend.MaxRefusals-1))
		}
		Expect(r.MayCarry("b")).To(BeFalse())
	})

	// Guards against the repetition of a refusal that is taken for the next response.
	DescribeTable("decide on a later response", func(first resend.Match, refusal bool, second resend.Match, want resend.Use) {
		var r resend.Refusals
		r.Received("a", first, refusal)
		Expect(r.Received("b", second, true)).To(Equal(want))
	},
		Entry("without a name, after a refusal", resend.ThisRequest, true, resend.NoRequest, resend.Distrust),
		Entry("without a name, after a refusal of another request", resend.OtherRequest, true, resend.NoRequest, resend.Distrust),
		Entry("without a name, after an answer", resend.ThisRequest, false, resend.NoRequest, resend.Accept),
		Entry("that names another request", resend.ThisRequest, true, resend.OtherRequest, resend.Skip),
		Entry("that names the request", resend.ThisRequest, true, resend.ThisRequest, resend.Accept),
	)
})
