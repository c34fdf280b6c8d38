// Package bodybudget decides which request bodies an entry reads, which wait and which it
// ends, so that all bodies together stay within a budget of memory. Conns decides in the same
// way about the connections of callers.
//
// It handles untrusted callers: any number of bodies of legal size at once that arrive whole,
// piece by piece or not at all. The caller of this package asks for the bytes of a buffer
// before it allocates it: for all of them if the length is announced, otherwise for each next
// buffer. What does not fit waits, at most MaxWait. A buffer up to FreeBytes needs no room, so
// that small requests are never refused here; the number of connections bounds those.
//
// While a body waits, or connections are short, each body that is being received has to
// advance by PaceBytes in each PaceWindow. Otherwise a body may take any time. Room goes to
// bodies that have begun, then to the owners (addresses of callers) that hold least, then to
// small bodies. While bodies of several owners wait, none of these may hold more than half of
// the budget in more than one body. Bodies over SmallBytes leave an eighth of the budget to
// smaller ones.
//
// A Budget is a state machine without I/O or a clock of its own. It is not safe for
// concurrent use.
package bodybudget

import (
	"cmp"
	"slices"
	"time"
)

const (
	// FreeBytes is the largest buffer that needs no room in the budget.
	FreeBytes = 16 << 10
	// SmallBytes is the largest buffer that may use the part of the budget which is kept
	// for small ones.
	SmallBytes = 64 << 10
	// MaxWait bounds the wait for room. It is longer than two windows, so that the room
	// of bodies that stand still becomes free within it.
	MaxWait = 2 * time.Second
	// While a body waits or connections are short, a body has to advance by PaceBytes in
	// each PaceWindow, about 370 kbit/s.
	PaceWindow = 700 * time.Millisecond
	PaceBytes  = 32 << 10
)

// Verdict is what was decided about a body.
type Verdict uint8

// Values of Verdict.
const (
	// Granted means that the buffer that was asked for may be allocated.
	Granted Verdict = iota + 1
	// NoRoom means that the body has waited for too long, and TooSlow that it has not
	// advanced while others waited. Either body must be dropped.
	NoRoom
	TooSlow
)

// Decision is a verdict on one body.
type Decision struct {
	ID      uint64
	Verdict Verdict
}

// state is what a body does.
type state uint8

const (
	receiving state = iota
	waiting
	// complete bodies have arrived and are held until their request ends; ended ones have
	// got a final verdict.
	complete
	ended
)

type body struct {
	id    uint64
	owner string
	state state
	held  int64
	// asked is what the body waits for since askedAt.
	asked   int64
	askedAt time.Time
	// received counts the bytes since windowAt.
	received int64
	windowAt time.Time
}

// Budget is the memory of all bodies of one process.
type Budget struct {
	size   int64
	held   int64
	bodies map[uint64]*body
	owners map[string]*holding
	// waiting is the number of bodies in that state.
	waiting int
	// shortSince is when the present shortage began; it is only valid while short.
	shortSince time.Time
	connsShort bool
}

// holding is what the bodies of one owner hold.
type holding struct {
	bodies int
	bytes  int64
}

// New returns a budget of a number of bytes.
func New(size int64) *Budget {
	return &Budget{size: size, bodies: make(map[uint64]*body), owners: make(map[string]*holding)}
}

// Held returns the bytes that bodies hold.
func (b *Budget) Held() int64 { return b.held }

// Short reports whether bodies must keep the pace, so that Tick has to be called.
func (b *Budget) Short() bool { return b.waiting > 0 || b.connsShort }

// Open adds a body, which holds nothing.
func (b *Budget) Open(now time.Time, id uint64, owner string) {
	b.bodies[id] = &body{id: id, owner: owner, windowAt: now}
	h := b.owners[owner]
	if h == nil {
		h = &holding{}
		b.owners[owner] = h
	}
	h.bodies++
}

// Ask asks for a buffer. One of up to FreeBytes is granted at once.
func (b *Budget) Ask(now time.Time, id uint64, bytes int64) []Decision {
	x := b.bodies[id]
	if x == nil || x.state != receiving {
		return nil
	}
	if bytes <= FreeBytes {
		return []Decision{{id, Granted}}
	}
	wasShort := b.Short()
	x.state, x.asked, x.askedAt = waiting, bytes, now
	b.waiting++
	decisions := b.grant(now)
	if !wasShort {
		b.shortSince = now
	}
	return b.breakDeadlock(decisions)
}

// Received records that bytes of a body have arrived.
func (b *Budget) Received(id uint64, bytes int) {
	if x := b.bodies[id]; x != nil {
		x.received += int64(bytes)
	}
}

