package steering

import (
	"math"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/heldprompts"
	"agatelanding.example/agatelanding/internal/decide/placement"
	"agatelanding.example/agatelanding/internal/decide/prompt"
	"agatelanding.example/agatelanding/internal/wire"
)

// Costs that are added up to compare targets, in milliseconds of expected delay.
const (
	// runningCost is the delay that each request at an engine adds, because it
	// slows the others.
	runningCost = 3.0
	// Reading a prompt of longPromptTokens or more pauses all streams of an
	// engine for about as long as callers accept. Such a prompt costs
	// longPromptRunningCost for each request at the engine, in addition to
	// runningCost.
	longPromptTokens      = 5000
	longPromptRunningCost = 25.0
	// slotWaitCost is the wait for each request above Engine.MaxRunning, the
	// number of requests that an engine runs at once.
	slotWaitCost = 100.0
	// cachedLoadCost is an adapter load from the engine's own memory.
	// storeLoadCost is added to the time of a load from the weight store,
	// because all engines share the store. It is divided by
	// 1 + storeLoadRateFactor * requests per second, because an additional
	// copy of an adapter pays off if the adapter is requested often.
	cachedLoadCost      = 45.0
	storeLoadCost       = 300.0
	storeLoadRateFactor = 3.0
	// staleReportCost is the largest cost that is added at random if the engine holds
	// the adapter and its report is a second old or older; it is proportionally less
	// for a newer one. Entries that know the same old reports would otherwise all
	// choose the same engine.
	staleReportCost = 150.0
	// positionCost is added per position of the engine in the ranking for the adapter
	// if the adapter has to be loaded from the weight store, so that all
	// entries prefer the same engine.
	positionCost = 15.0
	// otherDomainCost is added if the target is in another failure domain than
	// the entry. If the pool has manyDomainEngines or more in the entry's failure domain,
	// manyEnginesDomainCost is added instead for its engines: then one of them is free at
	// nearly any time, and each event of an answer from another domain crosses the link
	// between the two.
	otherDomainCost       = 6.0
	manyDomainEngines     = 8
	manyEnginesDomainCost = 60.0
	// directCost is added if no session with the target process is open.
	directCost = 150.0
	// serviceRunningCost is added for each of this entry's requests at a plain
	// service.
	serviceRunningCost = 30.0
	// slowCost is the delay at an engine that is temporarily slower than usual.
	slowCost = 200.0
	// failureCost is the cost of a target that fails every request.
	failureCost = 400.0
	// failureWeight is the weight of one outcome in the failure rate. The rate
	// halves in each failureHalfLife, so that the target is tried again.
	failureWeight   = 0.3
	failureHalfLife = 3 * time.Second
	// minAvoidTime and maxAvoidTime bound the time for which a target is
	// avoided after a failed connection or a missing reply of its target
	// process.
	minAvoidTime = time.Second
	maxAvoidTime = 4 * time.Second
	// minServiceLimit is the lowest limit of this entry's concurrent requests
	// at a plain service.
	minServiceLimit = 4
	// rateTimeConstant is the time constant of the exponential decay of an
	// adapter's request rate.
	rateTimeConstant = 5 * time.Second
)

// target is the entry's state of one target.
type target struct {
	*catalog.Target
	engine *catalog.Engine
	// notices holds what the incarnation has said of itself in answers.
	notices *incarnation
	// sessionOpen is true while the session with the target process is open.
	sessionOpen      bool
	sessionRequested bool
	// sessionRequestedAt is when the session was requested.
	sessionRequestedAt time.Time
	report             wire.EngineReport
	// reportedAt is when the report arrived; it is zero before the first one.
	reportedAt time.Time
	// held names the adapters that are in the slots of the engine or being
	// loaded into them, and cached those that it loads again without the weight
	// store, as MODEL/ADAPTER.
	held   map[string]bool
	cached map[string]bool
	// heldPrefixes holds the prompt prefixes that the engine holds, and entries is the
	// number of entries that know of them, as its target process has told.
	heldPrefixes heldprompts.Told
	entries      int
	// saved is the number of tokens of the request that is being placed which the engine
	// does not have to read, and savedIndex the index of its longest held prefix.
	saved      int
	savedIndex int
	// waitExceedsSaving is true if the target process has refused a request since the last
	// report because it would wait longer than a held prefix saves.
	waitExceedsSaving bool
	// reservedTokens is the number of prompt tokens in reservations since the
	// last report.
	reservedTokens int
	// stepRatio is the usual time per step of an engine as a share of the mean of its pool,
	// 1 if it is not known.
	stepRatio float64
	// granted is the number of this entry's requests at the target.
	granted int
	// failures is the failure rate at failedAt; failureRate applies the decay.
	failures float64
	failedAt time.Time
	// avoidUntil is the time until which the target is avoided after a failed
	// connection or a missing reply of its target process. timesAvoided counts
	// how often this happened since the last answer.
	avoidUntil   time.Time
	timesAvoided int
	// lastMessageAt is when the last message of the target process arrived.
	lastMessageAt time.Time
	// No permit is asked for before permitAfter, while the target names a rate and other
	// targets can take requests.
	permitAfter time.Time
	// reservations counts the reservations since the last report, and rateSentAt is when
	// its target process was last told of a rate that it did not know.
	reservations int
	rateSentAt   time.Time
}

func (s *Steering) newTarget(now time.Time, t *catalog.Target) *target {
	return &target{Target: t, notices: s.incarnationOf(now, t), stepRatio: 1, held: make(map[string]bool), cached: make(map[string]bool)}
}

// isReplaced reports whether another incarnation runs at the address. For a few
// seconds after a restart the metadata store lists the old and the new one.
func (t *target) isReplaced() bool {
	return t.StartedAtMS != 0 && t.report.StartedAtMS != 0 && t.StartedAtMS != t.report.StartedAtMS
}

