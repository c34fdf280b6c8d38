package ctl

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// rateLimitsField is the field of a status page with the targets that name the requests
// a second which they take.
const rateLimitsField = "rate_limits"

// rateLimit is such a target on the status page of an entry.
type rateLimit struct {
	Target     string  `json:"target"`
	PerSecond  float64 `json:"per_second"`
	SinceMS    int64   `json:"since_ms"`
	LearntBy   string  `json:"learnt_by"`
	BoundedBy  string  `json:"bounded_by"`
	Redirected int64   `json:"redirected"`
	Refused    int64   `json:"refused"`
}

// printRateLimits prints the targets that name a rate on any page: since when, by how
// many entries that is known, and the requests of all of them that went elsewhere or were
// refused.
func printRateLimits(cmd *cobra.Command, pages []statusPage) {
	targets := make(map[string]rateLimit)
	knownBy := make(map[string]int)
	entries := 0
	for _, page := range pages {
		value, isEntry := page.Status[rateLimitsField]
		if !isEntry {
			continue
		}
		entries++
		// The page was decoded from JSON, so that it can be encoded again.
		data, _ := json.Marshal(value)
		var list []rateLimit
		if err := json.Unmarshal(data, &list); err != nil {
			printf(cmd, "%s: %s cannot be read: %v\n", page.Address, rateLimitsField, err)
			continue
		}
		for _, l := range list {
			// The entry that learnt it from an answer knew it first.
			if other, ok := targets[l.Target]; ok {
				if other.LearntBy == "answer" {
					l.LearntBy = other.LearntBy
				}
				l.Redirected += other.Redirected
				l.Refused += other.Refused
				l.SinceMS = max(l.SinceMS, other.SinceMS)
			}
			targets[l.Target] = l
			knownBy[l.Target]++
		}
	}
	if len(targets) == 0 {
		return
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nTARGET WITH A RATE LIMIT\tPER_SECOND\tSINCE_MS\tLEARNT_BY\tBOUNDED_BY\tREDIRECTED\tREFUSED\tKNOWN_BY")
	for _, name := range slices.Sorted(maps.Keys(targets)) {
		l := targets[name]
		_, _ = fmt.Fprintf(w, "%s\t%g\t%d\t%s\t%s\t%d\t%d\t%d of %d\n", l.Target, l.PerSecond, l.SinceMS, l.LearntBy, l.BoundedBy, l.Redirected, l.Refused, knownBy[name], entries)
	}
	_ = w.Flush()
}
