// Package capacity measures the slopes from which docs/CAPACITY.md is worked
// out: what one more table row, target, adapter, session, message or token
// costs a process. Each slope comes from three sizes or more.
package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Series is one measured quantity at several sizes.
type Series struct {
	What  string
	Size  string
	Unit  string
	Sizes []float64
	// Values belong to Sizes.
	Values []float64
}

// Slope returns the least-squares slope and intercept.
func (s Series) Slope() (slope, intercept float64) {
	n := float64(len(s.Sizes))
	var sx, sy, sxx, sxy float64
	for i, x := range s.Sizes {
		y := s.Values[i]
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return 0, sy / max(n, 1)
	}
	slope = (n*sxy - sx*sy) / d
	return slope, (sy - slope*sx) / n
}

// Print writes the series as one table.
func Print(out io.Writer, list []Series) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "quantity\tsize\tmeasured (size: value)\tslope\tintercept\tunit")
	for _, s := range list {
		slope, intercept := s.Slope()
		measured := ""
		for i := range s.Sizes {
			measured += fmt.Sprintf("%g: %.4g  ", s.Sizes[i], s.Values[i])
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%.4g\t%s\n", s.What, s.Size, measured, slope, intercept, s.Unit)
	}
	_ = w.Flush()
}
