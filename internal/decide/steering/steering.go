package steering

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/heldprompts"
	"agatelanding.example/agatelanding/internal/decide/placement"
	"agatelanding.example/agatelanding/internal/decide/serviceshare"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// replyTimeout is how long a reservation may stay unanswered before the
	// target process can count as silent. A target process replies at once
	// with a refusal or later with an admission. While the request is queued
	// there, only the messages of the target process show that it runs.
	replyTimeout = 700 * time.Millisecond
	// livenessTimeout is how long after its last message a target process
	// counts as running.
	livenessTimeout = 600 * time.Millisecond
	// maxRedirects is the number of engines that may refuse a request because its
	// first event would be late there.
	maxRedirects = 2
	// minRedirectBudget is how much of the time to the first event an alternative
	// engine must be expected to leave.
	minRedirectBudget = 100 * time.Millisecond
	// maxEngineAttempts is the maximum number of engines that are tried for one
	// request.
	maxEngineAttempts = 4
	// minRetryAfter is the shortest retry delay in a refusal.
	minRetryAfter = 150 * time.Millisecond
)

type requestState uint8

const (
	// queued requests wait in Steering.queue for a plain service below its
	// request limit, or in Steering.awaitingEngine for an engine.
	queued requestState = iota
	// reserving requests are being placed or wait for the reply of a target
	// process.
	reserving
	// awaitingPermit requests wait for a permit to be sent to a target that names a rate.
	awaitingPermit
	// granted requests have been assigned to their target.
	granted
)

// request is an open request.
type request struct {
	Request
	state  requestState
	target *target
	// requestedAt is when Acquire was called, attempts the number of engines that
	// were selected, and selectedAt when the last one was.
	requestedAt time.Time
	attempts    int
	selectedAt  time.Time
	// isService is true if the pool is that of a plain service, whose target was granted at
	// grantedAt. mayReturn is true if it may go to a target in RejectedBy. mayLapse is true once the request has waited although it was expected to
	// start before its deadline.
	isService bool
	mayReturn bool
	grantedAt time.Time
	mayLapse  bool
	// firstEvent is true once the target has sent the first event.
	firstEvent bool
	// direct is true if the request is granted without a reservation, as
	// Grant.Unreserved reports.
	direct bool
	// running, backlog, age and held are copied to the Grant.
	running int
	backlog int
	age     time.Duration
	held    bool
	// prefixes holds the prefixes of the prompt if the engine's prompt memory is known,
	// heldTokens what the selected engine is expected to hold, and relied is true if it
	// would not have been selected without and another one may serve the request on time.
	prefixes   []wire.PromptPrefix
	heldTokens int
	relied     bool

	retryAfter time.Duration
	code       result.Code
	// mayWait is true if the last ask for a permit may wait until the deadline, and
	// refusedPermits holds the targets where such an ask was refused.
	mayWait        bool
	refusedPermits []string
}

// Steering selects a target for each request of one entry.
type Steering struct {
	cfg     Config
	rec     Recorder
	view    *catalog.View
	targets map[string]*target
	// incarnations holds the notices of the incarnations of targets.
	incarnations map[incarnationKey]*incarnation
	// unsentLimits holds the incarnations whose rate has to be passed on.
	unsentLimits []incarnationKey
	rankings     map[string]*poolRanking
	rates        requestRates
	requests     map[uint64]*request
	// prefixDemand holds how often prompt prefixes are requested at this entry.
	prefixDemand heldprompts.Demand
	// queue holds the requests that wait for a plain service, in the order of serviceOrder
	// at the time of the last serveQueue. shares bounds the requests at plain services, and
	// nextService is when a share allows a further one, zero if none does by itself.
	queue       []*request
	shares      *serviceshare.Fleet
	nextService time.Time
	// awaitingEngine holds the requests that wait for the first report of a
	// target process or for an engine to become ready.
	awaitingEngine []*request
	actions        []Action
}

// New returns a Steering without targets.
func New(cfg Config, rec Recorder) *Steering {
	s := &Steering{
		cfg: cfg, rec: rec, targets: make(map[string]*target), incarnations: make(map[incarnationKey]*incarnation), rankings: make(map[string]*poolRanking),
		rates: requestRates{values: make(map[string]*requestRate)}, requests: make(map[uint64]*request), shares: serviceshare.New(cfg.Address),
	}
	s.shares.BindTime = cfg.ShareBindTime
	return s
}

// takeActions returns the collected actions and clears them.
func (s *Steering) takeActions() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

func (s *Steering) emit(a Action) { s.actions = append(s.actions, a) }

