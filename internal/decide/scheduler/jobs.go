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
	// defaultRetryAfter is the Retry-After value without a better estimate,
	// and the lowest value that retryAfter returns.
	defaultRetryAfter = 200 * time.Millisecond
)

// Reserve admits or refuses a request. An admitted request waits for its Run.
func (s *Scheduler) Reserve(now time.Time, session SessionID, m *wire.Reserve) []Action {
	s.beginEvent(now)
	if _, ok := s.jobs[m.ID]; ok {
		// The message is a duplicate.
		return s.takeActions()
	}
	if !m.Repeatable && s.answerFromRecord(session, m) {
		return s.takeActions()
	}
	if code, retryAfter, detail := s.precheck(now, m); code != result.OK {
		s.refuse(session, m.ID, code, retryAfter, detail)
		return s.takeActions()
	}
	class, ok := s.poolRow.Pool.ClassByName(m.Class)
	if !ok {
		s.refuse(session, m.ID, result.StaleConfiguration, defaultRetryAfter, "the pool has no class "+m.Class)
		return s.takeActions()
	}
	j := s.newJob(now, session, m, class)
	if !m.Repeatable && !s.openRecord(now, j, m) {
		return s.takeActions()
	}
	s.admit(now, j, class, m.Revision)
	s.schedule(now)
	return s.takeActions()
}

// precheck makes the checks that do not need the queue. It returns the code of
// a refusal, or OK, and the Retry-After value and detail of the refusal.
func (s *Scheduler) precheck(now time.Time, m *wire.Reserve) (result.Code, time.Duration, string) {
	code, detail := s.checkTarget(now, m)
	if code == result.OK && !m.Repeatable {
		code, detail = s.checkKey(m)
	}
	if code == result.OK && m.Adapter != "" {
		key := slots.Key{Adapter: m.Adapter, Version: m.Version}
		retryAt := s.components.slots.NotBefore(key)
		if now.Before(retryAt) && s.components.slots.State(key) == slots.Absent {
			return result.AdapterLoadFailed, retryAt.Sub(now), "the last load failed"
		}
	}
	return code, defaultRetryAfter, detail
}

// checkTarget checks the state of this target and the route of the request.
func (s *Scheduler) checkTarget(now time.Time, m *wire.Reserve) (result.Code, string) {
	switch {
	case s.components.guard.Superseded():
		return result.AuthorityLost, "another process has taken over the engine"
	case s.state == wire.StateLeaving:
		return result.TargetLeaving, ""
	case s.revision == 0:
		return result.NoConfiguration, "the target has no pool row yet"
	case m.Pool != s.poolRow.Pool.Name:
		return result.StaleConfiguration, "the target serves pool " + s.poolRow.Pool.Name
	case m.Revision < s.revisions.minRevisionAt(now):
		return result.StaleConfiguration, ""
	case !s.hasAuthority():
		return result.AuthorityLost, "the engine is being checked"
	}
	return result.OK, ""
}

// checkKey checks the idempotency key of a request that is not repeatable. If
// the entry has a newer revision, this target's list of targets may be out of
// date, and so may its decision whether it is the home of the key.
func (s *Scheduler) checkKey(m *wire.Reserve) (result.Code, string) {
	switch {
	case m.Key == "":
		return result.KeyInvalid, "no key"
	case len(m.Key) > idempotency.MaxKeyBytes:
		return result.KeyInvalid, "the key is too long"
	case m.Revision > s.revision:
		return result.StaleConfiguration, "the target's pool row is older than the route"
	case m.TargetListDigest != s.targetListDigest || !s.homes.isHome(m.Key):
		return result.NotHome, ""
	}
	return result.OK, ""
}

func (s *Scheduler) newJob(now time.Time, session SessionID, m *wire.Reserve, class tables.Class) *job {
	s.lastArrival++
	return &job{
		id:             m.ID,
		session:        session,
		arrival:        s.lastArrival,
		adapter:        slots.Key{Adapter: m.Adapter, Version: m.Version},
		class:          class.Name,
		answerTokens:   m.EstimatedTokens,
		repeatable:     m.Repeatable,
		idempotencyKey: m.Key,
		deadline:       now.Add(time.Duration(m.BudgetMS) * time.Millisecond),
		timeLimit:      class.TotalBudget(),
	}
}

// answerFromRecord answers from the record of a key, if there is one. It runs
// before any other check, because a request that was executed must not be
// answered by a code that means it was not.
func (s *Scheduler) answerFromRecord(session SessionID, m *wire.Reserve) bool {
	verdict, outcome, ok := s.records.Lookup(idempotency.Call{Key: m.Key, BodyDigest: m.BodyDigest})
	if ok {
		s.answerVerdict(session, m.ID, verdict, outcome, 0)
	}
	return ok
}

// openRecord opens a record for the key of the request. If the request must not
// run, it answers the request and returns false.
func (s *Scheduler) openRecord(now time.Time, j *job, m *wire.Reserve) bool {
	call := idempotency.Call{Key: m.Key, BodyDigest: m.BodyDigest, HomeSince: s.homes.homeSince(m.Key)}
	if m.KeyTimeMS != 0 {
		call.KeyCreated = time.UnixMilli(m.KeyTimeMS)
	}
	verdict, outcome := s.records.Begin(now, call)
	j.ownsRecord = verdict == idempotency.Execute
	if !j.ownsRecord {
		s.answerVerdict(j.session, j.id, verdict, outcome, call.NewKeyDelay(now))
	}
	return j.ownsRecord
}

