package scheduler

import (
	"time"

	"agatelanding.example/agatelanding/internal/decide/idempotency"
	"agatelanding.example/agatelanding/internal/decide/reassembly"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// MaxKeptBytes bounds the answers kept for a Resume. It is a quarter of
	// the memory that control may cost a node.
	MaxKeptBytes = 8 << 20
	// MaxKeptAnswers bounds the finished jobs whose end is kept.
	MaxKeptAnswers = 4096
	// chunkOverhead is counted for each chunk kept besides its data.
	chunkOverhead = 64
)

// keep stores a chunk for a Resume. If there is no room, the oldest finished
// answers lose their data first, then this one.
func (s *Scheduler) keep(j *job, data []byte) {
	j.sum = reassembly.Checksum(j.sum, data)
	j.count++
	if j.cut {
		return
	}
	j.chunks = append(j.chunks, data)
	size := len(data) + chunkOverhead
	j.bytes += size
	s.kept += size
	for _, done := range s.done {
		if s.kept <= MaxKeptBytes {
			return
		}
		s.cut(done)
	}
	if s.kept > MaxKeptBytes {
		s.cut(j)
	}
}

// cut drops the data of an answer; its end stays.
func (s *Scheduler) cut(j *job) {
	if j.bytes == 0 {
		return
	}
	s.rec.Count("kept_answers_cut")
	s.kept -= j.bytes
	j.bytes = 0
	j.chunks = nil
	j.cut = true
}

// Resume sends an answer again, from a chunk on, on another session.
func (s *Scheduler) Resume(now time.Time, session SessionID, m *wire.Resume) []Action {
	s.enter(now)
	j, ok := s.jobs[m.ID]
	if !ok {
		// The request may have run and been forgotten since, so that "not
		// run" would be wrong.
		s.send(session, &wire.End{ID: m.ID, Code: result.OutcomeUnknown, Detail: "the answer is not kept", Load: s.Report()})
		return s.take()
	}
	if m.From > j.count || (j.cut && m.From < j.count) {
		s.send(session, &wire.End{ID: m.ID, Code: j.lostCode(), Detail: "the answer is not kept", Load: s.Report()})
		// The entry ends the attempt by this answer; it gets no other one.
		j.session = 0
		s.cancel(j)
		return s.take()
	}
	s.adopt(j, session)
	for i := m.From; i < j.count; i++ {
		s.send(session, &wire.Chunk{ID: j.id, Sequence: i, Data: j.chunks[i]})
	}
	if j.end != nil {
		s.send(session, j.end)
	}
	return s.take()
}

// adopt moves an unfinished job to the session that asks for it.
func (s *Scheduler) adopt(j *job, session SessionID) {
	j.session = session
	if j.phase != phaseDone && !j.lostAt.IsZero() {
		j.lostAt = time.Time{}
		s.arm(j, time.Time{})
	}
}

// lostCode is the code for an answer that was started and cannot be given.
func (j *job) lostCode() result.Code {
	if j.repeatable {
		return result.AnswerCut
	}
	return result.OutcomeUnknown
}

// replay answers from a record. A recorded body fits into one frame.
func (s *Scheduler) replay(session SessionID, id wire.AttemptID, o idempotency.Outcome) {
	s.rec.Count("replayed_outcomes")
	end := &wire.End{ID: id, Code: result.Code(o.Code), Status: o.Status, ContentType: o.ContentType, Load: s.Report()}
	if o.BodyDropped {
		end.Code = result.AnswerCut
		end.Detail = "the call was executed; its answer is too large to be recorded"
	}
	if len(o.Body) > 0 {
		s.send(session, &wire.Chunk{ID: id, Data: o.Body})
		end.Chunks = 1
		end.Checksum = reassembly.Checksum(0, o.Body)
	}
	s.send(session, end)
}

// closeRecord records the outcome of a call that may not be repeated. A
// failure after the call was sent leaves the outcome unknown.
func (s *Scheduler) closeRecord(now time.Time, j *job, c *Completion) {
	if !j.recorded {
		return
	}
	j.recorded = false
	if c.Code != result.OK && c.Code.Info().Execution == result.NotRun {
		s.records.Abort(j.key)
		return
	}
	if c.Code != result.OK {
		c.Code = result.OutcomeUnknown
	}
	outcome := idempotency.Outcome{
		Code: uint16(c.Code), Status: c.Status, ContentType: c.ContentType, BodyDropped: j.cut,
	}
	if c.Code == result.OK {
		for _, chunk := range j.chunks {
			outcome.Body = append(outcome.Body, chunk...)
		}
	}
	s.records.Finish(now, j.key, outcome)
}

// abortRecord drops the record of a job that certainly did not run. Only the
// job that opened the record may do so.
func (s *Scheduler) abortRecord(j *job) {
	if j.recorded {
		j.recorded = false
		s.records.Abort(j.key)
	}
}

// refuseJob ends a job that has not started.
func (s *Scheduler) refuseJob(now time.Time, j *job, code result.Code, detail string) {
	s.parts.queue.Remove(j.id)
	s.abortRecord(j)
	s.rec.Refused(code)
	s.finish(now, j, &wire.End{Code: code, Detail: detail, RetryAfterMS: s.retryAdvice(now).Milliseconds()})
}

// finish closes a job and keeps its answer for a Resume.
func (s *Scheduler) finish(now time.Time, j *job, end *wire.End) {
	s.unpin(j)
	j.phase = phaseDone
	s.open--
	end.ID = j.id
	end.Chunks = j.count
	end.Checksum = j.sum
	end.Load = s.Report()
	j.end = end
	j.run = nil
	s.send(j.session, end)
	s.arm(j, now.Add(AnswerLife))
	s.done = append(s.done, j)
	if len(s.done) > MaxKeptAnswers {
		s.forget(s.done[0])
	}
}

// forget drops a finished job. Finished jobs expire in order, so that it is
// nearly always the first one.
func (s *Scheduler) forget(j *job) {
	s.cut(j)
	s.arm(j, time.Time{})
	delete(s.jobs, j.id)
	for i, done := range s.done {
		if done == j {
			s.done[i] = nil
			if i == 0 {
				s.done = s.done[1:]
			} else {
				s.done = append(s.done[:i], s.done[i+1:]...)
			}
			return
		}
	}
}
