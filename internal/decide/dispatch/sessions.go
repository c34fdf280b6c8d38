package dispatch

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

// connected reports whether a session with the target is open.
func (d *Dispatcher) connected(t *target) bool {
	return d.targets[t.Name] == t && d.members.Status(t.Name).Connected
}

// connect requests a session unless one is open or requested. It returns false
// if the sessions on demand are at their limit and none is idle.
func (d *Dispatcher) connect(now time.Time, t *target) bool {
	if t.sessionWanted {
		return true
	}
	if t.pool.onDemand() {
		if d.onDemandSessions >= d.cfg.MaxOnDemandSessions && !d.closeOldestIdle() {
			return false
		}
		d.onDemandSessions++
	}
	t.sessionWanted = true
	d.recordUse(now, t)
	d.emit(Connect{Target: t.Name, Address: t.Address})
	return true
}

// disconnect ends the session with a target, or the request for one.
func (d *Dispatcher) disconnect(t *target) {
	if !t.sessionWanted {
		return
	}
	t.sessionWanted = false
	if t.idleElement != nil {
		d.idleSessions.Remove(t.idleElement)
		t.idleElement = nil
	}
	if t.pool.onDemand() {
		d.onDemandSessions--
	}
	d.markDisconnected(t)
	d.emit(Disconnect{Target: t.Name})
}

// markDisconnected records that the session with a target is closed.
func (d *Dispatcher) markDisconnected(t *target) {
	if !d.connected(t) {
		return
	}
	d.members.SessionLost(t.Name)
	t.countedAsConnected = false
	t.pool.sessions--
	t.pool.othersLoad -= t.load.Others()
	t.load.ResetReports()
	t.pool.outliers.SetUsable(t.pool.sessions)
}

// canConnect reports whether a further session on demand may be opened.
func (d *Dispatcher) canConnect() bool {
	return d.onDemandSessions < d.cfg.MaxOnDemandSessions || d.idleSessions.Len() > 0
}

// recordUse sets the time of last use of a target and updates its place in the
// list of idle sessions on demand.
func (d *Dispatcher) recordUse(now time.Time, t *target) {
	t.lastUsed = now
	if t.idleElement != nil {
		d.idleSessions.Remove(t.idleElement)
		t.idleElement = nil
	}
	if t.sessionWanted && t.pool.onDemand() && len(t.openAttempts) == 0 {
		t.idleElement = d.idleSessions.PushBack(t)
	}
}

// closeOldestIdle ends the idle session on demand that was used longest ago. It
// returns false if none is idle.
func (d *Dispatcher) closeOldestIdle() bool {
	oldest := d.idleSessions.Front()
	if oldest == nil {
		return false
	}
	d.rec.Count("sessions_closed_for_room")
	d.disconnect(oldest.Value.(*target))
	return true
}

// closeIdleSessions ends the sessions on demand that were not used for
// IdleSessionTimeout.
func (d *Dispatcher) closeIdleSessions(now time.Time) {
	for oldest := d.idleSessions.Front(); oldest != nil; oldest = d.idleSessions.Front() {
		t := oldest.Value.(*target)
		if now.Sub(t.lastUsed) < IdleSessionTimeout {
			return
		}
		d.rec.Count("sessions_closed_idle")
		d.disconnect(t)
	}
}

// removeTarget ends the session with a target that the tables no longer name
// and that has no open attempts, and drops its state.
func (d *Dispatcher) removeTarget(t *target) {
	d.disconnect(t)
	t.pool.outliers.Forget(t.Name)
	if d.targets[t.Name] == t {
		delete(d.targets, t.Name)
		d.members.Retain(func(name string) bool { return name != t.Name })
	}
	d.sortedTargets = slices.DeleteFunc(slices.Clone(d.sortedTargets), func(x *target) bool { return x == t })
}

// closeReplacedTarget ends the session with a target whose address changed and
// drops its state, because another address means another process. SetSnapshot
// fails its open attempts.
func (d *Dispatcher) closeReplacedTarget(t *target) {
	d.disconnect(t)
	delete(d.targets, t.Name)
	d.members.Retain(func(name string) bool { return name != t.Name })
}

// failAllAttempts fails the open attempts at a target that cannot be reached
// any more.
func (d *Dispatcher) failAllAttempts(now time.Time, t *target, detail string) {
	for len(t.openAttempts) > 0 {
		d.attemptFailed(now, t.openAttempts[0], d.lostCode(t.openAttempts[0]), 0, detail)
	}
}

