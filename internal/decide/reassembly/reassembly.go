// Package reassembly decides which chunks of which attempt belong to the
// answer of a request, and whether the answer is whole.
//
// An Answer is a pure state machine used by one goroutine.
package reassembly

import (
	"hash/crc32"

	"agatelanding.example/agatelanding/internal/result"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum extends the CRC-32C of an answer by a chunk.
func Checksum(sum uint32, data []byte) uint32 { return crc32.Update(sum, castagnoli, data) }

// Verdict says what to do with a chunk.
type Verdict uint8

const (
	// Accept means that the chunk is the next one of the answer.
	Accept Verdict = iota + 1
	// Drop means that the chunk is late, duplicated or of another attempt.
	Drop
	// Gap means that a chunk before it is missing.
	Gap
)

// Answer follows one attempt.
type Answer struct {
	attempt uint32
	next    uint32
	sum     uint32
	ended   bool
}

// New returns an answer that takes chunks of one attempt.
func New(attempt uint32) *Answer { return &Answer{attempt: attempt} }

// Next returns the sequence number of the chunk that is expected.
func (a *Answer) Next() uint32 { return a.next }

// Started reports whether a chunk was accepted.
func (a *Answer) Started() bool { return a.next > 0 }

// Chunk decides about a chunk.
func (a *Answer) Chunk(attempt, sequence uint32, data []byte) Verdict {
	if attempt != a.attempt || sequence < a.next || a.ended {
		return Drop
	}
	if sequence > a.next {
		return Gap
	}
	a.next++
	a.sum = Checksum(a.sum, data)
	return Accept
}

// End checks that the answer is whole. It returns OK, AnswerCut if chunks are
// missing or damaged, or false if the frame is not of this attempt.
func (a *Answer) End(attempt, chunks, sum uint32) (result.Code, bool) {
	if attempt != a.attempt || a.ended {
		return result.OK, false
	}
	a.ended = true
	if chunks != a.next || sum != a.sum {
		return result.AnswerCut, true
	}
	return result.OK, true
}
