package scheduler

import (
	"time"

	"agatelanding.example/agatelanding/internal/decide/authority"
	"agatelanding.example/agatelanding/internal/decide/idempotency"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

// beginEvent runs at the start of each event. The first event after a pause
// detects it, whichever event that is, before any order is sent.
func (s *Scheduler) beginEvent(now time.Time) {
	gap := now.Round(0).Sub(s.lastEventAt.Round(0)).Abs()
	s.lastEventAt = now
	if !s.components.guard.DetectPause(now) {
		return
	}
	s.counters.Count("pause_detected")
	if gap > idempotency.MaxTargetClockSkew {
		// Another process may have been the home of a key during the pause.
		// A step of the wall clock cannot be distinguished from a pause.
		s.homes.forgetBefore(now)
	}
	s.handlePause(now)
}

// handlePause probes the engine and ends the jobs that cannot continue: their
// entries may have stopped waiting during the pause.
func (s *Scheduler) handlePause(now time.Time) {
	s.probe(now)
	for _, j := range s.unfinishedJobs() {
		switch {
		case j.phase == phaseReserved:
			s.refuseJob(now, j, result.AuthorityLost, "the target process was paused")
		case j.phase == phaseQueued && now.After(j.deadline):
			s.refuseJob(now, j, result.DeadlinePassed, "the budget ended while the target process was paused")
		}
	}
}

func (s *Scheduler) isEngine() bool { return s.poolRow.Pool.Kind == tables.KindEngine }

// hasAuthority reports whether orders may be sent and requests started. Plain
// services have no fencing number and receive no orders; the check for a pause
// in beginEvent is enough for them.
func (s *Scheduler) hasAuthority() bool { return !s.isEngine() || s.components.guard.HoldsAuthority() }

// probe sends a probe to the engine. Plain services are not probed.
func (s *Scheduler) probe(now time.Time) {
	s.lastProbeAt = now
	if s.poolRow.Pool.Kind == tables.KindService {
		return
	}
	s.probeSlotsMark = s.components.slots.ChangeCount()
	s.lastProbe = s.components.guard.StartProbe()
	s.emit(ProbeEngine{ProbeNumber: s.lastProbe})
}

// EngineProbed handles the result of a probe.
func (s *Scheduler) EngineProbed(now time.Time, state ProbeResult) []Action {
	s.beginEvent(now)
	if s.poolRow.Pool.Kind == tables.KindService {
		return s.takeActions()
	}
	switch s.components.guard.HandleProbe(state.ProbeNumber, state.Fence) {
	case authority.NeedsFence:
		s.counters.Count("engine_restarts_seen")
		s.failRunning(now, state.Fence)
		// The restarted engine may have accepted runs under the old fencing
		// number before a probe showed the restart; failRunning has ended
		// their jobs.
		s.emit(SetFence{
			Fence:   s.components.guard.NextFence(state.Fence),
			EndRuns: state.Fence.Incarnation != s.components.guard.Incarnation(),
		})
	case authority.Superseded:
		s.failRunning(now, state.Fence)
		s.handleSuperseded(now)
	case authority.Outdated:
		s.counters.Count("outdated_looks")
	case authority.Unchanged:
		s.reconcile(state)
	}
	s.schedule(now)
	return s.takeActions()
}

// reconcile corrects the slot table from the newest probe. An order that was in
// flight when the process paused can have taken effect late.
func (s *Scheduler) reconcile(state ProbeResult) {
	if state.Resident == nil || state.ProbeNumber != s.lastProbe {
		return
	}
	for range s.components.slots.Reconcile(s.probeSlotsMark, state.Resident) {
		s.counters.Count("slots_corrected")
	}
}

// failRunning ends the running jobs if the engine has restarted since they
// started. The outcome of a job that is not repeatable is then unknown.
func (s *Scheduler) failRunning(now time.Time, view authority.FenceState) {
	if s.components.guard.Fence() == 0 || view.Incarnation == s.components.guard.Incarnation() {
		return
	}
	for _, j := range s.unfinishedJobs() {
		if j.phase == phaseRunning {
			s.emit(CancelExecution{ID: j.id})
			s.complete(now, j, Completion{ID: j.id, Code: result.EngineFailed, Detail: "the engine restarted"})
		}
	}
}

// handleSuperseded refuses the jobs that have not started and stops taking new
// requests. Running jobs continue, and their answers are still relayed.
func (s *Scheduler) handleSuperseded(now time.Time) {
	if s.steppedDown {
		return
	}
	s.steppedDown = true
	s.counters.Count("superseded")
	for _, j := range s.unfinishedJobs() {
		if j.phase != phaseRunning {
			s.refuseJob(now, j, result.AuthorityLost, "another process has taken over the engine")
		}
	}
	s.leave()
	s.emit(Exit{})
}

// FenceSet records that the engine accepted the fencing number, and sets the
// slot table to the adapters that the engine holds.
func (s *Scheduler) FenceSet(now time.Time, state ProbeResult, fence uint64) []Action {
	s.beginEvent(now)
	guard := s.components.guard
	if fence <= guard.Fence() && state.Fence.Incarnation == guard.Incarnation() {
		return s.takeActions()
	}
	s.failRunning(now, state.Fence)
	guard.FenceAccepted(state.Fence, fence)
	if guard.Superseded() {
		s.handleSuperseded(now)
		return s.takeActions()
	}
	s.components.slots.Reset(now, state.Resident)
	s.schedule(now)
	return s.takeActions()
}

// OrderFenced records that the engine refused an order because of its fencing
// number. The failed order is reported by AdapterLoaded or AdapterUnloaded as
// well.
func (s *Scheduler) OrderFenced(now time.Time) []Action {
	s.beginEvent(now)
	s.counters.Count("orders_fenced")
	s.components.guard.OrderFenced()
	s.probe(now)
	return s.takeActions()
}

// leave makes the target refuse new requests and sends Leaving on every session.
func (s *Scheduler) leave() {
	if s.state == wire.StateLeaving {
		return
	}
	s.state = wire.StateLeaving
	for _, id := range s.sessions {
		s.send(id, &wire.Leaving{Process: s.cfg.Name})
	}
}
