package ctl

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// logLine is one line of a log on the platform.
type logLine struct {
	time   string
	text   string
	fields map[string]string
	raw    string
}

// A line may have words before its time, such as the name of its machine.
var (
	logStart = regexp.MustCompile(`(\d{4}-\d\d-\d\dT[0-9:.]+Z)\s+(debug|info|warn|error|fatal)\s+(.*)$`)
	logField = regexp.MustCompile(`(\w+)="((?:[^"\\]|\\.)*)"`)
)

// maxLogLine bounds one line in bytes.
const maxLogLine = 64 << 10

func parseLog(raw string) (logLine, bool) {
	m := logStart.FindStringSubmatch(raw)
	if m == nil {
		return logLine{}, false
	}
	line := logLine{time: m[1], text: m[3], fields: make(map[string]string), raw: raw}
	if at := logField.FindStringIndex(m[3]); at != nil {
		line.text = strings.TrimSpace(m[3][:at[0]])
	}
	for _, f := range logField.FindAllStringSubmatch(m[3], -1) {
		line.fields[f[1]] = f[2]
	}
	return line, true
}

func readLogs(paths []string) ([]logLine, error) {
	var lines []logLine
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		err = scanLog(f, &lines)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
	return lines, nil
}

func scanLog(r io.Reader, lines *[]logLine) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLogLine)
	for scanner.Scan() {
		if line, ok := parseLog(scanner.Text()); ok {
			*lines = append(*lines, line)
		}
	}
	return scanner.Err()
}

// story returns the lines of one request: those with its id, and those of
// target processes with a reservation number that they name. A number belongs
// to one entry; its target's lines name both.
func story(lines []logLine, id string) []logLine {
	numbers := make(map[string]bool)
	for _, l := range lines {
		if l.fields["id"] == id && l.fields["number"] != "" {
			numbers[l.fields["entry"]+"/"+l.fields["number"]] = true
		}
	}
	var found []logLine
	for _, l := range lines {
		if l.fields["id"] == id || l.fields["id"] == "" && l.fields["number"] != "" && numbers[l.fields["entry"]+"/"+l.fields["number"]] {
			found = append(found, l)
		}
	}
	return found
}

func newTrace() *cobra.Command {
	return &cobra.Command{
		Use:   "trace ID FILE...",
		Short: "Print what logs say of one request on the platform, in order",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(args[1:])
			if err != nil {
				return unreadable(err)
			}
			found := story(lines, args[0])
			if len(found) == 0 {
				return &failure{ExitFaults, []error{fmt.Errorf("no line of request %s in %d lines", args[0], len(lines))}}
			}
			for _, l := range found {
				if _, err := fmt.Fprintln(cmd.OutOrStdout(), l.raw); err != nil {
					return unreadable(err)
				}
			}
			return nil
		},
	}
}
