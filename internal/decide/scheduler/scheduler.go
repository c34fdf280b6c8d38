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
	cfg        Config
	counters   Recorder
	components components
	records    *idempotency.Store
	sessions   []SessionID
	jobs       map[wire.AttemptID]*job

	// finished lists the finished jobs, oldest first; unfinished is the
	// number of the others.
	finished    []*job
	unfinished  int
	lastArrival uint64
	timers      timers
	// keptBytes is the size of the answers kept for a Resume.
	keptBytes int

	// poolRow is the row in force of the pool table in the configuration,
	// poolRowJSON the same row as received.
	poolRow     tables.PoolRow
	poolRowHash uint64
	poolRowJSON []byte
	homes       homes
	// revision is the newest configuration revision received.
	revision  uint64
	revisions revisions
	// targetListDigest identifies the target list of the pool row: the names
	// of the targets and whether they are draining.
	targetListDigest uint64

	state       wire.State
	steppedDown bool
	lastEventAt time.Time
	lastProbeAt time.Time
	// lastProbe is the number of the newest probe, probeSlotsMark the mark
	// of the slot table when that probe was sent.
	lastProbe      uint64
	probeSlotsMark uint64
	// tokensPassed counts load tokens passed on; it selects the next session.
	tokensPassed int
	loadInterval loadInterval
	actions      []Action
}

// New returns a scheduler without a pool; it refuses every request until the
// first PoolUpdate.
func New(now time.Time, cfg Config, counters Recorder) *Scheduler {
	return &Scheduler{
		cfg:      cfg,
		counters: counters,
		components: components{
			slots:      slots.New(0, cfg.SlotPolicy),
			loadBudget: loadbudget.New(cfg.Name),
			queue:      admission.New(admission.Config{}, cfg.Rand),
			guard:      authority.New(now),
		},
		records:      idempotency.New(now, idempotency.MaxRecords),
		jobs:         make(map[wire.AttemptID]*job),
		homes:        newHomes(cfg),
		state:        wire.StateServing,
		lastEventAt:  now,
		loadInterval: loadInterval{estimate: initialLoadInterval},
	}
}

// takeActions returns and clears the actions that the current event collected.
func (s *Scheduler) takeActions() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// send sends a message to a session. Messages without a session are dropped.
func (s *Scheduler) send(session SessionID, message any) {
	if session != 0 {
		s.emit(ToSession{Session: session, Message: message})
	}
}

// unfinishedJobs returns the jobs that have not finished, in order of arrival.
func (s *Scheduler) unfinishedJobs() []*job {
	list := make([]*job, 0, s.unfinished)
	for _, j := range s.jobs {
		if j.phase != phaseFinished {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.arrival, b.arrival) })
	return list
}

// SessionUp records a new session.
func (s *Scheduler) SessionUp(now time.Time, id SessionID) []Action {
	s.beginEvent(now)
	if id != 0 && !slices.Contains(s.sessions, id) {
		s.sessions = append(s.sessions, id)
	}
	return s.takeActions()
}

// SessionLost ends a session. Its reservations without a Run end at once; its
// other jobs wait for a Resume on a new session.
func (s *Scheduler) SessionLost(now time.Time, id SessionID) []Action {
	s.sessions = slices.DeleteFunc(s.sessions, func(x SessionID) bool { return x == id })
	var lost []*job
	for _, j := range s.unfinishedJobs() {
		if j.session == id && id != 0 {
			j.session = 0
			j.sessionLostAt = now
			lost = append(lost, j)
		}
	}
	s.beginEvent(now)
	for _, j := range lost {
		switch {
		case j.phase == phaseReserved:
			s.refuseJob(now, j, result.SessionLost, "")
		case j.phase != phaseFinished && j.repeatable:
			s.setTimer(j, now.Add(AnswerRetention))
		}
	}
	s.schedule(now)
	return s.takeActions()
}

// Leave begins the planned stop of the target process: it refuses new requests
// and sends Leaving on every session. Draining is a setting of a target in the
// pool table and does not stop the process.
func (s *Scheduler) Leave(now time.Time) []Action {
	s.beginEvent(now)
	s.leave()
	return s.takeActions()
}

// Idle reports whether every admitted request has finished.
func (s *Scheduler) Idle() bool { return s.unfinished == 0 }

// PoolUpdate puts a pool row in force unless its revision is older than the
// current one. Every entry sends each row, so a row that equals the one in
// force is not decoded again.
func (s *Scheduler) PoolUpdate(now time.Time, session SessionID, m *wire.PoolUpdate) []Action {
	s.beginEvent(now)
	if m.Revision < s.revision {
		return s.takeActions()
	}
	if len(m.Row) == 0 {
		return s.applyRevision(now, session, m)
	}
	if !bytes.Equal(m.Row, s.poolRowJSON) || m.Digest != s.targetListDigest {
		var row tables.PoolRow
		if err := json.Unmarshal(m.Row, &row); err != nil || row.Pool.Name == "" {
			s.counters.Count("pool_update_malformed")
			return s.takeActions()
		}
		if m.Revision == s.revision {
			s.counters.Count("pool_update_conflicts")
		}
		s.setRow(now, row, m.Row)
	}
	s.revision = m.Revision
	s.revisions.add(now, m.Revision)
	s.targetListDigest = m.Digest
	s.poolRowHash = m.RowHash
	s.components.loadBudget.Configure(now, m.EngineTargets, s.poolRow.WeightStore.LoadsPerSecond)
	s.schedule(now)
	return s.takeActions()
}

