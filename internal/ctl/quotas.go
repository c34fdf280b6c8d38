package ctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

const (
	// quotasField is the field of a status page with the busiest workspaces at an entry, and
	// serviceSharesField that with its shares of plain services.
	quotasField, serviceSharesField = "quotas", "service_shares"
	// maxQuotaRows bounds the rows, because each entry may have other busiest workspaces.
	maxQuotaRows = 10
)

// quotaUse is a workspace on the status page of an entry.
type quotaUse struct {
	Workspace      string  `json:"workspace"`
	UsePerSecond   float64 `json:"use_per_s"`
	LimitPerSecond float64 `json:"limit_per_s"`
	Owner          string  `json:"owner"`
	FellBack       bool    `json:"fell_back"`
}

// serviceShare is the share of an entry of a target of a plain service.
type serviceShare struct {
	Pool    string  `json:"pool"`
	Target  string  `json:"target"`
	Bounded bool    `json:"bounded"`
	Share   float64 `json:"share"`
	Running int     `json:"running"`
}

// listOf decodes a list on a status page and reports whether the page has the field.
func listOf[T any](cmd *cobra.Command, page statusPage, field string) ([]T, bool) {
	value, present := page.Status[field]
	if !present {
		return nil, false
	}
	// The page was decoded from JSON, so that it can be encoded again.
	data, _ := json.Marshal(value)
	var list []T
	if err := json.Unmarshal(data, &list); err != nil {
		printf(cmd, "%s: %s cannot be read: %v\n", page.Address, field, err)
	}
	return list, true
}

// printQuotas prints the busiest workspaces of all pages: the sum of their use, the limit,
// the owner of the quota, and how many entries spend a share instead of leases. Entries that
// name different owners, or have different limits in force, are shown as such.
func printQuotas(cmd *cobra.Command, pages []statusPage) {
	type row struct {
		use            float64
		limits, owners []string
		shares, seen   int
	}
	rows := make(map[string]*row)
	entries := 0
	for _, page := range pages {
		list, isEntry := listOf[quotaUse](cmd, page, quotasField)
		if isEntry {
			entries++
		}
		for _, q := range list {
			r := rows[q.Workspace]
			if r == nil {
				r = &row{}
				rows[q.Workspace] = r
			}
			r.use += q.UsePerSecond
			r.limits = append(r.limits, fmt.Sprintf("%.0f", q.LimitPerSecond))
			if q.Owner != "" {
				r.owners = append(r.owners, q.Owner)
			}
			if q.FellBack {
				r.shares++
			}
			r.seen++
		}
	}
	names := make([]string, 0, len(rows))
	for name := range rows {
		names = append(names, name)
	}
	if len(names) == 0 {
		return
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(rows[b].use, rows[a].use), cmp.Compare(a, b)) })
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nWORKSPACE\tUSE_PER_S\tLIMIT_PER_S\tOWNER\tON_SHARE\tUSED_BY")
	for _, name := range names[:min(len(names), maxQuotaRows)] {
		r := rows[name]
		_, _ = fmt.Fprintf(w, "%s\t%.0f\t%s\t%s\t%d of %d\t%d of %d\n", name, r.use, joinDistinct(r.limits), joinDistinct(r.owners), r.shares, r.seen, r.seen, entries)
	}
	_ = w.Flush()
}

// printServiceShares prints what each entry has of the targets of plain services.
func printServiceShares(cmd *cobra.Command, pages []statusPage) {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
	header := "\nSERVICE\tTARGET\tENTRY\tSHARE\tRUNNING\tBOUNDED\n"
	for _, page := range pages {
		list, _ := listOf[serviceShare](cmd, page, serviceSharesField)
		slices.SortFunc(list, func(a, b serviceShare) int {
			return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Target, b.Target))
		})
		for _, s := range list {
			_, _ = fmt.Fprintf(w, "%s%s\t%s\t%s\t%g\t%d\t%t\n", header, s.Pool, s.Target, page.Address, s.Share, s.Running, s.Bounded)
			header = ""
		}
	}
	_ = w.Flush()
}

// joinDistinct joins the distinct values, in order, by slashes.
func joinDistinct(values []string) string {
	text := emptyCell
	slices.Sort(values)
	for i, v := range slices.Compact(values) {
		if i == 0 {
			text = v
		} else {
			text += "/" + v
		}
	}
	return text
}
