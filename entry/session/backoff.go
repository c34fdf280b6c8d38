package session

import (
	"math/rand"
	"time"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
)

const (
	// minBackoff and maxBackoff bound the delay between connection attempts.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxResumeBackoff replaces maxBackoff for dispatch.ResumeTimeout after a
	// session has ended, because requests may wait for it to open again. On an
	// intermittent link longer delays can miss every working phase before
	// dispatch.ResumeTimeout ends (40 of 10,000 simulated cases with a link that
	// failed for 300 ms four times). This leaves at least 12 attempts.
	maxResumeBackoff = dispatch.ResumeTimeout / 12
)

// backoff determines the delays between the attempts to connect to one target
// process.
type backoff struct {
	// failures counts failed attempts and lost connections since a session last
	// opened.
	failures int
	// endedAt is when the last session ended; zero before the first end.
	endedAt time.Time
}

// sessionOpened records that a session is open.
func (b *backoff) sessionOpened() { b.failures = 0 }

// sessionEnded records that the session has ended.
func (b *backoff) sessionEnded(now time.Time) { b.endedAt = now }

// nextDelay returns the delay before the next attempt. It grows exponentially, with
// jitter, so that the entries do not all connect at once to a process that has
// just started. random returns a duration from 0 to its argument.
func (b *backoff) nextDelay(now time.Time, random func(time.Duration) time.Duration) time.Duration {
	maxDelay := min(minBackoff<<min(b.failures, 10), maxBackoff)
	if !b.endedAt.IsZero() && now.Sub(b.endedAt) < dispatch.ResumeTimeout {
		maxDelay = min(maxDelay, maxResumeBackoff)
	}
	b.failures++
	return maxDelay/2 + random(maxDelay/2)
}

// randomUpTo returns a uniformly distributed duration from 0 to d.
func randomUpTo(d time.Duration) time.Duration { return time.Duration(rand.Int63n(int64(d) + 1)) }
