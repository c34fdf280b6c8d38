package load

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"agatelanding.example/agatelanding/internal/experiment"
)

// writeTable prints the heading and a line for each row.
func writeTable(out io.Writer, f benchFlags, rows []experiment.Row) error {
	fmt.Fprintf(out, "seed %d, %d targets of %d slots, %d adapters, %d entries, weight store %g loads/s and %d in flight, %s measured\n",
		f.seed, experiment.DefaultTargets, experiment.DefaultSlots, experiment.DefaultAdapters, experiment.DefaultEntries,
		experiment.StoreRate, experiment.StoreInFlight, f.duration)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "measure\tnaive\tchosen\tbound\tresult\tratio")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", r.Measure, number(r.Naive), number(r.Chosen), r.Bound, r.Met, number(r.Ratio()))
	}
	return w.Flush()
}

func number(x float64) string {
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
