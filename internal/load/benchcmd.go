package load

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"agatelanding.example/agatelanding/internal/experiment"
	"agatelanding.example/agatelanding/internal/result"
)

type benchFlags struct {
	seed     int64
	measures []string
	duration time.Duration
	trace    int
	detail   bool
}

// defaultDuration gives a few thousand requests for each steady measure.
const defaultDuration = 600 * time.Second

// BenchCommand returns the command that measures policies in virtual time.
func BenchCommand() *cobra.Command {
	var f benchFlags
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure the chosen against the naive policies in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runBench(cmd.OutOrStdout(), f)
		},
	}
	cmd.Flags().Int64Var(&f.seed, "seed", 1, "seed of traces and policies")
	cmd.Flags().StringSliceVar(&f.measures, "measure", nil, "measures to run: "+strings.Join(measureNames(), ", ")+" (default all)")
	cmd.Flags().DurationVar(&f.duration, "duration", defaultDuration, "measured virtual time of the steady measures")
	cmd.Flags().IntVar(&f.trace, "trace", 0, "print the timelines of that many slowest short requests of each run")
	cmd.Flags().BoolVar(&f.detail, "detail", false, "print the figures and counters of each run")
	return cmd
}

func measureNames() []string {
	var names []string
	for _, m := range experiment.Measures() {
		names = append(names, m.Name)
	}
	return names
}

func runBench(out io.Writer, f benchFlags) error {
	for _, name := range f.measures {
		if !slices.Contains(measureNames(), name) {
			return result.Newf(result.UsageError, "no measure %q; there are %s", name, strings.Join(measureNames(), ", "))
		}
	}
	opts := experiment.Options{Seed: f.seed, Duration: f.duration, Observe: func(measure string, r *experiment.Report) {
		observe(out, f, measure, r)
	}}
	var rows []experiment.Row
	for _, m := range experiment.Measures() {
		if len(f.measures) > 0 && !slices.Contains(f.measures, m.Name) {
			continue
		}
		more, err := m.Run(opts)
		if err != nil {
			return err
		}
		rows = append(rows, more...)
	}
	return writeTable(out, f, rows)
}

// observe prints what the flags ask for about one run.
func observe(out io.Writer, f benchFlags, measure string, r *experiment.Report) {
	if f.detail || f.trace > 0 {
		fmt.Fprintf(out, "# %s, %s: %s\n", measure, r.Policy, r.Summary())
	}
	if f.trace > 0 {
		_ = r.WriteSlowest(out, f.trace)
	}
}
