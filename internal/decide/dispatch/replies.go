package dispatch

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/reassembly"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

// latencyUnit is the latency that stands for the median of a kind of request,
// so that targets are comparable whatever mix of requests they got.
const latencyUnit = 100 * time.Millisecond

// overdueLatency is the least latency that a target with an overdue attempt is
// taken to have, so that the next requests avoid it where they can.
const overdueLatency = 2 * latencyUnit

// find returns the attempt that a frame belongs to, or nil for a late,
// crossed or duplicated one.
func (d *Dispatcher) find(name string, id wire.AttemptID) *attempt {
	if id.Request.Entry != d.cfg.Entry || id.Request.Incarnation != d.cfg.Incarnation {
		return nil
	}
	c, ok := d.calls[id.Request.Number]
	if !ok {
		return nil
	}
	for _, a := range c.attempts {
		if a.number == id.Attempt && a.target.Name == name {
			return a
		}
	}
	return nil
}

// Message takes a message from a target.
func (d *Dispatcher) Message(now time.Time, name string, message any) []Action {
	d.members.Heard(name)
	switch m := message.(type) {
	case *wire.Reserved:
		d.observe(now, name, m.Load)
		d.reserved(now, name, m)
	case *wire.Refused:
		d.observe(now, name, m.Load)
		if a := d.find(name, m.ID); a != nil && a.phase == phaseReserving {
			d.failed(now, a, d.codeOf(a, m.Code), time.Duration(m.RetryAfterMS)*time.Millisecond, m.Detail)
		}
	case *wire.Chunk:
		d.chunk(now, name, m)
	case *wire.End:
		d.observe(now, name, m.Load)
		d.end(now, name, m)
	case *wire.Pong:
		d.observe(now, name, m.Load)
	case *wire.LoadGrant:
		d.grant(now, m)
	case *wire.Leaving:
		d.leaving(name)
	case *wire.PartQuery:
		d.rowAsked(name, m)
	}
	return d.take()
}

// rowAsked sends the whole pool row to a target that holds another one.
func (d *Dispatcher) rowAsked(name string, m *wire.PartQuery) {
	if t, ok := d.targets[name]; ok && m.Key == wire.PoolRowKey && d.connected(t) {
		t.rowSent = 0
		d.sendPool(t)
	}
}

func (d *Dispatcher) reserved(now time.Time, name string, m *wire.Reserved) {
	a := d.find(name, m.ID)
	if a == nil {
		// The call is over or elsewhere; the target need not wait for the
		// end of the reservation.
		d.act(Send{Target: name, Message: &wire.Cancel{ID: m.ID}})
		return
	}
	if a.phase != phaseReserving {
		// A duplicated answer. The attempt runs and must not be cancelled.
		return
	}
	c := a.call
	a.phase = phaseRunning
	a.sent = true
	a.incarnation = d.members.Status(name).Incarnation
	a.wakeAt = c.totalDeadline()
	if key := c.residencyKey(); key != "" {
		// The target loads the adapter now if it was absent, so the next
		// request for it belongs there too.
		a.target.resident.Confirm(key)
	}
	d.send(a.target, &wire.Run{ID: m.ID, Method: c.Method, Path: c.Path, Body: c.Body, Stream: c.Stream})
	d.schedule(c)
}

// codeOf returns the code to use for a code that a target sent. After Run has
// left, only the process that got it can say that it did not run; a process
// that does not know the request cannot.
func (d *Dispatcher) codeOf(a *attempt, code result.Code) result.Code {
	execution := code.Info().Execution
	switch {
	case code == result.OK || execution == result.NotARequest:
		return result.Internal
	case execution != result.NotRun:
		return code
	case code == result.UnknownReservation || code == result.SessionLost || a.call.answer.Winner() == a.number:
		if lost := d.lostCode(a); lost != result.SessionLost {
			return lost
		}
	}
	return code
}

func (d *Dispatcher) chunk(now time.Time, name string, m *wire.Chunk) {
	a := d.find(name, m.ID)
	if a == nil {
		d.rec.Count("late_chunks_dropped")
		return
	}
	c := a.call
	first := !c.answer.Started()
	switch c.answer.Chunk(m.ID.Attempt, m.Sequence, m.Data) {
	case reassembly.Accept:
		if first {
			d.won(now, a)
		} else {
			d.pace(now, a)
		}
		d.act(Deliver{Number: c.Number, Data: m.Data})
	case reassembly.Gap:
		d.rec.Count("chunk_gaps")
		d.send(a.target, &wire.Resume{ID: m.ID, From: c.answer.Next(a.number)})
	default:
		d.rec.Count("late_chunks_dropped")
	}
}

// won records that an attempt began to answer, and cancels the other one.
func (d *Dispatcher) won(now time.Time, a *attempt) {
	c := a.call
	d.firstToken(now, a)
	if key := c.residencyKey(); key != "" {
		a.target.answering.Confirm(key)
	}
	c.target = a.target.Name
	for _, other := range slices.Clone(c.attempts) {
		if other == a {
			continue
		}
		if other.number < a.number {
			d.overtaken(now, other)
		} else {
			d.overdue(now, other)
		}
		d.cancel(other)
		d.release(now, other)
		if a.hedge {
			d.rec.Count("hedges_won")
		} else {
			d.rec.Count("hedges_lost")
		}
	}
	d.schedule(c)
}

