package admission

import "time"

// longLimit returns the number of long items that may run at once. It is a part of
// the concurrency limit.
func (q *Queue) longLimit() int {
	limit := q.limiter.limit
	if q.cfg.MaxLongShare <= 0 {
		return 0
	}
	maxLong := max(1, int(q.cfg.MaxLongShare*float64(limit)))
	if q.cfg.MaxLongShare < 1 {
		maxLong = min(maxLong, limit-1)
	}
	return maxLong
}

func (q *Queue) mayStartLong() bool {
	longRunning := len(q.runningByEnd[long])
	if maxLong := q.longLimit(); maxLong > 0 {
		return longRunning < maxLong
	}
	return longRunning == 0 && q.lanes[short].waiting == 0
}

// longFirst reports whether a long item that is at risk of missing its deadline
// starts before short ones that are not. Without this rule a steady short load
// would use up the limit of long items as well.
func (q *Queue) longFirst(now time.Time) bool {
	return q.longLimit() > 0 && q.mayStartLong() &&
		q.lanes[long].atRisk(now, q.startInterval(short)*riskStarts) &&
		!q.lanes[short].atRisk(now, q.riskMargin(short))
}
