// Package quarantine is a stub until branch quarantine is merged.
package quarantine

import "time"

type Part string
type Suspect struct {
	Parts  []Part
	SentAt time.Time
}
type Incarnation struct {
	Target      string
	StartedAtMS int64
}
type Crash struct {
	Incarnation
	At       time.Time
	Suspects []Suspect
}
type Verdict struct {
	Part        Part
	Generation  uint64
	Quarantined bool
	Since       time.Time
	Crashes     int
	Entry       string
	Trials      int
}
type Config struct {
	Entry     string
	OwnsTrial func(Part) bool
}
type Quarantine struct {
	cfg      Config
	crashes  []Crash
	verdicts map[Part]Verdict
	begun    map[Part]time.Time
}

func New(cfg Config) *Quarantine {
	return &Quarantine{cfg: cfg, verdicts: map[Part]Verdict{}, begun: map[Part]time.Time{}}
}

func (q *Quarantine) RecordCrash(now time.Time, c Crash) []Verdict {
	known := false
	for i := range q.crashes {
		if q.crashes[i].Incarnation == c.Incarnation {
			known = true
			q.crashes[i].Suspects = append(q.crashes[i].Suspects, c.Suspects...)
		}
	}
	if !known {
		q.crashes = append(q.crashes, c)
	}
	hits := map[Part]int{}
	for _, c := range q.crashes {
		in := map[Part]bool{}
		for _, s := range c.Suspects {
			for _, p := range s.Parts {
				if !in[p] && c.At.After(q.begun[p]) {
					in[p] = true
					hits[p]++
				}
			}
		}
	}
	var list []Verdict
	for p, n := range hits {
		if _, ok := q.verdicts[p]; n >= 3 && !ok {
			v := Verdict{Part: p, Generation: 1, Quarantined: true, Since: now, Crashes: n, Entry: q.cfg.Entry}
			q.verdicts[p] = v
			list = append(list, v)
		}
	}
	return list
}

func (q *Quarantine) RecordBegan(now, at time.Time, parts []Part) (suspected []Part, changed []Verdict) {
	for _, p := range parts {
		hit := false
		for _, c := range q.crashes {
			for _, s := range c.Suspects {
				for _, x := range s.Parts {
					hit = hit || x == p
				}
			}
		}
		if hit {
			q.begun[p] = at
			suspected = append(suspected, p)
		}
	}
	return suspected, nil
}

func (q *Quarantine) Check(now time.Time, parts []Part) (part Part, blocked bool) {
	for _, p := range parts {
		if q.verdicts[p].Quarantined {
			return p, true
		}
	}
	return "", false
}

func (q *Quarantine) Merge(now time.Time, list []Verdict) []Verdict {
	var changed []Verdict
	for _, v := range list {
		if v.Generation > q.verdicts[v.Part].Generation {
			q.verdicts[v.Part] = v
			changed = append(changed, v)
		}
	}
	return changed
}

func (q *Quarantine) Verdicts() []Verdict {
	var list []Verdict
	for _, v := range q.verdicts {
		list = append(list, v)
	}
	return list
}

func (q *Quarantine) Crashes(now time.Time) []Crash { return append([]Crash(nil), q.crashes...) }