// SessionUp records that a session with a target has opened, with the Hello
// that the target sent.
func (d *Dispatcher) SessionUp(now time.Time, name string, hello *wire.Hello) []Action {
	t, ok := d.targets[name]
	if !ok || !t.sessionWanted {
		d.emit(Disconnect{Target: name})
		return d.takeActions()
	}
	if d.connected(t) {
		// The loss of the previous session was not reported.
		d.handleSessionLost(now, t)
		if !t.sessionWanted {
			// A retry of a lost attempt closed this session to
			// stay within MaxOnDemandSessions.
			return d.takeActions()
		}
	}
	sameProcess := d.members.Status(name).Incarnation == hello.Incarnation
	if d.members.SessionUp(now, name, hello.Incarnation) {
		d.rec.Count("target_restarts_seen")
		t.restartedAt = now
	}
	if !sameProcess {
		t.resetObservations()
	}
	t.countedAsConnected = true
	t.pool.sessions++
	t.pool.outliers.SetUsable(t.pool.sessions)
	if hello.State == wire.StateLeaving {
		d.members.SetLeaving(name)
	}
	d.refreshIfNewer(now, hello.Revision)
	t.rowSent = 0
	d.sendPoolUpdate(t)
	for _, a := range slices.Clone(t.openAttempts) {
		if slices.Contains(t.openAttempts, a) {
			d.continueAttempt(now, a, hello.Incarnation)
		}
	}
	return d.takeActions()
}

// continueAttempt reserves or resumes an attempt on a new session, or fails it
// if the target process is another one or is leaving.
func (d *Dispatcher) continueAttempt(now time.Time, a *attempt, processIncarnation int64) {
	switch {
	case a.phase == phaseConnecting && d.members.Usable(now, a.target.Name):
		d.sendReserve(now, a)
	case a.phase == phaseConnecting:
		d.attemptFailed(now, a, result.TargetLeaving, 0, "")
	case a.phase == phaseResuming && a.processIncarnation != processIncarnation:
		d.attemptFailed(now, a, d.lostCode(a), 0, "the target process restarted")
	case a.phase == phaseResuming:
		a.phase = phaseRunning
		a.phaseDeadline = a.call.totalDeadline()
		a.call.answer.ResumeRequested()
		d.rec.Count("resumed_answers")
		d.send(a.target, &wire.Resume{ID: d.attemptID(a), From: a.call.answer.NextSequence(a.number)})
		d.schedule(a.call)
	}
}

// SessionLost records the loss of a session, or that it could not be opened.
// Attempts that were not sent a Run fail and may be retried; running ones wait
// for a new session with the same process. It must not be called for the end of
// a session that Disconnect requested: if a Connect followed, the new session
// would be recorded as lost.
func (d *Dispatcher) SessionLost(now time.Time, name string) []Action {
	t, ok := d.targets[name]
	if !ok {
		return d.takeActions()
	}
	if !d.connected(t) {
		d.members.ConnectFailed(now, name)
	}
	d.handleSessionLost(now, t)
	if t.sessionWanted && t.pool.onDemand() && len(t.openAttempts) == 0 {
		d.disconnect(t)
	}
	return d.takeActions()
}

// handleSessionLost fails the attempts at a target that do not run yet, and
// lets the running ones wait for a new session.
func (d *Dispatcher) handleSessionLost(now time.Time, t *target) {
	d.markDisconnected(t)
	for _, a := range slices.Clone(t.openAttempts) {
		if !slices.Contains(t.openAttempts, a) {
			continue
		}
		switch a.phase {
		case phaseConnecting:
			d.attemptFailed(now, a, result.SessionLost, 0, "the session with the target could not be opened")
		case phaseReserving:
			d.attemptFailed(now, a, d.lostCode(a), 0, "")
		case phaseRunning:
			a.phase = phaseResuming
			a.phaseDeadline = now.Add(ResumeTimeout)
			d.schedule(a.call)
		}
	}
}

// lostCode returns the code of an attempt that ended without a reply from the
// target about its result. Before Run was sent, the request was certainly not
// run, unless the target has begun to answer from its record of an earlier call
// with the same key.
func (d *Dispatcher) lostCode(a *attempt) result.Code {
	switch {
	case !a.runSent && a.call.answer.Winner() != a.number:
		return result.SessionLost
	case a.call.Route.Repeatable:
		return result.AnswerCut
	default:
		return result.OutcomeUnknown
	}
}

// SetTargetLeaving records that a target takes no new work because it will
// stop.
func (d *Dispatcher) SetTargetLeaving(name string) []Action {
	d.markLeaving(name)
	return d.takeActions()
}

func (d *Dispatcher) markLeaving(name string) {
	if _, ok := d.targets[name]; ok {
		d.members.SetLeaving(name)
	}
}

// SetListedLeaving records whether the VM list shows a target as leaving.
func (d *Dispatcher) SetListedLeaving(name string, on bool) { d.members.SetListedLeaving(name, on) }
