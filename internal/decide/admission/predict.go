package admission

import "time"

const (
	// initialServiceTime and initialLongServiceTime are the service times
	// assumed until the first item has finished.
	initialServiceTime     = 500 * time.Millisecond
	initialLongServiceTime = 10 * initialServiceTime
	// minSampleWeight is the weight of a new sample in a moving average. The
	// first samples weigh more.
	minSampleWeight = 0.1
	// minRetryAfter prevents refused callers from retrying at once.
	minRetryAfter = 100 * time.Millisecond
	// maxRetrySpread bounds the jitter of the retry delays. Load predictions
	// are not useful further ahead, because the load changes by then.
	maxRetrySpread = 10 * time.Second
	// riskStarts is the distance of a deadline, in start intervals, at which
	// it counts as at risk. Larger values lower the throughput and do not
	// reduce missed deadlines.
	riskStarts = 2
	// safetyStep is added to a lane's safety fraction when an item whose
	// adapter was ready misses its latest start. Each start takes away the
	// fraction safetyDecay, so that the value halves in about 700 starts.
	// Without a safety fraction far more of the admitted items miss their
	// deadlines on a saturated engine when budgets are short.
	safetyStep        = 0.04
	safetyDecay       = 0.001
	maxSafetyFraction = 0.8
)

// Kinds of work; they index the lanes.
const (
	short = iota
	long
)

func kind(isLong bool) int {
	if isLong {
		return long
	}
	return short
}

// average is a moving average of service times.
type average struct {
	mean    time.Duration
	samples int
}

// add weights the first samples more, so that the initial value loses its
// effect quickly.
func (a *average) add(sample time.Duration) {
	a.samples++
	weight := max(minSampleWeight, 1/float64(a.samples))
	a.mean += time.Duration(weight * float64(sample-a.mean))
}

// class holds the measured times of one request class in one lane.
type class struct {
	name        string
	serviceTime average
	// firstTokenTime is the time from the start to the first token.
	firstTokenTime average
	waiting        int
}

// class returns the class with that name and adds it if it is new. A linear
// search is enough: classes come from the pool table and are few.
func (l *lane) class(name string) *class {
	for _, c := range l.classes {
		if c.name == name {
			return c
		}
	}
	c := &class{name: name, serviceTime: average{mean: l.serviceTime.mean}}
	l.classes = append(l.classes, c)
	return c
}

// meanServiceTime returns the expected mean service time of the waiting items,
// or that of all classes if none waits.
func (l *lane) meanServiceTime() time.Duration {
	if l.waiting == 0 {
		return l.serviceTime.mean
	}
	var sum time.Duration
	for _, c := range l.classes {
		sum += time.Duration(c.waiting) * c.serviceTime.mean
	}
	return sum / time.Duration(l.waiting)
}

// PredictStartDelay returns the predicted delay before a new item starts whose
// deadline is later than all others of its kind. The prediction is for the time
// passed to the last call.
func (q *Queue) PredictStartDelay(isLong bool) time.Duration {
	return q.predictDelay(q.lastCall, kind(isLong), q.lanes[kind(isLong)].waiting)
}

// predictDelay returns the predicted delay until an item starts that has
// position items of its kind ahead of it.
func (q *Queue) predictDelay(now time.Time, k, position int) time.Duration {
	free := q.limiter.limit - len(q.running)
	if q.cfg.FIFO {
		return q.predictLaneDelay(now, short, len(q.waiting), free)
	}
	if k == short {
		return q.predictLaneDelay(now, short, position, free)
	}
	if maxLong := q.longLimit(); maxLong > 0 {
		start := q.predictLaneDelay(now, long, position, maxLong-len(q.runningByEnd[long]))
		if free <= 0 {
			start = max(start, q.predictLaneDelay(now, short, 0, free))
		}
		return start
	}
	// With a MaxLongShare of 0, a long item waits for all short ones.
	start := q.predictLaneDelay(now, short, q.lanes[short].waiting, free)
	return start + q.predictLaneDelay(now, long, position, 1-len(q.runningByEnd[long]))
}

// predictLaneDelay predicts the delay until an item starts that has position
// items ahead of it, if items of the other kind do not use the limit of this kind.
// free is the number of items that can still start within this limit.
func (q *Queue) predictLaneDelay(now time.Time, k int, position, free int) time.Duration {
	if position < free {
		return 0
	}
	byEnd := q.runningByEnd[k]
	if other := q.runningByEnd[1-k]; len(byEnd) == 0 && free <= 0 && len(other) > 0 {
		// Items of the other kind use up the whole limit.
		return max(0, other[0].predictedEnd.Sub(now)) + time.Duration(position)*q.lanes[k].meanServiceTime()
	}
	limit := max(1, len(byEnd)+max(free, 0))
	queuedAhead := max(0, position-free)
	round, i := queuedAhead/limit, queuedAhead%limit
	service := q.lanes[k].meanServiceTime()
	untilNextEnd := service
	if i < len(byEnd) {
		// Items past their predicted ends are assumed to end one after
		// another, at even intervals within half a service time.
		untilNextEnd = max(byEnd[i].predictedEnd.Sub(now), time.Duration(i+1)*service/time.Duration(2*limit))
	}
	return untilNextEnd + time.Duration(round)*service
}

// startInterval predicts the time between two starts of items of kind k.
func (q *Queue) startInterval(k int) time.Duration {
	limit := q.limiter.limit - len(q.runningByEnd[long])
	if k == long {
		limit = q.longLimit()
	}
	return q.lanes[k].meanServiceTime() / time.Duration(max(limit, 1))
}

// riskMargin returns the time to a deadline at or below which an item of kind k
// is at risk.
func (q *Queue) riskMargin(k int) time.Duration {
	return riskStarts * q.startInterval(k)
}

// atRisk reports whether the effective deadline of the most urgent startable
// item is within margin.
func (l *lane) atRisk(now time.Time, margin time.Duration) bool {
	return l.startable.len() > 0 && l.startable.top().items.top().effectiveDeadline.Sub(now) <= margin
}

// RetryAfter returns the delay after which the caller of an admitted request
// that ended without an execution should retry.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	q.lastCall = now
	return q.retryAfter(now, short, q.PredictStartDelay(false)/2)
}

// retryAfter returns the delay after which a refused caller should retry. It
// is at least delay; a random part spreads the retries over the time needed to
// serve all callers refused recently.
func (q *Queue) retryAfter(now time.Time, k int, delay time.Duration) time.Duration {
	l := q.lanes[k]
	remainingWork := max(0, l.refusedWork-now.Sub(l.refusedWorkAt))
	l.refusedWork = min(remainingWork+q.startInterval(k), maxRetrySpread)
	l.refusedWorkAt = now
	delay = max(delay, minRetryAfter)
	if q.rng != nil && l.refusedWork > 0 {
		delay += time.Duration(q.rng.Int63n(int64(l.refusedWork)))
	}
	return delay
}

// recordMiss raises the safety fraction after an admitted item missed its
// latest start.
func (l *lane) recordMiss() { l.safetyFraction = min(l.safetyFraction+safetyStep, maxSafetyFraction) }

// recordOnTimeStart lowers the safety fraction after a start in time.
func (l *lane) recordOnTimeStart() { l.safetyFraction *= 1 - safetyDecay }
