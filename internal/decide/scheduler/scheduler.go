package scheduler

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/admission"
	"agatelanding.example/agatelanding/internal/decide/authority"
	"agatelanding.example/agatelanding/internal/decide/idempotency"
	"agatelanding.example/agatelanding/internal/decide/loadbudget"
	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

// Scheduler holds the state of one target process.
type Scheduler struct {
	cfg      Config
	rec      Recorder
	parts    parts
	records  *idempotency.Store
	sessions []SessionID
	jobs     map[wire.AttemptID]*job

	// done lists finished jobs, oldest first; open counts the others.
	done      []*job
	open      int
	lastOrder uint64
	timers    timers
	// kept is the size of the answers kept for a Resume.
	kept int

	row       tables.PoolRow
	rowHash   uint64
	rowJSON   []byte
	homes     homes
	revision  uint64
	revisions revisions
	digest    uint64

	state       wire.State
	steppedDown bool
	lastEvent   time.Time
	lastProbe   time.Time
	// lastLook is the number of the newest look at the engine, probeMark
	// the state of the slots when it was asked for.
	lastLook  uint64
	probeMark uint64
	nextGrant int
	pace      loadPace
	actions   []Action
}

// New returns a scheduler without a pool; it refuses requests until PoolUpdate.
func New(now time.Time, cfg Config, rec Recorder) *Scheduler {
	return &Scheduler{
		cfg: cfg,
		rec: rec,
		parts: parts{
			slots:  slots.New(0, cfg.SlotPolicy),
			budget: loadbudget.New(cfg.Name),
			queue:  admission.New(admission.Config{}, cfg.Rand),
			guard:  authority.New(now),
		},
		records:   idempotency.New(now, idempotency.MaxRecords),
		jobs:      make(map[wire.AttemptID]*job),
		homes:     newHomes(cfg),
		state:     wire.StateServing,
		lastEvent: now,
		pace:      loadPace{interval: initialPace},
	}
}

// take returns the actions collected by an event.
func (s *Scheduler) take() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

func (s *Scheduler) act(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) send(session SessionID, message any) {
	if session != 0 {
		s.act(ToSession{Session: session, Message: message})
	}
}

// openJobs returns the jobs that have not ended, in order of arrival.
func (s *Scheduler) openJobs() []*job {
	list := make([]*job, 0, s.open)
	for _, j := range s.jobs {
		if j.phase != phaseDone {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.order, b.order) })
	return list
}

// SessionUp records a new session.
func (s *Scheduler) SessionUp(now time.Time, id SessionID) []Action {
	s.enter(now)
	if id != 0 && !slices.Contains(s.sessions, id) {
		s.sessions = append(s.sessions, id)
	}
	return s.take()
}

// SessionLost ends a session. Its unused reservations end at once; the rest
// waits for a Resume.
func (s *Scheduler) SessionLost(now time.Time, id SessionID) []Action {
	s.sessions = slices.DeleteFunc(s.sessions, func(x SessionID) bool { return x == id })
	var lost []*job
	for _, j := range s.openJobs() {
		if j.session == id && id != 0 {
			j.session = 0
			j.lostAt = now
			lost = append(lost, j)
		}
	}
	s.enter(now)
	for _, j := range lost {
		switch {
		case j.phase == phaseReserved:
			s.refuseJob(now, j, result.SessionLost, "")
		case j.phase != phaseDone && j.repeatable:
			s.arm(j, now.Add(AnswerLife))
		}
	}
	s.pump(now)
	return s.take()
}

// Leave stops taking new work and tells every session.
func (s *Scheduler) Leave(now time.Time) []Action {
	s.enter(now)
	s.leave()
	return s.take()
}

// Idle reports whether no accepted request is left.
func (s *Scheduler) Idle() bool { return s.open == 0 }

// PoolUpdate puts the pool's row in force unless it is older than the current.
// Every entry sends it, so that a row that is in force already costs little.
func (s *Scheduler) PoolUpdate(now time.Time, session SessionID, m *wire.PoolUpdate) []Action {
	s.enter(now)
	if m.Revision < s.revision {
		return s.take()
	}
	if len(m.Row) == 0 {
		return s.rowUnchanged(now, session, m)
	}
	if !bytes.Equal(m.Row, s.rowJSON) || m.Digest != s.digest {
		var row tables.PoolRow
		if err := json.Unmarshal(m.Row, &row); err != nil || row.Pool.Name == "" {
			s.rec.Count("pool_update_malformed")
			return s.take()
		}
		if m.Revision == s.revision {
			s.rec.Count("pool_update_conflicts")
		}
		s.setRow(now, row, m.Row)
	}
	s.revision = m.Revision
	s.revisions.learn(now, m.Revision)
	s.digest = m.Digest
	s.rowHash = m.RowHash
	s.parts.budget.Configure(now, m.LoadMembers, s.row.WeightStore.LoadsPerSecond)
	s.pump(now)
	return s.take()
}