// attemptID returns the ID of a reservation. The attempt number is always 1: a
// request is reserved at most once at each target process, and replies are matched
// by the target as well (findReserving).
func (s *Steering) attemptID(r *request) wire.AttemptID {
	return wire.AttemptID{
		Request: wire.RequestID{Entry: s.cfg.Entry, Incarnation: s.cfg.Incarnation, Number: r.Number}, Attempt: 1,
	}
}

// InFlight returns the number of open requests.
func (s *Steering) InFlight() int { return len(s.requests) }

// random returns a number in [0, 1).
func (s *Steering) random() float64 {
	if s.cfg.Random == nil {
		return 0
	}
	return s.cfg.Random()
}

// SetView applies a view of the configuration, the targets and the adapter
// versions in the metadata store.
func (s *Steering) SetView(now time.Time, v *catalog.View) []Action {
	s.view = v
	var leaving []*target
	for _, id := range slices.Sorted(maps.Keys(v.Targets)) {
		t := v.Targets[id]
		current, ok := s.targets[id]
		switch {
		case !ok:
			s.targets[id] = s.newTarget(now, t)
		case current.Address != t.Address || current.StartedAtMS != t.StartedAtMS:
			// A new incarnation holds none of the previous one's adapters
			// or requests.
			s.disconnect(current)
			s.replace(now, current, s.newTarget(now, t))
		default:
			if t.Draining && !current.Draining {
				leaving = append(leaving, current)
			}
			current.Target = t
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		if _, ok := v.Targets[id]; !ok {
			s.remove(now, s.targets[id])
		}
	}
	s.pruneIncarnations(now)
	s.shares.KeepPools(func(name string) bool { return len(v.Pools[name]) > 0 })
	if v.Config == nil {
		return s.takeActions()
	}
	s.setRankings(v)
	s.connectEngines(now, v)
	s.rerouteUnadmitted(now, leaving)
	s.placeAwaitingPermit(now)
	s.serveQueue(now)
	return s.takeActions()
}

func (s *Steering) setRankings(v *catalog.View) {
	for name, list := range v.Pools {
		p, ok := s.rankings[name]
		if !ok {
			p = &poolRanking{}
			s.rankings[name] = p
		}
		members := make([]placement.Target, 0, len(list))
		for _, t := range list {
			members = append(members, placement.Target{Name: t.ID, FailureDomain: t.FailureDomain})
		}
		p.set(members)
		p.near = 0
		for _, t := range list {
			if t.FailureDomain == s.cfg.FailureDomain {
				p.near++
			}
		}
	}
}

// connectEngines requests a session with the target process of each engine and
// sends changed engine settings over open sessions.
func (s *Steering) connectEngines(now time.Time, v *catalog.View) {
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[id]
		pool, ok := v.Config.Pools[t.Pool]
		if !ok || pool.Engine == nil {
			t.engine = nil
			continue
		}
		changed := t.engine != pool.Engine
		t.engine = pool.Engine
		if !t.sessionRequested {
			t.sessionRequested, t.sessionRequestedAt = true, now
			s.emit(Connect{Target: t.Target})
		} else if changed && t.sessionOpen {
			s.sendEngineSettings(now, t)
		}
	}
}

func (s *Steering) sendEngineSettings(now time.Time, t *target) {
	row := &wire.EngineSettings{
		Revision: uint64(s.view.Config.Version), MaxRunning: t.engine.MaxRunning, TokensPerEvent: t.engine.TokensPerEvent, MemoryMB: t.engine.MemoryMB,
		Instance: t.ID, StartedAtMS: t.StartedAtMS, RateLimit: t.notices.limit.Message(now), TakesChanges: true,
	}
	for _, m := range t.engine.Models {
		row.Models = append(row.Models, wire.EngineModel{Name: m.Name, WeightsMB: m.WeightsMB, Adapters: t.engine.Capacity(m)})
	}
	s.emit(Send{Target: t.ID, Message: row})
}

func (s *Steering) disconnect(t *target) {
	if t.sessionRequested {
		t.sessionRequested, t.sessionOpen = false, false
		s.emit(Disconnect{Target: t.ID})
	}
}

// replace installs the new incarnation of a target that keeps its ID.
func (s *Steering) replace(now time.Time, old, next *target) {
	s.targets[old.ID] = next
	s.reroute(now, old)
}

// remove drops a target that is no longer listed. Granted requests continue
// there until Done.
func (s *Steering) remove(now time.Time, t *target) {
	s.disconnect(t)
	delete(s.targets, t.ID)
	s.reroute(now, t)
}

// reroute tries other targets for the requests that wait for a reply of this
// target process.
func (s *Steering) reroute(now time.Time, t *target) {
	for _, r := range s.waitingAt(t) {
		s.rec.Retried(result.SessionLost)
		s.retryElsewhere(now, r, result.SessionLost)
	}
}

