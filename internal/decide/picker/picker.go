// Package picker chooses one target for an attempt in three stages: filter,
// score, pick. It also holds the observations that the stages use: load,
// latency, stragglers and hints of what a target has cached.
//
// All types are pure state machines used by one goroutine.
package picker

import "math/rand"

const (
	// OverloadRatio is the load of a home relative to the pool's mean above
	// which requests spill to the next rank.
	OverloadRatio = 1.25
	// overloadShare is the share of a target's limit below which it is never
	// overloaded. A request more in a running batch costs a few percent of
	// its pace, while a spill costs a load of the scarce weight store.
	overloadShare = 0.5
	// minOverload is the load up to which a target is never overloaded. Below
	// a mean of one request the store has loads to spare, and a tight bound
	// balances the pool: in trials with 12 targets and answers of 0.7 s, 2.0
	// left the busiest target at 1.8 times the mean, 0.7 at 1.28.
	minOverload = 0.7
	// The shares of the recent mean in the load that is compared. The
	// current load of a lightly loaded target is mostly chance, so the
	// bound and the choice for an absent adapter, which has its effect for
	// as long as the adapter stays, go by the recent mean. Between holders
	// of an adapter the current load matters as much.
	recentBound    = 0.8
	recentAbsent   = 0.9
	recentResident = 0.5
	// loadPenalty is the cost of an absent adapter in requests: an adapter
	// load takes about as long as two further requests in a running batch.
	loadPenalty = 2.0
	// shareCost is the cost in requests of a target with twice the mean share
	// of the recent requests; maxShare bounds the share that counts, minSent
	// is the mean number of requests below which shares are chance.
	shareCost = 0.5
	maxShare  = 3.0
	minSent   = 3.0
	// equalRatio is the difference in score below which two candidates are
	// about equal, so that a cached prefix decides.
	equalRatio = 1.15
	// minWarmth bounds the effect of a slow start.
	minWarmth = 0.1
)

// Candidate is a target as the entry sees it at the time of the choice.
type Candidate struct {
	Name string
	// Home tells whether the target is one of the adapter's homes.
	Home bool
	// Usable is false for a target that takes no new work.
	Usable bool
	// Ejected is true while the target is treated as a straggler.
	Ejected bool
	// Silent is true while the target does not answer what it was asked.
	Silent bool
	// Tried is true if an earlier attempt of the request went there.
	Tried bool
	// Load is the estimated number of requests at the target, and Recent
	// its mean over the last seconds.
	Load   float64
	Recent float64
	// Sent is the number of requests that the entry sent there lately.
	Sent float64
	// Limit is the number of requests that the target runs at once.
	Limit int
	// Slowness is the target's first-token latency relative to the median
	// of its pool; values below 1 count as 1.
	Slowness float64
	// Warmth grows from 0 to 1 after a restart.
	Warmth float64
	// Resident tells whether the adapter is believed to be loaded there.
	Resident bool
	// PrefixHit tells whether the prompt prefix is believed to be cached.
	PrefixHit bool
}

// blend is the load with a share of the recent mean.
func (c *Candidate) blend(recent float64) float64 { return recent*c.Recent + (1-recent)*c.Load }

// Request is what a choice depends on besides the candidates.
type Request struct {
	// MeanLoad is the mean number of requests at a target of the pool.
	MeanLoad float64
	// MeanSent is the mean of the candidates' Sent over the pool.
	MeanSent float64
}

// Policy selects how a target is picked.
type Policy uint8

const (
	// Affinity prefers homes that hold the adapter and are not overloaded.
	Affinity Policy = iota
	// Random picks any usable target. It is the naive policy that
	// measurements compare with.
	Random
)

// Filter decides whether a candidate may be picked.
type Filter interface {
	Keep(c *Candidate) bool
}

// Scorer returns the expected cost of a candidate; lower is better.
type Scorer interface {
	Score(r *Request, c *Candidate) float64
}

// Selector picks one of the candidates that passed the filters. List holds
// indexes into candidates in the order of ranks and is never empty.
type Selector interface {
	Select(r *Request, candidates []Candidate, list []int) int
}

