package scheduler

import (
	"time"

	"agatelanding.example/agatelanding/internal/decide/idempotency"
	"agatelanding.example/agatelanding/internal/decide/reassembly"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// MaxKeptBytes bounds the size of the answers kept for a Resume. It is a
	// quarter of the memory that the serving layer may use on a VM.
	MaxKeptBytes = 8 << 20
	// MaxKeptJobs bounds the number of finished jobs that are kept.
	MaxKeptJobs = 4096
	// chunkOverhead is the memory in bytes that a kept chunk is assumed to
	// take in addition to its data.
	chunkOverhead = 64
)

// keepChunk stores a chunk for a Resume. If the kept answers exceed MaxKeptBytes,
// the data of the oldest finished answers is dropped first, then the data of this
// answer.
func (s *Scheduler) keepChunk(j *job, data []byte) {
	j.checksum = reassembly.Checksum(j.checksum, data)
	j.chunkCount++
	if j.chunksDropped {
		return
	}
	j.chunks = append(j.chunks, data)
	size := len(data) + chunkOverhead
	j.keptBytes += size
	s.keptBytes += size
	for _, done := range s.finished {
		if s.keptBytes <= MaxKeptBytes {
			return
		}
		s.dropChunks(done)
	}
	if s.keptBytes > MaxKeptBytes {
		s.dropChunks(j)
	}
}

// dropChunks drops the kept data of an answer; its End message is kept.
func (s *Scheduler) dropChunks(j *job) {
	if j.keptBytes == 0 {
		return
	}
	s.counters.Count("kept_answers_cut")
	s.keptBytes -= j.keptBytes
	j.keptBytes = 0
	j.chunks = nil
	j.chunksDropped = true
}

// Resume sends an answer again, starting at chunk m.From, on another session.
func (s *Scheduler) Resume(now time.Time, session SessionID, m *wire.Resume) []Action {
	s.beginEvent(now)
	j, ok := s.jobs[m.ID]
	if !ok {
		// The request may have run, and its job may have been removed since,
		// so a code that means "not run" would be wrong.
		s.send(session, &wire.End{ID: m.ID, Code: result.OutcomeUnknown, Detail: "the answer is not kept", Load: s.LoadReport()})
		return s.takeActions()
	}
	if m.From > j.chunkCount || (j.chunksDropped && m.From < j.chunkCount) {
		s.send(session, &wire.End{ID: m.ID, Code: j.lostAnswerCode(), Detail: "the answer is not kept", Load: s.LoadReport()})
		// This End closes the attempt at the entry, so nothing may follow it.
		j.session = 0
		s.cancelExecution(j)
		return s.takeActions()
	}
	s.attachSession(j, session)
	for i := m.From; i < j.chunkCount; i++ {
		s.send(session, &wire.Chunk{ID: j.id, Sequence: i, Data: j.chunks[i]})
	}
	if j.end != nil {
		s.send(session, j.end)
	}
	return s.takeActions()
}

// attachSession makes a job answer on the session that resumed it.
func (s *Scheduler) attachSession(j *job, session SessionID) {
	j.session = session
	if j.phase != phaseFinished && !j.sessionLostAt.IsZero() {
		j.sessionLostAt = time.Time{}
		s.setTimer(j, time.Time{})
	}
}

// lostAnswerCode returns the code for an answer that was started and cannot be
// resumed.
func (j *job) lostAnswerCode() result.Code {
	if j.repeatable {
		return result.AnswerCut
	}
	return result.OutcomeUnknown
}

// replay answers from a record. A recorded body has at most
// idempotency.MaxBodyBytes bytes, so that it fits into one frame of
// wire.MaxFrameBytes bytes.
func (s *Scheduler) replay(session SessionID, id wire.AttemptID, o idempotency.Outcome) {
	s.counters.Count("replayed_outcomes")
	end := &wire.End{ID: id, Code: result.Code(o.Code), Status: o.Status, ContentType: o.ContentType, Load: s.LoadReport()}
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

// closeRecord records the outcome of a request that is not repeatable. A failure
// after the request was sent leaves the outcome unknown.
func (s *Scheduler) closeRecord(now time.Time, j *job, c *Completion) {
	if !j.ownsRecord {
		return
	}
	j.ownsRecord = false
	if c.Code != result.OK && c.Code.Info().Execution == result.NotRun {
		s.records.Abort(j.idempotencyKey)
		return
	}
	if c.Code != result.OK {
		c.Code = result.OutcomeUnknown
	}
	outcome := idempotency.Outcome{
		Code: uint16(c.Code), Status: c.Status, ContentType: c.ContentType, BodyDropped: j.chunksDropped,
	}
	if c.Code == result.OK {
		for _, chunk := range j.chunks {
			outcome.Body = append(outcome.Body, chunk...)
		}
	}
	s.records.Finish(now, j.idempotencyKey, outcome)
}

// abortRecord drops the record of a job that did not run. Only the job that
// opened the record may drop it.
func (s *Scheduler) abortRecord(j *job) {
	if j.ownsRecord {
		j.ownsRecord = false
		s.records.Abort(j.idempotencyKey)
	}
}

// refuseJob ends an admitted job that has not started.
func (s *Scheduler) refuseJob(now time.Time, j *job, code result.Code, detail string) {
	s.components.queue.Remove(j.id)
	s.abortRecord(j)
	s.counters.Refused(code)
	s.finish(now, j, &wire.End{Code: code, Detail: detail, RetryAfterMS: s.retryAfter(now).Milliseconds()})
}

// finish ends a job, sends its End and keeps its answer for a Resume.
func (s *Scheduler) finish(now time.Time, j *job, end *wire.End) {
	s.unpin(j)
	j.phase = phaseFinished
	s.unfinished--
	end.ID = j.id
	end.Chunks = j.chunkCount
	end.Checksum = j.checksum
	end.Load = s.LoadReport()
	j.end = end
	j.run = nil
	s.send(j.session, end)
	s.setTimer(j, now.Add(AnswerRetention))
	s.finished = append(s.finished, j)
	if len(s.finished) > MaxKeptJobs {
		s.removeJob(s.finished[0])
	}
}

// removeJob removes a finished job. Finished jobs expire in the order in which
// they finished, so the job is nearly always the first of the list.
func (s *Scheduler) removeJob(j *job) {
	s.dropChunks(j)
	s.setTimer(j, time.Time{})
	delete(s.jobs, j.id)
	for i, done := range s.finished {
		if done == j {
			s.finished[i] = nil
			if i == 0 {
				s.finished = s.finished[1:]
			} else {
				s.finished = append(s.finished[:i], s.finished[i+1:]...)
			}
			return
		}
	}
}
