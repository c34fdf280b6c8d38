package scheduler

import (
	"time"

	"agatelanding.example/agatelanding/internal/decide/admission"
	"agatelanding.example/agatelanding/internal/decide/idempotency"
	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
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
	s.enter(now)
	if _, ok := s.jobs[m.ID]; ok {
		// A duplicated message changes nothing.
		return s.take()
	}
	if !m.Repeatable && s.recorded(session, m) {
		return s.take()
	}
	if code, after, detail := s.gate(now, m); code != result.OK {
		s.refuse(session, m.ID, code, after, detail)
		return s.take()
	}
	class, ok := s.row.Pool.ClassByName(m.Class)
	if !ok {
		s.refuse(session, m.ID, result.StaleConfiguration, baseRetryAfter, "the pool has no class "+m.Class)
		return s.take()
	}
	j := s.newJob(now, session, m, class)
	if !m.Repeatable && !s.openRecord(now, j, m) {
		return s.take()
	}
	s.admit(now, j, class, m.Revision)
	s.pump(now)
	return s.take()
}

// gate holds the checks that need no queue.
func (s *Scheduler) gate(now time.Time, m *wire.Reserve) (result.Code, time.Duration, string) {
	code, detail := s.gateProcess(now, m)
	if code == result.OK && !m.Repeatable {
		code, detail = s.gateKey(m)
	}
	if code == result.OK && m.Adapter != "" {
		key := slots.Key{Adapter: m.Adapter, Version: m.Version}
		retryAt := s.parts.slots.RetryAt(key)
		if now.Before(retryAt) && s.parts.slots.State(key) == slots.Absent {
			return result.AdapterLoadFailed, retryAt.Sub(now), "the last load failed"
		}
	}
	return code, baseRetryAfter, detail
}

func (s *Scheduler) gateProcess(now time.Time, m *wire.Reserve) (result.Code, string) {
	switch {
	case s.parts.guard.Superseded():
		return result.AuthorityLost, "another process has taken over the engine"
	case s.state == wire.StateLeaving:
		return result.TargetLeaving, ""
	case s.revision == 0:
		return result.NoConfiguration, "the target has no pool row yet"
	case m.Pool != s.row.Pool.Name:
		return result.StaleConfiguration, "the target serves pool " + s.row.Pool.Name
	case m.Revision < s.revisions.settled(now):
		return result.StaleConfiguration, ""
	case !s.holdsAuthority():
		return result.AuthorityLost, "the engine is being checked"
	}
	return result.OK, ""
}

// gateKey holds the checks of a call that may not be repeated. A newer
// revision at the entry means that this target's list may be out of date.
func (s *Scheduler) gateKey(m *wire.Reserve) (result.Code, string) {
	switch {
	case m.Key == "":
		return result.KeyInvalid, "no key"
	case len(m.Key) > idempotency.MaxKeyLength:
		return result.KeyInvalid, "the key is too long"
	case m.Revision > s.revision:
		return result.StaleConfiguration, "the target's pool row is older than the route"
	case m.PoolDigest != s.digest || !s.homes.owns(m.Key):
		return result.NotHome, ""
	}
	return result.OK, ""
}

func (s *Scheduler) newJob(now time.Time, session SessionID, m *wire.Reserve, class tables.Class) *job {
	s.lastOrder++
	return &job{
		id:         m.ID,
		session:    session,
		order:      s.lastOrder,
		adapter:    slots.Key{Adapter: m.Adapter, Version: m.Version},
		class:      class.Name,
		tokens:     m.Tokens,
		repeatable: m.Repeatable,
		key:        m.Key,
		deadline:   now.Add(time.Duration(m.BudgetMS) * time.Millisecond),
		limit:      class.TotalBudget(),
	}
}

// recorded answers from the record of a key, before any other check: a key
// that was executed must not be answered by a code that says it was not.
func (s *Scheduler) recorded(session SessionID, m *wire.Reserve) bool {
	verdict, outcome, ok := s.records.Lookup(idempotency.Call{Key: m.Key, Digest: m.BodyDigest})
	if ok {
		s.answerVerdict(session, m.ID, verdict, outcome, 0)
	}
	return ok
}

// openRecord asks for a new record. It returns false if the request ends here.
func (s *Scheduler) openRecord(now time.Time, j *job, m *wire.Reserve) bool {
	call := idempotency.Call{Key: m.Key, Digest: m.BodyDigest, HomeSince: s.homes.since(m.Key)}
	if m.KeyTimeMS != 0 {
		call.Created = time.UnixMilli(m.KeyTimeMS)
	}
	verdict, outcome := s.records.Begin(now, call)
	j.recorded = verdict == idempotency.Run
	if !j.recorded {
		s.answerVerdict(j.session, j.id, verdict, outcome, call.KnownIn(now))
	}
	return j.recorded
}

