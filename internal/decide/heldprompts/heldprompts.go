// Package heldprompts estimates which prefixes of prompts a model engine still holds,
// so that it does not have to read them again.
//
// An engine keeps the parts of the prompts that it has read, by model and adapter, in
// the memory that no running request uses, and evicts the least recently used ones. It
// does not report what it keeps. The target process beside it admits every request, and
// its Memory follows the engine. A Memory tells entries a bounded summary, which an entry
// keeps as a Told for each engine. Demand counts how often an entry gets requests with a
// prefix, and Share bounds how many of them go to one holder of it.
//
// A prefix is known by a fingerprint of the model, the adapter and the IDs of its parts
// in order. Equal fingerprints of different prefixes and evictions that a Memory has not
// noticed only lead to wrong estimates: nothing but the choice among engines and the
// estimate of unread tokens depends on them.
//
// The package is designed for some thousand prefixes at an engine, of which some hundred
// are shared by many requests, ten requests per second at an engine, and entries that
// look up 53 engines for each request. It has no clock and no goroutines; each value is
// used by one goroutine.
package heldprompts

import (
	"encoding/binary"
	"hash/fnv"

	"agatelanding.example/agatelanding/internal/decide/prompt"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// MaxParts is the maximum number of parts of a prompt that are considered.
	MaxParts = 8
	// maxTokens bounds the length of a prefix, so that sums do not overflow.
	maxTokens = 10_000_000
	// maxTold is the number of prefixes in a summary, and maxSummaryBytes the length of
	// its encoding: each takes 4 bytes and a length of up to 4 bytes.
	maxTold         = 256
	maxSummaryBytes = 2048
)

// Prefixes returns the prefixes of a prompt that consist of whole parts, the shortest
// first. ids are the parts in order, tokens their lengths. If there are fewer lengths
// than parts, the parts without a length are ignored; otherwise the last part belongs to
// the request or its session.
func Prefixes(model, adapter string, ids []string, tokens []int) []wire.PromptPrefix {
	n := min(len(ids), len(tokens), MaxParts)
	if n == 0 {
		return nil
	}
	list := make([]wire.PromptPrefix, 0, n)
	hash := fnv.New64a()
	write := func(s string) {
		// The length separates the fields.
		_, _ = hash.Write(binary.AppendUvarint(nil, uint64(len(s))))
		_, _ = hash.Write([]byte(s))
	}
	write(model)
	write(adapter)
	sum := 0
	for i := range n {
		write(ids[i])
		sum = min(sum+max(0, tokens[i]), maxTokens)
		x := hash.Sum64()
		list = append(list, wire.PromptPrefix{Fingerprint: uint32(x ^ x>>32), Tokens: sum, Own: i == len(ids)-1})
	}
	return list
}

// Told holds the prefixes that an engine holds according to its target process, by
// fingerprint, with their lengths in tokens. The zero value holds none.
type Told struct{ tokens map[uint32]int }

// Apply applies a summary of a report. A complete summary replaces the earlier ones.
// Malformed data ends the summary.
func (t *Told) Apply(complete bool, summary []byte) {
	if complete {
		t.Clear()
	}
	for len(summary) > 4 {
		fingerprint := binary.BigEndian.Uint32(summary)
		tokens, n := binary.Uvarint(summary[4:])
		if n <= 0 {
			return
		}
		summary = summary[4+n:]
		if tokens == 0 {
			delete(t.tokens, fingerprint)
			continue
		}
		if _, known := t.tokens[fingerprint]; !known && len(t.tokens) >= maxTold {
			continue
		}
		if t.tokens == nil {
			t.tokens = make(map[uint32]int)
		}
		t.tokens[fingerprint] = int(min(tokens, maxTokens))
	}
}

// Clear removes all prefixes.
func (t *Told) Clear() { t.tokens = nil }

// Len returns the number of prefixes.
func (t *Told) Len() int { return len(t.tokens) }

// Saved returns how many tokens of a prompt of promptTokens the engine does not have to
// read, at most the whole prompt, and the index of the longest prefix that it holds. A
// holder of a prefix also holds the shorter ones, because they are used with it.
func (t *Told) Saved(prefixes []wire.PromptPrefix, promptTokens int) (saved, index int) {
	if len(t.tokens) == 0 {
		return 0, -1
	}
	for i := len(prefixes) - 1; i >= 0; i-- {
		if tokens, ok := t.tokens[prefixes[i].Fingerprint]; ok {
			return max(0, min(tokens, prefixes[i].Tokens, promptTokens)), i
		}
	}
	return 0, -1
}

const (
	// reportHorizonMS is the age in milliseconds up to which entries use a report. In
	// that time, they do not see each other's choices.
	reportHorizonMS = 500.0
	// readingShare is the share of the time of an engine that the requests which it gets
	// because of a prefix may take for reading. It has other requests as well.
	readingShare = 0.2
)

// Share returns the probability with which an entry takes the saving at a holder into
// account, so that the requests of all entries which do keep the holder no busier than
// the saving is worth. All entries know the same reports and would otherwise choose the
// same holder until the next ones. rate is the number of requests per second with the
// prefix at this entry, and the others are assumed to have as many, which spread over the
// holders. saved and unread are the tokens of the request that the holder does not have to
// read, and the others; freeSlots is the number of requests that it can run in addition.
func Share(rate float64, entries, holders, saved, unread, freeSlots int) float64 {
	expected := rate * float64(max(1, entries)) * reportHorizonMS / 1000 / float64(max(1, holders))
	unreadMS := max(1, float64(unread)/prompt.PrefillTokensPerMS)
	room := (readingShare*reportHorizonMS + float64(saved)/prompt.PrefillTokensPerMS) / unreadMS
	room = min(room, float64(max(0, freeSlots)))
	if expected <= max(1, room) {
		return 1
	}
	return room / expected
}