// rowUnchanged takes a newer revision whose row is the one in force. An entry
// leaves out what it sent before, but another entry may have sent a newer row
// since; the target then asks for the whole.
func (s *Scheduler) rowUnchanged(now time.Time, session SessionID, m *wire.PoolUpdate) []Action {
	if s.revision == 0 || m.RowHash != s.rowHash || m.Digest != s.digest {
		s.rec.Count("pool_rows_asked")
		s.send(session, &wire.PartQuery{Key: wire.PoolRowKey})
		return s.take()
	}
	s.revision = m.Revision
	s.revisions.learn(now, m.Revision)
	return s.take()
}

func (s *Scheduler) setRow(now time.Time, row tables.PoolRow, raw []byte) {
	s.row = row
	s.rowJSON = raw
	s.homes.set(now, &row.Pool)
	s.parts.slots.SetCapacity(row.Pool.Slots)
	s.parts.queue.Configure(admission.Config{
		MaxRunning: row.Pool.MaxRunning,
		QueueLimit: row.Pool.QueueLimit,
		LongShare:  row.Pool.LongShare,
		FIFO:       s.cfg.FIFO,

		StaticLimit: s.cfg.StaticLimit,
	})
}

// Tick runs everything that depends on time.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.enter(now)
	if now.Sub(s.lastProbe) >= ProbeInterval {
		s.probe(now)
	}
	s.expire(now)
	s.records.Expire(now)
	s.parts.budget.Tick(now)
	s.pump(now)
	s.passTokens(now)
	return s.take()
}

func (s *Scheduler) expire(now time.Time) {
	for j := s.nextDue(now); j != nil; j = s.nextDue(now) {
		switch {
		case j.phase == phaseReserved:
			s.refuseJob(now, j, result.ReservationExpired, "")
		case j.phase == phaseDone:
			s.forget(j)
		case !j.lostAt.IsZero() && j.repeatable:
			s.abandon(now, j)
		}
	}
}

// passTokens gives load tokens that no waiting adapter needs to entries, which
// pass them on.
func (s *Scheduler) passTokens(now time.Time) {
	if s.cfg.StaticLoadShare || len(s.sessions) == 0 {
		return
	}
	for spare := s.parts.budget.Available(now) - s.loadsWaiting(); spare > 0; spare-- {
		token, ok := s.parts.budget.Surplus(now)
		if !ok {
			return
		}
		s.nextGrant++
		session := s.sessions[s.nextGrant%len(s.sessions)]
		s.send(session, &wire.LoadGrant{Minter: token.Minter, Period: token.Period, Hop: token.Hop, ExpiresMS: token.Expires.UnixMilli()})
	}
}

// Grant takes a load token that an entry passed on.
func (s *Scheduler) Grant(now time.Time, m *wire.LoadGrant) []Action {
	s.enter(now)
	token := loadbudget.Token{Minter: m.Minter, Period: m.Period, Hop: m.Hop, Expires: time.UnixMilli(m.ExpiresMS)}
	if s.parts.budget.Receive(now, token) {
		s.rec.Count("load_grants_received")
	}
	s.pump(now)
	return s.take()
}

// Report returns the load report that rides on replies.
func (s *Scheduler) Report() wire.LoadReport {
	urgency, waiting := s.loadUrgency()
	return wire.LoadReport{
		Running:      s.parts.queue.Running(),
		Queued:       s.parts.queue.Waiting(),
		Limit:        s.parts.queue.Limit(),
		StartDelayMS: int(s.parts.queue.PredictStart(false).Milliseconds()),
		LoadsWaiting: waiting,
		LoadUrgency:  urgency,
		Incarnation:  s.parts.guard.Incarnation(),
		Revision:     s.revision,
		State:        s.state,
	}
}

// Status returns a view for operators.
func (s *Scheduler) Status(now time.Time) Status {
	return Status{
		Revision:  s.revision,
		BaseModel: s.row.Pool.BaseModel,
		State:     s.state,
		Authority: s.holdsAuthority(),
		Fence:     s.parts.guard.Fence(),
		Running:   s.parts.queue.Running(),
		Waiting:   s.parts.queue.Waiting(),
		Slots:     s.parts.slots.Capacity(),
		Resident:  s.parts.slots.Resident(),
		Pins:      s.parts.slots.Pinned(),
		KeptBytes: s.kept,
		Records:   s.records.Len(),
		Tokens:    s.parts.budget.Available(now),
		Sessions:  len(s.sessions),
	}
}
