package dispatch

import (
	"time"

	"agatelanding.example/agatelanding/internal/decide/reassembly"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	callerGone = result.CallerGone
	// baseRetryAfter is the advice when no target gave a better one.
	baseRetryAfter = 200 * time.Millisecond
)

func (d *Dispatcher) id(a *attempt) wire.AttemptID {
	return wire.AttemptID{
		Request: wire.RequestID{Entry: d.cfg.Entry, Incarnation: d.cfg.Incarnation, Number: a.call.Number},
		Attempt: a.number,
	}
}

// start begins the first attempt or a retry.
func (d *Dispatcher) start(now time.Time, c *call) {
	if !now.Before(c.firstTokenDeadline()) {
		d.finish(now, c, Outcome{Code: c.codeOr(result.DeadlinePassed), RetryAfter: c.retryAfter, Detail: "no time for an attempt"})
		return
	}
	d.rejoin(c)
	t, code := d.pick(now, c)
	if t == nil {
		d.finish(now, c, Outcome{Code: c.codeOr(code), RetryAfter: max(c.retryAfter, baseRetryAfter), Detail: "no further target"})
		return
	}
	d.launch(now, c, t, false)
	d.probe(now, c)
	if delay, ok := d.poolOf(c).hedger.Delay(c.kind()); ok && c.Route.Repeatable {
		c.hedgeAt = now.Add(delay)
	}
	d.schedule(c)
}

// codeOr keeps the code of an earlier refusal, which says more than that
// nothing else was left to try.
func (c *call) codeOr(code result.Code) result.Code {
	if c.lastCode != result.OK {
		return c.lastCode
	}
	return code
}

// rejoin gives a retry the route in force. Targets refuse requests that were
// routed by an older configuration, so a retry with the old one is wasted.
func (d *Dispatcher) rejoin(c *call) {
	if c.number == 0 || !c.Route.Repeatable || d.snapshot == nil || d.snapshot.Revision <= c.Revision {
		return
	}
	route, ok := d.snapshot.RouteModel(c.Route.Model)
	if c.Route.Model == "" {
		route, ok = d.snapshot.RoutePath(c.Path)
	}
	if !ok || !route.Repeatable || route.Pool != c.Pool.Name {
		return
	}
	row, ok := d.snapshot.Pool(route.Pool)
	if !ok {
		return
	}
	if _, ok := row.ClassByName(c.Class.Name); !ok {
		return
	}
	c.Route, c.Pool = route, row
	c.Revision, c.PoolDigest = d.snapshot.Revision, d.snapshot.PoolDigest(route.Pool)
	c.placementKey = d.placementKey(d.poolOf(c), c)
}

// launch begins an attempt at a target.
func (d *Dispatcher) launch(now time.Time, c *call, t *target, hedge bool) {
	c.number++
	c.target = t.Name
	c.tried = append(c.tried, t.Name)
	if hedge {
		c.answer.Open(c.number)
	} else {
		c.answer = reassembly.New(c.number)
	}
	key := c.residencyKey()
	a := &attempt{
		call: c, number: c.number, target: t, hedge: hedge, started: now,
		loaded: key == "" || t.resident.Has(key) && t.answering.Has(key),
	}
	c.attempts = append(c.attempts, a)
	t.open = append(t.open, a)
	t.addLoad(now, 1)
	d.noteUse(now, t)
	t.pool.outliers.Probed(now, t.Name)
	if d.connected(t) {
		d.sendReserve(now, a)
		return
	}
	a.phase = phaseConnecting
	a.wakeAt = earliest(now.Add(ConnectTimeout), c.firstTokenDeadline())
	d.connect(now, t)
}

