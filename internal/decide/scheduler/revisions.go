package scheduler

import "time"

// revisions tells which configuration revision has been known for StaleGrace.
// While revisions follow each other faster than that, it keeps the oldest one
// that waits, so that a stale entry is refused all the same.
type revisions struct {
	known  uint64
	next   uint64
	nextAt time.Time
	// current is the highest revision learned, at currentAt.
	current   uint64
	currentAt time.Time
}

// learn records a revision.
func (r *revisions) learn(now time.Time, revision uint64) {
	r.settle(now)
	if revision > r.current {
		r.current, r.currentAt = revision, now
	}
	if r.next == r.known {
		r.next, r.nextAt = r.current, r.currentAt
	}
}

// settle moves on once the waiting revision has been known long enough. The
// grace counts from when a revision was learned, because settle runs only when
// a request or a revision arrives.
func (r *revisions) settle(now time.Time) {
	for r.next != r.known && now.Sub(r.nextAt) > StaleGrace {
		r.known = r.next
		r.next, r.nextAt = r.current, r.currentAt
	}
}

// settled returns the highest revision that routes must not be older than.
func (r *revisions) settled(now time.Time) uint64 {
	r.settle(now)
	return r.known
}
