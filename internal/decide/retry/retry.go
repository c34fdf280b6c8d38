// Package retry decides whether a failed attempt is tried again.
//
// A Policy is a pure state machine used by one goroutine.
package retry

import (
	"math/rand"
	"time"

	"agatelanding.example/agatelanding/internal/result"
)

// Config holds the limits of retries.
type Config struct {
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// BudgetRatio is the number of retries allowed per request.
	BudgetRatio float64
	// BudgetBurst is the number of retries that may be saved up.
	BudgetBurst float64
	// BaseDelay and MaxDelay bound the exponential backoff.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// Unlimited selects the naive policy that measurements compare with:
	// every failure is retried at once without a budget.
	Unlimited bool
}

// DefaultConfig returns the limits used in production.
func DefaultConfig() Config {
	return Config{
		MaxAttempts: 4,
		BudgetRatio: 0.2,
		BudgetBurst: 20,
		BaseDelay:   5 * time.Millisecond,
		MaxDelay:    200 * time.Millisecond,
	}
}

// Policy holds the retry budget of one entry.
type Policy struct {
	cfg    Config
	rng    *rand.Rand
	budget float64
}

// New returns a policy with a full budget.
func New(cfg Config, rng *rand.Rand) *Policy {
	return &Policy{cfg: cfg, rng: rng, budget: cfg.BudgetBurst}
}

// Admit earns budget for a new request.
func (p *Policy) Admit() {
	p.budget = min(p.budget+p.cfg.BudgetRatio, p.cfg.BudgetBurst)
}

// Attempt describes a failed attempt.
type Attempt struct {
	Code result.Code
	// Number counts the attempts of the request, from 1.
	Number int
	// Repeatable tells whether the request is idempotent.
	Repeatable bool
	// Delivered tells whether a part of the answer reached the caller.
	Delivered bool
	// Left is what remains of the time budget.
	Left time.Duration
}

// Stop says why an attempt is not retried.
type Stop uint8

// Reasons for not retrying.
const (
	Retry Stop = iota
	StopCode
	StopAttempts
	StopBudget
	StopTime
	StopDelivered
)

// Decision is the answer to Next.
type Decision struct {
	Stop  Stop
	Delay time.Duration
}

// Next decides about a failed attempt and spends budget for a retry.
func (p *Policy) Next(a Attempt) Decision {
	info := a.Code.Info()
	if !info.RetryElsewhere || (info.Execution != result.NotRun && !a.Repeatable) {
		return Decision{Stop: StopCode}
	}
	if a.Delivered {
		return Decision{Stop: StopDelivered}
	}
	if p.cfg.Unlimited {
		return Decision{}
	}
	if a.Number >= p.cfg.MaxAttempts {
		return Decision{Stop: StopAttempts}
	}
	delay := p.backoff(a.Number)
	if delay >= a.Left {
		return Decision{Stop: StopTime}
	}
	if p.budget < 1 {
		return Decision{Stop: StopBudget}
	}
	p.budget--
	return Decision{Delay: delay}
}

// backoff returns an exponential delay with full jitter. The first retry goes
// to another target at once.
func (p *Policy) backoff(number int) time.Duration {
	if number <= 1 {
		return 0
	}
	ceiling := min(p.cfg.BaseDelay<<min(number-1, 16), p.cfg.MaxDelay)
	return time.Duration(p.rng.Int63n(int64(ceiling) + 1))
}
