package ctl

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// Texts of log lines that the summary of a trace reads.
const (
	sendEndedText = "relay: send ended"
	promisedText  = "relay: refused after a send"
	leftOutText   = "log: lines were left out"
)

// leftOutInterval is the time before a report of dropped lines in which they may have been
// dropped, if the report does not say since when.
const leftOutInterval = time.Second

// printSends prints a summary of the sends of a request, one line each, and what its caller
// was promised.
func printSends(cmd *cobra.Command, lines []logLine) {
	title, had := "\nsends:\n", make(map[string]string)
	for _, l := range lines {
		summary := ""
		switch l.text {
		case sendEndedText:
			summary = sendSummary(l.fields)
			target := l.fields["target"]
			if earlier, ok := had[target]; ok {
				summary += "; the target had it before, in send " + earlier
			}
			if target != "" && !strings.HasSuffix(target, cutMark) {
				had[target] = l.fields["send"]
			}
		case promisedText:
			summary = promiseSummary(l.fields)
		default:
			continue
		}
		printf(cmd, "%s%s\n", title, summary)
		title = ""
	}
}

// promiseSummary returns one line on the answer to a request that was sent and then refused.
func promiseSummary(fields map[string]string) string {
	summary := fmt.Sprintf("refused by %s with %s, %s", cmp.Or(fields["entry"], "?"), cmp.Or(fields["status"], "?"), cmp.Or(fields["reason"], "?"))
	if form := fields["form"]; form != "" {
		summary += ", body with " + form
	}
	if sends := fields["sends"]; sends != "" {
		summary += ", after the sends " + strings.ReplaceAll(sends, ",", ", ")
	}
	return summary
}

// leftOut is the number of lines of one kind that a process left out.
type leftOut struct {
	source, kind string
	count        int
	since, until time.Time
	// texts counts the lines by text, as far as the reports tell.
	texts map[string]int
}

// addTexts adds the counts of a report, which have the form "TEXT COUNT | TEXT COUNT".
func (o *leftOut) addTexts(report string) {
	for _, counted := range strings.Split(report, " | ") {
		i := strings.LastIndex(counted, " ")
		if n, err := strconv.Atoi(counted[i+1:]); err == nil && i > 0 {
			o.texts[counted[:i]] += n
		}
	}
}

// mostTexts returns the texts and their counts, the most frequent ones first.
func (o *leftOut) mostTexts() string {
	if len(o.texts) == 0 {
		return ""
	}
	texts := slices.SortedFunc(maps.Keys(o.texts), func(a, b string) int {
		return cmp.Or(cmp.Compare(o.texts[b], o.texts[a]), strings.Compare(a, b))
	})
	for i, text := range texts {
		texts[i] = fmt.Sprintf("%d %s", o.texts[text], text)
	}
	return " (" + strings.Join(texts, ", ") + ")"
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
			i, all = len(all), append(all, leftOut{source: l.source, kind: kind, since: leftOutSince(l), texts: make(map[string]int)})
		}
		// A count that cannot be read still tells that lines are missing.
		n, _ := strconv.Atoi(l.fields["count"])
		all[i].count += n
		all[i].until = l.time
		all[i].addTexts(l.fields["texts"])
	}
	for _, o := range all {
		printf(cmd, "%s: left out %d %s lines from %s to %s%s\n", o.source, o.count, o.kind, o.since.Format(time.RFC3339Nano), o.until.Format(time.RFC3339Nano), o.mostTexts())
	}
}

// sendSummary returns one line with the fields of a send. It claims nothing of fields that a
// line has lost because it was cut short.
func sendSummary(fields map[string]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s from %s to %s", cmp.Or(fields["send"], "?"), cmp.Or(fields["entry"], "?"), cmp.Or(fields["target"], "?"))
	if started := fields["target_started_ms"]; started != "" && started != "0" {
		fmt.Fprintf(&b, " (started %s)", started)
	}
	switch {
	case fields["connection"] == "" && fields["sent"] == "" && fields["evidence"] == "":
	case fields["connection"] == "":
		b.WriteString(", no connection")
	case fields["kept"] == "":
		fmt.Fprintf(&b, ", connection %s", fields["connection"])
	case fields["kept"] == "true":
		fmt.Fprintf(&b, ", kept connection %s after %s requests", fields["connection"], fields["carried"])
	default:
		fmt.Fprintf(&b, ", new connection %s", fields["connection"])
	}
	switch {
	case fields["status"] != "":
		fmt.Fprintf(&b, ": %s", strings.TrimSpace(fields["status"]+" "+fields["response"]))
		switch fields["named"] {
		case "":
		case "true":
			b.WriteString(", names the request")
		default:
			b.WriteString(", does not name the request")
		}
	case fields["error"] != "":
		sent := "maybe sent"
		if fields["sent"] != "true" {
			sent = "not sent"
		}
		fmt.Fprintf(&b, ": %s, %s", fields["error"], sent)
	case fields["evidence"] == "not_written":
		b.WriteString(": not sent")
	default:
		b.WriteString(": response not in the line")
	}
	if believed := fields["believed"]; believed != "" {
		fmt.Fprintf(&b, "; believed %s", believed)
	}
	switch stop := fields["stop"]; {
	case fields["again"] == "true":
		b.WriteString(", may be sent again")
	case stop == "":
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
