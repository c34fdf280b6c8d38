package scheduler

import "time"

// revisions determines the oldest configuration revision by which a request may
// be routed. A revision becomes this minimum StaleRouteGracePeriod after it was
// received. Newer revisions do not restart that time; otherwise frequent
// revisions would keep old routes valid.
type revisions struct {
	// minRevision is the oldest revision by which a request may be routed.
	minRevision uint64
	// candidate becomes minRevision StaleRouteGracePeriod after candidateAt, when
	// it was received. It equals minRevision if no newer revision is pending.
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
	if r.candidate == r.minRevision {
		r.candidate, r.candidateAt = r.newest, r.newestAt
	}
}

// advance raises minRevision to the candidate once StaleRouteGracePeriod is
// over. The time counts from when a revision was received, because advance runs
// only when a request or a revision arrives.
func (r *revisions) advance(now time.Time) {
	for r.candidate != r.minRevision && now.Sub(r.candidateAt) > StaleRouteGracePeriod {
		r.minRevision = r.candidate
		r.candidate, r.candidateAt = r.newest, r.newestAt
	}
}

// minRevisionAt returns the oldest revision by which a request may be routed at
// now.
func (r *revisions) minRevisionAt(now time.Time) uint64 {
	r.advance(now)
	return r.minRevision
}
