package admission

import "time"

// longSlots returns the number of slots that long items may take; each running
// item takes one slot of the limit.
func (q *Queue) longSlots() int {
	limit := q.limiter.limit
	if q.cfg.LongShare <= 0 {
		return 0
	}
	share := max(1, int(q.cfg.LongShare*float64(limit)))
	if q.cfg.LongShare < 1 {
		share = min(share, limit-1)
	}
	return share
}

func (q *Queue) mayStartLong() bool {
	longRunning := len(q.runningByEnd[long])
	if share := q.longSlots(); share > 0 {
		return longRunning < share
	}
	return longRunning == 0 && q.lanes[short].waiting == 0
}

// longFirst reports whether a long item that is at risk of missing its deadline
// starts before short ones that are not. Without this rule a steady short load
// would use the share of long items.
func (q *Queue) longFirst(now time.Time) bool {
	return q.longSlots() > 0 && q.mayStartLong() &&
		q.lanes[long].atRisk(now, q.startInterval(short)*riskStarts) &&
		!q.lanes[short].atRisk(now, q.riskMargin(short))
}
