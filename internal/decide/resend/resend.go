// Package resend keeps what is known of the sends of one request and decides whether it may
// be sent again, and to which targets.
//
// A request that may run once is sent again only while each of its sends is known not to have
// run. A response proves that only if it can be the response to that one send: it names the
// request, its address had the request once, and the connection did not refuse it before
// (Refusals).
package resend

import (
	"slices"
	"time"
)

const (
	// MinTime is the time left to the deadline below which another send is useless.
	MinTime = 40 * time.Millisecond
	// maxExtraSends is how many more targets than the route's MaxAttempts get the request
	// if targets refuse without running it.
	maxExtraSends = 2
	// maxBrokenBegins is the number of targets that may end the connection of one request
	// before the first event: the request may be why they ended.
	maxBrokenBegins = 2
)

// Evidence is what a send has left that may prove that its target does not run the request.
type Evidence uint8

// Values of Evidence.
const (
	// Inconclusive is anything but the others: a failure response, the end of the
	// connection, no response in time.
	Inconclusive Evidence = iota
	// NotWritten means that no byte of the request was written.
	NotWritten
	// NamedRefusal is a response that says that the request was not run and that names this
	// request and no other.
	NamedRefusal
	// UnnamedRefusal is such a response that names no request. It may be the repetition of
	// a response to another request.
	UnnamedRefusal
)

// String returns the name that log lines have.
func (e Evidence) String() string {
	switch e {
	case NotWritten:
		return "not_written"
	case NamedRefusal:
		return "named_refusal"
	case UnnamedRefusal:
		return "unnamed_refusal"
	}
	return "none"
}

// Policy is what the route of a request allows.
type Policy struct {
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// MaxAttempts is the number of targets that may run it.
	MaxAttempts int
}

// MayHaveRun reports whether the target of a send that has left some evidence may have run the
// request. hadBefore is true if its address had the request before that send: then a refusal may
// be the repetition of an earlier one. That of a repeatable request is believed nevertheless, but
// counted (Counts.RepeatedRefusals).
func (p Policy) MayHaveRun(e Evidence, hadBefore bool) bool {
	switch e {
	case NotWritten:
		return false
	case NamedRefusal:
		return !p.Repeatable && hadBefore
	}
	return true
}

// Counts are those of a number of sends.
type Counts struct {
	// Sends counts all of them, PossibleRuns those whose target may have run the request or
	// may still run it.
	Sends, PossibleRuns int
	// RepeatedRefusals counts the refusals of a repeatable request from addresses that had it
	// before. Each may be the repetition of an earlier one, while the target runs the request:
	// callers are told that it has not run, but it uses up one of the route's attempts.
	RepeatedRefusals int
	// BrokenBegins counts the sends whose target ended the connection before the first
	// event.
	BrokenBegins int
}

func (c *Counts) add(other Counts) {
	c.Sends += other.Sends
	c.PossibleRuns += other.PossibleRuns
	c.RepeatedRefusals += other.RepeatedRefusals
	c.BrokenBegins += other.BrokenBegins
}

// Sends holds the sends of one request. The zero value has a policy under which nothing may
// be sent again. One goroutine uses it.
type Sends struct {
	policy Policy
	counts Counts
	// targets lists the target of each send, rejectedBy the targets that rejected the last
	// send that they got.
	targets, rejectedBy []string
	// addresses lists the address of each send.
	addresses []string
	// silentTarget is the target of the last send that was ended because it was silent while
	// another one had the stream, empty if there is none. returned is true once the request
	// was sent to such a target again.
	silentTarget string
	returned     bool
	// lastMayHaveRun is true if the target of the last send may have run the request.
	lastMayHaveRun bool
}

// New returns the record of a request that was not sent yet.
func New(policy Policy) Sends { return Sends{policy: policy} }

// Policy returns the policy of the request.
func (s *Sends) Policy() Policy { return s.policy }

// ForbidRepeats makes the request one that may run once.
func (s *Sends) ForbidRepeats() {
	s.policy.Repeatable = false
	s.counts.PossibleRuns += s.counts.RepeatedRefusals
	s.counts.RepeatedRefusals = 0
}

// Counts returns the counts of all sends.
func (s *Sends) Counts() Counts { return s.counts }

// MayHaveRun reports whether any target may have run the request or may still run it.
func (s *Sends) MayHaveRun() bool { return s.counts.PossibleRuns > 0 }

