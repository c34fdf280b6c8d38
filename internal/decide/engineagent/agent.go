package engineagent

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"agatelanding.example/agatelanding/internal/decide/authority"
	"agatelanding.example/agatelanding/internal/decide/heldprompts"
	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// IdlePollInterval is the time between two polls of an idle engine. Polls from
	// the same VM return the current status and cost the engine nothing.
	IdlePollInterval = 250 * time.Millisecond
	// LoadingPollInterval is the time between two polls while adapters load.
	LoadingPollInterval = 15 * time.Millisecond
	// RunningPollInterval is the time between two polls while requests run: it
	// covers a few steps of an engine.
	RunningPollInterval = 30 * time.Millisecond
	// pollTimeout is the time limit of a poll.
	pollTimeout = time.Second
	// attachTimeout is how long an admitted request is kept and its adapter
	// stays pinned after the loss of its entry's session. The entry attaches
	// the request again when a new session opens.
	attachTimeout = 10 * time.Second
	// arrivalTime is longer than an admitted request takes from its entry to the engine.
	arrivalTime = 500 * time.Millisecond
	// maxAttemptBytes bounds what is kept of the ID of an attempt.
	maxAttemptBytes = 128
	// maxCached is the maximum number of adapters that the engine is assumed to
	// load again without the weight store.
	maxCached = 128
	// fenceStep is added to the fencing number when the engine has refused an
	// order as fenced.
	fenceStep = 10_000
)

// Agent holds the state of one target process.
type Agent struct {
	rec Recorder
	// settings is the newest EngineSettings that an entry has sent: the settings
	// of the pool in the configuration.
	settings *wire.EngineSettings
	// status is the result of the last successful poll, valid if hasStatus.
	status    EngineStatus
	hasStatus bool
	// slots tracks the adapter slots of the engine. settings.MaxRunning is
	// something else: the maximum number of requests that run at the engine.
	slots *slots.Table
	// pauseDetector is used only to detect pauses of the process. Its authority is
	// not used: the orders are protected by Order.ExpectedOrders and Order.Fence.
	pauseDetector *authority.Guard

	reservations map[wire.AttemptID]*reservation
	queue        []*reservation
	flow         flowControl
	stepTimer    stepTimer
	loadLimiter  loadLimiter
	limiter      rateLimiter
	// heldPrompts follows which prompt prefixes the engine holds, and entries is the
	// number of entries that get the reports.
	heldPrompts *heldprompts.Memory
	entries     int
	// instances holds the IDs of the engine's incarnations by their start time.
	instances map[int64]string

	// orderPending is true while the outcome of lastOrder is unknown.
	orderPending bool
	lastOrder    Order
	// answered is the last order while no status has settled its outcome.
	answered *answeredOrder
	// doubtUntil is until when no answer on a kept connection is trusted, and
	// confirmNoRate is set if the next poll needs a connection of its own.
	doubtUntil    time.Time
	confirmNoRate bool
	// Until keptUntil all calls use kept connections, because one on a new connection got no
	// answer. pollIsNew and orderIsNew are true if the last poll or order was on a new one.
	keptUntil             time.Time
	pollIsNew, orderIsNew bool
	// unloading is the adapter of the last order if that was an unload and no
	// later poll has shown its effect: status still lists the adapter.
	unloading Adapter
	// sentAt is when each order was last sent. No order is sent before
	// nextOrderAt. consecutiveRejections counts the orders that were not
	// accepted since the last accepted one.
	sentAt                map[orderKey]time.Time
	nextOrderAt           time.Time
	consecutiveRejections int
	// pollStartedAt is zero unless a poll is under way, and polledAt is when the
	// last poll ended. While needsPoll is true, the next order has to wait for
	// a new status. failedPolls counts the failures since the last status.
	pollStartedAt time.Time
	polledAt      time.Time
	needsPoll     bool
	failedPolls   int
	// fenceOffset is the total added to fencing numbers after refused orders.
	fenceOffset uint64
	// cached lists the adapters that the engine is assumed to load again
	// without the weight store, the least recently unloaded first.
	cached []Adapter
	// adaptersReported is true if all entries have been sent the current
	// adapter lists.
	adaptersReported bool
	leaving          bool
	// engineLeaving is true if the present incarnation of the engine has said that
	// it leaves. Before pausedUntil the engine gets no polls and orders.
	engineLeaving bool
	pausedUntil   time.Time
	actions       []Action
}

