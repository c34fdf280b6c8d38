// Package retry decides whether a failed attempt is tried again and whether a
// slow one gets a second attempt in parallel.
//
// A second attempt in parallel is a hedge: the first answer of the two is used.
// A request is repeatable (idempotent) if running it twice is harmless.
//
// A Policy and a Hedger are pure state machines used by one goroutine. Their
// budgets are shares of the requests that CountRequest counts, so there is one
// of each for every pool.
//
// A SharedBudget is a separate budget of further attempts at requests, which
// all entries share.
package retry

import (
	"math/rand"
	"time"

	"agatelanding.example/agatelanding/internal/result"
)

// Config holds the limits of retries and hedges.
type Config struct {
	// MaxAttempts is the largest number of attempts of one request.
	MaxAttempts int
	// BudgetRatio is the number of retries that each request adds to the
	// budget.
	BudgetRatio float64
	// BudgetBurst is the largest budget, in retries.
	BudgetBurst float64
	// MaxOverloadRetries is the largest number of retries of one request after
	// refusals for overload. With more, a request would go from one target of
	// an overloaded pool to the next.
	MaxOverloadRetries int
	// MaxOverloadShare is the share of attempts refused for overload above
	// which such a refusal is final, because other targets would refuse too.
	MaxOverloadShare float64
	// BaseBackoff and MaxBackoff bound the exponential backoff.
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
	// Unlimited is for comparison in experiments only: every failure that may
	// be retried is retried at once, without a budget.
	Unlimited bool

	// HedgeQuantile is the quantile of first-token latency after which an
	// attempt is hedged; 0 switches hedges off.
	HedgeQuantile float64
	// HedgeRatio is the number of hedges that each request adds to the
	// budget of hedges, and HedgeBurst the largest such budget.
	HedgeRatio float64
	HedgeBurst float64
}

// DefaultConfig returns the limits used in production.
func DefaultConfig() Config {
	return Config{
		MaxAttempts:        4,
		BudgetRatio:        0.2,
		BudgetBurst:        20,
		MaxOverloadRetries: 1,
		MaxOverloadShare:   0.3,
		BaseBackoff:        5 * time.Millisecond,
		MaxBackoff:         200 * time.Millisecond,
		HedgeQuantile:      0.95,
		HedgeRatio:         0.05,
		HedgeBurst:         10,
	}
}

// overloadWeight is the weight of one attempt in the moving average of refusals
// for overload. The average covers about the last 64 attempts.
const overloadWeight = 1.0 / 64

// Policy holds the retry budget of one pool at one entry.
type Policy struct {
	cfg Config
	rng *rand.Rand
	// budget is the number of retries that are left.
	budget float64
	// overloadMean is the moving share of attempts refused for overload.
	overloadMean float64
}

// New returns a policy with a full budget.
func New(cfg Config, rng *rand.Rand) *Policy {
	return &Policy{cfg: cfg, rng: rng, budget: cfg.BudgetBurst}
}

// CountRequest adds to the budget for a new request.
func (p *Policy) CountRequest() {
	p.budget = min(p.budget+p.cfg.BudgetRatio, p.cfg.BudgetBurst)
}

// IsOverload reports whether a code is a refusal for overload.
func IsOverload(code result.Code) bool {
	return code == result.BudgetExceeded || code == result.QueueFull
}

// RecordResult records the result of an attempt. It must be called for every
// attempt that succeeded or failed, but not for one that this entry cancelled,
// such as the slower of two parallel attempts or that of an aborted call.
func (p *Policy) RecordResult(code result.Code) {
	sample := 0.0
	if IsOverload(code) {
		sample = 1
	}
	p.overloadMean += (sample - p.overloadMean) * overloadWeight
}

// Overloaded reports whether the pool refuses a larger share of attempts for
// overload than Config.MaxOverloadShare.
func (p *Policy) Overloaded() bool {
	return !p.cfg.Unlimited && p.cfg.MaxOverloadShare > 0 && p.overloadMean > p.cfg.MaxOverloadShare
}

