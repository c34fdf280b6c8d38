package load

import (
	"fmt"
	"html"
	"io"
	"math"
	"strings"
	"time"

	"agatelanding.example/agatelanding/internal/experiment"
)

// Sizes of the plot in pixels.
const (
	plotLabelWidth = 420
	plotAxisWidth  = 520
	plotRowHeight  = 22
	plotTopMargin  = 50
	plotMargin     = 30
)

// The horizontal axis is logarithmic and covers 10 ms to 100 s.
const (
	minPlotLatency = 10 * time.Millisecond
	plotDecades    = 4
)

// plotLine is the line of one run: the latency quantiles of its short requests.
type plotLine struct {
	name      string
	policy    string
	quantiles experiment.Quantiles
}

// plotX returns the horizontal position of a latency.
func plotX(d time.Duration) float64 {
	decades := math.Log10(float64(max(d, minPlotLatency)) / float64(minPlotLatency))
	return plotLabelWidth + min(decades, plotDecades)/plotDecades*plotAxisWidth
}

// writePlot draws a line from p50 to p99 for each run as SVG, with marks at
// p50, p90, p95 and p99. The "class's limit" in the text under the heading is the
// total budget of the class.
func writePlot(out io.Writer, heading string, lines []plotLine) error {
	var b strings.Builder
	height := plotTopMargin + plotRowHeight*len(lines) + plotMargin
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		plotLabelWidth+plotAxisWidth+plotMargin, height)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="10" y="18">%s</text>`+"\n", html.EscapeString(heading))
	b.WriteString(`<text x="10" y="36">Time to the whole answer of short requests: p50, p90, p95, p99; without an answer it counts as the class's limit</text>` + "\n")
	for decade := range plotDecades + 1 {
		d := minPlotLatency * time.Duration(math.Pow10(decade))
		fmt.Fprintf(&b, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" stroke="#ccc"/><text x="%.1f" y="%d" text-anchor="middle">%s</text>`+"\n",
			plotX(d), plotX(d), plotTopMargin, height-plotMargin, plotX(d), height-10, d)
	}
	for i, l := range lines {
		l.draw(&b, plotTopMargin+plotRowHeight*i+plotRowHeight/2)
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(out, b.String())
	return err
}

// draw writes the line at height y, red for the naive policies and blue otherwise.
func (l plotLine) draw(b *strings.Builder, y int) {
	color := "#1f6fb2"
	if l.policy == experiment.Naive().Name {
		color = "#c0392b"
	}
	q := l.quantiles
	fmt.Fprintf(b, `<text x="10" y="%d">%s, %s</text>`, y+4, html.EscapeString(l.name), l.policy)
	fmt.Fprintf(b, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" stroke="%s" stroke-width="2"/>`, plotX(q.P50), plotX(q.P99), y, y, color)
	for _, d := range []time.Duration{q.P50, q.P90, q.P95, q.P99} {
		fmt.Fprintf(b, `<circle cx="%.1f" cy="%d" r="3" fill="%s"/>`, plotX(d), y, color)
	}
	b.WriteString("\n")
}
