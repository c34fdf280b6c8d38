package ctl

import (
	"bufio"
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

// A line may have words before its time, such as the name of its VM.
var (
	logLinePattern  = regexp.MustCompile(`(\d{4}-\d\d-\d\dT[0-9:.]+Z)\s+(debug|info|warn|error|fatal)\s+(.*)$`)
	logFieldPattern = regexp.MustCompile(`(\w+)="((?:[^"\\]|\\.)*)"`)
)

// maxLogLineBytes is the largest length of a log line.
const maxLogLineBytes = 64 << 10

// parseLog parses one line of a file. It returns false for a line in another format.
func parseLog(path, raw string) (logLine, bool) {
	m := logLinePattern.FindStringSubmatch(raw)
	if m == nil {
		return logLine{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, m[1])
	if err != nil {
		return logLine{}, false
	}
	line := logLine{time: at, text: m[3], fields: make(map[string]string), raw: raw, source: path}
	if words := strings.Fields(raw[:strings.Index(raw, m[0])]); len(words) > 0 {
		line.source += " " + words[len(words)-1]
	}
	if first := logFieldPattern.FindStringIndex(m[3]); first != nil {
		line.text = strings.TrimSpace(m[3][:first[0]])
	}
	for _, f := range logFieldPattern.FindAllStringSubmatch(m[3], -1) {
		line.fields[f[1]] = f[2]
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
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.time.Compare(b.time) })
	return lines, nil
}

func scanLog(path string, r io.Reader, lines *[]logLine) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLogLineBytes)
	for scanner.Scan() {
		if line, ok := parseLog(path, scanner.Text()); ok {
			*lines = append(*lines, line)
		}
	}
	return scanner.Err()
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
			"its targets, and verdicts on its parts. ID may also be a part of prompts. A summary of the sends\n" +
			"of a request that may run once follows, and the number of lines that processes left out during\n" +
			"the request.\n\n" + exitText,
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(args[1:])
			if err != nil {
				return unreadableError(err)
			}
			ofRequest := requestLines(lines, args[0])
			matched := withQuarantine(lines, ofRequest, args[0])
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
