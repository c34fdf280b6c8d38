// Package placement orders the targets of a pool by preference for a placement
// key, and decides how many of the first targets in this order hold a copy of
// the adapter. A placement key stands for an adapter or for a bucket of prompt
// prefixes. The number of copies is the number of targets that hold the
// adapter, and these targets are its homes.
//
// The ranks of a key are the indexes of the targets in the order of preference.
// They come from rendezvous hashing, so every entry computes the same ranks
// from the same names.
//
// A Ranker is immutable and may be used by any goroutine. A Directory is a
// pure state machine used by one goroutine.
package placement

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// maxSelectRounds is the number of targets for each failure domain up to which
// Rank selects the best targets in one pass. For more of them it sorts all
// targets, which is needed only if most targets of a pool cannot take requests.
const maxSelectRounds = 16

// Target holds the properties of a target that determine its ranks.
type Target struct {
	Name          string
	FailureDomain string
}

// Ranker ranks the targets of one pool.
type Ranker struct {
	targets []Target
	hashes  []uint64
	// domains holds the index of each target's failure domain, and sizes the
	// number of targets in each failure domain.
	domains []int
	sizes   []int
}

// NewRanker returns a ranker for the targets of a pool.
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

// HasTargets reports whether targets has the same targets, so that the ranks
// are the same.
func (r *Ranker) HasTargets(targets []Target) bool { return slices.Equal(r.targets, targets) }

// scored is a target, by its index, with its score for a key.
type scored struct {
	index int
	score uint64
}

// compare orders by score, highest first. Equal scores are ordered by index,
// so that the order is total.
func compare(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
}

// Rank returns the indexes of the n best targets for key, best first. It works
// in rounds: round k takes the k-th best target of each failure domain, in the
// order of their scores. The targets of one round are in different failure
// domains.
func (r *Ranker) Rank(key string, n int) []int {
	n = min(n, len(r.targets))
	if n <= 0 {
		return nil
	}
	rounds := r.rounds(n)
	if rounds > maxSelectRounds {
		return r.collect(r.sorted(hashOf(key)), rounds, n)
	}
	return r.collect(r.selected(hashOf(key), rounds), rounds, n)
}

// rounds returns how many rounds over the failure domains yield n targets.
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

// selected returns the depth best targets of each failure domain, best first,
// in one pass over the targets.
func (r *Ranker) selected(keyHash uint64, depth int) [][]scored {
	best := make([][]scored, len(r.sizes))
	buffer := make([]scored, len(r.sizes)*depth)
	for domain := range best {
		best[domain] = buffer[domain*depth : domain*depth : (domain+1)*depth]
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

// collect merges the lists of the failure domains into the ranks of the n best
// targets.
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

// mix is the finalizer of MurmurHash3. FNV alone gives similar names similar
// hashes.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
