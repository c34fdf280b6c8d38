package scheduler

import (
	"time"

	"agatelanding.example/agatelanding/internal/decide/admission"
	"agatelanding.example/agatelanding/internal/result"
)

// endOverdue ends admitted requests whose budget ended in the queue. It runs on
// every event, so that callers do not wait for the next tick.
func (s *Scheduler) endOverdue(now time.Time) {
	for _, item := range s.parts.queue.Expired(now) {
		if j, ok := s.jobs[item.ID]; ok {
			s.refuseJob(now, j, result.DeadlinePassed, "the budget ended in the queue")
		}
	}
}

// retryAdvice spreads the return of callers whose requests end together, for
// example after a pause.
func (s *Scheduler) retryAdvice(now time.Time) time.Duration {
	return max(baseRetryAfter, s.parts.queue.RetryAfter(now))
}

// learnStart tells the queue when a running request gave its first token.
func (s *Scheduler) learnStart(now time.Time, j *job) {
	if j.streams {
		j.streams = false
		s.parts.queue.FirstToken(now, j.id)
	}
}

// learnEnd tells the queue of the end of a running request. The budget of a
// plain service runs until the whole answer, so its end counts as its first
// token.
func (s *Scheduler) learnEnd(now time.Time, j *job, c Completion) {
	failed := c.Code != result.OK
	if !s.isEngine() && !failed {
		s.parts.queue.FirstToken(now, j.id)
	}
	s.parts.queue.Finished(now, j.id, admission.Outcome{Tokens: c.Tokens, Failed: failed})
}
