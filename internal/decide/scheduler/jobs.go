package scheduler

import (
	"time"

	"agatelanding.example/agatelanding/internal/decide/admission"
	"agatelanding.example/agatelanding/internal/decide/idempotency"
	"agatelanding.example/agatelanding/internal/decide/reassembly"
	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// shortPriority and longPriority are engine priorities; lower runs first.
	shortPriority = 0
	longPriority  = 10
	// baseRetryAfter is the advice when nothing better is known.
	baseRetryAfter = 200 * time.Millisecond
)

// Reserve admits or refuses a request.
func (s *Scheduler) Reserve(now time.Time, session SessionID, m *wire.Reserve) []Action {
	if _, ok := s.jobs[m.ID]; ok {
		// A duplicated message changes nothing.
		return s.take()
	}
	if code, detail := s.gate(now, m); code != result.OK {
		s.refuse(session, m.ID, code, baseRetryAfter, detail)
		return s.take()
	}
	j := s.newJob(now, session, m)
	if !m.Repeatable && !s.openRecord(now, j) {
		return s.take()
	}
	s.admit(now, j)
	s.pump(now)
	return s.take()
}

// gate holds the checks that need no queue.
func (s *Scheduler) gate(now time.Time, m *wire.Reserve) (result.Code, string) {
	switch {
	case s.state == wire.StateLeaving:
		return result.TargetLeaving, ""
	case s.revision == 0:
		return result.NoConfiguration, "the target has no pool row yet"
	case m.Pool != s.row.Pool.Name:
		return result.StaleConfiguration, "the target serves pool " + s.row.Pool.Name
	case m.Revision < s.revision && now.Sub(s.newerFrom) > StaleGrace:
		return result.StaleConfiguration, ""
	case !s.holdsAuthority():
		return result.AuthorityLost, "the engine is being checked"
	case !m.Repeatable && m.Key == "":
		return result.KeyInvalid, "no key"
	case !m.Repeatable && (m.PoolDigest != s.digest || !s.isHome(m.Key)):
		return result.NotHome, ""
	}
	return result.OK, ""
}

func (s *Scheduler) newJob(now time.Time, session SessionID, m *wire.Reserve) *job {
	class, _ := s.row.Pool.ClassByName(m.Class)
	return &job{
		id:       m.ID,
		session:  session,
		reserve:  m,
		adapter:  slots.Key{Adapter: m.Adapter, Version: m.Version},
		expires:  now.Add(ReservationLife),
		deadline: now.Add(time.Duration(m.BudgetMS) * time.Millisecond),
		limit:    class.TotalBudget(),
		waitFrom: now,
	}
}

// openRecord asks the idempotency records. It returns false if the request
// ends here.
func (s *Scheduler) openRecord(now time.Time, j *job) bool {
	m := j.reserve
	var created time.Time
	if m.KeyTimeMS != 0 {
		created = time.UnixMilli(m.KeyTimeMS)
	}
	verdict, outcome := s.records.Begin(now, m.Key, created, m.BodyDigest)
	switch verdict {
	case idempotency.Run:
		return true
	case idempotency.Replay:
		s.replay(j, outcome)
	case idempotency.InProgress:
		s.refuse(j.session, j.id, result.KeyInProgress, baseRetryAfter, "")
	case idempotency.Full:
		s.refuse(j.session, j.id, result.RecordsFull, baseRetryAfter, "")
	case idempotency.Mismatch:
		s.refuse(j.session, j.id, result.KeyReused, 0, "")
	default:
		s.refuse(j.session, j.id, result.KeyUnknown, 0, "")
	}
	return false
}

// replay answers from a record.
func (s *Scheduler) replay(j *job, o idempotency.Outcome) {
	s.rec.Count("replayed_outcomes")
	end := &wire.End{ID: j.id, Code: result.Code(o.Code), Status: o.Status, ContentType: o.ContentType, Load: s.Report()}
	if len(o.Body) > 0 {
		s.send(j.session, &wire.Chunk{ID: j.id, Data: o.Body})
		end.Chunks = 1
		end.Checksum = reassembly.Checksum(0, o.Body)
	}
	s.send(j.session, end)
}

func (s *Scheduler) admit(now time.Time, j *job) {
	class, _ := s.row.Pool.ClassByName(j.reserve.Class)
	item := admission.Item{
		ID: j.id, Adapter: j.adapter, Class: class.Name, Long: class.Long,
		Deadline: j.deadline, Tokens: j.reserve.Tokens, Held: true,
	}
	if j.usesAdapter() {
		s.parts.slots.Touch(now, j.adapter)
	}
	decision := s.parts.queue.Offer(now, item, s.adapterDelay(j.adapter))
	if decision.Refusal != admission.Admitted {
		code := result.BudgetExceeded
		if decision.Refusal == admission.RefusedQueueFull {
			code = result.QueueFull
		}
		s.records.Abort(j.reserve.Key)
		s.refuse(j.session, j.id, code, decision.RetryAfter, "")
		return
	}
	if j.usesAdapter() {
		s.parts.slots.Pin(j.adapter)
		j.pinned = true
	}
	s.jobs[j.id] = j
	s.send(j.session, &wire.Reserved{ID: j.id, Load: s.Report()})
}

func (s *Scheduler) refuse(session SessionID, id wire.AttemptID, code result.Code, after time.Duration, detail string) {
	s.rec.Refused(code)
	s.send(session, &wire.Refused{ID: id, Code: code, Detail: detail, RetryAfterMS: after.Milliseconds(), Load: s.Report()})
}

