package dispatch

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/reassembly"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

// normalizedMedian is the median latency of every kind of request after
// normalization. Latencies are scaled to it so that targets are comparable
// whatever mix of requests they received.
const normalizedMedian = 100 * time.Millisecond

// minOverdueLatency is a normalized latency. An overdue attempt raises the
// latency of its target at least to this value, so that the next requests avoid
// the target where they can.
const minOverdueLatency = 2 * normalizedMedian

// findAttempt returns the open attempt at the named target that a message
// belongs to, or nil. There is none if the attempt has ended, or if the message
// is from another target, or for another entry or an earlier process of this
// entry.
func (d *Dispatcher) findAttempt(name string, id wire.AttemptID) *attempt {
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

// HandleMessage handles a message from a target.
func (d *Dispatcher) HandleMessage(now time.Time, name string, message any) []Action {
	d.members.MessageReceived(name)
	switch m := message.(type) {
	case *wire.Reserved:
		d.observeLoad(now, name, m.Load)
		d.handleReserved(now, name, m)
	case *wire.Refused:
		d.observeLoad(now, name, m.Load)
		if a := d.findAttempt(name, m.ID); a != nil && a.phase == phaseReserving {
			d.attemptFailed(now, a, d.attemptCode(a, m.Code), time.Duration(m.RetryAfterMS)*time.Millisecond, m.Detail)
		}
	case *wire.Chunk:
		d.handleChunk(now, name, m)
	case *wire.End:
		d.observeLoad(now, name, m.Load)
		d.handleEnd(now, name, m)
	case *wire.Pong:
		d.observeLoad(now, name, m.Load)
	case *wire.LoadGrant:
		d.handleLoadGrant(now, m)
	case *wire.Leaving:
		d.markLeaving(name)
	case *wire.PartQuery:
		d.handlePartQuery(name, m)
	}
	return d.takeActions()
}

// handlePartQuery answers a query for a part of the tables. The only part that
// a target may request is its pool row, the record of its pool in the pool
// table. It does so when the row that it holds differs from that of the last
// PoolUpdate.
func (d *Dispatcher) handlePartQuery(name string, m *wire.PartQuery) {
	if t, ok := d.targets[name]; ok && m.Key == wire.PoolRowKey && d.connected(t) {
		t.rowSent = 0
		d.sendPoolUpdate(t)
	}
}

// handleReserved sends the Run of an attempt whose reservation was accepted.
func (d *Dispatcher) handleReserved(now time.Time, name string, m *wire.Reserved) {
	a := d.findAttempt(name, m.ID)
	if a == nil {
		// The attempt is no longer open. Without a Cancel the target
		// would hold the reservation until it expires.
		d.emit(Send{Target: name, Message: &wire.Cancel{ID: m.ID}})
		return
	}
	if a.phase != phaseReserving {
		// A duplicated message. The attempt runs and must not be
		// cancelled.
		return
	}
	c := a.call
	a.phase = phaseRunning
	a.runSent = true
	a.processIncarnation = d.members.Status(name).Incarnation
	a.phaseDeadline = c.totalDeadline()
	if key := c.residencyKey(); key != "" {
		// The target now loads the adapter if it was absent, so the
		// next request for the adapter should go there too.
		a.target.residentAdapters.Confirm(key)
	}
	d.send(a.target, &wire.Run{ID: m.ID, Method: c.Method, Path: c.Path, Body: c.Body, Stream: c.Stream})
	d.schedule(c)
}

// attemptCode returns the code of an attempt for which a target sent code. OK
// and codes that describe no request, such as those for configuration errors,
// become Internal. A code for not run is replaced by lostCode if the request may
// have run all the same: UnknownReservation and SessionLost do not exclude that,
// and neither does any code of a target that has begun to answer.
func (d *Dispatcher) attemptCode(a *attempt, code result.Code) result.Code {
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

// handleChunk delivers a chunk if it is the next one of the answer, and
// requests missing chunks.
func (d *Dispatcher) handleChunk(now time.Time, name string, m *wire.Chunk) {
	a := d.findAttempt(name, m.ID)
	if a == nil {
		d.rec.Count("late_chunks_dropped")
		return
	}
	c := a.call
	first := !c.answer.Started()
	switch c.answer.Chunk(m.ID.Attempt, m.Sequence, m.Data) {
	case reassembly.Accept:
		if first {
			d.selectWinner(now, a)
		} else {
			d.observeInterChunk(now, a)
		}
		d.emit(Deliver{Number: c.Number, Data: m.Data})
	case reassembly.Gap:
		d.rec.Count("chunk_gaps")
		d.send(a.target, &wire.Resume{ID: m.ID, From: c.answer.NextSequence(a.number)})
	default:
		d.rec.Count("late_chunks_dropped")
	}
}

// selectWinner records that an attempt was the first to answer, and cancels the
// parallel one.
func (d *Dispatcher) selectWinner(now time.Time, a *attempt) {
	c := a.call
	d.observeFirstToken(now, a)
	if key := c.residencyKey(); key != "" {
		a.target.answeredAdapters.Confirm(key)
	}
	c.outcomeTarget = a.target.Name
	for _, other := range slices.Clone(c.attempts) {
		if other == a {
			continue
		}
		if other.number < a.number {
			d.observeOvertaken(now, other)
		} else {
			d.observeOverdue(now, other)
		}
		d.cancelAttempt(other)
		d.release(now, other)
		if a.hedge {
			d.rec.Count("hedges_won")
		} else {
			d.rec.Count("hedges_lost")
		}
	}
	d.schedule(c)
}

// handleEnd checks the end of an answer and finishes the call or fails the
// attempt.
func (d *Dispatcher) handleEnd(now time.Time, name string, m *wire.End) {
	a := d.findAttempt(name, m.ID)
	if a == nil {
		d.rec.Count("late_ends_dropped")
		return
	}
	c := a.call
	retryAfter := time.Duration(m.RetryAfterMS) * time.Millisecond
	if m.Code != result.OK {
		d.attemptFailed(now, a, d.attemptCode(a, m.Code), retryAfter, m.Detail)
		return
	}
	if c.Route.Adapter != "" && (m.Adapter != c.Route.Adapter || m.Version != c.Route.Version) {
		d.attemptFailed(now, a, result.WrongAdapter, 0, "the target answered with adapter "+m.Adapter+"@"+m.Version)
		return
	}
	first := !c.answer.Started()
	switch c.answer.End(m.ID.Attempt, m.Chunks, m.Checksum) {
	case reassembly.Complete:
		if first {
			d.selectWinner(now, a)
		}
		d.attemptSucceeded(now, a, m)
	case reassembly.Incomplete:
		d.attemptFailed(now, a, result.AnswerCut, 0, "chunks of the answer are missing or damaged")
	case reassembly.Gap:
		d.rec.Count("chunk_gaps")
		d.send(a.target, &wire.Resume{ID: m.ID, From: c.answer.NextSequence(a.number)})
	default:
		d.rec.Count("late_ends_dropped")
	}
}

// attemptSucceeded finishes a call whose answer is complete.
func (d *Dispatcher) attemptSucceeded(now time.Time, a *attempt, m *wire.End) {
	c := a.call
	if key := residencyKey(m.Adapter, m.Version); key != "" {
		a.target.residentAdapters.Confirm(key)
	}
	if c.PrefixHash != 0 {
		a.target.cachedPrefixes.RecordAnswered(c.PrefixHash)
	}
	if p := d.poolOf(c); p != nil {
		p.retry.RecordResult(result.OK)
	}
	d.release(now, a)
	d.finish(now, c, Outcome{
		Code: result.OK, HTTPStatus: m.Status, ContentType: m.ContentType, Adapter: m.Adapter, Version: m.Version,
	})
}

// observeLoad records a load report. The incarnation in it is that of the
// engine, and a new one means that the engine restarted.
func (d *Dispatcher) observeLoad(now time.Time, name string, load wire.LoadReport) {
	t, ok := d.targets[name]
	if !ok {
		return
	}
	if load.Incarnation != t.lastReport.Incarnation {
		if t.lastReport.Incarnation != 0 {
			t.restartedAt = now
		}
		t.resetObservations()
	}
	t.lastReport = load
	if d.connected(t) {
		t.pool.othersLoad -= t.load.Others()
		t.load.Report(now, load.Queued+load.Running)
		t.pool.othersLoad += t.load.Others()
	}
	if load.State == wire.StateLeaving {
		d.members.SetLeaving(name)
	}
	d.refreshIfNewer(now, load.Revision)
	d.forwardLoadTokens(now)
}

// observeFirstToken records the first-token latency of an attempt. It ignores
// attempts that may have waited for an adapter load, whose latency does not
// measure the speed of the target.
func (d *Dispatcher) observeFirstToken(now time.Time, a *attempt) {
	if !a.adapterLoaded {
		return
	}
	p, kind, sample := a.target.pool, a.call.firstTokenKind(), now.Sub(a.started)
	p.hedger.Observe(kind, sample)
	if relative, ok := p.hedger.LatencyRatio(kind, sample); ok {
		latency := time.Duration(relative * float64(normalizedMedian))
		a.target.latency.Observe(now, latency)
		d.countStragglerChange(p.outliers.Observe(now, a.target.Name, latency))
	}
}

// observeInterChunk records the time between the chunks of a running answer. A
// sample is the duration of chunksPerSample+1 intervals between chunks. The
// samples reveal a straggler within seconds even if few requests go there.
// First-token latency is less sensitive: it rises only about threefold at a
// straggler, because part of it does not depend on the speed of the target.
func (d *Dispatcher) observeInterChunk(now time.Time, a *attempt) {
	if a.sampleChunks++; a.sampleChunks <= chunksPerSample && !a.sampleStart.IsZero() {
		return
	}
	from := a.sampleStart
	a.sampleChunks, a.sampleStart = 0, now
	if from.IsZero() {
		return
	}
	p, kind, sample := a.target.pool, a.call.interChunkKind(), now.Sub(from)
	p.hedger.Observe(kind, sample)
	if relative, ok := p.hedger.LatencyRatio(kind, sample); ok {
		latency := time.Duration(relative * float64(normalizedMedian))
		d.countStragglerChange(p.outliers.Observe(now, a.target.Name, latency))
	}
}

// observeOverdue records the age of an attempt without a first token as a lower
// bound of its first-token latency.
func (d *Dispatcher) observeOverdue(now time.Time, a *attempt) {
	if age, ok := a.normalizedAge(now); ok {
		a.target.latency.RaiseTo(now, max(age, minOverdueLatency))
		d.countStragglerChange(a.target.pool.outliers.ObserveOpenAttempt(now, a.target.Name, age))
	}
}

// observeOvertaken records the age of an attempt when a later, parallel attempt
// answered first.
func (d *Dispatcher) observeOvertaken(now time.Time, a *attempt) {
	if age, ok := a.normalizedAge(now); ok {
		a.target.latency.RaiseTo(now, age)
		d.countStragglerChange(a.target.pool.outliers.ObserveHedgeWon(now, a.target.Name, age))
	}
}

// normalizedAge returns the age of an attempt, scaled to normalizedMedian. It
// returns false if the attempt may have waited for an adapter load or there are
// too few samples.
func (a *attempt) normalizedAge(now time.Time) (time.Duration, bool) {
	if !a.adapterLoaded {
		return 0, false
	}
	relative, ok := a.target.pool.hedger.LatencyRatio(a.call.firstTokenKind(), now.Sub(a.started))
	return time.Duration(relative * float64(normalizedMedian)), ok
}

// countStragglerChange counts a target that was ejected or readmitted.
func (d *Dispatcher) countStragglerChange(changed bool) {
	if changed {
		d.rec.Count("straggler_changes")
	}
}

// HandleCacheEvent records the hashes of the prompt prefixes that the engine of
// a target added to its cache or evicted. Events may be late, and sequence
// numbers may be missing.
func (d *Dispatcher) HandleCacheEvent(name string, sequence uint64, stored, evicted []uint64) {
	if t, ok := d.targets[name]; ok {
		t.cachedPrefixes.ApplyCacheEvent(sequence, stored, evicted)
	}
}