func (d *Dispatcher) sendReserve(now time.Time, a *attempt) {
	c := a.call
	a.phase = phaseReserving
	a.wakeAt = earliest(now.Add(ReserveTimeout), c.firstTokenDeadline())
	d.send(a.target, &wire.Reserve{
		ID: d.id(a), Pool: c.Pool.Name, Adapter: c.Route.Adapter, Version: c.Route.Version,
		Class: c.Class.Name, BudgetMS: max(0, c.firstTokenDeadline().Sub(now).Milliseconds()), Tokens: c.Tokens,
		Repeatable: c.Route.Repeatable, Key: c.Key, KeyTimeMS: c.KeyTimeMS, BodyDigest: c.BodyDigest,
		Revision: c.Revision, PoolDigest: c.PoolDigest, PrefixHash: c.PrefixHash,
	})
	d.schedule(c)
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// cancel tells the target that an attempt is over for the entry.
func (d *Dispatcher) cancel(a *attempt) {
	if a.phase == phaseReserving || a.phase == phaseRunning {
		d.send(a.target, &wire.Cancel{ID: d.id(a)})
	}
}

// failed ends an attempt and decides whether another one follows.
func (d *Dispatcher) failed(now time.Time, a *attempt, code result.Code, after time.Duration, detail string) {
	c := a.call
	d.release(now, a)
	p := d.poolOf(c)
	if p != nil {
		p.retry.Ended(code)
	}
	c.note(code, after)
	if len(c.attempts) > 0 {
		d.rec.Count("parallel_attempts_failed")
		d.schedule(c)
		return
	}
	decision := retry.Decision{Stop: retry.StopCode}
	if p != nil {
		decision = p.retry.Next(retry.Attempt{
			Code: code, Number: c.failures, Overloads: c.overloads,
			Repeatable: c.Route.Repeatable, Sent: a.sent, SameTarget: !c.Route.Repeatable,
			Delivered: c.Stream && c.answer.Started(), RetryAfter: after, Left: c.firstTokenDeadline().Sub(now),
		})
	}
	if decision.Stop != retry.Retry {
		d.rec.NotRetried(decision.Stop)
		d.finish(now, c, Outcome{Code: code, Detail: detail, RetryAfter: c.retryAfter})
		return
	}
	d.rec.Retried(code)
	if c.answer.Started() {
		d.act(Discard{Number: c.Number})
	}
	c.hedgeAt = time.Time{}
	c.retryAt = now.Add(decision.Delay)
	if decision.Delay == 0 {
		d.start(now, c)
		return
	}
	d.schedule(c)
}

// note keeps what a failed attempt says about the call.
func (c *call) note(code result.Code, after time.Duration) {
	c.failures++
	if retry.IsOverload(code) {
		c.overloads++
	}
	c.retryAfter = max(c.retryAfter, after)
	c.lastCode = code
	if code.Info().Execution != result.NotRun {
		c.ranCode = code
	}
}

// finish ends a call. If an earlier attempt may have run, the caller is not
// told that the request did not run.
func (d *Dispatcher) finish(now time.Time, c *call, o Outcome) {
	for len(c.attempts) > 0 {
		a := c.attempts[0]
		d.cancel(a)
		d.release(now, a)
	}
	d.unschedule(c)
	delete(d.calls, c.Number)
	if c.ranCode != result.OK && o.Code.Info().Execution == result.NotRun {
		o.Code = c.ranCode
	}
	o.Attempts = int(c.number)
	o.Target = c.target
	if o.Code != result.OK {
		d.rec.Refused(o.Code)
	}
	d.act(Finish{Number: c.Number, Outcome: o})
}

// timeout ends the phase of an attempt.
func (d *Dispatcher) timeout(now time.Time, a *attempt) {
	late := !now.Before(a.call.firstTokenDeadline())
	switch a.phase {
	case phaseConnecting:
		d.members.ConnectFailed(now, a.target.Name)
		d.failed(now, a, notRun(late), 0, "no session in time")
	case phaseReserving:
		d.members.Unanswered(now, a.target.Name)
		d.cancel(a)
		code := d.lostCode(a)
		if code == result.SessionLost {
			code = notRun(late)
		}
		d.failed(now, a, code, 0, "no answer to the reservation")
	case phaseResuming:
		d.failed(now, a, d.lostCode(a), 0, "the session was lost")
	}
}

// notRun is the code of an attempt that ends before Run has left.
func notRun(late bool) result.Code {
	if late {
		return result.DeadlinePassed
	}
	return result.SessionLost
}

// giveUp ends a call at one of its deadlines.
func (d *Dispatcher) giveUp(now time.Time, c *call) {
	code := c.codeOr(result.DeadlinePassed)
	for _, a := range c.attempts {
		d.overdue(now, a)
		if !a.sent && c.answer.Winner() != a.number {
			continue
		}
		code = result.Cancelled
		if !c.Route.Repeatable {
			code = result.OutcomeUnknown
		}
	}
	d.finish(now, c, Outcome{Code: code, RetryAfter: c.retryAfter, Detail: "the budget of the class ended"})
}
