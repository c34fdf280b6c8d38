// Package picker chooses one target for an attempt in three stages: filter,
// score, pick. It also holds the observations that the stages use: load,
// latency, stragglers, and hints of what a target has cached.
//
// Placement orders the targets of a pool by preference for each adapter. The
// first of them are the homes of the adapter, which hold its copies. A
// straggler is a target that is much slower than the median of its pool. An
// ejected target is a straggler that requests avoid if they can.
//
// All types are pure state machines, each used by one goroutine.
package picker

import "math/rand"

const (
	// MaxLoadRatio is the load relative to the pool's mean above which a
	// target is overloaded and requests go to another target.
	MaxLoadRatio = 1.25
	// minOverloadLimitShare is the share of its MaxRunning up to which a target is
	// not overloaded, in a pool with a mean load of at least one request. One
	// more request in a running batch slows the batch by a few percent. At
	// another target the request would cost an adapter load from the weight
	// store, which starts few loads a second.
	minOverloadLimitShare = 0.5
	// minOverloadRequests is the load up to which a target is never
	// overloaded. With a mean load below one request, the weight store has
	// capacity for additional loads, and a low bound balances the pool.
	minOverloadRequests = 0.7
	// Weights of the recent mean against the current load. The current load of
	// a lightly loaded target is mostly noise, so the overload bound uses
	// mainly the recent mean. So does the choice of a target that has to load
	// the adapter, because that choice lasts as long as the adapter stays
	// loaded there. Between targets that hold the adapter, the current load
	// counts as much.
	recentWeightOverload = 0.8
	recentWeightAbsent   = 0.9
	recentWeightResident = 0.5
	// absentCostRequests is the cost of an absent adapter in requests: an
	// adapter load takes about as long as two more requests in a running
	// batch.
	absentCostRequests = 2.0
	// skewCostRequests is the cost in requests of a target with twice the
	// mean number of recent attempts of this entry. maxSentRatio bounds the
	// ratio to the mean that counts. Below a mean of minMeanSent attempts the
	// ratio is noise and is ignored.
	skewCostRequests = 0.5
	maxSentRatio     = 3.0
	minMeanSent      = 3.0
	// similarScoreRatio is the ratio of scores up to which two candidates are
	// about equal, so that a cached prefix decides.
	similarScoreRatio = 1.15
	// minSlowStartShare is the least share of its usual load that a restarted
	// target gets.
	minSlowStartShare = 0.1
)

// Candidate is a target as the entry sees it at the time of the choice.
type Candidate struct {
	Name string
	// Home is true if the target is one of the adapter's homes. For a request
	// without an adapter it is true for every candidate.
	Home bool
	// Usable is true if the target may take the request: it takes new
	// requests and has a session, or one may be opened.
	Usable bool
	// Ejected is true if the request should avoid the target because it is a
	// straggler. It is picked only if no candidate is left otherwise.
	Ejected bool
	// Unresponsive is true if the target is unresponsive: it left a message
	// unanswered a short time ago.
	Unresponsive bool
	// Tried is true if an earlier attempt of the request went there.
	Tried bool
	// Load is the estimated number of requests at the target, and RecentLoad
	// its mean over the last seconds.
	Load       float64
	RecentLoad float64
	// RecentAttempts is the decaying count of the recent attempts of this entry at
	// the target.
	RecentAttempts float64
	// MaxRunning is the number of requests that the target runs at once.
	MaxRunning int
	// LatencyRatio is the target's first-token latency relative to the median
	// of its pool; values below 1 count as 1.
	LatencyRatio float64
	// SlowStartShare is the share of its usual load that the target gets. After a
	// restart it grows to 1 during the slow start.
	SlowStartShare float64
	// Resident is true if the adapter is assumed to be loaded there.
	Resident bool
	// PrefixHit is true if the prompt prefix is assumed to be cached there.
	PrefixHit bool
}

// blend returns the weighted mean of RecentLoad and Load; weight is that of
// RecentLoad.
func (c *Candidate) blend(weight float64) float64 { return weight*c.RecentLoad + (1-weight)*c.Load }

// PoolMeans holds the means over the pool that a choice depends on.
type PoolMeans struct {
	// Load is the mean number of requests at a target of the pool.
	Load float64
	// RecentAttempts is the mean of Candidate.RecentAttempts over the targets
	// of the pool.
	RecentAttempts float64
}

// Strategy selects how a target is picked.
type Strategy uint8

const (
	// Affinity prefers homes that hold the adapter and are not overloaded.
	Affinity Strategy = iota
	// Random picks any usable target. It is for comparison in experiments
	// only.
	Random
)

// Filter decides whether a candidate may be picked.
type Filter interface {
	Keep(c *Candidate) bool
}

// Scorer returns the expected cost of a candidate; lower is better.
type Scorer interface {
	Score(r *PoolMeans, c *Candidate) float64
}

// Selector picks one of the candidates that passed the filters. list holds
// their indexes in candidates, with the most preferred target first, and is
// never empty.
type Selector interface {
	Select(r *PoolMeans, candidates []Candidate, list []int) int
}

// Picker runs the stages.
type Picker struct {
	// Hard filters always apply. A soft filter is skipped if it would leave
	// no candidate: a target that may be slow is better than none.
	hard, soft []Filter
	selector   Selector
	// list and next are the buffers of Pick.
	list, next []int
}