func (d *Dispatcher) end(now time.Time, name string, m *wire.End) {
	a := d.find(name, m.ID)
	if a == nil {
		d.rec.Count("late_ends_dropped")
		return
	}
	c := a.call
	after := time.Duration(m.RetryAfterMS) * time.Millisecond
	if m.Code != result.OK {
		d.failed(now, a, d.codeOf(a, m.Code), after, m.Detail)
		return
	}
	if c.Route.Adapter != "" && (m.Adapter != c.Route.Adapter || m.Version != c.Route.Version) {
		d.failed(now, a, result.WrongAdapter, 0, "answered with "+m.Adapter+"@"+m.Version)
		return
	}
	first := !c.answer.Started()
	switch c.answer.End(m.ID.Attempt, m.Chunks, m.Checksum) {
	case reassembly.Whole:
		if first {
			d.won(now, a)
		}
		d.succeed(now, a, m)
	case reassembly.Cut:
		d.failed(now, a, result.AnswerCut, 0, "chunks are missing or damaged")
	case reassembly.Gap:
		d.rec.Count("chunk_gaps")
		d.send(a.target, &wire.Resume{ID: m.ID, From: c.answer.Next(a.number)})
	default:
		d.rec.Count("late_ends_dropped")
	}
}

func (d *Dispatcher) succeed(now time.Time, a *attempt, m *wire.End) {
	c := a.call
	if key := residencyKey(m.Adapter, m.Version); key != "" {
		a.target.resident.Confirm(key)
	}
	if c.PrefixHash != 0 {
		a.target.prefixes.Served(c.PrefixHash)
	}
	if p := d.poolOf(c); p != nil {
		p.retry.Ended(result.OK)
	}
	d.release(now, a)
	d.finish(now, c, Outcome{
		Code: result.OK, Status: m.Status, ContentType: m.ContentType, Adapter: m.Adapter, Version: m.Version,
	})
}

// observe takes a load report into account.
func (d *Dispatcher) observe(now time.Time, name string, load wire.LoadReport) {
	t, ok := d.targets[name]
	if !ok {
		return
	}
	if load.Incarnation != t.report.Incarnation {
		if t.report.Incarnation != 0 {
			t.restarted = now
		}
		t.forget()
	}
	t.report = load
	if d.connected(t) {
		t.pool.others -= t.load.Others()
		t.load.Report(now, load.Queued+load.Running)
		t.pool.others += t.load.Others()
	}
	if load.State == wire.StateLeaving {
		d.members.Leaving(name)
	}
	d.heard(now, load.Revision)
	d.forwardGrants(now)
}

// firstToken takes the latency of the first token of an attempt. One that
// waited for an adapter load says nothing about the target's speed.
func (d *Dispatcher) firstToken(now time.Time, a *attempt) {
	if !a.loaded {
		return
	}
	p, kind, sample := a.target.pool, a.call.kind(), now.Sub(a.started)
	p.hedger.Observe(kind, sample)
	if relative, ok := p.hedger.Relative(kind, sample); ok {
		latency := time.Duration(relative * float64(latencyUnit))
		a.target.latency.Observe(now, latency)
		d.stateChanged(p.outliers.Observe(now, a.target.Name, latency))
	}
}

// pace takes the time between chunks of a running answer. A straggler shows in
// it within seconds even if few requests go there, and its first tokens are
// only about three times late because part of their latency is not its own.
func (d *Dispatcher) pace(now time.Time, a *attempt) {
	if a.paced++; a.paced <= paceChunks && !a.pacedFrom.IsZero() {
		return
	}
	from := a.pacedFrom
	a.paced, a.pacedFrom = 0, now
	if from.IsZero() {
		return
	}
	p, kind, sample := a.target.pool, a.call.paceKind(), now.Sub(from)
	p.hedger.Observe(kind, sample)
	if relative, ok := p.hedger.Relative(kind, sample); ok {
		latency := time.Duration(relative * float64(latencyUnit))
		d.stateChanged(p.outliers.Observe(now, a.target.Name, latency))
	}
}

// overdue takes the age of an attempt that has no first token yet.
func (d *Dispatcher) overdue(now time.Time, a *attempt) {
	if age, ok := a.relativeAge(now); ok {
		a.target.latency.AtLeast(now, max(age, overdueLatency))
		d.stateChanged(a.target.pool.outliers.Overdue(now, a.target.Name, age))
	}
}

// overtaken takes the age of an attempt when a later one answered first.
func (d *Dispatcher) overtaken(now time.Time, a *attempt) {
	if age, ok := a.relativeAge(now); ok {
		a.target.latency.AtLeast(now, age)
		d.stateChanged(a.target.pool.outliers.Overtaken(now, a.target.Name, age))
	}
}

// relativeAge returns the age of an attempt in latency units, if it measures
// the target.
func (a *attempt) relativeAge(now time.Time) (time.Duration, bool) {
	if !a.loaded {
		return 0, false
	}
	relative, ok := a.target.pool.hedger.Relative(a.call.kind(), now.Sub(a.started))
	return time.Duration(relative * float64(latencyUnit)), ok
}

func (d *Dispatcher) stateChanged(changed bool) {
	if changed {
		d.rec.Count("straggler_changes")
	}
}

// CacheEvent takes a target's report of prompt prefixes that its engine began
// or ceased to cache. Events may be late, and gaps in sequence are tolerated.
func (d *Dispatcher) CacheEvent(name string, sequence uint64, stored, evicted []uint64) {
	if t, ok := d.targets[name]; ok {
		t.prefixes.Event(sequence, stored, evicted)
	}
}
