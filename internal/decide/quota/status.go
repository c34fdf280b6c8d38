package quota

import (
	"cmp"
	"slices"
	"time"
)

// Status is the state of one workspace at this entry, for the status page.
type Status struct {
	Workspace string `json:"workspace"`
	// UsePerSecond is what requests at this entry ask for, and LimitPerSecond what those of
	// all entries together may use.
	UsePerSecond   float64 `json:"use_per_s"`
	LimitPerSecond float64 `json:"limit_per_s"`
	Burst          float64 `json:"burst"`
	Lease          float64 `json:"lease"`
	// Owner is the entry that grants the quota, empty if this entry knows of none.
	Owner    string `json:"owner"`
	FellBack bool   `json:"fell_back"`
}

// Status returns the state of the workspaces with the most demand at this entry, the busiest
// first.
func (e *Entry) Status(now time.Time, count int) []Status {
	list := make([]Status, 0, len(e.accounts))
	for _, a := range e.accounts {
		a.decay(now)
		s := Status{
			Workspace: a.name, UsePerSecond: a.demand, LimitPerSecond: a.quota.RatePerSecond, Burst: a.quota.Burst,
			FellBack: a.fellBack,
		}
		s.Owner, _ = e.ownerOf(a)
		if a.hasLease(now) {
			s.Lease = a.lease
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(x, y Status) int {
		return cmp.Or(cmp.Compare(y.UsePerSecond, x.UsePerSecond), cmp.Compare(x.Workspace, y.Workspace))
	})
	return list[:min(len(list), count)]
}
