package wire

import (
	"time"

	"agatelanding.example/agatelanding/internal/decide/recall"
)

// MaxFacts bounds the facts in one message. What exceeds it is dropped on receipt.
const MaxFacts = 512

// Fact is a fact that a target process keeps for the entries. Times are ages in
// milliseconds, because the clocks of processes differ.
type Fact struct {
	Kind  uint8  `msgpack:"k"`
	Key   string `msgpack:"n"`
	Value []byte `msgpack:"v"`
	Order uint64 `msgpack:"o,omitempty"`
	AgeMS int64  `msgpack:"a,omitempty"`
	TTLMS int64  `msgpack:"t"`
}

// Remember gives facts to a target process, which replies with Remembered unless ID is 0.
type Remember struct {
	ID    uint64 `msgpack:"i,omitempty"`
	Facts []Fact `msgpack:"f"`
}

// Remembered says that the facts of Remember are kept.
type Remembered struct {
	ID uint64 `msgpack:"i"`
}

// Recall asks a target process for facts of a kind: those with the keys or, without keys,
// all. It replies with Recalled.
type Recall struct {
	ID   uint64   `msgpack:"i"`
	Kind uint8    `msgpack:"k"`
	Keys []string `msgpack:"n,omitempty"`
}

// Recalled is the reply to Recall. More is true if further messages with facts follow.
type Recalled struct {
	ID    uint64 `msgpack:"i"`
	Kind  uint8  `msgpack:"k"`
	Facts []Fact `msgpack:"f,omitempty"`
	More  bool   `msgpack:"m,omitempty"`
}

// FactMessage returns the message for a fact at a time.
func FactMessage(f recall.Fact, now time.Time) Fact {
	return Fact{Kind: uint8(f.Kind), Key: f.Key, Value: f.Value, Order: f.Order, AgeMS: AgeMS(now.Sub(f.At)), TTLMS: AgeMS(f.TTL)}
}

// FactOf returns the fact in a message that was received at a time. An age or TTL out of
// range gives a fact of no use.
func FactOf(f Fact, now time.Time) recall.Fact {
	if !validAge(f.AgeMS) || !validAge(f.TTLMS) {
		return recall.Fact{}
	}
	return recall.Fact{Kind: recall.Kind(f.Kind), Key: f.Key, Value: f.Value, Order: f.Order, At: now.Add(-Age(f.AgeMS)), TTL: Age(f.TTLMS)}
}