// New returns an Agent that sends no orders before SetSettings.
func New(now time.Time, rec Recorder) *Agent {
	return &Agent{
		rec: rec, slots: slots.New(0, slots.Frequency), pauseDetector: authority.New(now), needsPoll: true,
		reservations: make(map[wire.AttemptID]*reservation), instances: make(map[int64]string), loadLimiter: newLoadLimiter(),
		sentAt: make(map[orderKey]time.Time), heldPrompts: heldprompts.NewMemory(),
	}
}

// takeActions returns the collected actions and clears them.
func (a *Agent) takeActions() []Action {
	actions := a.actions
	a.actions = nil
	return actions
}

func (a *Agent) emit(x Action) { a.actions = append(a.actions, x) }

// slotKey returns the key of an adapter in the slot table. It has no version,
// because an engine holds one version of an adapter at a time.
func slotKey(x Adapter) slots.Key { return slots.Key{Adapter: x.String()} }

// SetSettings applies the settings of the pool unless they are older than the
// current ones.
func (a *Agent) SetSettings(now time.Time, settings *wire.EngineSettings) []Action {
	if settings.StartedAtMS != 0 {
		a.instances[settings.StartedAtMS] = settings.Instance
		if a.hasStatus && settings.StartedAtMS > a.status.StartedAtMS {
			// Another incarnation has not asked for time.
			a.pausedUntil = time.Time{}
		}
	}
	a.limiter.receive(now, settings.StartedAtMS, settings.RateLimit)
	if a.settings == nil || settings.Revision >= a.settings.Revision {
		a.settings = settings
		a.flow.configuredEventSteps = settings.TokensPerEvent
		capacity := 0
		for _, m := range settings.Models {
			capacity = max(capacity, m.Adapters)
		}
		a.slots.SetCapacity(capacity)
	}
	a.advance(now)
	return a.takeActions()
}

// Reserve handles a reservation.
func (a *Agent) Reserve(now time.Time, session SessionID, m *wire.Reserve) []Action {
	if _, ok := a.reservations[m.ID]; ok {
		return a.takeActions()
	}
	minVersion, _ := strconv.Atoi(m.Version)
	r := &reservation{
		id: m.ID, session: session, adapter: Adapter{Model: m.Model, Name: m.Adapter}, minVersion: minVersion,
		promptLength: m.PromptTokens, prefixes: m.Prefixes[:min(len(m.Prefixes), heldprompts.MaxParts)], rank: m.Priority, reservedAt: now, firstEventDue: now.Add(time.Duration(m.FirstEventBudgetMS) * time.Millisecond), deadline: now.Add(time.Duration(m.BudgetMS) * time.Millisecond),
		redirect: m.Redirect, attempt: m.CallerAttempt[:min(len(m.CallerAttempt), maxAttemptBytes)],
	}
	a.updateUnread(r)
	if code, after := a.checkAdmissible(now, r, m.Instance); code != result.OK {
		a.refuse(r, code, after)
		return a.takeActions()
	}
	if delay, mistaken := a.isMistaken(now, r, m.ExpectedHeld); mistaken {
		a.rec.Count("prompt_expectations_refused")
		a.refuse(r, result.BudgetExceeded, delay)
		return a.takeActions()
	}
	a.reservations[r.id] = r
	if r.adapter.Name != "" {
		a.slots.RecordRequest(now, slotKey(r.adapter), 0)
		a.slots.Pin(slotKey(r.adapter))
	}
	a.queue = append(a.queue, r)
	a.advance(now)
	return a.takeActions()
}

// checkAdmissible returns a code other than OK and a retry delay if the request
// cannot be served or would start after its deadline.
func (a *Agent) checkAdmissible(now time.Time, r *reservation, instance string) (result.Code, time.Duration) {
	switch {
	case a.leaving, a.engineLeaving:
		return result.TargetLeaving, 0
	case now.Before(a.pausedUntil):
		return result.TargetsPaused, a.pausedUntil.Sub(now)
	case a.settings == nil || !a.hasStatus:
		return result.NoConfiguration, IdlePollInterval
	case a.failedPolls > 0, !a.holdsModel(r.adapter.Model):
		return result.EngineUnavailable, IdlePollInterval
	case instance != "" && a.instance() != "" && instance != a.instance():
		return result.EngineUnavailable, 0
	}
	if start := a.startDelay(now, r); now.Add(start).After(r.deadline) || r.redirect && a.isLate(now, r, start) {
		if start == a.limiter.wait(now, a.countAhead(r)) {
			return result.TargetsLimited, start
		}
		return result.BudgetExceeded, start
	}
	return result.OK, 0
}

