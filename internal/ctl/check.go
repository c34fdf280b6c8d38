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

// Kind is a kind of settings file, such as that of one program.
type Kind struct {
	// Check loads the file as its program does and returns the faults as an
	// error.
	Check func(path string) error
	// WriteDefaults writes a commented file with the defaults.
	WriteDefaults func(w io.Writer) error
}

// Kinds holds the supported kinds of settings files by name.
type Kinds map[string]Kind

// KindOf returns the kind of settings file that is decoded into T.
func KindOf[T any]() Kind {
	return Kind{
		Check: func(path string) error {
			_, err := settings.Load[T](path)
			return err
		},
		WriteDefaults: func(w io.Writer) error { return settings.WriteDefaults(w, new(T)) },
	}
}

// names returns the sorted names for help and error texts.
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
				return usageError("name a directory with tables or a settings file")
			}
			return check(cmd, kinds, args, files)
		},
	}
	cmd.Flags().StringArrayVar(&files, "settings", nil, "settings file to check, as KIND=FILE; may be repeated")
	return cmd
}

func check(cmd *cobra.Command, kinds Kinds, dirs, files []string) error {
	var errs []error
	for _, dir := range dirs {
		snap, err := loadTables(dir)
		errs = append(errs, err)
		if err == nil {
			printf(cmd, "%s: ok, %s\n", dir, summarize(snap))
		}
	}
	for _, file := range files {
		name, path, ok := strings.Cut(file, "=")
		kind, known := kinds[name]
		if !ok || !known {
			return usageError("--settings %s: want KIND=FILE with a kind of: %s", file, kinds.names())
		}
		err := kind.Check(path)
		errs = append(errs, settingsError(err))
		if err == nil {
			printf(cmd, "%s: ok, settings of kind %s\n", path, name)
		}
	}
	return joinErrors(errs...)
}

// settingsError turns an error of settings.Load into an error of this package with
// one entry for each fault.
func settingsError(err error) error {
	if err == nil {
		return nil
	}
	var listed *settings.Error
	if !errors.As(err, &listed) {
		return faultsError([]error{err})
	}
	var list []error
	for _, f := range listed.Faults {
		list = append(list, result.Wrap(result.SettingInvalid,
			&tables.FieldError{File: listed.File, Line: f.Line, Field: f.Field, Reason: f.Reason}))
	}
	return faultsError(list)
}

// summarize returns the numbers of routes, pools, targets, parts and bytes.
func summarize(s *tables.Snapshot) string {
	targets, size := 0, 0
	for _, p := range s.Pools() {
		targets += len(p.Targets)
	}
	for _, data := range s.Parts() {
		size += len(data)
	}
	return strings.Join([]string{plural(s.RouteCount(), "route"), plural(len(s.Pools()), "pool"), plural(targets, "target"),
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
				return usageError("no settings of kind %q, known: %s", args[0], kinds.names())
			}
			if err := kind.WriteDefaults(cmd.OutOrStdout()); err != nil {
				return unreadableError(err)
			}
			return nil
		},
	}
}
