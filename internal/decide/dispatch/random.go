package dispatch

// pickRandom returns any usable target that was not tried. It is the naive
// policy that measurements compare with.
func (d *Dispatcher) pickRandom(c *call) (string, bool) {
	var names []string
	for _, row := range c.Pool.Targets {
		if _, ok := d.targets[row.Name]; ok && !row.Draining && d.members.Usable(row.Name) && !c.tried[row.Name] {
			names = append(names, row.Name)
		}
	}
	if len(names) == 0 {
		return "", false
	}
	return names[d.rng.Intn(len(names))], true
}
