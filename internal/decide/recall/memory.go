// Package recall keeps facts of the entries at the target processes, so that something is
// known of them after all entries have lost power. An entry sends each fact to a few holders
// in different failure domains and asks them after it has started. Holders keep facts in
// memory only, within bounds; they do not read them and tell each other nothing.
//
// A Memory is a state machine without I/O or a clock of its own. It is not safe for
// concurrent use.
package recall

import (
	"container/list"
	"strings"
	"time"
)

// Kind is what a fact is about. The numbers are part of the protocol between processes.
type Kind uint8

// Values of Kind.
const (
	// Verdict is a verdict on a part of prompts or a whole request, by its name.
	Verdict Kind = iota + 1
	// Stream is the software version that began a stream, by the attempt of the caller.
	Stream
	// SoftwareVersion is a software version that a pool had, by pool and version.
	SoftwareVersion
	// Crash is what an entry saw of the crash of a target, by a hash of it.
	Crash
	// Begin is when a target last began to answer a part of prompts, or answered a whole
	// request, that was under way at a crash.
	Begin
	// SlackUse is what an entry has used of the slack of a pool's retry budget, by the names
	// of entry and pool.
	SlackUse
)

// Fact is something that an entry knows.
type Fact struct {
	Kind  Kind
	Key   string
	Value []byte
	// Order decides between two facts with one key: the higher one holds, of equal ones the
	// newer.
	Order uint64
	// At is when the entry learnt it, and TTL how long after that it is of use.
	At  time.Time
	TTL time.Duration
}

func (f *Fact) expired(now time.Time) bool { return now.Sub(f.At) >= f.TTL }

// bounds limit what is kept of a kind. The oldest facts make room.
type bounds struct {
	facts      int
	ttl        time.Duration
	valueBytes int
}

var boundsOf = map[Kind]bounds{
	Verdict:         {facts: 2048, ttl: 24 * time.Hour, valueBytes: MaxValueBytes},
	Stream:          {facts: 16384, ttl: 2 * time.Minute, valueBytes: MaxValueBytes},
	SoftwareVersion: {facts: 1024, ttl: 10 * time.Minute, valueBytes: MaxValueBytes},
	Crash:           {facts: 1024, ttl: 24 * time.Hour, valueBytes: MaxCrashBytes},
	Begin:           {facts: 4096, ttl: 24 * time.Hour, valueBytes: MaxValueBytes},
	SlackUse:        {facts: 2048, ttl: time.Minute, valueBytes: MaxValueBytes},
}

const (
	// MaxKeyBytes and MaxValueBytes bound a fact, MaxCrashBytes the value of a Crash. A
	// longer one is not kept.
	MaxKeyBytes   = 128
	MaxValueBytes = 256
	MaxCrashBytes = 1024
)

// Memory holds the facts that entries have sent.
type Memory struct {
	kinds map[Kind]*shelf
}

// shelf holds the facts of one kind, in the order in which they arrived.
type shelf struct {
	byKey map[string]*list.Element
	order *list.List
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	m := &Memory{kinds: make(map[Kind]*shelf)}
	for k := range boundsOf {
		m.kinds[k] = &shelf{byKey: make(map[string]*list.Element), order: list.New()}
	}
	return m
}

// Put keeps a fact and reports whether it did: it must be of a known kind, within the bounds
// and not older than the one with its key.
func (m *Memory) Put(now time.Time, f Fact) bool {
	b, known := boundsOf[f.Kind]
	if !known || f.Key == "" || len(f.Key) > MaxKeyBytes || len(f.Value) > b.valueBytes {
		return false
	}
	if f.At.After(now) {
		f.At = now
	}
	f.TTL = min(f.TTL, b.ttl)
	if f.expired(now) {
		return false
	}
	s := m.kinds[f.Kind]
	s.expire(now)
	if e, ok := s.byKey[f.Key]; ok {
		old := e.Value.(*Fact)
		if f.Order < old.Order || f.Order == old.Order && f.At.Before(old.At) {
			return false
		}
		s.remove(e)
	}
	for s.order.Len() >= b.facts {
		s.remove(s.order.Front())
	}
	f.Key, f.Value = strings.Clone(f.Key), append([]byte(nil), f.Value...)
	s.byKey[f.Key] = s.order.PushBack(&f)
	return true
}

// Get returns the fact with a key.
func (m *Memory) Get(now time.Time, k Kind, key string) (Fact, bool) {
	s, known := m.kinds[k]
	if !known {
		return Fact{}, false
	}
	e, ok := s.byKey[key]
	if !ok || e.Value.(*Fact).expired(now) {
		return Fact{}, false
	}
	return *e.Value.(*Fact), true
}

// List returns all facts of a kind, the newest last.
func (m *Memory) List(now time.Time, k Kind) []Fact {
	s, known := m.kinds[k]
	if !known {
		return nil
	}
	var facts []Fact
	for e := s.order.Front(); e != nil; e = e.Next() {
		if f := e.Value.(*Fact); !f.expired(now) {
			facts = append(facts, *f)
		}
	}
	return facts
}

// expire removes facts from the front that are of no use any more.
func (s *shelf) expire(now time.Time) {
	for e := s.order.Front(); e != nil && e.Value.(*Fact).expired(now); e = s.order.Front() {
		s.remove(e)
	}
}

func (s *shelf) remove(e *list.Element) {
	delete(s.byKey, e.Value.(*Fact).Key)
	s.order.Remove(e)
}