// Attempt describes a failed attempt.
type Attempt struct {
	Code result.Code
	// FailedAttempts is the number of failed attempts of the request, including
	// this one.
	FailedAttempts int
	// OverloadRefusals counts the attempts of the request that were refused for
	// overload, including this one.
	OverloadRefusals int
	// Repeatable is true if the request may be run again (is idempotent).
	Repeatable bool
	// RunSent is true if the entry has sent a Run message in this attempt.
	RunSent bool
	// SameTarget is true if a retry would go to the target that failed.
	SameTarget bool
	// Delivered is true if a part of the answer reached the caller.
	Delivered bool
	// RetryAfter is the delay that the target asked for, or 0.
	RetryAfter time.Duration
	// TimeLeft is the time left until the deadline of the request.
	TimeLeft time.Duration
}

// StopReason is the reason why an attempt is not retried, or StopNone.
type StopReason uint8

// Values of StopReason.
const (
	// StopNone means that the attempt is retried.
	StopNone StopReason = iota
	// StopCode means that the result code does not allow a retry.
	StopCode
	// StopAttempts means that Config.MaxAttempts attempts have failed.
	StopAttempts
	// StopBudget means that the retry budget is spent.
	StopBudget
	// StopTime means that the deadline would pass during the delay.
	StopTime
	// StopDelivered means that a part of the answer reached the caller.
	StopDelivered
	// StopOverload means that the attempt was refused for overload and other
	// targets would probably refuse too.
	StopOverload
	// StopSent means that the request may not be repeated and was sent.
	StopSent
)

var stopNames = [...]string{"retry", "code", "attempts", "budget", "time", "delivered", "overload", "sent"}

// Undefined is the name of a value of StopReason without a name.
const Undefined = "undefined"

// String returns the name of the reason.
func (s StopReason) String() string {
	if int(s) < len(stopNames) {
		return stopNames[s]
	}
	return Undefined
}

// Counter returns the name of the metric that counts the reason.
func (s StopReason) Counter() string { return "not_retried_" + s.String() }

// RetriedCounter returns the name of the metric that counts retries after a
// code.
func RetriedCounter(code result.Code) string { return "retried_" + code.String() }

// Decision is the result of Next. Delay is the time to wait before a retry.
type Decision struct {
	Stop  StopReason
	Delay time.Duration
}

// Next decides whether a failed attempt is retried. A retry takes one from the
// budget.
func (p *Policy) Next(a Attempt) Decision {
	if stop := p.forbidden(a); stop != StopNone {
		return Decision{Stop: stop}
	}
	if p.cfg.Unlimited {
		return Decision{}
	}
	if a.FailedAttempts >= p.cfg.MaxAttempts {
		return Decision{Stop: StopAttempts}
	}
	if IsOverload(a.Code) && (a.OverloadRefusals > p.cfg.MaxOverloadRetries || p.Overloaded()) {
		return Decision{Stop: StopOverload}
	}
	delay := p.delay(a)
	if delay >= a.TimeLeft {
		return Decision{Stop: StopTime}
	}
	if p.budget < 1 {
		return Decision{Stop: StopBudget}
	}
	p.budget--
	return Decision{Delay: delay}
}

// forbidden returns the reason why a retry could run a request twice or damage
// its answer, or StopNone. These rules also apply with Config.Unlimited.
func (p *Policy) forbidden(a Attempt) StopReason {
	info := a.Code.Info()
	switch {
	case !info.RetryElsewhere || (info.Execution != result.NotRun && !a.Repeatable):
		return StopCode
	case a.RunSent && !a.Repeatable:
		return StopSent
	case a.Delivered:
		return StopDelivered
	}
	return StopNone
}

// delay returns an exponential backoff with full jitter. The first retry at
// another target has no delay. A retry at the same target is delayed as if one
// more attempt had failed, and at least as long as the target asked for.
func (p *Policy) delay(a Attempt) time.Duration {
	if a.SameTarget {
		return max(p.backoff(a.FailedAttempts+1), a.RetryAfter)
	}
	return p.backoff(a.FailedAttempts)
}

// backoff returns the random delay after a number of failed attempts.
func (p *Policy) backoff(failedAttempts int) time.Duration {
	if failedAttempts <= 1 {
		return 0
	}
	ceiling := min(p.cfg.BaseBackoff<<min(failedAttempts-1, 16), p.cfg.MaxBackoff)
	return time.Duration(p.rng.Int63n(int64(ceiling) + 1))
}
