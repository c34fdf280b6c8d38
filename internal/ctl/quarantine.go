package ctl

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

const (
	// quarantinedField is the field of a status page with the parts of prompts that an
	// entry keeps from engines.
	quarantinedField = "quarantined_parts"
	// quarantinedRequestsField is the field with the digests of whole requests.
	quarantinedRequestsField = "quarantined_requests"
	// quarantinePrefix begins the log lines of the quarantine.
	quarantinePrefix = "quarantine: "
)

// quarantinedPart is a quarantined part, or the digest of a quarantined request, on the
// status page of an entry.
type quarantinedPart struct {
	Part    string `json:"part"`
	Crashes int    `json:"crashes"`
	SinceMS int64  `json:"since_ms"`
	Entry   string `json:"entry"`
	Trials  int    `json:"trials"`
	Refused int64  `json:"refused"`
}

// printQuarantine prints the quarantined parts and requests of all pages.
func printQuarantine(cmd *cobra.Command, pages []statusPage) {
	printQuarantined(cmd, pages, quarantinedField, "PART")
	printQuarantined(cmd, pages, quarantinedRequestsField, "REQUEST")
}

// printQuarantined prints what a field of the pages lists: by how many of the entries each
// is known, and the refusals of all of them.
func printQuarantined(cmd *cobra.Command, pages []statusPage, field, title string) {
	parts := make(map[string]quarantinedPart)
	knownBy := make(map[string]int)
	entries := 0
	for _, page := range pages {
		value, isEntry := page.Status[field]
		if !isEntry {
			continue
		}
		entries++
		// The page was decoded from JSON, so that it can be encoded again.
		data, _ := json.Marshal(value)
		var list []quarantinedPart
		if err := json.Unmarshal(data, &list); err != nil {
			printf(cmd, "%s: %s cannot be read: %v\n", page.Address, field, err)
			continue
		}
		for _, p := range list {
			p.Refused += parts[p.Part].Refused
			p.SinceMS = max(p.SinceMS, parts[p.Part].SinceMS)
			parts[p.Part] = p
			knownBy[p.Part]++
		}
	}
	if len(parts) == 0 {
		return
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nQUARANTINED "+title+"\tCRASHES\tSINCE_MS\tBY\tTRIALS\tREFUSED\tKNOWN_BY")
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		p := parts[name]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%d\t%d\t%d of %d\n", p.Part, p.Crashes, p.SinceMS, p.Entry, p.Trials, p.Refused, knownBy[name], entries)
	}
	_ = w.Flush()
}

// withQuarantine adds, to the lines of a request, those of the quarantine that belong to
// it: crashes of its targets, crashes with its parts or digest, and verdicts on them. id
// may also be a part or a digest.
func withQuarantine(lines, matched []logLine, id string) []logLine {
	parts, targets, printed := map[string]bool{id: true}, make(map[string]bool), make(map[string]bool)
	for _, l := range matched {
		printed[l.raw] = true
		for _, p := range partsOf(l) {
			parts[p] = true
		}
		if l.fields["id"] == id && l.fields["target"] != "" {
			targets[l.fields["target"]] = true
		}
	}
	hasPart := func(l logLine) bool {
		return slices.ContainsFunc(partsOf(l), func(p string) bool { return parts[p] })
	}
	var all []logLine
	for _, l := range lines {
		isQuarantine := strings.HasPrefix(l.text, quarantinePrefix)
		if printed[l.raw] || isQuarantine && (targets[l.fields["target"]] || hasPart(l)) {
			all = append(all, l)
		}
	}
	return all
}

// partsOf returns the parts of prompts and the digests of requests that a line names.
func partsOf(l logLine) []string {
	return strings.FieldsFunc(strings.Join([]string{l.fields["part"], l.fields["parts"], l.fields["digest"], l.fields["digests"]}, ","), func(r rune) bool { return r == ',' })
}