// applyRevision handles a PoolUpdate without a row. An entry leaves out a row
// that it has sent before on the session. If another entry has sent a different
// row since, the target requests the whole row; otherwise only the revision
// changes.
func (s *Scheduler) applyRevision(now time.Time, session SessionID, m *wire.PoolUpdate) []Action {
	if s.revision == 0 || m.RowHash != s.poolRowHash || m.Digest != s.targetListDigest {
		s.counters.Count("pool_rows_asked")
		s.send(session, &wire.PartQuery{Key: wire.PoolRowKey})
		return s.takeActions()
	}
	s.revision = m.Revision
	s.revisions.add(now, m.Revision)
	return s.takeActions()
}

// setRow puts a pool row in force; raw is the row as received.
func (s *Scheduler) setRow(now time.Time, row tables.PoolRow, raw []byte) {
	s.poolRow = row
	s.poolRowJSON = raw
	s.homes.setPool(now, &row.Pool)
	s.components.slots.SetCapacity(row.Pool.Slots)
	s.components.queue.Configure(admission.Config{
		MaxRunning:   row.Pool.MaxRunning,
		MaxWaiting:   row.Pool.QueueLimit,
		MaxLongShare: row.Pool.LongShare,
		FIFO:         s.cfg.FIFO,

		StaticLimit: s.cfg.StaticLimit,
	})
}

// Tick probes the engine, runs due timers, expires records and load tokens,
// starts what can start and passes surplus load tokens on.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.beginEvent(now)
	if now.Sub(s.lastProbeAt) >= ProbeInterval {
		s.probe(now)
	}
	s.runTimers(now)
	s.records.Expire(now)
	s.components.loadBudget.Tick(now)
	s.schedule(now)
	s.passSurplusTokens(now)
	return s.takeActions()
}

// runTimers handles every job whose timer is due.
func (s *Scheduler) runTimers(now time.Time) {
	for j := s.nextDueJob(now); j != nil; j = s.nextDueJob(now) {
		switch {
		case j.phase == phaseReserved:
			s.refuseJob(now, j, result.ReservationExpired, "")
		case j.phase == phaseFinished:
			s.removeJob(j)
		case !j.sessionLostAt.IsZero() && j.repeatable:
			s.endUnresumed(now, j)
		}
	}
}

// passSurplusTokens sends load tokens that no waiting adapter needs to entries,
// which pass them on to other targets.
func (s *Scheduler) passSurplusTokens(now time.Time) {
	if s.cfg.StaticLoadShare || len(s.sessions) == 0 {
		return
	}
	for spare := s.components.loadBudget.Available(now) - s.loadsWaiting(); spare > 0; spare-- {
		token, ok := s.components.loadBudget.TakeSurplus(now)
		if !ok {
			return
		}
		s.tokensPassed++
		session := s.sessions[s.tokensPassed%len(s.sessions)]
		s.send(session, &wire.LoadGrant{Minter: token.Minter, Period: token.PeriodNumber, Hop: token.Hops, ExpiresMS: token.ExpiresAt.UnixMilli()})
	}
}

// HandleLoadGrant accepts a load token that an entry passed on.
func (s *Scheduler) HandleLoadGrant(now time.Time, m *wire.LoadGrant) []Action {
	s.beginEvent(now)
	token := loadbudget.Token{Minter: m.Minter, PeriodNumber: m.Period, Hops: m.Hop, ExpiresAt: time.UnixMilli(m.ExpiresMS)}
	if s.components.loadBudget.Receive(now, token) {
		s.counters.Count("load_grants_received")
	}
	s.schedule(now)
	return s.takeActions()
}

// LoadReport returns the load report that is part of each reply to an entry.
func (s *Scheduler) LoadReport() wire.LoadReport {
	urgency, waiting := s.loadUrgency()
	return wire.LoadReport{
		Running:             s.components.queue.Running(),
		Queued:              s.components.queue.Waiting(),
		Limit:               s.components.queue.Limit(),
		StartDelayMS:        int(s.components.queue.PredictStartDelay(false).Milliseconds()),
		AdapterLoadsWaiting: waiting,
		AdapterLoadUrgency:  urgency,
		Incarnation:         s.components.guard.Incarnation(),
		Revision:            s.revision,
		State:               s.state,
	}
}

// Status returns the state that operators see.
func (s *Scheduler) Status(now time.Time) Status {
	return Status{
		Revision:   s.revision,
		BaseModel:  s.poolRow.Pool.BaseModel,
		State:      s.state,
		Authority:  s.hasAuthority(),
		Fence:      s.components.guard.Fence(),
		Running:    s.components.queue.Running(),
		Waiting:    s.components.queue.Waiting(),
		Slots:      s.components.slots.Capacity(),
		Resident:   s.components.slots.Resident(),
		Pins:       s.components.slots.TotalPins(),
		KeptBytes:  s.keptBytes,
		Records:    s.records.Len(),
		LoadTokens: s.components.loadBudget.Available(now),
		Sessions:   len(s.sessions),
	}
}
