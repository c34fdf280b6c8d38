package heldprompts

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"
)

const (
	// minToldTokens is the length of the shortest prefix that entries are told of. A
	// shorter one saves less than 3 ms.
	minToldTokens = 64
	// minOwnTokens is the length of the shortest part of a session that entries are told
	// of before the session has come back: most of them are used once.
	minOwnTokens = 512
	// usesTimeConstant is the time constant of the decay of the uses of a prefix.
	usesTimeConstant = 20 * time.Second
	// toldFactor is by how much more a prefix counts if entries know of it, so that
	// prefixes of the same use do not replace each other in each summary.
	toldFactor = 1.5
	// minSummaryInterval is the shortest time between two summaries, and
	// summaryBytesPerSecond what the summaries for all entries together may take.
	minSummaryInterval    = 500 * time.Millisecond
	summaryBytesPerSecond = 3000
)

// summary is what entries have been told of a Memory.
type summary struct {
	told map[uint32]int
	// changed is true if the prefixes have changed since the last summary, and the next
	// one is sent at nextAt at the earliest.
	changed bool
	nextAt  time.Time
}

func (p *prefix) usesAt(now time.Time) float64 {
	return p.uses * math.Exp(-float64(now.Sub(p.usedAt))/float64(usesTimeConstant))
}

// value returns how useful it is that entries know of a prefix: how many tokens it saves
// in total.
func (p *prefix) value(now time.Time, told bool) float64 {
	v := p.usesAt(now) * float64(p.tokens)
	if told {
		v *= toldFactor
	}
	return v
}

// isTellable reports whether entries can make use of the prefix.
func (p *prefix) isTellable() bool {
	return p.held && p.tokens >= minToldTokens && (!p.own || p.part >= minOwnTokens || p.uses > 1.1)
}

// Changes returns what has changed of the most useful prefixes since the last summary,
// for a number of entries that get it. It is empty if nothing has changed or the next
// summary is not due. What it returns must be sent to all of them.
func (m *Memory) Changes(now time.Time, entries int) []byte {
	if !m.summary.changed || now.Before(m.summary.nextAt) {
		return nil
	}
	m.summary.changed = false
	chosen, isChosen := m.mostUseful(now), make(map[uint32]bool, maxTold)
	for _, p := range chosen {
		isChosen[p.fingerprint] = true
	}
	var out []byte
	for f := range m.summary.told {
		if !isChosen[f] && fits(out) {
			out = appendPrefix(out, f, 0)
			delete(m.summary.told, f)
		}
	}
	for _, p := range chosen {
		if m.summary.told[p.fingerprint] == p.tokens {
			continue
		}
		_, known := m.summary.told[p.fingerprint]
		if !fits(out) || !known && len(m.summary.told) >= maxTold {
			m.summary.changed = true
			break
		}
		out = appendPrefix(out, p.fingerprint, p.tokens)
		m.summary.told[p.fingerprint] = p.tokens
	}
	cost := time.Duration(len(out)*max(1, entries)) * time.Second / summaryBytesPerSecond
	m.summary.nextAt = now.Add(max(minSummaryInterval, cost))
	return out
}

// mostUseful returns the most useful prefixes, the most useful first.
func (m *Memory) mostUseful(now time.Time) []*prefix {
	type valued struct {
		p     *prefix
		value float64
	}
	var all []valued
	for e := m.recent.Front(); e != nil; e = e.Next() {
		if p := e.Value.(*prefix); p.isTellable() {
			_, told := m.summary.told[p.fingerprint]
			all = append(all, valued{p, p.value(now, told)})
		}
	}
	if len(all) > maxTold {
		slices.SortFunc(all, func(a, b valued) int {
			return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.p.fingerprint, b.p.fingerprint))
		})
		all = all[:maxTold]
	}
	list := make([]*prefix, 0, len(all))
	for _, v := range all {
		list = append(list, v.p)
	}
	return list
}

// fits reports whether another prefix fits into a summary.
func fits(out []byte) bool {
	return len(out)+8 <= maxSummaryBytes
}

// All returns all that entries have been told, for one that has been told nothing.
func (m *Memory) All() []byte {
	var out []byte
	for f, tokens := range m.summary.told {
		out = appendPrefix(out, f, tokens)
	}
	return out
}

// appendPrefix encodes a prefix. A length of 0 means that the engine does not hold it.
func appendPrefix(out []byte, fingerprint uint32, tokens int) []byte {
	return binary.AppendUvarint(binary.BigEndian.AppendUint32(out, fingerprint), uint64(tokens))
}