func (a *Agent) refuse(r *reservation, code result.Code, after time.Duration) {
	a.rec.Refused(code)
	a.emit(Refuse{Session: r.session, ID: r.id, Code: code, RetryAfter: after})
}

// Attach handles a request that has been running at the engine since before the
// session opened.
func (a *Agent) Attach(now time.Time, session SessionID, m *wire.Attach) []Action {
	if r, ok := a.reservations[m.ID]; ok {
		r.session, r.sessionLostAt = session, time.Time{}
		return a.takeActions()
	}
	r := &reservation{
		id: m.ID, session: session, adapter: Adapter{Model: m.Model, Name: m.Adapter}, phase: answering, reservedAt: now, admittedAt: now,
	}
	a.reservations[r.id] = r
	if r.adapter.Name != "" {
		a.slots.Pin(slotKey(r.adapter))
	}
	a.flow.running++
	return a.takeActions()
}

// FirstEvent handles the message that the engine has sent the first event of a
// request.
func (a *Agent) FirstEvent(now time.Time, m *wire.Started) []Action {
	if r, ok := a.reservations[m.ID]; ok && r.phase == reading {
		r.phase = answering
		a.flow.promptRead(r.prompt)
		a.heldPrompts.Read(r.prefixes)
	}
	a.advance(now)
	return a.takeActions()
}

// Release ends a reservation, whether or not it was admitted.
func (a *Agent) Release(now time.Time, id wire.AttemptID) []Action {
	if r, ok := a.reservations[id]; ok {
		if r.phase == answering {
			a.flow.answerEnded(now.Sub(r.admittedAt))
		}
		a.removeReservation(now, r)
	}
	a.advance(now)
	return a.takeActions()
}

// removeReservation deletes a reservation and updates what is counted for it.
func (a *Agent) removeReservation(now time.Time, r *reservation) {
	switch r.phase {
	case waiting:
		a.queue = slices.DeleteFunc(a.queue, func(x *reservation) bool { return x == r })
	case reading:
		a.flow.promptRead(r.prompt)
		a.flow.running--
	case answering:
		a.flow.running--
	}
	if r.phase != waiting {
		a.releasePrefixes(now, r)
	}
	if r.adapter.Name != "" {
		a.slots.Unpin(slotKey(r.adapter))
	}
	delete(a.reservations, r.id)
}

// SessionLost drops the waiting requests of a session. Those at the engine stay
// until the entry attaches them again or attachTimeout ends.
func (a *Agent) SessionLost(now time.Time, session SessionID) []Action {
	for _, r := range a.sortedReservations() {
		switch {
		case r.session != session:
		case r.phase == waiting:
			a.removeReservation(now, r)
		default:
			r.session, r.sessionLostAt = 0, now
		}
	}
	a.advance(now)
	return a.takeActions()
}

// releaseEnded releases the requests of lost sessions that the engine does not run any more,
// as a poll shows that began at a time: their entries have ended or left, and the engine
// dropped them with their connections.
func (a *Agent) releaseEnded(now, pollStartedAt time.Time) {
	if a.status.Waiting > 0 {
		// The engine does not list the requests that wait.
		return
	}
	running := make(map[string]bool, len(a.status.BatchRequests))
	for _, x := range a.status.BatchRequests {
		running[x.ID] = true
	}
	for _, r := range a.sortedReservations() {
		if r.sessionLostAt.IsZero() || pollStartedAt.Sub(r.sessionLostAt) < arrivalTime || pollStartedAt.Sub(r.admittedAt) < arrivalTime {
			continue
		}
		if a.status.Running == 0 || r.attempt != "" && !running[r.attempt] {
			a.rec.Count("ended_requests_released")
			a.removeReservation(now, r)
		}
	}
}

