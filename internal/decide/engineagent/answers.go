package engineagent

import "time"

// doubtTime is how long polls and orders have connections of their own after the engine
// has sent an answer that belongs to no request, or one of before.
const doubtTime = 5 * time.Second

// keptTime is how long all calls use kept connections after one on a new connection got no
// answer: an engine resets the connections beyond those that it takes.
const keptTime = 5 * time.Second

// answeredOrder is an order whose outcome is known by its answer only.
type answeredOrder struct {
	order   Order
	outcome OrderOutcome
	at      time.Time
}

// Believes reports whether a status can be the present one. Answers of the engine name no
// request. One that is repeated late is recognized by what it says: the start of the engine and
// its number of accepted orders never go back, and this process alone orders. The first answer
// on a connection cannot be a copy.
func (a *Agent) Believes(status EngineStatus) bool {
	switch {
	case !status.KeptConnection || !a.hasStatus:
		return true
	case status.StartedAtMS != a.status.StartedAtMS:
		return status.StartedAtMS > a.status.StartedAtMS
	}
	return status.AcceptedOrders >= a.status.AcceptedOrders && !a.contradicts(status)
}

// contradicts reports whether a status shows nothing of an order that was answered as
// accepted.
func (a *Agent) contradicts(status EngineStatus) bool {
	x := a.answered
	return x != nil && x.outcome == OrderAccepted && status.AcceptedOrders <= x.order.ExpectedOrders && !status.shows(x.order)
}

// doubtAnswers begins a time in which no connection is used twice.
func (a *Agent) doubtAnswers(now time.Time) { a.doubtUntil = now.Add(doubtTime) }

// needsNewConnection reports whether a call gets a connection of its own, which may be wanted
// for another reason than doubt.
func (a *Agent) needsNewConnection(now time.Time, wanted bool) bool {
	return a.mayUseNewConnection(now) && (wanted || now.Before(a.doubtUntil))
}

func (a *Agent) mayUseNewConnection(now time.Time) bool { return !now.Before(a.keptUntil) }

// newConnectionFailed records that a call on a new connection got no answer, which tells nothing
// of the engine.
func (a *Agent) newConnectionFailed(now time.Time) {
	a.rec.Count("engine_connections_failed")
	a.keptUntil = now.Add(keptTime)
}

// settleOrder decides by a status whether the last order was accepted, whatever its answer
// said, and handles the outcome.
func (a *Agent) settleOrder(now time.Time, status EngineStatus) {
	x := a.answered
	if x == nil {
		return
	}
	outcome := x.outcome
	accepted := status.AcceptedOrders > x.order.ExpectedOrders && status.shows(x.order)
	switch {
	case a.contradicts(status):
		// The answer was that to another request. The order may have been refused for
		// its fencing number.
		outcome = OrderFenced
	case accepted:
		outcome = OrderAccepted
	}
	if outcome != x.outcome && x.outcome != OrderUnanswered {
		a.rec.Count("order_answers_contradicted")
		a.doubtAnswers(now)
	}
	a.answered = nil
	a.delayNextOrder(now, outcome)
	switch {
	case outcome == OrderAccepted && x.order.Kind == Load && x.order.Adapter.Name != "":
		a.loadLimiter.loadStarted(x.at, x.order.Adapter)
	case outcome == OrderFenced:
		a.fenceOffset += fenceStep
	case outcome == OrderRefused && x.order.Kind == Load:
		a.refuseWaitingFor(now, x.order.Adapter)
	}
}
