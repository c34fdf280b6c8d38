package admission

import "time"

const (
	// initialServiceTime and initialLongServiceTime are assumed before the
	// first request has finished.
	initialServiceTime     = 500 * time.Millisecond
	initialLongServiceTime = 10 * initialServiceTime
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.1
	// minRetryAfter keeps refused callers from coming back at once.
	minRetryAfter = 100 * time.Millisecond
	// maxRetrySpread bounds the time over which refused callers are spread:
	// later than that the load has changed.
	maxRetrySpread = 10 * time.Second
	// riskStarts is the number of starts that a deadline is away when it
	// counts as at risk. In the toy engine of the tests 3 or 4 gave up to 5%
	// fewer tokens a second and no fewer missed deadlines.
	riskStarts = 2
	// missStep is added to a lane's caution when an item that could have
	// started misses its deadline. Each start takes away cautionDecay of the
	// caution, so that it halves in about 700 starts. With these values 1%
	// to 2% of the admitted items miss in a saturated toy engine, against
	// 10% without caution at a budget of 570 ms.
	missStep     = 0.04
	cautionDecay = 0.001
	maxCaution   = 0.8
)

// Kinds of work.
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

// add weighs the first samples more, so that the assumed value is soon
// forgotten.
func (a *average) add(sample time.Duration) {
	a.samples++
	weight := max(smoothing, 1/float64(a.samples))
	a.mean += time.Duration(weight * float64(sample-a.mean))
}

// class is what is known of one class.
type class struct {
	name    string
	service average
	// first is the time from the start to the first token.
	first   average
	waiting int
}

// class returns the class with that name. Classes come from the pool table
// and are few.
func (l *lane) class(name string) *class {
	for _, c := range l.classes {
		if c.name == name {
			return c
		}
	}
	c := &class{name: name, service: average{mean: l.service.mean}}
	l.classes = append(l.classes, c)
	return c
}

// mix returns the mean service time of the waiting items.
func (l *lane) mix() time.Duration {
	if l.count == 0 {
		return l.service.mean
	}
	var sum time.Duration
	for _, c := range l.classes {
		sum += time.Duration(c.waiting) * c.service.mean
	}
	return sum / time.Duration(l.count)
}

// PredictStart returns the predicted delay before a new item with a late
// deadline starts, as of the time of the last call.
func (q *Queue) PredictStart(isLong bool) time.Duration {
	return q.predict(q.now, kind(isLong), q.lane[kind(isLong)].count)
}

// predict returns when the item behind position others of its kind starts.
func (q *Queue) predict(now time.Time, k, position int) time.Duration {
	free := q.limit.limit - len(q.running)
	if q.cfg.FIFO {
		return q.wait(now, short, len(q.waiting), free)
	}
	if k == short {
		return q.wait(now, short, position, free)
	}
	if share := q.longSlots(); share > 0 {
		start := q.wait(now, long, position, share-len(q.order[long]))
		if free <= 0 {
			start = max(start, q.wait(now, short, 0, free))
		}
		return start
	}
	// Without a slot of its own long work waits for all short work.
	start := q.wait(now, short, q.lane[short].count, free)
	return start + q.wait(now, long, position, 1-len(q.order[long]))
}

// wait predicts when the item behind position others starts, if only work of
// kind k runs on its slots, of which free are unused.
func (q *Queue) wait(now time.Time, k int, position, free int) time.Duration {
	if position < free {
		return 0
	}
	order := q.order[k]
	if other := q.order[1-k]; len(order) == 0 && free <= 0 && len(other) > 0 {
		// Work of the other kind holds every slot.
		return max(0, other[0].finish.Sub(now)) + time.Duration(position)*q.lane[k].mix()
	}
	width := max(1, len(order)+max(free, 0))
	behind := max(0, position-free)
	round, i := behind/width, behind%width
	service := q.lane[k].mix()
	left := service
	if i < len(order) {
		// An item past its predicted end is expected to end in turn.
		left = max(order[i].finish.Sub(now), time.Duration(i+1)*service/time.Duration(2*width))
	}
	return left + time.Duration(round)*service
}

// interval predicts the time between two starts of one kind of work.
func (q *Queue) interval(k int) time.Duration {
	width := q.limit.limit - len(q.order[long])
	if k == long {
		width = q.longSlots()
	}
	return q.lane[k].mix() / time.Duration(max(width, 1))
}

// riskMargin returns how far a deadline must be away not to be at risk.
func (q *Queue) riskMargin(k int) time.Duration {
	return riskStarts * q.interval(k)
}

// atRisk reports whether the most urgent startable item is due within margin.
func (l *lane) atRisk(now time.Time, margin time.Duration) bool {
	return l.ready.len() > 0 && l.ready.top().items.top().urgent.Sub(now) <= margin
}

// RetryAfter returns when the caller of an admitted request that was given up
// should come back.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	q.now = now
	return q.retryAfter(now, short, q.PredictStart(false)/2)
}

// retryAfter returns when a refused caller should come back, at the earliest
// after delay. Callers are spread over the time that serving all those refused
// of late takes.
func (q *Queue) retryAfter(now time.Time, k int, delay time.Duration) time.Duration {
	l := q.lane[k]
	left := max(0, l.refused-now.Sub(l.refusedAt))
	l.refused = min(left+q.interval(k), maxRetrySpread)
	l.refusedAt = now
	delay = max(delay, minRetryAfter)
	if q.rng != nil && l.refused > 0 {
		delay += time.Duration(q.rng.Int63n(int64(l.refused)))
	}
	return delay
}

// missed learns that an admitted item could not start in time.
func (l *lane) missed() { l.caution = min(l.caution+missStep, maxCaution) }

// met learns that an admitted item started in time.
func (l *lane) met() { l.caution *= 1 - cautionDecay }
