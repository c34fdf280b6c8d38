package load

import (
	"fmt"
	"io"
	"os"
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
	slowest  int
	detail   bool
	csv      bool
	plot     string
}

// defaultDuration gives a few thousand requests in each measure at a steady rate.
const defaultDuration = 600 * time.Second

// BenchCommand returns the command that measures policies in virtual time.
func BenchCommand() *cobra.Command {
	var f benchFlags
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Compare the chosen policies with the naive ones in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runBench(cmd.OutOrStdout(), f)
		},
	}
	cmd.Flags().Int64Var(&f.seed, "seed", 1, "seed of traces and policies")
	cmd.Flags().StringSliceVar(&f.measures, "measure", nil, "measures to run: "+strings.Join(measureNames(), ", ")+" (default all)")
	cmd.Flags().DurationVar(&f.duration, "duration", defaultDuration, "length of the measured window of the steady measures, in virtual time")
	cmd.Flags().BoolVar(&f.csv, "csv", false, "print the table as CSV")
	cmd.Flags().StringVar(&f.plot, "plot", "", "write the latency quantiles of each run to an SVG `file`")
	cmd.Flags().IntVar(&f.slowest, "trace", 0, "print the timelines of this number of slowest short requests of each run")
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
			return result.Newf(result.UsageError, "unknown measure %q; the measures are %s", name, strings.Join(measureNames(), ", "))
		}
	}
	var lines []plotLine
	opts := experiment.Options{Seed: f.seed, Duration: f.duration, Observe: func(measure string, r *experiment.Report) {
		printRun(out, f, measure, r)
		lines = append(lines, plotLine{measure, r.Policy, r.Short})
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
	if f.plot != "" {
		if err := writePlotFile(f, lines); err != nil {
			return err
		}
	}
	if f.csv {
		return writeCSV(out, rows)
	}
	return writeTable(out, f, rows)
}

func writePlotFile(f benchFlags, lines []plotLine) error {
	file, err := os.Create(f.plot)
	if err != nil {
		return result.Wrap(result.UsageError, err)
	}
	if err := writePlot(file, describeRun(f), lines); err != nil {
		_ = file.Close()
		return result.Wrap(result.Internal, err)
	}
	return result.Wrap(result.Internal, file.Close())
}

// printRun prints the summary and the slowest requests of a run, as the flags
// request.
func printRun(out io.Writer, f benchFlags, measure string, r *experiment.Report) {
	if f.detail || f.slowest > 0 {
		fmt.Fprintf(out, "# %s, %s: %s\n", measure, r.Policy, r.Summary())
	}
	if f.slowest > 0 {
		_ = r.WriteSlowest(out, f.slowest)
	}
}
