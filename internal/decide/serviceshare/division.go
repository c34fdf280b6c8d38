package serviceshare

import (
	"math"
	"slices"
	"time"
)

// division is a division of the places of a pool among the entries. Entry i gets its
// demand, cut to level and multiplied by scale, and self is this entry.
type division struct {
	demands      []float64
	self         int
	level, scale float64
	budgets      []float64
	total        float64
}

func (d *division) width(i int) float64 { return d.scale * min(d.demands[i], d.level) }

// isWide reports whether the part of an entry is at least one place at each target.
func (d *division) isWide(i int) bool { return d.width(i)*slices.Min(d.budgets) >= d.total }

// assign assigns this entry's part to targets. A wide part is spread over all targets in
// proportion to their places. The places that remain are a line, which is divided among
// the other entries in their order and among the targets in theirs: what an entry and a
// target have in common on it is the share of the entry.
func (p *Pool) assign(now time.Time, d division) {
	from, rest := 0.0, d.total
	for i := range d.demands {
		switch {
		case d.isWide(i):
			rest -= d.width(i)
		case i < d.self:
			from += d.width(i)
		}
	}
	to, begin := from+d.width(d.self), 0.0
	for i, t := range p.targets {
		x, part := p.state(now, t.ID), d.budgets[i]/d.total
		end := begin + part*rest
		x.share = max(0, min(to, end)-max(from, begin))
		if d.isWide(d.self) {
			x.share = part * d.width(d.self)
		}
		begin = end
	}
}

// waterLevel returns the level at which the demands, each cut to it, add up to total. It
// is infinite if all of them fit.
func waterLevel(demands []float64, total float64) float64 {
	sorted := slices.Sorted(slices.Values(demands))
	for i, d := range sorted {
		level := total / float64(len(sorted)-i)
		if d >= level {
			return level
		}
		total -= d
	}
	return math.Inf(1)
}