// ProvenNotRun reports whether each send is known not to have run, also under the assumption
// that a target which had the request twice has refused only one send.
func (s *Sends) ProvenNotRun() bool { return s.counts.PossibleRuns+s.counts.RepeatedRefusals == 0 }

// Begin records a send. Its target may run the request unless End proves the contrary.
func (s *Sends) Begin(target, address string) {
	s.targets = append(s.targets, target)
	s.addresses = append(s.addresses, address)
	s.rejectedBy = without(s.rejectedBy, target)
	s.counts.Sends++
	s.counts.PossibleRuns++
	s.lastMayHaveRun = true
}

// End records what the last send has left, and reports whether its target may have run the
// request.
func (s *Sends) End(e Evidence) (mayHaveRun bool) {
	last := len(s.addresses) - 1
	hadBefore := slices.Contains(s.addresses[:last], s.addresses[last])
	if s.policy.MayHaveRun(e, hadBefore) {
		return true
	}
	if e == NamedRefusal && hadBefore {
		s.counts.RepeatedRefusals++
	}
	s.counts.PossibleRuns--
	s.lastMayHaveRun = false
	return false
}

// LastMayHaveRun reports whether the target of the last send may have run the request.
func (s *Sends) LastMayHaveRun() bool { return s.lastMayHaveRun }

// Rejected records that the target of the last send was full.
func (s *Sends) Rejected() { s.rejectedBy = append(s.rejectedBy, s.targets[len(s.targets)-1]) }

// BrokeBeforeBegin records that the target of the last send ended the connection before the
// first event.
func (s *Sends) BrokeBeforeBegin() { s.counts.BrokenBegins++ }

// Silent records that the last send was ended because its target was silent.
func (s *Sends) Silent() { s.silentTarget = s.targets[len(s.targets)-1] }

// Add records failed sends to targets that were made beside the last one.
func (s *Sends) Add(failed Counts, targets []string) {
	s.counts.add(failed)
	s.targets = append(s.targets, targets...)
}

// Excluded returns the targets that must not get the request again.
func (s *Sends) Excluded() []string { return s.targets }

// Returnable returns those of the excluded targets that may get the request again although
// they rejected it. A request that may run once has none: a repetition of the refusal could
// not be told from the response to the later send.
func (s *Sends) Returnable() []string {
	if !s.policy.Repeatable {
		return nil
	}
	return s.rejectedBy
}

// MaySendTo reports whether a target that was granted after a wait may get the request, under a
// policy that may have changed meanwhile.
func (s *Sends) MaySendTo(target string) bool {
	return s.policy.Repeatable || !s.MayHaveRun() && !slices.Contains(s.targets, target)
}

// MaySendAgain reports whether a request may go to another target after its last send. It
// does not check the retry budget.
func (s *Sends) MaySendAgain(remaining time.Duration) bool { return s.Stop(remaining) == "" }

// Stop returns the name of the reason why MaySendAgain is false, empty if it is true.
func (s *Sends) Stop(remaining time.Duration) string {
	switch {
	case s.MayHaveRun() && !s.policy.Repeatable:
		return "may_have_run"
	case remaining < MinTime:
		return "no_time"
	case s.counts.PossibleRuns+s.counts.RepeatedRefusals >= s.policy.MaxAttempts:
		return "attempts_used"
	case s.counts.Sends >= s.policy.MaxAttempts+maxExtraSends:
		return "sends_used"
	case s.counts.BrokenBegins >= maxBrokenBegins:
		return "targets_broke"
	}
	return ""
}

// MayReplace reports whether a request may go to another target during the present send,
// after failed ones beside it.
func (s *Sends) MayReplace(remaining time.Duration, failed Counts) bool {
	after := *s
	after.counts.add(failed)
	return after.MaySendAgain(remaining)
}

// MayReturn reports whether a stream that no further target may get can be sent once more to
// the one whose send was ended for silence. It adds no target to those that had it.
func (s *Sends) MayReturn(remaining time.Duration) bool {
	return s.silentTarget != "" && !s.returned && s.policy.Repeatable && remaining >= MinTime && s.counts.BrokenBegins < maxBrokenBegins
}

// Return returns the target of MayReturn and records that the request goes back to it.
func (s *Sends) Return() (target string) {
	s.returned = true
	return s.silentTarget
}

// without returns a copy of a list without an element.
func without(list []string, x string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(y string) bool { return y == x })
}
