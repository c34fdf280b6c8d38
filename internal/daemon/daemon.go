// Package daemon holds the command line that the long-running programs share:
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

// Process is a program that can be started and stopped.
type Process interface {
	// Provision takes addresses; it fails when one is in use.
	Provision() error
	// Start begins to serve and returns.
	Start()
	// Shutdown finishes accepted work and ends.
	Shutdown(ctx context.Context)
	// Failed receives an error when the process must end.
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
// file of the users' platform, which load finds and checks.
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
			defer out.Close(logFlush)
			if err := telemetry.SetupLogs(out, logLevel); err != nil {
				return err
			}
			p := build(s)
			ctx, cancel := context.WithCancel(cmd.Context())
			defer cancel()
			signals := runtime.ReloadSignals()
			return serve(ctx, p, func() { go reloads(ctx, s, load, p, signals, reloadInterval) })
		},
	}
	cmd.Flags().StringVar(&logLevel, "log-level", "info", "least severe level that is logged: debug, info, warn or error")
	return cmd
}

// logFlush bounds the wait for a reader of the log at the end of a process.
const logFlush = 100 * time.Millisecond

func writeDefaults[T any](w io.Writer) error {
	v := new(T)
	if d, ok := any(v).(settings.Defaulter); ok {
		d.SetDefaults()
	}
	return settings.WriteDefaults(w, v)
}

// serve runs a process until a stop signal or a failure. A second signal ends
// it at once. started is called once the process serves.
func serve(ctx context.Context, p Process, started func()) error {
	signals := runtime.StopSignals()
	if err := p.Provision(); err != nil {
		return err
	}
	p.Start()
	started()
	select {
	case err := <-p.Failed():
		return err
	case <-signals:
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-signals
		os.Exit(ExitInterrupted)
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

// Main runs a command and exits with its code. An error is printed as one
// line for each fault.
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
			// cobra reports wrong flags as plain errors.
			os.Exit(ExitUsage)
		}
	}
	os.Exit(ExitFailure)
}