// answerVerdict answers a call that is not run. knownIn is when a new key will
// be run.
func (s *Scheduler) answerVerdict(session SessionID, id wire.AttemptID, verdict idempotency.Verdict, outcome idempotency.Outcome, knownIn time.Duration) {
	switch verdict {
	case idempotency.Replay:
		s.replay(session, id, outcome)
	case idempotency.InProgress:
		s.refuse(session, id, result.KeyInProgress, baseRetryAfter, "")
	case idempotency.Full:
		s.refuse(session, id, result.RecordsFull, baseRetryAfter, "")
	case idempotency.Mismatch:
		s.refuse(session, id, result.KeyReused, 0, "")
	default:
		s.refuse(session, id, result.KeyUnknown, knownIn, "")
	}
}

func (s *Scheduler) admit(now time.Time, j *job, class tables.Class, revision uint64) {
	item := admission.Item{
		ID: j.id, Adapter: j.adapter, Class: class.Name, Long: class.Long,
		Deadline: j.deadline, Tokens: j.tokens, Held: true,
	}
	if j.usesAdapter() {
		s.parts.slots.Touch(now, j.adapter, revision)
	}
	decision := s.parts.queue.Offer(now, item, s.adapterDelay(now, j.adapter))
	if decision.Refusal != admission.Admitted {
		code := result.BudgetExceeded
		if decision.Refusal == admission.RefusedQueueFull {
			code = result.QueueFull
		}
		s.abortRecord(j)
		s.refuse(j.session, j.id, code, decision.RetryAfter, "")
		return
	}
	if j.usesAdapter() {
		s.parts.slots.Pin(j.adapter)
		j.pinned = true
	}
	s.jobs[j.id] = j
	s.open++
	s.arm(j, now.Add(ReservationLife))
	s.send(j.session, &wire.Reserved{ID: j.id, Load: s.Report()})
}

func (s *Scheduler) refuse(session SessionID, id wire.AttemptID, code result.Code, after time.Duration, detail string) {
	s.rec.Refused(code)
	s.send(session, &wire.Refused{ID: id, Code: code, Detail: detail, RetryAfterMS: after.Milliseconds(), Load: s.Report()})
}

// Run takes the body of a reserved request.
func (s *Scheduler) Run(now time.Time, session SessionID, m *wire.Run) []Action {
	s.enter(now)
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
	s.enter(now)
	if j, ok := s.jobs[m.ID]; ok {
		if j.phase == phaseReserved || j.phase == phaseQueued {
			s.refuseJob(now, j, result.CancelledNotRun, "")
		}
		s.cancel(j)
	}
	s.pump(now)
	return s.take()
}

// cancel ends the execution of a job that may be repeated.
func (s *Scheduler) cancel(j *job) {
	if j.phase == phaseRunning && j.repeatable && !j.cancelled {
		j.cancelled = true
		s.act(CancelExecution{ID: j.id})
	}
}

// ExecutionChunk takes a piece of an answer from the engine or service. The
// scheduler keeps data, which must not change afterwards.
func (s *Scheduler) ExecutionChunk(now time.Time, id wire.AttemptID, data []byte) []Action {
	s.enter(now)
	j, ok := s.jobs[id]
	if !ok || j.phase != phaseRunning {
		return s.take()
	}
	s.learnStart(now, j)
	s.send(j.session, &wire.Chunk{ID: id, Sequence: j.count, Data: data})
	s.keep(j, data)
	return s.take()
}

// ExecutionEnded takes the end of an execution.
func (s *Scheduler) ExecutionEnded(now time.Time, c Completion) []Action {
	s.enter(now)
	j, ok := s.jobs[c.ID]
	if !ok || j.phase != phaseRunning {
		return s.take()
	}
	s.complete(now, j, c)
	s.pump(now)
	return s.take()
}

func (s *Scheduler) complete(now time.Time, j *job, c Completion) {
	s.learnEnd(now, j, c)
	if c.Code == result.OK && j.usesAdapter() && (c.Adapter != j.adapter.Adapter || c.Version != j.adapter.Version) {
		s.rec.Count("wrong_adapter_answers")
		c.Code = result.WrongAdapter
	}
	s.closeRecord(now, j, &c)
	s.finish(now, j, &wire.End{
		Code: c.Code, Detail: c.Detail, Status: c.Status, ContentType: c.ContentType,
		Adapter: c.Adapter, Version: c.Version,
	})
}

// abandon ends work that may be repeated and whose entry did not come back.
func (s *Scheduler) abandon(now time.Time, j *job) {
	if j.phase == phaseQueued {
		s.refuseJob(now, j, result.SessionLost, "")
	}
	s.cancel(j)
}

func (s *Scheduler) unpin(j *job) {
	if j.pinned {
		s.parts.slots.Unpin(j.adapter)
		j.pinned = false
	}
}
