// Package ctl implements the commands of agatectl, the operators' command-line
// tool. The commands read and write files and read the status pages of running
// processes; they change nothing in a fleet.
package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"strings"

	"github.com/spf13/cobra"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFaults means that tables or settings files have faults, that is errors
	// in their content, that build got a revision that is too low or in use, or
	// that no route or log line matches the request.
	ExitFaults = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitIO means that a file or the status page of a process could
	// not be read, or a file could not be written.
	ExitIO = 3
	// ExitDiffers means that diff --exit-code found a difference.
	ExitDiffers = 4
)

const exitText = `Exit codes:
  0  done, no faults
  1  faults found; each is one line on standard error
  2  wrong usage
  3  a file or process could not be read, or a file not written
  4  diff --exit-code found a difference`

// failure is the error of a command: an exit code, and errors that Run prints on one
// line each.
type failure struct {
	exit   int
	errors []error
}

func (f *failure) Error() string { return errors.Join(f.errors...).Error() }

// faultsError returns a failure for errors of tables and settings, or nil if the list
// is empty. The exit code is ExitIO if one of them is an *fs.PathError, that is
// a file could not be read, and else ExitFaults.
func faultsError(list []error) error {
	if len(list) == 0 {
		return nil
	}
	for _, err := range list {
		var pathError *fs.PathError
		if errors.As(err, &pathError) {
			return &failure{ExitIO, list}
		}
	}
	return &failure{ExitFaults, list}
}

// joinErrors joins failures into one that has their highest exit code. It skips nil
// errors and returns nil if no error is left.
func joinErrors(list ...error) error {
	var joined failure
	for _, err := range list {
		var f *failure
		if errors.As(err, &f) {
			joined.exit = max(joined.exit, f.exit)
			joined.errors = append(joined.errors, f.errors...)
		}
	}
	if len(joined.errors) == 0 {
		return nil
	}
	return &joined
}

// unreadableError returns a failure for a file or process that could not be read or
// written.
func unreadableError(err error) error { return &failure{ExitIO, []error{err}} }

// usageError returns a failure for a wrong command line.
func usageError(format string, args ...any) error {
	return &failure{ExitUsage, []error{result.Newf(result.UsageError, format, args...)}}
}

// Run runs one command line and returns the exit code. kinds holds the kinds of
// settings files that the commands check and defaults support.
func Run(kinds Kinds, args []string, stdout, stderr io.Writer) int {
	root := newRoot(kinds)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	cmd, err := root.ExecuteC()
	if err == nil {
		return ExitOK
	}
	var f *failure
	if !errors.As(err, &f) {
		// Other errors come only from cobra, all of them for wrong usage.
		text := strings.Join(strings.Fields(err.Error()), " ")
		f = &failure{ExitUsage, []error{result.New(result.UsageError, text)}}
	}
	for _, item := range f.errors {
		text := formatError(item)
		if f.exit == ExitUsage {
			text = fmt.Sprintf("%s: %s; see %s --help", root.Name(), text, cmd.CommandPath())
		}
		_, _ = fmt.Fprintln(stderr, text)
	}
	return f.exit
}

// formatError formats an error on one line. Errors of a field start with file, line
// and field, as editors and reviewers expect, and have the result code last, as do
// usage errors. Other errors start with the code.
func formatError(err error) string {
	e := result.From(err)
	code := fmt.Sprintf("%d %s", e.Code, e.Code)
	var field *tables.FieldError
	if errors.As(err, &field) || e.Code == result.UsageError {
		return fmt.Sprintf("%s (%s)", e.Detail, code)
	}
	return e.Error()
}

func newRoot(kinds Kinds) *cobra.Command {
	root := &cobra.Command{
		Use:           "agatectl",
		Short:         "Check, compare, explain and build route and pool tables",
		Long:          "agatectl works on table and settings files and shows the state of running\nprocesses. It changes nothing in a fleet.\n\n" + exitText,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(*cobra.Command, []string) error { return usageError("a command is missing") },
	}
	root.AddCommand(newCheck(kinds), newDefaults(kinds), newDiff(), newExplain(), newBuild(), newGenerate(),
		newStatus(), newPlatform(), newConfig(), newCodes(), newTrace(), newVersion())
	return root
}

func printf(cmd *cobra.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), format, args...)
}

func printJSON(cmd *cobra.Command, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return unreadableError(err)
	}
	printf(cmd, "%s\n", data)
	return nil
}
