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
	// minRetryAfter is the shortest Retry-After of a call that ends because
	// no target is left to try.
	minRetryAfter = 200 * time.Millisecond
)

func (d *Dispatcher) attemptID(a *attempt) wire.AttemptID {
	return wire.AttemptID{
		Request: wire.RequestID{Entry: d.cfg.Entry, Incarnation: d.cfg.Incarnation, Number: a.call.Number},
		Attempt: a.number,
	}
}

// startNextAttempt starts the first attempt or a retry at a target that it
// picks, with a probe of an ejected target if one is due. It ends the call if
// no time or no target is left.
func (d *Dispatcher) startNextAttempt(now time.Time, c *call) {
	if !now.Before(c.firstTokenDeadline()) {
		d.finish(now, c, Outcome{Code: c.lastCodeOr(result.DeadlinePassed), RetryAfter: c.retryAfter, Detail: "the first-token deadline has passed, no time left for an attempt"})
		return
	}
	d.updateRoute(c)
	t, code := d.pickTarget(now, c)
	if t == nil {
		d.finish(now, c, Outcome{Code: c.lastCodeOr(code), RetryAfter: max(c.retryAfter, minRetryAfter), Detail: "no target of the pool is left to try"})
		return
	}
	d.launchAttempt(now, c, t, false)
	d.probe(now, c)
	if delay, ok := d.poolOf(c).hedger.HedgeDelay(c.firstTokenKind()); ok && c.Route.Repeatable {
		c.hedgeAt = now.Add(delay)
	}
	d.schedule(c)
}

// lastCodeOr returns the code of the last failed attempt if there is one, and
// code otherwise. The code of a failed attempt is more useful to the caller
// than one that reports that no target or no time was left.
func (c *call) lastCodeOr(code result.Code) result.Code {
	if c.lastCode != result.OK {
		return c.lastCode
	}
	return code
}

