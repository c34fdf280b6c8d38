package scheduler

import (
	"encoding/json"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/admission"
	"agatelanding.example/agatelanding/internal/decide/authority"
	"agatelanding.example/agatelanding/internal/decide/idempotency"
	"agatelanding.example/agatelanding/internal/decide/loadbudget"
	"agatelanding.example/agatelanding/internal/decide/placement"
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

	row       tables.PoolRow
	ranker    *placement.Ranker
	revision  uint64
	digest    uint64
	newerFrom time.Time

	state     wire.State
	lastProbe time.Time
	nextGrant int
	// loadWait is the moving average of the time from the first request for
	// an adapter to its residency.
	loadWait time.Duration
	actions  []Action
}

const initialLoadWait = 400 * time.Millisecond

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
		records:  idempotency.New(now, idempotency.MaxRecords),
		jobs:     make(map[wire.AttemptID]*job),
		state:    wire.StateServing,
		loadWait: initialLoadWait,
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

// SessionUp records a new session.
func (s *Scheduler) SessionUp(now time.Time, id SessionID) []Action {
	s.sessions = append(s.sessions, id)
	return s.take()
}

// SessionLost ends a session. Its unused reservations end at once; the rest
// waits for a Resume.
func (s *Scheduler) SessionLost(now time.Time, id SessionID) []Action {
	s.sessions = slices.DeleteFunc(s.sessions, func(x SessionID) bool { return x == id })
	for _, j := range s.jobs {
		if j.session != id {
			continue
		}
		j.session = 0
		j.lostAt = now
		if j.phase == phaseReserved {
			s.drop(j)
		}
	}
	s.pump(now)
	return s.take()
}

// Leave stops taking new work and tells every session.
func (s *Scheduler) Leave(now time.Time) []Action {
	s.state = wire.StateLeaving
	for _, id := range s.sessions {
		s.send(id, &wire.Leaving{Process: s.cfg.Name})
	}
	return s.take()
}

// Idle reports whether no accepted request is left.
func (s *Scheduler) Idle() bool {
	for _, j := range s.jobs {
		if j.phase != phaseDone {
			return false
		}
	}
	return true
}

// PoolUpdate puts the pool's row in force unless it is older than the current.
func (s *Scheduler) PoolUpdate(now time.Time, m *wire.PoolUpdate) []Action {
	if m.Revision < s.revision {
		return s.take()
	}
	var row tables.PoolRow
	if err := json.Unmarshal(m.Row, &row); err != nil {
		s.rec.Count("pool_update_malformed")
		return s.take()
	}
	if m.Revision > s.revision {
		s.revision = m.Revision
		s.newerFrom = now
	}
	if s.digest != 0 && s.digest != m.Digest {
		s.records.HomesChanged(now)
	}
	s.digest = m.Digest
	s.row = row
	s.ranker = homeRanker(row.Pool)
	s.parts.slots.SetCapacity(row.Pool.Slots)
	s.parts.budget.Configure(now, m.LoadMembers, row.WeightStore.LoadsPerSecond)
	s.parts.queue.Configure(admission.Config{
		MaxRunning: row.Pool.MaxRunning,
		QueueLimit: row.Pool.QueueLimit,
		LongShare:  row.Pool.LongShare,
		FIFO:       s.cfg.FIFO,

		StaticLimit: s.cfg.StaticLimit,
	})
	s.pump(now)
	return s.take()
}

// homeRanker ranks the targets that may be homes of keys.
func homeRanker(pool tables.Pool) *placement.Ranker {
	targets := make([]placement.Target, 0, len(pool.Targets))
	for _, t := range pool.Targets {
		targets = append(targets, placement.Target{Name: t.Name, FailureDomain: t.FailureDomain})
	}
	return placement.NewRanker(targets)
}

// isHome reports whether this target is the home of key under its own row.
func (s *Scheduler) isHome(key string) bool {
	ranks := s.ranker.Rank(key, 1)
	return len(ranks) == 1 && s.row.Pool.Targets[ranks[0]].Name == s.cfg.Name
}

