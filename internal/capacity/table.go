// Package capacity measures the slopes that docs/CAPACITY.md is computed from: the
// cost to a process of one more table row, target, adapter, session, call or token.
// Each slope is fitted to measurements at three or more sizes.
package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Series holds the values of one quantity at several sizes. Size names the unit of
// Sizes, Unit that of Values.
type Series struct {
	Quantity string
	Size     string
	Unit     string
	Sizes    []float64
	// Values holds the value for each of Sizes.
	Values []float64
}

// Slope returns the slope and the intercept of a least-squares fit.
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
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%.4g\t%s\n", s.Quantity, s.Size, measured, slope, intercept, s.Unit)
	}
	_ = w.Flush()
}
