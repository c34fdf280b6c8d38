package scheduler

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/placement"
	"agatelanding.example/agatelanding/internal/tables"
)

// DefaultHomeGracePeriod is the longest time for which other processes may use
// an older target list. A change is in force everywhere within 19 s.
const DefaultHomeGracePeriod = 20 * time.Second

// maxPreviousLists bounds the number of previous target lists kept. For the time
// of older lists this target is assumed to have been the home of no key.
const maxPreviousLists = 8

// homes determines which idempotency keys have this target as their home, and
// since when.
type homes struct {
	self string
	// grace is Config.HomeGracePeriod.
	grace    time.Duration
	targets  []placement.Target
	ranker   *placement.Ranker
	previous []previousList
	// unknownBefore is the time before which the home of every key is unknown.
	unknownBefore time.Time
}

// previousList is a target list that was in force until a time.
type previousList struct {
	targets []placement.Target
	ranker  *placement.Ranker
	until   time.Time
}

func newHomes(cfg Config) homes {
	h := homes{self: cfg.Name, grace: cfg.HomeGracePeriod}
	if h.grace == 0 {
		h.grace = DefaultHomeGracePeriod
	}
	return h
}

// setPool puts the target list of a pool in force. The first list after the
// start of the process counts as a change, because the list before it is unknown.
func (h *homes) setPool(now time.Time, pool *tables.Pool) {
	targets := tables.HomeTargets(pool)
	switch {
	case h.ranker == nil:
		h.forgetBefore(now.Add(h.grace))
	case slices.Equal(targets, h.targets):
		return
	default:
		h.previous = append(h.previous, previousList{targets: h.targets, ranker: h.ranker, until: now})
		if len(h.previous) > maxPreviousLists {
			h.forgetBefore(h.previous[0].until.Add(h.grace))
			h.previous = slices.Delete(h.previous, 0, 1)
		}
	}
	h.targets = targets
	h.ranker = placement.NewRanker(targets)
}

// forgetBefore makes the home of every key unknown before a time.
func (h *homes) forgetBefore(t time.Time) {
	if t.After(h.unknownBefore) {
		h.unknownBefore = t
	}
}

// isHome reports whether this target is the home of key.
func (h *homes) isHome(key string) bool { return homeOf(h.targets, h.ranker, key) == h.self }

// homeSince returns the time since which no other target executes key, provided
// that all processes use a new target list within the grace.
func (h *homes) homeSince(key string) time.Time {
	for _, p := range slices.Backward(h.previous) {
		if homeOf(p.targets, p.ranker, key) != h.self {
			since := p.until.Add(h.grace)
			if since.Before(h.unknownBefore) {
				return h.unknownBefore
			}
			return since
		}
	}
	return h.unknownBefore
}

// homeOf returns the name of the target that is the home of key, or "" without
// targets.
func homeOf(targets []placement.Target, ranker *placement.Ranker, key string) string {
	if ranker == nil {
		return ""
	}
	ranks := ranker.Rank(key, 1)
	if len(ranks) == 0 {
		return ""
	}
	return targets[ranks[0]].Name
}