// New returns a picker with a policy.
func New(policy Strategy, rng *rand.Rand) *Picker {
	p := &Picker{hard: []Filter{usable{}, untried{}}}
	if policy == Random {
		p.selector = randomTarget{rng: rng}
		return p
	}
	p.soft = []Filter{responsive{}, notEjected{}}
	p.selector = affinity{scorer: costScore{}}
	return p
}

// Pick returns the index of the chosen candidate, or false if no candidate
// passes the hard filters. Candidates are in the order of preference of
// placement.
func (p *Picker) Pick(r *PoolMeans, candidates []Candidate) (int, bool) {
	p.list = p.list[:0]
	for i := range candidates {
		if keepAll(p.hard, &candidates[i]) {
			p.list = append(p.list, i)
		}
	}
	for _, f := range p.soft {
		p.next = p.next[:0]
		for _, i := range p.list {
			if f.Keep(&candidates[i]) {
				p.next = append(p.next, i)
			}
		}
		if len(p.next) > 0 {
			p.list, p.next = p.next, p.list
		}
	}
	if len(p.list) == 0 {
		return -1, false
	}
	return p.selector.Select(r, candidates, p.list), true
}

func keepAll(filters []Filter, c *Candidate) bool {
	for _, f := range filters {
		if !f.Keep(c) {
			return false
		}
	}
	return true
}

type (
	usable     struct{}
	untried    struct{}
	responsive struct{}
	notEjected struct{}
)

func (usable) Keep(c *Candidate) bool     { return c.Usable }
func (untried) Keep(c *Candidate) bool    { return !c.Tried }
func (responsive) Keep(c *Candidate) bool { return !c.Unresponsive }
func (notEjected) Keep(c *Candidate) bool { return !c.Ejected }

// costScore is the expected load of a target with the request, relative to its
// limit and corrected for slowness and slow start.
type costScore struct{}

func (costScore) Score(r *PoolMeans, c *Candidate) float64 {
	load := c.blend(recentWeightResident) + 1
	if !c.Resident {
		load = c.blend(recentWeightAbsent) + 1 + absentCostRequests
	}
	load += skewCostRequests * r.sentExcess(c)
	return load / float64(max(c.MaxRunning, 1)) * max(c.LatencyRatio, 1) / max(c.SlowStartShare, minSlowStartShare)
}

// sentExcess returns how far the number of recent attempts at a target is above
// the mean, relative to the mean. In a lightly loaded pool only this number
// shows which of two copies of an adapter gets more requests.
func (r *PoolMeans) sentExcess(c *Candidate) float64 {
	if r.RecentAttempts < minMeanSent {
		return 0
	}
	return min(c.RecentAttempts/r.RecentAttempts, maxSentRatio) - 1
}

type randomTarget struct{ rng *rand.Rand }

func (s randomTarget) Select(_ *PoolMeans, _ []Candidate, list []int) int {
	return list[s.rng.Intn(len(list))]
}

// affinity prefers the targets that hold the adapter of a request. It tries a
// list of candidate filters and picks from the candidates of the first filter
// that keeps any.
type affinity struct{ scorer Scorer }

// candidateFilter reports whether a candidate is considered in a step of the
// search.
type candidateFilter func(c *Candidate) bool

func (s affinity) Select(r *PoolMeans, candidates []Candidate, list []int) int {
	notOverloaded := func(c *Candidate) bool { return !overloaded(r, c) }
	// A home is preferred even if the adapter is not known to be loaded there.
	// All entries agree on the homes. Hints about other targets may be older
	// than an eviction there and then cause a second load of the adapter.
	for _, keep := range []candidateFilter{
		func(c *Candidate) bool { return c.Home && notOverloaded(c) },
		func(c *Candidate) bool { return c.Resident && notOverloaded(c) },
	} {
		if i := s.best(r, candidates, list, keep); i >= 0 {
			return i
		}
	}
	for _, i := range list {
		if notOverloaded(&candidates[i]) {
			return i
		}
	}
	return s.best(r, candidates, list, func(*Candidate) bool { return true })
}

// best returns the index of the cheapest candidate that keep allows, or -1 if
// there is none. If the prefix is not cached there, the most preferred such
// target with a cached prefix and about the same score is returned instead.
func (s affinity) best(r *PoolMeans, candidates []Candidate, list []int, keep candidateFilter) int {
	best, lowest := -1, 0.0
	for _, i := range list {
		if !keep(&candidates[i]) {
			continue
		}
		if score := s.scorer.Score(r, &candidates[i]); best < 0 || score < lowest {
			best, lowest = i, score
		}
	}
	if best < 0 || candidates[best].PrefixHit {
		return best
	}
	for _, i := range list {
		c := &candidates[i]
		if c.PrefixHit && keep(c) && s.scorer.Score(r, c) <= lowest*similarScoreRatio {
			return i
		}
	}
	return best
}

// overloaded reports whether the load of a target is above the overload bound.
func overloaded(r *PoolMeans, c *Candidate) bool {
	bound := max(r.Load*MaxLoadRatio, minOverloadRequests)
	if r.Load >= 1 {
		bound = max(bound, float64(c.MaxRunning)*minOverloadLimitShare)
	}
	return c.blend(recentWeightOverload)/max(c.SlowStartShare, minSlowStartShare) > bound
}