// rerouteUnadmitted tries other targets for the requests that wait for admission at
// targets which take no new requests any more, or for a time. Otherwise they could
// be admitted after the target has stopped taking requests.
func (s *Steering) rerouteUnadmitted(now time.Time, leaving []*target) {
	for _, t := range leaving {
		for _, r := range s.waitingAt(t) {
			s.sendToTargetProcess(r, &wire.Release{ID: s.attemptID(r)})
			s.rec.Retried(result.TargetLeaving)
			s.retryElsewhere(now, r, result.TargetLeaving)
		}
	}
}

// waitingAt returns the requests that wait for a reply of this target process.
func (s *Steering) waitingAt(t *target) []*request {
	return slices.DeleteFunc(s.openRequests(), func(r *request) bool { return r.state != reserving || r.target != t })
}

// openRequests returns the open requests in the order of their numbers.
func (s *Steering) openRequests() []*request {
	return slices.SortedFunc(maps.Values(s.requests), func(a, b *request) int { return cmp.Compare(a.Number, b.Number) })
}

// Acquire requests a target. The result is a Granted or Refused action, at once
// or later.
func (s *Steering) Acquire(now time.Time, req Request) []Action {
	r := &request{Request: req, requestedAt: now, state: reserving}
	s.requests[r.Number] = r
	s.place(now, r)
	return s.takeActions()
}

func (s *Steering) place(now time.Time, r *request) {
	if s.view == nil || s.view.Config == nil {
		s.refuse(r, result.NoConfiguration, minRetryAfter)
		return
	}
	pool, ok := s.view.Config.Pools[r.Pool]
	r.isService = false
	switch {
	case !ok || len(s.view.Pools[r.Pool]) == 0:
		s.refuse(r, result.NoTarget, minRetryAfter)
	case pool.Engine != nil:
		s.reserveBestEngine(now, r)
	default:
		s.placeAtService(now, r)
	}
}

func (s *Steering) refuse(r *request, code result.Code, after time.Duration) {
	s.refuseAfter(r, code, max(after, minRetryAfter))
}

// refuseAfter refuses a request with a retry delay that may be below minRetryAfter.
func (s *Steering) refuseAfter(r *request, code result.Code, after time.Duration) {
	if r.SoftwareVersion != nil && code == result.NoTarget {
		code = result.StreamVersionGone
	}
	delete(s.requests, r.Number)
	countRefusedForRate(r, code)
	s.emit(Refused{Number: r.Number, Code: code, RetryAfter: after})
}

// candidate is a target that may get a request, with its cost and the expected delay
// until it starts the request, in milliseconds.
type candidate struct {
	t     *target
	cost  float64
	delay float64
}

// isUsable reports whether the request may go to the target now, regardless of its
// load.
func (s *Steering) isUsable(now time.Time, t *target, r *request) bool {
	return t.accepts(now) && s.isEligible(t, r)
}

// isEligible reports whether the request may go to the target once that accepts
// requests.
func (s *Steering) isEligible(t *target, r *request) bool {
	return !t.isReplaced() && (!slices.Contains(r.ExcludedTargets, t.ID) || r.mayReturn && slices.Contains(r.RejectedBy, t.ID)) && (r.OnlyTarget == "" || r.OnlyTarget == t.ID) &&
		(r.SoftwareVersion == nil || *r.SoftwareVersion == t.SoftwareVersion)
}

// best returns the candidate with the lowest cost, or nil, and the shortest delay of
// the others, infinite if there is none. Targets before their avoidUntil and those that the
// request should avoid are used only if there is no other.
func (s *Steering) best(now time.Time, r *request, evaluate func(t *target) (candidate, bool)) (*candidate, float64) {
	var found, avoided *candidate
	otherDelay := math.Inf(1)
	for _, listed := range s.view.Pools[r.Pool] {
		t, ok := s.targets[listed.ID]
		if !ok || !s.isUsable(now, t, r) {
			continue
		}
		c, ok := evaluate(t)
		switch {
		case !ok:
		case now.Before(t.avoidUntil) || slices.Contains(r.AvoidedTargets, t.ID):
			if avoided == nil || c.cost < avoided.cost {
				avoided = &c
			}
		case found == nil:
			found = &c
		case c.cost < found.cost:
			otherDelay = min(otherDelay, found.delay)
			found = &c
		default:
			otherDelay = min(otherDelay, c.delay)
		}
	}
	if found == nil {
		return avoided, otherDelay
	}
	return found, otherDelay
}

