// Package placement ranks the targets of a pool for an adapter by rendezvous
// hashing and decides how many of the first ranks hold a copy. Every entry
// computes the same ranks from the same names.
//
// A Ranker is immutable and may be used by any goroutine. A Directory is a
// pure state machine used by one goroutine.
package placement

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// maxRounds is the depth per failure domain up to which Rank selects in one
// pass. Deeper requests sort all targets; only a pool in which most targets
// are unusable asks for them.
const maxRounds = 16

// Target is a target as placement sees it.
type Target struct {
	Name          string
	FailureDomain string
}

// Ranker ranks the targets of one pool.
type Ranker struct {
	targets []Target
	hashes  []uint64
	// domains holds the number of each target's failure domain, and sizes
	// the number of targets in each.
	domains []int
	sizes   []int
}

// NewRanker prepares the targets of a pool.
func NewRanker(targets []Target) *Ranker {
	r := &Ranker{targets: targets, hashes: make([]uint64, len(targets)), domains: make([]int, len(targets))}
	numbers := make(map[string]int)
	for i, t := range targets {
		r.hashes[i] = hashOf(t.Name)
		number, ok := numbers[t.FailureDomain]
		if !ok {
			number = len(r.sizes)
			numbers[t.FailureDomain] = number
			r.sizes = append(r.sizes, 0)
		}
		r.domains[i] = number
		r.sizes[number]++
	}
	return r
}

// Len returns the number of targets.
func (r *Ranker) Len() int { return len(r.targets) }

// Same reports whether the ranks over targets would be the same.
func (r *Ranker) Same(targets []Target) bool { return slices.Equal(r.targets, targets) }

type scored struct {
	index int
	score uint64
}

// compare orders by score, highest first. Equal scores are ordered by index,
// so that the order is total.
func compare(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
}

// Rank returns the n best targets for key as indexes, best first. Consecutive
// ranks lie in different failure domains while there are domains left: round
// k takes the k-th best target of each domain, in the order of their scores.
func (r *Ranker) Rank(key string, n int) []int {
	n = min(n, len(r.targets))
	if n <= 0 {
		return nil
	}
	rounds := r.rounds(n)
	if rounds > maxRounds {
		return r.collect(r.sorted(hashOf(key)), rounds, n)
	}
	return r.collect(r.selected(hashOf(key), rounds), rounds, n)
}

// rounds returns how many rounds over the failure domains give n ranks.
func (r *Ranker) rounds(n int) int {
	for round := 1; ; round++ {
		total := 0
		for _, size := range r.sizes {
			total += min(size, round)
		}
		if total >= n {
			return round
		}
	}
}

// selected returns the best targets of each failure domain, best first, in
// one pass over the targets.
func (r *Ranker) selected(keyHash uint64, depth int) [][]scored {
	best := make([][]scored, len(r.sizes))
	room := make([]scored, len(r.sizes)*depth)
	for domain := range best {
		best[domain] = room[domain*depth : domain*depth : (domain+1)*depth]
	}
	for i, h := range r.hashes {
		candidate := scored{index: i, score: mix(h ^ keyHash)}
		list := best[r.domains[i]]
		if len(list) < depth {
			list = append(list, candidate)
		} else if compare(candidate, list[depth-1]) < 0 {
			list[depth-1] = candidate
		} else {
			continue
		}
		for at := len(list) - 1; at > 0 && compare(list[at], list[at-1]) < 0; at-- {
			list[at], list[at-1] = list[at-1], list[at]
		}
		best[r.domains[i]] = list
	}
	return best
}

// sorted returns all targets of each failure domain, best first.
func (r *Ranker) sorted(keyHash uint64) [][]scored {
	best := make([][]scored, len(r.sizes))
	for i, h := range r.hashes {
		domain := r.domains[i]
		best[domain] = append(best[domain], scored{index: i, score: mix(h ^ keyHash)})
	}
	for _, list := range best {
		slices.SortFunc(list, compare)
	}
	return best
}

func (r *Ranker) collect(best [][]scored, rounds, n int) []int {
	ranks := make([]int, 0, n)
	row := make([]scored, 0, len(best))
	for round := range rounds {
		row = row[:0]
		for _, list := range best {
			if round < len(list) {
				row = append(row, list[round])
			}
		}
		slices.SortFunc(row, compare)
		for _, s := range row {
			if len(ranks) == n {
				return ranks
			}
			ranks = append(ranks, s.index)
		}
	}
	return ranks
}

func hashOf(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return mix(h.Sum64())
}

// mix is the finalizer of MurmurHash3; FNV alone leaves similar names close.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
