package scheduler

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/placement"
	"agatelanding.example/agatelanding/internal/tables"
)

// DefaultHomeGrace is how long other processes may still follow an older pool
// list. A change is in force everywhere within 19 s.
const DefaultHomeGrace = 20 * time.Second

// maxPastLists bounds the old pool lists kept. Older ones are replaced by the
// assumption that this target was then the home of no key.
const maxPastLists = 8

// homes knows which keys have this target as their home, and since when.
type homes struct {
	self    string
	grace   time.Duration
	targets []placement.Target
	ranker  *placement.Ranker
	past    []pastList
	// floor is the time before which the home of any key is not known.
	floor time.Time
}

// pastList is a pool list that was in force until a time.
type pastList struct {
	targets []placement.Target
	ranker  *placement.Ranker
	until   time.Time
}

func newHomes(cfg Config) homes {
	h := homes{self: cfg.Name, grace: cfg.HomeGrace}
	if h.grace == 0 {
		h.grace = DefaultHomeGrace
	}
	return h
}

// set puts a pool list in force. The first list after the start of the process
// counts as a change, because the list before it is not known.
func (h *homes) set(now time.Time, pool *tables.Pool) {
	targets := tables.HomeTargets(pool)
	switch {
	case h.ranker == nil:
		h.raise(now.Add(h.grace))
	case slices.Equal(targets, h.targets):
		return
	default:
		h.past = append(h.past, pastList{targets: h.targets, ranker: h.ranker, until: now})
		if len(h.past) > maxPastLists {
			h.raise(h.past[0].until.Add(h.grace))
			h.past = slices.Delete(h.past, 0, 1)
		}
	}
	h.targets = targets
	h.ranker = placement.NewRanker(targets)
}

// raise forgets who was the home of any key before a time.
func (h *homes) raise(to time.Time) {
	if to.After(h.floor) {
		h.floor = to
	}
}

// owns reports whether this target is the home of key.
func (h *homes) owns(key string) bool { return homeOf(h.targets, h.ranker, key) == h.self }

// since returns the time since when no other target executes key, if all
// processes follow a new list within the grace.
func (h *homes) since(key string) time.Time {
	for _, p := range slices.Backward(h.past) {
		if homeOf(p.targets, p.ranker, key) != h.self {
			since := p.until.Add(h.grace)
			if since.Before(h.floor) {
				return h.floor
			}
			return since
		}
	}
	return h.floor
}

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
