package dispatch

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

func (d *Dispatcher) connected(t *target) bool {
	return d.targets[t.Name] == t && d.members.Status(t.Name).Connected
}

// connect asks for a session unless one is open or asked for. It returns
// false if the sessions on demand are at their limit and none is idle.
func (d *Dispatcher) connect(now time.Time, t *target) bool {
	if t.wanted {
		return true
	}
	if t.pool.onDemand() {
		if d.onDemand >= d.cfg.MaxSessions && !d.closeOldest() {
			return false
		}
		d.onDemand++
	}
	t.wanted = true
	d.noteUse(now, t)
	d.act(Connect{Target: t.Name, Address: t.Address})
	return true
}

// disconnect ends the session with a target that has no open attempts.
func (d *Dispatcher) disconnect(t *target) {
	if !t.wanted {
		return
	}
	t.wanted = false
	if t.idle != nil {
		d.idle.Remove(t.idle)
		t.idle = nil
	}
	if t.pool.onDemand() {
		d.onDemand--
	}
	d.markDown(t)
	d.act(Disconnect{Target: t.Name})
}

func (d *Dispatcher) markDown(t *target) {
	if !d.connected(t) {
		return
	}
	d.members.SessionDown(t.Name)
	t.counted = false
	t.pool.connected--
	t.pool.others -= t.load.Others()
	t.load.Forget()
	t.pool.outliers.SetUsable(t.pool.connected)
}

// canConnect reports whether a further session on demand may be opened.
func (d *Dispatcher) canConnect() bool {
	return d.onDemand < d.cfg.MaxSessions || d.idle.Len() > 0
}

// noteUse keeps the list of idle sessions on demand, the one used longest ago
// first.
func (d *Dispatcher) noteUse(now time.Time, t *target) {
	t.lastUsed = now
	if t.idle != nil {
		d.idle.Remove(t.idle)
		t.idle = nil
	}
	if t.wanted && t.pool.onDemand() && len(t.open) == 0 {
		t.idle = d.idle.PushBack(t)
	}
}

func (d *Dispatcher) closeOldest() bool {
	oldest := d.idle.Front()
	if oldest == nil {
		return false
	}
	d.rec.Count("sessions_closed_for_room")
	d.disconnect(oldest.Value.(*target))
	return true
}

// closeIdle ends the sessions on demand that were not used for a while.
func (d *Dispatcher) closeIdle(now time.Time) {
	for oldest := d.idle.Front(); oldest != nil; oldest = d.idle.Front() {
		t := oldest.Value.(*target)
		if now.Sub(t.lastUsed) < IdleSession {
			return
		}
		d.rec.Count("sessions_closed_idle")
		d.disconnect(t)
	}
}

// retire forgets a target that is in no table and has no open attempts.
func (d *Dispatcher) retire(t *target) {
	d.disconnect(t)
	t.pool.outliers.Forget(t.Name)
	if d.targets[t.Name] == t {
		delete(d.targets, t.Name)
		d.members.Forget(func(name string) bool { return name != t.Name })
	}
	d.order = slices.DeleteFunc(slices.Clone(d.order), func(x *target) bool { return x == t })
}

// detach ends the session with a target whose address changed. Another
// address means another process.
func (d *Dispatcher) detach(t *target) {
	d.disconnect(t)
	delete(d.targets, t.Name)
	d.members.Forget(func(name string) bool { return name != t.Name })
}

// failAll ends what is open at a target that cannot be reached any more.
func (d *Dispatcher) failAll(now time.Time, t *target, detail string) {
	for len(t.open) > 0 {
		d.failed(now, t.open[0], d.lostCode(t.open[0]), 0, detail)
	}
}

