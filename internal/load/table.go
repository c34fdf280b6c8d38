package load

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"agatelanding.example/agatelanding/internal/experiment"
)

// describeRun returns the settings of a run on one line.
func describeRun(f benchFlags) string {
	return fmt.Sprintf("seed %d, %d targets of %d slots, %d adapters, %d entries, weight store %g loads/s and %d in flight, %s measured",
		f.seed, experiment.DefaultTargets, experiment.DefaultSlots, experiment.DefaultAdapters, experiment.DefaultEntries,
		experiment.StoreLoadsPerSecond, experiment.StoreMaxInFlight, f.duration)
}

func writeCSV(out io.Writer, rows []experiment.Row) error {
	w := csv.NewWriter(out)
	_ = w.Write([]string{"measure", "naive", "chosen", "bound", "result", "ratio"})
	for _, r := range rows {
		_ = w.Write([]string{r.Measure, formatNumber(r.Naive), formatNumber(r.Chosen), r.Bound, r.Status.String(), formatNumber(r.Ratio())})
	}
	w.Flush()
	return w.Error()
}

// writeTable prints the settings of the run and a line for each row.
func writeTable(out io.Writer, f benchFlags, rows []experiment.Row) error {
	fmt.Fprintln(out, describeRun(f))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "measure\tnaive\tchosen\tbound\tresult\tratio")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", r.Measure, formatNumber(r.Naive), formatNumber(r.Chosen), r.Bound, r.Status, formatNumber(r.Ratio()))
	}
	return w.Flush()
}

// formatNumber formats a value of the table. NaN, which marks a value that does not
// exist for the policy, is "-". Infinity, which marks that no finite value was
// found (such as a p99 while more than 1% of the requests have no answer), is
// "none".
func formatNumber(x float64) string {
	switch {
	case math.IsNaN(x):
		return "-"
	case math.IsInf(x, 0):
		return "none"
	case x == math.Trunc(x) && math.Abs(x) < 1e6:
		return fmt.Sprintf("%.0f", x)
	default:
		return fmt.Sprintf("%.3f", x)
	}
}