// answerVerdict answers a request that the idempotency records do not let run.
// For a key that may have been executed before, retryAfter is the time until a
// request with a newly created key can run.
func (s *Scheduler) answerVerdict(session SessionID, id wire.AttemptID, verdict idempotency.Verdict, outcome idempotency.Outcome, retryAfter time.Duration) {
	switch verdict {
	case idempotency.Replay:
		s.replay(session, id, outcome)
	case idempotency.InProgress:
		s.refuse(session, id, result.KeyInProgress, defaultRetryAfter, "")
	case idempotency.Full:
		s.refuse(session, id, result.RecordsFull, defaultRetryAfter, "")
	case idempotency.Mismatch:
		s.refuse(session, id, result.KeyReused, 0, "")
	default:
		s.refuse(session, id, result.KeyUnknown, retryAfter, "")
	}
}

// admit offers a job to the queue and sends Reserved or Refused.
func (s *Scheduler) admit(now time.Time, j *job, class tables.Class, revision uint64) {
	item := admission.Item{
		ID: j.id, Adapter: j.adapter, Class: class.Name, Long: class.Long,
		FirstTokenDeadline: j.deadline, EstimatedTokens: j.answerTokens, AwaitsRun: true,
	}
	if j.usesAdapter() {
		s.components.slots.RecordRequest(now, j.adapter, revision)
	}
	decision := s.components.queue.Admit(now, item, s.adapterDelay(now, j.adapter))
	if decision.Result != admission.Admitted {
		code := result.BudgetExceeded
		if decision.Result == admission.RefusedQueueFull {
			code = result.QueueFull
		}
		s.abortRecord(j)
		s.refuse(j.session, j.id, code, decision.RetryAfter, "")
		return
	}
	if j.usesAdapter() {
		s.components.slots.Pin(j.adapter)
		j.pinned = true
	}
	s.jobs[j.id] = j
	s.unfinished++
	s.setTimer(j, now.Add(ReservationTimeout))
	s.send(j.session, &wire.Reserved{ID: j.id, Load: s.LoadReport()})
}

// refuse sends Refused for a request that was not admitted.
func (s *Scheduler) refuse(session SessionID, id wire.AttemptID, code result.Code, retryAfter time.Duration, detail string) {
	s.counters.Refused(code)
	s.send(session, &wire.Refused{ID: id, Code: code, Detail: detail, RetryAfterMS: retryAfter.Milliseconds(), Load: s.LoadReport()})
}

// Run accepts the body of a reserved request.
func (s *Scheduler) Run(now time.Time, session SessionID, m *wire.Run) []Action {
	s.beginEvent(now)
	j, ok := s.jobs[m.ID]
	if !ok {
		s.counters.Refused(result.UnknownReservation)
		s.send(session, &wire.End{ID: m.ID, Code: result.UnknownReservation, Load: s.LoadReport()})
		return s.takeActions()
	}
	if j.phase != phaseReserved {
		return s.takeActions()
	}
	j.run = m
	j.phase = phaseQueued
	s.components.queue.Release(j.id)
	s.schedule(now)
	return s.takeActions()
}

// Cancel ends an attempt at the entry's request. A started request that is not
// repeatable runs to its end, so that its outcome is recorded.
func (s *Scheduler) Cancel(now time.Time, session SessionID, m *wire.Cancel) []Action {
	s.beginEvent(now)
	if j, ok := s.jobs[m.ID]; ok {
		if j.phase == phaseReserved || j.phase == phaseQueued {
			s.refuseJob(now, j, result.CancelledNotRun, "")
		}
		s.cancelExecution(j)
	}
	s.schedule(now)
	return s.takeActions()
}

// cancelExecution ends the execution of a repeatable job.
func (s *Scheduler) cancelExecution(j *job) {
	if j.phase == phaseRunning && j.repeatable && !j.cancelled {
		j.cancelled = true
		s.emit(CancelExecution{ID: j.id})
	}
}

// ExecutionChunk relays a chunk of an answer from the engine or service. The
// scheduler keeps data, which must not be modified afterwards.
func (s *Scheduler) ExecutionChunk(now time.Time, id wire.AttemptID, data []byte) []Action {
	s.beginEvent(now)
	j, ok := s.jobs[id]
	if !ok || j.phase != phaseRunning {
		return s.takeActions()
	}
	s.reportFirstToken(now, j)
	s.send(j.session, &wire.Chunk{ID: id, Sequence: j.chunkCount, Data: data})
	s.keepChunk(j, data)
	return s.takeActions()
}

// ExecutionEnded handles the end of an execution.
func (s *Scheduler) ExecutionEnded(now time.Time, c Completion) []Action {
	s.beginEvent(now)
	j, ok := s.jobs[c.ID]
	if !ok || j.phase != phaseRunning {
		return s.takeActions()
	}
	s.complete(now, j, c)
	s.schedule(now)
	return s.takeActions()
}

// complete finishes a running job with the result of its execution.
func (s *Scheduler) complete(now time.Time, j *job, c Completion) {
	s.reportEnd(now, j, c)
	if c.Code == result.OK && j.usesAdapter() && (c.Adapter != j.adapter.Adapter || c.Version != j.adapter.Version) {
		s.counters.Count("wrong_adapter_answers")
		c.Code = result.WrongAdapter
	}
	s.closeRecord(now, j, &c)
	s.finish(now, j, &wire.End{
		Code: c.Code, Detail: c.Detail, Status: c.Status, ContentType: c.ContentType,
		Adapter: c.Adapter, Version: c.Version,
	})
}

// endUnresumed ends a repeatable job whose entry did not resume it in time.
func (s *Scheduler) endUnresumed(now time.Time, j *job) {
	if j.phase == phaseQueued {
		s.refuseJob(now, j, result.SessionLost, "")
	}
	s.cancelExecution(j)
}

func (s *Scheduler) unpin(j *job) {
	if j.pinned {
		s.components.slots.Unpin(j.adapter)
		j.pinned = false
	}
}
