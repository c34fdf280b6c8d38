package recall

import "agatelanding.example/agatelanding/internal/decide/placement"

// Holder is a target process that keeps facts.
type Holder struct {
	Name          string
	FailureDomain string
}

// Holders selects the holders of facts by rendezvous hashing, spread over failure domains.
// All entries that reach the same holders select the same ones.
type Holders struct {
	names  []string
	ranker *placement.Ranker
}

// NewHolders returns the selection among a list of holders.
func NewHolders(list []Holder) *Holders {
	h := &Holders{}
	targets := make([]placement.Target, 0, len(list))
	for _, x := range list {
		h.names = append(h.names, x.Name)
		targets = append(targets, placement.Target{Name: x.Name, FailureDomain: x.FailureDomain})
	}
	h.ranker = placement.NewRanker(targets)
	return h
}

// Of returns the names of the first n holders of a key.
func (h *Holders) Of(key string, n int) []string {
	var names []string
	for _, i := range h.ranker.Rank(key, min(n, len(h.names))) {
		names = append(names, h.names[i])
	}
	return names
}