// updateRoute replaces the route of a retry by the one in force. Targets refuse
// requests that were routed by an older configuration, so a retry with the old
// route would fail.
func (d *Dispatcher) updateRoute(c *call) {
	if c.lastAttempt == 0 || !c.Route.Repeatable || d.snapshot == nil || d.snapshot.Revision <= c.Revision {
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
	c.Revision, c.TargetListDigest = d.snapshot.Revision, d.snapshot.TargetListDigest(route.Pool)
	c.placementKey = d.placementKey(d.poolOf(c), c)
}

// launchAttempt starts an attempt at a target. A hedge runs in parallel to the
// open attempts; any other attempt starts the answer from the beginning.
func (d *Dispatcher) launchAttempt(now time.Time, c *call, t *target, hedge bool) {
	c.lastAttempt++
	c.outcomeTarget = t.Name
	c.triedTargets = append(c.triedTargets, t.Name)
	if hedge {
		c.answer.AddAttempt(c.lastAttempt)
	} else {
		c.answer = reassembly.NewAnswer(c.lastAttempt)
	}
	key := c.residencyKey()
	a := &attempt{
		call: c, number: c.lastAttempt, target: t, hedge: hedge, started: now,
		adapterLoaded: key == "" || t.residentAdapters.Has(key) && t.answeredAdapters.Has(key),
	}
	c.attempts = append(c.attempts, a)
	t.openAttempts = append(t.openAttempts, a)
	t.addLoad(now, 1)
	d.recordUse(now, t)
	// Every attempt at an ejected target counts as a probe.
	t.pool.outliers.RequestSent(now, t.Name)
	if d.connected(t) {
		d.sendReserve(now, a)
		return
	}
	a.phase = phaseConnecting
	a.phaseDeadline = earliest(now.Add(ConnectTimeout), c.firstTokenDeadline())
	d.connect(now, t)
}

// sendReserve sends the Reserve of an attempt whose session is open.
func (d *Dispatcher) sendReserve(now time.Time, a *attempt) {
	c := a.call
	a.phase = phaseReserving
	a.phaseDeadline = earliest(now.Add(ReserveTimeout), c.firstTokenDeadline())
	d.send(a.target, &wire.Reserve{
		ID: d.attemptID(a), Pool: c.Pool.Name, Adapter: c.Route.Adapter, Version: c.Route.Version,
		Class: c.Class.Name, BudgetMS: max(0, c.firstTokenDeadline().Sub(now).Milliseconds()), EstimatedTokens: c.EstimatedTokens,
		Repeatable: c.Route.Repeatable, Key: c.IdempotencyKey, KeyTimeMS: c.KeyCreatedMS, BodyDigest: c.BodyDigest,
		Revision: c.Revision, TargetListDigest: c.TargetListDigest, PrefixHash: c.PrefixHash,
	})
	d.schedule(c)
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// cancelAttempt sends the target a Cancel if it was sent a Reserve.
func (d *Dispatcher) cancelAttempt(a *attempt) {
	if a.phase == phaseReserving || a.phase == phaseRunning {
		d.send(a.target, &wire.Cancel{ID: d.attemptID(a)})
	}
}

// attemptFailed ends an attempt and either retries the call, waits for a
// parallel attempt or ends the call with code.
func (d *Dispatcher) attemptFailed(now time.Time, a *attempt, code result.Code, retryAfter time.Duration, detail string) {
	c := a.call
	d.release(now, a)
	p := d.poolOf(c)
	if p != nil {
		p.retry.RecordResult(code)
	}
	c.recordFailure(code, retryAfter)
	if len(c.attempts) > 0 {
		d.rec.Count("parallel_attempts_failed")
		d.schedule(c)
		return
	}
	decision := retry.Decision{Stop: retry.StopCode}
	if p != nil {
		decision = p.retry.Next(retry.Attempt{
			Code: code, FailedAttempts: c.failedAttempts, OverloadRefusals: c.overloadRefusals,
			Repeatable: c.Route.Repeatable, RunSent: a.runSent, SameTarget: !c.Route.Repeatable,
			Delivered: c.Stream && c.answer.Started(), RetryAfter: retryAfter, TimeLeft: c.firstTokenDeadline().Sub(now),
		})
	}
	if decision.Stop != retry.StopNone {
		d.rec.NotRetried(decision.Stop)
		d.finish(now, c, Outcome{Code: code, Detail: detail, RetryAfter: c.retryAfter})
		return
	}
	d.rec.Retried(code)
	if c.answer.Started() {
		d.emit(Discard{Number: c.Number})
	}
	c.hedgeAt = time.Time{}
	c.retryAt = now.Add(decision.Delay)
	if decision.Delay == 0 {
		d.startNextAttempt(now, c)
		return
	}
	d.schedule(c)
}

// recordFailure adds a failed attempt to the state of the call.
func (c *call) recordFailure(code result.Code, retryAfter time.Duration) {
	c.failedAttempts++
	if retry.IsOverload(code) {
		c.overloadRefusals++
	}
	c.retryAfter = max(c.retryAfter, retryAfter)
	c.lastCode = code
	if code.Info().Execution != result.NotRun {
		c.mayHaveRunCode = code
	}
}

// finish ends a call and its open attempts. If an earlier attempt may have run,
// the outcome does not report the request as not run.
func (d *Dispatcher) finish(now time.Time, c *call, o Outcome) {
	for len(c.attempts) > 0 {
		a := c.attempts[0]
		d.cancelAttempt(a)
		d.release(now, a)
	}
	d.unschedule(c)
	delete(d.calls, c.Number)
	if c.mayHaveRunCode != result.OK && o.Code.Info().Execution == result.NotRun {
		o.Code = c.mayHaveRunCode
	}
	o.Attempts = int(c.lastAttempt)
	o.Target = c.outcomeTarget
	if o.Code != result.OK {
		d.rec.Refused(o.Code)
	}
	d.emit(Finish{Number: c.Number, Outcome: o})
}

// attemptTimedOut fails an attempt whose phase reached its deadline.
func (d *Dispatcher) attemptTimedOut(now time.Time, a *attempt) {
	deadlinePassed := !now.Before(a.call.firstTokenDeadline())
	switch a.phase {
	case phaseConnecting:
		d.members.ConnectFailed(now, a.target.Name)
		d.attemptFailed(now, a, notRunCode(deadlinePassed), 0, "no session with the target in time")
	case phaseReserving:
		d.members.MessageUnanswered(now, a.target.Name)
		d.cancelAttempt(a)
		code := d.lostCode(a)
		if code == result.SessionLost {
			code = notRunCode(deadlinePassed)
		}
		d.attemptFailed(now, a, code, 0, "the target did not answer the reservation")
	case phaseResuming:
		d.attemptFailed(now, a, d.lostCode(a), 0, "the session was lost and not resumed in time")
	}
}

// notRunCode returns the code of an attempt that ends before Run was sent.
func notRunCode(deadlinePassed bool) result.Code {
	if deadlinePassed {
		return result.DeadlinePassed
	}
	return result.SessionLost
}

// endAtDeadline ends a call at its total deadline, or FirstTokenGracePeriod
// after its first-token deadline if endsWithoutFirstToken holds.
func (d *Dispatcher) endAtDeadline(now time.Time, c *call) {
	code := c.lastCodeOr(result.DeadlinePassed)
	for _, a := range c.attempts {
		d.observeOverdue(now, a)
		if !a.runSent && c.answer.Winner() != a.number {
			continue
		}
		code = result.Cancelled
		if !c.Route.Repeatable {
			code = result.OutcomeUnknown
		}
	}
	d.finish(now, c, Outcome{Code: code, RetryAfter: c.retryAfter, Detail: "the first-token or total deadline of the class has passed"})
}