// Picker runs the stages.
type Picker struct {
	// hard filters always apply; soft filters only while a candidate is
	// left, so that a pool is never emptied by suspicion.
	hard, soft []Filter
	selector   Selector
	list, next []int
}

// New returns a picker with a policy.
func New(policy Policy, rng *rand.Rand) *Picker {
	p := &Picker{hard: []Filter{usable{}, untried{}}}
	if policy == Random {
		p.selector = randomTarget{rng: rng}
		return p
	}
	p.soft = []Filter{answering{}, notEjected{}}
	p.selector = affinity{scorer: costScore{}}
	return p
}

// Pick returns the index of the chosen candidate, or false if none is usable.
// Candidates are in the order of the adapter's ranks.
func (p *Picker) Pick(r *Request, candidates []Candidate) (int, bool) {
	p.list = p.list[:0]
	for i := range candidates {
		if keep(p.hard, &candidates[i]) {
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

func keep(filters []Filter, c *Candidate) bool {
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
	answering  struct{}
	notEjected struct{}
)

func (usable) Keep(c *Candidate) bool     { return c.Usable }
func (untried) Keep(c *Candidate) bool    { return !c.Tried }
func (answering) Keep(c *Candidate) bool  { return !c.Silent }
func (notEjected) Keep(c *Candidate) bool { return !c.Ejected }

// costScore is the expected wait in units of one request's share of a target.
type costScore struct{}

func (costScore) Score(r *Request, c *Candidate) float64 {
	load := c.blend(recentResident) + 1
	if !c.Resident {
		load = c.blend(recentAbsent) + 1 + loadPenalty
	}
	load += shareCost * r.excessShare(c)
	return load / float64(max(c.Limit, 1)) * max(c.Slowness, 1) / max(c.Warmth, minWarmth)
}

// excessShare is how far a target's share of the recent requests is above the
// mean, relative to the mean. In a lightly loaded pool it is all that shows
// which of two copies carries more.
func (r *Request) excessShare(c *Candidate) float64 {
	if r.MeanSent < minSent {
		return 0
	}
	return min(c.Sent/r.MeanSent, maxShare) - 1
}

type randomTarget struct{ rng *rand.Rand }

func (s randomTarget) Select(_ *Request, _ []Candidate, list []int) int {
	return list[s.rng.Intn(len(list))]
}

// affinity keeps requests where their adapter is. It goes through tiers and
// takes the cheapest candidate of the first tier that has any.
type affinity struct{ scorer Scorer }

// tier says which candidates belong to a step of the search.
type tier func(c *Candidate) bool

func (s affinity) Select(r *Request, candidates []Candidate, list []int) int {
	calm := func(c *Candidate) bool { return !overloaded(r, c) }
	// A home goes first also when the adapter is not known to be there. The
	// homes are what all entries agree on; hints of other places are older
	// than the evictions there and cause a second load of the adapter.
	for _, t := range []tier{
		func(c *Candidate) bool { return c.Home && calm(c) },
		func(c *Candidate) bool { return c.Resident && calm(c) },
	} {
		if i := s.best(r, candidates, list, t); i >= 0 {
			return i
		}
	}
	for _, i := range list {
		if calm(&candidates[i]) {
			return i
		}
	}
	return s.best(r, candidates, list, func(*Candidate) bool { return true })
}

// best returns the cheapest member of a tier, or -1. Among those about equal
// to it, a cached prefix goes first, then the better rank.
func (s affinity) best(r *Request, candidates []Candidate, list []int, member tier) int {
	best, lowest := -1, 0.0
	for _, i := range list {
		if !member(&candidates[i]) {
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
		if c.PrefixHit && member(c) && s.scorer.Score(r, c) <= lowest*equalRatio {
			return i
		}
	}
	return best
}

// overloaded reports whether a target is above the bound on its load.
func overloaded(r *Request, c *Candidate) bool {
	bound := max(r.MeanLoad*OverloadRatio, minOverload)
	if r.MeanLoad >= 1 {
		bound = max(bound, float64(c.Limit)*overloadShare)
	}
	return c.blend(recentBound)/max(c.Warmth, minWarmth) > bound
}