// sortedReservations returns the reservations in a fixed order.
func (a *Agent) sortedReservations() []*reservation {
	list := make([]*reservation, 0, len(a.reservations))
	for _, r := range a.reservations {
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y *reservation) int {
		return cmp.Or(x.reservedAt.Compare(y.reservedAt), cmp.Compare(x.id.Request.Entry, y.id.Request.Entry),
			cmp.Compare(x.id.Request.Number, y.id.Request.Number), cmp.Compare(x.id.Attempt, y.id.Attempt))
	})
	return list
}

// Leave begins the planned stop of the target process: it refuses the waiting
// requests and all new ones. Requests at the engine continue.
func (a *Agent) Leave(now time.Time) []Action {
	a.leaving = true
	a.refuseWaiting(now, result.TargetLeaving, 0)
	return a.takeActions()
}

// Notified handles what the engine has said of itself in an answer to a poll or an
// order, and reports whether that is new. The requests that wait are refused, so that
// entries place them elsewhere.
func (a *Agent) Notified(now time.Time, n Notice) ([]Action, bool) {
	isNew := false
	if n.ExtraAnswer {
		a.rec.Count("engine_answers_extra")
		a.doubtAnswers(now)
	}
	if n.Leaving && !a.engineLeaving {
		a.engineLeaving, isNew = true, true
		a.rec.Count("engine_leaving_by_answer")
		a.refuseWaiting(now, result.TargetLeaving, 0)
	}
	if until := now.Add(n.RetryAfter); n.RetryAfter > 0 && until.After(a.pausedUntil) {
		isNew = isNew || !now.Before(a.pausedUntil)
		a.pausedUntil = until
		a.rec.Count("engine_paused_by_answer")
		a.refuseWaiting(now, result.TargetsPaused, n.RetryAfter)
	}
	isNew = a.notifiedRate(now, n) || isNew
	return a.takeActions(), isNew
}

// Tick handles timeouts and passed deadlines and starts polls.
func (a *Agent) Tick(now time.Time) []Action {
	if a.pauseDetector.DetectPause(now) {
		// During the pause the engine may have restarted, and deadlines of
		// waiting requests may have passed.
		a.needsPoll = true
		a.rec.Count("pauses")
	}
	for _, r := range a.sortedReservations() {
		if !r.sessionLostAt.IsZero() && now.Sub(r.sessionLostAt) > attachTimeout {
			a.removeReservation(now, r)
		}
	}
	if !a.pollStartedAt.IsZero() && now.Sub(a.pollStartedAt) > pollTimeout {
		a.pollStartedAt = time.Time{}
	}
	interval := IdlePollInterval
	switch {
	case len(a.status.Loading) > 0 || a.status.Busy:
		interval = LoadingPollInterval
	case a.flow.running > 0:
		interval = RunningPollInterval
	}
	if now.Sub(a.polledAt) >= interval {
		a.startPoll(now)
	}
	if a.settings != nil {
		a.refuseStarved(now)
	}
	a.advance(now)
	return a.takeActions()
}

// NextTick returns the time until the next Tick is needed.
func (a *Agent) NextTick() time.Duration {
	if len(a.status.Loading) > 0 || a.status.Busy || len(a.queue) > 0 {
		return LoadingPollInterval
	}
	if a.flow.running > 0 {
		return RunningPollInterval
	}
	return IdlePollInterval
}

// advance refuses requests past their deadline, admits those that may go to the
// engine and sends the next order.
func (a *Agent) advance(now time.Time) {
	for _, r := range slices.Clone(a.queue) {
		if !now.Before(r.deadline) {
			a.refuse(r, result.DeadlinePassed, a.flow.retryAfter(a.queue))
			a.removeReservation(now, r)
		}
	}
	a.admit(now)
	a.redirectLate(now)
	a.refuseLimited(now)
	a.sendOrder(now)
}

// unready reports whether the engine cannot serve any request now.
func (a *Agent) unready() bool { return !a.hasStatus || a.failedPolls > 0 || len(a.status.Models) == 0 }

// Running returns the number of requests at the engine.
func (a *Agent) Running() int { return a.flow.running }

// Waiting returns the number of requests that wait for admission.
func (a *Agent) Waiting() int { return len(a.queue) }

// Status returns the status of the engine from the last successful poll.
func (a *Agent) Status() EngineStatus { return a.status }
