// Package reassembly decides which chunks of which attempt belong to the
// answer of a request, and whether the answer is whole.
//
// An Answer is a pure state machine used by one goroutine.
package reassembly

import (
	"hash/crc32"
	"slices"
)

// maxResumes bounds how often missing chunks of an answer are asked for. A
// target that cannot supply them would be asked for ever.
const maxResumes = 3

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum extends the CRC-32C of an answer by a chunk.
func Checksum(sum uint32, data []byte) uint32 { return crc32.Update(sum, castagnoli, data) }

// Verdict says what to do with a frame.
type Verdict uint8

const (
	// Accept means that the chunk is the next one of the answer.
	Accept Verdict = iota + 1
	// Drop means that the frame is late, duplicated or of another attempt.
	Drop
	// Gap means that chunks before it are missing and must be asked for.
	Gap
	// Whole means that the answer is complete.
	Whole
	// Cut means that the answer ended incomplete or damaged.
	Cut
)

// Answer follows the attempts at one request. The first attempt of which a
// chunk or a whole answer is accepted is the winner; frames of the others are
// dropped from then on.
type Answer struct {
	open   []uint32
	winner uint32
	next   uint32
	sum    uint32
	ended  bool
	// asked is true while the chunk next has been asked for, so that the
	// frames behind a gap do not each ask for the same chunks again.
	asked   bool
	resumes int
}

// New returns an answer with one open attempt. Attempt numbers start at 1.
func New(attempt uint32) *Answer { return &Answer{open: []uint32{attempt}} }

// Open adds an attempt in parallel. It has no effect once there is a winner.
func (a *Answer) Open(attempt uint32) {
	if a.winner == 0 && !slices.Contains(a.open, attempt) {
		a.open = append(a.open, attempt)
	}
}

// Close takes an attempt out.
func (a *Answer) Close(attempt uint32) {
	a.open = slices.DeleteFunc(a.open, func(n uint32) bool { return n == attempt })
}

// Winner returns the attempt whose chunks are accepted, or 0.
func (a *Answer) Winner() uint32 { return a.winner }

// Started reports whether a chunk was accepted.
func (a *Answer) Started() bool { return a.next > 0 }

// Next returns the sequence number of the chunk that is expected of an
// attempt.
func (a *Answer) Next(attempt uint32) uint32 {
	if attempt == a.winner {
		return a.next
	}
	return 0
}

// Resumed records that the attempt's chunks were asked for on a new session.
func (a *Answer) Resumed() { a.asked = false }

func (a *Answer) takes(attempt uint32) bool {
	return !a.ended && slices.Contains(a.open, attempt) && (a.winner == 0 || a.winner == attempt)
}

// Chunk decides about a chunk.
func (a *Answer) Chunk(attempt, sequence uint32, data []byte) Verdict {
	if !a.takes(attempt) || sequence < a.next {
		return Drop
	}
	if sequence > a.next {
		return a.gap()
	}
	a.winner = attempt
	a.next++
	a.sum = Checksum(a.sum, data)
	a.asked = false
	return Accept
}

func (a *Answer) gap() Verdict {
	if a.asked || a.resumes >= maxResumes {
		return Drop
	}
	a.asked = true
	a.resumes++
	return Gap
}

// End decides about the end of an attempt that reports success. An end that
// overtook chunks is answered by asking for them.
func (a *Answer) End(attempt, chunks, sum uint32) Verdict {
	if !a.takes(attempt) {
		return Drop
	}
	if chunks > a.next && (a.asked || a.resumes < maxResumes) {
		// The frames that were asked for include the end, so an end that
		// arrives before them is dropped.
		return a.gap()
	}
	a.ended = true
	a.winner = attempt
	if chunks != a.next || sum != a.sum {
		return Cut
	}
	return Whole
}