// Run takes the body of a reserved request.
func (s *Scheduler) Run(now time.Time, session SessionID, m *wire.Run) []Action {
	j, ok := s.jobs[m.ID]
	if !ok {
		s.rec.Refused(result.UnknownReservation)
		s.send(session, &wire.End{ID: m.ID, Code: result.UnknownReservation, Load: s.Report()})
		return s.take()
	}
	if j.phase != phaseReserved {
		return s.take()
	}
	j.run = m
	j.phase = phaseQueued
	s.parts.queue.Release(j.id)
	s.pump(now)
	return s.take()
}

// Cancel ends an attempt on the entry's demand. Work that may not be repeated
// and has started runs to its end, so that its outcome is recorded.
func (s *Scheduler) Cancel(now time.Time, session SessionID, m *wire.Cancel) []Action {
	j, ok := s.jobs[m.ID]
	switch {
	case !ok:
	case j.phase == phaseReserved || j.phase == phaseQueued:
		s.refuseJob(now, j, result.CancelledNotRun, "")
	case j.phase == phaseRunning && j.reserve.Repeatable:
		s.act(CancelExecution{ID: j.id})
	}
	s.pump(now)
	return s.take()
}

// Resume sends an answer again, from a chunk on, on another session.
func (s *Scheduler) Resume(now time.Time, session SessionID, m *wire.Resume) []Action {
	j, ok := s.jobs[m.ID]
	if !ok || int(m.From) > len(j.chunks) {
		s.send(session, &wire.End{ID: m.ID, Code: result.UnknownReservation, Load: s.Report()})
		return s.take()
	}
	j.session = session
	j.lostAt = time.Time{}
	for i := int(m.From); i < len(j.chunks); i++ {
		s.send(session, &wire.Chunk{ID: j.id, Sequence: uint32(i), Data: j.chunks[i]})
	}
	if j.end != nil {
		s.send(session, j.end)
	}
	return s.take()
}

// ExecutionChunk takes a piece of an answer from the engine or service.
func (s *Scheduler) ExecutionChunk(now time.Time, id wire.AttemptID, data []byte) []Action {
	j, ok := s.jobs[id]
	if !ok || j.phase != phaseRunning {
		return s.take()
	}
	s.learnStart(now, j)
	sequence := uint32(len(j.chunks))
	j.chunks = append(j.chunks, data)
	j.sum = reassembly.Checksum(j.sum, data)
	s.send(j.session, &wire.Chunk{ID: id, Sequence: sequence, Data: data})
	return s.take()
}

// ExecutionEnded takes the end of an execution.
func (s *Scheduler) ExecutionEnded(now time.Time, c Completion) []Action {
	j, ok := s.jobs[c.ID]
	if !ok || j.phase != phaseRunning {
		return s.take()
	}
	s.learnEnd(now, j, c)
	if c.Code == result.OK && j.usesAdapter() && (c.Adapter != j.adapter.Adapter || c.Version != j.adapter.Version) {
		c.Code = result.WrongAdapter
	}
	if !j.reserve.Repeatable {
		s.closeRecord(now, j, &c)
	}
	s.finish(now, j, &wire.End{
		Code: c.Code, Detail: c.Detail, Status: c.Status, ContentType: c.ContentType,
		Adapter: c.Adapter, Version: c.Version,
	})
	s.pump(now)
	return s.take()
}

// closeRecord records the outcome of a call that may not be repeated. A
// failure after the call was sent leaves the outcome unknown.
func (s *Scheduler) closeRecord(now time.Time, j *job, c *Completion) {
	if c.Code != result.OK && c.Code.Info().Execution == result.NotRun {
		s.records.Abort(j.reserve.Key)
		return
	}
	if c.Code != result.OK {
		c.Code = result.OutcomeUnknown
	}
	var body []byte
	for _, chunk := range j.chunks {
		body = append(body, chunk...)
	}
	s.records.Finish(now, j.reserve.Key, idempotency.Outcome{
		Code: uint16(c.Code), Status: c.Status, ContentType: c.ContentType, Body: body,
	})
}

// refuseJob ends a job that has not started.
func (s *Scheduler) refuseJob(now time.Time, j *job, code result.Code, detail string) {
	s.parts.queue.Remove(j.id)
	s.records.Abort(j.reserve.Key)
	s.rec.Refused(code)
	s.finish(now, j, &wire.End{Code: code, Detail: detail, RetryAfterMS: s.retryAdvice(now).Milliseconds()})
}

// finish closes a job and keeps its answer for a Resume.
func (s *Scheduler) finish(now time.Time, j *job, end *wire.End) {
	s.unpin(j)
	j.phase = phaseDone
	j.expires = now.Add(AnswerLife)
	end.ID = j.id
	end.Chunks = uint32(len(j.chunks))
	end.Checksum = j.sum
	end.Load = s.Report()
	j.end = end
	j.run = nil
	s.send(j.session, end)
}

// drop forgets a job that has not started and whose session is gone.
func (s *Scheduler) drop(j *job) {
	s.parts.queue.Remove(j.id)
	s.records.Abort(j.reserve.Key)
	s.unpin(j)
	delete(s.jobs, j.id)
}

// abandon ends repeatable work whose entry did not come back.
func (s *Scheduler) abandon(j *job) {
	switch j.phase {
	case phaseReserved, phaseQueued:
		s.drop(j)
	case phaseRunning:
		j.lostAt = time.Time{}
		s.act(CancelExecution{ID: j.id})
	}
}

func (s *Scheduler) unpin(j *job) {
	if j.pinned {
		s.parts.slots.Unpin(j.adapter)
		j.pinned = false
	}
}