// SessionUp records a session with a target.
func (d *Dispatcher) SessionUp(now time.Time, name string, hello *wire.Hello) []Action {
	t, ok := d.targets[name]
	if !ok || !t.wanted {
		d.act(Disconnect{Target: name})
		return d.take()
	}
	if d.connected(t) {
		// The loss of the session before was not reported.
		d.sessionLost(now, t)
		if !t.wanted {
			// The retry of a lost call needed the room of this session.
			return d.take()
		}
	}
	known := d.members.Status(name).Incarnation == hello.Incarnation
	if d.members.SessionUp(now, name, hello.Incarnation) {
		d.rec.Count("target_restarts_seen")
		t.restarted = now
	}
	if !known {
		t.forget()
	}
	t.counted = true
	t.pool.connected++
	t.pool.outliers.SetUsable(t.pool.connected)
	if hello.State == wire.StateLeaving {
		d.members.Leaving(name)
	}
	d.heard(now, hello.Revision)
	t.rowSent = 0
	d.sendPool(t)
	for _, a := range slices.Clone(t.open) {
		if slices.Contains(t.open, a) {
			d.sessionFor(now, a, hello.Incarnation)
		}
	}
	return d.take()
}

// sessionFor continues an attempt on a new session.
func (d *Dispatcher) sessionFor(now time.Time, a *attempt, incarnation int64) {
	switch {
	case a.phase == phaseConnecting && d.members.Usable(now, a.target.Name):
		d.sendReserve(now, a)
	case a.phase == phaseConnecting:
		d.failed(now, a, result.TargetLeaving, 0, "")
	case a.phase == phaseResuming && a.incarnation != incarnation:
		d.failed(now, a, d.lostCode(a), 0, "the target process restarted")
	case a.phase == phaseResuming:
		a.phase = phaseRunning
		a.wakeAt = a.call.totalDeadline()
		a.call.answer.Resumed()
		d.rec.Count("resumed_answers")
		d.send(a.target, &wire.Resume{ID: d.id(a), From: a.call.answer.Next(a.number)})
		d.schedule(a.call)
	}
}

// SessionDown records the loss of a session, or that it could not be opened.
// Requests that were not sent go elsewhere; running ones wait for a new
// session to the same process. It must not be called for a session that ended
// by Disconnect: a Connect may have followed.
func (d *Dispatcher) SessionDown(now time.Time, name string) []Action {
	t, ok := d.targets[name]
	if !ok {
		return d.take()
	}
	if !d.connected(t) {
		d.members.ConnectFailed(now, name)
	}
	d.sessionLost(now, t)
	if t.wanted && t.pool.onDemand() && len(t.open) == 0 {
		d.disconnect(t)
	}
	return d.take()
}

func (d *Dispatcher) sessionLost(now time.Time, t *target) {
	d.markDown(t)
	for _, a := range slices.Clone(t.open) {
		if !slices.Contains(t.open, a) {
			continue
		}
		switch a.phase {
		case phaseConnecting:
			d.failed(now, a, result.SessionLost, 0, "no session")
		case phaseReserving:
			d.failed(now, a, d.lostCode(a), 0, "")
		case phaseRunning:
			a.phase = phaseResuming
			a.wakeAt = now.Add(ResumeWait)
			d.schedule(a.call)
		}
	}
}

// lostCode is the code of an attempt whose end is not known. Before Run has
// left, the request was certainly not run, unless the target has begun to
// answer from its record of an earlier call with the same key.
func (d *Dispatcher) lostCode(a *attempt) result.Code {
	switch {
	case !a.sent && a.call.answer.Winner() != a.number:
		return result.SessionLost
	case a.call.Route.Repeatable:
		return result.AnswerCut
	default:
		return result.OutcomeUnknown
	}
}

// TargetLeaving records that a target stops.
func (d *Dispatcher) TargetLeaving(name string) []Action {
	d.leaving(name)
	return d.take()
}

func (d *Dispatcher) leaving(name string) {
	if _, ok := d.targets[name]; ok {
		d.members.Leaving(name)
	}
}

// ListLeaving records what the VM list says of a target.
func (d *Dispatcher) ListLeaving(name string, leaving bool) { d.members.ListLeaving(name, leaving) }