// reserveBestEngine reserves admission at the target process of the engine with
// the lowest cost.
func (s *Steering) reserveBestEngine(now time.Time, r *request) {
	rate, positions := 0.0, map[string]int(nil)
	if r.Adapter != "" {
		name := adapterName(&r.Request)
		if r.state != queued {
			s.rates.add(now, name)
		}
		rate = s.rates.read(now, name)
		positions = s.rankings[r.Pool].positionsFor(name)
	}
	ranking := s.rankings[r.Pool]
	saving := s.savingOf(now, r)
	best, otherDelay := s.best(now, r, func(t *target) (candidate, bool) {
		if t.engine == nil {
			return candidate{}, false
		}
		delay, ok := t.engineDelay(&r.Request)
		wait := t.rateWait(now)
		if !ok || now.Add(wait).After(r.Deadline) || t.needsPermit() && !t.mayAsk(now, r) {
			return candidate{}, false
		}
		delay += millis(wait)
		cost := t.engineCost(now, &r.Request, delay, positions[t.ID], rate, s.cfg.FailureDomain) + ranking.domainCost(t.FailureDomain, s.cfg.FailureDomain)
		if t.holds(&r.Request) {
			cost += staleReportCost * min(1, now.Sub(t.reportedAt).Seconds()) * s.random()
		}
		return candidate{t: t, cost: saving.apply(now, t, cost), delay: delay}, true
	})
	if best == nil && s.mayBecomeAvailable(now, r) {
		r.state = queued
		s.awaitingEngine = append(s.awaitingEngine, r)
		return
	}
	switch {
	case best == nil:
		code, after := s.refusalFor(now, r)
		s.refuse(r, code, after)
		return
	case r.attempts >= maxEngineAttempts:
		s.refuse(r, r.codeOr(result.NoTarget), r.retryAfter)
		return
	}
	redirect := r.attempts < maxRedirects && otherDelay < millis(r.FirstEventDue.Sub(now)-minRedirectBudget)
	r.relied = saving.decided(best.t)
	if best.t.needsPermit() {
		s.askPermit(now, r, best.t, false)
		return
	}
	s.reserveAt(now, r, best.t, redirect)
}

// reserveAt reserves admission at the target process of an engine, or grants the engine
// at once if no session is open. redirect is true if another engine is expected to serve
// the request on time.
func (s *Steering) reserveAt(now time.Time, r *request, t *target, redirect bool) {
	r.target, r.selectedAt = t, now
	r.running, r.backlog, r.age = t.report.Running, t.report.Backlog, now.Sub(t.reportedAt)
	r.held = t.held[adapterName(&r.Request)]
	r.relied = r.relied && redirect
	r.heldTokens, _ = t.heldPrefixes.Saved(r.prefixes, r.PromptTokens)
	r.attempts++
	if !t.sessionOpen {
		s.rec.Count("direct_grants")
		r.direct = true
		s.grant(r, 0)
		return
	}
	r.state = reserving
	// What the engine holds is an assumption until the next report, so that the whole
	// prompt counts.
	t.reservedTokens += r.PromptTokens
	t.reservations++
	s.emit(Send{Target: t.ID, Message: &wire.Reserve{
		ID: s.attemptID(r), Pool: r.Pool, Model: r.Model, Adapter: r.Adapter, Version: s.announcedVersion(r),
		BudgetMS: max(0, r.Deadline.Sub(now).Milliseconds()), PromptTokens: r.PromptTokens, Priority: r.Priority,
		Repeatable: true, Instance: t.ID, FirstEventBudgetMS: max(0, r.FirstEventDue.Sub(now).Milliseconds()), Redirect: redirect,
		CallerAttempt: r.AttemptID, Prefixes: r.prefixes, ExpectedHeld: r.expectedHeld(),
	}})
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (r *request) codeOr(code result.Code) result.Code {
	if r.code != result.OK {
		return r.code
	}
	return code
}

func (s *Steering) announcedVersion(r *request) string {
	v := s.view.Versions[catalog.AdapterKey{Model: r.Model, Adapter: r.Adapter}]
	if v == 0 {
		return ""
	}
	return strconv.Itoa(v)
}

func (s *Steering) grant(r *request, version int) {
	r.state = granted
	r.target.granted++
	if version == 0 && r.direct {
		version = s.view.Versions[catalog.AdapterKey{Model: r.Model, Adapter: r.Adapter}]
	}
	s.emit(Granted{Number: r.Number, Grant: Grant{
		Target: r.target.Target, Version: version, Unreserved: r.direct, RunningRequests: r.running, BacklogTokens: r.backlog, ReportAge: r.age, AdapterHeld: r.held, HeldTokens: r.heldTokens, RateLimited: r.target.notices.limit.Rate > 0,
	}})
}
