package admission

import "time"

// longSlots returns the number of running slots that long work may take.
func (q *Queue) longSlots() int {
	limit := q.limit.limit
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
	runs := len(q.order[long])
	if share := q.longSlots(); share > 0 {
		return runs < share
	}
	return runs == 0 && q.lane[short].count == 0
}

// longFirst reports whether long work that is about to miss its deadline goes
// before short work that is not. Without it a steady short load would use up
// the share of long work.
func (q *Queue) longFirst(now time.Time) bool {
	return q.longSlots() > 0 && q.mayStartLong() &&
		q.lane[long].atRisk(now, q.interval(short)*riskStarts) &&
		!q.lane[short].atRisk(now, q.riskMargin(short))
}
