// Package placement ranks the targets of a pool for an adapter by rendezvous
// hashing. Every entry computes the same ranks from the same names.
//
// A Ranker is immutable and may be used by any goroutine.
package placement

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Target is a target as placement sees it.
type Target struct {
	Name          string
	FailureDomain string
}

// Ranker ranks the targets of one pool.
type Ranker struct {
	targets []Target
	hashes  []uint64
}

// NewRanker prepares the targets of a pool.
func NewRanker(targets []Target) *Ranker {
	r := &Ranker{targets: targets, hashes: make([]uint64, len(targets))}
	for i, t := range targets {
		r.hashes[i] = hashOf(t.Name)
	}
	return r
}

type scored struct {
	index int
	score uint64
}

// Rank returns the n best targets for key as indexes, best first. Consecutive
// ranks lie in different failure domains while there are domains left.
func (r *Ranker) Rank(key string, n int) []int {
	keyHash := hashOf(key)
	all := make([]scored, len(r.targets))
	for i, h := range r.hashes {
		all[i] = scored{index: i, score: mix(h ^ keyHash)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.index, b.index)
	})
	return r.spread(all, min(n, len(all)))
}

// spread takes the best remaining target of an unused failure domain until
// every domain is used, then starts over.
func (r *Ranker) spread(all []scored, n int) []int {
	ranks := make([]int, 0, n)
	taken := make([]bool, len(all))
	used := make(map[string]bool)
	for len(ranks) < n {
		found := false
		for i, s := range all {
			domain := r.targets[s.index].FailureDomain
			if taken[i] || used[domain] {
				continue
			}
			taken[i], used[domain], found = true, true, true
			ranks = append(ranks, s.index)
			if len(ranks) == n {
				return ranks
			}
		}
		if !found {
			return ranks
		}
		clear(used)
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
