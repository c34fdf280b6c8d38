package dispatch

import (
	"time"

	"agatelanding.example/agatelanding/internal/decide/reassembly"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// maxResident bounds the residency hints kept for one target.
	maxResident = 256
)

// find returns the call that a frame belongs to, or nil for a late, crossed
// or duplicated one.
func (d *Dispatcher) find(name string, id wire.AttemptID) *call {
	if id.Request.Entry != d.cfg.Entry || id.Request.Incarnation != d.cfg.Incarnation {
		return nil
	}
	c, ok := d.calls[id.Request.Number]
	if !ok || c.attempt != id.Attempt || c.target != name {
		return nil
	}
	return c
}

// Message takes a message from a target.
func (d *Dispatcher) Message(now time.Time, name string, message any) []Action {
	switch m := message.(type) {
	case *wire.Reserved:
		d.observe(now, name, m.Load)
		d.reserved(now, name, m)
	case *wire.Refused:
		d.observe(now, name, m.Load)
		if c := d.find(name, m.ID); c != nil && c.phase == phaseReserving {
			d.failed(now, c, m.Code, time.Duration(m.RetryAfterMS)*time.Millisecond, m.Detail)
		}
	case *wire.Chunk:
		d.chunk(now, name, m)
	case *wire.End:
		d.observe(now, name, m.Load)
		d.end(now, name, m)
	case *wire.Pong:
		d.observe(now, name, m.Load)
	case *wire.LoadGrant:
		d.grants = append(d.grants, *m)
		d.forwardGrants(now)
	case *wire.Leaving:
		d.members.Leaving(name)
	}
	return d.take()
}

func (d *Dispatcher) reserved(now time.Time, name string, m *wire.Reserved) {
	c := d.find(name, m.ID)
	if c == nil || c.phase != phaseReserving {
		// The call is over or elsewhere; the target need not wait for the
		// end of the reservation.
		d.act(Send{Target: name, Message: &wire.Cancel{ID: m.ID}})
		return
	}
	c.phase = phaseRunning
	c.wakeAt = c.totalDeadline()
	d.act(Send{Target: name, Message: &wire.Run{ID: m.ID, Method: c.Method, Path: c.Path, Body: c.Body, Stream: c.Stream}})
}

func (d *Dispatcher) chunk(now time.Time, name string, m *wire.Chunk) {
	c := d.find(name, m.ID)
	if c == nil {
		d.rec.Count("late_chunks_dropped")
		return
	}
	first := !c.answer.Started()
	switch c.answer.Chunk(m.ID.Attempt, m.Sequence, m.Data) {
	case reassembly.Accept:
		if first {
			d.observeLatency(name, now.Sub(c.sentAt))
		}
		d.act(Deliver{Number: c.Number, Data: m.Data})
	case reassembly.Gap:
		d.rec.Count("chunk_gaps")
		d.act(Send{Target: name, Message: &wire.Resume{ID: m.ID, From: c.answer.Next()}})
	default:
		d.rec.Count("late_chunks_dropped")
	}
}

func (d *Dispatcher) end(now time.Time, name string, m *wire.End) {
	c := d.find(name, m.ID)
	if c == nil {
		d.rec.Count("late_ends_dropped")
		return
	}
	code := m.Code
	if code == result.UnknownReservation && c.phase == phaseRunning && c.answer.Started() {
		code = d.lostCode(c)
	}
	if code == result.OK {
		whole, mine := c.answer.End(m.ID.Attempt, m.Chunks, m.Checksum)
		if !mine {
			return
		}
		code = whole
	}
	if code != result.OK {
		d.failed(now, c, code, time.Duration(m.RetryAfterMS)*time.Millisecond, m.Detail)
		return
	}
	if m.Adapter != "" {
		d.noteResident(now, name, m.Adapter+"@"+m.Version)
	}
	d.finish(c, Outcome{
		Code: result.OK, Status: m.Status, ContentType: m.ContentType, Adapter: m.Adapter, Version: m.Version,
	})
}

