package heldprompts

import (
	"container/list"
	"time"

	"agatelanding.example/agatelanding/internal/wire"
)

// maxPrefixes bounds the prefixes in a Memory, including those that the engine does not
// hold any more. Each takes some 200 bytes.
const maxPrefixes = 4000

// Owner names the adapter, or with an empty Adapter the base model, that prefixes were
// read for.
type Owner struct{ Model, Adapter string }

// prefix is a prefix that has gone through the engine.
type prefix struct {
	fingerprint uint32
	owner       Owner
	// tokens is the length of the prefix, and part that of its last part.
	tokens int
	part   int
	own    bool
	held   bool
	// users is the number of running requests with the prefix. The engine cannot evict it
	// while there are any.
	users int
	// uses is the number of requests with the prefix, decayed up to usedAt.
	uses   float64
	usedAt time.Time
	// element is the place in Memory.recent if the prefix is held or in use, else in
	// Memory.gone.
	element *list.Element
}

// Memory follows which prefixes one engine holds.
type Memory struct {
	prefixes map[uint32]*prefix
	// recent holds the prefixes that the engine holds or reads, and gone those that it
	// does not hold any more, each with the most recently used one first.
	recent *list.List
	gone   *list.List
	// total is the engine's prompt memory in tokens, 0 before a poll has shown it.
	total int
	// idleTokens is the number of tokens that the engine holds and no request uses, and
	// releases what was added to it, since the poll before the last.
	idleTokens int
	releases   []release
	summary    summary
}

type release struct {
	at     time.Time
	tokens int
}

// NewMemory returns a Memory of an engine that holds nothing.
func NewMemory() *Memory {
	return &Memory{prefixes: make(map[uint32]*prefix), recent: list.New(), gone: list.New(), summary: summary{told: make(map[uint32]int)}}
}

// Len returns the number of prefixes in the memory, including those that the engine
// does not hold any more.
func (m *Memory) Len() int { return len(m.prefixes) }

// Held returns how many tokens of a prompt of promptTokens the engine does not have to
// read.
func (m *Memory) Held(prefixes []wire.PromptPrefix, promptTokens int) int {
	held := 0
	for _, x := range prefixes {
		p, ok := m.prefixes[x.Fingerprint]
		if !ok || !p.held {
			break
		}
		held = min(p.tokens, x.Tokens)
	}
	return max(0, min(held, promptTokens))
}

// Admit records that a request goes to the engine, and returns how many of its tokens
// the engine does not have to read, and how many it has to read although it has read
// them before.
func (m *Memory) Admit(now time.Time, owner Owner, prefixes []wire.PromptPrefix, promptTokens int) (held, again int) {
	held = m.Held(prefixes, promptTokens)
	for _, x := range prefixes {
		if _, known := m.prefixes[x.Fingerprint]; known {
			again = max(0, min(x.Tokens, promptTokens)-held)
		}
	}
	// The shorter prefixes are marked last, so that they are evicted last: without them
	// the longer ones are of no use.
	for i := len(prefixes) - 1; i >= 0; i-- {
		x := prefixes[i]
		p, known := m.prefixes[x.Fingerprint]
		if !known {
			p = &prefix{fingerprint: x.Fingerprint, owner: owner, own: x.Own, usedAt: now}
			m.prefixes[x.Fingerprint] = p
			p.element = m.recent.PushFront(p)
		}
		if p.held && p.users == 0 {
			m.idleTokens -= p.part
		}
		if !p.held {
			p.tokens, p.part = x.Tokens, x.Tokens
			if i > 0 {
				p.part -= prefixes[i-1].Tokens
			}
		}
		m.move(p, m.recent)
		p.users++
		p.uses, p.usedAt = p.usesAt(now)+1, now
	}
	m.summary.changed = true
	m.bound()
	return held, again
}

// Read records that the engine has read the prompt of a request.
func (m *Memory) Read(prefixes []wire.PromptPrefix) {
	if m.total <= 0 {
		return
	}
	for _, x := range prefixes {
		if p, ok := m.prefixes[x.Fingerprint]; ok && p.users > 0 {
			m.summary.changed = m.summary.changed || !p.held
			p.held = true
		}
	}
}

// Release records that a request has left the engine.
func (m *Memory) Release(now time.Time, prefixes []wire.PromptPrefix) {
	freed := 0
	for _, x := range prefixes {
		p, ok := m.prefixes[x.Fingerprint]
		if !ok || p.users == 0 {
			continue
		}
		p.users--
		switch {
		case p.users > 0:
		case p.held:
			freed += p.part
		default:
			m.move(p, m.gone)
		}
	}
	if freed > 0 {
		m.idleTokens += freed
		m.releases = append(m.releases, release{at: now, tokens: freed})
	}
}

// SetUsage applies the engine's use of its memory, in tokens, as a poll shows that was
// started at pollStartedAt. used cannot be evicted. Without a total nothing counts as held.
func (m *Memory) SetUsage(pollStartedAt time.Time, used, total int) {
	m.total = total
	// What was released after the start of the poll may be part of used.
	room, kept := total-used, m.releases[:0]
	for _, r := range m.releases {
		if total > 0 && !r.at.Before(pollStartedAt) {
			room += r.tokens
			kept = append(kept, r)
		}
	}
	m.releases = kept
	for e := m.recent.Back(); e != nil && m.idleTokens > max(0, room); {
		p := e.Value.(*prefix)
		e = e.Prev()
		if p.users == 0 {
			m.evict(p)
		}
	}
	if total <= 0 {
		m.Reset()
	}
}

// Drop records that the engine has dropped the prefixes of those owners for which
// dropped returns true.
func (m *Memory) Drop(dropped func(Owner) bool) {
	for e := m.recent.Front(); e != nil; {
		p := e.Value.(*prefix)
		e = e.Next()
		if dropped(p.owner) {
			m.evict(p)
		}
	}
}

// Reset records that the engine holds nothing.
func (m *Memory) Reset() {
	m.Drop(func(Owner) bool { return true })
	m.releases = nil
}

// Restarted records that the engine has restarted. Entries forget what they were told
// once a report has another start time of the engine.
func (m *Memory) Restarted() {
	m.Reset()
	clear(m.summary.told)
}

// evict records that the engine does not hold a prefix.
func (m *Memory) evict(p *prefix) {
	if p.held && p.users == 0 {
		m.idleTokens -= p.part
	}
	if p.held {
		p.held, m.summary.changed = false, true
	}
	if p.users == 0 {
		m.move(p, m.gone)
	}
}

// move makes a prefix the most recently used one of a list.
func (m *Memory) move(p *prefix, to *list.List) {
	m.recent.Remove(p.element)
	m.gone.Remove(p.element)
	p.element = to.PushFront(p)
}

// bound removes the least recently used prefixes beyond maxPrefixes, first those that
// the engine does not hold.
func (m *Memory) bound() {
	for len(m.prefixes) > maxPrefixes {
		e := m.gone.Back()
		if e == nil {
			e = m.recent.Back()
		}
		p := e.Value.(*prefix)
		if p.held && p.users == 0 {
			m.idleTokens -= p.part
		}
		m.recent.Remove(e)
		m.gone.Remove(e)
		delete(m.prefixes, p.fingerprint)
	}
}