// Tick runs everything that depends on time.
func (s *Scheduler) Tick(now time.Time) []Action {
	if s.parts.guard.Tick(now) {
		s.rec.Count("pause_detected")
		s.afterPause(now)
	}
	if now.Sub(s.lastProbe) >= ProbeInterval {
		s.lastProbe = now
		s.act(ProbeEngine{})
	}
	s.expire(now)
	s.records.Expire(now)
	s.parts.budget.Tick(now)
	s.pump(now)
	s.passTokens(now)
	return s.take()
}

// afterPause gives up what other processes have given up on meanwhile.
func (s *Scheduler) afterPause(now time.Time) {
	s.lastProbe = now
	s.act(ProbeEngine{})
	for _, j := range s.jobs {
		if j.phase == phaseReserved {
			s.refuseJob(now, j, result.AuthorityLost, "the target process was paused")
		}
	}
}

func (s *Scheduler) expire(now time.Time) {
	for id, j := range s.jobs {
		switch {
		case j.phase == phaseReserved && now.After(j.expires):
			s.refuseJob(now, j, result.ReservationExpired, "")
		case j.phase == phaseDone && now.After(j.expires):
			delete(s.jobs, id)
		case !j.lostAt.IsZero() && j.reserve.Repeatable && now.Sub(j.lostAt) > AnswerLife:
			s.abandon(j)
		}
	}
}

// passTokens gives unused load tokens to entries, which pass them on.
func (s *Scheduler) passTokens(now time.Time) {
	if s.cfg.StaticLoadShare || len(s.sessions) == 0 || s.loadsWaiting() > 0 {
		return
	}
	for {
		token, ok := s.parts.budget.Surplus(now)
		if !ok {
			return
		}
		s.nextGrant++
		session := s.sessions[s.nextGrant%len(s.sessions)]
		s.send(session, &wire.LoadGrant{Minter: token.Minter, Period: token.Period, ExpiresMS: token.Expires.UnixMilli()})
	}
}

// Grant takes a load token that an entry passed on.
func (s *Scheduler) Grant(now time.Time, m *wire.LoadGrant) []Action {
	token := loadbudget.Token{Minter: m.Minter, Period: m.Period, Expires: time.UnixMilli(m.ExpiresMS)}
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
		State:     s.state,
		Authority: s.holdsAuthority(),
		Fence:     s.parts.guard.Fence(),
		Running:   s.parts.queue.Running(),
		Waiting:   s.parts.queue.Waiting(),
		Slots:     s.parts.slots.Capacity(),
		Resident:  s.parts.slots.Resident(),
		Records:   s.records.Len(),
		Tokens:    s.parts.budget.Available(now),
		Sessions:  len(s.sessions),
	}
}

func (s *Scheduler) isEngine() bool { return s.row.Pool.Kind == tables.KindEngine }

// holdsAuthority reports whether orders may go out. Plain services keep no
// fence and get no orders, so a recent tick is enough.
func (s *Scheduler) holdsAuthority() bool { return !s.isEngine() || s.parts.guard.Holds() }

// EngineProbed takes a look at the engine into account.
func (s *Scheduler) EngineProbed(now time.Time, state EngineState) []Action {
	switch s.parts.guard.Confirm(state.View) {
	case authority.Restarted:
		s.rec.Count("engine_restarts_seen")
		s.act(TakeFence{Fence: s.parts.guard.NextFence(state.View)})
	case authority.Superseded:
		s.rec.Count("superseded")
	}
	s.pump(now)
	return s.take()
}

// FenceTaken records that the engine accepted the fencing number. The slots
// are set to what the engine holds.
func (s *Scheduler) FenceTaken(now time.Time, state EngineState, fence uint64) []Action {
	s.parts.guard.Took(state.View, fence)
	s.parts.slots.Reset(state.Resident)
	s.pump(now)
	return s.take()
}
