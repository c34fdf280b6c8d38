// Package retry decides whether a failed attempt is tried again and whether a
// slow one gets a second attempt in parallel.
//
// A Policy and a Hedger are pure state machines used by one goroutine. The
// budgets are shares of the traffic that they are told of, so an owner of
// several pools keeps one of each for every pool.
package retry

import (
	"math/rand"
	"time"

	"agatelanding.example/agatelanding/internal/result"
)

// Config holds the limits of retries and hedges.
type Config struct {
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// BudgetRatio is the number of retries allowed per request.
	BudgetRatio float64
	// BudgetBurst is the number of retries that may be saved up.
	BudgetBurst float64
	// MaxOverload bounds the retries of one request after refusals for
	// overload. More would take a request through the whole pool.
	MaxOverload int
	// OverloadShare is the share of attempts refused for overload above
	// which such a refusal is final, because other targets would refuse too.
	OverloadShare float64
	// BaseDelay and MaxDelay bound the exponential backoff.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// Unlimited selects the naive policy that measurements compare with:
	// every failure is retried at once without a budget.
	Unlimited bool

	// HedgeQuantile is the quantile of first-token latency after which an
	// attempt is hedged; 0 switches hedges off.
	HedgeQuantile float64
	// HedgeRatio is the number of hedges allowed per request, and
	// HedgeBurst the number that may be saved up.
	HedgeRatio float64
	HedgeBurst float64
}

// DefaultConfig returns the limits used in production.
func DefaultConfig() Config {
	return Config{
		MaxAttempts:   4,
		BudgetRatio:   0.2,
		BudgetBurst:   20,
		MaxOverload:   1,
		OverloadShare: 0.3,
		BaseDelay:     5 * time.Millisecond,
		MaxDelay:      200 * time.Millisecond,
		HedgeQuantile: 0.95,
		HedgeRatio:    0.05,
		HedgeBurst:    10,
	}
}

// overloadWeight is the weight of one attempt in the share of attempts that
// are refused for overload: the share covers about the last 64 attempts.
const overloadWeight = 1.0 / 64

// Policy holds the retry budget of one pool at one entry.
type Policy struct {
	cfg      Config
	rng      *rand.Rand
	budget   float64
	overload float64
}

// New returns a policy with a full budget.
func New(cfg Config, rng *rand.Rand) *Policy {
	return &Policy{cfg: cfg, rng: rng, budget: cfg.BudgetBurst}
}

// Admit earns budget for a new request.
func (p *Policy) Admit() {
	p.budget = min(p.budget+p.cfg.BudgetRatio, p.cfg.BudgetBurst)
}

// IsOverload reports whether a code says that a target has too much work.
func IsOverload(code result.Code) bool {
	return code == result.BudgetExceeded || code == result.QueueFull
}

// Ended takes the result of every attempt, successful or not.
func (p *Policy) Ended(code result.Code) {
	sample := 0.0
	if IsOverload(code) {
		sample = 1
	}
	p.overload += (sample - p.overload) * overloadWeight
}

// Overloaded reports whether the pool refuses a large share of attempts.
func (p *Policy) Overloaded() bool {
	return !p.cfg.Unlimited && p.cfg.OverloadShare > 0 && p.overload > p.cfg.OverloadShare
}

// Attempt describes a failed attempt.
type Attempt struct {
	Code result.Code
	// Number counts the attempts of the request, from 1.
	Number int
	// Overloads counts those refused for overload, with this one.
	Overloads int
	// Repeatable tells whether the request is idempotent.
	Repeatable bool
	// Sent tells whether a Run left the entry for the request.
	Sent bool
	// SameTarget tells that a retry goes to the target that failed.
	SameTarget bool
	// Delivered tells whether a part of the answer reached the caller.
	Delivered bool
	// RetryAfter is the target's advice.
	RetryAfter time.Duration
	// Left is what remains of the time budget.
	Left time.Duration
}

// Stop says why an attempt is not retried.
type Stop uint8

// Reasons for not retrying.
const (
	// Retry means that the attempt is retried.
	Retry Stop = iota
	// StopCode means that the result code does not allow a retry.
	StopCode
	// StopAttempts means that the request had all its attempts.
	StopAttempts
	// StopBudget means that the retry budget is spent.
	StopBudget
	// StopTime means that the time budget does not cover the delay.
	StopTime
	// StopDelivered means that a part of the answer reached the caller.
	StopDelivered
	// StopOverload means that other targets would likely refuse too.
	StopOverload
	// StopSent means that a call that may not be repeated was sent.
	StopSent
)

var stopNames = [...]string{"retry", "code", "attempts", "budget", "time", "delivered", "overload", "sent"}

// Undefined is the name of a Stop that has none.
const Undefined = "undefined"

// String returns the name of the reason.
func (s Stop) String() string {
	if int(s) < len(stopNames) {
		return stopNames[s]
	}
	return Undefined
}

// Counter returns the name of the counter for the reason.
func (s Stop) Counter() string { return "not_retried_" + s.String() }

// Counter returns the name of the counter for retries after a code.
func Counter(code result.Code) string { return "retried_" + code.String() }

// Decision is the answer to Next.
type Decision struct {
	Stop  Stop
	Delay time.Duration
}

// Next decides about a failed attempt and spends budget for a retry.
func (p *Policy) Next(a Attempt) Decision {
	if stop := p.forbidden(a); stop != Retry {
		return Decision{Stop: stop}
	}
	if p.cfg.Unlimited {
		return Decision{}
	}
	if a.Number >= p.cfg.MaxAttempts {
		return Decision{Stop: StopAttempts}
	}
	if IsOverload(a.Code) && (a.Overloads > p.cfg.MaxOverload || p.Overloaded()) {
		return Decision{Stop: StopOverload}
	}
	delay := p.delay(a)
	if delay >= a.Left {
		return Decision{Stop: StopTime}
	}
	if p.budget < 1 {
		return Decision{Stop: StopBudget}
	}
	p.budget--
	return Decision{Delay: delay}
}

// forbidden holds the rules that protect the answer and the effect of a call;
// they apply to the naive policy too.
func (p *Policy) forbidden(a Attempt) Stop {
	info := a.Code.Info()
	switch {
	case !info.RetryElsewhere || (info.Execution != result.NotRun && !a.Repeatable):
		return StopCode
	case a.Sent && !a.Repeatable:
		return StopSent
	case a.Delivered:
		return StopDelivered
	}
	return Retry
}

// delay returns an exponential backoff with full jitter. The first retry goes
// to another target at once. A retry at the same target waits at least as
// long as the target asked for.
func (p *Policy) delay(a Attempt) time.Duration {
	if a.SameTarget {
		return max(p.backoff(a.Number+1), a.RetryAfter)
	}
	return p.backoff(a.Number)
}

func (p *Policy) backoff(number int) time.Duration {
	if number <= 1 {
		return 0
	}
	ceiling := min(p.cfg.BaseDelay<<min(number-1, 16), p.cfg.MaxDelay)
	return time.Duration(p.rng.Int63n(int64(ceiling) + 1))
}