// Return gives back a buffer whose content was copied to a larger one.
func (b *Budget) Return(now time.Time, id uint64, bytes int64) []Decision {
	if x := b.bodies[id]; x != nil && bytes > FreeBytes {
		b.add(x, -bytes)
	}
	return b.grant(now)
}

// Complete records that a body has arrived. It keeps its buffer.
func (b *Budget) Complete(id uint64) {
	if x := b.bodies[id]; x != nil && x.state == receiving {
		x.state = complete
	}
}

// Release removes a body whose request has ended.
func (b *Budget) Release(now time.Time, id uint64) []Decision {
	x := b.bodies[id]
	if x == nil {
		return nil
	}
	if x.state == waiting {
		b.waiting--
	}
	b.add(x, -x.held)
	delete(b.bodies, id)
	h := b.owners[x.owner]
	if h.bodies--; h.bodies == 0 {
		delete(b.owners, x.owner)
	}
	return b.breakDeadlock(b.grant(now))
}

// ConnsShort records whether there are too few connections, so that bodies which stand still
// keep callers out.
func (b *Budget) ConnsShort(now time.Time, short bool) {
	if short && !b.Short() {
		b.shortSince = now
	}
	b.connsShort = short
}

// Tick ends the bodies that have waited for too long or do not advance.
func (b *Budget) Tick(now time.Time) []Decision {
	var decisions []Decision
	short := b.Short()
	for _, x := range b.inOrder() {
		switch {
		case x.state == waiting && now.Sub(x.askedAt) >= MaxWait:
			decisions = append(decisions, b.end(x, NoRoom))
		case x.state == receiving && short:
			if x.windowAt.Before(b.shortSince) {
				x.windowAt, x.received = b.shortSince, 0
			}
			if now.Sub(x.windowAt) < PaceWindow {
				continue
			}
			if x.received < PaceBytes {
				decisions = append(decisions, b.end(x, TooSlow))
			}
			x.windowAt, x.received = now, 0
		}
	}
	return decisions
}

// end gives a body a final verdict. It holds its buffer until it is released.
func (b *Budget) end(x *body, v Verdict) Decision {
	if x.state == waiting {
		b.waiting--
	}
	x.state = ended
	return Decision{x.id, v}
}

func (b *Budget) add(x *body, bytes int64) {
	x.held += bytes
	b.held += bytes
	b.owners[x.owner].bytes += bytes
}

// inOrder returns the bodies by ID, so that decisions do not depend on the order of a map.
func (b *Budget) inOrder() []*body {
	list := make([]*body, 0, len(b.bodies))
	for _, x := range b.bodies {
		list = append(list, x)
	}
	slices.SortFunc(list, func(x, y *body) int { return cmp.Compare(x.id, y.id) })
	return list
}

// grant gives room to the waiting bodies.
func (b *Budget) grant(now time.Time) []Decision {
	if b.waiting == 0 {
		return nil
	}
	var queue []*body
	for _, x := range b.bodies {
		if x.state == waiting {
			queue = append(queue, x)
		}
	}
	slices.SortFunc(queue, b.compare)
	contested := slices.ContainsFunc(queue, func(x *body) bool { return x.owner != queue[0].owner })
	var decisions []Decision
	for _, x := range queue {
		if !b.fits(x, contested) {
			continue
		}
		b.add(x, x.asked)
		x.state, x.windowAt, x.received = receiving, now, 0
		b.waiting--
		decisions = append(decisions, Decision{x.id, Granted})
	}
	return decisions
}

// compare orders the waiting bodies.
func (b *Budget) compare(x, y *body) int {
	begun := func(x *body) int {
		if x.held > 0 {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(begun(x), begun(y)), cmp.Compare(b.owners[x.owner].bytes, b.owners[y.owner].bytes),
		cmp.Compare(x.asked, y.asked), cmp.Compare(x.id, y.id),
	)
}

// fits reports whether there is room for what a body asks for. contested is true if bodies of
// several owners wait. A body that is alone always fits, because the largest one may exceed
// the budget of a small VM.
func (b *Budget) fits(x *body, contested bool) bool {
	if b.held == x.held {
		return true
	}
	size := b.size
	if x.asked > SmallBytes {
		size -= size / 8
	}
	if h := b.owners[x.owner]; contested && h.bytes > x.held && h.bytes+x.asked > b.size/2 {
		return false
	}
	return b.held+x.asked <= size
}

// breakDeadlock ends the youngest body that holds room if all that do wait for more: none of
// them would ever give room back.
func (b *Budget) breakDeadlock(decisions []Decision) []Decision {
	var youngest *body
	for _, x := range b.bodies {
		if x.held == 0 {
			continue
		}
		if x.state != waiting {
			return decisions
		}
		if youngest == nil || x.id > youngest.id {
			youngest = x
		}
	}
	if youngest != nil {
		decisions = append(decisions, b.end(youngest, NoRoom))
	}
	return decisions
}
