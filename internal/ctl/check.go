package ctl

import (
	"errors"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/settings"
	"agatelanding.example/agatelanding/internal/tables"
)

// Kind is a kind of settings file.
type Kind struct {
	// Check loads the file as the program does and returns its faults.
	Check func(path string) error
	// WriteDefaults writes a commented file with the defaults.
	WriteDefaults func(w io.Writer) error
}

// Kinds are the known kinds of settings files by name.
type Kinds map[string]Kind

// KindOf returns the kind of the settings type T.
func KindOf[T any]() Kind {
	return Kind{
		Check: func(path string) error {
			_, err := settings.Load[T](path)
			return err
		},
		WriteDefaults: func(w io.Writer) error { return settings.WriteDefaults(w, new(T)) },
	}
}

func (k Kinds) names() string {
	if len(k) == 0 {
		return "none in this build"
	}
	return strings.Join(slices.Sorted(maps.Keys(k)), ", ")
}

func newCheck(kinds Kinds) *cobra.Command {
	var files []string
	cmd := &cobra.Command{
		Use:   "check [DIR] [--settings KIND=FILE]...",
		Short: "Check tables and settings files and list all faults",
		Long: "check runs offline with the same code as the programs. " + dirText +
			"\nKinds of settings: " + kinds.names() + ".\n\n" + exitText,
		Example: "  agatectl check tables/\n  agatectl check tables/ --settings entry=entry.jsonc --settings target=target.jsonc",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 && len(files) == 0 {
				return usage("name a directory with tables or a settings file")
			}
			return check(cmd, kinds, args, files)
		},
	}
	cmd.Flags().StringArrayVar(&files, "settings", nil, "settings file to check, as KIND=FILE; may be repeated")
	return cmd
}

func check(cmd *cobra.Command, kinds Kinds, dirs, files []string) error {
	var failures []error
	for _, dir := range dirs {
		snap, err := loadTables(dir)
		failures = append(failures, err)
		if err == nil {
			printf(cmd, "%s: ok, %s\n", dir, summary(snap))
		}
	}
	for _, file := range files {
		name, path, ok := strings.Cut(file, "=")
		kind, known := kinds[name]
		if !ok || !known {
			return usage("--settings %s: want KIND=FILE with a kind of: %s", file, kinds.names())
		}
		err := kind.Check(path)
		failures = append(failures, settingsFaults(err))
		if err == nil {
			printf(cmd, "%s: ok, settings of kind %s\n", path, name)
		}
	}
	return joinFailures(failures...)
}

// settingsFaults makes one error of each fault of a settings file.
func settingsFaults(err error) error {
	if err == nil {
		return nil
	}
	var listed *settings.Error
	if !errors.As(err, &listed) {
		return faults([]error{err})
	}
	var list []error
	for _, f := range listed.Faults {
		list = append(list, result.Wrap(result.SettingInvalid,
			&tables.FieldError{File: listed.File, Line: f.Line, Field: f.Field, Reason: f.Reason}))
	}
	return faults(list)
}

func summary(s *tables.Snapshot) string {
	targets, size := 0, 0
	for _, p := range s.Pools() {
		targets += len(p.Targets)
	}
	for _, data := range s.Parts() {
		size += len(data)
	}
	return strings.Join([]string{plural(s.Routes(), "route"), plural(len(s.Pools()), "pool"), plural(targets, "target"),
		plural(len(s.Parts()), "part"), plural(size, "byte")}, ", ")
}

func newDefaults(kinds Kinds) *cobra.Command {
	return &cobra.Command{
		Use:   "defaults KIND",
		Short: "Print a commented settings file with the defaults",
		Long:  "Kinds of settings: " + kinds.names() + ".",
		Args:  cobra.ExactArgs(1),
		ValidArgsFunction: func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
			return slices.Sorted(maps.Keys(kinds)), cobra.ShellCompDirectiveNoFileComp
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			kind, ok := kinds[args[0]]
			if !ok {
				return usage("no settings of kind %q, known: %s", args[0], kinds.names())
			}
			if err := kind.WriteDefaults(cmd.OutOrStdout()); err != nil {
				return unreadable(err)
			}
			return nil
		},
	}
}