// failureRate returns the share of recent requests that failed, as a decaying
// average from 0 to 1.
func (t *target) failureRate(now time.Time) float64 {
	return t.failures * math.Exp2(-now.Sub(t.failedAt).Seconds()/failureHalfLife.Seconds())
}

func (t *target) updateFailureRate(now time.Time, failed bool) {
	rate := t.failureRate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	t.failures, t.failedAt = rate, now
}

func (t *target) avoid(now time.Time) {
	t.avoidUntil = now.Add(min(minAvoidTime<<min(t.timesAvoided, 6), maxAvoidTime))
	t.timesAvoided++
}

// requestLimit is the maximum number of this entry's concurrent requests at a
// plain service.
func (t *target) requestLimit() int { return max(minServiceLimit, t.MaxRunning) }

// holds reports whether the adapter of a request is in a slot of the engine or being
// loaded into one, as far as this entry knows.
func (t *target) holds(r *Request) bool { return r.Adapter == "" || t.held[adapterName(r)] }

// engineDelay returns the expected time in milliseconds until an engine starts a
// request, or false if the request cannot go there.
func (t *target) engineDelay(r *Request) (float64, bool) {
	held := t.holds(r)
	if !t.sessionOpen && !held {
		return 0, false
	}
	if t.sessionOpen && (t.report.NotReady || t.reportedAt.IsZero()) {
		return 0, false
	}
	delay := float64(t.report.Backlog+t.reservedTokens) / prompt.PrefillTokensPerMS * t.stepRatio
	if t.report.Slow {
		delay += slowCost
	}
	if over := t.requests() + 1 - t.engine.MaxRunning; over > 0 {
		delay += slotWaitCost * float64(over)
	}
	switch {
	case held:
	case t.cached[adapterName(r)]:
		delay += cachedLoadCost
	default:
		delay += float64(t.report.PredictedLoadWaitMS)
	}
	return delay, true
}

// requests returns the number of requests at an engine, as far as this entry knows.
func (t *target) requests() int {
	if !t.sessionOpen {
		return t.granted
	}
	return t.report.Running + t.report.Waiting
}

// engineCost returns the cost of a request at an engine: its expected delay, and what
// it costs other requests. position is the place of the engine in the ranking for the
// adapter, and rate is the adapter's requests per second.
func (t *target) engineCost(now time.Time, r *Request, delay float64, position int, rate float64, domain string) float64 {
	cost, requests := delay, float64(t.requests())
	if !t.sessionOpen {
		cost += directCost
	}
	if r.PromptTokens >= longPromptTokens {
		cost += longPromptRunningCost * requests
	}
	cost += runningCost * requests * t.stepRatio
	if !t.holds(r) && !t.cached[adapterName(r)] {
		cost += storeLoadCost/(1+storeLoadRateFactor*rate) + positionCost*float64(position)
	}
	return cost + t.answerCost(now, r, delay) + t.commonCost(now, domain)
}

// commonCost returns the part of the cost that engines and services share.
func (t *target) commonCost(now time.Time, domain string) float64 {
	cost := failureCost * t.failureRate(now)
	if t.FailureDomain != domain {
		cost += otherDomainCost
	}
	return cost
}

func adapterName(r *Request) string { return r.Model + "/" + r.Adapter }

// requestRates tracks how often each adapter is requested.
type requestRates struct {
	values map[string]*requestRate
}

type requestRate struct {
	value float64
	at    time.Time
}

// pruneRatesAt is the number of tracked adapters from which, before another one is
// added, those without a request in the last rateTimeConstant are removed. More
// are tracked if all were requested since. An adapter without a tracked rate counts
// as rarely requested.
const pruneRatesAt = 4096

// read returns the requests per second for an adapter.
func (s *requestRates) read(now time.Time, name string) float64 {
	if r, ok := s.values[name]; ok {
		return r.read(now)
	}
	return 0
}

// add records a request.
func (s *requestRates) add(now time.Time, name string) {
	r, ok := s.values[name]
	if !ok {
		if len(s.values) >= pruneRatesAt {
			s.removeIdle(now)
		}
		r = &requestRate{at: now}
		s.values[name] = r
	}
	r.value = r.read(now) + 1/rateTimeConstant.Seconds()
	r.at = now
}

func (r *requestRate) read(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateTimeConstant.Seconds())
}

func (s *requestRates) removeIdle(now time.Time) {
	for name, r := range s.values {
		if now.Sub(r.at) > rateTimeConstant {
			delete(s.values, name)
		}
	}
}

// poolRanking caches the ranker of a pool until the targets of the pool change.
type poolRanking struct {
	ranker  *placement.Ranker
	members []placement.Target
	// near is the number of members in the entry's failure domain.
	near int
	// speedsAt is when the speeds of the members were last updated.
	speedsAt time.Time
}

// domainCost returns the cost of an engine of the pool in another failure domain beyond
// otherDomainCost.
func (p *poolRanking) domainCost(engine, entry string) float64 {
	if engine == entry || p.near < manyDomainEngines {
		return 0
	}
	return manyEnginesDomainCost - otherDomainCost
}

func (p *poolRanking) set(list []placement.Target) {
	if p.ranker == nil || !p.ranker.HasTargets(list) {
		p.ranker, p.members = placement.NewRanker(list), list
	}
}

// positionsFor returns the position of each target in the ranking for an adapter,
// by target ID.
func (p *poolRanking) positionsFor(name string) map[string]int {
	positions := make(map[string]int, len(p.members))
	for position, i := range p.ranker.Rank(name, len(p.members)) {
		positions[p.members[i].Name] = position
	}
	return positions
}
