package ctl

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// Texts of log lines that the summary of a trace reads.
const (
	sendEndedText = "relay: send ended"
	leftOutText   = "log: lines were left out"
)

// leftOutInterval is the time before a report of dropped lines in which they may have been
// dropped, if the report does not say since when.
const leftOutInterval = time.Second

// printSends prints a summary of the sends of a request, one line each.
func printSends(cmd *cobra.Command, lines []logLine) {
	title := "\nsends:\n"
	for _, l := range lines {
		if l.text == sendEndedText {
			printf(cmd, "%s%s\n", title, sendSummary(l.fields))
			title = ""
		}
	}
}

// leftOut is the number of lines of one kind that a process left out.
type leftOut struct {
	source, kind string
	count        int
	since, until time.Time
}

// printLeftOut prints how many lines processes left out according to some lines, so that a
// missing line is not taken for a send that did not happen.
func printLeftOut(cmd *cobra.Command, lines []logLine) {
	var all []leftOut
	for _, l := range lines {
		if l.text != leftOutText {
			continue
		}
		kind := l.fields["kind"]
		if kind == "" {
			kind = "ordinary"
		}
		i := slices.IndexFunc(all, func(o leftOut) bool { return o.source == l.source && o.kind == kind })
		if i < 0 {
			i, all = len(all), append(all, leftOut{source: l.source, kind: kind, since: leftOutSince(l)})
		}
		// A count that cannot be read still tells that lines are missing.
		n, _ := strconv.Atoi(l.fields["count"])
		all[i].count += n
		all[i].until = l.time
	}
	for _, o := range all {
		printf(cmd, "%s: left out %d %s lines from %s to %s\n", o.source, o.count, o.kind, o.since.Format(time.RFC3339Nano), o.until.Format(time.RFC3339Nano))
	}
}

// sendSummary returns one line with the fields of a send.
func sendSummary(fields map[string]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s from %s to %s", fields["send"], fields["entry"], fields["target"])
	if started := fields["target_started_ms"]; started != "" && started != "0" {
		fmt.Fprintf(&b, " (started %s)", started)
	}
	switch {
	case fields["connection"] == "":
		b.WriteString(", no connection")
	case fields["kept"] == "true":
		fmt.Fprintf(&b, ", kept connection %s after %s requests", fields["connection"], fields["carried"])
	default:
		fmt.Fprintf(&b, ", new connection %s", fields["connection"])
	}
	switch {
	case fields["status"] != "":
		named := "names the request"
		if fields["named"] != "true" {
			named = "does not name the request"
		}
		fmt.Fprintf(&b, ": %s %s, %s", fields["status"], fields["response"], named)
	case fields["error"] != "":
		sent := "maybe sent"
		if fields["sent"] != "true" {
			sent = "not sent"
		}
		fmt.Fprintf(&b, ": %s, %s", fields["error"], sent)
	default:
		b.WriteString(": not sent")
	}
	fmt.Fprintf(&b, "; believed %s", fields["believed"])
	switch stop := fields["stop"]; {
	case fields["again"] == "true":
		b.WriteString(", may be sent again")
	case stop == fields["believed"]:
		b.WriteString(", not sent again")
	default:
		fmt.Fprintf(&b, ", not sent again: %s", stop)
	}
	return b.String()
}

// timeSpan returns when the request of some lines was under way. The field ms of a line is
// the time from the arrival, or from the send, to the line.
func timeSpan(lines []logLine) (began, ended time.Time) {
	for i, l := range lines {
		at := l.time
		if ms, err := strconv.ParseInt(l.fields["ms"], 10, 64); err == nil && ms > 0 {
			at = at.Add(-time.Duration(ms) * time.Millisecond)
		}
		if i == 0 || at.Before(began) {
			began = at
		}
		if i == 0 || l.time.After(ended) {
			ended = l.time
		}
	}
	return began, ended
}

// leftOutSince returns when the first of the lines of a report was dropped.
func leftOutSince(l logLine) time.Time {
	if since, err := time.Parse(time.RFC3339Nano, l.fields["since"]); err == nil {
		return since
	}
	return l.time.Add(-leftOutInterval)
}
