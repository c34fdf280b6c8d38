// Package ctl holds the commands of agatectl. They work on files and on the
// status pages of running processes and change nothing in a fleet.
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
	// ExitFaults means that a check found faults, or that tables have them.
	ExitFaults = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitUnreadable means that a file or a process could not be read, or a
	// file not written.
	ExitUnreadable = 3
	// ExitDiffers means that diff --exit-code found a difference.
	ExitDiffers = 4
)

const exitText = `Exit codes:
  0  done, no faults
  1  faults found; each is one line on standard error
  2  wrong usage
  3  a file or process could not be read, or a file not written
  4  diff --exit-code found a difference`

// failure ends a command with an exit code and one line for each error.
type failure struct {
	exit   int
	errors []error
}

func (f *failure) Error() string { return errors.Join(f.errors...).Error() }

// faults returns a failure for errors of tables and settings, or nil.
func faults(list []error) error {
	if len(list) == 0 {
		return nil
	}
	for _, err := range list {
		var unreadable *fs.PathError
		if errors.As(err, &unreadable) {
			return &failure{ExitUnreadable, list}
		}
	}
	return &failure{ExitFaults, list}
}

// joinFailures makes one failure of several; nil errors do not count.
func joinFailures(list ...error) error {
	var all failure
	for _, err := range list {
		var f *failure
		if errors.As(err, &f) {
			all.exit = max(all.exit, f.exit)
			all.errors = append(all.errors, f.errors...)
		}
	}
	if len(all.errors) == 0 {
		return nil
	}
	return &all
}

func unreadable(err error) error { return &failure{ExitUnreadable, []error{err}} }

func usage(format string, args ...any) error {
	return &failure{ExitUsage, []error{result.Newf(result.UsageError, format, args...)}}
}

// Run runs one command line and returns the exit code. kinds are the settings
// files that check and defaults know.
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
		// Only cobra itself returns other errors, all of them for wrong usage.
		text := strings.Join(strings.Fields(err.Error()), " ")
		f = &failure{ExitUsage, []error{result.New(result.UsageError, text)}}
	}
	for _, one := range f.errors {
		text := describe(one)
		if f.exit == ExitUsage {
			text = fmt.Sprintf("%s: %s; see %s --help", root.Name(), text, cmd.CommandPath())
		}
		_, _ = fmt.Fprintln(stderr, text)
	}
	return f.exit
}

// describe puts the place first, as editors and reviewers expect it.
func describe(err error) string {
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
		RunE:          func(*cobra.Command, []string) error { return usage("a command is missing") },
	}
	root.AddCommand(newCheck(kinds), newDefaults(kinds), newDiff(), newExplain(), newBuild(), newGenerate(),
		newStatus(), newCodes(), newTrace(), newVersion())
	return root
}

func printf(cmd *cobra.Command, format string, args ...any) {
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), format, args...)
}

func printJSON(cmd *cobra.Command, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return unreadable(err)
	}
	printf(cmd, "%s\n", data)
	return nil
}
