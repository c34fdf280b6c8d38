package softwareversion

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/placement"
)

// Target is a target that takes new requests, by what the published state says of it.
type Target struct {
	ID, Version string
	StartedAtMS int64
}

// name is what the ranks of a target follow from. A restart does not change it.
func (t Target) name() string { return t.ID + "\x00" + t.Version }

// Homes gives each stream a home version while its pool has several. The home is the version
// of the target that comes first for the stream's key by rendezvous hashing among those listed,
// so that versions get streams by the number of their targets, and any entry can tell the home
// from the published state alone, also when all processes have lost their memory.
type Homes struct {
	pools map[string]*members
}

// members are the targets that a pool has or had within the last Needed.
type members struct {
	list []*member
	// listed holds the members that have not gone, and all every one. ranker ranks the former,
	// allRanker the latter. versions is the number of versions among the listed ones.
	listed, all []*member
	ranker      *placement.Ranker
	allRanker   *placement.Ranker
	versions    int
}

type member struct {
	Target
	// since is when the member was first listed, without a gap up to now or goneAt, as far as
	// known. goneAt is zero for a listed member.
	since, goneAt time.Time
}

// NewHomes returns Homes without targets.
func NewHomes() *Homes { return &Homes{pools: make(map[string]*members)} }

// Update records the targets that all pools have now.
func (h *Homes) Update(now time.Time, pools map[string][]Target) {
	for name := range pools {
		if h.pools[name] == nil {
			h.pools[name] = &members{}
		}
	}
	for name, m := range h.pools {
		m.update(now, pools[name])
		if len(m.list) == 0 {
			delete(h.pools, name)
		}
	}
}

func (m *members) update(now time.Time, targets []Target) {
	m.list = slices.DeleteFunc(m.list, func(x *member) bool { return !x.goneAt.IsZero() && now.Sub(x.goneAt) >= Needed })
	for _, x := range m.list {
		if x.goneAt.IsZero() && !slices.Contains(targets, x.Target) {
			x.goneAt = now
		}
	}
	for _, t := range targets {
		i := slices.IndexFunc(m.list, func(x *member) bool { return x.Target == t })
		switch {
		case i < 0:
			m.list = append(m.list, &member{Target: t, since: now})
		case !m.list[i].goneAt.IsZero():
			m.list[i].since, m.list[i].goneAt = now, time.Time{}
		}
	}
	m.rank()
}

// rank brings the rankers up to date.
func (m *members) rank() {
	m.listed, m.all = nil, m.list
	versions := make(map[string]bool)
	for _, x := range m.list {
		if x.goneAt.IsZero() {
			m.listed = append(m.listed, x)
			versions[x.Version] = true
		}
	}
	m.versions = len(versions)
	m.ranker, m.allRanker = newRanker(m.listed), newRanker(m.all)
}

func newRanker(list []*member) *placement.Ranker {
	targets := make([]placement.Target, 0, len(list))
	for _, x := range list {
		// In one failure domain, the ranks are those of plain rendezvous hashing.
		targets = append(targets, placement.Target{Name: x.name()})
	}
	return placement.NewRanker(targets)
}

// Past is what the history of the store tells of a target.
type Past struct {
	Pool string
	Target
	// Since is when the target was first listed, as far back as the history goes. Gone is true
	// if it is listed no more, or takes no new requests.
	Since time.Time
	Gone  bool
}

// AddPast records what the history of the store tells. It may come before or after the first
// Update.
func (h *Homes) AddPast(now time.Time, past []Past) {
	for _, p := range past {
		m := h.pools[p.Pool]
		if m == nil {
			m = &members{}
			h.pools[p.Pool] = m
		}
		i := slices.IndexFunc(m.list, func(x *member) bool { return x.Target == p.Target })
		switch {
		case i < 0 && p.Gone:
			m.list = append(m.list, &member{Target: p.Target, since: p.Since, goneAt: now})
		case i < 0:
			m.list = append(m.list, &member{Target: p.Target, since: p.Since})
		case !p.Gone && !m.list[i].goneAt.IsZero():
			m.list[i].since, m.list[i].goneAt = p.Since, time.Time{}
		case !p.Gone && p.Since.Before(m.list[i].since):
			m.list[i].since = p.Since
		}
	}
	for _, m := range h.pools {
		m.rank()
	}
}

// Uncover records that targets may have come and gone up to now which are not known.
func (h *Homes) Uncover(now time.Time) {
	for _, m := range h.pools {
		for _, x := range m.list {
			x.since = now
		}
	}
}

// Several reports whether a pool has several versions.
func (h *Homes) Several(pool string) bool {
	m := h.pools[pool]
	return m != nil && m.versions > 1
}

// Home returns the version at which a stream with this key begins now, and false if its pool
// has fewer than two.
func (h *Homes) Home(pool, key string) (version string, several bool) {
	if !h.Several(pool) {
		return "", false
	}
	m := h.pools[pool]
	return m.listed[m.ranker.Rank(key, 1)[0]].Version, true
}

// BegunAt returns the version at which a stream with this key began, if it began within the
// last Needed and every entry followed the published state with a smaller delay. It returns
// false if that may have been one of two versions, since targets have come or gone.
func (h *Homes) BegunAt(now time.Time, pool, key string) (version string, known bool) {
	m := h.pools[pool]
	if m == nil {
		return "", false
	}
	var possible []*member
	for _, i := range m.allRanker.Rank(key, len(m.all)) {
		x := m.all[i]
		if !x.goneAt.IsZero() && now.Sub(x.goneAt) >= Needed {
			continue
		}
		possible = append(possible, x)
		if x.goneAt.IsZero() && now.Sub(x.since) >= Needed {
			other := slices.ContainsFunc(possible, func(y *member) bool { return y.Version != x.Version })
			return x.Version, !other
		}
	}
	return "", false
}