// failed ends an attempt and decides whether another one follows.
func (d *Dispatcher) failed(now time.Time, c *call, code result.Code, after time.Duration, detail string) {
	d.release(c)
	c.retryAfter = max(c.retryAfter, after)
	c.lastCode = code
	decision := d.retry.Next(retry.Attempt{
		Code: code, Number: int(c.attempt), Repeatable: c.Route.Repeatable,
		Delivered: c.Stream && c.answer.Started(), Left: c.firstTokenDeadline().Sub(now),
	})
	if decision.Stop != retry.Retry {
		d.rec.NotRetried(decision.Stop)
		d.finish(c, Outcome{Code: code, Detail: detail, RetryAfter: c.retryAfter})
		return
	}
	d.rec.Retried(code)
	if c.answer.Started() {
		d.act(Discard{Number: c.Number})
	}
	c.phase = phaseWaiting
	c.wakeAt = now.Add(decision.Delay)
	if decision.Delay == 0 {
		d.start(now, c)
	}
}

// release takes an attempt off its target's count.
func (d *Dispatcher) release(c *call) {
	if c.phase == phaseWaiting {
		return
	}
	if t, ok := d.targets[c.target]; ok && t.inFlight > 0 {
		t.inFlight--
	}
	c.phase = phaseWaiting
}

func (d *Dispatcher) finish(c *call, o Outcome) {
	d.release(c)
	delete(d.calls, c.Number)
	o.Attempts = int(c.attempt)
	o.Target = c.target
	if o.Code != result.OK {
		d.rec.Refused(o.Code)
	}
	d.act(Finish{Number: c.Number, Outcome: o})
}

// Tick runs everything that depends on time.
func (d *Dispatcher) Tick(now time.Time) []Action {
	for _, c := range d.calls {
		if now.Before(c.wakeAt) {
			continue
		}
		d.wake(now, c)
	}
	d.forwardGrants(now)
	return d.take()
}

func (d *Dispatcher) wake(now time.Time, c *call) {
	switch c.phase {
	case phaseWaiting:
		d.start(now, c)
	case phaseReserving:
		d.act(Send{Target: c.target, Message: &wire.Cancel{ID: d.id(c)}})
		d.failed(now, c, result.SessionLost, 0, "no answer to the reservation")
	case phaseResuming:
		d.failed(now, c, d.lostCode(c), 0, "the session was lost")
	case phaseRunning:
		d.act(Send{Target: c.target, Message: &wire.Cancel{ID: d.id(c)}})
		code := result.Cancelled
		if !c.Route.Repeatable {
			code = result.OutcomeUnknown
		}
		d.finish(c, Outcome{Code: code, Detail: "the total budget of the class ended"})
	}
}

// observe takes a load report into account.
func (d *Dispatcher) observe(now time.Time, name string, load wire.LoadReport) {
	t, ok := d.targets[name]
	if !ok {
		return
	}
	if load.Incarnation != t.load.Incarnation {
		clear(t.resident)
	}
	t.load = load
	if load.State == wire.StateLeaving {
		d.members.Leaving(name)
	}
	d.heard(load.Revision)
	d.forwardGrants(now)
}

func (d *Dispatcher) observeLatency(name string, sample time.Duration) {
	t, ok := d.targets[name]
	if !ok {
		return
	}
	if sample > t.latency {
		t.latency = sample
		return
	}
	t.latency += (sample - t.latency) / 8
}

func (d *Dispatcher) noteResident(now time.Time, name, key string) {
	t, ok := d.targets[name]
	if !ok {
		return
	}
	if len(t.resident) >= maxResident {
		clear(t.resident)
	}
	t.resident[key] = now
}

// forwardGrants passes load tokens to the target with the most urgent need.
func (d *Dispatcher) forwardGrants(now time.Time) {
	kept := d.grants[:0]
	for _, g := range d.grants {
		if g.ExpiresMS <= now.UnixMilli() {
			d.rec.Count("load_grants_expired")
			continue
		}
		needy := d.needy(g.Minter)
		if needy == nil {
			kept = append(kept, g)
			continue
		}
		needy.load.LoadsWaiting--
		grant := g
		d.rec.Count("load_grants_forwarded")
		d.act(Send{Target: needy.Name, Message: &grant})
	}
	d.grants = kept
}

func (d *Dispatcher) needy(minter string) *target {
	var best *target
	for name, t := range d.targets {
		if name == minter || t.load.LoadsWaiting <= 0 || !d.members.Usable(name) {
			continue
		}
		if best == nil || t.load.LoadUrgency > best.load.LoadUrgency ||
			(t.load.LoadUrgency == best.load.LoadUrgency && name < best.Name) {
			best = t
		}
	}
	return best
}

// InFlight returns the number of open calls.
func (d *Dispatcher) InFlight() int { return len(d.calls) }
