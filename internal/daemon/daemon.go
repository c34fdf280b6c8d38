// Package daemon implements the command line of the long-running programs:
// settings, logs, signals and exit codes.
package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/runtime"
	"agatelanding.example/agatelanding/internal/settings"
	"agatelanding.example/agatelanding/internal/telemetry"
)

// Version is the version of all programs.
const Version = "0.1.0"

// Process is a long-running program that can be started and stopped.
type Process interface {
	// Provision binds the listen addresses. It fails if one is in use.
	Provision() error
	// Start begins to serve and returns.
	Start()
	// Shutdown finishes accepted work and stops the process.
	Shutdown(ctx context.Context)
	// Failed returns a channel that receives an error when the process must
	// end.
	Failed() <-chan error
}

// Command returns the root command of a program with settings of type T.
func Command[T any](use, short string, logLevel func(*T) string, build func(T) Process) *cobra.Command {
	var path string
	var printDefaults bool
	cmd := &cobra.Command{
		Use: use, Short: short, Version: Version, Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		Example: "  " + use + " --settings " + use + ".json\n  " + use + " --print-defaults > " + use + ".json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if printDefaults {
				return writeDefaults[T](cmd.OutOrStdout())
			}
			if path == "" {
				return result.New(result.UsageError, "--settings is required")
			}
			s, err := settings.Load[T](path)
			if err != nil {
				return err
			}
			if err := telemetry.SetupLogs(os.Stderr, logLevel(s)); err != nil {
				return err
			}
			return serve(cmd.Context(), build(*s), func() {})
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file, JSON with comments")
	cmd.Flags().BoolVar(&printDefaults, "print-defaults", false, "write a commented settings file with the defaults and exit")
	return cmd
}

// PlatformCommand returns the command that runs a program with the settings
// file of the users' platform. load reads and validates that file. The file is
// watched while the program runs: changed settings go to a process that
// implements Reconfigurable.
func PlatformCommand[T any](short string, load func() (T, error), build func(T) Process) *cobra.Command {
	var logLevel string
	cmd := &cobra.Command{
		Use: "platform", Short: short, Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := load()
			if err != nil {
				return err
			}
			out := telemetry.NewBoundedWriter(os.Stdout, telemetry.LinesPerSecond, telemetry.BytesPerSecond)
			defer out.Close(logFlushTimeout)
			if err := telemetry.SetupLogs(out, logLevel); err != nil {
				return err
			}
			p := build(s)
			ctx, cancel := context.WithCancel(cmd.Context())
			defer cancel()
			signals := runtime.ReloadSignals()
			return serve(ctx, p, func() { go watchSettings(ctx, s, load, p, signals, settingsPollInterval) })
		},
	}
	cmd.Flags().StringVar(&logLevel, "log-level", "info", "least severe level that is logged: debug, info, warn or error")
	return cmd
}

// logFlushTimeout bounds the wait for a stalled reader of the log when the
// process ends.
const logFlushTimeout = 100 * time.Millisecond

func writeDefaults[T any](w io.Writer) error {
	v := new(T)
	if d, ok := any(v).(settings.Defaulter); ok {
		d.SetDefaults()
	}
	return settings.WriteDefaults(w, v)
}

// serve runs a process until a stop signal or a failure. SIGINT during the stop ends it at
// once; SIGTERM does not, because a platform may repeat it and kills the process at the end of
// the grace period. onStarted is called after the process has started.
func serve(ctx context.Context, p Process, onStarted func()) error {
	signals := runtime.StopSignals()
	if err := p.Provision(); err != nil {
		return err
	}
	p.Start()
	onStarted()
	select {
	case err := <-p.Failed():
		return err
	case <-signals:
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for s := range signals {
			if s == os.Interrupt {
				os.Exit(ExitInterrupted)
			}
		}
	}()
	p.Shutdown(ctx)
	return nil
}

// Exit codes of the programs.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitInterrupted = 130
)

// Main runs a command and exits with the matching exit code. An error is
// printed with one line for each fault.
func Main(cmd *cobra.Command) {
	err := cmd.ExecuteContext(context.Background())
	if err == nil {
		os.Exit(ExitOK)
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", cmd.Name(), err)
	switch result.CodeOf(err) {
	case result.UsageError, result.SettingInvalid:
		os.Exit(ExitUsage)
	case result.Internal:
		if result.From(err).Unwrap() != nil {
			// cobra returns invalid flags as plain errors, which have the
			// code Internal.
			os.Exit(ExitUsage)
		}
	}
	os.Exit(ExitFailure)
}
