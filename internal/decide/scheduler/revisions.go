package scheduler

import "time"

// revisions determines the oldest configuration revision by which a request may
// be routed: the target has known that revision for StaleGrace. While new
// revisions arrive faster than that, the oldest pending one stays the candidate,
// so that a stale entry is refused all the same.
type revisions struct {
	minRoute uint64
	// candidate becomes minRoute StaleGrace after candidateAt, when it was
	// received. It equals minRoute if no newer revision is pending.
	candidate   uint64
	candidateAt time.Time
	// newest is the highest revision received, at newestAt.
	newest   uint64
	newestAt time.Time
}

// add records that a revision was received.
func (r *revisions) add(now time.Time, revision uint64) {
	r.advance(now)
	if revision > r.newest {
		r.newest, r.newestAt = revision, now
	}
	if r.candidate == r.minRoute {
		r.candidate, r.candidateAt = r.newest, r.newestAt
	}
}

// advance raises minRoute to the candidate once StaleGrace is over. The time
// counts from when a revision was received, because advance runs only when a
// request or a revision arrives.
func (r *revisions) advance(now time.Time) {
	for r.candidate != r.minRoute && now.Sub(r.candidateAt) > StaleGrace {
		r.minRoute = r.candidate
		r.candidate, r.candidateAt = r.newest, r.newestAt
	}
}

// minRouteRevision returns the oldest revision by which a request may be routed.
func (r *revisions) minRouteRevision(now time.Time) uint64 {
	r.advance(now)
	return r.minRoute
}
