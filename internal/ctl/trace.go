package ctl

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// logLine is a parsed line of the log of an entry or a target process.
type logLine struct {
	time time.Time
	// text is the message without fields.
	text   string
	fields map[string]string
	// raw is the whole line as read.
	raw string
	// source is the file, and the word before the time, if there is one.
	source string
}

// A line may have words before its time, such as the name of its VM. In excerpts of logs the date,
// or the begin or the end of a line, may be missing.
var (
	logLinePattern  = regexp.MustCompile(`(?:(\d{4}-\d\d-\d\d)T)?(\d\d:\d\d:\d\d(?:\.\d+)?)Z?\s+(?:debug|info|warn|error|fatal)\s+(.*)$`)
	cutLinePattern  = regexp.MustCompile(`(?:\b(?:debug|info|warn|error|fatal)\s+)?(\w+: .*)$`)
	logFieldPattern = regexp.MustCompile(`(\w+)="((?:[^"\\]|\\.)*)("|$)`)
)

// maxLogLineBytes is the largest length of a log line.
const maxLogLineBytes = 64 << 10

// parseLog parses one line of a file. It returns false for a line in another format. A line
// without a time has that of the line before it, a time without a date the date of that line.
func parseLog(path, raw string, before time.Time) (logLine, bool) {
	line := logLine{time: before, fields: make(map[string]string), raw: raw, source: path}
	rest, hasTime := "", false
	if m := logLinePattern.FindStringSubmatch(raw); m != nil {
		date := m[1]
		if date == "" {
			date = before.Format(time.DateOnly)
		}
		at, err := time.Parse(time.RFC3339Nano, date+"T"+m[2]+"Z")
		if err != nil {
			return logLine{}, false
		}
		line.time, rest, hasTime = at, m[3], true
		if words := strings.Fields(raw[:strings.Index(raw, m[0])]); m[1] != "" && len(words) > 0 {
			line.source += " " + words[len(words)-1]
		}
	} else if m := cutLinePattern.FindStringSubmatch(raw); m != nil {
		rest = m[1]
	}
	first := logFieldPattern.FindStringIndex(rest)
	switch {
	case first != nil:
		line.text = strings.TrimSpace(rest[:first[0]])
	case hasTime:
		line.text = strings.TrimSpace(rest)
	default:
		return logLine{}, false
	}
	for _, f := range logFieldPattern.FindAllStringSubmatch(rest, -1) {
		line.fields[f[1]] = f[2]
		if f[3] == "" {
			line.fields[f[1]] += cutMark
		}
	}
	return line, true
}

// readLogs returns the log lines of all files, sorted by time.
func readLogs(paths []string) ([]logLine, error) {
	var lines []logLine
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		err = scanLog(path, f, &lines)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	dateLines(lines)
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.time.Compare(b.time) })
	return lines, nil
}

// dateLines gives lines without a date the first date that another line has.
func dateLines(lines []logLine) {
	dated := slices.IndexFunc(lines, func(l logLine) bool { return !l.undated() })
	if dated < 0 {
		return
	}
	day := lines[dated].time.Truncate(24 * time.Hour)
	for i, l := range lines {
		if l.undated() {
			lines[i].time = day.Add(l.time.Sub(time.Time{}))
		}
	}
}

// undated reports whether neither the line nor one before it in its file has a date.
func (l logLine) undated() bool { return l.time.Year() <= 1 }

func scanLog(path string, r io.Reader, lines *[]logLine) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLogLineBytes)
	var before time.Time
	for scanner.Scan() {
		if line, ok := parseLog(path, scanner.Text(), before); ok {
			*lines, before = append(*lines, line), line.time
		}
	}
	return scanner.Err()
}

// cutMark ends the value of a field that was cut off.
const cutMark = "..."

// minIDPart is the shortest part of an ID by which requestID finds a request.
const minIDPart = 6

// requestID returns the ID of the request that name stands for: an ID, the entry and number of
// one of its reservations in the form ENTRY/NUMBER, or the begin or end of an ID that no other
// request has. It returns name if there is no such request, or if name is a part of prompts or
// a digest.
func requestID(lines []logLine, name string) string {
	entry, number, isReservation := strings.Cut(name, "/")
	found := ""
	if slices.ContainsFunc(lines, func(l logLine) bool { return slices.Contains(partsOf(l), name) }) {
		return name
	}
	for _, l := range lines {
		id := l.fields["id"]
		switch {
		case id == "" || id == found:
			continue
		case id == name:
			return name
		case isReservation && l.fields["entry"] == entry && l.fields["number"] == number:
			return id
		case len(name) < minIDPart || !strings.HasPrefix(id, name) && !strings.HasSuffix(id, name):
			continue
		case found != "":
			return name
		}
		found = id
	}
	return cmp.Or(found, name)
}

// requestLines returns the lines of one request: those with its id, and lines of
// target processes with the entry and reservation number of one of the former.
// Lines of target processes have no request id. A reservation number is unique only
// within an entry, so both are compared.
func requestLines(lines []logLine, id string) []logLine {
	reservations := make(map[string]bool)
	for _, l := range lines {
		if l.fields["id"] == id && l.fields["number"] != "" {
			reservations[l.fields["entry"]+"/"+l.fields["number"]] = true
		}
	}
	var matched []logLine
	for _, l := range lines {
		if l.fields["id"] == id || l.fields["id"] == "" && l.fields["number"] != "" && reservations[l.fields["entry"]+"/"+l.fields["number"]] {
			matched = append(matched, l)
		}
	}
	return matched
}

func newTrace() *cobra.Command {
	return &cobra.Command{
		Use:   "trace ID FILE...",
		Short: "Print the log lines of one request from all processes, in order",
		Long: "trace prints the lines of one request and those of the quarantine that belong to it: crashes of\n" +
			"its targets, and verdicts on its parts. ID may also be ENTRY/NUMBER of a reservation, the begin or\n" +
			"end of an ID, a part of prompts or a digest. A summary of the sends of a request that may run once\n" +
			"follows, and the number of lines that processes left out during the request. The files may be\n" +
			"excerpts, with lines that are cut short or have no date.\n\n" + exitText,
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(args[1:])
			if err != nil {
				return unreadableError(err)
			}
			id := requestID(lines, args[0])
			ofRequest := requestLines(lines, id)
			matched := withQuarantine(lines, ofRequest, id)
			if len(matched) == 0 {
				printLeftOut(cmd, lines)
				return &failure{ExitFaults, []error{fmt.Errorf("no line of request %s in %d lines", args[0], len(lines))}}
			}
			for _, l := range matched {
				if _, err := fmt.Fprintln(cmd.OutOrStdout(), l.raw); err != nil {
					return unreadableError(err)
				}
			}
			printSends(cmd, ofRequest)
			if len(ofRequest) == 0 {
				ofRequest = matched
			}
			began, ended := timeSpan(ofRequest)
			printLeftOut(cmd, slices.DeleteFunc(lines, func(l logLine) bool {
				return l.time.Before(began) || leftOutSince(l).After(ended)
			}))
			return nil
		},
	}
}
