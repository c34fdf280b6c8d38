// Package reassembly decides which chunks of which attempt belong to the
// answer to a request, and whether the answer is whole. A request can have two
// attempts in parallel; the caller must get chunks of one of them only.
//
// An Answer is a pure state machine used by one goroutine.
package reassembly

import (
	"hash/crc32"
	"slices"
)

// maxGapRequests is the largest number of times that missing chunks of an
// answer are requested because of a gap. Without it, they would be requested
// for ever from a target that cannot send them.
const maxGapRequests = 3

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C of an answer, given the one before a chunk and
// the chunk.
func Checksum(sum uint32, data []byte) uint32 { return crc32.Update(sum, castagnoli, data) }

// Verdict is the decision about a frame (a chunk or an end).
type Verdict uint8

const (
	// Accept means that the chunk is the next one of the answer.
	Accept Verdict = iota + 1
	// Drop means that the frame is not needed: it is late or duplicated, it
	// belongs to another attempt, or it is beyond a gap.
	Drop
	// Gap means that chunks before the frame are missing and must be
	// requested from the target.
	Gap
	// Complete means that the answer is complete.
	Complete
	// Incomplete means that the answer has ended and is incomplete or damaged.
	Incomplete
)

// Answer is the state of the answer to one request. The first attempt of which
// a chunk or the end is accepted is the winner. From then on, frames of other
// attempts are dropped.
type Answer struct {
	// open lists the attempts whose frames may be accepted.
	open   []uint32
	winner uint32
	// next is the sequence number of the next chunk, sum the checksum of the
	// accepted chunks.
	next  uint32
	sum   uint32
	ended bool
	// requested is true after the missing chunks from next on were requested,
	// until the first of them arrives, so that further frames after the gap
	// cause no further requests.
	requested bool
	// gapRequests counts the requests for missing chunks because of a gap.
	gapRequests int
}

// NewAnswer returns an answer with one open attempt. Attempt numbers start at
// 1.
func NewAnswer(attempt uint32) *Answer { return &Answer{open: []uint32{attempt}} }

// AddAttempt adds a parallel attempt. It has no effect once there is a winner.
func (a *Answer) AddAttempt(attempt uint32) {
	if a.winner == 0 && !slices.Contains(a.open, attempt) {
		a.open = append(a.open, attempt)
	}
}

// RemoveAttempt removes an attempt, whose frames are dropped from then on.
func (a *Answer) RemoveAttempt(attempt uint32) {
	a.open = slices.DeleteFunc(a.open, func(n uint32) bool { return n == attempt })
}

// Winner returns the attempt whose chunks are accepted, or 0 if there is none
// yet.
func (a *Answer) Winner() uint32 { return a.winner }

// Started reports whether a chunk has been accepted.
func (a *Answer) Started() bool { return a.next > 0 }

// NextSequence returns the sequence number of the next chunk that is needed
// from an attempt. It is 0 for an attempt that is not the winner.
func (a *Answer) NextSequence(attempt uint32) uint32 {
	if attempt == a.winner {
		return a.next
	}
	return 0
}

// ResumeRequested records that the attempt continues on a new session, on which
// the target was asked to resume at NextSequence. If there is a gap on the new
// session too, the missing chunks are requested again. ResumeRequested does not
// count toward maxGapRequests.
func (a *Answer) ResumeRequested() { a.requested = false }

// accepts reports whether frames of an attempt may be accepted.
func (a *Answer) accepts(attempt uint32) bool {
	return !a.ended && slices.Contains(a.open, attempt) && (a.winner == 0 || a.winner == attempt)
}

// Chunk decides about a chunk.
func (a *Answer) Chunk(attempt, sequence uint32, data []byte) Verdict {
	if !a.accepts(attempt) || sequence < a.next {
		return Drop
	}
	if sequence > a.next {
		return a.gap()
	}
	a.winner = attempt
	a.next++
	a.sum = Checksum(a.sum, data)
	a.requested = false
	return Accept
}

// gap decides about a frame after missing chunks.
func (a *Answer) gap() Verdict {
	if a.requested || a.gapRequests >= maxGapRequests {
		return Drop
	}
	a.requested = true
	a.gapRequests++
	return Gap
}

// End decides about the end of an attempt that reports success, with the number
// and the checksum of its chunks. If the end arrives before some chunks, these
// are requested.
func (a *Answer) End(attempt, chunks, sum uint32) Verdict {
	if !a.accepts(attempt) {
		return Drop
	}
	if chunks > a.next && (a.requested || a.gapRequests < maxGapRequests) {
		// The target sends the end again after the requested chunks, so
		// this one is not needed.
		return a.gap()
	}
	a.ended = true
	a.winner = attempt
	if chunks != a.next || sum != a.sum {
		return Incomplete
	}
	return Complete
}
